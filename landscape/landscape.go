// Package landscape checks applications that call each other as a whole. It finds call cycles, deadlines longer than
// the caller's, and attempts that multiply from tier to tier. It has no I/O; its input is the applications'
// descriptions, and its findings refer to locations in them.
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
	Listen []string // addresses that it listens on
	Routes []Route
}

// Route is one route that an application serves.
type Route struct {
	Name   string
	GiveUp time.Duration // maximum time that it works on a request
	Calls  []Call        // made in sequence
}

// Call is a call that a route makes to another application for one request.
type Call struct {
	App, Route string
	GiveUp     time.Duration // how long the caller waits, including all attempts
	Attempts   int           // maximum number
	PerRequest int           // maximum number of calls for one request
}

// Location is the location of a finding in the descriptions, by index. Route or Call is -1 if the finding concerns none.
type Location struct{ App, Route, Call int }

// Code is the kind of a finding.
type Code int

// The codes. CallsExceedTimeout depends on all calls of a route, and TooManyAttempts on whole chains of calls.
const (
	DuplicateApp         Code = iota // another application has the same name
	DuplicateRoute                   // another route of the application has the same name
	DuplicateAddress                 // another application listens on the same address
	UnknownApp                       // a call to an application that is not described
	UnknownRoute                     // a call to a route that the application does not have
	Cycle                            // calls that lead back to the route that makes them
	CallTimeoutTooLong               // a call may take longer than the route that makes it
	CalleeTimeoutTooLong             // the called route may keep working after its caller has stopped waiting
	CallsExceedTimeout               // the calls in sequence may take longer than their route
	TooManyAttempts                  // one request may cause more attempts than the bound
)

func (c Code) String() string {
	return [...]string{
		"two-names", "two-routes", "two-listen", "no-app", "no-route", "cycle", "waits-longer", "works-longer", "no-time", "multiplies",
	}[c]
}

// Finding is a problem in the descriptions.
type Finding struct {
	Code          Code
	Location      Location
	OtherLocation Location // the second location, if the finding involves two
	Chain         []string // "app/route" from the first to the last, for Cycle and TooManyAttempts
	// Available and Required are the two times of a finding about deadlines.
	Available, Required time.Duration
	// Attempts is the number of attempts that one request may cause, for TooManyAttempts.
	Attempts float64
}

// Chain is the worst chain of calls from one route.
type Chain struct {
	Location Location
	Attempts float64 // attempts at the last route of the chain for one request
	Path     []string
}

// Check checks all applications together. bound is the maximum number of attempts that one request may cause at the
// last route of a chain. Findings are in the order of the descriptions. To avoid findings that only follow from others,
// chains do not include calls to applications or routes that do not exist, or calls within a cycle.
func Check(apps []App, bound float64) ([]Finding, []Chain) {
	c := &checker{apps: apps, byName: map[string]int{}, routes: map[Location]*node{}}
	c.checkNames()
	c.resolveCalls()
	c.checkCycles()
	c.checkTimes()
	chains := c.checkChains(bound)
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(a.Location.App-b.Location.App, a.Location.Route-b.Location.Route, a.Location.Call-b.Location.Call, int(a.Code-b.Code))
	})
	return c.findings, chains
}

type checker struct {
	apps     []App
	byName   map[string]int
	routes   map[Location]*node // by app and route
	order    []*node
	findings []Finding
}

// node is a route with its resolved calls.
type node struct {
	place   Location
	name    string
	calls   []*node // nil if the called route does not exist
	inCycle []bool  // whether the call is part of a cycle

	index, low int // of Tarjan's algorithm; index 0 means not visited
	onStack    bool
	component  int

	called        bool    // by a route outside its component
	worstAttempts float64 // attempts at the end of the worst chain; 0 if not computed yet
	worstCall     int     // index of the first call of that chain, or -1
}

func (c *checker) add(f Finding) { c.findings = append(c.findings, f) }

func (c *checker) checkNames() {
	listen := map[string]int{}
	for i, a := range c.apps {
		if other, taken := c.byName[a.Name]; taken {
			c.add(Finding{Code: DuplicateApp, Location: Location{i, -1, -1}, OtherLocation: Location{other, -1, -1}})
		} else {
			c.byName[a.Name] = i
		}
		for _, address := range a.Listen {
			if other, taken := listen[address]; taken && other != i {
				c.add(Finding{Code: DuplicateAddress, Location: Location{i, -1, -1}, OtherLocation: Location{other, -1, -1}})
			} else {
				listen[address] = i
			}
		}
		names := map[string]int{}
		for j, r := range a.Routes {
			if other, taken := names[r.Name]; taken {
				c.add(Finding{Code: DuplicateRoute, Location: Location{i, j, -1}, OtherLocation: Location{i, other, -1}})
			} else {
				names[r.Name] = j
			}
			n := &node{place: Location{i, j, -1}, name: a.Name + "/" + r.Name}
			c.routes[n.place] = n
			c.order = append(c.order, n)
		}
	}
}

// resolveCalls links each call to the node of the called route.
func (c *checker) resolveCalls() {
	for _, n := range c.order {
		calls := c.route(n).Calls
		n.calls, n.inCycle = make([]*node, len(calls)), make([]bool, len(calls))
		for k, call := range calls {
			at := Location{n.place.App, n.place.Route, k}
			app, known := c.byName[call.App]
			if !known {
				c.add(Finding{Code: UnknownApp, Location: at})
				continue
			}
			route := slices.IndexFunc(c.apps[app].Routes, func(r Route) bool { return r.Name == call.Route })
			if route < 0 {
				c.add(Finding{Code: UnknownRoute, Location: at, OtherLocation: Location{app, -1, -1}})
				continue
			}
			n.calls[k] = c.routes[Location{app, route, -1}]
		}
	}
}

func (c *checker) route(n *node) *Route { return &c.apps[n.place.App].Routes[n.place.Route] }

// checkCycles finds the strongly connected components with Tarjan's algorithm and reports one cycle for each component
// that has any. It uses an explicit stack, so the length of a chain of calls is not limited.
func (c *checker) checkCycles() {
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
					f.k++ // continue with the next call after m
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
				parent := frames[len(frames)-1].n
				parent.low = min(parent.low, n.low)
			}
		}
	}
	reported := map[int]bool{}
	for _, n := range c.order {
		for k, m := range n.calls {
			if m == nil || m.component != n.component {
				continue
			}
			n.inCycle[k] = true
			if !reported[n.component] {
				reported[n.component] = true
				c.add(Finding{Code: Cycle, Location: Location{n.place.App, n.place.Route, k}, Chain: c.cycle(n, m)})
			}
		}
	}
}

// cycle returns the shortest cycle that starts with the call from n to m.
func (c *checker) cycle(n, m *node) []string {
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

// checkTimes compares the timeout of each call with those of the calling and the called route.
func (c *checker) checkTimes() {
	for _, n := range c.order {
		r := c.route(n)
		var sum time.Duration
		over := false
		for k, call := range r.Calls {
			at := Location{n.place.App, n.place.Route, k}
			if call.GiveUp > r.GiveUp {
				over = true
				c.add(Finding{Code: CallTimeoutTooLong, Location: at, Available: r.GiveUp, Required: call.GiveUp})
			}
			if m := n.calls[k]; m != nil && !n.inCycle[k] && c.route(m).GiveUp > call.GiveUp {
				c.add(Finding{Code: CalleeTimeoutTooLong, Location: at, OtherLocation: m.place, Available: call.GiveUp, Required: c.route(m).GiveUp})
			}
			sum = addCapped(sum, call.GiveUp, max(call.PerRequest, 1))
		}
		if !over && sum > r.GiveUp {
			c.add(Finding{Code: CallsExceedTimeout, Location: n.place, Available: r.GiveUp, Required: sum})
		}
	}
}

// addCapped returns sum + d*n, capped at the longest duration.
func addCapped(sum, d time.Duration, n int) time.Duration {
	if d <= 0 {
		return sum
	}
	if time.Duration(n) > (math.MaxInt64-sum)/d {
		return math.MaxInt64
	}
	return sum + d*time.Duration(n)
}

// checkChains computes the worst chain from each route that no route outside its component calls. Components are
// numbered with callees first, so a single pass in their order is enough.
func (c *checker) checkChains(bound float64) []Chain {
	byComponent := slices.Clone(c.order)
	slices.SortStableFunc(byComponent, func(a, b *node) int { return a.component - b.component })
	for _, n := range byComponent {
		n.worstAttempts, n.worstCall = 1, -1
		for k, call := range c.route(n).Calls {
			m := n.calls[k]
			if m == nil || n.inCycle[k] {
				continue
			}
			m.called = true
			if worst := float64(max(call.Attempts, 1)) * float64(max(call.PerRequest, 1)) * m.worstAttempts; worst > n.worstAttempts || n.worstCall < 0 {
				n.worstAttempts, n.worstCall = worst, k
			}
		}
	}
	var chains []Chain
	for _, n := range c.order {
		if n.called {
			continue // the chains of its callers include it
		}
		chain := Chain{Location: n.place, Attempts: n.worstAttempts, Path: []string{n.name}}
		for at := n; at.worstCall >= 0; {
			at = at.calls[at.worstCall]
			chain.Path = append(chain.Path, at.name)
		}
		chains = append(chains, chain)
		if n.worstAttempts > bound {
			c.add(Finding{Code: TooManyAttempts, Location: n.place, Chain: chain.Path, Attempts: n.worstAttempts})
		}
	}
	return chains
}
