// Package count adds up what many proxies did together, from the lines that each of them logs at level debug. What is
// harmless at one proxy may be harmful when all do it, and shows in no single log. It reads and decides nothing else.
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

// Line is one line of a proxy's log.
type Line struct {
	Proxy  string
	At     time.Time
	Msg    string
	Fields map[string]string
}

// mostSeconds bounds the span that is counted: a stray date would otherwise make an empty day of every second before it.
const mostSeconds = 24 * 60 * 60

// Second is what all proxies did in one second; attempts count in the one in which they were sent.
type Second struct {
	At          int            `json:"at"` // whole seconds from the first line
	Calls       int            `json:"calls"`
	FailedCalls int            `json:"broken"` // calls that ended with an error
	First       int            `json:"first"`  // first attempts
	Retries     int            `json:"again"`
	Outcomes    map[string]int `json:"outcomes"` // of all attempts
	Refused     int            `json:"refused"`
	Failed      int            `json:"failed"`
	// Uneven is the most that one backend was sent over the mean of those that were sent anything; 0 where none was.
	MaxOverMean float64 `json:"uneven"`
}

// Backend is what all proxies did with one backend.
type Backend struct {
	ID       string `json:"id"`
	Proxies  int    `json:"proxies"` // that sent to it
	Attempts int    `json:"attempts"`
	Served   int    `json:"served"`
	// MostSecond is the most that it was sent in one second.
	MaxPerSecond int `json:"most_second"`
	// Lost is when it was first unreachable or silent, in seconds from the first line, and LastSent the last send that
	// ended so; negative if none did. The proxies' time to find it out lies between.
	FirstUnreachable float64 `json:"lost"`
	LastUnreachable  float64 `json:"last_sent"`
}

// News is a change of the server list as the proxies heard of it.
type ListUpdate struct {
	Seq     int64 `json:"seq"`
	Proxies int   `json:"proxies"` // that hold it or a later one
	// First and Last are when the first and the last proxy got just this version, in seconds from the first line.
	First float64 `json:"first"`
	Last  float64 `json:"last"`
}

// Report is what a fleet did.
type Report struct {
	Proxies     int          `json:"proxies"`
	Seconds     []Second     `json:"seconds"`
	Backends    []Backend    `json:"backends"`
	ListUpdates []ListUpdate `json:"news"`
	Malformed   int          `json:"strange"` // lines of these kinds whose fields make no sense, or from outside the span
}

// Fleet adds lines up. It is not safe for concurrent use.
type Aggregator struct{ lines []event }

// event is what is kept of a line that counts.
type event struct {
	Line
	at time.Time // when it began: an attempt when it was sent
}

// Add takes one line; those of other kinds count for nothing.
func (f *Aggregator) Add(l Line) {
	switch l.Msg {
	case host.TraceAttempt, host.TraceUnserved, host.TraceList, discovery.TraceCall:
	default:
		return
	}
	e := event{Line: l, at: l.At}
	if took, err := time.ParseDuration(l.Fields["took_ms"] + "ms"); err == nil && l.Msg == host.TraceAttempt {
		e.at = l.At.Add(-took)
	}
	f.lines = append(f.lines, e)
}

// tally is what is known of one backend while lines are added up.
type tally struct {
	Backend
	by     map[string]bool
	second map[int]int
}

// lost says whether an outcome is that of a backend which does not answer at all.
func lost(outcome string) bool {
	return outcome == "connect_error" || outcome == "timed_out" || outcome == "reset"
}

// Report adds up what was taken in.
func (f *Aggregator) Report() Report {
	slices.SortStableFunc(f.lines, func(x, y event) int { return x.at.Compare(y.at) })
	var r Report
	if len(f.lines) == 0 {
		return r
	}
	start := f.lines[0].at
	proxies := map[string]bool{}
	backends := map[string]*tally{}
	held := map[string]int64{} // by proxy, the version that it holds
	news := map[int64]*ListUpdate{}
	for _, e := range f.lines {
		since := e.at.Sub(start).Seconds()
		if since >= mostSeconds {
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
			seq, ok := number(e.Fields["seq"])
			if !ok {
				r.Malformed++
				continue
			}
			if seq > held[e.Proxy] {
				held[e.Proxy] = seq
				if news[seq] == nil {
					news[seq] = &ListUpdate{Seq: seq, First: since}
				}
				news[seq].Last = since
			}
		case host.TraceUnserved:
			if e.Fields["refused"] == "true" {
				s.Refused++
			} else {
				s.Failed++
			}
		case host.TraceAttempt:
			id, outcome := e.Fields["backend"], e.Fields["outcome"]
			n, ok := number(e.Fields["n"])
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
				b = &tally{Backend: Backend{ID: id, FirstUnreachable: -1, LastUnreachable: -1}, by: map[string]bool{}, second: map[int]int{}}
				backends[id] = b
			}
			b.by[e.Proxy] = true
			b.Attempts++
			b.second[s.At]++
			if outcome == "ok" {
				b.Served++
			}
			if lost(outcome) {
				if b.FirstUnreachable < 0 {
					b.FirstUnreachable = since
				}
				b.LastUnreachable = since
			}
		}
	}
	r.Proxies = len(proxies)
	for i := range r.Seconds {
		r.Seconds[i].MaxOverMean = uneven(backends, i)
	}
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		b := backends[id]
		b.Proxies = len(b.by)
		for _, n := range b.second {
			b.MaxPerSecond = max(b.MaxPerSecond, n)
		}
		r.Backends = append(r.Backends, b.Backend)
	}
	for seq, n := range news {
		for _, version := range held {
			if version >= seq {
				n.Proxies++
			}
		}
		r.ListUpdates = append(r.ListUpdates, *n)
	}
	slices.SortFunc(r.ListUpdates, func(x, y ListUpdate) int { return cmp.Compare(x.Seq, y.Seq) })
	return r
}

// uneven is the most over the mean of what backends were sent in a second.
func uneven(backends map[string]*tally, second int) float64 {
	most, sum, used := 0, 0, 0
	for _, b := range backends {
		if n := b.second[second]; n > 0 {
			most, sum, used = max(most, n), sum+n, used+1
		}
	}
	if used == 0 {
		return 0
	}
	return math.Round(100*float64(most)*float64(used)/float64(sum)) / 100
}
