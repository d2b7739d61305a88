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
		{"a third considered dead", 12, MemberCounts{Present: 8, Dead: 4}, Factors{1.5, 1}},
		{"a third left", 12, MemberCounts{Present: 8, Left: 4}, Factors{1.5, 1}},
		{"exactly half considered dead", 12, MemberCounts{Present: 6, Dead: 6}, Factors{1, 1}},
		{"all others considered dead", 12, MemberCounts{Present: 1, Dead: 11}, Factors{1, 1}},
		{"at the start, no other member seen yet", 12, MemberCounts{Present: 1}, Factors{1, 1}},
		{"at the start, two of three", 3, MemberCounts{Present: 2}, Factors{1, 1}},
		{"three more than agreed", 12, MemberCounts{Present: 15}, Factors{0.8, 0.8}},
		{"three more, two of them silent", 12, MemberCounts{Present: 13, Dead: 2}, Factors{12.0 / 13, 0.8}},
		{"replaced under other names", 12, MemberCounts{Present: 12, Left: 12}, Factors{1, 1}},
		{"nothing known", 0, MemberCounts{}, FullShare},
		{"permanently reduced", 12, MemberCounts{Present: 3, Left: 9}, Factors{maxSoft, 1}},
	} {
		if got := Decide(c.n, c.c); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestDecideInvariants: the hard factor never exceeds 1 and never grows because a member falls silent or joins. The
// shares of all members with the same view add up to at most the whole limit: over the members that may be alive for
// hard limits, and over a present majority for soft limits.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "instances")
		c := MemberCounts{rapid.IntRange(1, 300).Draw(t, "present"), rapid.IntRange(0, 300).Draw(t, "silent"), rapid.IntRange(0, 300).Draw(t, "left")}
		f := Decide(n, c)
		if f.Hard > 1 || f.Hard <= 0 || f.Soft <= 0 || f.Soft > maxSoft {
			t.Fatalf("factors out of range: %+v", f)
		}
		if more := Decide(n, MemberCounts{c.Present - 1, c.Dead + 1, c.Left}); c.Present > 1 && more.Hard > f.Hard {
			t.Fatalf("a member falls silent and the hard factor grows from %v to %v", f.Hard, more.Hard)
		}
		if more := Decide(n, MemberCounts{c.Present + 1, c.Dead, c.Left}); more.Hard > f.Hard {
			t.Fatalf("a member joins and the hard factor grows from %v to %v", f.Hard, more.Hard)
		}
		const rounding = 1e-9
		if all := f.Hard * float64(c.Present+c.Dead) / float64(n); all > 1+rounding {
			t.Fatalf("all members that may be alive use %v of a hard limit", all)
		}
		if all := f.Soft * float64(c.Present) / float64(n); 2*c.Present > c.Present+c.Dead && all > 1+rounding {
			t.Fatalf("all present members use %v of a soft limit", all)
		}
	})
}

func TestCountMembers(t *testing.T) {
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
