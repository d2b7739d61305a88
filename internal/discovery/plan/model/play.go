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
type run struct {
	clock
	schedule  Schedule
	dice      *rand.Rand
	core      *core
	notices   *noticeTracker
	result    Result
	checkedAt time.Duration // the last moment that was

	// Of discovery.
	calls         int
	changesMade   int // changes that there were so far
	versionOffset int64
	outage        *Outage

	// Of the process.
	open         map[plan.CallID]*openCall
	connected    bool // the connection of the last answer is there
	timer        int  // the number of the event that is the follower's time; 0 for none
	timerAt      time.Duration
	listChanges  int // changes in the list that is held
	stalledUntil time.Duration
	pending      []delivery // for the end of a hold-up

	// nothingElse says that nothing but the outage's failed dials has been amiss so far.
	onlyOutage bool
}

// Play plays a course; rule is nil for the follower's own.
func Run(s Schedule, rule StalenessRule) Result {
	dice := rand.New(rand.NewPCG(s.Seed, 0x9a7e))
	r := &run{
		clock: clock{now: s.Start}, schedule: s, dice: dice, core: newCore(s, rule, dice), notices: newNoticeTracker(s),
		open: map[plan.CallID]*openCall{}, checkedAt: s.Start, result: Result{Confirmed: true},
		onlyOutage: s.Start == 0, // a process that starts anew has a list of any age
	}
	r.scheduleEvents()
	r.watch()
	for r.now < s.Length && r.next() {
		if !r.stalled() {
			r.runActions()
			r.check()
		}
	}
	return r.result
}

// schedule puts the course's own events into the queue. What discovery did before the process started has happened.
func (r *run) scheduleEvents() {
	s := r.schedule
	before := func(at time.Duration) bool { return at < s.Start }
	for i := range s.Changes {
		if before(s.Changes[i]) {
			r.changesMade = i + 1
			continue
		}
		r.at(s.Changes[i], func() { r.changesMade = i + 1; r.answerWatches() })
	}
	for i := range s.Outages {
		r.at(s.Outages[i].From, func() { r.beginOutage(&s.Outages[i]) })
		r.at(s.Outages[i].To, r.endOutage)
	}
	for _, at := range slices.DeleteFunc(slices.Clone(s.WatchResets), before) {
		r.at(at, func() { r.onlyOutage = false; r.endWatches(plan.NoAnswer) })
	}
	for _, at := range slices.DeleteFunc(slices.Clone(s.WatchSilences), before) {
		r.at(at, r.silenceWatches)
	}
	for n, at := range slices.DeleteFunc(slices.Clone(s.Moves), before) {
		r.at(at, func() { r.move(n) })
	}
	for _, at := range s.Renumberings {
		r.at(at, func() { r.onlyOutage = false; r.versionOffset -= lowerBy; r.endWatches(plan.NoAnswer) })
	}
	for _, stall := range s.Stalls {
		if !before(stall.From) {
			r.at(stall.From, func() { r.beginStall(stall) })
		}
	}
	var look func()
	look = func() { r.after(tick, look) }
	look()
}

// judge judges the present moment.
func (r *run) check() {
	since := r.now - r.checkedAt
	r.checkedAt = r.now
	if len(r.open) == 0 {
		r.notices.noOpenCall(r.now)
	}
	if !r.core.mayAct(r.now) {
		r.checkStale(since)
		return
	}
	for i := min(r.listChanges, r.changesMade); i < r.changesMade; i++ {
		notice := r.notices.noticeAt(&r.notices.changes[i])
		late := r.now - notice.at - grace
		if late <= 0 {
			continue
		}
		if r.result.Late == 0 {
			r.result.FirstLateAt = r.now
		}
		if late > r.result.Late {
			r.result.Late, r.result.LateRule = late, notice.rule
		}
	}
}

// judgeHeldBack judges a time in which the list was not acted on.
func (r *run) checkStale(since time.Duration) {
	r.result.StaleTime += since
	if r.outage != nil && r.outage.Outcome.unreachable() && r.onlyOutage {
		r.result.OutageStaleTime += since
	}
	if r.now > r.schedule.Length-time.Second {
		r.result.Confirmed = false
	}
}
