// Package audit checks the four rules against what really happened: what callers sent and were answered, what came
// to backends and ran there, and what discovery had told. It has no I/O and no clock: events come in with their
// time, and a report comes out. It knows nothing of the proxy, so it holds for any.
//
// What a stand-in was told to do wrong is marked Scripted by who reports it, and is counted apart: it must not be
// blamed on the proxy. Memory is bounded: a request is forgotten Keep after its end, and of more than MostOpen at
// one time the rest goes unwatched, which the report says.
package audit

import (
	"fmt"
	"hash/maphash"
	"math"
	"slices"
	"sort"
	"time"
)

// Effect says what running a request more than once would do.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // a zone drops repeats of the key within a window
	Unsafe               // must never run twice
)

// Rules are the figures of the four rules.
type Rules struct {
	DrainGrace   time.Duration // after notice that a server drains or is gone
	Slack        time.Duration // on the limits for sends, for a machine that runs late
	AnswerSlack  time.Duration // the same on an answer's time, and on sends after the answer
	LeaveSlack   time.Duration // on sends after the caller left; 0 for AnswerSlack
	TellSlack    time.Duration // on the time that an attempt tells its server; 0 for not looked at
	ColdChance   bool          // a cold server bears what falls together by chance: N + 2 x root of N + 2 of N, for small N a little more
	FallMultiple float64       // a cold server sent this many times its capacity
	FallTime     time.Duration // within any such time falls over
	Keep         time.Duration // how long a request that is over is remembered
	MostOpen     int           // requests watched at one time
}

// DefaultRules are the platform's, with room for a machine that runs a little late.
func DefaultRules() Rules {
	return Rules{
		DrainGrace: 500 * time.Millisecond, Slack: 50 * time.Millisecond, AnswerSlack: 50 * time.Millisecond, FallMultiple: 3, FallTime: time.Second,
		Keep: 2 * time.Second, MostOpen: 100_000,
	}
}

// Rule numbers one of the four.
type Rule int

// The rules.
const (
	OneAnswer Rule = iota // every request taken gets exactly one final answer in time; nothing is sent after it
	Effects               // no effect runs more often than its class allows; refusals are harmless
	Drains                // nothing new to a server after notice
	Cold                  // a cold server is not pushed over
	ruleCount
)

// AllRules are the four, in order.
func AllRules() []Rule { return []Rule{OneAnswer, Effects, Drains, Cold} }

func (r Rule) String() string {
	return [...]string{"one final answer", "effects", "drains kept", "cold servers stand"}[r]
}

// Verdict is what a caller read.
type Verdict int

// The verdicts.
const (
	Served  Verdict = iota // 200
	Refused                // 429 or 503
	Failed                 // any other whole answer
)

// Ask is a request that a caller has written to its last byte.
type Ask struct {
	ID       string
	Effect   Effect
	Window   time.Duration // of a Keyed request
	Left     time.Duration // until the caller stops waiting
	Scripted bool          // the caller was told to do what no caller may, such as to use an id twice
	// Unwritten says that the caller is about to write the request, and that Written tells when it did. Without it the request counts as
	// written when it is asked.
	Unwritten bool
}

// Arrival is a request that a server has read to its last byte.
type Arrival struct {
	ID, Server string
	Proxy      string // that sent it, where notices are told to proxies one by one
	Zone       int
	// Left is how long the proxy says that it waits; 0 where it does not.
	Left time.Duration
	// Capacity, if above 0, says that the server is cold and how many requests a second it can do now.
	Capacity float64
	Scripted bool // the server was told to misbehave in a way that makes its own records no evidence
	Foreign  bool // it comes from someone who keeps no books here, such as a visitor's curl
}

// Broken is one case of a broken rule.
type Broken struct {
	Rule Rule          `json:"-"`
	Name string        `json:"rule"`
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

// Report is what there is to say so far.
type Report struct {
	Asked, Served, Refused, Failed int
	Left                           int // callers that went away
	Unanswered                     int // no answer in time; counted as failed service
	Open                           int
	Arrivals, Ran, Repeats         int            // at servers; Repeats were dropped by their key
	Checks                         [ruleCount]int // how often each rule was put to the test
	Broken                         [ruleCount]int
	ColdMost                       float64       // the most that came to a cold server, of what it bears
	Latest                         time.Duration // after notice, of all that came to a server within its grace or later
	Scripted                       int           // what would have been broken rules but for a script that asked for it
	Foreign                        int           // arrivals of visitors' requests, which keep no books
	Unwatched                      int           // requests beyond MostOpen, of which nothing is said
	Cases                          []Broken
}

// Kept says whether no rule broke.
func (r *Report) Kept() bool { return r.Broken == [ruleCount]int{} }

// mostCases are told one by one; the counts go on.
const mostCases = 50

// attempt is one arrival of a request.
type attempt struct {
	server string
	zone   int
	at     time.Duration
	left   time.Duration // that the proxy told the server it would wait
	unrun  bool          // the server has proved that it never ran
	ran    bool          // it has had its effect
	// scripted says that what the proxy told is no evidence.
	scripted bool
}

// ending is how a request came to its end.
type ending string

// The endings.
const (
	byAnswer     ending = "answer"
	byClose      ending = "connection's end"
	byGivingUp   ending = "caller's giving up"
	byLeaving    ending = "caller's leaving"
	bySettlement ending = "books' closing"
)

type request struct {
	Ask
	at       time.Duration
	over     bool
	overBy   ending
	overAt   time.Duration
	answered bool
	scripted bool
	left     bool // its caller has gone
	excused  bool // its proxy was killed or stopped by a script: no answer can be asked of that one
	attempts []attempt
	made     []uint64 // hashes of the answers that servers made for it
}

// AllProxies stands for every proxy where a notice is for all of them.
const AllProxies = ""

// notice is that a server drains or is gone.
type notice struct {
	off bool
	at  time.Duration
}

// server is what is known of one server.
type server struct {
	notices map[string]notice // by the proxy that was told, AllProxies among them
	// returning counts the answers that are being written to each proxy and say that the server is in service.
	returning map[string]int
	arrived   []coldArrival // while cold, in the order of their times
	fallen    bool
}

// coldArrival is a request that came to a cold server.
type coldArrival struct {
	at   time.Duration
	most float64 // the server bore within FallTime
}

// Auditor checks events as they come, each by its own time: on a busy machine one may be told behind others that happened later, by less
// than Keep. It is not safe for concurrent use.
type Auditor struct {
	rules    Rules
	seed     maphash.Seed
	requests map[string]*request
	ended    []string // ids in the order of their end, from first on
	first    int
	servers  map[string]*server
	report   Report
}

// New returns an auditor that has seen nothing.
func New(rules Rules) *Auditor {
	return &Auditor{rules: rules, seed: maphash.MakeSeed(), requests: map[string]*request{}, servers: map[string]*server{}}
}

// Report returns a copy of the findings so far.
func (a *Auditor) Report() Report {
	r := a.report
	r.Cases = append([]Broken(nil), a.report.Cases...)
	for _, q := range a.requests {
		if !q.over {
			r.Open++
		}
	}
	return r
}

func (a *Auditor) broke(now time.Duration, rule Rule, scripted bool, format string, v ...any) {
	if scripted {
		a.report.Scripted++
		return
	}
	a.report.Broken[rule]++
	if len(a.report.Cases) < mostCases {
		a.report.Cases = append(a.report.Cases, Broken{rule, rule.String(), now, fmt.Sprintf(format, v...)})
	}
}

// Asked takes in a request. The proxy has taken it from now on.
func (a *Auditor) Asked(now time.Duration, ask Ask) {
	a.forget(now)
	a.report.Asked++
	if q := a.requests[ask.ID]; q != nil {
		// An id of an open request again: only a script does so, and what comes of either is not the proxy's.
		q.scripted = true
		return
	}
	if len(a.requests) >= a.rules.MostOpen {
		a.report.Unwatched++
		return
	}
	a.requests[ask.ID] = &request{Ask: ask, at: now, scripted: ask.Scripted}
}

// Written takes in when the last byte of a request was written that was Unwritten: its time counts from then. Servers may have got it
// already.
func (a *Auditor) Written(at time.Duration, id string) {
	if q := a.requests[id]; q != nil {
		a.written(at, q)
	}
}

// written dates a request, and holds what its attempts have told so far against that.
func (a *Auditor) written(at time.Duration, q *request) {
	if !q.Unwritten {
		return
	}
	q.Unwritten, q.at = false, at
	for i := range q.attempts {
		a.checkTold(q, &q.attempts[i])
	}
}

// checkTold holds the time that an attempt tells its server against what its caller waits for then.
func (a *Auditor) checkTold(q *request, t *attempt) {
	if left := q.at + q.Left - t.at; a.rules.TellSlack > 0 && t.left > left+a.rules.TellSlack {
		a.broke(t.at, OneAnswer, t.scripted, "%s: %s is told to have %v, and the caller waits for %v", q.ID, t.server, t.left, left)
	}
}

// Withdrawn takes in that a connection closed between requests while the caller was sending: nothing was read of the
// request, and the caller will send it once more. It reports whether that is so; a request that was sent on had
// been read, and is lost.
func (a *Auditor) Withdrawn(now time.Duration, id string) bool {
	q := a.requests[id]
	if q == nil {
		return true // unwatched
	}
	if len(q.attempts) > 0 {
		a.Ended(now, id, false)
		return false
	}
	a.report.Asked--
	delete(a.requests, id)
	return true
}

// LeftOff takes in that a caller has closed its connection before its answer.
func (a *Auditor) LeftOff(now time.Duration, id string) {
	if q := a.requests[id]; q != nil && !q.over {
		a.report.Left++
		q.left = true
		a.end(now, q, byLeaving)
	}
}

// ClosedUnanswered takes in that the proxy has closed a connection so long after a request was written to it that it must have read it.
func (a *Auditor) ClosedUnanswered(now time.Duration, id string, after time.Duration) {
	q := a.requests[id]
	if q == nil || q.over {
		return
	}
	a.report.Checks[OneAnswer]++
	a.broke(now, OneAnswer, q.scripted || q.excused, "%s: read, and its connection closed without an answer %v later", id, after)
	a.end(now, q, byClose)
}

// Answered takes in a whole final answer.
func (a *Auditor) Answered(now time.Duration, id string, v Verdict, body string) {
	q := a.requests[id]
	if q == nil {
		return // unwatched
	}
	a.report.Checks[OneAnswer]++
	if q.answered {
		a.broke(now, OneAnswer, q.scripted, "%s: a second final answer", id)
		return
	}
	q.answered = true
	if q.over {
		return // the caller had given up; Unanswered has counted it
	}
	switch v {
	case Served:
		a.report.Served++
		if !a.wasMade(q, body) {
			a.broke(now, OneAnswer, q.scripted, "%s: served with what no server made for it", id)
		}
	case Refused:
		a.report.Refused++
		a.checkRefusal(now, q)
	default:
		a.report.Failed++
	}
	if late := now - q.at - q.Left; late > a.rules.AnswerSlack {
		a.broke(now, OneAnswer, q.scripted || q.excused, "%s: answered %v after its time", id, late)
	}
	a.end(now, q, byAnswer)
}

// checkRefusal holds a refusal against its promise that trying again is harmless.
func (a *Auditor) checkRefusal(now time.Duration, q *request) {
	a.report.Checks[Effects]++
	if q.Effect == Safe {
		return
	}
	for _, t := range q.attempts {
		if !t.unrun {
			a.broke(now, Effects, q.scripted, "%s: refused, though it may have run at %s", q.ID, t.server)
			return
		}
	}
}

// Ended takes in that a request's connection ended with no whole answer. partial says that an answer had begun.
func (a *Auditor) Ended(now time.Duration, id string, partial bool) {
	q := a.requests[id]
	if q == nil || q.over {
		return
	}
	a.report.Checks[OneAnswer]++
	switch {
	case partial:
		a.report.Failed++ // the caller can tell that it is not whole
	case len(q.attempts) == 0:
		a.report.Failed++ // nothing was sent on for it
	default:
		a.broke(now, OneAnswer, q.scripted || q.excused, "%s: its connection ended without an answer", id)
	}
	a.end(now, q, byClose)
}

// Excuse notes that the proxy which a request was sent to was killed, or stopped for a while, by a script: that it gives no
// answer in time is not its fault. All else still is.
func (a *Auditor) Excuse(id string) {
	if q := a.requests[id]; q != nil && !q.over {
		q.excused = true
	}
}

// GaveUp takes in that a caller has waited until its time was over, and the slack, for nothing.
func (a *Auditor) GaveUp(now time.Duration, id string) {
	if q := a.requests[id]; q != nil && !q.over {
		a.report.Checks[OneAnswer]++
		a.report.Unanswered++
		a.broke(now, OneAnswer, q.scripted || q.excused, "%s: no answer in its time", id)
		a.end(now, q, byGivingUp)
	}
}

func (a *Auditor) end(now time.Duration, q *request, by ending) {
	a.written(q.at, q)
	q.over, q.overBy, q.overAt = true, by, now
	a.ended = append(a.ended, q.ID)
}

// forget drops the requests that ended long ago.
func (a *Auditor) forget(now time.Duration) {
	for a.first < len(a.ended) {
		id := a.ended[a.first]
		if q := a.requests[id]; q != nil && now-q.overAt < a.rules.Keep {
			if len(a.requests) < a.rules.MostOpen {
				break
			}
			a.report.Unwatched++ // forgotten early: what is sent for it from now on cannot be judged
		}
		delete(a.requests, id)
		a.first++
	}
	if a.first > len(a.ended)/2 {
		a.ended = append(a.ended[:0], a.ended[a.first:]...) // moves as many as it drops, at most
		a.first = 0
	}
}

func (a *Auditor) server(id string) *server {
	s := a.servers[id]
	if s == nil {
		s = &server{notices: map[string]notice{}, returning: map[string]int{}}
		a.servers[id] = s
	}
	return s
}

// Arrived takes in a whole request at a server. It returns the attempt's number, for Unrun and Ran.
func (a *Auditor) Arrived(now time.Duration, r Arrival) int {
	a.report.Arrivals++
	a.checkDrain(now, r)
	a.checkCold(now, r)
	if r.Foreign {
		a.report.Foreign++
		return -1
	}
	q := a.requests[r.ID]
	if q == nil {
		if a.report.Unwatched == 0 {
			a.broke(now, OneAnswer, r.Scripted, "%s: sent to %s, though no caller asked or it is long over", r.ID, r.Server)
		}
		return -1
	}
	scripted := q.scripted || r.Scripted
	a.report.Checks[OneAnswer]++
	slack := a.rules.AnswerSlack
	if q.left && a.rules.LeaveSlack > 0 {
		slack = a.rules.LeaveSlack
	}
	if q.over && now-q.overAt > slack {
		a.broke(now, OneAnswer, scripted, "%s: sent to %s %v after its %s, %v after it was asked", r.ID, r.Server, now-q.overAt, q.overBy, now-q.at)
	}
	if q.Effect != Safe {
		a.checkRepeat(now, q, r, scripted)
	}
	q.attempts = append(q.attempts, attempt{server: r.Server, zone: r.Zone, at: now, left: r.Left, scripted: scripted})
	if !q.Unwritten {
		a.checkTold(q, &q.attempts[len(q.attempts)-1])
	}
	return len(q.attempts) - 1
}

// checkRepeat holds a further send against the class, given the attempts before it.
func (a *Auditor) checkRepeat(now time.Duration, q *request, r Arrival, scripted bool) {
	a.report.Checks[Effects]++
	for _, t := range q.attempts {
		switch {
		case t.unrun:
			continue
		case q.Effect == Unsafe:
			a.broke(now, Effects, scripted, "%s: sent to %s, though it may have run at %s", q.ID, r.Server, t.server)
		case t.zone != r.Zone:
			a.broke(now, Effects, scripted, "%s: sent to %s, outside the group of %s, where it may have run", q.ID, r.Server, t.server)
		case now-t.at > q.Window+a.rules.Slack:
			a.broke(now, Effects, scripted, "%s: sent to %s %v after it may have run, outside the window", q.ID, r.Server, now-t.at)
		default:
			continue
		}
		return
	}
}

func (a *Auditor) checkDrain(now time.Duration, r Arrival) {
	s := a.server(r.Server)
	told, off := now, false
	if s.returning[AllProxies]+s.returning[r.Proxy] > 0 {
		return // the news that it is back may have come already
	}
	for _, proxy := range []string{AllProxies, r.Proxy} {
		if n := s.notices[proxy]; n.off {
			told, off = min(told, n.at), true
		}
	}
	if !off {
		return
	}
	after := now - told
	a.report.Latest = max(a.report.Latest, after)
	if after > a.rules.DrainGrace+a.rules.Slack {
		a.broke(now, Drains, r.Scripted, "%s: sent to %s %v after notice", r.ID, r.Server, after)
	}
}

// checkCold counts what comes to a cold server within any FallTime. coldSlack sends are chance.
func (a *Auditor) checkCold(now time.Duration, r Arrival) {
	s := a.server(r.Server)
	if r.Capacity <= 0 {
		s.arrived, s.fallen = nil, false
		return
	}
	a.report.Checks[Cold]++
	own := coldArrival{at: now, most: a.coldMost(a.rules.FallMultiple * r.Capacity * a.rules.FallTime.Seconds())}
	place := s.count(own)
	for _, last := range s.arrived[place:] {
		if last.at-now >= a.rules.FallTime {
			break
		}
		n := s.within(last.at, a.rules.FallTime)
		a.report.ColdMost = max(a.report.ColdMost, float64(n)/last.most)
		if float64(n) > last.most && !s.fallen {
			s.fallen = true
			a.broke(last.at, Cold, r.Scripted, "%s: %d requests within %v, of %.1f that it bore", r.Server, n, a.rules.FallTime, last.most)
		}
	}
	s.forget(s.arrived[len(s.arrived)-1].at - a.rules.FallTime - a.rules.Keep)
}

// count adds an arrival, behind all that came no later, and returns its place.
func (s *server) count(own coldArrival) (place int) {
	place = sort.Search(len(s.arrived), func(i int) bool { return s.arrived[i].at > own.at })
	s.arrived = slices.Insert(s.arrived, place, own)
	return place
}

// within is how many arrivals came in the window that ends with those of a time.
func (s *server) within(end, window time.Duration) int {
	first := sort.Search(len(s.arrived), func(i int) bool { return end-s.arrived[i].at < window })
	behind := sort.Search(len(s.arrived), func(i int) bool { return s.arrived[i].at > end })
	return behind - first
}

// forget drops the arrivals before a time.
func (s *server) forget(before time.Duration) {
	n := sort.Search(len(s.arrived), func(i int) bool { return s.arrived[i].at >= before })
	s.arrived = s.arrived[n:]
}

const (
	coldSlack = 2
	// From manyCold on chance adds two deviations, and below it three.
	manyCold = 30
)

// coldMost is how many requests a cold server bears that is allowed so many.
func (a *Auditor) coldMost(allowed float64) float64 {
	switch {
	case !a.rules.ColdChance:
		return allowed + coldSlack
	case allowed < manyCold:
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// Unrun takes in that a server has proved not to have run an attempt.
func (a *Auditor) Unrun(id string, number int) {
	if q := a.requests[id]; q != nil && number >= 0 && number < len(q.attempts) {
		q.attempts[number].unrun = true
	}
}

// Ran takes in that a server has run an attempt, and the answer it made; dropped says that it knew the key and had
// no effect again. A server that was told to run twice reports the second run as Scripted.
func (a *Auditor) Ran(now time.Duration, id string, number int, dropped, scripted bool, body string) {
	a.report.Ran++
	if dropped {
		a.report.Repeats++
	}
	q := a.requests[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return
	}
	if len(q.made) < mostMade {
		q.made = append(q.made, maphash.String(a.seed, body))
	}
	if q.Effect == Safe || dropped {
		return
	}
	a.report.Checks[Effects]++
	for _, t := range q.attempts {
		if t.ran {
			a.broke(now, Effects, scripted || q.scripted, "%s: its effect ran again, after %s", id, t.server)
			break
		}
	}
	q.attempts[number].ran = true
}

// mostMade answers for one request are remembered: as many as there may be attempts, and more.
const mostMade = 16

func (a *Auditor) wasMade(q *request, body string) bool {
	sum := maphash.String(a.seed, body)
	for _, made := range q.made {
		if made == sum {
			return true
		}
	}
	return false
}

// Told takes in that discovery has written a server's state to the proxies; off says that it drains or is gone.
func (a *Auditor) Told(now time.Duration, id string, off bool) { a.ToldProxy(now, AllProxies, id, off) }

// ToldProxy is Told for one proxy, whose arrivals name it. That a server is in service again takes back what all were told as well.
func (a *Auditor) ToldProxy(now time.Duration, proxy, id string, off bool) {
	s := a.server(id)
	if !off {
		delete(s.notices, proxy)
		delete(s.notices, AllProxies)
		return
	}
	n := s.notices[proxy]
	if !n.off {
		a.report.Checks[Drains]++
		n = notice{off: true, at: now}
	}
	n.at = min(n.at, now)
	s.notices[proxy] = n
}

// Returning takes in that an answer is about to be written to a proxy that says that a server is in service. ToldProxy comes behind the
// write if all of it was written, and Returned in any case.
func (a *Auditor) Returning(proxy, id string) { a.server(id).returning[proxy]++ }

// Returned takes in that the answer is written, or will not be.
func (a *Auditor) Returned(proxy, id string) { a.server(id).returning[proxy]-- }

// Started takes in that a proxy's process starts with a list that is told to it as it is: what an earlier one heard counts no more.
func (a *Auditor) Started(proxy string) {
	for _, s := range a.servers {
		delete(s.notices, proxy)
	}
}

// Settle closes the books at the end: every request that is still open has been lost.
func (a *Auditor) Settle(now time.Duration) {
	for _, q := range a.requests {
		if !q.over {
			a.report.Unanswered++
			a.broke(now, OneAnswer, q.scripted || q.excused, "%s: never answered", q.ID)
			a.end(now, q, bySettlement)
		}
	}
}
