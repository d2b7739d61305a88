package rig_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"brasswell/internal/cluster/agreement"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/host"
	"brasswell/internal/rig"
)

// TestListHeldBack: discovery leaves half of the backends off its list, which are still there. Every proxy goes on with them, also
// one that is killed and started meanwhile does not undo that at the others; a drain goes through at once. Once the list is accepted
// at one proxy, none sends there any more.
func TestListHeldBack(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	all := a.story.Names()
	restore := a.LeaveOut("node-00", "node-01")
	for _, m := range all {
		a.until(m, "with two held back", func(r *agreement.Report) bool { return slices.Equal(r.HeldBackends, []string{"node-00", "node-01"}) })
	}
	a.more("node-00", "node-01")
	restore()
	for _, m := range all {
		a.until(m, "with none held back", func(r *agreement.Report) bool { return len(r.HeldBackends) == 0 })
	}
	a.LeaveOut("node-00", "node-01")
	for _, m := range all {
		a.until(m, "with two held back again", func(r *agreement.Report) bool { return len(r.HeldBackends) == 2 })
	}
	a.inForce(a.propose("n5", rules.Change{Kind: rules.AllowDrop, Servers: a.report("n4").HeldBackends}), all...)
	for _, m := range all {
		a.until(m, "with none held back", func(r *agreement.Report) bool { return len(r.HeldBackends) == 0 })
	}
	before := a.quiet("node-00") + a.quiet("node-01")
	time.Sleep(time.Second)
	if after := a.Sent("node-00") + a.Sent("node-01"); after != before {
		t.Errorf("%d requests to backends that lists may drop", after-before)
	}
	a.end()
}

// more waits until each of some backends is sent something more.
func (a *agreed) more(backends ...string) {
	a.t.Helper()
	for _, b := range backends {
		before := a.Sent(b)
		for end := time.Now().Add(20 * time.Second); a.Sent(b) == before; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				a.t.Fatalf("nothing more goes to %s", b)
			}
		}
	}
}

// TestNumbersFollowWhoLives: two of five are killed; the three that are left are numbered below three, those that can keep theirs;
// the two come back and get numbers of their own. Never do two that hold a lease act on one number.
func TestNumbersFollowWhoLives(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	numbered := func(n int, members ...string) {
		t.Helper()
		for _, m := range members {
			a.until(m, fmt.Sprintf("with %d numbers in force", n), func(r *agreement.Report) bool {
				return len(r.Document.Numbers) == n && len(r.Pending) == 0
			})
		}
	}
	all := a.story.Names()
	numbered(5, all...)
	a.do(a.Kill("n2"))
	a.do(a.Kill("n4"))
	numbered(3, "n1", "n3", "n5")
	if got := a.report("n1").Document.Numbers; got["n1"] != 0 || got["n3"] != 2 || got["n5"] != 1 {
		t.Errorf("%v: n1 and n3 can keep theirs, n5 takes the free one", got)
	}
	a.do(a.Restart("n2", false))
	a.do(a.Restart("n4", false))
	numbered(5, all...)
	a.end()
	// By what the processes say that they act on: one number is taken only after its holder is gone or has another.
	holds := map[string]string{}
	for _, e := range a.Events() {
		switch {
		case e.What == host.LogSubsetNumber:
			for other, n := range holds {
				if other != e.Who && n == e.Fields["self"] {
					t.Errorf("%s takes number %s at %v, and %s has it", e.Who, n, e.At, other)
				}
			}
			holds[e.Who] = e.Fields["self"]
		case strings.Contains(e.What, "started"):
			delete(holds, e.Who) // it acts on its file's until it hears
		}
	}
	if len(holds) < 4 {
		t.Errorf("numbers were acted on by %v", holds)
	}
}

// TestThousandChanges: one after another as fast as each gets its yes, under load; all hold in the end, in one order, and nothing
// goes to a backend that is out.
func TestThousandChanges(t *testing.T) {
	if testing.Short() {
		t.Skip("a thousand changes")
	}
	a := agree(t, rig.Config{})
	all := a.story.Names()
	begun := time.Now()
	var last uint64
	for i := range 1000 {
		c := suspend("node-03")
		if i%2 == 1 {
			c.Kind = rules.Resume
		}
		v := a.propose(all[i%len(all)], c)
		if v <= last {
			t.Fatalf("change %d has version %d, after %d", i, v, last)
		}
		last = v
		a.inForce(v, all[i%len(all)])
	}
	t.Logf("1000 changes in %v, each in force before the next", time.Since(begun).Round(100*time.Millisecond))
	a.inForce(last, all...)
	for _, m := range all {
		if _, out := a.report(m).Document.Bans["node-03"]; out {
			t.Errorf("%s: still out", m)
		}
	}
	a.end()
}
