package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// coldCase is a day on which servers return cold to a fleet.
type coldCase struct {
	instances, servers int
	cold               int // servers that are replaced at once
	uneven             bool
	rest               time.Duration // without a request, while they are cold
	restart            bool          // half of the instances begin anew meanwhile
	byHand             bool          // they were taken out by hand instead, and all instances put them back at once
}

// play returns the most that a cold server was sent in a window beyond what the rule allows and what is put down to
// chance, 2 x root of N + 2; and how much cold servers were sent in all.
func (c coldCase) play(t *testing.T, seed uint64) (over float64, sent int) {
	t.Helper()
	change := func(set *Settings) {
		set.ColdCapacity, set.OverloadTime, set.WarmUp = 0.14, 2*time.Second, 12*time.Second
		for i := range set.Classes {
			set.Classes[i].Aim *= 5
			set.Classes[i].ClientTimeout *= 5
		}
	}
	d := newBedAs(t, c.instances, c.servers, seed, change)
	d.work = 600 * ms // 5 a second at a warm server: of a whole request each, 30 instances hold more than one may bear
	if c.uneven {
		for n := range d.hosts {
			for range 1 + n%6*n%6 {
				d.busy = append(d.busy, n)
			}
		}
	}
	full := float64(c.servers) * bedCores / d.work.Seconds()
	d.arrivals(0.5*full, 10*time.Second)
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
	if c.byHand {
		d.in(8*time.Second, func() { each(func(b *Balancer, id string) { b.Suspend(d.now, id) }) })
	}
	d.in(10*time.Second, func() {
		if c.byHand {
			for _, id := range ids {
				d.nodes[id].entry.Boot = d.now // nobody is told
			}
			each(func(b *Balancer, id string) { b.Resume(d.now, id) })
			return
		}
		for i := range c.cold {
			old := d.nodes[fmt.Sprintf("s%03d", i)]
			gone := old.entry
			gone.State, old.lost = Gone, true
			d.tell(0, gone, Entry{ID: fmt.Sprintf("t%03d", i), Zone: gone.Zone, Cell: gone.Cell, Boot: d.now})
		}
	})
	if c.restart {
		d.in(12500*ms, func() {
			for n := 0; n < len(d.hosts); n += 2 {
				h := d.hosts[n]
				set := h.b.set
				var list []Entry
				for _, k := range d.nodes {
					if !k.lost {
						list = append(list, k.entry)
					}
				}
				h.tries, h.open = map[string]*bedTry{}, map[string]bool{}
				var err error
				if h.b, err = New(set, seed*1000+uint64(n)+500, h); err != nil {
					t.Fatal(err)
				}
				h.b.Update(d.now, Full, list)
			}
		})
	}
	d.in(10*time.Second+c.rest, func() { d.arrivals(0.8*full, 20*time.Second) })
	d.run(22 * time.Second)
	over = math.Inf(-1)
	d.coldWindows(d.hosts[0].b.set, func(count int, allowed float64) {
		over = max(over, float64(count)-allowed-2*math.Sqrt(allowed)-2)
	})
	for _, n := range d.nodes {
		if n.entry.Boot > 0 {
			sent += len(n.sent)
		}
	}
	return over, sent
}

// TestAllTogetherSpareTheCold: what all instances together send to a cold server stays within what it bears, however many
// they are, however thin and uneven their traffic, and after a rest in which each may have saved what it may save.
func TestAllTogetherSpareTheCold(t *testing.T) {
	longDay(t)
	t.Parallel()
	for _, size := range []struct{ instances, servers int }{{1, 10}, {5, 10}, {20, 12}, {30, 12}, {300, 24}} {
		for _, c := range []coldCase{
			{cold: 1}, {cold: 1, uneven: true, rest: 4 * time.Second}, {cold: size.servers / 2, rest: 4 * time.Second},
			{cold: size.servers / 2, uneven: true, restart: true}, {cold: size.servers, rest: 2 * time.Second},
			{cold: 1, byHand: true}, {cold: size.servers / 2, byHand: true, rest: 4 * time.Second},
		} {
			c.instances, c.servers = size.instances, size.servers
			worst, broken, total := math.Inf(-1), 0, 0
			const seeds = 10
			for seed := range uint64(seeds) {
				over, sent := c.play(t, seed)
				if worst = max(worst, over); over > 0 {
					broken++
				}
				total += sent
			}
			t.Logf("%+v: over by %.1f at worst, on %d of %d seeds; %d sent to cold ones", c, worst, broken, seeds, total/seeds)
			if broken > 0 {
				t.Errorf("%+v: a cold server got %.1f too many in a window, on %d of %d seeds", c, worst, broken, seeds)
			}
		}
	}
}

// TestColdFleetIsNotLeftCold: every server has just started and every instance too, so nobody knows the pace of a warm one.
// All together they send to each cold server, and no more than any bears; those who were told no more than that it is there
// sent nothing until it was warm.
func TestColdFleetIsNotLeftCold(t *testing.T) {
	longDay(t)
	t.Parallel()
	for _, size := range []struct{ instances, servers int }{{1, 3}, {30, 12}, {300, 24}} {
		worst, sent := math.Inf(-1), 0
		for seed := range uint64(10) {
			change := func(set *Settings) {
				set.ColdCapacity, set.OverloadTime, set.WarmUp = 0.14, 2*time.Second, 12*time.Second
			}
			d := newBedAs(t, size.instances, size.servers, seed, change)
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
			d.arrivals(0.8*float64(size.servers)*bedCores/d.work.Seconds(), 6*time.Second)
			d.run(8 * time.Second)
			d.coldWindows(d.hosts[0].b.set, func(count int, allowed float64) {
				worst = max(worst, float64(count)-allowed-2*math.Sqrt(allowed)-2)
			})
			for _, n := range d.nodes {
				sent += len(n.sent)
			}
		}
		t.Logf("%+v: %.1f sent to a cold server in 6 s, over by %.1f at worst", size, float64(sent)/10/float64(size.servers), worst)
		if worst > 0 || sent == 0 {
			t.Errorf("%+v: %d sent to cold servers, %.1f too many in a window at worst", size, sent, worst)
		}
	}
}
