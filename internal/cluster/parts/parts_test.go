package parts

import (
	"testing"

	"pgregory.net/rapid"

	"brasswell/internal/cluster/view"
)

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name string
		n    int
		c    MemberCounts
		want Factors
	}{
		{"all there", 12, MemberCounts{Present: 12}, Factors{1, 1}},
		{"a third held dead", 12, MemberCounts{Present: 8, Dead: 4}, Factors{1.5, 1}},
		{"a third left", 12, MemberCounts{Present: 8, Left: 4}, Factors{1.5, 1}},
		{"exactly half held dead", 12, MemberCounts{Present: 6, Dead: 6}, Factors{1, 1}},
		{"all others held dead", 12, MemberCounts{Present: 1, Dead: 11}, Factors{1, 1}},
		{"at the start, nobody heard of yet", 12, MemberCounts{Present: 1}, Factors{1, 1}},
		{"at the start, two of three", 3, MemberCounts{Present: 2}, Factors{1, 1}},
		{"three more than agreed", 12, MemberCounts{Present: 15}, Factors{0.8, 0.8}},
		{"three more, of whom two are silent", 12, MemberCounts{Present: 13, Dead: 2}, Factors{12.0 / 13, 0.8}},
		{"replaced under other names", 12, MemberCounts{Present: 12, Left: 12}, Factors{1, 1}},
		{"nothing known", 0, MemberCounts{}, FullShare},
		{"smaller for good", 12, MemberCounts{Present: 3, Left: 9}, Factors{mostSoft, 1}},
	} {
		if got := Decide(c.n, c.c); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestWhatMustHold: a hard part never grows over its share and never with another's silence; the parts of all that see
// the same are the whole of what may be soft, and no more than the whole of what must be hard.
func TestWhatMustHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "instances")
		c := MemberCounts{rapid.IntRange(1, 300).Draw(t, "present"), rapid.IntRange(0, 300).Draw(t, "silent"), rapid.IntRange(0, 300).Draw(t, "left")}
		p := Decide(n, c)
		if p.Hard > 1 || p.Hard <= 0 || p.Soft <= 0 || p.Soft > mostSoft {
			t.Fatalf("%+v", p)
		}
		if more := Decide(n, MemberCounts{c.Present - 1, c.Dead + 1, c.Left}); c.Present > 1 && more.Hard > p.Hard {
			t.Fatalf("one falls silent, and the hard part grows from %v to %v", p.Hard, more.Hard)
		}
		if more := Decide(n, MemberCounts{c.Present + 1, c.Dead, c.Left}); more.Hard > p.Hard {
			t.Fatalf("one joins, and the hard part grows from %v to %v", p.Hard, more.Hard)
		}
		const rounding = 1e-9
		if all := p.Hard * float64(c.Present+c.Dead) / float64(n); all > 1+rounding {
			t.Fatalf("all that may live take %v of what is hard", all)
		}
		if all := p.Soft * float64(c.Present) / float64(n); 2*c.Present > c.Present+c.Dead && all > 1+rounding {
			t.Fatalf("all that are there take %v of what is soft", all)
		}
	})
}

func TestOfCountsAView(t *testing.T) {
	m := func(s view.State) view.Member { return view.Member{Record: view.Record{State: s}} }
	s := view.Snapshot{Members: []view.Member{m(view.Alive), m(view.Suspect), m(view.Dead), m(view.Left), m(view.Alive)}}
	if got := CountMembers(&s); got != (MemberCounts{3, 1, 1}) {
		t.Errorf("%+v", got)
	}
	s.Displaced = true
	if got := CountMembers(&s); got.Present != 4 {
		t.Errorf("displaced: %+v", got)
	}
}
