// Package ruling judges from a history whether proxies acted on rules that contradict each other: what each sent, and on what that
// rested, against what every other held to be in force at that moment. It has no I/O.
package ruling

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"brasswell/internal/cluster/agreement"
	"brasswell/internal/host"
	"brasswell/internal/rig/history"
)

// The events that a rig notes about rules.
const (
	Proposed = "proposed" // fields id, kind, backend
	Answered = "answered" // fields id, version
	Version  = "version"  // at the end, from a keeper: fields version, id, out (the backends that are out)
)

// Verdict is what a history shows about rules.
type Verdict struct {
	Acts   int `json:"acts"`   // sends that were looked at
	Alone  int `json:"alone"`  // of these, with no lease
	Agreed int `json:"agreed"` // changes whose proposers were told of them
	// Leased is the longest time after which a proxy with a lease still acted against what another held to be in force; it must
	// be 0. Unleased is the same of proxies that had none and went on with what they knew.
	Leased   time.Duration `json:"leased_ns"`
	Unleased time.Duration `json:"unleased_ns"`
	// InForce is how long it took from a proposal until the first proxy held the change in force: from then on no other with a
	// lease acts against it.
	InForce []time.Duration `json:"in_force_ns"`
	Lost    []string        `json:"lost"`  // changes that were acknowledged and are not there
	Found   []string        `json:"found"` // the first contradictions
}

// Kept says whether nothing was found that must not be.
func (v *Verdict) Kept() bool { return v.Leased == 0 && len(v.Lost) == 0 }

// mostFound contradictions are told.
const mostFound = 10

// standing is what a process acted on from a moment on.
type standing struct {
	at            time.Duration
	there, leased bool
	version, last uint64
}

// line is what a process has said of itself, in order.
type line []standing

// at is how it stood at a moment.
func (l line) at(t time.Duration) standing {
	i, _ := slices.BinarySearchFunc(l, t, func(s standing, t time.Duration) int {
		if s.at <= t {
			return -1
		}
		return 1
	})
	if i == 0 {
		return standing{}
	}
	return l[i-1]
}

// vouched says whether a process held a lease from a moment on for as long as it takes to say that it has none.
func (l line) vouched(t time.Duration) bool {
	const saying = 150 * time.Millisecond
	for _, s := range l {
		if s.at > t && s.at <= t+saying && !(s.there && s.leased) {
			return false
		}
	}
	s := l.at(t)
	return s.there && s.leased
}

type judge struct {
	verdict  Verdict
	out      map[uint64]map[string]bool // by version, the backends that are out
	newest   uint64
	lines    map[string]line
	proposed map[string]time.Duration
}

// Judge reads a history. zero is the moment, as Unix time, that its clock counts from. Events need not be in order.
func Judge(events []history.Event, zero time.Duration) Verdict {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	j := &judge{out: map[uint64]map[string]bool{1: {}}, lines: map[string]line{}, proposed: map[string]time.Duration{}}
	made := map[string]uint64{} // by change, the version that it came to
	for i := range events {
		if e := &events[i]; e.What == Version {
			n := number(e, "version")
			j.out[n], j.newest = map[string]bool{}, max(j.newest, n)
			for _, id := range strings.Fields(e.Fields["out"]) {
				j.out[n][id] = true
			}
			made[e.Fields["id"]] = n
		}
	}
	for i := range events {
		j.event(&events[i])
	}
	for i := range events {
		e := &events[i]
		switch e.What {
		case host.TraceBasis:
			j.act(e, time.Duration(number(e, "at_us"))*time.Microsecond-zero)
		case Answered:
			id, n := e.Fields["id"], number(e, "version")
			j.verdict.Agreed++
			if made[id] != n {
				j.verdict.Lost = append(j.verdict.Lost, fmt.Sprintf("change %s was acknowledged as version %d, and is %d", id, n, made[id]))
			}
			j.inForce(id, n)
		}
	}
	return j.verdict
}

func number(e *history.Event, field string) uint64 {
	n, _ := strconv.ParseUint(e.Fields[field], 10, 64)
	return n
}

// event takes in what says how a process stands.
func (j *judge) event(e *history.Event) {
	l := j.lines[e.Who]
	var s standing
	if n := len(l); n > 0 {
		s = l[n-1]
	}
	s.at = e.At
	switch e.What {
	case history.Started:
		s = standing{at: e.At, there: true}
	case history.Ended, history.Stopped:
		s.there = false
	case history.Resumed:
		s.there, s.leased = true, false // until it says so anew
	case agreement.LogRules:
		s.version, s.last = number(e, "version"), number(e, "last")
	case agreement.LogMode:
		s.leased = e.Fields["mode"] == "leased"
	case Proposed:
		j.proposed[e.Fields["id"]] = e.At
		return
	default:
		return
	}
	j.lines[e.Who] = append(l, s)
}

// forbidden says whether a backend is out under the version in force at a process and under all on their way there.
func (j *judge) forbidden(s standing, backend string) bool {
	if s.version == 0 {
		return false
	}
	for n := s.version; n <= s.last; n++ {
		if !j.out[n][backend] {
			return false
		}
	}
	return true
}

// act looks at one send.
func (j *judge) act(e *history.Event, at time.Duration) {
	v := &j.verdict
	v.Acts++
	leased, backend := e.Fields["leased"] == "true", e.Fields["backend"]
	if !leased {
		v.Alone++
	}
	for who, l := range j.lines {
		s := l.at(at)
		if who == e.Who || !j.forbidden(s, backend) || !l.vouched(at) {
			continue
		}
		// Since when it has been so there.
		since := s.at
		for i := len(l) - 1; i >= 0; i-- {
			if l[i].at > at {
				continue
			}
			if !l[i].there || !j.forbidden(l[i], backend) {
				break
			}
			since = l[i].at
		}
		late := at - since
		if leased {
			v.Leased = max(v.Leased, late)
			if len(v.Found) < mostFound {
				v.Found = append(v.Found, fmt.Sprintf("%v: %s sent to %s on version %s, and %s had it out for %v (%d to %d)", at, e.Who, backend, e.Fields["version"], who, late, s.version, s.last))
			}
		} else {
			v.Unleased = max(v.Unleased, late)
		}
	}
}

// inForce notes how long a change took.
func (j *judge) inForce(id string, version uint64) {
	proposed, known := j.proposed[id]
	if !known {
		return
	}
	first := time.Duration(-1)
	for _, l := range j.lines {
		for _, s := range l {
			if s.version >= version && s.at >= proposed && (first < 0 || s.at < first) {
				first = s.at
			}
		}
	}
	if first >= 0 {
		j.verdict.InForce = append(j.verdict.InForce, first-proposed)
	}
}
