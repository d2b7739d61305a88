package view

import (
	"slices"
	"time"
)

// Snapshot returns a snapshot of the view.
func (v *View) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{
		Self: v.self, Displaced: v.displaced, Health: v.health, Digest: v.digest, Rejected: v.rejected,
		Settled: len(v.suspect) == 0 && now-v.changedAt > stablePeriods*v.settings.Period && v.digestsDifferSince == 0 &&
			(len(v.present) == 0 || v.matchingDigests > 0) && !v.displaced,
	}
	if v.duplicate != nil {
		d := *v.duplicate
		s.Duplicate = &d
	}
	s.Members = make([]Member, 0, len(v.members)+1)
	before, _ := slices.BinarySearchFunc(v.byName, v.self.Name, compareName)
	s.Members = appendMembers(s.Members, v.byName[:before])
	if !v.displaced {
		s.Members = append(s.Members, Member{Record: v.self, Since: v.startedAt, Self: true})
	}
	s.Members = appendMembers(s.Members, v.byName[before:])
	return s
}

func appendMembers(to []Member, members []*member) []Member {
	for _, m := range members {
		to = append(to, Member{Record: m.Record, Since: m.since})
	}
	return to
}

// Present returns the number of present members, this process included.
func (v *View) Present() int {
	if v.displaced {
		return len(v.present)
	}
	return len(v.present) + 1
}

// StateOf returns the state of a name in this view; 0 if it is unknown.
func (v *View) StateOf(name string) State {
	if r := v.recordOf(name); r != nil {
		return r.State
	}
	return 0
}

// NameAt returns the name of the present member with an address; "" if there is none.
func (v *View) NameAt(address string) string {
	for _, m := range v.present {
		if m.Address == address {
			return m.Name
		}
	}
	return ""
}
