// Package count aggregates what many proxies did together, from the lines that each of them logs at level debug.
// Behavior that is harmless at one proxy may be harmful when all proxies do it, and no single log shows that. The
// package has no other input and makes no decisions.
package count

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"brasswell/internal/discovery"
	"brasswell/internal/host"
)

// Line is one parsed line of a proxy's log.
type Line struct {
	Proxy  string
	At     time.Time
	Msg    string
	Fields map[string]string
}

// maxSeconds bounds the counted time span. Without it, one line with a wrong date would add an entry for each empty
// second before that date.
const maxSeconds = 24 * 60 * 60

// Second is what all proxies did in one second. An attempt counts in the second in which it was sent.
type Second struct {
	At          int            `json:"at"` // whole seconds since the first line
	Calls       int            `json:"calls"`
	FailedCalls int            `json:"broken"` // calls that ended with an error
	First       int            `json:"first"`  // first attempts
	Retries     int            `json:"again"`
	Outcomes    map[string]int `json:"outcomes"` // of all attempts
	Refused     int            `json:"refused"`
	Failed      int            `json:"failed"`
	// MaxOverMean is the largest number of attempts at one backend, divided by the mean over the backends that had any.
	// It is 0 where no backend had any.
	MaxOverMean float64 `json:"uneven"`
}

// Backend is what all proxies did with one backend.
type Backend struct {
	ID       string `json:"id"`
	Proxies  int    `json:"proxies"` // proxies that sent to it
	Attempts int    `json:"attempts"`
	Served   int    `json:"served"`
	// MaxPerSecond is the largest number of attempts at it in one second.
	MaxPerSecond int `json:"most_second"`
	// FirstUnreachable and LastUnreachable are the send times, in seconds since the first line, of the first and the
	// last attempt that failed because the backend was unreachable or did not answer. They are negative if there was
	// none. The time between them is what the proxies needed to detect the failure.
	FirstUnreachable float64 `json:"lost"`
	LastUnreachable  float64 `json:"last_sent"`
}

// ListUpdate is a version of the server list, with the times at which the proxies received it.
type ListUpdate struct {
	Seq     int64 `json:"seq"`
	Proxies int   `json:"proxies"` // proxies that hold it or a later one
	// First and Last are when the first and the last proxy received exactly this version, in seconds since the first
	// line.
	First float64 `json:"first"`
	Last  float64 `json:"last"`
}

// Report is what all proxies of a fleet did.
type Report struct {
	Proxies     int          `json:"proxies"`
	Seconds     []Second     `json:"seconds"`
	Backends    []Backend    `json:"backends"`
	ListUpdates []ListUpdate `json:"news"`
	Malformed   int          `json:"strange"` // lines of the counted kinds with invalid fields, or from outside the time span
}

// Aggregator collects the lines of all proxies. It is not safe for concurrent use.
type Aggregator struct{ lines []event }

// event is a line of a counted kind.
type event struct {
	Line
	at time.Time // when it started; for an attempt, when it was sent
}

// Add takes one line, and ignores lines of other kinds.
func (a *Aggregator) Add(l Line) {
	switch l.Msg {
	case host.TraceAttempt, host.TraceUnserved, host.TraceList, discovery.TraceCall:
	default:
		return
	}
	e := event{Line: l, at: l.At}
	if took, err := time.ParseDuration(l.Fields["took_ms"] + "ms"); err == nil && l.Msg == host.TraceAttempt {
		e.at = l.At.Add(-took)
	}
	a.lines = append(a.lines, e)
}

// tally accumulates the counts of one backend.
type tally struct {
	Backend
	senders   map[string]bool
	perSecond map[int]int
}

// unreachable reports whether an outcome means that the backend does not answer at all.
func unreachable(outcome string) bool {
	return outcome == "connect_error" || outcome == "timed_out" || outcome == "reset"
}

// Report aggregates the lines added so far.
func (a *Aggregator) Report() Report {
	slices.SortStableFunc(a.lines, func(x, y event) int { return x.at.Compare(y.at) })
	var r Report
	if len(a.lines) == 0 {
		return r
	}
	start := a.lines[0].at
	proxies := map[string]bool{}
	backends := map[string]*tally{}
	versions := map[string]int64{} // the list version that each proxy holds, by proxy
	updates := map[int64]*ListUpdate{}
	for _, e := range a.lines {
		since := e.at.Sub(start).Seconds()
		if since >= maxSeconds {
			r.Malformed++
			continue
		}
		proxies[e.Proxy] = true
		for len(r.Seconds) <= int(since) {
			r.Seconds = append(r.Seconds, Second{At: len(r.Seconds), Outcomes: map[string]int{}})
		}
		s := &r.Seconds[int(since)]
		switch e.Msg {
		case discovery.TraceCall:
			s.Calls++
			if e.Fields["error"] != "<nil>" && e.Fields["error"] != "" {
				s.FailedCalls++
				continue
			}
			seq, ok := parseInt(e.Fields["seq"])
			if !ok {
				r.Malformed++
				continue
			}
			if seq > versions[e.Proxy] {
				versions[e.Proxy] = seq
				if updates[seq] == nil {
					updates[seq] = &ListUpdate{Seq: seq, First: since}
				}
				updates[seq].Last = since
			}
		case host.TraceUnserved:
			if e.Fields["refused"] == "true" {
				s.Refused++
			} else {
				s.Failed++
			}
		case host.TraceAttempt:
			id, outcome := e.Fields["backend"], e.Fields["outcome"]
			n, ok := parseInt(e.Fields["n"])
			if !ok || id == "" || outcome == "" {
				r.Malformed++
				continue
			}
			if n == 0 {
				s.First++
			} else {
				s.Retries++
			}
			s.Outcomes[outcome]++
			b := backends[id]
			if b == nil {
				b = &tally{Backend: Backend{ID: id, FirstUnreachable: -1, LastUnreachable: -1}, senders: map[string]bool{}, perSecond: map[int]int{}}
				backends[id] = b
			}
			b.senders[e.Proxy] = true
			b.Attempts++
			b.perSecond[s.At]++
			if outcome == "ok" {
				b.Served++
			}
			if unreachable(outcome) {
				if b.FirstUnreachable < 0 {
					b.FirstUnreachable = since
				}
				b.LastUnreachable = since
			}
		}
	}
	r.Proxies = len(proxies)
	for i := range r.Seconds {
		r.Seconds[i].MaxOverMean = maxOverMean(backends, i)
	}
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		b := backends[id]
		b.Proxies = len(b.senders)
		for _, n := range b.perSecond {
			b.MaxPerSecond = max(b.MaxPerSecond, n)
		}
		r.Backends = append(r.Backends, b.Backend)
	}
	for seq, n := range updates {
		for _, version := range versions {
			if version >= seq {
				n.Proxies++
			}
		}
		r.ListUpdates = append(r.ListUpdates, *n)
	}
	slices.SortFunc(r.ListUpdates, func(x, y ListUpdate) int { return cmp.Compare(x.Seq, y.Seq) })
	return r
}

// maxOverMean returns the largest number of attempts at one backend in a second, divided by the mean over the backends
// that had any.
func maxOverMean(backends map[string]*tally, second int) float64 {
	most, sum, used := 0, 0, 0
	for _, b := range backends {
		if n := b.perSecond[second]; n > 0 {
			most, sum, used = max(most, n), sum+n, used+1
		}
	}
	if used == 0 {
		return 0
	}
	return math.Round(100*float64(most)*float64(used)/float64(sum)) / 100
}
