// Package description reads an application's description: TOML, 15 to 30 lines for a usual application. It places
// what the decision modules find in the file's lines; it decides nothing itself.
package description

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"brasswell/derive"
	"brasswell/internal/operator"
	"brasswell/route"
)

// Description is one application as its people describe it.
type Description struct {
	Name     string
	Listen   string // where the sidecar takes callers
	Serves   string // where the application listens
	Routes   []route.Route
	App      derive.App
	Services []Service
}

// Service is an application that this one calls.
type Service struct {
	Name      string
	Listen    string // where the sidecar takes the application's calls to it
	Servers   []string
	Discovery string
}

const (
	mostRoutes   = 10_000
	mostServices = 256
)

// Is says whether a text is a description, and not an operator file: it has an [app] table.
func Is(text []byte) bool { return appTable.Match(text) }

var appTable = regexp.MustCompile(`(?m)^[ \t]*\[[ \t]*app[ \t]*\]`)

// reading is one description while it is read.
type reading struct{ d Description }

// Schema describes the file's tables, bound to a new description.
func Schema() (*operator.Schema, error) { return (&reading{}).schema() }

func (r *reading) schema() (*operator.Schema, error) {
	return operator.NewSchema(r.app(), r.routes(), r.calls())
}

func (r *reading) app() operator.Section {
	a := &r.d.App
	a.Memory, a.Sockets = 64<<20, 512
	return operator.Section{
		Name: "app", Doc: "The application.", Absent: "the file is not a description.",
		Keys: []operator.Key{
			operator.Name("name", &r.d.Name, "Its name, by which others refer to it.").MustBeSet(),
			operator.Address("listen", &r.d.Listen, "The address at which the sidecar accepts callers.").MustBeSet(),
			operator.Address("serves", &r.d.Serves, "The address at which the application itself listens.").MustBeSet(),
			operator.Size("memory", &a.Memory, 16<<20, 64<<30, "How much memory the sidecar may use."),
			operator.Int("sockets", &a.Sockets, 64, 1<<20, "How many descriptors the sidecar may have open."),
		},
		Check: func() []operator.Problem {
			var found []operator.Problem
			for _, x := range []struct{ key, address string }{{"listen", r.d.Listen}, {"serves", r.d.Serves}} {
				if problem := loopback(x.address); problem != "" {
					found = append(found, operator.Problem{Key: x.key, Text: problem})
				}
			}
			if r.d.Listen == r.d.Serves {
				found = append(found, operator.Problem{Key: "serves", Text: fmt.Sprintf(
					"%s is where the sidecar listens too; it would call itself; give the application an address of its own", r.d.Serves)})
			}
			return found
		},
	}
}

// loopback says what is wrong with an address that must be this machine's own.
func loopback(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "" // told where it was read
	}
	if host == "localhost" {
		return ""
	}
	ip, err := netip.ParseAddr(host)
	if err == nil && ip.IsLoopback() {
		return ""
	}
	return fmt.Sprintf("%s is not on this machine alone; the sidecar speaks without encryption, so anyone on the network could read and call; write 127.0.0.1 or [::1]", address)
}

func (r *reading) routes() operator.Section {
	return operator.Section{
		Name: "route", Doc: "One kind of request, and what it does.", Absent: "nothing is served.", MostTables: mostRoutes,
		Each: func() ([]operator.Key, func() []operator.Problem) {
			x, m, headers := &derive.Route{Wanted: time.Second, GiveUp: 2 * time.Second}, &route.Route{}, []string(nil)
			return []operator.Key{
					operator.Name("name", &x.Name, "Its name in logs.").MustBeSet(),
					operator.List("methods", &m.Methods, nil, "Its methods; an empty list means all."),
					operator.Text("path", &m.Path, "Its path, with {name} for one segment and {rest...} for all that follow it.").MustBeSet(),
					operator.List("headers", &headers, headerProblem, `Headers that it requires, as "Name: value", or "Name" for any value.`),
					operator.List("reads", &x.Reads, nil, "The data that it reads."),
					operator.List("writes", &x.Writes, nil, "The data that it changes."),
					operator.Choice("repeat", &x.Repeat, []string{"", "safe", "keyed", "never"}, "Whether its authors consider it safe to repeat; checked against what it writes."),
					operator.Text("key", &x.Key, "The header with the key by which repeats are recognized and dropped."),
					operator.Choice("group", &x.Group, []string{"", "all", "zone", "cell"}, "Which servers share their knowledge of keys."),
					operator.Duration("window", &x.Window, 0, derive.MaxTime, "How long they remember a key."),
					operator.Duration("wanted", &x.Wanted, derive.MinTime, derive.MaxTime, "The time after which a response is of no use.").MustBeSet(),
					operator.Duration("give_up", &x.GiveUp, derive.MinTime, derive.MaxTime, "How long a caller waits.").MustBeSet(),
					operator.Float("worth", &x.Value, 0, 1e6, "Its value relative to the other routes; 0 to derive it."),
					operator.Size("body", &x.Body, 0, 1<<30, "The maximum size of its body."),
					operator.List("uses", &x.Uses, nil, "Services that it calls, one after the other."),
				}, func() []operator.Problem {
					for _, h := range headers {
						name, value, exact := strings.Cut(h, ":")
						m.Headers = append(m.Headers, route.Condition{Header: strings.TrimSpace(name), Value: strings.TrimSpace(value), Any: !exact})
					}
					m.Name, x.Methods = x.Name, m.Methods
					first := slices.IndexFunc(r.d.Routes, func(o route.Route) bool { return o.Name == m.Name })
					r.d.Routes, r.d.App.Routes = append(r.d.Routes, *m), append(r.d.App.Routes, *x)
					if first >= 0 {
						return []operator.Problem{{Key: "name", Text: fmt.Sprintf("%q is taken by another [[route]]; name each differently", m.Name)}}
					}
					return nil
				}
		},
	}
}

func headerProblem(h string) string {
	if name, _, _ := strings.Cut(h, ":"); strings.TrimSpace(name) == "" {
		return fmt.Sprintf("%q has no header's name; write one such as \"X-Desk: 7\"", h)
	}
	return ""
}

func (r *reading) calls() operator.Section {
	return operator.Section{
		Name: "calls", Doc: "A service that the application calls.", Absent: "it calls none.", MostTables: mostServices,
		Each: func() ([]operator.Key, func() []operator.Problem) {
			s, share := &Service{}, 0.0
			return []operator.Key{
					operator.Name("name", &s.Name, "Its name, which routes use.").MustBeSet(),
					operator.Address("listen", &s.Listen, "The address at which the sidecar accepts the application's calls to it.").MustBeSet(),
					operator.List("servers", &s.Servers, addressProblem, "Its servers."),
					operator.Address("discovery", &s.Discovery, "The address of the discovery that provides its server list, instead of servers."),
					operator.Float("share", &share, 0, 1, "Its share of what services may use of the sidecar; 0 for an equal share."),
				}, func() []operator.Problem {
					return r.addService(s, share)
				}
		},
	}
}

func addressProblem(a string) string {
	if _, _, err := net.SplitHostPort(a); err != nil {
		return fmt.Sprintf("%q is no address; write one such as \"127.0.0.1:7070\"", a)
	}
	return ""
}

func (r *reading) addService(s *Service, share float64) []operator.Problem {
	var found []operator.Problem
	wrong := func(key, format string, v ...any) {
		found = append(found, operator.Problem{Key: key, Text: fmt.Sprintf(format, v...)})
	}
	for _, other := range r.d.Services {
		if other.Name == s.Name {
			wrong("name", "%q is taken by another [[calls]]; name each differently", s.Name)
		}
		if other.Listen == s.Listen {
			wrong("listen", "%s is taken by [[calls]] %s; only one could be opened; give each its own", s.Listen, other.Name)
		}
	}
	if s.Listen == r.d.Listen || s.Listen == r.d.Serves {
		wrong("listen", "%s is taken by [app]; only one could be opened; give each its own", s.Listen)
	}
	if problem := loopback(s.Listen); problem != "" {
		wrong("listen", "%s", problem)
	}
	known := len(s.Servers)
	switch {
	case s.Discovery != "" && known > 0:
		wrong("servers", "both servers and discovery; which one applies would be a guess; leave one out")
	case s.Discovery == "" && known == 0:
		wrong("servers", "neither servers nor discovery; every call would fail; list its servers or name its discovery")
	}
	for i, a := range s.Servers {
		if slices.Contains(s.Servers[:i], a) {
			wrong("servers", "%s stands twice; it would get twice its part and repeats could return to it; leave one out", a)
			break
		}
	}
	r.d.Services = append(r.d.Services, *s)
	r.d.App.Calls = append(r.d.App.Calls, derive.Service{Name: s.Name, Servers: known, Share: share})
	return found
}

// Parse reads a description and everything that is wrong with it, by itself. Where a finding is an error, the
// description and the plan are nil.
func Parse(file string, text []byte) (*Description, *derive.Plan, []operator.Finding) {
	r := &reading{}
	schema, err := r.schema()
	if err != nil {
		return nil, nil, []operator.Finding{{File: file, Line: 1, Column: 1, Text: err.Error()}}
	}
	_, places, err := schema.ParsePlaced(file, text)
	if err != nil {
		// What the modules would say of half a description only follows from this.
		return nil, nil, err.(operator.Error)
	}
	if _, has := places["app"]; !has {
		return nil, nil, []operator.Finding{{File: file, Line: 1, Column: 1, Text: "no [app] table; write one with name, listen and serves"}}
	}
	r.d.App.Name = r.d.Name
	var found []operator.Finding
	find := func(table, key string, warning bool, format string, v ...any) {
		at, set := places[table+"."+key]
		if !set {
			at = places[table]
		}
		found = append(found, operator.Finding{
			File: file, Line: at.Line, Column: at.Column, Key: table + "." + key, Warning: warning, Text: fmt.Sprintf(format, v...),
		})
	}
	if len(r.d.Routes) == 0 {
		find("app", "name", false, "no [[route]]; every request would be answered 404; describe what the application serves")
	}
	_, faults := route.Compile(r.d.Routes)
	for _, f := range faults {
		find(fmt.Sprintf("route[%d]", f.Index), f.Field, false, "%s", f.Text)
	}
	if len(faults) == 0 {
		overlaps(r.d.Routes, find)
	}
	plan, derived := derive.Derive(r.d.App)
	for _, f := range derived {
		table := "app"
		switch {
		case f.Route >= 0:
			table = fmt.Sprintf("route[%d]", f.Route)
		case f.Service >= 0 && f.Field != "sockets":
			table = fmt.Sprintf("calls[%d]", f.Service)
		}
		find(table, f.Field, f.Warning, "%s; %s; %s", f.Cause, f.Effect, f.Fix)
	}
	slices.SortStableFunc(found, func(a, b operator.Finding) int {
		return cmp.Or(operator.ByPlace(a, b), strings.Compare(a.Text, b.Text))
	})
	if slices.ContainsFunc(found, func(f operator.Finding) bool { return !f.Warning }) {
		return nil, nil, found
	}
	return &r.d, plan, found
}

// overlaps tells of routes that get in each other's way, at the one that loses.
func overlaps(routes []route.Route, find func(table, key string, warning bool, format string, v ...any)) {
	for _, o := range route.Overlaps(routes) {
		first, table := routes[o.First].Name, fmt.Sprintf("route[%d]", o.Second)
		switch o.Kind {
		case route.Shadowed:
			find(table, "path", false, "never taken: whatever fits it, such as %s, is %s's; it would be served on that route's terms; take one of them out", o.Example, first)
		case route.ByOrder:
			find(table, "path", true, "%s fits this and %s, which takes it only because it stands first; moving a table would change it; make their headers or methods exclude each other", o.Example, first)
		case route.ByPath:
			find(table, "path", true, "%s fits this and %s, which takes it; if the application sees it otherwise, it is served on the wrong terms; add a route for it", o.Example, first)
		}
	}
}
