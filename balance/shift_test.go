package balance

import (
	"testing"
	"time"
)

// TestShiftTimesMovesLocalTimes: all times move except reported start times, which are on another clock, and times
// that were never set.
func TestShiftTimesMovesLocalTimes(t *testing.T) {
	const by = -time.Hour
	c := Snapshot{ServedAt: 10 * time.Hour, Servers: []ServerSnapshot{
		{Entry: Entry{Boot: 2 * time.Hour}, Listed: 3 * time.Hour, Resumed: 4 * time.Hour, Ejected: 5 * time.Hour, ColdAt: 6 * time.Hour, Load: 7},
		{Listed: 3 * time.Hour},
	}}
	c.ShiftTimes(by)
	want := []ServerSnapshot{
		{Entry: Entry{Boot: 2 * time.Hour}, Listed: 2 * time.Hour, Resumed: 3 * time.Hour, Ejected: 4 * time.Hour, ColdAt: 5 * time.Hour, Load: 7},
		{Listed: 2 * time.Hour},
	}
	if c.ServedAt != 9*time.Hour || c.Servers[0] != want[0] || c.Servers[1] != want[1] {
		t.Errorf("got %+v", c)
	}
}

// TestColdBudgetSurvivesAClockStep: an instance restores the snapshot of another whose clock was an hour ahead.
// Without the shift the cold server's budget would be in debt by an hour.
func TestColdBudgetSurvivesAClockStep(t *testing.T) {
	const step = time.Hour
	set := testSettings()
	set.WarmUp = 10 * time.Second
	now := 100 * time.Hour
	carried := Snapshot{Servers: []ServerSnapshot{{Entry: Entry{ID: "a", Boot: now - time.Second}, Listed: now + step, ColdAt: now + step}}}
	for name, by := range map[string]time.Duration{"shifted": -step, "not shifted": 0} {
		c := Snapshot{Servers: append([]ServerSnapshot(nil), carried.Servers...), Warm: 50, ServedAt: now}
		c.ShiftTimes(by)
		c.ServedAt = now
		b, err := New(set, 1, &discardHost{})
		if err != nil {
			t.Fatal(err)
		}
		b.Restore(now, c)
		allowed := b.coldBudgetAllows(now+5*time.Second, b.servers["a"])
		if want := by != 0; allowed != want {
			t.Errorf("%s: a cold server may be sent a request 5 s later: %t", name, allowed)
		}
	}
}

// TestReportedStartTimesAreBounded: the list's start times are on a clock of its own, and this machine's clock may
// have been an hour off when the process started. A server that is newly listed counts as recently started, whatever
// the clocks say.
func TestReportedStartTimesAreBounded(t *testing.T) {
	set := testSettings()
	set.WarmUp = 30 * time.Second
	const start = 100 * time.Hour
	for name, c := range map[string]struct {
		age  time.Duration // how long before its listing the list says that it started
		cold bool
	}{
		"right":                     {3 * time.Second, true},
		"this clock an hour ahead":  {time.Hour, true},
		"this clock an hour behind": {-time.Hour, true},
		"this clock 5 s behind":     {-5 * time.Second, true},
		"listed a bit later":        {12 * time.Second, true},
	} {
		b, err := New(set, 1, &discardHost{})
		if err != nil {
			t.Fatal(err)
		}
		b.Update(start, Full, []Entry{{ID: "old"}})
		listedAt := start + 5*time.Second
		b.Update(listedAt, Delta, []Entry{{ID: "new", Boot: listedAt - c.age}})
		s := b.servers["new"]
		if cold := b.coldShare(listedAt+time.Second, s) < 1; cold != c.cold {
			t.Errorf("%s: cold is %t a second after the listing", name, cold)
		}
		if share := b.coldShare(listedAt+set.WarmUp, s); share < 1 {
			t.Errorf("%s: still at %.2f of its capacity when it must be warm", name, share)
		}
		entry := s.entry
		b.Update(listedAt+time.Second, Full, []Entry{{ID: "new", Boot: listedAt - c.age}})
		if s.entry != entry {
			t.Errorf("%s: the same report again changes its start from %v to %v", name, entry.Boot, s.entry.Boot)
		}
	}
}

// TestLateListsKeepReportedStartTimes: a server that a process learns about from its first list, or after an outage
// of discovery, may have started long before.
func TestLateListsKeepReportedStartTimes(t *testing.T) {
	set := testSettings()
	set.WarmUp = 30 * time.Second
	const start = 100 * time.Hour
	b, err := New(set, 1, &discardHost{})
	if err != nil {
		t.Fatal(err)
	}
	b.Update(start, Cached, []Entry{{ID: "old"}})
	b.Update(start+time.Second, Full, []Entry{{ID: "old"}, {ID: "first", Boot: start - time.Minute}})
	b.Update(start+2*time.Minute, Delta, []Entry{{ID: "outage", Boot: start + time.Minute}})
	for _, id := range []string{"first", "outage"} {
		if share := b.coldShare(start+2*time.Minute, b.servers[id]); share < 1 {
			t.Errorf("%s: at %.2f of its capacity, though it has long been warm", id, share)
		}
	}
}
