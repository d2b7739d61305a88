package view

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// goneRetentionPeriods is how many periods dead members are kept and pinged: a day at 300 ms. A member that is unreachable for longer
// rejoins through the seeds.
const goneRetentionPeriods = 288_000

// member is this process's state of another member.
type member struct {
	Record
	since time.Duration
	index int // in View.present; -1 if it is not present

	// Valid while the member is suspect:
	suspectedAt   time.Duration
	deadline      time.Duration // when it is declared dead
	accusers      []string      // the members that suspect it
	deadElsewhere bool          // another process holds it dead
	ownSuspicion  bool          // it did not answer a probe by this process

	aliveElsewhere bool // it is dead in this view, and another process holds it alive
}

// hash returns a record's contribution to the digest: a hash of its name, instance ID and incarnation.
func hash(r *Record) uint64 {
	h := fnv.New64a()
	h.Write([]byte(r.Name))
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(r.InstanceID>>(8*i)), byte(r.Incarnation>>(8*i))
	}
	h.Write(b[:])
	// Contributions are combined by exclusive or. FNV's last steps mix too little for that: similar records would have similar hashes.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// addMember adds a member that was unknown. If the view is full and no gone member can be evicted, the record is rejected.
func (v *View) addMember(now time.Duration, r *Record) {
	if len(v.members) >= v.settings.MaxMembers-1 && !v.evictGone() {
		v.rejected++
		return
	}
	m := &member{Record: *r, since: now, index: -1}
	v.insertMember(m)
	if !r.State.present() {
		v.gone = append(v.gone, m) // not reported as a change: it may have gone long ago
		return
	}
	was := *r
	m.Record.State, m.Record.By = Alive, ""
	v.insertPresent(m)
	v.markChanged(now, m.Name)
	v.host.Changed(Change{Record: m.Record, Why: Joined})
	v.insertIntoRound(m)
	if was.State == Suspect {
		v.raiseSuspicion(now, m, was.By, Reported)
	}
}

// evictGone removes the member that has been gone longest, and reports whether there was one.
func (v *View) evictGone() bool {
	for len(v.gone) > 0 {
		m := v.gone[0]
		v.gone = v.gone[1:]
		if m.index < 0 && v.members[m.Name] == m {
			v.removeMember(m)
			return true
		}
	}
	return false
}

// forgetGone removes the members that have been gone for goneRetentionPeriods.
func (v *View) forgetGone(now time.Duration) {
	for len(v.gone) > 0 {
		m := v.gone[0]
		if m.index < 0 && now-m.since < goneRetentionPeriods*v.settings.Period {
			return
		}
		v.gone = v.gone[1:]
		if m.index < 0 && v.members[m.Name] == m {
			v.removeMember(m)
		}
	}
}

// insertMember adds a member whose name was unknown to the indexes by name.
func (v *View) insertMember(m *member) {
	v.members[m.Name] = m
	at, _ := slices.BinarySearchFunc(v.byName, m.Name, compareName)
	v.byName = slices.Insert(v.byName, at, m)
}

// removeMember removes a member from the indexes by name.
func (v *View) removeMember(m *member) {
	delete(v.members, m.Name)
	at, _ := slices.BinarySearchFunc(v.byName, m.Name, compareName)
	v.byName = slices.Delete(v.byName, at, at+1)
}

// compareName compares a member's name with a name.
func compareName(m *member, name string) int { return strings.Compare(m.Name, name) }

// insertPresent adds a member to the present members and the digest.
func (v *View) insertPresent(m *member) {
	m.index = len(v.present)
	v.present = append(v.present, m)
	v.digest ^= hash(&m.Record)
}

// removePresent removes a member from the present members and the digest.
func (v *View) removePresent(m *member) {
	last := v.present[len(v.present)-1]
	v.present[m.index], last.index = last, m.index
	v.present = v.present[:len(v.present)-1]
	m.index = -1
	v.digest ^= hash(&m.Record)
}

// insertIntoRound adds a member that has just joined to the current probe round at a random place, since records of it may be outdated.
func (v *View) insertIntoRound(m *member) {
	if len(v.order) > 0 {
		v.order = slices.Insert(v.order, v.rng.IntN(len(v.order)+1), m)
	}
}

// markChanged queues the changed record of a name for dissemination.
func (v *View) markChanged(now time.Duration, name string) {
	v.changedAt = now
	v.updates.push(name)
}

// setRecord replaces the record of a member and queues it for dissemination.
func (v *View) setRecord(now time.Duration, m *member, r Record, why Why) {
	was, boot := m.State, m.InstanceID
	if m.index >= 0 {
		v.removePresent(m)
	}
	m.Record, m.aliveElsewhere = r, false
	if r.State != Suspect {
		delete(v.suspect, m.Name)
		m.accusers = m.accusers[:0]
	}
	if r.State.present() {
		v.gone = slices.DeleteFunc(v.gone, func(g *member) bool { return g == m })
		v.insertPresent(m)
		if !was.present() {
			v.insertIntoRound(m)
		}
	} else if was.present() {
		v.gone = append(v.gone, m)
	}
	v.markChanged(now, m.Name)
	if was == r.State && boot == r.InstanceID {
		return
	}
	m.since = now
	v.host.Changed(Change{Record: r, Was: was, Why: why})
	if m.Name == v.self.Name && v.displaced && !r.State.present() {
		v.retakeName(now)
	}
}
