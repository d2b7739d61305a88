package model

import (
	"maps"
	"slices"
	"time"

	"brasswell/internal/discovery/plan"
)

// openCall is one that was made.
type openCall struct {
	plan.Call
	fate     Outcome
	begun    time.Duration
	holds    bool          // it waits for news
	broken   bool          // it fell silent for good
	clear    bool          // nothing else was amiss as it was made, and the process and its agent have run since
	closedAt time.Duration // when the process was done with it; never before that
	decided  time.Duration // of which moment its answer tells
	tells    int           // so many changes its answer tells
	version  int64         // of its answer
	whole    bool          // its answer is the whole list
}

// closed says whether the process is done with it.
func (o *openCall) closed() bool { return o.closedAt != never }

// fateOf is what the next call meets.
func (p *play) fateOf() Outcome {
	p.calls++
	p.verdict.Calls++
	if p.down != nil {
		return p.down.Outcome
	}
	if p.calls <= len(p.course.CallOutcomes) {
		return p.course.CallOutcomes[p.calls-1]
	}
	var shares []Share
	for _, phase := range p.course.Phases {
		if phase.From <= p.now {
			shares = phase.Shares
		}
	}
	draw := p.dice.Float64()
	for _, s := range shares {
		if draw -= s.Fraction; draw < 0 {
			return s.Outcome
		}
	}
	return Normal
}

// drawn is a time up to a longest one.
func (p *play) drawn(longest time.Duration) time.Duration {
	return time.Duration(p.dice.Float64() * float64(longest))
}

// call plays one call.
func (p *play) call(c plan.Call) {
	o := &openCall{Call: c, begun: p.now, fate: p.fateOf(), closedAt: never, clear: len(p.open) == 0 && p.down == nil && !p.notices.movedLately(p.now)}
	for _, other := range p.open {
		other.clear = false
	}
	p.open[c.ID] = o
	p.core.made(o)
	p.notices.called(o, p.now)
	if p.course.Literal && c.Hold > 0 {
		p.after(c.Hold, func() { p.notices.waitOver(p.now) })
	}
	p.nothingElse = p.nothingElse && (o.fate == Normal || p.down != nil && o.fate.reachesNobody())
	if !p.kept || c.Hedged {
		p.dial(o)
		return
	}
	if o.fate.reachesNobody() {
		o.fate = Reset // its connection is there already
	}
	p.serve(o)
}

// dial has a call's connection come up, or not.
func (p *play) dial(o *openCall) {
	up := time.Duration(0)
	switch o.fate {
	case DialRefused:
		p.after(callLatency, func() { p.deliver(o, func() { p.end(o, plan.Unreachable) }) })
		return
	case DialTimeout:
		up = dialPatience
	case DialLate:
		up = p.drawn(latestDial)
	}
	if up >= dialPatience {
		p.after(dialPatience, func() { p.deliver(o, func() { p.end(o, plan.Unreachable) }) })
		return
	}
	connected := func() {
		if !o.closed() {
			p.core.connected(o)
			p.serve(o)
		}
	}
	if up == 0 {
		connected()
		return
	}
	p.after(up, func() { p.deliver(o, connected) })
}

// serve has discovery take a call.
func (p *play) serve(o *openCall) {
	p.kept = true
	p.at(o.begun+o.Timeout, func() { p.deliver(o, func() { p.end(o, plan.TimedOut) }) })
	refuse := func() { p.deliver(o, func() { p.refuse(o) }) }
	switch o.fate {
	case Normal, WrittenLate, DeliveredLate, DialLate:
		p.after(callLatency, func() { p.hold(o) })
	case Queued:
		p.after(callLatency+p.drawn(slowest), func() { p.hold(o) })
	case Truncated, StalledAnswer:
		if p.dice.IntN(2) == 0 {
			p.after(callLatency, func() { p.hold(o) })
		} else {
			p.after(callLatency, func() { p.answer(o) })
		}
	case NoResponse:
		p.fallSilent(o)
	case Reset:
		p.after(callLatency, func() { p.deliver(o, func() { p.end(o, plan.NoAnswer) }) })
	case RefusedAtOnce:
		p.after(callLatency, refuse)
	case RefusedLate:
		p.after(linePatience, refuse)
	}
}

func (p *play) fallSilent(o *openCall) {
	o.holds = false
	if p.down == nil {
		o.broken = true
		p.notices.silent(o, p.now)
	}
}

// hold has a call wait for news, or be answered where there are some.
func (p *play) hold(o *openCall) {
	if o.closed() || o.broken {
		return
	}
	if p.seen > p.told(o) || o.From < 0 || o.From > p.version() {
		p.answer(o)
		return
	}
	o.holds = true
	p.at(max(p.now, o.begun+o.Hold), func() {
		if o.holds {
			p.answer(o)
		}
	})
}

// told is how many changes there are up to the version that a call asks from.
func (p *play) told(o *openCall) int { return int(o.From - firstVersion - p.offset) }

// version is discovery's.
func (p *play) version() int64 { return firstVersion + int64(p.seen) + p.offset }

// tell answers the watches that wait for news.
func (p *play) tell() {
	for _, o := range p.waiting() {
		p.after(callLatency, func() {
			if o.holds {
				p.answer(o)
			}
		})
	}
}

// answer decides what a call is answered, and has it written.
func (p *play) answer(o *openCall) {
	if o.closed() {
		return
	}
	o.holds, o.decided = false, p.now
	o.tells, o.version, o.whole = p.seen, p.version(), o.From < 0 || p.dice.Float64() < p.course.WholeLists
	lag := time.Duration(0)
	if o.fate == WrittenLate {
		lag = p.drawn(latest)
	}
	p.after(lag, func() { p.write(o) })
}

// write has discovery write an answer, and the answer go its way.
func (p *play) write(o *openCall) {
	if o.closed() {
		return
	}
	if p.down != nil && !p.course.Pushed {
		p.deliver(o, func() { p.end(o, plan.NoAnswer) })
		return
	}
	p.notices.written(o, p.now)
	switch o.fate {
	case Truncated:
		p.deliver(o, func() { p.begin(o) })
		p.after(callLatency, func() { p.deliver(o, func() { p.end(o, plan.CutOff) }) })
	case StalledAnswer:
		p.deliver(o, func() { p.begin(o) })
	case DeliveredLate:
		p.after(p.drawn(longestWay), func() { p.deliver(o, func() { p.read(o) }) })
	default:
		p.deliver(o, func() { p.read(o) })
	}
}

// waiting are the calls that wait for news, in order.
func (p *play) waiting() (calls []*openCall) {
	for _, id := range slices.Sorted(maps.Keys(p.open)) {
		if o := p.open[id]; o.holds {
			calls = append(calls, o)
		}
	}
	return calls
}

// endWatches ends the calls that wait for news.
func (p *play) endWatches(end plan.CallEnd) {
	for _, o := range p.waiting() {
		o.holds = false
		p.deliver(o, func() { p.end(o, end) })
	}
}

// silenceWatches has the calls that wait for news stay silent.
func (p *play) silenceWatches() {
	p.nothingElse = false
	for _, o := range p.waiting() {
		p.fallSilent(o)
	}
}

func (p *play) goDown(o *Outage) {
	if o.To <= p.now {
		return
	}
	p.down = o
	if p.course.Pushed {
		p.nothingElse = false
		for _, o := range p.open {
			o.holds, o.clear = false, false // until the agent is back
		}
		return
	}
	p.kept = p.kept && !o.Outcome.reachesNobody()
	end := plan.NoAnswer
	if o.Outcome == RefusedAtOnce || o.Outcome == RefusedLate {
		end = plan.TurnedAway
	}
	p.endWatches(end)
}

func (p *play) comeBack() {
	if p.down == nil {
		return
	}
	p.down = nil
	p.notices.back = p.now
	if !p.course.Pushed {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.open)) { // the agent answers all that wait
		o := p.open[id]
		p.after(callLatency, func() { p.hold(o) })
	}
}
