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
	// suspicionPeriods times the logarithm of the number of members is the shortest suspicion timeout. suspicionRange times that is the
	// longest, which applies while no other member confirms the suspicion.
	suspicionPeriods, suspicionRange = 4.0, 3.0
	// confirmers is how many confirmations, in addition to the first suspicion, reduce the timeout to the shortest.
	confirmers = 2
	// maxFalseSuspicions bounds the count of refuted suspicions. Each halves the number of probes after a failure, down to
	// maxProbeWidth >> maxFalseSuspicions = 1. The count decreases by one every falseSuspicionPeriods.
	maxFalseSuspicions, falseSuspicionPeriods = 3, 16
)

// raiseSuspicion marks a member suspect, or adds a confirmation if it already is.
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
			// A few members probe the suspect at once: it learns of the suspicion, and if they get no answer either, the timeout is short.
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
			m.By = by // this confirmation shortens others' timeouts, so it is disseminated
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
// Wider probing would then find no dead members and lose more answers.
//
// This guards against suspicions that cause further suspicions where datagrams are lost: at a loss of 30% each suspicion led to more
// than one other. Its cost: several members that die at the same time are then found one after another.
func (v *View) noteFalseSuspicion(now time.Duration) {
	if v.settings.NoFalseSuspicionLimit {
		return
	}
	if v.falseSuspicions == 0 {
		v.falseSuspicionAt = now
	}
	v.falseSuspicions = min(v.falseSuspicions+1, maxFalseSuspicions)
}

// minSuspicion returns the shortest suspicion timeout: long enough for the suspicion to reach the member and for its refutation to
// return.
func (v *View) minSuspicion() time.Duration {
	scale := max(1, math.Log10(float64(len(v.present)+1)))
	return time.Duration(suspicionPeriods * scale * float64(v.settings.Period))
}

// setSuspicionDeadline sets the end of a suspicion from its confirmations, as Lifeguard does. A suspicion without confirmation lasts
// longest, since the process that raised it may itself be at fault. If fewer members than confirmers are left to confirm, fewer suffice.
func (v *View) setSuspicionDeadline(now time.Duration, m *member) {
	shortest := v.minSuspicion()
	longest := time.Duration(suspicionRange * float64(shortest))
	others := len(v.present) - len(v.suspect) // members that are not suspect, without this process
	needed := min(confirmers, others)
	d := longest
	switch confirmations := len(m.accusers) - 1; {
	case v.settings.NoEarlyConfirmation:
	case m.deadElsewhere && m.ownSuspicion && confirmations > 0:
		d = shortest / 2 // another process's suspicion has expired, and the member does not answer this process either
	case m.deadElsewhere || confirmations >= needed:
		d = shortest
	default:
		// As in Lifeguard, each further accuser reduces the timeout by less than the one before.
		d -= time.Duration(float64(longest-shortest) * math.Log(float64(confirmations+1)) / math.Log(float64(needed+1)))
	}
	if m.ownSuspicion && v.health > 0 {
		d = max(d, time.Duration(float64(shortest)*(1+float64(v.health)/2)))
	}
	m.deadline = max(m.suspectedAt+d, now) // a deadline in the past would count as this process being late
	v.nextSuspicionEnd = min(v.nextSuspicionEnd, m.deadline)
}

// endSuspicions declares dead each suspect whose suspicion has expired.
func (v *View) endSuspicions(now time.Duration) {
	for _, name := range v.expiredSuspects(now) {
		if m := v.suspect[name]; m != nil {
			v.declareDead(now, m)
		}
	}
	v.scheduleSuspicions()
}

// scheduleSuspicions computes when the next suspicion ends. It scans all suspects, of which a view has hundreds while a region is cut
// off; a scan for each message would be most of a view's work.
func (v *View) scheduleSuspicions() {
	v.suspicionScans++
	v.nextSuspicionEnd = never
	for _, m := range v.suspect {
		v.nextSuspicionEnd = min(v.nextSuspicionEnd, m.deadline)
	}
}

// expiredSuspects returns the names of the suspects whose deadline has passed, sorted so that the order does not depend on map iteration.
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

// declareDead marks a suspect dead, unless suspicions are suspended after a pause of this process.
func (v *View) declareDead(now time.Duration, m *member) {
	if now < v.noSuspicionUntil {
		m.deadline = v.noSuspicionUntil
		return
	}
	r := m.Record
	r.State = Dead
	v.setRecord(now, m, r, Expired)
}

// pingSuspects informs suspects of their suspicion, so that they can refute it. Members that raised the suspicion always ping the
// suspect; of the other members about 2*pingsPerPeriod do.
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
