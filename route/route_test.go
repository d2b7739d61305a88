package route

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func table(t testing.TB, routes []Route) *Table {
	t.Helper()
	c, faults := Compile(routes)
	if len(faults) > 0 {
		t.Fatal(faults[0])
	}
	return c
}

func headers(h map[string][]string) func(string) []string {
	return func(name string) []string { return h[name] }
}

// catalogue has the routes of a library's catalogue application.
var catalogue = []Route{
	{Name: "home", Path: "/"},
	{Name: "search", Methods: []string{"GET", "HEAD"}, Path: "/search"},
	{Name: "record", Methods: []string{"GET"}, Path: "/records/{id}"},
	{Name: "newest", Methods: []string{"GET"}, Path: "/records/newest"},
	{Name: "add", Methods: []string{"POST"}, Path: "/records"},
	{Name: "change", Methods: []string{"PUT", "DELETE"}, Path: "/records/{id}"},
	{Name: "holds", Methods: []string{"POST"}, Path: "/patrons/{patron}/holds"},
	{Name: "me", Methods: []string{"POST"}, Path: "/patrons/me/{what}"},
	{Name: "covers", Methods: []string{"GET"}, Path: "/covers/{rest...}"},
	{Name: "cover of the day", Methods: []string{"GET"}, Path: "/covers/today"},
	{Name: "staff search", Methods: []string{"GET"}, Path: "/search", Headers: []Condition{{Header: "x-desk", Any: true}}},
	{Name: "desk 7", Methods: []string{"GET"}, Path: "/search", Headers: []Condition{{Header: "X-Desk", Value: "7"}}},
	{Name: "slash", Methods: []string{"GET"}, Path: "/records/"},
	{Name: "kana", Methods: []string{"GET"}, Path: "/%E6%9C%AC/{id}"},
}

func TestChoose(t *testing.T) {
	c := table(t, catalogue)
	for _, x := range []struct {
		method, path string
		header       map[string][]string
		want         string // the route's name, or the verdict with its details
	}{
		{"GET", "/", nil, "home"},
		{"DELETE", "/", nil, "home"},
		{"GET", "/search", nil, "search"},
		{"HEAD", "/search", map[string][]string{"X-Desk": {"7"}}, "search"},
		{"GET", "/search", map[string][]string{"X-Desk": {"7"}}, "desk 7"},
		{"GET", "/search", map[string][]string{"X-Desk": {"8"}}, "staff search"},
		{"GET", "/search", map[string][]string{"X-Desk": {"7", "8"}}, "staff search"},
		{"GET", "/search", map[string][]string{"X-Desk": {}}, "search"},
		{"POST", "/search", nil, "no method GET HEAD"},
		{"GET", "/records/12", nil, "record"},
		{"GET", "/records/newest", nil, "newest"},
		{"PUT", "/records/newest", nil, "change"},
		{"GET", "/records/", nil, "slash"},
		{"PUT", "/records/", nil, "no method GET"},
		{"POST", "/records", nil, "add"},
		{"PATCH", "/records/12", nil, "no method DELETE GET PUT"},
		{"GET", "/records", nil, "no method POST"},
		{"GET", "/records/1/2", nil, "no path"},
		{"POST", "/patrons/5/holds", nil, "holds"},
		{"POST", "/patrons/me/holds", nil, "me"},
		{"POST", "/patrons/me/fines", nil, "me"},
		{"POST", "/patrons/5/fines", nil, "no path"},
		{"GET", "/covers", nil, "covers"},
		{"GET", "/covers/", nil, "covers"},
		{"GET", "/covers/a/b/c", nil, "covers"},
		{"GET", "/covers/today", nil, "cover of the day"},
		{"GET", "/covers/today/small", nil, "covers"},
		{"GET", "/%e6%9c%ac/3", nil, "kana"},
		{"GET", "/本/3", nil, "kana"},
		{"GET", "/%73earch", nil, "search"},
		{"GET", "", nil, "bad path: it does not begin with a slash"},
		{"GET", "search", nil, "bad path: it does not begin with a slash"},
		{"GET", "//search", nil, "bad path: it has an empty segment"},
		{"GET", "/records//12", nil, "bad path: it has an empty segment"},
		{"GET", "/records/../search", nil, "bad path: it has a dot segment"},
		{"GET", "/records/%2e%2E/search", nil, "bad path: it has a dot segment"},
		{"GET", "/records/..;x/search", nil, "bad path: it has a dot segment with parameters"},
		{"GET", "/records/1%2f2", nil, "bad path: it has an encoded slash, backslash or NUL"},
		{"GET", "/records/1%5c2", nil, "bad path: it has an encoded slash, backslash or NUL"},
		{"GET", `/records\12`, nil, "bad path: it has a backslash"},
		{"GET", "/records/%zz", nil, "bad path: a percent sign is not followed by two hexadecimal digits"},
		{"GET", strings.Repeat("/a", MaxSegments+1), nil, "bad path: it has more than 64 segments"},
		{"GET", strings.Repeat("/a", MaxSegments), nil, "no path"},
	} {
		got := c.Choose(Request{x.method, x.path, headers(x.header)})
		text := got.Verdict.String()
		switch got.Verdict {
		case Found:
			text = catalogue[got.Index].Name
		case NoMethod:
			text += " " + strings.Join(got.Allow, " ")
		case BadPath:
			text += ": " + got.Reason
		}
		if text != x.want {
			t.Errorf("%s %s %v: %q, want %q", x.method, x.path, x.header, text, x.want)
		}
		if (got.Verdict == Found) != (got.Index >= 0) {
			t.Errorf("%s %s: verdict %v with index %d", x.method, x.path, got.Verdict, got.Index)
		}
	}
}

func TestNoHeaders(t *testing.T) {
	c := table(t, []Route{{Methods: []string{"GET"}, Path: "/a", Headers: []Condition{{Header: "X-A", Value: "1"}}}})
	if got := c.Choose(Request{"GET", "/a", nil}); got.Verdict != NoHeaders || got.Allow != nil {
		t.Errorf("without the header: %+v", got)
	}
	if got := c.Choose(Request{"PUT", "/a", nil}); got.Verdict != NoMethod {
		t.Errorf("without the method: %+v", got)
	}
}

func TestCompileFindsEveryFault(t *testing.T) {
	long := strings.Repeat("/a", MaxSegments+1)
	routes := []Route{
		{Path: "a"},
		{Path: "/a?b"},
		{Path: "/a//b"},
		{Path: "/{a}/{a}"},
		{Path: "/{a...}/b"},
		{Path: "/{a"},
		{Path: "/a{b}"},
		{Path: "/{}"},
		{Path: "/{a b}"},
		{Path: "/%1"},
		{Path: "/a%2fb"},
		{Path: "/.."},
		{Path: "/%2e"},
		{Path: "/..;a"},
		{Path: "/a%0a"},
		{Path: long},
		{Path: "/a", Methods: []string{"GET", "PO ST", ""}},
		{Path: "/a", Headers: []Condition{{Header: "X:"}, {Header: "X-A", Any: true}, {Header: "x-a", Value: "1"}}},
		{Path: "/a", Headers: make([]Condition, MaxConditions+1)},
	}
	_, faults := Compile(routes)
	var got []string
	for _, f := range faults {
		if len(routes[f.Index].Headers) <= MaxConditions { // empty header names are errors as well
			got = append(got, f.Error())
		}
	}
	want := []string{
		`route 0: path: path "a": does not begin with a slash; write "/a"`,
		`route 1: path: path "/a?b": contains "?", which ends the path; remove it and what follows`,
		`route 2: path: path "/a//b": has an empty segment; requests with empty segments are rejected, so remove the slash`,
		`route 3: path: path "/{a}/{a}": uses the name {a} twice; give each parameter a different name`,
		`route 4: path: path "/{a...}/b": continues after {a...}, which matches all remaining segments; move it to the end`,
		`route 5: path: path "/{a": segment "{a" is neither a literal nor a {name}; a parameter must be a whole segment`,
		`route 6: path: path "/a{b}": segment "a{b}" is neither a literal nor a {name}; a parameter must be a whole segment`,
		`route 7: path: path "/{}": segment "{}": the parameter name must consist of letters, digits and underscores`,
		`route 8: path: path "/{a b}": segment "{a b}": the parameter name must consist of letters, digits and underscores`,
		`route 9: path: path "/%1": segment "%1": a percent sign must be followed by two hexadecimal digits; write %25 for a literal percent sign`,
		`route 10: path: path "/a%2fb": segment "a%2fb": requests with an encoded slash or a disguised dot segment are rejected, so no request can match it`,
		`route 11: path: path "/..": segment "..": requests with dot segments are rejected; write the resolved path`,
		`route 12: path: path "/%2e": segment "%2e": requests with dot segments are rejected; write the resolved path`,
		`route 13: path: path "/..;a": segment "..;a": requests with an encoded slash or a disguised dot segment are rejected, so no request can match it`,
		`route 14: path: path "/a%0a": segment "a%0a" contains a control character; remove it`,
		`route 15: path: path "` + long + `": has more than 64 segments`,
		`route 16: methods: "PO ST" is not a method; use one such as GET or POST`,
		`route 16: methods: "" is not a method; use one such as GET or POST`,
		`route 17: headers: "X:" is not a header name`,
		`route 17: headers: X-A has two conditions; a request can match only one of them`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if _, faults := Compile(slices.Repeat([]Route{{Path: "/{a}"}}, MaxVariants+1)); len(faults) != 1 || faults[0].Index != MaxVariants {
		t.Errorf("too many variants: %v", faults)
	}
}

func TestOverlaps(t *testing.T) {
	any, one, two := Condition{Header: "X-A", Any: true}, Condition{Header: "x-a", Value: "1"}, Condition{Header: "X-A", Value: "2"}
	other := Condition{Header: "X-B", Value: "1"}
	for _, x := range []struct {
		name   string
		routes []Route
		want   []Overlap
	}{
		{"apart", catalogue[1:6], nil},
		{"the same", []Route{{Path: "/a/{x}"}, {Path: "/a/{y}"}}, []Overlap{{Shadowed, 0, 1, "GET /a/1"}}},
		{"the same by decoding", []Route{{Path: "/a"}, {Path: "/%61"}}, []Overlap{{Shadowed, 0, 1, "GET /a"}}},
		{"every method before one", []Route{{Path: "/a"}, {Path: "/a", Methods: []string{"PUT"}}}, []Overlap{{Shadowed, 0, 1, "PUT /a"}}},
		{"one method before every", []Route{{Path: "/a", Methods: []string{"PUT"}}, {Path: "/a"}}, nil},
		{"some methods in common", []Route{{Path: "/a", Methods: []string{"PUT", "GET"}}, {Path: "/a", Methods: []string{"GET", "POST"}}}, []Overlap{{ByOrder, 0, 1, "GET /a"}}},
		{"other methods", []Route{{Path: "/a", Methods: []string{"PUT"}}, {Path: "/a", Methods: []string{"GET"}}}, nil},
		{"a narrower header", []Route{{Path: "/a"}, {Path: "/a", Headers: []Condition{one}}}, nil},
		{"a value after any", []Route{{Path: "/a", Headers: []Condition{any}}, {Path: "/a", Headers: []Condition{one}}}, nil},
		{"two values", []Route{{Path: "/a", Headers: []Condition{one}}, {Path: "/a", Headers: []Condition{two}}}, nil},
		{"two headers", []Route{{Path: "/a", Headers: []Condition{one}}, {Path: "/a", Headers: []Condition{other}}}, []Overlap{{ByOrder, 0, 1, "GET /a"}}},
		{"crossed", []Route{{Path: "/{x}/b"}, {Path: "/a/{y}"}}, []Overlap{{ByPath, 1, 0, "GET /a/b"}}},
		{"crossed with rest", []Route{{Path: "/a/{r...}"}, {Path: "/{x}/b"}}, []Overlap{{ByPath, 0, 1, "GET /a/b"}}},
		{"nested", []Route{{Path: "/{r...}"}, {Path: "/a/{r...}"}, {Path: "/a/b"}, {Path: "/a/{x}"}}, nil},
		{"a slash at the end", []Route{{Path: "/{x}/"}, {Path: "/a/{y}"}}, nil},
		{"crossed, other methods", []Route{{Path: "/{x}/b", Methods: []string{"PUT"}}, {Path: "/a/{y}", Methods: []string{"GET"}}}, nil},
	} {
		got := Overlaps(x.routes)
		if !slices.Equal(got, x.want) {
			t.Errorf("%s: %+v, want %+v", x.name, got, x.want)
		}
	}
}

// matchesPattern is a reference implementation without a tree: it matches one pattern segment by segment.
func matchesPattern(p Pattern, segments []string) bool {
	for i, s := range p.Segments {
		switch {
		case s.Rest:
			return true
		case i == len(segments), s.Name != "" && segments[i] == "", s.Name == "" && s.Literal != segments[i]:
			return false
		}
	}
	return len(segments) == len(p.Segments)
}

// rank orders patterns that match the same path: the smallest rank takes precedence.
func rank(p Pattern) string {
	var s strings.Builder
	for _, x := range p.Segments {
		switch {
		case x.Rest:
			s.WriteByte('c')
		case x.Name != "":
			s.WriteByte('b')
		default:
			s.WriteByte('a')
		}
	}
	return s.String()
}

var (
	anyPattern = rapid.Custom(func(t *rapid.T) string {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "{}", "{}"}), 0, 4).Draw(t, "parts")
		path := ""
		for i, part := range parts {
			path += "/" + strings.Replace(part, "{}", fmt.Sprintf("{p%d}", i), 1)
		}
		switch rapid.IntRange(0, 4).Draw(t, "end") {
		case 0:
			return path + "/{rest...}"
		case 1:
			return path + "/"
		}
		if path == "" {
			return "/"
		}
		return path
	})
	anyMethods   = rapid.SampledFrom([][]string{nil, {"GET"}, {"PUT"}, {"GET", "PUT"}})
	anyCondition = rapid.SampledFrom([]Condition{{Header: "X-A", Any: true}, {Header: "X-A", Value: "1"}, {Header: "X-B", Value: "1"}})
	anyRoute     = rapid.Custom(func(t *rapid.T) Route {
		return Route{
			Path: anyPattern.Draw(t, "path"), Methods: anyMethods.Draw(t, "methods"),
			Headers: rapid.SliceOfNDistinct(anyCondition, 0, 2, func(c Condition) string { return c.Header }).Draw(t, "headers"),
		}
	})
	anyRequest = rapid.Custom(func(t *rapid.T) Request {
		path := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 5).Draw(t, "parts"), "/")
		if path != "/" && rapid.Bool().Draw(t, "slash") {
			path += "/"
		}
		h := map[string][]string{}
		for _, name := range []string{"X-A", "X-B"} {
			if v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, name); v != "" {
				h[name] = []string{v}
			}
		}
		return Request{rapid.SampledFrom([]string{"GET", "PUT", "POST"}).Draw(t, "method"), path, headers(h)}
	})
)

// TestChoiceIsTheDescribedOne compares the tree with a linear search that sorts all matching routes by precedence, and
// the reported overlaps with the choices for random requests: a shadowed route is never chosen, and the second route of
// another overlap is not chosen if the first one matches too. The example of each such overlap must match both paths.
func TestChoiceIsTheDescribedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfN(anyRoute, 1, 8).Draw(t, "routes")
		c, faults := Compile(routes)
		if len(faults) > 0 {
			t.Fatalf("%v", faults[0])
		}
		overlaps := Overlaps(routes)
		for range 20 {
			r := anyRequest.Draw(t, "request")
			segments, reason := split(r.Path, nil)
			if reason != "" {
				t.Fatalf("%s: %s", r.Path, reason)
			}
			var matching []int
			pathMatches := false
			for i, x := range routes {
				p, _ := ParsePattern(x.Path)
				v := variant{methods: x.Methods, headers: x.Headers}
				if matchesPattern(p, segments) {
					pathMatches = true
					if (len(x.Methods) == 0 || slices.Contains(x.Methods, r.Method)) && v.matches(&r) {
						matching = append(matching, i)
					}
				}
			}
			slices.SortStableFunc(matching, func(i, j int) int {
				p, _ := ParsePattern(routes[i].Path)
				q, _ := ParsePattern(routes[j].Path)
				if byPath := strings.Compare(rank(p), rank(q)); byPath != 0 {
					return byPath
				}
				x, y := variant{headers: routes[i].Headers}, variant{headers: routes[j].Headers}
				switch {
				case x.precedes(&y):
					return -1
				case y.precedes(&x):
					return 1
				}
				return 0
			})
			got := c.Choose(r)
			switch {
			case len(matching) == 0 && got.Verdict == Found, len(matching) > 0 && (got.Verdict != Found || got.Index != matching[0]):
				t.Fatalf("%s %s: %+v, the matching routes are %v", r.Method, r.Path, got, matching)
			case len(matching) == 0 && (got.Verdict == NoPath) == pathMatches:
				t.Fatalf("%s %s: %+v, but some route matches the path: %v", r.Method, r.Path, got, pathMatches)
			}
			for _, o := range overlaps {
				if o.Kind == Shadowed && got.Index == o.Second {
					t.Fatalf("%s %s: chose %d, which is reported as shadowed by %d", r.Method, r.Path, o.Second, o.First)
				}
				if o.Kind != Shadowed && got.Index == o.Second && slices.Contains(matching, o.First) {
					t.Fatalf("%s %s: chose %d, reported to come after %d, which matches too", r.Method, r.Path, o.Second, o.First)
				}
			}
		}
		for _, o := range overlaps {
			if o.Kind == Shadowed {
				continue
			}
			_, path, _ := strings.Cut(o.Example, " ")
			segments, reason := split(path, nil)
			for _, i := range []int{o.First, o.Second} {
				if p, _ := ParsePattern(routes[i].Path); reason != "" || !matchesPattern(p, segments) {
					t.Fatalf("overlap %+v: its example does not match %s (%s)", o, routes[i].Path, reason)
				}
			}
		}
	})
}

func FuzzChoose(f *testing.F) {
	for _, r := range catalogue {
		f.Add("GET", r.Path)
	}
	f.Add("GET", "/records/%2e%2e/search")
	c := table(f, catalogue)
	f.Fuzz(func(t *testing.T, method, path string) {
		got := c.Choose(Request{Method: method, Path: path})
		if got.Verdict == Found && (strings.Contains(path, "//") || strings.Contains(path, "/../") || strings.Contains(path, `\`)) {
			t.Errorf("%q matched route %d", path, got.Index)
		}
	})
}

// FuzzParsePattern checks that a pattern that parses compiles and matches its own example path.
func FuzzParsePattern(f *testing.F) {
	for _, r := range catalogue {
		f.Add(r.Path)
	}
	f.Add("/{a...}/b")
	f.Fuzz(func(t *testing.T, path string) {
		p, err := ParsePattern(path)
		if err != nil {
			return
		}
		c, faults := Compile([]Route{{Path: path}})
		if len(faults) > 0 {
			t.Fatalf("%q parses, but does not compile: %v", path, faults[0])
		}
		matching := examplePath(p, p)
		if got := c.Choose(Request{Method: "GET", Path: matching}); got.Verdict != Found {
			t.Errorf("%q does not match its example %q: %+v", path, matching, got)
		}
	})
}

// BenchmarkChoose shows that the cost depends on the path and not on the number of routes.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		routes := make([]Route, n)
		for i := range routes {
			routes[i] = Route{Methods: []string{"GET"}, Path: fmt.Sprintf("/app%d/records/{id}/copies/{copy}", i)}
		}
		c := table(b, routes)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			r := Request{Method: "GET", Path: fmt.Sprintf("/app%d/records/12/copies/3", n/2)}
			for range b.N {
				if got := c.Choose(r); got.Index != n/2 {
					b.Fatal(got)
				}
			}
		})
	}
}

// BenchmarkBacktrack measures the most expensive request for a table of this size: every branch is searched and none
// matches.
func BenchmarkBacktrack(b *testing.B) {
	var routes []Route
	for i := range 64 {
		path := ""
		for bit := range 6 {
			if i>>bit&1 == 0 {
				path += "/a"
			} else {
				path += fmt.Sprintf("/{p%d}", bit)
			}
		}
		routes = append(routes, Route{Path: path + "/end"})
	}
	c := table(b, routes)
	for range b.N {
		if got := c.Choose(Request{Method: "GET", Path: "/a/a/a/a/a/a/other"}); got.Verdict != NoPath {
			b.Fatal(got)
		}
	}
}
