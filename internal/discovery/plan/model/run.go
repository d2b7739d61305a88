package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"brasswell/internal/discovery/plan"
)

const (
	// tick is the interval at which the simulation checks whether the list is acted on.
	tick = 50 * time.Millisecond
	// firstVersion is the version of the initial list. A renumbered discovery counts from lowerBy below.
	firstVersion, lowerBy = 1000, 100
	// firstAddress is discovery's address until it moves.
	firstAddress = "a"
	// confirmedWithin bounds the age of a call whose answer must make the list usable again: the content of an
	// answer to an older call is out of date.
	confirmedWithin = 3500 * time.Millisecond
)

// Result is the result of a run.
type Result struct {
	// Late is the longest time between the end of a change's grace and an act on a list without the change; 0 for
	// none.
	Late        time.Duration
	LateRule    NoticeRule    // the notice rule by which Late is measured
	FirstLateAt time.Duration // time of the first late act
	StaleTime   time.Duration // how long the list was not acted on
	Calls       int
	// Confirmed reports whether the list was acted on after each complete answer to a call that was made with no
	// other call open and no recent SIGHUP, by a process that did not stall meanwhile, and at the end of the
	// schedule, which has no faults.
	Confirmed bool
	// OutageStaleTime is how long the list was not acted on in an outage in which no connection could be established
	// and before which there was no fault.
	OutageStaleTime time.Duration
}

// run is the state of a run.
type run struct {
	clock
	schedule  Schedule
	dice      *rand.Rand
	core      *core
	notices   *noticeTracker
	result    Result
	checkedAt time.Duration // the last time at which check ran

	// State of discovery.
	calls         int
	changesMade   int // number of changes so far
	versionOffset int64
	outage        *Outage

	// State of the process.
	open         map[plan.CallID]*openCall
	connected    bool // the connection of the last answer is open
	timer        int  // number of the event for the follower's next timer; 0 for none
	timerAt      time.Duration
	listChanges  int // number of changes in the process's list
	stalledUntil time.Duration
	pending      []delivery // delivered at the end of the stall

	// onlyOutage is true while the failed dials of an outage are the only faults so far.
	onlyOutage bool
}

// Run runs a schedule. If rule is nil, the follower's own rule applies.
func Run(s Schedule, rule StalenessRule) Result {
	dice := rand.New(rand.NewPCG(s.Seed, 0x9a7e))
	r := &run{
		clock: clock{now: s.Start}, schedule: s, dice: dice, core: newCore(s, rule, dice), notices: newNoticeTracker(s),
		open: map[plan.CallID]*openCall{}, checkedAt: s.Start, result: Result{Confirmed: true},
		onlyOutage: s.Start == 0, // a process that starts later has a list of any age
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

// scheduleEvents queues the events of the schedule. Changes of discovery's state before the start of the process are
// applied at the start.
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
	var scheduleTick func()
	scheduleTick = func() { r.after(tick, scheduleTick) }
	scheduleTick()
}

// check records whether an act on the list at the current time would be late.
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

// checkStale records a time in which the list was not acted on.
func (r *run) checkStale(since time.Duration) {
	r.result.StaleTime += since
	if r.outage != nil && r.outage.Outcome.unreachable() && r.onlyOutage {
		r.result.OutageStaleTime += since
	}
	if r.now > r.schedule.Length-time.Second {
		r.result.Confirmed = false
	}
}
