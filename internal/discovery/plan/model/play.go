package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"brasswell/internal/discovery/plan"
)

const (
	// tick is between two looks at whether the list is acted on.
	tick = 50 * time.Millisecond
	// firstVersion is that of the list of the beginning; a discovery that is renumbered counts from lowerBy below.
	firstVersion, lowerBy = 1000, 100
	// firstAddress is discovery's until it moves.
	firstAddress = "a"
	// confirmedWithin is how old a call may be whose answer has to end all holding back: what an older one tells is old.
	confirmedWithin = 3500 * time.Millisecond
)

// Verdict is what came of a course.
type Result struct {
	Late        time.Duration // the latest act behind the grace of a change that counts as told and is not in the list that is acted on; 0 for none
	LateRule    NoticeRule    // of it
	FirstLateAt time.Duration // the first late act
	StaleTime   time.Duration // for how long the list was not acted on
	Calls       int
	// Confirmed says whether the list was acted on behind each whole answer to a call that was made with no other one out and no SIGHUP's
	// time under way, by a process that was not held up meanwhile, and at the course's quiet end.
	Confirmed bool
	// OutageHeld is for how long the list was not acted on in an outage in which no connection came up, and which nothing came before.
	OutageStaleTime time.Duration
}

// play is a course that is under way.
type play struct {
	clock
	course  Schedule
	dice    *rand.Rand
	core    *core
	notices *notices
	verdict Result
	judged  time.Duration // the last moment that was

	// Of discovery.
	calls  int
	seen   int // changes that there were so far
	offset int64
	down   *Outage

	// Of the process.
	open      map[plan.CallID]*openCall
	kept      bool // the connection of the last answer is there
	timer     int  // the number of the event that is the follower's time; 0 for none
	timerAt   time.Duration
	held      int // changes in the list that is held
	heldUntil time.Duration
	waitingIn []delivery // for the end of a hold-up

	// nothingElse says that nothing but the outage's failed dials has been amiss so far.
	nothingElse bool
}

// Play plays a course; rule is nil for the follower's own.
func Run(c Schedule, rule StalenessRule) Result {
	dice := rand.New(rand.NewPCG(c.Seed, 0x9a7e))
	p := &play{
		clock: clock{now: c.Start}, course: c, dice: dice, core: newCore(c, rule, dice), notices: newNotices(c),
		open: map[plan.CallID]*openCall{}, judged: c.Start, verdict: Result{Confirmed: true},
		nothingElse: c.Start == 0, // a process that starts anew has a list of any age
	}
	p.schedule()
	p.watch()
	for p.now < c.Length && p.next() {
		if !p.heldUp() {
			p.carryOut()
			p.judge()
		}
	}
	return p.verdict
}

// schedule puts the course's own events into the queue. What discovery did before the process started has happened.
func (p *play) schedule() {
	c := p.course
	before := func(at time.Duration) bool { return at < c.Start }
	for i := range c.Changes {
		if before(c.Changes[i]) {
			p.seen = i + 1
			continue
		}
		p.at(c.Changes[i], func() { p.seen = i + 1; p.tell() })
	}
	for i := range c.Outages {
		p.at(c.Outages[i].From, func() { p.goDown(&c.Outages[i]) })
		p.at(c.Outages[i].To, p.comeBack)
	}
	for _, at := range slices.DeleteFunc(slices.Clone(c.WatchResets), before) {
		p.at(at, func() { p.nothingElse = false; p.endWatches(plan.NoAnswer) })
	}
	for _, at := range slices.DeleteFunc(slices.Clone(c.WatchSilences), before) {
		p.at(at, p.silenceWatches)
	}
	for n, at := range slices.DeleteFunc(slices.Clone(c.Moves), before) {
		p.at(at, func() { p.moveTo(n) })
	}
	for _, at := range c.Renumberings {
		p.at(at, func() { p.nothingElse = false; p.offset -= lowerBy; p.endWatches(plan.NoAnswer) })
	}
	for _, h := range c.Stalls {
		if !before(h.From) {
			p.at(h.From, func() { p.stopRunning(h) })
		}
	}
	var look func()
	look = func() { p.after(tick, look) }
	look()
}

// judge judges the present moment.
func (p *play) judge() {
	since := p.now - p.judged
	p.judged = p.now
	if len(p.open) == 0 {
		p.notices.unwatched(p.now)
	}
	if !p.core.mayAct(p.now) {
		p.judgeHeldBack(since)
		return
	}
	for i := min(p.held, p.seen); i < p.seen; i++ {
		told := p.notices.toldAt(&p.notices.changes[i])
		late := p.now - told.at - grace
		if late <= 0 {
			continue
		}
		if p.verdict.Late == 0 {
			p.verdict.FirstLateAt = p.now
		}
		if late > p.verdict.Late {
			p.verdict.Late, p.verdict.LateRule = late, told.by
		}
	}
}

// judgeHeldBack judges a time in which the list was not acted on.
func (p *play) judgeHeldBack(since time.Duration) {
	p.verdict.StaleTime += since
	if p.down != nil && p.down.Outcome.reachesNobody() && p.nothingElse {
		p.verdict.OutageStaleTime += since
	}
	if p.now > p.course.Length-time.Second {
		p.verdict.Confirmed = false
	}
}
