// Package derive computes a sidecar's settings from a short description of an application, with the reason for each
// figure: whether a request may be repeated, within which window, how often and for how long, and which share of the
// sidecar's resources each service that it calls may use. It has no I/O, and equal descriptions give equal results.
//
// What a route reads and writes decides its effect, never its name or method alone. A route that writes is repeated only
// with an idempotency key, and only while the servers that saw the key still remember it.
package derive

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"brasswell/balance"
)

// App is an application as its developers describe it.
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
	Reads   []string // the data that it reads
	Writes  []string // the data that it changes
	Repeat  string   // what the developers declare about repeats: "", "safe", "keyed" or "never"
	Key     string   // the header with the key under which repeats are dropped
	Group   string   // which servers share the keys that they have seen: "all", "zone" or "cell"
	Window  time.Duration
	Wanted  time.Duration // an answer after this time has no value
	GiveUp  time.Duration // how long a caller waits
	Value   float64       // relative to the other routes; 0 to derive it
	Body    int64         // the longest request body in bytes
	Uses    []string      // services that it calls, in sequence
}

// Service is another application that this one calls.
type Service struct {
	Name    string
	Servers int // number of listed servers; 0 if they come from discovery
	Share   float64
}

// Finding is a problem in a description. An error prevents a plan. A warning reports a harmful setting.
type Finding struct {
	Code    string
	Warning bool
	Route   int // index, or -1
	Service int // index, or -1
	Field   string
	Cause   string // what is wrong
	Effect  string // what would happen in operation
	Fix     string
}

// Figure is a derived value and its reason.
type Figure struct {
	Name, Value, Reason string
}

// Class is the balancer's class for a route.
type Class struct {
	Route        int
	Class        balance.Class
	Attempts     int
	CallTimeouts []time.Duration // for each service that the route uses
	Figures      []Figure
}

// Bulkhead limits the sidecar's resources that one service may use, so that its failure does not starve the others.
type Bulkhead struct {
	Service int
	Sockets int
	Memory  int64
	Figures []Figure
}

// Plan has the derived settings of a sidecar.
type Plan struct {
	Classes   []Class
	Bulkheads []Bulkhead
}

const (
	// maxAttempts is the maximum number of attempts of a request at one tier. With three, a server that fails one request
	// in ten loses one in a thousand. A fourth attempt would add more load than answers.
	maxAttempts = 3
	// ownWorkShare is the share of a route's time for the application's own work. The calls divide the rest.
	ownWorkShare = 0.2
	// windowSlack is the share of a window that is not used, to allow for clock differences and queueing.
	windowSlack = 0.1
	// ingressShare is the share of sockets and memory for the callers of the application.
	ingressShare = 0.5
	// bodyShare is the share of the callers' memory for their request bodies.
	bodyShare = 0.25
	// minSockets is the minimum number of sockets of a service. Fewer cannot carry a request with a repeat.
	minSockets = 4
	// MinTime and MaxTime bound every time in a description.
	MinTime, MaxTime = time.Millisecond, time.Hour
)

// Derive computes the plan. If any finding is an error, the plan is nil.
func Derive(a App) (*Plan, []Finding) {
	d := &deriver{app: a}
	d.checkRoutes()
	d.checkServices()
	if slices.ContainsFunc(d.findings, func(f Finding) bool { return !f.Warning }) {
		return nil, d.findings
	}
	p := &Plan{}
	for i := range a.Routes {
		p.Classes = append(p.Classes, d.class(i))
	}
	for i := range a.Calls {
		p.Bulkheads = append(p.Bulkheads, d.bulkhead(i))
	}
	return p, d.findings
}

type deriver struct {
	app      App
	findings []Finding
}

func (d *deriver) addRouteFinding(i int, warning bool, code, field, cause, effect, fix string) {
	d.findings = append(d.findings, Finding{code, warning, i, -1, field, cause, effect, fix})
}

func (d *deriver) addServiceFinding(i int, warning bool, code, field, cause, effect, fix string) {
	d.findings = append(d.findings, Finding{code, warning, -1, i, field, cause, effect, fix})
}

// effect returns the effect of repeating a request, by what the route writes.
func (r *Route) effect() balance.Effect {
	switch {
	case len(r.Writes) == 0:
		return balance.Idempotent
	case r.Key != "":
		return balance.Deduplicated
	}
	return balance.AtMostOnce
}

func (d *deriver) checkRoutes() {
	for i := range d.app.Routes {
		d.checkEffects(i)
		d.checkTimes(i)
		d.checkUses(i)
	}
}

func (d *deriver) checkEffects(i int) {
	r := &d.app.Routes[i]
	writes := strings.Join(r.Writes, ", ")
	if len(r.Reads) == 0 && len(r.Writes) == 0 {
		d.addRouteFinding(i, false, "no-deed", "reads", "says neither what it reads nor what it writes",
			"it would be unknown whether a request may be repeated", `add reads = [...] or writes = [...]`)
		return
	}
	if len(r.Writes) > 0 && r.Repeat == "safe" {
		d.addRouteFinding(i, false, "writes-safe", "repeat", fmt.Sprintf("writes %s and is marked as safe to repeat", writes),
			"after a time-out the same write would be made twice", `write repeat = "keyed" with key, group and window, or repeat = "never"`)
	}
	if r.Repeat == "keyed" && r.Key == "" {
		d.addRouteFinding(i, false, "keyed-no-key", "key", "is to be repeated with a key, but names no header for the key",
			"repeats could not be distinguished from new requests", `add key = "Idempotency-Key"`)
	}
	if r.effect() == balance.Deduplicated {
		if r.Group == "" {
			d.addRouteFinding(i, false, "keyed-no-group", "group", "has a key and does not say which servers share the keys that they have seen",
				"a repeat could reach a server that never saw the key and write again", `add group = "zone" (or "cell", or "all" if all servers share them)`)
		}
		if r.Window <= 0 {
			d.addRouteFinding(i, false, "keyed-no-window", "window", "has a key and does not say how long servers remember it",
				"a late repeat would write again", `add window = "7s", with the time for which the servers keep keys`)
		}
	}
	if len(r.Writes) == 0 && (r.Key != "" || r.Repeat == "never") {
		d.addRouteFinding(i, true, "reads-guarded", "repeat", "only reads, but is protected against repeats",
			"it is repeated less often than possible and fails more often", "remove key and repeat")
	}
	for _, m := range r.Methods {
		if len(r.Writes) > 0 && (m == "GET" || m == "HEAD") {
			d.addRouteFinding(i, true, "get-writes", "methods", fmt.Sprintf("writes %s on %s", writes, m),
				"browsers and caches may repeat it at any time (RFC 9110, section 9.2.1)", "use POST")
		}
	}
}

func (d *deriver) checkTimes(i int) {
	r := &d.app.Routes[i]
	valid := true
	for _, x := range []struct {
		field string
		v     time.Duration
	}{{"wanted", r.Wanted}, {"give_up", r.GiveUp}, {"window", r.Window}} {
		if x.field == "window" && (r.effect() != balance.Deduplicated || r.Window <= 0) {
			continue // it needs no window, or checkEffects reports the missing one
		}
		if x.v < MinTime || x.v > MaxTime {
			valid = false
			d.addRouteFinding(i, false, "time-range", x.field, fmt.Sprintf("is %v", x.v), "no request could be served within it",
				fmt.Sprintf("write a time from %v to %v", MinTime, MaxTime))
		}
	}
	if valid && r.Wanted > r.GiveUp {
		d.addRouteFinding(i, false, "wanted-over-give-up", "wanted", fmt.Sprintf("%v is over give_up, %v", r.Wanted, r.GiveUp),
			"callers would have given up before an answer counts as late", "lower wanted or raise give_up")
	}
	if valid && r.effect() == balance.Deduplicated && r.Window > 0 && usableWindow(r.Window) < r.GiveUp {
		d.addRouteFinding(i, true, "window-short", "window", fmt.Sprintf("%v less a tenth for slack is shorter than give_up, %v", r.Window, r.GiveUp),
			"a failure that is detected late is not repeated and the caller gets an error", "keep keys for longer, or lower give_up")
	}
	if math.IsNaN(r.Value) || math.IsInf(r.Value, 0) || r.Value < 0 {
		d.addRouteFinding(i, false, "worth-range", "worth", fmt.Sprintf("is %g", r.Value), "requests could not be ordered by worth", "write a number above 0, or remove it")
	}
	if bodies := ingressShare * bodyShare * float64(d.app.Memory); r.Body < 0 || bodies > 0 && float64(r.Body) > bodies {
		d.addRouteFinding(i, false, "body-memory", "body", fmt.Sprintf("%d bytes, but %d are available for the bodies of all callers", r.Body, int64(bodies)),
			"not even one such request could be accepted", "lower body or give the sidecar more memory")
	}
}

func (d *deriver) checkUses(i int) {
	r := &d.app.Routes[i]
	for _, name := range r.Uses {
		at := slices.IndexFunc(d.app.Calls, func(s Service) bool { return s.Name == name })
		if at < 0 {
			d.addRouteFinding(i, false, "no-service", "uses", fmt.Sprintf("uses %q, which no [[calls]] names", name),
				"its calls would have no destination", "add a [[calls]] table with that name, or correct the name")
			continue
		}
		if s := d.app.Calls[at]; s.Servers == 1 && r.effect() == balance.Deduplicated && r.Group != "all" {
			d.addRouteFinding(i, true, "one-server", "uses", fmt.Sprintf("is repeated with a key, but %s has only one server", name),
				"there is no other server in its group to send a repeat to", "list the other servers of the group")
		}
	}
}

func (d *deriver) checkServices() {
	sum := 0.0
	for i, s := range d.app.Calls {
		if math.IsNaN(s.Share) || s.Share < 0 || s.Share > 1 {
			d.addServiceFinding(i, false, "share-range", "share", fmt.Sprintf("is %g", s.Share), "its share could not be reserved", "write a number from 0 to 1, or remove it")
			continue
		}
		sum += s.Share
		if s.Servers < 0 {
			d.addServiceFinding(i, false, "no-servers", "servers", "the list is empty", "every call would fail", "list its servers, or name its discovery")
		}
		if !slices.ContainsFunc(d.app.Routes, func(r Route) bool { return slices.Contains(r.Uses, s.Name) }) {
			d.addServiceFinding(i, true, "unused", "name", fmt.Sprintf("%q is used by no route", s.Name), "it reserves sockets that others need", "remove it, or name it in a route's uses")
		}
	}
	const rounding = 1e-9
	if sum > 1+rounding {
		d.addServiceFinding(0, false, "shares-over", "share", fmt.Sprintf("the shares add up to %.2f", sum), "the failure of one service would starve another", "lower them to a sum of 1")
	}
	if n := len(d.app.Calls); n > 0 && d.app.Sockets > 0 && d.sockets() < n*minSockets {
		d.addServiceFinding(0, false, "sockets-short", "sockets", fmt.Sprintf("%d sockets, half of which are for %d services", d.app.Sockets, n),
			"a service could not carry one request with its repeat", fmt.Sprintf("give the sidecar %d sockets", int(math.Ceil(float64(n*minSockets)/(1-ingressShare)))))
	}
}

// sockets returns the number of sockets for all services together.
func (d *deriver) sockets() int { return int((1 - ingressShare) * float64(d.app.Sockets)) }

// usableWindow returns the part of a window in which a repeat may be sent.
func usableWindow(window time.Duration) time.Duration {
	return window - time.Duration(windowSlack*float64(window))
}

func (d *deriver) class(i int) Class {
	r := &d.app.Routes[i]
	c := Class{Route: i, Class: balance.Class{Aim: r.Wanted, ClientTimeout: r.GiveUp, Effect: r.effect(), Value: r.Value}, Attempts: maxAttempts}
	addFigure := func(name string, value any, format string, v ...any) {
		c.Figures = append(c.Figures, Figure{name, fmt.Sprint(value), fmt.Sprintf(format, v...)})
	}
	switch c.Class.Effect {
	case balance.Idempotent:
		addFigure("effect", "free", "it only reads %s, so repeating it changes nothing", strings.Join(r.Reads, ", "))
	case balance.Deduplicated:
		c.Class.DedupScope = map[string]balance.DedupScope{"all": balance.DedupAll, "zone": balance.DedupZone, "cell": balance.DedupCell}[r.Group]
		c.Class.DedupWindow = usableWindow(r.Window)
		addFigure("effect", "guarded", "it writes %s, and the servers of one group (%s) drop repeats with the same %s", strings.Join(r.Writes, ", "), r.Group, r.Key)
		addFigure("window", c.Class.DedupWindow, "servers remember a key for %v; a tenth is reserved for clock differences and queueing", r.Window)
	case balance.AtMostOnce:
		addFigure("effect", "single-shot", "it writes %s and has no key, so a second attempt could write twice", strings.Join(r.Writes, ", "))
	}
	if c.Class.Effect == balance.AtMostOnce {
		addFigure("attempts", c.Attempts, "a further one is made only if the previous one provably never ran")
	} else {
		addFigure("attempts", c.Attempts, "with these, a server that fails one request in ten loses one in a thousand; the balancer's retry budget limits all of them")
	}
	if c.Class.Value == 0 {
		switch c.Class.Effect {
		case balance.Idempotent:
			c.Class.Value = 1
			addFigure("worth", 1, "the default for a route that only reads, because its caller can ask again")
		default:
			c.Class.Value = 2
			addFigure("worth", 2, "the default for a route that writes, higher than for a route that only reads")
		}
	}
	if n := len(r.Uses); n > 0 {
		callTimeout := time.Duration((1 - ownWorkShare) * float64(r.GiveUp) / float64(n)).Truncate(time.Millisecond)
		for range n {
			c.CallTimeouts = append(c.CallTimeouts, callTimeout)
		}
		addFigure("hops", callTimeout, "a fifth of %v is for its own work, and %d calls in sequence divide the rest", r.GiveUp, n)
	}
	return c
}

// bulkhead divides what is left after the callers' share. Each service gets minSockets. The rest is divided according
// to the configured shares, and evenly among the services without one.
func (d *deriver) bulkhead(i int) Bulkhead {
	assigned, unassigned := 0.0, 0
	for _, s := range d.app.Calls {
		assigned += s.Share
		if s.Share == 0 {
			unassigned++
		}
	}
	share, reason := d.app.Calls[i].Share, "according to its share"
	if share == 0 {
		share, reason = (1-assigned)/float64(unassigned), fmt.Sprintf("%d services without a share divide what the others leave", unassigned)
	}
	b := Bulkhead{
		Service: i,
		Sockets: minSockets + int(share*float64(max(d.sockets()-len(d.app.Calls)*minSockets, 0))),
		Memory:  int64(share * (1 - ingressShare) * float64(d.app.Memory)),
	}
	b.Figures = []Figure{{"sockets", fmt.Sprint(b.Sockets), reason}, {"memory", fmt.Sprint(b.Memory), reason}}
	return b
}
