package balance

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"brasswell/internal/estimate"
)

// TestRestoredInstanceMatchesItsPredecessor compares the decisions of a restored instance with those of the first
// one: same subset and order, same bans, same ejections, same limit, and no cold start for servers that are warm.
func TestRestoredInstanceMatchesItsPredecessor(t *testing.T) {
	set := testSettings()
	set.Instances = 4
	set.Tenants = []Tenant{{QuotaPerSecond: 100}}
	f := newFakeHost(t, set, testServers(40))
	f.serve("a", 300, 10*ms)
	f.b.Update(f.now, Delta, []Entry{{ID: "a-new"}, {ID: "s004", State: Gone}, {ID: "s005", State: Draining}})
	f.b.Suspend(f.now, f.b.order[0].id)
	f.b.Suspend(f.now, "s004")
	f.b.considerEjection(f.now, f.b.order[1], true)
	f.b.Update(f.now, Delta, []Entry{{ID: f.b.order[2].id, Boot: f.now}})
	f.serve("b", 100, 10*ms)

	g := newFakeHost(t, set, nil)
	g.now = f.now
	g.b.Restore(g.now, f.b.Snapshot(f.now))
	ids := func(b *Balancer) (list []string) {
		for _, s := range b.active {
			list = append(list, s.id)
		}
		return list
	}
	if got, want := ids(g.b), ids(f.b); !slices.Equal(got, want) {
		t.Errorf("subset %v, want %v", got, want)
	}
	for _, id := range []string{f.b.order[0].id, "s004", "s005"} {
		if g.b.MaySend(id) {
			t.Errorf("%s may be sent to", id)
		}
	}
	if !g.b.Resume(g.now, "s004") {
		t.Error("s004 was listed once, but is not known any more")
	}
	if one, two := f.b.coldShare(f.now, f.b.order[2]), g.b.coldShare(g.now, g.b.order[2]); one != two || one >= 1 {
		t.Errorf("cold share %v, want %v below 1", two, one)
	}
	if g.b.limit != f.b.limit || !reflect.DeepEqual(g.b.tail, f.b.tail) || !reflect.DeepEqual(g.b.mean, f.b.mean) {
		t.Error("the limit or the estimates differ")
	}
	listed, avoided := f.b.ServerCounts()
	if l, a := g.b.ServerCounts(); l != listed || a != avoided {
		t.Errorf("%d listed, %d avoided; want %d and %d", l, a, listed, avoided)
	}
	went := g.serve("c", 200, 10*ms)
	if went[f.b.order[0].id]+went["s005"] > 0 || len(went) < 5 {
		t.Errorf("requests went to %v", went)
	}
}

// TestColdBudgetIsSharedDuringAnUpgrade runs two instances side by side, each with half of the traffic: a cold server
// receives no more from both than from one alone.
func TestColdBudgetIsSharedDuringAnUpgrade(t *testing.T) {
	cold := func(parts []float64) (sends int) {
		f := newFakeHost(t, testSettings(), testServers(8))
		f.serve("a", 500, 10*ms)
		f.b.Update(f.now, Delta, []Entry{{ID: "s003", Boot: f.now}})
		f.b.servers["s003"].coldTokens = 1
		carried := f.b.Snapshot(f.now)
		for i, part := range parts {
			g := newFakeHost(t, testSettings(), nil)
			g.now = f.now
			g.b.Restore(g.now, carried)
			g.b.SetShare(part, 1)
			if i > 0 {
				g.b.servers["s003"].coldTokens = 0
			}
			// The restored rate decays as fast as the instance's own traffic replaces it.
			sends += g.serve("b", 200/len(parts), time.Duration(10*len(parts))*ms)["s003"]
		}
		return sends
	}
	alone, both := cold([]float64{1}), cold([]float64{0.5, 0.5})
	if alone == 0 || both > alone+1 {
		t.Errorf("%d sends by one instance, %d by two", alone, both)
	}
}

// TestRestoreSkipsMismatchedSettings restores a snapshot from other settings, with more classes and no tenants.
func TestRestoreSkipsMismatchedSettings(t *testing.T) {
	f := newFakeHost(t, testSettings(), testServers(8))
	f.serve("a", 100, 10*ms)
	c := f.b.Snapshot(f.now)
	set := testSettings()
	set.Classes = set.Classes[:2]
	set.Tenants = []Tenant{{QuotaPerSecond: 100}}
	g := newFakeHost(t, set, nil)
	g.now = f.now
	c.Limit, c.Retries, c.Served = -5, 1e9, -1
	c.Slots = append(c.Slots, "nobody")
	g.b.Restore(g.now, c)
	if went := g.serve("b", 100, 10*ms); len(went) != 8 {
		t.Errorf("requests went to %v", went)
	}
}

// TestQuotaShareScalesQuotas: a tenant's quota follows the quota share, and the share of cold budgets does not change
// it.
func TestQuotaShareScalesQuotas(t *testing.T) {
	within := func(part, soft float64) (n int) {
		set := Settings{Instances: 2, Tenants: []Tenant{{QuotaPerSecond: 100}}, OverQuotaValue: 0.1}
		b := &Balancer{settings: set, quota: make([]estimate.TokenBucket, 1)}
		b.SetShare(part, soft)
		for i := range 4000 {
			if b.tenantValue(time.Duration(i)*10*time.Millisecond, 0) == 1 {
				n++
			}
		}
		return n
	}
	whole := within(1, 1)
	if half := within(1, 0.5); math.Abs(float64(half)/float64(whole)-0.5) > 0.05 {
		t.Errorf("%d within the quota, %d with half of it", whole, half)
	}
	if other := within(0.3, 1); other != whole {
		t.Errorf("%d within the quota, %d with another share of cold budgets", whole, other)
	}
}

// BenchmarkSnapshot measures a snapshot of 10,000 servers, as a whole and in the steps that it can be taken in.
func BenchmarkSnapshot(b *testing.B) {
	f := newFakeHost(b, testSettings(), testServers(10_000))
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			f.b.Snapshot(f.now)
		}
	})
	b.Run("rest", func(b *testing.B) {
		for b.Loop() {
			f.b.SnapshotWithoutServers(f.now)
		}
	})
	ids := f.b.ServerIDs()
	to := make([]ServerSnapshot, 0, len(ids))
	b.Run("step of 256", func(b *testing.B) {
		for b.Loop() {
			f.b.AppendServerSnapshots(to, ids[:256])
		}
	})
}
