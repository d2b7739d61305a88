package balance

import (
	"testing"
	"time"
)

// TestShiftMovesTimesOfTheInstance: all but when a server started, which others tell, and what never was.
func TestShiftMovesTimesOfTheInstance(t *testing.T) {
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

// TestAColdServerIsSparedBehindAStep: an instance goes on from another whose clock stood an hour ahead. Without the shift the cold server's
// budget would be an hour in debt.
func TestAColdServerIsSparedBehindAStep(t *testing.T) {
	const step = time.Hour
	set := testSettings()
	set.WarmUp = 10 * time.Second
	now := 100 * time.Hour
	carried := Snapshot{Servers: []ServerSnapshot{{Entry: Entry{ID: "a", Boot: now - time.Second}, Listed: now + step, ColdAt: now + step}}}
	for name, by := range map[string]time.Duration{"shifted": -step, "as it was": 0} {
		c := Snapshot{Servers: append([]ServerSnapshot(nil), carried.Servers...), Warm: 50, ServedAt: now}
		c.ShiftTimes(by)
		c.ServedAt = now
		b, err := New(set, 1, &idleHost{})
		if err != nil {
			t.Fatal(err)
		}
		b.Restore(now, c)
		allowed := b.coldAllows(now+5*time.Second, b.servers["a"])
		if want := by != 0; allowed != want {
			t.Errorf("%s: a cold server is sent to 5 s later: %t", name, allowed)
		}
	}
}

// TestStartsAreBelievedWithinReason: the list's word on when a server started goes by a clock of its own, and this machine's may have been
// an hour off when the process started. A server that is news is as cold as its news, whatever the clocks say.
func TestStartsAreBelievedWithinReason(t *testing.T) {
	set := testSettings()
	set.WarmUp = 30 * time.Second
	const start = 100 * time.Hour
	for name, c := range map[string]struct {
		told time.Duration // before its news
		cold bool
	}{
		"right":                      {3 * time.Second, true},
		"this clock an hour ahead":   {time.Hour, true},
		"this clock an hour behind":  {-time.Hour, true},
		"this clock 5 s behind":      {-5 * time.Second, true},
		"news that came a bit later": {12 * time.Second, true},
	} {
		b, err := New(set, 1, &idleHost{})
		if err != nil {
			t.Fatal(err)
		}
		b.Update(start, Full, []Entry{{ID: "old"}})
		news := start + 5*time.Second
		b.Update(news, Delta, []Entry{{ID: "new", Boot: news - c.told}})
		s := b.servers["new"]
		if cold := b.coldShare(news+time.Second, s) < 1; cold != c.cold {
			t.Errorf("%s: cold is %t a second behind the news", name, cold)
		}
		if share := b.coldShare(news+set.WarmUp, s); share < 1 {
			t.Errorf("%s: still at %.2f of its capacity when it must be warm", name, share)
		}
		entry := s.entry
		b.Update(news+time.Second, Full, []Entry{{ID: "new", Boot: news - c.told}})
		if s.entry != entry {
			t.Errorf("%s: the same word again changes its start from %v to %v", name, entry.Boot, s.entry.Boot)
		}
	}
}

// TestLateListsAreBelieved: what a process learns with its first list, or behind an outage of discovery, may have started long before.
func TestLateListsAreBelieved(t *testing.T) {
	set := testSettings()
	set.WarmUp = 30 * time.Second
	const start = 100 * time.Hour
	b, err := New(set, 1, &idleHost{})
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
