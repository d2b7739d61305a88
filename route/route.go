// Package route chooses which route of an application a request takes: by method, path and headers, and by nothing
// else. It has no I/O and no clock. A table is compiled once; then choosing costs what the path's length asks for,
// not what the number of routes does.
//
// Of several routes that fit a request, the path decides first: segment by segment from the left, a literal goes
// before a {name} and that before a {rest...}. Of routes with the same path, the one with more header conditions
// goes first, of these the one with more exact values, then the one that stands first. A route whose path fits and
// whose method does not leaves the request to the next path that fits. A slash at the end makes another path.
package route

import (
	"fmt"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
)

const (
	// MostSegments of a path, a pattern's or a request's. More is nobody's address.
	MaxSegments = 64
	// MostVariants is how many routes may share one path: they are tried one after the other.
	MaxVariants = 32
	// MostConditions is how many headers one route may ask for.
	MaxConditions = 8
)

// Condition is what a header must be: Value, or anything if Any is set. Names compare without regard to case
// (RFC 9110, section 5.1), values exactly.
type Condition struct {
	Header string
	Value  string
	Any    bool
}

// Route is one route as it is described.
type Route struct {
	Name    string
	Methods []string // none stands for every method
	Path    string
	Headers []Condition
}

// Pattern is a path pattern taken apart: literals, {name} for one segment, and {name...} for the rest, which may be
// empty and stands last.
type Pattern struct{ Segments []Segment }

// Segment is one part of a pattern.
type Segment struct {
	Literal string // decoded
	Name    string // of a parameter; "" for a literal
	Rest    bool   // takes all that follows
}

// PatternError says what is wrong with a pattern, and the mend.
type PatternError struct {
	Path   string
	Offset int // the byte at which it is wrong
	Text   string
}

func (e *PatternError) Error() string { return fmt.Sprintf("path %q: %s", e.Path, e.Text) }

// ParsePattern takes a path pattern apart. The error is a *PatternError.
func ParsePattern(path string) (Pattern, error) {
	var p Pattern
	wrong := func(at int, format string, v ...any) (Pattern, error) {
		return Pattern{}, &PatternError{path, at, fmt.Sprintf(format, v...)}
	}
	if !strings.HasPrefix(path, "/") {
		return wrong(0, "does not begin with a slash; write %q", "/"+path)
	}
	if at := strings.IndexAny(path, "?#"); at >= 0 {
		return wrong(at, "has a %q; a path ends before it, so leave out what follows", path[at:at+1])
	}
	names := map[string]bool{}
	at := 1
	for part := range strings.SplitSeq(path[1:], "/") {
		switch {
		case len(p.Segments) == MaxSegments:
			return wrong(at, "has over %d segments", MaxSegments)
		case len(p.Segments) > 0 && p.Segments[len(p.Segments)-1].Rest:
			return wrong(at, "goes on after {%s...}, which takes all that follows; make it the last", p.Segments[len(p.Segments)-1].Name)
		}
		s, err := parseSegment(part)
		switch {
		case err != nil:
			return wrong(at, "%v", err)
		case s.Name != "" && names[s.Name]:
			return wrong(at, "names {%s} twice; name each parameter differently", s.Name)
		case part == "" && at < len(path):
			return wrong(at, "has an empty segment; requests with one are turned away, so leave out the slash")
		}
		names[s.Name] = true
		if path != "/" {
			p.Segments = append(p.Segments, s)
		}
		at += len(part) + 1
	}
	return p, nil
}

func parseSegment(part string) (Segment, error) {
	if !strings.ContainsAny(part, "{}") { // "" is what stands after a slash at the end
		literal, err := url.PathUnescape(part)
		switch {
		case err != nil:
			return Segment{}, fmt.Errorf("segment %q: a percent sign begins two hexadecimal digits; write %%25 for the sign itself", part)
		case literal == "." || literal == "..":
			return Segment{}, fmt.Errorf("segment %q: requests with one are turned away; write the path that it leads to", part)
		case strings.ContainsAny(literal, "/\\") || dotted(literal):
			return Segment{}, fmt.Errorf("segment %q: requests that hide a slash or a dot segment are turned away, so nothing can fit it", part)
		case strings.ContainsFunc(literal, func(r rune) bool { return r < ' ' || r == 0x7f }):
			return Segment{}, fmt.Errorf("segment %q has a control character; leave it out", part)
		}
		return Segment{Literal: literal}, nil
	}
	name, found := strings.CutPrefix(part, "{")
	name, closed := strings.CutSuffix(name, "}")
	if !found || !closed {
		return Segment{}, fmt.Errorf("segment %q is neither a literal nor a {name}; a parameter takes a whole segment", part)
	}
	name, rest := strings.CutSuffix(name, "...")
	if name == "" || strings.ContainsFunc(name, func(r rune) bool {
		return r != '_' && !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9')
	}) {
		return Segment{}, fmt.Errorf("segment %q: name the parameter with letters, digits and underscores", part)
	}
	return Segment{Name: name, Rest: rest}, nil
}

// Table is a compiled list of routes. It is not changed after Compile and may be used by any number of goroutines.
type Table struct{ root node }

// node is what stands after the segments that lead to it.
type node struct {
	literal map[string]*node
	one     *node // after a parameter
	here    []variant
	rest    []variant // of patterns that end in {rest...} here
}

// variant is one route of those that share a path.
type variant struct {
	index   int
	methods []string
	headers []Condition
}

// variant is the route without its path, with its headers' names as net/http writes them.
func (r *Route) variant(index int) variant {
	v := variant{index: index, methods: slices.Clone(r.Methods)}
	for _, c := range r.Headers {
		c.Header = textproto.CanonicalMIMEHeaderKey(c.Header)
		v.headers = append(v.headers, c)
	}
	return v
}

// Error is what is wrong with one route of a table.
type Error struct {
	Index int    // of the route
	Field string // "path", "methods" or "headers"
	Text  string
}

func (e *Error) Error() string { return fmt.Sprintf("route %d: %s: %s", e.Index, e.Field, e.Text) }

// Compile builds a table. It returns every fault, in the order of the routes, and no table if there is one. What is
// sound in itself but never taken is for Overlaps to tell.
func Compile(routes []Route) (*Table, []*Error) {
	t := &Table{}
	var faults []*Error
	fault := func(i int, field, format string, v ...any) {
		faults = append(faults, &Error{i, field, fmt.Sprintf(format, v...)})
	}
	for i, r := range routes {
		p, err := ParsePattern(r.Path)
		if err != nil {
			fault(i, "path", "%v", err)
		}
		for _, m := range r.Methods {
			if !token(m) {
				fault(i, "methods", "%q is no method; write one like GET or POST", m)
			}
		}
		if len(r.Headers) > MaxConditions {
			fault(i, "headers", "%d conditions; %d at most", len(r.Headers), MaxConditions)
		}
		v := r.variant(i)
		for n, c := range v.headers {
			if !token(c.Header) {
				fault(i, "headers", "%q is no header's name", r.Headers[n].Header)
			}
			if slices.ContainsFunc(v.headers[:n], func(o Condition) bool { return o.Header == c.Header }) {
				fault(i, "headers", "%s is asked for twice; one value at a time can fit", c.Header)
			}
		}
		if err == nil && !t.add(p, v) {
			fault(i, "path", "over %d routes share %s; give them paths of their own", MaxVariants, r.Path)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return t, nil
}

// add puts a variant at its pattern's place, and reports whether there was room.
func (t *Table) add(p Pattern, v variant) bool {
	n := &t.root
	list := &n.here
	for _, s := range p.Segments {
		switch {
		case s.Rest:
			list = &n.rest
			continue
		case s.Name != "":
			if n.one == nil {
				n.one = &node{}
			}
			n = n.one
		default:
			if n.literal == nil {
				n.literal = map[string]*node{}
			}
			if n.literal[s.Literal] == nil {
				n.literal[s.Literal] = &node{}
			}
			n = n.literal[s.Literal]
		}
		list = &n.here
	}
	if len(*list) == MaxVariants {
		return false
	}
	at := len(*list)
	for at > 0 && v.before(&(*list)[at-1]) {
		at--
	}
	*list = slices.Insert(*list, at, v)
	return true
}

// before says whether a variant goes before one that was described earlier.
func (v *variant) before(earlier *variant) bool {
	if len(v.headers) != len(earlier.headers) {
		return len(v.headers) > len(earlier.headers)
	}
	return exact(v.headers) > exact(earlier.headers)
}

func exact(headers []Condition) (n int) {
	for _, c := range headers {
		if !c.Any {
			n++
		}
	}
	return n
}

// Request is what the choice rests on. Path is as it came, encoded. Header gives a header's values by its canonical
// name; nil stands for none.
type Request struct {
	Method string
	Path   string
	Header func(name string) []string
}

// Verdict says what came of a choice.
type Verdict int

// The verdicts.
const (
	Found     Verdict = iota
	NoPath            // no route has the path
	NoMethod          // routes have the path, none the method (RFC 9110, section 15.5.6)
	NoHeaders         // routes have the path and the method, none fits the headers
	BadPath           // the path can be read in more than one way
)

func (v Verdict) String() string {
	return [...]string{"found", "no path", "no method", "no headers", "bad path"}[v]
}

// Choice is what a table says of a request.
type Choice struct {
	Verdict Verdict
	Index   int      // of the route, if one was found
	Allow   []string // the methods that the path has, sorted, if only the method does not fit
	Reason  string   // what is wrong with a bad path
}

// Choose finds a request's route. A path that others might read in another way is turned away, not guessed at: a
// dot or empty segment, which some servers resolve and others keep, would let a request through on one route's terms
// that the application takes for another's. The same holds for a slash or a NUL that is hidden by encoding.
func (t *Table) Choose(r Request) Choice {
	var room [16]string
	segments, why := split(r.Path, room[:0])
	if why != "" {
		return Choice{Verdict: BadPath, Index: -1, Reason: why}
	}
	c := Choice{Verdict: NoPath, Index: -1}
	if t.root.choose(segments, &r, &c) {
		return c
	}
	if c.Verdict != NoMethod {
		c.Allow = nil
	}
	slices.Sort(c.Allow)
	c.Allow = slices.Compact(c.Allow)
	return c
}

// choose walks the tree of patterns, each node at most once, since each has one depth.
func (n *node) choose(segments []string, r *Request, c *Choice) bool {
	if len(segments) == 0 {
		return fit(n.here, r, c) || fit(n.rest, r, c)
	}
	if next := n.literal[segments[0]]; next != nil && next.choose(segments[1:], r, c) {
		return true
	}
	return segments[0] != "" && n.one != nil && n.one.choose(segments[1:], r, c) || fit(n.rest, r, c)
}

// fit looks for the first variant that fits, and otherwise notes how near the request came.
func fit(list []variant, r *Request, c *Choice) bool {
	for i := range list {
		v := &list[i]
		switch {
		case len(v.methods) > 0 && !slices.Contains(v.methods, r.Method):
			if c.Verdict == NoPath {
				c.Verdict = NoMethod
			}
			c.Allow = append(c.Allow, v.methods...)
		case !v.fits(r):
			c.Verdict = NoHeaders
		default:
			*c = Choice{Verdict: Found, Index: v.index}
			return true
		}
	}
	return false
}

func (v *variant) fits(r *Request) bool {
	for _, c := range v.headers {
		var values []string
		if r.Header != nil {
			values = r.Header(c.Header)
		}
		// A header given twice fits no value: which of them counts, the application may see otherwise.
		if len(values) == 0 || !c.Any && (len(values) > 1 || values[0] != c.Value) {
			return false
		}
	}
	return true
}

// split takes a path apart into decoded segments, or says why it can't.
func split(path string, segments []string) (_ []string, why string) {
	if !strings.HasPrefix(path, "/") {
		return nil, "it does not begin with a slash"
	}
	if path == "/" {
		return segments, ""
	}
	for rest, more := path[1:], true; more; {
		var part string
		part, rest, more = strings.Cut(rest, "/")
		if len(segments) == MaxSegments {
			return nil, fmt.Sprintf("it has over %d segments", MaxSegments)
		}
		if strings.IndexByte(part, '%') >= 0 {
			decoded, err := url.PathUnescape(part)
			if err != nil {
				return nil, "a percent sign in it begins no two hexadecimal digits"
			}
			if strings.ContainsAny(decoded, "/\\\x00") {
				return nil, "a slash, a backslash or a NUL is hidden in it by encoding"
			}
			part = decoded
		}
		switch {
		case part == "" && more:
			return nil, "it has an empty segment"
		case part == "." || part == "..":
			return nil, "it has a dot segment"
		case strings.IndexByte(part, '\\') >= 0:
			return nil, "it has a backslash"
		case dotted(part):
			return nil, "it has a dot segment with parameters"
		}
		segments = append(segments, part)
	}
	return segments, ""
}

// dotted says whether a segment is a dot segment with parameters, which some servers cut off before they resolve it.
func dotted(part string) bool {
	return strings.HasPrefix(part, ".;") || strings.HasPrefix(part, "..;")
}

// token says whether a text is a token (RFC 9110, section 5.6.2), as methods and headers' names are.
func token(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r))
	})
}
