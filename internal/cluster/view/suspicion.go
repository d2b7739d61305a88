package view

import (
	"maps"
	"math"
	"slices"
	"time"
)

// never is later than any deadline.
const never = time.Duration(math.MaxInt64)

const (
	// suspicionPeriods, times the logarithm of the number of members, is the shortest suspicion timeout, and suspicionRange times that the
	// longest, which holds while no other member confirms the suspicion.
	suspicionPeriods, suspicionRange = 4.0, 3.0
	// confirmers is how many confirmations beside the first suspicion make the timeout its shortest.
	confirmers = 2
	// mostFalseSuspicions bounds the count of refuted suspicions. Each halves the number of probes after a failure, down to
	// mostWidth >> mostFalseSuspicions = 1; one is forgotten each falseSuspicionPeriods.
	maxFalseSuspicions, falseSuspicionPeriods = 3, 16
)

// raiseSuspicion marks a member suspect, or adds a confirmation to its suspicion.
func (v *View) raiseSuspicion(now time.Duration, m *member, by string, why Why) {
	own := by == v.self.Name
	switch m.State {
	case Alive:
		m.suspectedAt, m.accusers, m.deadElsewhere, m.ownSuspicion = now, append(m.accusers[:0], by), false, own
		r := m.Record
		r.State, r.By = Suspect, by
		v.setRecord(now, m, r, why)
		v.suspect[m.Name] = m
		if !own && !v.settings.NoSuspectPings && len(v.probes) < 2*maxProbeWidth && v.chance(2*pingsPerPeriod/float64(len(v.present)+1)) {
			// Some look for themselves at once: it hears of the suspicion, and if they get no answer either, it is short.
			v.probe(now, m, &m.Record, "")
		}
	case Suspect:
		if own && !m.ownSuspicion {
			m.ownSuspicion = true
			v.setSuspicionDeadline(now, m)
		}
		if len(m.accusers) > confirmers || slices.Contains(m.accusers, by) {
			return
		}
		m.accusers = append(m.accusers, by)
		if own {
			m.By = by // that another one accuses it counts, so it is passed on
			v.updates.push(m.Name)
		}
	default:
		return
	}
	if v.settings.NoSuspicion {
		v.declareDead(now, m)
		return
	}
	v.setSuspicionDeadline(now, m)
}

// noteFalseSuspicion counts a suspicion of this process that was refuted: the member that did not answer is alive, so answers get lost.
// Probing ever more members then finds none dead and loses ever more answers.
//
// It guards against suspicions that cause each other where datagrams are lost: at a loss of 30% each suspicion led to more than one
// further one. It might harm where members die meanwhile: several that die at once are then found one after another.
func (v *View) noteFalseSuspicion(now time.Duration) {
	if v.settings.NoFalseSuspicionLimit {
		return
	}
	if v.falseSuspicions == 0 {
		v.falseSuspicionAt = now
	}
	v.falseSuspicions = min(v.falseSuspicions+1, maxFalseSuspicions)
}

// minSuspicion is the shortest suspicion timeout: long enough for the suspicion to reach the member and its refutation to come back.
func (v *View) minSuspicion() time.Duration {
	scale := max(1, math.Log10(float64(len(v.present)+1)))
	return time.Duration(suspicionPeriods * scale * float64(v.settings.Period))
}

// setSuspicionDeadline sets the end of a suspicion from its confirmations, as Lifeguard does. One without confirmation lasts longest,
// since the process that raised it may itself be at fault. Where fewer members are left to confirm than are needed, fewer are enough.
func (v *View) setSuspicionDeadline(now time.Duration, m *member) {
	shortest := v.minSuspicion()
	longest := time.Duration(suspicionRange * float64(shortest))
	others := len(v.present) - len(v.suspect) // that are well, beside this process
	needed := min(confirmers, others)
	d := longest
	switch confirmations := len(m.accusers) - 1; {
	case v.settings.NoEarlyConfirmation:
	case m.deadElsewhere && m.ownSuspicion && confirmations > 0:
		d = shortest / 2 // another one's suspicion has run out, and it does not answer here either
	case m.deadElsewhere || confirmations >= needed:
		d = shortest
	default:
		// Lifeguard's: each further accuser takes off less than the one before.
		d -= time.Duration(float64(longest-shortest) * math.Log(float64(confirmations+1)) / math.Log(float64(needed+1)))
	}
	if m.ownSuspicion && v.health > 0 {
		d = max(d, time.Duration(float64(shortest)*(1+float64(v.health)/2)))
	}
	m.deadline = max(m.suspectedAt+d, now) // one that is over by now is no work that was done late
	v.nextSuspicionEnd = min(v.nextSuspicionEnd, m.deadline)
}

// endSuspicions declares those dead whose suspicion is over.
func (v *View) endSuspicions(now time.Duration) {
	for _, name := range v.expiredSuspects(now) {
		if m := v.suspect[name]; m != nil {
			v.declareDead(now, m)
		}
	}
	v.scheduleSuspicions()
}

// scheduleSuspicions finds when the next suspicion ends. It looks at all suspects, of which a view has hundreds while a region is cut
// off; with each message that would be most of a view's work.
func (v *View) scheduleSuspicions() {
	v.suspicionScans++
	v.nextSuspicionEnd = never
	for _, m := range v.suspect {
		v.nextSuspicionEnd = min(v.nextSuspicionEnd, m.deadline)
	}
}

// expiredSuspects are the names of the suspects whose timeout is over, in an order that does not depend on a map's.
func (v *View) expiredSuspects(now time.Duration) []string {
	var names []string
	for name, m := range v.suspect {
		if now >= m.deadline {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// declareDead ends a suspicion that was not refuted.
func (v *View) declareDead(now time.Duration, m *member) {
	if now < v.noSuspicionUntil {
		m.deadline = v.noSuspicionUntil
		return
	}
	r := m.Record
	r.State = Dead
	v.setRecord(now, m, r, Expired)
}

// pingSuspects lets suspects learn of their suspicion, so that they can refute it. The members that raised it ping the suspect themselves,
// and of the others about as many as are enough.
func (v *View) pingSuspects(now time.Duration, all float64) {
	n := 0
	for _, name := range slices.Sorted(maps.Keys(v.suspect)) {
		m := v.suspect[name]
		if n == maxProbeWidth {
			return
		}
		if m.ownSuspicion || v.chance(2*pingsPerPeriod/all) {
			n++
			v.ping(now, m.Address, &m.Record, pendingPing{until: now + 2*v.settings.Period})
		}
	}
}
