// Package history reads what the processes of a fleet said and what was done to them as one history, and judges it. It has
// no I/O: lines and acts go in with their times, findings come out.
package history

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"brasswell/internal/cluster"
	"brasswell/internal/rig/story"
)

// The events that a rig notes itself; all others have a log line's message as What.
const (
	Started = "started" // the process is about to be started
	Ended   = "ended"   // it has ended
	Stopped = "stopped" // it does nothing from here on
	Resumed = "resumed"
	Began   = "began" // an event of the story; Fields hold do, event, who
	Over    = "over"  // its end
)

// Event is one entry of a history.
type Event struct {
	At     time.Duration     `json:"at_ns"` // of the story's clock; below 0 before it
	Who    string            `json:"who"`   // a process, or "" for the story
	What   string            `json:"what"`
	Fields map[string]string `json:"fields,omitempty"`
}

func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f s %-4s %s", e.At.Seconds(), e.Who, e.What)
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, " %s=%s", k, e.Fields[k])
	}
	return b.String()
}

// Parse reads a line of a process's log in its JSON form; zero is the moment that the story's clock counts from. A line that
// is not one is told as it is.
func Parse(process, line string, zero, now time.Time) Event {
	var fields map[string]any
	if json.Unmarshal([]byte(line), &fields) != nil {
		return Event{At: now.Sub(zero), Who: process, What: "output", Fields: map[string]string{"line": line}}
	}
	e := Event{At: now.Sub(zero), Who: process, Fields: map[string]string{}}
	for k, v := range fields {
		text := fmt.Sprint(v)
		if f, number := v.(float64); number {
			text = strconv.FormatFloat(f, 'f', -1, 64)
		}
		switch k {
		case "time":
			if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
				e.At = at.Sub(zero)
			}
		case "msg":
			e.What = text
		case "name": // who has said it is known better from where it came
		default:
			e.Fields[k] = text
		}
	}
	return e
}

// Settling is how long it took after something was done until all living views were right again.
type Settling struct {
	Do   string        `json:"do"`
	End  bool          `json:"end"`
	At   time.Duration `json:"at_ns"`
	Took time.Duration `json:"took_ns"` // below 0 if the next came before
}

// Finding is something that must not be, with the place in the history that shows it.
type Finding struct {
	Text  string `json:"text"`
	Index int    `json:"index"` // of the event
}

// Verdict is what a history shows about the views of the fleet.
type Verdict struct {
	Settled []Settling `json:"settled"`
	False   []Finding  `json:"false"`   // a living, reachable, unpaused member held dead
	Wrong   []string   `json:"wrong"`   // what living views are wrong about at the end
	Changes int        `json:"changes"` // of views
	Flaps   int        `json:"flaps"`   // the most often that one view changed its mind about one member
}

// MemberLine is the message of a line that tells of a change of a view.
const MemberLine = cluster.LogMember

// grace is how many periods after a pause or a cut a death may still be the outcome of it.
const grace = 24

type process struct {
	up, stopped bool
	awake       time.Duration // since when it is up and not stopped
	holds       map[string]string
	flaps       map[string]int
}

// Judge reads a history of a story's fleet. Events need not be in order.
func Judge(s *story.Story, events []Event) Verdict {
	order := make([]int, len(events))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(events[a].At, events[b].At) })
	j := &judge{story: s, procs: map[string]*process{}, cuts: map[string]bool{}}
	for _, n := range s.Names() {
		j.procs[n] = &process{holds: map[string]string{}, flaps: map[string]int{}}
	}
	for _, i := range order {
		j.take(i, &events[i])
	}
	j.close()
	j.verdict.Wrong = j.wrong()
	for _, p := range j.procs {
		for _, n := range p.flaps {
			j.verdict.Flaps = max(j.verdict.Flaps, n)
		}
	}
	return j.verdict
}

type judge struct {
	story   *story.Story
	procs   map[string]*process
	cuts    map[string]bool // open events of the network that cut, by number
	healed  time.Duration
	open    *Settling
	verdict Verdict
}

func (j *judge) take(i int, e *Event) {
	p := j.procs[e.Who]
	switch e.What {
	case Started:
		p.up, p.stopped, p.awake = true, false, e.At
		p.holds = map[string]string{}
	case Ended:
		p.up = false
	case Stopped:
		p.stopped = true
	case Resumed:
		p.stopped, p.awake = false, e.At
	case Began, Over:
		j.act(e)
	case MemberLine:
		if p == nil {
			return
		}
		j.verdict.Changes++
		member, state := e.Fields["member"], e.Fields["state"]
		if before := p.holds[member]; present(before) != present(state) {
			p.flaps[member]++
		}
		p.holds[member] = state
		if state == "dead" {
			j.death(i, e, p, member)
		}
	default:
		return
	}
	j.settle(e.At)
}

func present(state string) bool { return state == "alive" || state == "suspect" }

// death looks whether the one that is held dead lives, awake and on sound paths for long enough.
func (j *judge) death(i int, e *Event, by *process, member string) {
	q := j.procs[member]
	if q == nil || !q.up || q.stopped || !by.up || len(j.cuts) > 0 || e.At < 0 { // before the story all are starting
		return
	}
	patience := grace * time.Duration(j.story.Period)
	if e.At-q.awake < patience || e.At-j.healed < patience && j.healed > 0 {
		return
	}
	j.verdict.False = append(j.verdict.False, Finding{fmt.Sprintf("%s holds %s dead, which lives", e.Who, member), i})
}

func (j *judge) act(e *Event) {
	do, number := e.Fields["do"], e.Fields["event"]
	cuts := do == story.Cut || do == story.CutTo
	switch {
	case cuts && e.What == Began:
		j.cuts[number] = true
	case cuts:
		delete(j.cuts, number)
		j.healed = e.At
	}
	j.close()
	// What is right while a cut or a pause lasts, the story does not say.
	if len(j.cuts) == 0 && !(do == story.Pause && e.What == Began) {
		j.open = &Settling{Do: do, End: e.What == Over, At: e.At}
	}
}

// close ends the open settling: either nothing had to change, or it did not come before this.
func (j *judge) close() {
	if j.open == nil {
		return
	}
	if len(j.wrong()) > 0 {
		j.open.Took = -1
	}
	j.verdict.Settled = append(j.verdict.Settled, *j.open)
	j.open = nil
}

// wrong is what living views hold that is not so.
func (j *judge) wrong() (lines []string) {
	for _, n := range j.story.Names() {
		p := j.procs[n]
		if !p.up || p.stopped {
			continue
		}
		for _, m := range j.story.Names() {
			if m != n && present(p.holds[m]) != j.procs[m].up {
				lines = append(lines, fmt.Sprintf("%s holds %s %s", n, m, cmp.Or(p.holds[m], "unknown")))
			}
		}
	}
	return lines
}

func (j *judge) settle(at time.Duration) {
	if j.open != nil && at > j.open.At && len(j.wrong()) == 0 {
		j.open.Took = at - j.open.At
		j.verdict.Settled = append(j.verdict.Settled, *j.open)
		j.open = nil
	}
}

// Kept says whether nothing was found that must not be.
func (v *Verdict) Kept() bool { return len(v.False) == 0 && len(v.Wrong) == 0 }

// around is how many events before one are shown with it.
const around = 25

// Explain shows what broke: the story's seed, each finding, and the part of the history before it.
func (v *Verdict) Explain(s *story.Story, events []Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "story %s, seed %d\n", s.Name, s.Seed)
	for _, w := range v.Wrong {
		fmt.Fprintf(&b, "at the end: %s\n", w)
	}
	if len(v.False) > 0 {
		f := v.False[0]
		fmt.Fprintf(&b, "%d false deaths; the first: %s\n", len(v.False), f.Text)
		at := events[f.Index].At
		near := slices.Clone(events)
		slices.SortStableFunc(near, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
		n, _ := slices.BinarySearchFunc(near, at+1, func(e Event, at time.Duration) int { return cmp.Compare(e.At, at) })
		for _, e := range near[max(0, n-around):n] {
			fmt.Fprintln(&b, e)
		}
	}
	return b.String()
}

// Quantile is the value below which a share of some durations lies; those below 0 are left out.
func Quantile(of []time.Duration, share float64) time.Duration {
	sound := slices.DeleteFunc(slices.Clone(of), func(d time.Duration) bool { return d < 0 })
	if len(sound) == 0 {
		return -1
	}
	slices.Sort(sound)
	return sound[min(int(share*float64(len(sound))), len(sound)-1)]
}

// Present is how many members each living process holds present after a history, itself included.
func Present(s *story.Story, events []Event) map[string]int {
	holds := map[string]map[string]bool{}
	for i := range events { // in the order in which they came: this is for people
		e := &events[i]
		switch e.What {
		case Started:
			holds[e.Who] = map[string]bool{e.Who: true}
		case Ended:
			delete(holds, e.Who)
		case MemberLine:
			if h := holds[e.Who]; h != nil {
				if present(e.Fields["state"]) {
					h[e.Fields["member"]] = true
				} else {
					delete(h, e.Fields["member"])
				}
			}
		}
	}
	n := map[string]int{}
	for _, name := range s.Names() {
		if h := holds[name]; h != nil {
			n[name] = len(h)
		}
	}
	return n
}
