// Package landscape judges what applications that call each other do together: calls that lead back to where they began,
// deadlines longer than the caller's, and attempts that multiply from tier to tier. It has no I/O; it takes what the
// applications' descriptions say and names the places in them.
package landscape

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// App is one application.
type App struct {
	Name   string
	Listen []string // addresses that it takes for itself
	Routes []Route
}

// Route is one route that an application serves.
type Route struct {
	Name   string
	GiveUp time.Duration // how long it works on a request at most
	Calls  []Call        // one after the other
}

// Call is what a route asks of another application for one request.
type Call struct {
	App, Route string
	GiveUp     time.Duration // how long the caller waits, over all attempts
	Attempts   int           // at most
	PerRequest int           // how often for one request, at most
}

// Place is where in the descriptions a finding lies, by index; -1 where it concerns no route or call.
type Location struct{ App, Route, Call int }

// Code is what is wrong.
type Code int

// The codes. The first group is wrong wherever it stands; NoTime and Multiplies need all chains.
const (
	DuplicateApp         Code = iota // an application's name is taken
	DuplicateRoute                   // a route's name is taken within its application
	DuplicateAddress                 // an address is taken by another application
	UnknownApp                       // a call to an application that no one provides
	UnknownRoute                     // a call to a route that its application has not
	Cycle                            // calls that lead back to their route
	CallTimeoutTooLong               // a call may take longer than the route that makes it
	CalleeTimeoutTooLong             // the called route works on when its caller has stopped waiting
	CallsExceedTimeout               // calls one after the other take longer than their route has
	TooManyAttempts                  // one request becomes more attempts than the bound
)

func (c Code) String() string {
	return [...]string{
		"two-names", "two-routes", "two-listen", "no-app", "no-route", "cycle", "waits-longer", "works-longer", "no-time", "multiplies",
	}[c]
}

// Finding is one thing that is wrong.
type Finding struct {
	Code          Code
	Location      Location
	OtherLocation Location // the other place, for what takes two
	Chain         []string // "app/route" from the first to the last, for Cycle and Multiplies
	// Has and Needs are the two times of a finding on deadlines.
	Available, Required time.Duration
	// Attempts is how many one request becomes, for Multiplies.
	Attempts float64
}

// Chain is what one route leads to at worst.
type Chain struct {
	Location Location
	Attempts float64 // at the far end of the worst chain, for one request
	Path     []string
}

// Check judges all applications together. bound is how many attempts one request may become at the far end of a
// chain. Findings come in the order of the descriptions, none that only follows from another: calls to what does
// not exist and calls within a cycle are left out of the chains.
func Check(apps []App, bound float64) ([]Finding, []Chain) {
	c := &check{apps: apps, byName: map[string]int{}, routes: map[Location]*node{}}
	c.names()
	c.link()
	c.cycles()
	c.times()
	chains := c.chains(bound)
	slices.SortStableFunc(c.found, func(a, b Finding) int {
		return cmp.Or(a.Location.App-b.Location.App, a.Location.Route-b.Location.Route, a.Location.Call-b.Location.Call, int(a.Code-b.Code))
	})
	return c.found, chains
}

type check struct {
	apps   []App
	byName map[string]int
	routes map[Location]*node // by app and route
	order  []*node
	found  []Finding
}

// node is a route with its calls resolved.
type node struct {
	place Location
	name  string
	calls []*node // nil where a call leads nowhere
	loops []bool  // whether a call lies on a cycle

	index, low int // of Tarjan's search; index 0 is not visited
	onStack    bool
	component  int

	called bool    // by a route outside its own component
	worst  float64 // attempts at the far end; 0 while unknown
	next   int     // the call that leads there, or -1
}

func (c *check) find(f Finding) { c.found = append(c.found, f) }

func (c *check) names() {
	listen := map[string]int{}
	for i, a := range c.apps {
		if other, taken := c.byName[a.Name]; taken {
			c.find(Finding{Code: DuplicateApp, Location: Location{i, -1, -1}, OtherLocation: Location{other, -1, -1}})
		} else {
			c.byName[a.Name] = i
		}
		for _, address := range a.Listen {
			if other, taken := listen[address]; taken && other != i {
				c.find(Finding{Code: DuplicateAddress, Location: Location{i, -1, -1}, OtherLocation: Location{other, -1, -1}})
			} else {
				listen[address] = i
			}
		}
		names := map[string]int{}
		for j, r := range a.Routes {
			if other, taken := names[r.Name]; taken {
				c.find(Finding{Code: DuplicateRoute, Location: Location{i, j, -1}, OtherLocation: Location{i, other, -1}})
			} else {
				names[r.Name] = j
			}
			n := &node{place: Location{i, j, -1}, name: a.Name + "/" + r.Name}
			c.routes[n.place] = n
			c.order = append(c.order, n)
		}
	}
}

// link resolves the calls.
func (c *check) link() {
	for _, n := range c.order {
		calls := c.route(n).Calls
		n.calls, n.loops = make([]*node, len(calls)), make([]bool, len(calls))
		for k, call := range calls {
			at := Location{n.place.App, n.place.Route, k}
			app, known := c.byName[call.App]
			if !known {
				c.find(Finding{Code: UnknownApp, Location: at})
				continue
			}
			route := slices.IndexFunc(c.apps[app].Routes, func(r Route) bool { return r.Name == call.Route })
			if route < 0 {
				c.find(Finding{Code: UnknownRoute, Location: at, OtherLocation: Location{app, -1, -1}})
				continue
			}
			n.calls[k] = c.routes[Location{app, route, -1}]
		}
	}
}

func (c *check) route(n *node) *Route { return &c.apps[n.place.App].Routes[n.place.Route] }

// cycles finds the strongly connected components (Tarjan), and in each one cycle to show. It keeps its own stack, so
// that no chain of calls is too long for it.
func (c *check) cycles() {
	var stack []*node
	index, component := 0, 0
	type frame struct {
		n *node
		k int
	}
	for _, start := range c.order {
		if start.index > 0 {
			continue
		}
		frames := []frame{{start, 0}}
		for len(frames) > 0 {
			f := &frames[len(frames)-1]
			n := f.n
			if f.k == 0 {
				index++
				n.index, n.low, n.onStack = index, index, true
				stack = append(stack, n)
			}
			descended := false
			for ; f.k < len(n.calls); f.k++ {
				m := n.calls[f.k]
				switch {
				case m == nil:
				case m.index == 0:
					f.k++ // gone on with after m
					frames = append(frames, frame{m, 0})
					descended = true
				case m.onStack:
					n.low = min(n.low, m.index)
				}
				if descended {
					break
				}
			}
			if descended {
				continue
			}
			if n.low == n.index {
				component++
				for {
					m := stack[len(stack)-1]
					stack = stack[:len(stack)-1]
					m.onStack, m.component = false, component
					if m == n {
						break
					}
				}
			}
			frames = frames[:len(frames)-1]
			if len(frames) > 0 {
				up := frames[len(frames)-1].n
				up.low = min(up.low, n.low)
			}
		}
	}
	shown := map[int]bool{}
	for _, n := range c.order {
		for k, m := range n.calls {
			if m == nil || m.component != n.component {
				continue
			}
			n.loops[k] = true
			if !shown[n.component] {
				shown[n.component] = true
				c.find(Finding{Code: Cycle, Location: Location{n.place.App, n.place.Route, k}, Chain: c.cycle(n, m)})
			}
		}
	}
}

// cycle is the shortest way from n by its call to m back to n.
func (c *check) cycle(n, m *node) []string {
	from := map[*node]*node{m: n}
	queue := []*node{m}
	for len(queue) > 0 && from[n] == nil {
		at := queue[0]
		queue = queue[1:]
		for _, next := range at.calls {
			if next != nil && next.component == n.component && from[next] == nil {
				from[next] = at
				queue = append(queue, next)
			}
		}
	}
	var path []string
	if m != n {
		for at := from[n]; at != n; at = from[at] {
			path = append(path, at.name)
		}
		slices.Reverse(path)
	}
	return append(append([]string{n.name}, path...), n.name)
}

// times compares each call's time with those of the routes at both ends.
func (c *check) times() {
	for _, n := range c.order {
		r := c.route(n)
		var sum time.Duration
		over := false
		for k, call := range r.Calls {
			at := Location{n.place.App, n.place.Route, k}
			if call.GiveUp > r.GiveUp {
				over = true
				c.find(Finding{Code: CallTimeoutTooLong, Location: at, Available: r.GiveUp, Required: call.GiveUp})
			}
			if m := n.calls[k]; m != nil && !n.loops[k] && c.route(m).GiveUp > call.GiveUp {
				c.find(Finding{Code: CalleeTimeoutTooLong, Location: at, OtherLocation: m.place, Available: call.GiveUp, Required: c.route(m).GiveUp})
			}
			sum = add(sum, call.GiveUp, max(call.PerRequest, 1))
		}
		if !over && sum > r.GiveUp {
			c.find(Finding{Code: CallsExceedTimeout, Location: n.place, Available: r.GiveUp, Required: sum})
		}
	}
}

// add is sum + d times n, at most the longest duration.
func add(sum, d time.Duration, n int) time.Duration {
	if d <= 0 {
		return sum
	}
	if time.Duration(n) > (math.MaxInt64-sum)/d {
		return math.MaxInt64
	}
	return sum + d*time.Duration(n)
}

// chains computes what one request becomes at the far end of the worst chain from each route that no other calls.
// Components come callees first, so one walk in their order is enough.
func (c *check) chains(bound float64) []Chain {
	byComponent := slices.Clone(c.order)
	slices.SortStableFunc(byComponent, func(a, b *node) int { return a.component - b.component })
	for _, n := range byComponent {
		n.worst, n.next = 1, -1
		for k, call := range c.route(n).Calls {
			m := n.calls[k]
			if m == nil || n.loops[k] {
				continue
			}
			m.called = true
			if worst := float64(max(call.Attempts, 1)) * float64(max(call.PerRequest, 1)) * m.worst; worst > n.worst || n.next < 0 {
				n.worst, n.next = worst, k
			}
		}
	}
	var chains []Chain
	for _, n := range c.order {
		if n.called {
			continue // the chains that lead here tell of it
		}
		chain := Chain{Location: n.place, Attempts: n.worst, Path: []string{n.name}}
		for at := n; at.next >= 0; {
			at = at.calls[at.next]
			chain.Path = append(chain.Path, at.name)
		}
		chains = append(chains, chain)
		if n.worst > bound {
			c.find(Finding{Code: TooManyAttempts, Location: n.place, Chain: chain.Path, Attempts: n.worst})
		}
	}
	return chains
}
