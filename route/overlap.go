package route

import (
	"slices"
	"strings"
)

// Kind is how two routes overlap.
type OverlapKind int

// The kinds of overlap.
const (
	// Shadowed: the second is never taken; every request that fits it is the first's.
	Shadowed OverlapKind = iota
	// ByOrder: some requests fit both, and only the order in the file decides.
	ByOrder
	// ByPath: some requests fit both paths; the one with the literal further left takes them.
	ByPath
)

func (k OverlapKind) String() string { return [...]string{"shadowed", "by order", "by path"}[k] }

// Overlap is two routes that some requests fit both. First is the one that takes them.
type Overlap struct {
	Kind          OverlapKind
	First, Second int
	Example       string // a request that fits both, as "METHOD /path"
}

// MostCrossed is how many routes are compared by path with each other; of a longer list, only routes with the same
// path are.
const MaxPathCompared = 2000

// Overlaps finds the routes that get in each other's way. The routes must be sound, as Compile says. A route that is
// shadowed is not told of again for the same other route.
func Overlaps(routes []Route) []Overlap {
	type entry struct {
		p Pattern
		v variant
	}
	entries := make([]entry, len(routes))
	same := map[string][]int{} // by the path's shape
	for i, r := range routes {
		p, err := ParsePattern(r.Path)
		if err != nil {
			continue
		}
		entries[i] = entry{p, r.variant(i)}
		shape := shape(p)
		same[shape] = append(same[shape], i)
	}
	var found []Overlap
	for _, group := range same {
		for n, i := range group {
			for _, j := range group[n+1:] {
				a, b := &entries[i].v, &entries[j].v
				if b.before(a) {
					a, b = b, a
				}
				if o, both := compare(a, b); both {
					o.Example = method(a, b) + " " + example(entries[i].p, entries[i].p)
					found = append(found, o)
				}
			}
		}
	}
	if len(routes) <= MaxPathCompared {
		for i := range entries {
			for j := range entries[:i] {
				a, b := &entries[j], &entries[i]
				if left := crosses(a.p, b.p); left != 0 && method(&a.v, &b.v) != "" && compatible(a.v.headers, b.v.headers) {
					if left > 0 {
						a, b = b, a
					}
					found = append(found, Overlap{ByPath, a.v.index, b.v.index, method(&a.v, &b.v) + " " + example(a.p, b.p)})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b Overlap) int {
		if a.Second != b.Second {
			return a.Second - b.Second
		}
		return a.First - b.First
	})
	return found
}

// compare says how two routes with the same path overlap, the first of which is tried first.
func compare(a, b *variant) (Overlap, bool) {
	if method(a, b) == "" || !compatible(a.headers, b.headers) {
		return Overlap{}, false
	}
	o := Overlap{Kind: ByOrder, First: a.index, Second: b.index}
	implied := implies(b.headers, a.headers)
	switch {
	case implied && covers(a.methods, b.methods):
		o.Kind = Shadowed
	case implies(a.headers, b.headers) && (!implied || covers(b.methods, a.methods)):
		return Overlap{}, false // the narrower one goes first, as it is meant
	}
	return o, true
}

// covers says whether a list of methods has all of another.
func covers(a, b []string) bool {
	return len(a) == 0 || len(b) > 0 && !slices.ContainsFunc(b, func(m string) bool { return !slices.Contains(a, m) })
}

// implies says whether all requests that meet the conditions of a meet those of b.
func implies(a, b []Condition) bool {
	for _, want := range b {
		if !slices.ContainsFunc(a, func(c Condition) bool {
			return c.Header == want.Header && (want.Any || !c.Any && c.Value == want.Value)
		}) {
			return false
		}
	}
	return true
}

// compatible says whether a request can meet both lists of conditions.
func compatible(a, b []Condition) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Header == y.Header && !x.Any && !y.Any && x.Value != y.Value {
				return false
			}
		}
	}
	return true
}

// method is one that both routes take, or "".
func method(a, b *variant) string {
	switch {
	case len(a.methods) == 0 && len(b.methods) == 0:
		return "GET"
	case len(a.methods) == 0:
		return b.methods[0]
	}
	for _, m := range a.methods {
		if len(b.methods) == 0 || slices.Contains(b.methods, m) {
			return m
		}
	}
	return ""
}

// shape is the same for patterns that differ only in their parameters' names.
func shape(p Pattern) string {
	var s strings.Builder
	for _, x := range p.Segments {
		switch {
		case x.Rest:
			s.WriteString("/{...}")
		case x.Name != "":
			s.WriteString("/{}")
		default:
			s.WriteString("/=" + x.Literal)
		}
	}
	return s.String()
}

// crosses says whether two paths fit some request both, each being narrower than the other somewhere: -1 if a goes
// before b, 1 if b before a, and 0 if one is a part of the other, or nothing fits both.
func crosses(a, b Pattern) int {
	var aNarrower, bNarrower bool
	first := 0
	narrower := func(who int) {
		if first == 0 {
			first = who
		}
		if who < 0 {
			aNarrower = true
		} else {
			bNarrower = true
		}
	}
	for i := 0; ; i++ {
		aEnds, bEnds := i == len(a.Segments), i == len(b.Segments)
		switch {
		case aEnds && bEnds:
			if aNarrower && bNarrower {
				return first
			}
			return 0
		case aEnds || bEnds:
			// What still follows must be able to be nothing.
			longer, who := b.Segments, -1
			if bEnds {
				longer, who = a.Segments, 1
			}
			if !longer[i].Rest {
				return 0
			}
			narrower(who)
			if aNarrower && bNarrower {
				return first
			}
			return 0
		}
		x, y := a.Segments[i], b.Segments[i]
		switch {
		case x.Rest || y.Rest:
			if !x.Rest {
				narrower(-1)
			} else if !y.Rest {
				narrower(1)
			}
			if aNarrower && bNarrower {
				return first
			}
			return 0
		case x.Name != "" && y.Name != "":
		case x.Name != "":
			if y.Literal == "" {
				return 0 // a parameter takes no empty segment
			}
			narrower(1)
		case y.Name != "":
			if x.Literal == "" {
				return 0
			}
			narrower(-1)
		case x.Literal != y.Literal:
			return 0
		}
	}
}

// example is a path that fits both patterns.
func example(a, b Pattern) string {
	var s strings.Builder
	for i := range max(len(a.Segments), len(b.Segments)) {
		part := ""
		for _, p := range []Pattern{a, b} {
			if i < len(p.Segments) && !p.Segments[i].Rest {
				if p.Segments[i].Name == "" {
					part = escape(p.Segments[i].Literal)
				} else if part == "" {
					part = "1"
				}
			}
		}
		if part == "" && (i >= len(a.Segments) || a.Segments[i].Rest) && (i >= len(b.Segments) || b.Segments[i].Rest) {
			break
		}
		s.WriteString("/" + part)
	}
	if s.Len() == 0 {
		return "/"
	}
	return s.String()
}

// escape writes a literal so that split reads it back.
func escape(literal string) string {
	const hex = "0123456789ABCDEF"
	var s strings.Builder
	for i := range len(literal) {
		c := literal[i]
		if 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0 {
			s.WriteByte(c)
		} else {
			s.Write([]byte{'%', hex[c>>4], hex[c&15]})
		}
	}
	return s.String()
}
