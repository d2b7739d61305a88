package route

import (
	"slices"
	"strings"
)

// OverlapKind says how two routes overlap.
type OverlapKind int

// The kinds of overlap.
const (
	// Shadowed means that the second route is never chosen: every request that matches it matches the first.
	Shadowed OverlapKind = iota
	// ByOrder means that some requests match both, and only the order of the routes in the file decides.
	ByOrder
	// ByPath means that some requests match both paths. The path with the literal further left takes them.
	ByPath
)

func (k OverlapKind) String() string { return [...]string{"shadowed", "by order", "by path"}[k] }

// Overlap is a pair of routes that some requests match both. First is the index of the route that takes such requests.
type Overlap struct {
	Kind          OverlapKind
	First, Second int
	Example       string // a request that matches both, as "METHOD /path"
}

// MaxPathCompared is the maximum number of routes for which every pair is compared by path. In a longer list, only routes
// with the same path are compared.
const MaxPathCompared = 2000

// Overlaps finds pairs of routes that conflict. The routes must be valid according to Compile. Each pair is reported at
// most once.
func Overlaps(routes []Route) []Overlap {
	type entry struct {
		p Pattern
		v variant
	}
	entries := make([]entry, len(routes))
	byShape := map[string][]int{} // route indexes by the path's shape
	for i, r := range routes {
		p, err := ParsePattern(r.Path)
		if err != nil {
			continue
		}
		entries[i] = entry{p, r.variant(i)}
		shape := shapeOf(p)
		byShape[shape] = append(byShape[shape], i)
	}
	var found []Overlap
	for _, group := range byShape {
		for n, i := range group {
			for _, j := range group[n+1:] {
				a, b := &entries[i].v, &entries[j].v
				if b.precedes(a) {
					a, b = b, a
				}
				if o, both := compare(a, b); both {
					o.Example = commonMethod(a, b) + " " + examplePath(entries[i].p, entries[i].p)
					found = append(found, o)
				}
			}
		}
	}
	if len(routes) <= MaxPathCompared {
		for i := range entries {
			for j := range entries[:i] {
				a, b := &entries[j], &entries[i]
				if order := crosses(a.p, b.p); order != 0 && commonMethod(&a.v, &b.v) != "" && compatible(a.v.headers, b.v.headers) {
					if order > 0 {
						a, b = b, a
					}
					found = append(found, Overlap{ByPath, a.v.index, b.v.index, commonMethod(&a.v, &b.v) + " " + examplePath(a.p, b.p)})
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

// compare reports how two routes with the same path overlap. a is tried before b.
func compare(a, b *variant) (Overlap, bool) {
	if commonMethod(a, b) == "" || !compatible(a.headers, b.headers) {
		return Overlap{}, false
	}
	o := Overlap{Kind: ByOrder, First: a.index, Second: b.index}
	implied := implies(b.headers, a.headers)
	switch {
	case implied && covers(a.methods, b.methods):
		o.Kind = Shadowed
	case implies(a.headers, b.headers) && (!implied || covers(b.methods, a.methods)):
		return Overlap{}, false // the more specific route is tried first, as intended
	}
	return o, true
}

// covers reports whether the methods a include all of b. An empty list means every method.
func covers(a, b []string) bool {
	return len(a) == 0 || len(b) > 0 && !slices.ContainsFunc(b, func(m string) bool { return !slices.Contains(a, m) })
}

// implies reports whether all requests that meet the conditions a also meet the conditions b.
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

// compatible reports whether a request can meet both lists of conditions.
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

// commonMethod returns a method that both routes accept, or "" if there is none.
func commonMethod(a, b *variant) string {
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

// shapeOf returns a key that is equal for patterns that differ only in the names of their parameters.
func shapeOf(p Pattern) string {
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

// crosses reports whether some path matches both patterns while each pattern is more specific than the other in some
// segment. It returns -1 if a takes precedence, 1 if b does, and 0 if one pattern contains the other or no path matches
// both.
func crosses(a, b Pattern) int {
	var aNarrower, bNarrower bool
	first := 0
	narrower := func(side int) {
		if first == 0 {
			first = side
		}
		if side < 0 {
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
			// The longer pattern must be able to end here.
			longer, side := b.Segments, -1
			if bEnds {
				longer, side = a.Segments, 1
			}
			if !longer[i].Rest {
				return 0
			}
			narrower(side)
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
				return 0 // a parameter does not match an empty segment
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

// examplePath returns a path that matches both patterns.
func examplePath(a, b Pattern) string {
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

// escape percent-encodes a literal so that split decodes it to the same text.
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
