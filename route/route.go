// Package route matches requests to the routes of an application by method, path and headers only. It has no I/O and no
// clock. A table is compiled once. The cost of a match then depends on the length of the path, not on the number of
// routes.
//
// If several routes match a request, the path decides first: segment by segment from the left, a literal takes precedence
// over a {name}, and a {name} over a {rest...}. Of routes with the same path, the one with more header conditions takes
// precedence, then the one with more exact values, then the one that is listed first. If a route matches the path but not
// the method, the next matching path is tried. A trailing slash makes a different path.
package route

import (
	"fmt"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
)

const (
	// MaxSegments is the maximum number of segments of a pattern or a request path. Real addresses do not have more.
	MaxSegments = 64
	// MaxVariants is the maximum number of routes that share one path. They are tried one after the other.
	MaxVariants = 32
	// MaxConditions is the maximum number of header conditions of a route.
	MaxConditions = 8
)

// Condition requires that a header has the value Value, or any value if Any is set. Names are compared case-insensitively
// (RFC 9110, section 5.1), values exactly.
type Condition struct {
	Header string
	Value  string
	Any    bool
}

// Route is one route of an application's description.
type Route struct {
	Name    string
	Methods []string // empty for every method
	Path    string
	Headers []Condition
}

// Pattern is a parsed path pattern. It consists of literals, {name} for one segment, and {name...} for all remaining
// segments, if any; the latter must be last.
type Pattern struct{ Segments []Segment }

// Segment is one part of a pattern.
type Segment struct {
	Literal string // decoded
	Name    string // name of the parameter; "" for a literal
	Rest    bool   // matches all remaining segments
}

// PatternError describes what is wrong with a pattern and how to fix it.
type PatternError struct {
	Path   string
	Offset int // byte offset of the error in Path
	Text   string
}

func (e *PatternError) Error() string { return fmt.Sprintf("path %q: %s", e.Path, e.Text) }

// ParsePattern parses a path pattern. The error is a *PatternError.
func ParsePattern(path string) (Pattern, error) {
	var p Pattern
	fail := func(at int, format string, v ...any) (Pattern, error) {
		return Pattern{}, &PatternError{path, at, fmt.Sprintf(format, v...)}
	}
	if !strings.HasPrefix(path, "/") {
		return fail(0, "does not begin with a slash; write %q", "/"+path)
	}
	if at := strings.IndexAny(path, "?#"); at >= 0 {
		return fail(at, "contains %q, which ends the path; remove it and what follows", path[at:at+1])
	}
	names := map[string]bool{}
	at := 1
	for part := range strings.SplitSeq(path[1:], "/") {
		switch {
		case len(p.Segments) == MaxSegments:
			return fail(at, "has more than %d segments", MaxSegments)
		case len(p.Segments) > 0 && p.Segments[len(p.Segments)-1].Rest:
			return fail(at, "continues after {%s...}, which matches all remaining segments; move it to the end", p.Segments[len(p.Segments)-1].Name)
		}
		s, err := parseSegment(part)
		switch {
		case err != nil:
			return fail(at, "%v", err)
		case s.Name != "" && names[s.Name]:
			return fail(at, "uses the name {%s} twice; give each parameter a different name", s.Name)
		case part == "" && at < len(path):
			return fail(at, "has an empty segment; requests with empty segments are rejected, so remove the slash")
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
	if !strings.ContainsAny(part, "{}") { // "" is the segment after a trailing slash
		literal, err := url.PathUnescape(part)
		switch {
		case err != nil:
			return Segment{}, fmt.Errorf("segment %q: a percent sign must be followed by two hexadecimal digits; write %%25 for a literal percent sign", part)
		case literal == "." || literal == "..":
			return Segment{}, fmt.Errorf("segment %q: requests with dot segments are rejected; write the resolved path", part)
		case strings.ContainsAny(literal, "/\\") || isParameterizedDot(literal):
			return Segment{}, fmt.Errorf("segment %q: requests with an encoded slash or a disguised dot segment are rejected, so no request can match it", part)
		case strings.ContainsFunc(literal, func(r rune) bool { return r < ' ' || r == 0x7f }):
			return Segment{}, fmt.Errorf("segment %q contains a control character; remove it", part)
		}
		return Segment{Literal: literal}, nil
	}
	name, found := strings.CutPrefix(part, "{")
	name, closed := strings.CutSuffix(name, "}")
	if !found || !closed {
		return Segment{}, fmt.Errorf("segment %q is neither a literal nor a {name}; a parameter must be a whole segment", part)
	}
	name, rest := strings.CutSuffix(name, "...")
	if name == "" || strings.ContainsFunc(name, func(r rune) bool {
		return r != '_' && !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9')
	}) {
		return Segment{}, fmt.Errorf("segment %q: the parameter name must consist of letters, digits and underscores", part)
	}
	return Segment{Name: name, Rest: rest}, nil
}

// Table is a compiled list of routes. It is immutable and safe for concurrent use.
type Table struct{ root node }

// node is a node of the tree of patterns. Each edge is one segment.
type node struct {
	literals  map[string]*node
	param     *node // child for a parameter
	ending    []variant
	wildcards []variant // of patterns whose next segment is {rest...}
}

// variant is one of the routes that share a path.
type variant struct {
	index   int
	methods []string
	headers []Condition
}

// variant returns the route without its path and with canonical header names.
func (r *Route) variant(index int) variant {
	v := variant{index: index, methods: slices.Clone(r.Methods)}
	for _, c := range r.Headers {
		c.Header = textproto.CanonicalMIMEHeaderKey(c.Header)
		v.headers = append(v.headers, c)
	}
	return v
}

// Error describes an error in one route.
type Error struct {
	Index int    // index of the route
	Field string // "path", "methods" or "headers"
	Text  string
}

func (e *Error) Error() string { return fmt.Sprintf("route %d: %s: %s", e.Index, e.Field, e.Text) }

// Compile builds a table. It returns all errors in the order of the routes, and no table if there are any. It does not
// report a valid route that can never be chosen; Overlaps does.
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
			if !isToken(m) {
				fault(i, "methods", "%q is not a method; use one such as GET or POST", m)
			}
		}
		if len(r.Headers) > MaxConditions {
			fault(i, "headers", "%d conditions; the maximum is %d", len(r.Headers), MaxConditions)
		}
		v := r.variant(i)
		for n, c := range v.headers {
			if !isToken(c.Header) {
				fault(i, "headers", "%q is not a header name", r.Headers[n].Header)
			}
			if slices.ContainsFunc(v.headers[:n], func(o Condition) bool { return o.Header == c.Header }) {
				fault(i, "headers", "%s has two conditions; a request can match only one of them", c.Header)
			}
		}
		if err == nil && !t.add(p, v) {
			fault(i, "path", "more than %d routes share %s; give them different paths", MaxVariants, r.Path)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return t, nil
}

// add inserts a variant at its pattern's node. It returns false if the node already has MaxVariants variants.
func (t *Table) add(p Pattern, v variant) bool {
	n := &t.root
	list := &n.ending
	for _, s := range p.Segments {
		switch {
		case s.Rest:
			list = &n.wildcards
			continue
		case s.Name != "":
			if n.param == nil {
				n.param = &node{}
			}
			n = n.param
		default:
			if n.literals == nil {
				n.literals = map[string]*node{}
			}
			if n.literals[s.Literal] == nil {
				n.literals[s.Literal] = &node{}
			}
			n = n.literals[s.Literal]
		}
		list = &n.ending
	}
	if len(*list) == MaxVariants {
		return false
	}
	at := len(*list)
	for at > 0 && v.precedes(&(*list)[at-1]) {
		at--
	}
	*list = slices.Insert(*list, at, v)
	return true
}

// precedes reports whether v takes precedence over a variant that was listed earlier.
func (v *variant) precedes(earlier *variant) bool {
	if len(v.headers) != len(earlier.headers) {
		return len(v.headers) > len(earlier.headers)
	}
	return countExact(v.headers) > countExact(earlier.headers)
}

func countExact(headers []Condition) (n int) {
	for _, c := range headers {
		if !c.Any {
			n++
		}
	}
	return n
}

// Request is the input of Choose. Path is the encoded path as received. Header returns a header's values by its canonical
// name; a nil Header means a request without headers.
type Request struct {
	Method string
	Path   string
	Header func(name string) []string
}

// Verdict is the result of a choice.
type Verdict int

// The verdicts.
const (
	Found     Verdict = iota
	NoPath            // no route matches the path
	NoMethod          // routes match the path, but none the method (RFC 9110, section 15.5.6)
	NoHeaders         // routes match the path and the method, but none the headers
	BadPath           // the path is invalid or ambiguous
)

func (v Verdict) String() string {
	return [...]string{"found", "no path", "no method", "no headers", "bad path"}[v]
}

// Choice is the result of Choose.
type Choice struct {
	Verdict Verdict
	Index   int      // index of the route, or -1 if none was found
	Allow   []string // sorted methods that the path allows, for NoMethod
	Reason  string   // what is wrong with the path, for BadPath
}

// Choose finds a request's route. It rejects a path that other servers might interpret differently. Some servers
// resolve a dot segment or an empty segment and others keep it, so that a request could be handled by the rules of one
// route while the application serves it as another. The same applies to an encoded slash, backslash or NUL.
func (t *Table) Choose(r Request) Choice {
	var buffer [16]string
	segments, reason := split(r.Path, buffer[:0])
	if reason != "" {
		return Choice{Verdict: BadPath, Index: -1, Reason: reason}
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

// choose searches the tree of patterns. It visits each node at most once, because a node is reached by one path only.
func (n *node) choose(segments []string, r *Request, c *Choice) bool {
	if len(segments) == 0 {
		return matchFirst(n.ending, r, c) || matchFirst(n.wildcards, r, c)
	}
	if next := n.literals[segments[0]]; next != nil && next.choose(segments[1:], r, c) {
		return true
	}
	return segments[0] != "" && n.param != nil && n.param.choose(segments[1:], r, c) || matchFirst(n.wildcards, r, c)
}

// matchFirst sets c to the first variant that matches. If none does, it records in c how much of the request matched.
func matchFirst(list []variant, r *Request, c *Choice) bool {
	for i := range list {
		v := &list[i]
		switch {
		case len(v.methods) > 0 && !slices.Contains(v.methods, r.Method):
			if c.Verdict == NoPath {
				c.Verdict = NoMethod
			}
			c.Allow = append(c.Allow, v.methods...)
		case !v.matches(r):
			c.Verdict = NoHeaders
		default:
			*c = Choice{Verdict: Found, Index: v.index}
			return true
		}
	}
	return false
}

func (v *variant) matches(r *Request) bool {
	for _, c := range v.headers {
		var values []string
		if r.Header != nil {
			values = r.Header(c.Header)
		}
		// A repeated header matches no exact value, because the application may use another one of its values.
		if len(values) == 0 || !c.Any && (len(values) > 1 || values[0] != c.Value) {
			return false
		}
	}
	return true
}

// split appends the decoded segments of a path to segments, or returns the reason why the path is rejected.
func split(path string, segments []string) (_ []string, reason string) {
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
			return nil, fmt.Sprintf("it has more than %d segments", MaxSegments)
		}
		if strings.IndexByte(part, '%') >= 0 {
			decoded, err := url.PathUnescape(part)
			if err != nil {
				return nil, "a percent sign is not followed by two hexadecimal digits"
			}
			if strings.ContainsAny(decoded, "/\\\x00") {
				return nil, "it has an encoded slash, backslash or NUL"
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
		case isParameterizedDot(part):
			return nil, "it has a dot segment with parameters"
		}
		segments = append(segments, part)
	}
	return segments, ""
}

// isParameterizedDot reports whether a segment is a dot segment with parameters. Some servers remove the parameters
// before they resolve the segment.
func isParameterizedDot(part string) bool {
	return strings.HasPrefix(part, ".;") || strings.HasPrefix(part, "..;")
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2), as methods and header names are.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r))
	})
}
