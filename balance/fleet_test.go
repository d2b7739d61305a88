package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestUnexecutedAttemptsNeedNoRetryBudget: a lost zone refuses every other send. Attempts that never ran are sent
// elsewhere however often that happens. Attempts that may have run are subject to the budget, since they were work.
func TestUnexecutedAttemptsNeedNoRetryBudget(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		all     bool // all failed requests get a second attempt; otherwise some do
	}{{ConnectError, true}, {QueueFull, true}, {Failed, false}} {
		f := newFakeHost(t, testSettings(), testServers(12))
		failed, again := 0, 0
		for i := range 200 {
			id := fmt.Sprint("r", i)
			f.submit(id, 0)
			f.advance(f.now + 100*ms)
			if f.b.servers[f.sent[id][0]].entry.Zone == 0 {
				f.result(id, 0, OK)
				continue
			}
			failed++
			if f.result(id, 0, c.outcome); len(f.sent[id]) > 1 {
				again++
				f.result(id, 1, OK)
			}
		}
		if failed < 20 || again < 1 || c.all != (again == failed) {
			t.Errorf("%v: %d of %d failed requests had a second attempt, want all: %t", c.outcome, again, failed, c.all)
		}
	}
}

// coldSendsAfterReplacement runs 100 requests per second on 10 servers for 10 s. Then some servers are removed and
// new ones, which are cold, are added, and it runs 2 s more. It returns what one cold server was sent in the last
// second.
func coldSendsAfterReplacement(t *testing.T, removed, added int) (perCold float64) {
	f := newFakeHost(t, testSettings(), testServers(10))
	ok := func(string) Outcome { return OK }
	f.serveAs(1000, ok)
	list := testServers(10)[removed:]
	for i := range added {
		list = append(list, Entry{ID: fmt.Sprintf("t%03d", i), Boot: f.now})
	}
	f.b.Update(f.now, Full, list)
	f.serveAs(100, ok)
	total := 0
	f.serveAs(100, func(server string) Outcome {
		if server[0] == 't' {
			total++
		}
		return OK
	})
	return float64(total) / float64(added)
}

// TestColdBudgetFollowsWarmServers: a warm member gets 10 requests per second while all are in use. With six of ten
// gone the remaining four get 25 each, and a cold one is sent requests in proportion to that. Measuring by all
// positions, the empty ones included, kept it at a third of what it could do while the warm ones were overloaded.
func TestColdBudgetFollowsWarmServers(t *testing.T) {
	// A cold server has 37 to 44% of its capacity in its second second, and is sent up to 1.5 times that.
	few, many := coldSendsAfterReplacement(t, 1, 1), coldSendsAfterReplacement(t, 6, 1)
	t.Logf("a cold server is sent %.1f beside nine warm ones, %.1f beside four", few, many)
	if few < 4 || few > 8 {
		t.Errorf("beside nine warm ones a cold server is sent %.1f in a second, want 4 to 8", few)
	}
	if many < 8 || many > 17 {
		t.Errorf("beside four warm ones a cold server is sent %.1f in a second, want 8 to 17", many)
	}
}

// TestIdleWatchResetsTheBackoff: a watch that was refused three times and then works without any change is healthy
// again. When it breaks an hour later, the next call must not wait as after a fourth failure, because what changes
// meanwhile counts as notified.
func TestIdleWatchResetsTheBackoff(t *testing.T) {
	set := testSettings()
	set.AskForList = true
	f := newFakeHost(t, set, nil)
	f.b.Update(f.now, Cached, testServers(4))
	for range 3 {
		f.advance(f.now + set.AskEvery)
		f.b.Update(f.now, ListFailed, nil)
	}
	f.advance(f.now + set.AskEvery)
	slots := slices.Clone(f.b.slots)
	f.b.Update(f.now, Delta, nil)
	if !slices.Equal(slots, f.b.slots) {
		t.Error("an empty delta changed the order of the servers")
	}
	for n := range 8 { // the wait is random: each must be as short as after a first failure
		watchesBefore := f.watches
		f.b.Update(f.now, ListFailed, nil)
		f.advance(f.now + set.AskEvery/8)
		if f.watches != watchesBefore+1 {
			t.Errorf("break %d: %d calls within %v of it, want 1", n, f.watches-watchesBefore, set.AskEvery/8)
		}
		f.advance(f.now + set.AskEvery)
		f.b.Update(f.now, Delta, nil)
	}
}

// ejected returns the IDs of the servers that are ejected.
func (f *fakeHost) ejected() (ids []string) {
	for _, s := range f.b.slots {
		if s.ejectedUntil > 0 {
			ids = append(ids, s.id)
		}
	}
	return ids
}

// serveAs submits n requests of an idempotent class, 10 ms apart, and ends each attempt with its server's outcome.
func (f *fakeHost) serveAs(n int, outcome func(server string) Outcome) {
	for range n {
		id := fmt.Sprint("q", len(f.sent))
		f.submit(id, 0)
		f.advance(f.now + 10*ms)
		for i := 0; i < len(f.sent[id]); i++ {
			f.result(id, i, outcome(f.sent[id][i]))
		}
	}
}

// TestLostZoneDoesNotProtectABadServer: half of the servers are in a zone that is lost, and one of the others fails
// most of its requests. All seven are ejected: unreachable servers do not use up the panic threshold. They once did,
// and the bad server stayed in use for as long as the zone was lost.
func TestLostZoneDoesNotProtectABadServer(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(12)) // zones alternate
	f.serveAs(100, func(string) Outcome { return OK })
	f.serveAs(100, func(server string) Outcome {
		switch {
		case f.b.servers[server].entry.Zone == 1:
			return ConnectError
		case server == "s004":
			return Failed
		}
		return OK
	})
	if out := f.ejected(); len(out) != 7 || !slices.Contains(out, "s004") {
		t.Errorf("ejected %v, want the six of the lost zone and s004", out)
	}
}

// TestOwnNetworkLost: no server can be reached and none answers, so the servers are not at fault. The panic threshold
// holds, and requests are still sent, which shows when the network works again.
func TestOwnNetworkLost(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(12))
	f.serveAs(100, func(string) Outcome { return OK })
	f.advance(f.now + time.Second)
	f.serveAs(100, func(string) Outcome { return ConnectError })
	if out := f.ejected(); len(out) > 6 {
		t.Errorf("%d of 12 ejected though no server answers", len(out))
	}
	before := len(f.sent)
	f.serveAs(10, func(string) Outcome { return OK })
	if len(f.sent) != before+10 {
		t.Errorf("%d of 10 requests were sent after the network recovered", len(f.sent)-before)
	}
}

// TestCapacityCountsAvailableServers: of a limit of 24 with 12 members, half of them lost, 12 requests may be in
// flight at the others. Requests stuck at the lost members take none of this capacity.
func TestCapacityCountsAvailableServers(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(12))
	f.b.limit = 24
	for i := range 12 {
		f.submit(fmt.Sprint("stuck", i), 0) // one at each server
	}
	for _, s := range f.b.slots {
		if s.entry.Zone == 1 {
			s.ejectedUntil = f.now + time.Hour
		}
	}
	f.b.rebuildActive()
	for i := range 30 {
		f.submit(fmt.Sprint("more", i), 0)
	}
	at := map[int]int{}
	for _, s := range f.b.slots {
		at[s.entry.Zone] += s.inFlight
	}
	if at[0] != 12 || at[1] != 6 {
		t.Errorf("%d in flight at the servers in use and %d at the lost ones, want 12 and 6", at[0], at[1])
	}
}

// TestOnlyServerIsNeverEjected: with one server there is no alternative, so it is used however often it fails.
func TestOnlyServerIsNeverEjected(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(1))
	f.serveAs(50, func(string) Outcome { return ConnectError })
	if out := f.ejected(); len(out) > 0 {
		t.Fatalf("the only server is ejected")
	}
	f.serveAs(1, func(string) Outcome { return OK })
	if id := fmt.Sprint("q", 50); !f.ended[id] {
		t.Error("not served once the server is back")
	}
}

// TestLostZoneIsEjectedTogether: a few servers of a zone in a row cannot be reached while the other zone answers. The
// rest of the zone is ejected without a lost request of its own. All return once one has answered.
func TestLostZoneIsEjectedTogether(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(16)) // zones alternate
	f.serveAs(200, func(string) Outcome { return OK })
	lost := map[string]bool{}
	for _, s := range f.b.slots {
		if s.entry.Zone == 1 {
			lost[s.id] = true
		}
	}
	bad := 0
	f.serveAs(90, func(server string) Outcome {
		if lost[server] {
			bad++
			return ConnectError
		}
		return OK
	})
	if out := f.ejected(); len(out) != 8 || bad > zoneLostThreshold {
		t.Errorf("%v ejected after %d attempts that did not connect, want 8 after %d", out, bad, zoneLostThreshold)
	}
	f.advance(f.now + maxEjection)
	f.serveAs(60, func(string) Outcome { return OK })
	if out := f.ejected(); len(out) != 0 {
		t.Errorf("%v still ejected once the zone answers", out)
	}
}

// TestOneBadServerDoesNotEjectItsZone: one server never connects, in a zone that is otherwise healthy.
func TestOneBadServerDoesNotEjectItsZone(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(16))
	f.serveAs(2000, func(server string) Outcome {
		if server == "s003" {
			return ConnectError
		}
		return OK
	})
	if out := f.ejected(); len(out) != 1 || out[0] != "s003" {
		t.Errorf("%v ejected, want s003", out)
	}
}

// TestOnlyZoneIsNotEjectedTogether: all servers are in one zone, and for a moment none can be reached. No server
// elsewhere shows that the network works, so those that were not tried stay in use.
func TestOnlyZoneIsNotEjectedTogether(t *testing.T) {
	list := testServers(16)
	for i := range list {
		list[i].Zone = 0
	}
	f := newFakeHost(t, testSettings(), list)
	f.serveAs(200, func(string) Outcome { return OK })
	failed := 0
	f.serveAs(1, func(string) Outcome {
		if failed++; failed > zoneLostThreshold {
			return OK
		}
		return ConnectError
	})
	if out := f.ejected(); failed != zoneLostThreshold+1 || len(out) != zoneLostThreshold {
		t.Errorf("%v ejected after %d that did not connect", out, failed-1)
	}
}

// TestSlowZoneIsNotEjected: servers that are silent for longer than nearly all answers take, and answer in the end,
// do not make their zone lost, however many they are.
func TestSlowZoneIsNotEjected(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(16))
	f.serveAs(200, func(string) Outcome { return OK })
	for i := range 40 { // sent to both zones; those of one zone stay unanswered
		id := fmt.Sprint("slow", i)
		f.submit(id, 0)
		if f.b.servers[f.sent[id][0]].entry.Zone == 0 {
			f.advance(f.now + 5*ms)
			f.result(id, 0, OK)
		}
	}
	f.advance(f.now + 150*ms)
	for _, s := range f.b.slots {
		if s.ejectedUntil > 0 && s.failStreak < ejectAfterFailures {
			t.Errorf("%s is ejected after only %d failures of its own", s.id, s.failStreak)
		}
	}
}
