package lists

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasswell/balance"
)

func entry(n int, state balance.State) balance.Entry {
	return balance.Entry{ID: fmt.Sprintf("s%02d", n), State: state}
}

func full(n ...int) Update {
	u := Update{Kind: balance.Full, Addresses: map[string]string{}}
	for _, i := range n {
		u.Entries = append(u.Entries, entry(i, balance.InService))
		u.Addresses[entry(i, 0).ID] = fmt.Sprint("at ", i)
	}
	return u
}

func delta(state balance.State, n ...int) Update {
	u := Update{Kind: balance.Delta}
	for _, i := range n {
		u.Entries = append(u.Entries, entry(i, state))
	}
	return u
}

func firstN(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// fakeBalancer is the server list that results from the updates that the filter passes on.
type fakeBalancer map[string]balance.State

func (b fakeBalancer) apply(u Update) {
	if u.Kind != balance.Delta {
		clear(b)
	}
	for _, e := range u.Entries {
		if b[e.ID] = e.State; e.State == balance.Gone {
			delete(b, e.ID)
		}
	}
}

func (b fakeBalancer) inService() (n int) {
	for _, s := range b {
		if s == balance.InService {
			n++
		}
	}
	return n
}

func TestHeldServers(t *testing.T) {
	type step struct {
		at   time.Duration
		list Update
		gone []string
		drop []string
		want int // number in service at the balancer
		held int
	}
	s := time.Second
	for name, steps := range map[string][]step{
		"a fifth is released":            {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(8)...), nil, nil, 8, 0}},
		"three tenths are held":          {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(7)...), nil, nil, 10, 3}},
		"an empty list":                  {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(), nil, nil, 10, 10}},
		"removed by name":                {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, delta(balance.Gone, 1, 2, 3), nil, nil, 10, 3}},
		"one of three":                   {{0, full(firstN(3)...), nil, nil, 3, 0}, {s, full(0, 1), nil, nil, 2, 0}},
		"drained, removed":               {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, delta(balance.Draining, 1, 2, 3, 4), nil, nil, 6, 0}, {2 * s, delta(balance.Gone, 1, 2, 3, 4), nil, nil, 6, 0}},
		"a held server drains":           {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(5)...), nil, nil, 10, 5}, {2 * s, delta(balance.Draining, 9), nil, nil, 9, 4}},
		"a complete list again":          {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(5)...), nil, nil, 10, 5}, {2 * s, full(firstN(10)...), nil, nil, 10, 0}},
		"half repaired":                  {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(5)...), nil, nil, 10, 5}, {2 * s, full(firstN(8)...), nil, nil, 8, 0}},
		"traffic finds all gone":         {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(7)...), nil, nil, 10, 3}, {2 * s, Update{}, []string{"s07", "s08", "s09"}, nil, 7, 0}},
		"traffic finds one of five gone": {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(5)...), nil, nil, 10, 5}, {2 * s, Update{}, []string{"s05"}, nil, 9, 4}},
		"accepted":                       {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(5)...), nil, nil, 10, 5}, {2 * s, Update{}, nil, []string{"s05", "s06", "s07", "s08", "s09"}, 5, 0}},
		"accepted in advance":            {{0, full(firstN(10)...), nil, []string{"s05", "s06", "s07", "s08"}, 10, 0}, {s, full(firstN(5)...), nil, nil, 5, 0}},
		"a tenth each second":            {{0, full(firstN(20)...), nil, nil, 20, 0}, {s, full(firstN(18)...), nil, nil, 18, 0}, {2 * s, full(firstN(16)...), nil, nil, 16, 0}, {3 * s, full(firstN(14)...), nil, nil, 16, 2}},
		"a tenth each minute":            {{0, full(firstN(20)...), nil, nil, 20, 0}, {60 * s, full(firstN(18)...), nil, nil, 18, 0}, {121 * s, full(firstN(16)...), nil, nil, 16, 0}, {182 * s, full(firstN(14)...), nil, nil, 14, 0}},
		"dropped, then listed again":     {{0, full(firstN(10)...), nil, nil, 10, 0}, {s, full(firstN(5)...), nil, []string{"s05", "s06", "s07", "s08", "s09"}, 5, 0}, {2 * s, full(firstN(10)...), nil, nil, 10, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			drop := map[string]bool{}
			f := New(DefaultSettings(), func(id string) bool { return drop[id] })
			b := fakeBalancer{}
			for i, p := range steps {
				for _, id := range p.drop {
					drop[id] = true
				}
				switch {
				case p.list.Entries != nil || p.list.Addresses != nil:
					b.apply(f.Apply(p.at, p.list))
				case p.gone != nil:
					if u, changed := f.SetUnreachable(p.at, p.gone); changed {
						b.apply(u)
					}
				default:
					if u, changed := f.Reevaluate(p.at); changed {
						b.apply(u)
					}
				}
				if got := b.inService(); got != p.want || len(f.Held()) != p.held {
					t.Fatalf("step %d: %d in service, %q held; want %d and %d", i, got, f.Held(), p.want, p.held)
				}
				if len(f.Held()) > 0 != (f.HeldSince() > 0) {
					t.Fatalf("HeldSince returned %v, which contradicts the number of held servers", f.HeldSince())
				}
			}
		})
	}
}

// TestFilterInvariants: for any sequence of events, a server listed as draining is taken out of service at once, a
// server listed in service is in service, and no server is in service that the newest list omits and the filter does
// not hold. No held server is listed or may be dropped, and without recent releases a single server is never held.
func TestFilterInvariants(t *testing.T) {
	const servers = 12
	rapid.Check(t, func(t *rapid.T) {
		drop := map[string]bool{}
		set := DefaultSettings()
		f := New(set, func(id string) bool { return drop[id] })
		b := fakeBalancer{}
		truth := map[string]balance.State{} // according to the newest list
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Second
			some := rapid.SliceOfDistinct(rapid.IntRange(0, servers-1), rapid.ID).Draw(t, "some")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				clear(truth)
				u := full(some...)
				for _, e := range u.Entries {
					truth[e.ID] = e.State
				}
				b.apply(f.Apply(now, u))
			case 1:
				state := rapid.SampledFrom([]balance.State{balance.InService, balance.Draining, balance.Gone}).Draw(t, "state")
				u := delta(state, some...)
				for _, e := range u.Entries {
					if truth[e.ID] = e.State; e.State == balance.Gone {
						delete(truth, e.ID)
					}
				}
				b.apply(f.Apply(now, u))
			case 2:
				clear(drop)
				for _, i := range some {
					drop[entry(i, 0).ID] = true
				}
				if u, changed := f.Reevaluate(now); changed {
					b.apply(u)
				}
			case 3:
				var ids []string
				for _, i := range some {
					ids = append(ids, entry(i, 0).ID)
				}
				if u, changed := f.SetUnreachable(now, ids); changed {
					b.apply(u)
				}
			case 4:
				if u := f.Apply(now, Update{Kind: balance.ListFailed}); u.Kind != balance.ListFailed {
					t.Fatal("a failed call was turned into a list")
				}
			}
			held := f.Held()
			want := maps.Clone(truth)
			for _, id := range held {
				if _, named := truth[id]; named {
					t.Fatalf("%s is held although it is listed", id)
				}
				if drop[id] {
					t.Fatalf("%s is held although it may be dropped", id)
				}
				want[id] = balance.InService
			}
			if !maps.Equal(want, map[string]balance.State(b)) {
				t.Fatalf("the balancer has %v, want the listed and held servers %v", b, want)
			}
			if len(held) == 1 && len(f.released) == 0 {
				t.Fatalf("a single server is held: %q", held)
			}
			if !slices.IsSorted(held) {
				t.Fatal(held)
			}
		}
	})
}

// TestRestoredFilterDecidesAsOriginal: a filter that is restored from another's snapshot gives the same results from
// then on, with a clock of its own.
func TestRestoredFilterDecidesAsOriginal(t *testing.T) {
	const servers = 12
	rapid.Check(t, func(t *rapid.T) {
		drop := map[string]bool{}
		mayDrop := func(id string) bool { return drop[id] }
		first, second := New(DefaultSettings(), mayDrop), New(DefaultSettings(), mayDrop)
		ahead := time.Duration(rapid.IntRange(-100, 100).Draw(t, "ahead")) * time.Second
		adoptedAt := rapid.IntRange(0, 10).Draw(t, "adopted at")
		inService := map[string]Server{} // at the balancer
		now := time.Duration(0)
		for step := range rapid.IntRange(adoptedAt, 25).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Second
			if step == adoptedAt {
				second.Restore(now+ahead, first.Snapshot(now), slices.Collect(maps.Values(inService)))
			}
			some := rapid.SliceOfDistinct(rapid.IntRange(0, servers-1), rapid.ID).Draw(t, "some")
			state := rapid.SampledFrom([]balance.State{balance.InService, balance.Draining, balance.Gone}).Draw(t, "state")
			what := rapid.IntRange(0, 3).Draw(t, "what")
			if what == 2 {
				clear(drop)
			}
			var ids []string
			for _, i := range some {
				ids = append(ids, entry(i, 0).ID)
				drop[entry(i, 0).ID] = what == 2 || drop[entry(i, 0).ID]
			}
			decide := func(f *Filter, now time.Duration) (u Update) {
				switch what {
				case 0:
					return f.Apply(now, full(some...))
				case 1:
					return f.Apply(now, delta(state, some...))
				case 2:
					u, _ = f.Reevaluate(now)
				case 3:
					u, _ = f.SetUnreachable(now, ids)
				}
				return u
			}
			u := decide(first, now)
			if step >= adoptedAt {
				if other := decide(second, now+ahead); !reflect.DeepEqual(u, other) {
					t.Fatalf("step %d: the original passes on %+v, the restored filter %+v", step, u, other)
				}
				if !slices.Equal(first.Held(), second.Held()) {
					t.Fatalf("step %d: the original holds %q, the restored filter %q", step, first.Held(), second.Held())
				}
			}
			if u.Kind != balance.Delta {
				clear(inService)
			}
			for _, e := range u.Entries {
				if delete(inService, e.ID); e.State == balance.InService {
					inService[e.ID] = Server{e, u.Addresses[e.ID]}
				}
			}
		}
	})
}
