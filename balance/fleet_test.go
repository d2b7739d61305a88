package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestUnrunAttemptsNeedNoBudget: a lost room refuses every other send. What never ran is sent elsewhere however
// often that happens; what may have run keeps to the budget, since it was work.
func TestUnrunAttemptsNeedNoBudget(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		all     bool // that fail get a second attempt; otherwise some
	}{{ConnectError, true}, {QueueFull, true}, {Failed, false}} {
		f := newFake(t, testSettings(), fleet(12))
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

// replaced plays 100 requests a second before 10 servers for 10 s, then gone of them gone and fresh new ones cold for
// 2 s, and returns what one cold server was sent in the second second.
func replaced(t *testing.T, gone, fresh int) (perCold float64) {
	f := newFake(t, testSettings(), fleet(10))
	ok := func(string) Outcome { return OK }
	f.serveAs(1000, ok)
	list := fleet(10)[gone:]
	for i := range fresh {
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
	return float64(total) / float64(fresh)
}

// TestColdBudgetFollowsTheWarm: 10 a second are a warm member's when all stand; with six of ten gone the four
// that are left have 25 each, and a cold one is sent in proportion to that. To measure it by all places, the empty ones
// too, kept it at a third of what it could do while the warm drowned.
func TestColdBudgetFollowsTheWarm(t *testing.T) {
	// At 37 to 44% of its capacity in its second second, used for 1.5 times that.
	few, many := replaced(t, 1, 1), replaced(t, 6, 1)
	t.Logf("a cold server is sent %.1f beside nine warm ones, %.1f beside four", few, many)
	if few < 4 || few > 8 {
		t.Errorf("beside nine warm ones a cold server is sent %.1f in a second, want 4 to 8", few)
	}
	if many < 8 || many > 17 {
		t.Errorf("beside four warm ones a cold server is sent %.1f in a second, want 8 to 17", many)
	}
}

// TestQuietWatchEndsTheBackOff: a watch that was refused three times and then stands without news is well again. When it
// breaks an hour later, the next call must not wait as after a fourth failure: what it should have told counts as told.
func TestQuietWatchEndsTheBackOff(t *testing.T) {
	set := testSettings()
	set.AskForList = true
	f := newFake(t, set, nil)
	f.b.Update(f.now, Cached, fleet(4))
	for range 3 {
		f.advance(f.now + set.AskEvery)
		f.b.Update(f.now, ListFailed, nil)
	}
	f.advance(f.now + set.AskEvery)
	slots := slices.Clone(f.b.slots)
	f.b.Update(f.now, Delta, nil)
	if !slices.Equal(slots, f.b.slots) {
		t.Error("the word that nothing changed has changed something")
	}
	for n := range 8 { // the wait is random: each must be as short as after a first failure
		asked := f.watches
		f.b.Update(f.now, ListFailed, nil)
		f.advance(f.now + set.AskEvery/8)
		if f.watches != asked+1 {
			t.Errorf("break %d: %d calls within %v of it, want 1", n, f.watches-asked, set.AskEvery/8)
		}
		f.advance(f.now + set.AskEvery)
		f.b.Update(f.now, Delta, nil)
	}
}

// out names the servers that are ejected.
func (f *fake) out() (ids []string) {
	for _, s := range f.b.slots {
		if s.ejected > 0 {
			ids = append(ids, s.id)
		}
	}
	return ids
}

// serveAs submits n requests of a class that may run any number of times, 10 ms apart, and ends each attempt as its
// server is said to.
func (f *fake) serveAs(n int, outcome func(server string) Outcome) {
	for range n {
		id := fmt.Sprint("q", len(f.sent))
		f.submit(id, 0)
		f.advance(f.now + 10*ms)
		for i := 0; i < len(f.sent[id]); i++ {
			f.result(id, i, outcome(f.sent[id][i]))
		}
	}
}

// TestLostRoomHidesNoBadServer: half of the servers are a room that is lost, and one of the others fails most of what it
// gets. All seven are out: those that cannot be reached do not use up the panic threshold. They did, and the bad one
// stayed in turn for as long as the room was lost.
func TestLostRoomHidesNoBadServer(t *testing.T) {
	f := newFake(t, testSettings(), fleet(12)) // rooms alternate
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
	if out := f.out(); len(out) != 7 || !slices.Contains(out, "s004") {
		t.Errorf("ejected %v, want the six of the lost room and s004", out)
	}
}

// TestOwnNetworkLost: nothing can be reached and nobody answers, so the fault is not the servers'. The panic threshold
// holds, and requests still go out to find the network well again.
func TestOwnNetworkLost(t *testing.T) {
	f := newFake(t, testSettings(), fleet(12))
	f.serveAs(100, func(string) Outcome { return OK })
	f.advance(f.now + time.Second)
	f.serveAs(100, func(string) Outcome { return ConnectError })
	if out := f.out(); len(out) > 6 {
		t.Errorf("%d of 12 ejected though nobody answers", len(out))
	}
	before := len(f.sent)
	f.serveAs(10, func(string) Outcome { return OK })
	if len(f.sent) != before+10 {
		t.Errorf("%d of 10 requests were sent once the network is well", len(f.sent)-before)
	}
}

// TestRoomIsThatOfWhatStands: of a limit of 24 with 12 members, half of them lost, 12 may be in flight at the others, and
// what is stuck at the lost ones takes none of these places.
func TestRoomIsThatOfWhatStands(t *testing.T) {
	f := newFake(t, testSettings(), fleet(12))
	f.b.limit = 24
	for i := range 12 {
		f.submit(fmt.Sprint("stuck", i), 0) // one at each server
	}
	for _, s := range f.b.slots {
		if s.entry.Zone == 1 {
			s.ejected = f.now + time.Hour
		}
	}
	f.b.refresh()
	for i := range 30 {
		f.submit(fmt.Sprint("more", i), 0)
	}
	at := map[int]int{}
	for _, s := range f.b.slots {
		at[s.entry.Zone] += s.inFlight
	}
	if at[0] != 12 || at[1] != 6 {
		t.Errorf("%d in flight at the servers that stand and %d at the lost ones, want 12 and 6", at[0], at[1])
	}
}

// TestOneBackendAlone: with one server there is none to go to instead. It is tried however it fails.
func TestOneBackendAlone(t *testing.T) {
	f := newFake(t, testSettings(), fleet(1))
	f.serveAs(50, func(string) Outcome { return ConnectError })
	if out := f.out(); len(out) > 0 {
		t.Fatalf("the only server is ejected")
	}
	f.serveAs(1, func(string) Outcome { return OK })
	if id := fmt.Sprint("q", 50); !f.ended[id] {
		t.Error("not served once the server is back")
	}
}

// TestRoomIsCondemnedTogether: two servers of a room go silent and a third cannot be reached, while the other room
// answers. The rest of the room is out without a request of its own lost there; all are back once one has answered.
func TestRoomIsCondemnedTogether(t *testing.T) {
	f := newFake(t, testSettings(), fleet(16)) // rooms alternate
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
	if out := f.out(); len(out) != 8 || bad > roomLost {
		t.Errorf("%v ejected after %d attempts that did not connect, want 8 after %d", out, bad, roomLost)
	}
	f.advance(f.now + ejectMost)
	f.serveAs(60, func(string) Outcome { return OK })
	if out := f.out(); len(out) != 0 {
		t.Errorf("%v still ejected once the room answers", out)
	}
}

// TestOneBadServerCondemnsNoRoom: a server that never connects in a room that is well.
func TestOneBadServerCondemnsNoRoom(t *testing.T) {
	f := newFake(t, testSettings(), fleet(16))
	f.serveAs(2000, func(server string) Outcome {
		if server == "s003" {
			return ConnectError
		}
		return OK
	})
	if out := f.out(); len(out) != 1 || out[0] != "s003" {
		t.Errorf("%v ejected, want s003", out)
	}
}

// TestNoRoomIsCondemnedAlone: all servers are of one room, and for a moment none can be reached. Nobody elsewhere shows
// that the network is well, so those not tried stay in turn.
func TestNoRoomIsCondemnedAlone(t *testing.T) {
	list := fleet(16)
	for i := range list {
		list[i].Zone = 0
	}
	f := newFake(t, testSettings(), list)
	f.serveAs(200, func(string) Outcome { return OK })
	failed := 0
	f.serveAs(1, func(string) Outcome {
		if failed++; failed > roomLost {
			return OK
		}
		return ConnectError
	})
	if out := f.out(); failed != roomLost+1 || len(out) != roomLost {
		t.Errorf("%v ejected after %d that did not connect", out, failed-1)
	}
}

// TestSlowRoomIsNotLost: servers that are silent for longer than nearly all answers take, and answer in the end, condemn
// no room, however many they are.
func TestSlowRoomIsNotLost(t *testing.T) {
	f := newFake(t, testSettings(), fleet(16))
	f.serveAs(200, func(string) Outcome { return OK })
	for i := range 40 { // out at both rooms; those of one room are left hanging
		id := fmt.Sprint("slow", i)
		f.submit(id, 0)
		if f.b.servers[f.sent[id][0]].entry.Zone == 0 {
			f.advance(f.now + 5*ms)
			f.result(id, 0, OK)
		}
	}
	f.advance(f.now + 150*ms)
	for _, s := range f.b.slots {
		if s.ejected > 0 && s.failRun < ejectRun {
			t.Errorf("%s is ejected with %d signs of its own against it", s.id, s.failRun)
		}
	}
}
