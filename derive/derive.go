// Package derive turns a short description of an application into what its sidecar needs to know, with the reason for
// each figure: whether a request may be repeated, within which window, how often, how long for, and what each service
// that it calls may take of the sidecar. It has no I/O, and equal descriptions give equal answers.
//
// What a route does decides its effect, never its name or its method alone: a route that writes is repeated only under
// a key, and only where the servers that saw the key still remember it.
package derive

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"brasswell/balance"
)

// App is an application as its people describe it.
type App struct {
	Name    string
	Memory  int64 // bytes that the sidecar may use
	Sockets int
	Routes  []Route
	Calls   []Service
}

// Route is what an application does for one kind of request.
type Route struct {
	Name    string
	Methods []string
	Reads   []string // what it looks at
	Writes  []string // what it changes
	Repeat  string   // what the people believe: "", "safe", "keyed" or "never"
	Key     string   // the header with the key under which repeats are dropped
	Group   string   // which servers share what they know of keys: "all", "zone" or "cell"
	Window  time.Duration
	Wanted  time.Duration // an answer later than this is of no use
	GiveUp  time.Duration // how long a caller waits
	Value   float64       // against the other routes; 0 for derived
	Body    int64         // the longest body, bytes
	Uses    []string      // services that it calls, one after the other
}

// Service is another application that this one calls.
type Service struct {
	Name    string
	Servers int // how many are listed; 0 where discovery names them
	Share   float64
}

// Finding is something wrong with a description. An error breaks a rule; a warning hurts.
type Finding struct {
	Code    string
	Warning bool
	Route   int // by index, or -1
	Service int // by index, or -1
	Field   string
	Cause   string // what is wrong
	Effect  string // what would happen in service
	Fix     string
}

// Figure is one derived value and why it is so.
type Figure struct {
	Name, Value, Reason string
}

// Class is a route's class for the balancer.
type Class struct {
	Route        int
	Class        balance.Class
	Attempts     int
	CallTimeouts []time.Duration // for each service that the route uses, how long its call may take
	Figures      []Figure
}

// Bulkhead is what one service may take of the sidecar, so that its failing starves no other.
type Bulkhead struct {
	Service int
	Sockets int
	Memory  int64
	Figures []Figure
}

// Plan is what a sidecar needs.
type Plan struct {
	Classes   []Class
	Bulkheads []Bulkhead
}

const (
	// mostAttempts of one request at one tier: with three, a server that fails one request in ten loses one in a
	// thousand, and a fourth would add more load than answers.
	mostAttempts = 3
	// ownShare of a route's time is kept for the application's own work; the calls share the rest.
	ownShare = 0.2
	// windowSlack of a window is not used: clocks and queues take their part.
	windowSlack = 0.1
	// ingressShare of sockets and memory is for those who call the application.
	ingressShare = 0.5
	// bodyShare of the callers' memory is for their bodies.
	bodyShare = 0.25
	// leastSockets of a service: fewer can't carry a request with a repeat.
	leastSockets = 4
	// LeastTime and MostTime bound every time that a description says.
	MinTime, MaxTime = time.Millisecond, time.Hour
)

// Derive makes the plan. Where a finding is an error there is no plan.
func Derive(a App) (*Plan, []Finding) {
	d := &deriving{app: a}
	d.checkRoutes()
	d.checkServices()
	if slices.ContainsFunc(d.found, func(f Finding) bool { return !f.Warning }) {
		return nil, d.found
	}
	p := &Plan{}
	for i := range a.Routes {
		p.Classes = append(p.Classes, d.class(i))
	}
	for i := range a.Calls {
		p.Bulkheads = append(p.Bulkheads, d.bulkhead(i))
	}
	return p, d.found
}

type deriving struct {
	app   App
	found []Finding
}

func (d *deriving) route(i int, warning bool, code, field, cause, effect, mend string) {
	d.found = append(d.found, Finding{code, warning, i, -1, field, cause, effect, mend})
}

func (d *deriving) service(i int, warning bool, code, field, cause, effect, mend string) {
	d.found = append(d.found, Finding{code, warning, -1, i, field, cause, effect, mend})
}

// effect is what a route's deeds say of repeating it.
func (r *Route) effect() balance.Effect {
	switch {
	case len(r.Writes) == 0:
		return balance.Idempotent
	case r.Key != "":
		return balance.Deduplicated
	}
	return balance.AtMostOnce
}

func (d *deriving) checkRoutes() {
	for i := range d.app.Routes {
		d.checkDeeds(i)
		d.checkTimes(i)
		d.checkUses(i)
	}
}

func (d *deriving) checkDeeds(i int) {
	r := &d.app.Routes[i]
	writes := strings.Join(r.Writes, ", ")
	if len(r.Reads) == 0 && len(r.Writes) == 0 {
		d.route(i, false, "no-deed", "reads", "says neither what it reads nor what it writes",
			"nobody could tell whether a request may be repeated", `add reads = [...] or writes = [...]`)
		return
	}
	if len(r.Writes) > 0 && r.Repeat == "safe" {
		d.route(i, false, "writes-safe", "repeat", fmt.Sprintf("writes %s and is marked as safe to repeat", writes),
			"after a time-out the same write would be made twice", `write repeat = "keyed" with key, group and window, or repeat = "never"`)
	}
	if r.Repeat == "keyed" && r.Key == "" {
		d.route(i, false, "keyed-no-key", "key", "is to be repeated under a key and names no header for it",
			"repeats could not be told from new requests", `add key = "Idempotency-Key"`)
	}
	if r.effect() == balance.Deduplicated {
		if r.Group == "" {
			d.route(i, false, "keyed-no-group", "group", "has a key and does not say which servers share what they know of keys",
				"a repeat could reach a server that never saw the key and write again", `add group = "zone" (or "cell", or "all" if every server knows)`)
		}
		if r.Window <= 0 {
			d.route(i, false, "keyed-no-window", "window", "has a key and does not say how long servers remember it",
				"a late repeat would write again", `add window = "7s", as long as the servers keep keys`)
		}
	}
	if len(r.Writes) == 0 && (r.Key != "" || r.Repeat == "never") {
		d.route(i, true, "reads-guarded", "repeat", "only reads, and is guarded against repeats",
			"it is repeated less often than it might be, and fails more", "leave out key and repeat")
	}
	for _, m := range r.Methods {
		if len(r.Writes) > 0 && (m == "GET" || m == "HEAD") {
			d.route(i, true, "get-writes", "methods", fmt.Sprintf("writes %s on %s", writes, m),
				"browsers and caches on the way repeat it as they like (RFC 9110, section 9.2.1)", "make it a POST")
		}
	}
}

func (d *deriving) checkTimes(i int) {
	r := &d.app.Routes[i]
	sane := true
	for _, x := range []struct {
		field string
		v     time.Duration
	}{{"wanted", r.Wanted}, {"give_up", r.GiveUp}, {"window", r.Window}} {
		if x.field == "window" && (r.effect() != balance.Deduplicated || r.Window <= 0) {
			continue // it has none, or that is told elsewhere
		}
		if x.v < MinTime || x.v > MaxTime {
			sane = false
			d.route(i, false, "time-range", x.field, fmt.Sprintf("is %v", x.v), "no request could be served by it",
				fmt.Sprintf("write a time from %v to %v", MinTime, MaxTime))
		}
	}
	if sane && r.Wanted > r.GiveUp {
		d.route(i, false, "wanted-over-give-up", "wanted", fmt.Sprintf("%v is over give_up, %v", r.Wanted, r.GiveUp),
			"callers would have left before the answer is even late", "lower wanted or raise give_up")
	}
	if sane && r.effect() == balance.Deduplicated && r.Window > 0 && usable(r.Window) < r.GiveUp {
		d.route(i, true, "window-short", "window", fmt.Sprintf("%v is shorter than give_up, %v, and a tenth for slack", r.Window, r.GiveUp),
			"a failure that shows late is not repeated and its caller gets an error", "keep keys for longer, or lower give_up")
	}
	if math.IsNaN(r.Value) || math.IsInf(r.Value, 0) || r.Value < 0 {
		d.route(i, false, "worth-range", "worth", fmt.Sprintf("is %g", r.Value), "requests could not be ordered", "write a figure above 0, or none")
	}
	if bodies := ingressShare * bodyShare * float64(d.app.Memory); r.Body < 0 || bodies > 0 && float64(r.Body) > bodies {
		d.route(i, false, "body-memory", "body", fmt.Sprintf("%d bytes, and %d are for all callers' bodies", r.Body, int64(bodies)),
			"not one such request could be taken", "lower body or give the sidecar more memory")
	}
}

func (d *deriving) checkUses(i int) {
	r := &d.app.Routes[i]
	for _, name := range r.Uses {
		at := slices.IndexFunc(d.app.Calls, func(s Service) bool { return s.Name == name })
		if at < 0 {
			d.route(i, false, "no-service", "uses", fmt.Sprintf("uses %q, which no [[calls]] names", name),
				"its calls would have nowhere to go", "add a [[calls]] table with that name, or mend the name")
			continue
		}
		if s := d.app.Calls[at]; s.Servers == 1 && r.effect() == balance.Deduplicated && r.Group != "all" {
			d.route(i, true, "one-server", "uses", fmt.Sprintf("is repeated under a key, and %s has one server", name),
				"there is no other server of its group to repeat at", "list the other servers of the group")
		}
	}
}

func (d *deriving) checkServices() {
	sum := 0.0
	for i, s := range d.app.Calls {
		if math.IsNaN(s.Share) || s.Share < 0 || s.Share > 1 {
			d.service(i, false, "share-range", "share", fmt.Sprintf("is %g", s.Share), "its part could not be kept apart", "write a figure from 0 to 1, or none")
			continue
		}
		sum += s.Share
		if s.Servers < 0 {
			d.service(i, false, "no-servers", "servers", "the list is empty", "every call would fail", "list its servers, or name its discovery")
		}
		if !slices.ContainsFunc(d.app.Routes, func(r Route) bool { return slices.Contains(r.Uses, s.Name) }) {
			d.service(i, true, "unused", "name", fmt.Sprintf("%q is used by no route", s.Name), "it keeps sockets that others need", "leave it out, or name it in a route's uses")
		}
	}
	const rounding = 1e-9
	if sum > 1+rounding {
		d.service(0, false, "shares-over", "share", fmt.Sprintf("the shares add up to %.2f", sum), "one service's failing would starve another", "lower them to 1 in all")
	}
	if n := len(d.app.Calls); n > 0 && d.app.Sockets > 0 && d.sockets() < n*leastSockets {
		d.service(0, false, "sockets-short", "sockets", fmt.Sprintf("%d sockets, half of them for %d services", d.app.Sockets, n),
			"a service could not carry one request with its repeat", fmt.Sprintf("give the sidecar %d sockets", int(math.Ceil(float64(n*leastSockets)/(1-ingressShare)))))
	}
}

// sockets is how many are for the services together.
func (d *deriving) sockets() int { return int((1 - ingressShare) * float64(d.app.Sockets)) }

// usable is the part of a window in which a repeat may still be sent.
func usable(window time.Duration) time.Duration {
	return window - time.Duration(windowSlack*float64(window))
}

func (d *deriving) class(i int) Class {
	r := &d.app.Routes[i]
	c := Class{Route: i, Class: balance.Class{Aim: r.Wanted, ClientTimeout: r.GiveUp, Effect: r.effect(), Value: r.Value}, Attempts: mostAttempts}
	why := func(name string, value any, format string, v ...any) {
		c.Figures = append(c.Figures, Figure{name, fmt.Sprint(value), fmt.Sprintf(format, v...)})
	}
	switch c.Class.Effect {
	case balance.Idempotent:
		why("effect", "free", "it only reads %s: repeating it changes nothing", strings.Join(r.Reads, ", "))
	case balance.Deduplicated:
		c.Class.DedupScope = map[string]balance.DedupScope{"all": balance.DedupAll, "zone": balance.DedupZone, "cell": balance.DedupCell}[r.Group]
		c.Class.DedupWindow = usable(r.Window)
		why("effect", "guarded", "it writes %s, and servers of one group (%s) drop repeats with the same %s", strings.Join(r.Writes, ", "), r.Group, r.Key)
		why("window", c.Class.DedupWindow, "servers remember a key for %v; a tenth is left for clocks and queues", r.Window)
	case balance.AtMostOnce:
		why("effect", "single-shot", "it writes %s and has no key: a second send could write twice", strings.Join(r.Writes, ", "))
	}
	if c.Class.Effect == balance.AtMostOnce {
		why("attempts", c.Attempts, "further ones only where the one before provably never ran")
	} else {
		why("attempts", c.Attempts, "a server that fails one request in ten then loses one in a thousand; the balancer's budget bounds them all")
	}
	if c.Class.Value == 0 {
		switch c.Class.Effect {
		case balance.Idempotent:
			c.Class.Value = 1
			why("worth", 1, "what only reads can be asked again")
		default:
			c.Class.Value = 2
			why("worth", 2, "what writes is worth more than what reads, while nothing else is said")
		}
	}
	if n := len(r.Uses); n > 0 {
		hop := time.Duration((1 - ownShare) * float64(r.GiveUp) / float64(n)).Truncate(time.Millisecond)
		for range n {
			c.CallTimeouts = append(c.CallTimeouts, hop)
		}
		why("hops", hop, "a fifth of %v is for its own work, and %d calls one after the other share the rest", r.GiveUp, n)
	}
	return c
}

// bulkhead divides what is left after the callers' part: leastSockets for each service, the rest as the shares say,
// and evenly among those without one.
func (d *deriving) bulkhead(i int) Bulkhead {
	said, silent := 0.0, 0
	for _, s := range d.app.Calls {
		said += s.Share
		if s.Share == 0 {
			silent++
		}
	}
	share, why := d.app.Calls[i].Share, "as its share says"
	if share == 0 {
		share, why = (1-said)/float64(silent), fmt.Sprintf("%d services without a share divide what the others leave", silent)
	}
	b := Bulkhead{
		Service: i,
		Sockets: leastSockets + int(share*float64(max(d.sockets()-len(d.app.Calls)*leastSockets, 0))),
		Memory:  int64(share * (1 - ingressShare) * float64(d.app.Memory)),
	}
	b.Figures = []Figure{{"sockets", fmt.Sprint(b.Sockets), why}, {"memory", fmt.Sprint(b.Memory), why}}
	return b
}
