package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// coldCase is a run in which servers return cold.
type coldCase struct {
	instances, servers int
	cold               int // servers that are replaced at the same time
	uneven             bool
	pause              time.Duration // time without requests while they are cold
	restart            bool          // half of the instances restart meanwhile
	suspended          bool          // suspended instead, and resumed by all instances at the same time
}

// run returns the most that a cold server was sent in a window beyond what the rule allows and what is attributed to
// chance, 2*sqrt(N)+2, and how much cold servers were sent in all.
func (c coldCase) run(t *testing.T, seed uint64) (over float64, sent int) {
	t.Helper()
	change := func(set *Settings) {
		set.ColdCapacity, set.OverloadTime, set.WarmUp = 0.14, 2*time.Second, 12*time.Second
		for i := range set.Classes {
			set.Classes[i].Aim *= 5
			set.Classes[i].ClientTimeout *= 5
		}
	}
	d := newMultiSimWith(t, c.instances, c.servers, seed, change)
	d.work = 600 * ms // 5 requests/s per warm server: with one whole token each, 30 instances would overload a cold one
	if c.uneven {
		for n := range d.hosts {
			for range 1 + n%6*n%6 {
				d.hostWeights = append(d.hostWeights, n)
			}
		}
	}
	full := float64(c.servers) * simCores / d.work.Seconds()
	d.startArrivals(0.5*full, 10*time.Second)
	ids := make([]string, c.cold)
	for i := range ids {
		ids[i] = fmt.Sprintf("s%03d", i)
	}
	each := func(what func(*Balancer, string)) {
		for _, h := range d.hosts {
			for _, id := range ids {
				what(h.b, id)
			}
		}
	}
	if c.suspended {
		d.in(8*time.Second, func() { each(func(b *Balancer, id string) { b.Suspend(d.now, id) }) })
	}
	d.in(10*time.Second, func() {
		if c.suspended {
			for _, id := range ids {
				d.nodes[id].entry.Boot = d.now // no instance is notified
			}
			each(func(b *Balancer, id string) { b.Resume(d.now, id) })
			return
		}
		for i := range c.cold {
			old := d.nodes[fmt.Sprintf("s%03d", i)]
			gone := old.entry
			gone.State, old.lost = Gone, true
			d.notify(0, gone, Entry{ID: fmt.Sprintf("t%03d", i), Zone: gone.Zone, Cell: gone.Cell, Boot: d.now})
		}
	})
	if c.restart {
		d.in(12500*ms, func() {
			for n := 0; n < len(d.hosts); n += 2 {
				h := d.hosts[n]
				set := h.b.settings
				var list []Entry
				for _, k := range d.nodes {
					if !k.lost {
						list = append(list, k.entry)
					}
				}
				h.tries, h.idleConns = map[string]*simRequest{}, map[string]bool{}
				var err error
				if h.b, err = New(set, seed*1000+uint64(n)+500, h); err != nil {
					t.Fatal(err)
				}
				h.b.Update(d.now, Full, list)
			}
		})
	}
	d.in(10*time.Second+c.pause, func() { d.startArrivals(0.8*full, 20*time.Second) })
	d.run(22 * time.Second)
	over = math.Inf(-1)
	d.coldWindows(d.hosts[0].b.settings, func(count int, allowed float64) {
		over = max(over, float64(count)-allowed-2*math.Sqrt(allowed)-2)
	})
	for _, n := range d.nodes {
		if n.entry.Boot > 0 {
			sent += len(n.sent)
		}
	}
	return over, sent
}

// TestInstancesTogetherKeepTheColdBudget: all instances together send a cold server no more than it can take, however
// many they are, however little and uneven their traffic is, and after a pause in which each may have saved up as
// much as it can.
func TestInstancesTogetherKeepTheColdBudget(t *testing.T) {
	skipUnderRace(t)
	t.Parallel()
	for _, size := range []struct{ instances, servers int }{{1, 10}, {5, 10}, {20, 12}, {30, 12}, {300, 24}} {
		for _, c := range []coldCase{
			{cold: 1}, {cold: 1, uneven: true, pause: 4 * time.Second}, {cold: size.servers / 2, pause: 4 * time.Second},
			{cold: size.servers / 2, uneven: true, restart: true}, {cold: size.servers, pause: 2 * time.Second},
			{cold: 1, suspended: true}, {cold: size.servers / 2, suspended: true, pause: 4 * time.Second},
		} {
			c.instances, c.servers = size.instances, size.servers
			worst, broken, total := math.Inf(-1), 0, 0
			const seeds = 10
			for seed := range uint64(seeds) {
				over, sent := c.run(t, seed)
				if worst = max(worst, over); over > 0 {
					broken++
				}
				total += sent
			}
			t.Logf("%+v: over by %.1f at worst, on %d of %d seeds; %d sends to cold servers", c, worst, broken, seeds, total/seeds)
			if broken > 0 {
				t.Errorf("%+v: a cold server received %.1f requests too many in a window, on %d of %d seeds", c, worst, broken, seeds)
			}
		}
	}
}

// TestAllColdServersReceiveRequests: every server and every instance has just started, so no instance knows the rate
// of a warm server. All together they send requests to each cold server, and no more than it can take. Instances that
// knew no rate once sent nothing until the server was warm.
func TestAllColdServersReceiveRequests(t *testing.T) {
	skipUnderRace(t)
	t.Parallel()
	for _, size := range []struct{ instances, servers int }{{1, 3}, {30, 12}, {300, 24}} {
		worst, sent := math.Inf(-1), 0
		for seed := range uint64(10) {
			change := func(set *Settings) {
				set.ColdCapacity, set.OverloadTime, set.WarmUp = 0.14, 2*time.Second, 12*time.Second
			}
			d := newMultiSimWith(t, size.instances, size.servers, seed, change)
			d.work = 600 * ms
			var cold []Entry
			for i := range size.servers {
				n := d.nodes[fmt.Sprintf("s%03d", i)]
				n.entry.Boot = d.now
				cold = append(cold, n.entry)
			}
			for _, h := range d.hosts {
				h.b.Update(d.now, Full, cold)
			}
			d.startArrivals(0.8*float64(size.servers)*simCores/d.work.Seconds(), 6*time.Second)
			d.run(8 * time.Second)
			d.coldWindows(d.hosts[0].b.settings, func(count int, allowed float64) {
				worst = max(worst, float64(count)-allowed-2*math.Sqrt(allowed)-2)
			})
			for _, n := range d.nodes {
				sent += len(n.sent)
			}
		}
		t.Logf("%+v: %.1f sent to a cold server in 6 s, over by %.1f at worst", size, float64(sent)/10/float64(size.servers), worst)
		if worst > 0 || sent == 0 {
			t.Errorf("%+v: %d sends to cold servers, %.1f too many in a window at worst", size, sent, worst)
		}
	}
}
