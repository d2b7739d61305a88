package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// serve submits n idempotent requests, one every gap, answers each at once, and returns how many went to each server.
func (f *fakeHost) serve(prefix string, n int, gap time.Duration) map[string]int {
	f.t.Helper()
	went := map[string]int{}
	var open []string
	for i := range n {
		f.advance(f.now + gap)
		open = append(open, fmt.Sprint(prefix, i))
		f.submit(open[len(open)-1], 0)
		open = slices.DeleteFunc(open, func(id string) bool { // some were queued and are sent later
			if to := f.sent[id]; len(to) == 1 {
				went[to[0]]++
				f.result(id, 0, OK)
			}
			return f.ended[id] || f.final[id] != ""
		})
	}
	return went
}

func TestSuspensionOutlastsListUpdates(t *testing.T) {
	list := testServers(8)
	f := newFakeHost(t, testSettings(), list)
	if went := f.serve("a", 40, 10*ms); went["s003"] == 0 {
		t.Fatal("s003 was never used")
	}
	for range 2 { // repeating it is no error
		if !f.b.Suspend(f.now, "s003") {
			t.Fatal("Suspend does not know a listed server")
		}
	}
	for what, update := range map[string]func(){
		"nothing":   func() {},
		"re-listed": func() { f.b.Update(f.now, Full, list) },
		"restarted": func() { f.b.Update(f.now, Delta, []Entry{{ID: "s003", Boot: f.now}}) },
		"removed and listed anew": func() {
			f.b.Update(f.now, Delta, []Entry{{ID: "s003", State: Gone}})
			f.b.Update(f.now, Delta, []Entry{{ID: "s003"}})
		},
		"a list without it, then one with it": func() {
			f.b.Update(f.now, Full, list[4:])
			f.b.Update(f.now, Full, list)
		},
	} {
		update()
		if went := f.serve(what, 80, 10*ms); went["s003"] != 0 || len(went) != 7 {
			t.Errorf("%s: went to %v", what, went)
		}
		if listed, avoided := f.b.ServerCounts(); listed != 8 || avoided != 1 {
			t.Errorf("%s: %d listed, %d avoided", what, listed, avoided)
		}
		if f.b.MaySend("s003") {
			t.Errorf("%s: a send that was decided before may still start", what)
		}
	}
}

// TestResumedServerIsColdAndReceivesRequests resumes servers that were healthy, ejected or failing before they were
// suspended, with and without a list update about their restart.
func TestResumedServerIsColdAndReceivesRequests(t *testing.T) {
	for _, before := range []string{"healthy", "ejected", "failing"} {
		for _, restartListed := range []bool{false, true} {
			f := newFakeHost(t, testSettings(), testServers(8))
			f.serve("a", 100, 10*ms)
			s := f.b.servers["s003"]
			switch before {
			case "ejected":
				f.b.considerEjection(f.now, s, true)
			case "failing":
				s.failStreak, s.failRate = ejectAfterFailures-1, ejectFailRate
			}
			f.b.Suspend(f.now, "s003")
			f.serve("b", 300, 10*ms)
			if restartListed {
				f.b.Update(f.now, Delta, []Entry{{ID: "s003", Zone: 1, Boot: f.now}})
			}
			f.b.Resume(f.now, "s003")
			if share := f.b.coldShare(f.now, s); share > 0.31 {
				t.Errorf("%s, restart listed %t: expected to have %.2f of its capacity", before, restartListed, share)
			}
			went := f.serve("c", 500, 10*ms)
			if went["s003"] == 0 {
				t.Errorf("%s, restart listed %t: not used within 5 s", before, restartListed)
			}
			if even := 500 / 8; went["s003"] >= even {
				t.Errorf("%s, restart listed %t: %d sends while cold, an even share is %d", before, restartListed, went["s003"], even)
			}
			if _, avoided := f.b.ServerCounts(); avoided != 0 {
				t.Errorf("%s, restart listed %t: still avoided", before, restartListed)
			}
		}
	}
}

func TestOneResumeEndsTheBan(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(8))
	for range 3 {
		f.b.Suspend(f.now, "s001")
	}
	if !f.b.Resume(f.now, "s001") || !f.b.MaySend("s001") {
		t.Fatal("still suspended after one call")
	}
	cold := f.b.servers["s001"].resumedAt
	f.now += time.Minute
	if !f.b.Resume(f.now, "s001") || f.b.servers["s001"].resumedAt != cold {
		t.Fatal("a second call made a server cold that was in use")
	}
}

func TestNeverListedServersAreRejected(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(8))
	for _, id := range []string{"", "s008", "S000"} {
		if f.b.Suspend(f.now, id) || f.b.Resume(f.now, id) {
			t.Errorf("%q is known", id)
		}
	}
	f.b.Update(f.now, Full, testServers(4)) // s007 was listed once
	if !f.b.Suspend(f.now, "s007") {
		t.Error("Suspend does not know a server that was listed once")
	}
	f.b.Update(f.now, Delta, []Entry{{ID: "s007"}})
	if f.b.MaySend("s007") {
		t.Error("a ban on an unlisted server ended when it was listed again")
	}
}

// TestAllSuspended suspends every server: requests are refused within their time, and none hangs.
func TestAllSuspended(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(8))
	f.serve("a", 20, 10*ms)
	for _, e := range testServers(8) {
		f.b.Suspend(f.now, e.ID)
	}
	for class := range f.b.settings.Classes {
		f.submit(fmt.Sprint("q", class), class)
	}
	f.advance(f.now + time.Second)
	for class := range f.b.settings.Classes {
		if got := f.final[fmt.Sprint("q", class)]; got != "refused" {
			t.Errorf("class %d: %q", class, got)
		}
	}
	f.b.Resume(f.now, "s000")
	if went := f.serve("b", 300, 10*ms); went["s000"] == 0 || len(went) != 1 {
		t.Errorf("after one was resumed: %v", went)
	}
}

// TestSuspendedMemberIsReplacedBySpare uses a list longer than the subset.
func TestSuspendedMemberIsReplacedBySpare(t *testing.T) {
	set := testSettings()
	set.Instances = 4
	f := newFakeHost(t, set, testServers(40))
	members := len(f.serve("a", 200, 10*ms))
	f.b.Suspend(f.now, f.b.order[0].id)
	if went := f.serve("b", 200, 10*ms); len(went) != members {
		t.Errorf("%d servers in use, %d before", len(went), members)
	}
}

// TestLocalBudgetDoesNotIndicateRequestAge submits first tries to an instance that has less time than the clients.
// Each try may use all of the instance's time, because none is taken for a late last try.
func TestLocalBudgetDoesNotIndicateRequestAge(t *testing.T) {
	set := testSettings()
	set.Classes[2].LateValue, set.Classes[1].LateValue = 0, 0
	for _, class := range []int{1, 2} {
		f := newFakeHost(t, set, testServers(8))
		f.submit("usual", class)
		f.result("usual", 0, OK)
		f.b.Submit(f.now, Request{ID: "q", Class: class, Remaining: 2 * time.Second, LocalBudget: 700 * ms})
		f.advance(f.now + 690*ms)
		if f.final["q"] != "" {
			t.Errorf("class %d: %s before its time", class, f.final["q"])
		}
		f.advance(f.now + 20*ms)
		if f.final["q"] == "" {
			t.Errorf("class %d: no final answer after the instance's time", class)
		}
	}
}
