package numbering

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasswell/balance"
)

func names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("n", i+1))
	}
	return all
}

func TestFirstNumbersFollowNumericSuffixes(t *testing.T) {
	got := Assign(names(12), nil)
	for i, name := range names(12) {
		if got[name] != i {
			t.Errorf("%s has number %d", name, got[name])
		}
	}
}

// TestAssignInvariants: over any sequence of deaths and returns, every living proxy has a number, no number is assigned
// twice or exceeds the count, a proxy whose number is below the count keeps it, and no number moves from one living
// proxy to another.
func TestAssignInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := map[string]int{}
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			living := rapid.SliceOfNDistinct(rapid.SampledFrom(names(15)), 1, 15, rapid.ID).Draw(t, "living")
			got := Assign(living, held)
			holder := map[int]string{}
			for name, n := range got {
				if other, taken := holder[n]; taken || n < 0 || n >= len(living) {
					t.Fatalf("number %d of %d is assigned to %s; other holder: %q", n, len(living), name, other)
				}
				holder[n] = name
				if was, had := held[name]; had && was < len(living) && was != n {
					t.Fatalf("%s had number %d and now has %d", name, was, n)
				}
			}
			for _, name := range living {
				if other, taken := holder[held[name]]; taken && other != name {
					if _, had := held[name]; had {
						t.Fatalf("number %d moved from %s to %s, and both are alive", held[name], name, other)
					}
				}
			}
			if len(got) != len(living) {
				t.Fatalf("%d of %d proxies have a number", len(got), len(living))
			}
			held = got
		}
	})
}

func TestPlanWaitsForStableMembership(t *testing.T) {
	set := DefaultSettings()
	p := New(set)
	sec := time.Second
	p.SetLiving(0, names(6))
	if _, due := p.Plan(set.SettleTime-1, nil); due {
		t.Error("planned before the membership was stable")
	}
	held, due := p.Plan(set.SettleTime, nil)
	if !due || len(held) != 6 {
		t.Fatalf("%v, %v", held, due)
	}
	if _, due := p.Plan(set.SettleTime+sec, nil); due {
		t.Error("planned again at once, while the first plan is still pending")
	}
	// A restart within SettleTime changes no number.
	p.SetLiving(30*sec, names(5))
	p.SetLiving(33*sec, names(6))
	if got, due := p.Plan(60*sec, held); due {
		t.Errorf("planned %v after a restart", got)
	}
	p.SetLiving(70*sec, names(4))
	got, due := p.Plan(80*sec, held)
	if !due || !maps.Equal(got, map[string]int{"n1": 0, "n2": 1, "n3": 2, "n4": 3}) {
		t.Errorf("%v, %v", got, due)
	}
	p.SetLiving(100*sec, names(set.MaxProxies+1))
	if _, due := p.Plan(200*sec, held); due {
		t.Error("planned for more than MaxProxies proxies")
	}
}

// evenness returns the load of the busiest backend divided by the mean, where each living proxy has an equal share of
// the requests, and the number of connections that are opened because numbers changed.
func evenness(t testing.TB, dead map[string]bool, proxies, servers int, numbers map[string]int, of int) (maxOverMean float64, opened int) {
	list := make([]balance.Entry, servers)
	for i := range list {
		list[i] = balance.Entry{ID: fmt.Sprintf("s%03d", i), Zone: i % 2, Cell: i / 2}
	}
	load := map[string]float64{}
	living := 0
	for i, name := range names(proxies) {
		if dead[name] {
			continue
		}
		living++
		b, err := balance.New(balance.Settings{
			Self: i, Instances: proxies, MaxAttempts: 2, ColdCapacity: 0.3, WarmUp: time.Second, OverloadMultiple: 3, OverloadTime: time.Second, AskEvery: time.Second,
			Classes: []balance.Class{{Aim: time.Second, ClientTimeout: time.Second, Value: 1}},
		}, 1, nopHost{})
		if err != nil {
			t.Fatal(err)
		}
		b.Update(0, balance.Full, list)
		subset := func() (in []string) {
			for _, e := range list {
				if b.InRoundRobin(e.ID) {
					in = append(in, e.ID)
				}
			}
			return in
		}
		before := subset()
		if n, has := numbers[name]; has {
			b.Renumber(0, n, of)
		}
		after := subset()
		for _, id := range after {
			load[id] += 1 / float64(len(after))
			if !slices.Contains(before, id) {
				opened++
			}
		}
	}
	return slices.Max(slices.Collect(maps.Values(load))) * float64(servers) / float64(living), opened
}

// nopHost is a balance.Host that ignores all calls.
type nopHost struct{}

func (nopHost) Send(string, string, time.Duration) {}
func (nopHost) Refuse(string, time.Duration)       {}
func (nopHost) Fail(string)                        {}
func (nopHost) Cancel(string, int)                 {}
func (nopHost) SetTimer(time.Duration, uint64)     {}
func (nopHost) Watch()                             {}
func (nopHost) Log(string)                         {}

// killThird kills a third of the proxies, with each of 20 seeds. It returns the means of evenness with fixed numbers
// and with agreed numbers, and the mean number of connections opened per living proxy.
func killThird(t testing.TB, proxies, servers int) (fixed, agreed, opened float64) {
	const seeds = 20
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 0))
		all := names(proxies)
		held := map[string]int{}
		for i, name := range all {
			held[name] = i
		}
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		dead := map[string]bool{}
		for _, name := range all[:proxies/3] {
			dead[name] = true
		}
		living := all[proxies/3:]
		f, _ := evenness(t, dead, proxies, servers, nil, 0)
		a, o := evenness(t, dead, proxies, servers, Assign(living, held), len(living))
		fixed, agreed, opened = fixed+f/seeds, agreed+a/seeds, opened+float64(o)/float64(len(living))/seeds
	}
	return fixed, agreed, opened
}

// TestEvenness: after a third of the proxies die, loads are more even if numbers are reassigned to the living proxies.
func TestEvenness(t *testing.T) {
	for _, c := range [][2]int{{12, 40}, {24, 40}} {
		if fixed, agreed, _ := killThird(t, c[0], c[1]); agreed > 1+(fixed-1)/2 {
			t.Errorf("%d proxies, %d backends: busiest over mean %.2f with agreed numbers, %.2f with fixed ones", c[0], c[1], agreed, fixed)
		}
	}
}

// BenchmarkEvenness reports the busiest backend's load divided by the mean, and the connections opened; its time is
// irrelevant.
func BenchmarkEvenness(b *testing.B) {
	for _, c := range [][2]int{{12, 40}, {24, 40}, {60, 100}, {60, 400}, {300, 500}} {
		b.Run(fmt.Sprintf("%dx%d", c[0], c[1]), func(b *testing.B) {
			for b.Loop() {
				fixed, agreed, opened := killThird(b, c[0], c[1])
				b.ReportMetric(fixed, "fixed")
				b.ReportMetric(agreed, "agreed")
				b.ReportMetric(opened, "opened/proxy")
			}
		})
	}
}

// BenchmarkPlan measures one call of Plan for 1,400 proxies whose membership has not changed.
func BenchmarkPlan(b *testing.B) {
	const proxies = 1400
	var living []string
	for i := range proxies {
		living = append(living, fmt.Sprintf("proxy-%04d", i))
	}
	p := New(DefaultSettings())
	p.SetLiving(0, living)
	held := Assign(living, nil)
	for b.Loop() {
		if _, due := p.Plan(time.Minute, held); due {
			b.Fatal("correct numbers are planned again")
		}
	}
}
