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

func to(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// balancer is what the updates that are passed on come to.
type balancer map[string]balance.State

func (b balancer) take(u Update) {
	if u.Kind != balance.Delta {
		clear(b)
	}
	for _, e := range u.Entries {
		if b[e.ID] = e.State; e.State == balance.Gone {
			delete(b, e.ID)
		}
	}
}

func (b balancer) inService() (n int) {
	for _, s := range b {
		if s == balance.InService {
			n++
		}
	}
	return n
}

func TestWhatIsHeld(t *testing.T) {
	type step struct {
		at   time.Duration
		list Update
		gone []string
		drop []string
		want int // in service for the balancer
		held int
	}
	s := time.Second
	for name, steps := range map[string][]step{
		"a fifth is let go":              {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(8)...), nil, nil, 8, 0}},
		"three tenths are held":          {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(7)...), nil, nil, 10, 3}},
		"an empty list":                  {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(), nil, nil, 10, 10}},
		"by name too":                    {{0, full(to(10)...), nil, nil, 10, 0}, {s, delta(balance.Gone, 1, 2, 3), nil, nil, 10, 3}},
		"one of three":                   {{0, full(to(3)...), nil, nil, 3, 0}, {s, full(0, 1), nil, nil, 2, 0}},
		"who drained goes":               {{0, full(to(10)...), nil, nil, 10, 0}, {s, delta(balance.Draining, 1, 2, 3, 4), nil, nil, 6, 0}, {2 * s, delta(balance.Gone, 1, 2, 3, 4), nil, nil, 6, 0}},
		"a drain of who is held":         {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(5)...), nil, nil, 10, 5}, {2 * s, delta(balance.Draining, 9), nil, nil, 9, 4}},
		"a list that is whole again":     {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(5)...), nil, nil, 10, 5}, {2 * s, full(to(10)...), nil, nil, 10, 0}},
		"half mended":                    {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(5)...), nil, nil, 10, 5}, {2 * s, full(to(8)...), nil, nil, 8, 0}},
		"traffic finds all gone":         {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(7)...), nil, nil, 10, 3}, {2 * s, Update{}, []string{"s07", "s08", "s09"}, nil, 7, 0}},
		"traffic finds one of five gone": {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(5)...), nil, nil, 10, 5}, {2 * s, Update{}, []string{"s05"}, nil, 9, 4}},
		"accepted":                       {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(5)...), nil, nil, 10, 5}, {2 * s, Update{}, nil, []string{"s05", "s06", "s07", "s08", "s09"}, 5, 0}},
		"accepted before it comes":       {{0, full(to(10)...), nil, []string{"s05", "s06", "s07", "s08"}, 10, 0}, {s, full(to(5)...), nil, nil, 5, 0}},
		"a tenth each second":            {{0, full(to(20)...), nil, nil, 20, 0}, {s, full(to(18)...), nil, nil, 18, 0}, {2 * s, full(to(16)...), nil, nil, 16, 0}, {3 * s, full(to(14)...), nil, nil, 16, 2}},
		"a tenth each minute":            {{0, full(to(20)...), nil, nil, 20, 0}, {60 * s, full(to(18)...), nil, nil, 18, 0}, {121 * s, full(to(16)...), nil, nil, 16, 0}, {182 * s, full(to(14)...), nil, nil, 14, 0}},
		"dropped, and named once more":   {{0, full(to(10)...), nil, nil, 10, 0}, {s, full(to(5)...), nil, []string{"s05", "s06", "s07", "s08", "s09"}, 5, 0}, {2 * s, full(to(10)...), nil, nil, 10, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			drop := map[string]bool{}
			j := New(DefaultSettings(), func(id string) bool { return drop[id] })
			b := balancer{}
			for i, p := range steps {
				for _, id := range p.drop {
					drop[id] = true
				}
				switch {
				case p.list.Entries != nil || p.list.Addresses != nil:
					b.take(j.Apply(p.at, p.list))
				case p.gone != nil:
					if u, any := j.SetUnreachable(p.at, p.gone); any {
						b.take(u)
					}
				default:
					if u, any := j.Reevaluate(p.at); any {
						b.take(u)
					}
				}
				if got := b.inService(); got != p.want || len(j.Held()) != p.held {
					t.Fatalf("step %d: %d in service, %q held; wanted %d and %d", i, got, j.Held(), p.want, p.held)
				}
				if len(j.Held()) > 0 != (j.HeldSince() > 0) {
					t.Fatalf("held since %v", j.HeldSince())
				}
			}
		})
	}
}

// TestWhatMustHold: whatever comes, who is named as draining is left at once; who is named in service is in service; nobody is in
// service whom neither the newest list names nor the judge holds; and what is held is over the share, or nothing is.
func TestWhatMustHold(t *testing.T) {
	const servers = 12
	rapid.Check(t, func(t *rapid.T) {
		drop := map[string]bool{}
		set := DefaultSettings()
		j := New(set, func(id string) bool { return drop[id] })
		b := balancer{}
		truth := map[string]balance.State{} // of the newest list
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
				b.take(j.Apply(now, u))
			case 1:
				state := rapid.SampledFrom([]balance.State{balance.InService, balance.Draining, balance.Gone}).Draw(t, "state")
				u := delta(state, some...)
				for _, e := range u.Entries {
					if truth[e.ID] = e.State; e.State == balance.Gone {
						delete(truth, e.ID)
					}
				}
				b.take(j.Apply(now, u))
			case 2:
				clear(drop)
				for _, i := range some {
					drop[entry(i, 0).ID] = true
				}
				if u, any := j.Reevaluate(now); any {
					b.take(u)
				}
			case 3:
				var ids []string
				for _, i := range some {
					ids = append(ids, entry(i, 0).ID)
				}
				if u, any := j.SetUnreachable(now, ids); any {
					b.take(u)
				}
			case 4:
				if u := j.Apply(now, Update{Kind: balance.ListFailed}); u.Kind != balance.ListFailed {
					t.Fatal("a call that failed became a list")
				}
			}
			held := j.Held()
			want := maps.Clone(truth)
			for _, id := range held {
				if _, named := truth[id]; named {
					t.Fatalf("%s is held, and the list names it", id)
				}
				if drop[id] {
					t.Fatalf("%s is held, and may be dropped", id)
				}
				want[id] = balance.InService
			}
			if !maps.Equal(want, map[string]balance.State(b)) {
				t.Fatalf("the balancer has %v, the list and what is held %v", b, want)
			}
			if len(held) == 1 && len(j.let) == 0 {
				t.Fatalf("one alone is held: %q", held)
			}
			if !slices.IsSorted(held) {
				t.Fatal(held)
			}
		}
	})
}

// TestAdoptedJudgeDecidesAsTheOther: a judge that goes on where another is gives the same answers from then on, by a clock of its own.
func TestAdoptedJudgeDecidesAsTheOther(t *testing.T) {
	const servers = 12
	rapid.Check(t, func(t *rapid.T) {
		drop := map[string]bool{}
		mayDrop := func(id string) bool { return drop[id] }
		first, second := New(DefaultSettings(), mayDrop), New(DefaultSettings(), mayDrop)
		ahead := time.Duration(rapid.IntRange(-100, 100).Draw(t, "ahead")) * time.Second
		adoptedAt := rapid.IntRange(0, 10).Draw(t, "adopted at")
		inService := map[string]Server{} // for the balancer
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
			decide := func(j *Filter, now time.Duration) (u Update) {
				switch what {
				case 0:
					return j.Apply(now, full(some...))
				case 1:
					return j.Apply(now, delta(state, some...))
				case 2:
					u, _ = j.Reevaluate(now)
				case 3:
					u, _ = j.SetUnreachable(now, ids)
				}
				return u
			}
			u := decide(first, now)
			if step >= adoptedAt {
				if other := decide(second, now+ahead); !reflect.DeepEqual(u, other) {
					t.Fatalf("step %d: passes on %+v, and the adopted one %+v", step, u, other)
				}
				if !slices.Equal(first.Held(), second.Held()) {
					t.Fatalf("step %d: holds %q, and the adopted one %q", step, first.Held(), second.Held())
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
