package model

import "time"

// NoticeRule is one of the operators' rules for when a proxy counts as notified of a change. The earliest notice by
// any rule applies.
type NoticeRule string

// The notice rules.
const (
	// Written: a change in an answer counts as notified when the answer is written.
	Written NoticeRule = "written"
	// WrittenIncomplete: the same for an answer that does not arrive complete.
	WrittenIncomplete NoticeRule = "written, and not arrived complete"
	// WithinSixSeconds: a change counts as notified 6 s after discovery had it and could be reached, whatever the
	// other rules allow.
	WithinSixSeconds NoticeRule = "6 s after discovery had it"
	// AfterSIGHUP: a change that discovery has counts as notified 4 s after SIGHUP. Changes after the first answer
	// of the new address are subject to the other rules only.
	AfterSIGHUP NoticeRule = "4 s after SIGHUP"
	// AfterSilence: a change that a silent watch misses counts as notified 6 s after the silence began, or 2 s after
	// the end of the watch's wait if that is later.
	AfterSilence NoticeRule = "6 s after a watch fell silent"
	// WithoutCalls: with no call open, a change counts as notified once ask_every_ms of the settings has passed
	// since the change, since the last call was made, and since the end of an outage. After a call that failed, four
	// times as long must have passed.
	WithoutCalls NoticeRule = "ask_every_ms without a call"
	// AgentHas: if lists are pushed, a change counts as notified as soon as the agent has it, and for a new process
	// from its start on.
	AgentHas NoticeRule = "known to the agent"
	// AfterWait: a change counts as notified 2 s after the end of a call's wait. The rule is checked only in literal
	// schedules, because a later page replaces it with 6 s if that is later.
	AfterWait NoticeRule = "2 s after the wait of a call"
	// BetweenCalls: a change between an answer and the next call of its watch counts as notified at once. The rule
	// is checked only in literal schedules, because no call can report the change before it is answered.
	BetweenCalls NoticeRule = "between two calls of a watch"
)

const (
	noticeWithin          = 6 * time.Second
	noticeWithinAfterMove = 4 * time.Second
	noticeWithinAfterWait = 2 * time.Second
	watchGap              = 200 * time.Millisecond
	// failedCallFactor multiplies ask_every_ms after a call that failed.
	failedCallFactor = 4
	// grace is how long after a notice requests may still be sent, less the time for which a process may stall
	// before it writes them.
	grace = 350 * time.Millisecond
)

// notice is when a change counts as notified, and by which rule.
type notice struct {
	at   time.Duration
	rule NoticeRule
}

// keepEarlier replaces the notice by the given one if that is earlier.
func (n *notice) keepEarlier(at time.Duration, by NoticeRule) {
	if at < n.at {
		*n = notice{at, by}
	}
}

// change is a change of the list.
type change struct {
	made      time.Duration
	visibleAt time.Duration // from then on discovery had it and could be reached
	byEvents  notice        // earliest notice caused by the events so far
}

// move is a SIGHUP that sets another address.
type move struct {
	at           time.Duration
	answeredAsOf time.Duration // time of the list in the first complete answer of the new address
}

// silentWatch is a watch on which discovery sends nothing more.
type silentWatch struct {
	from, waitEnd time.Duration
	call          *openCall
}

// noticeTracker computes when each change counts as notified. It uses only the actions of discovery and the
// operators, never the state of the process.
type noticeTracker struct {
	schedule       Schedule
	changes        []change
	moves          []move
	silentWatches  []silentWatch
	lastCall       time.Duration
	lastCallFailed bool // whether that call failed
	outageEnd      time.Duration
	lastWrite      time.Duration
}

const never = time.Duration(1<<63 - 1)

func newNoticeTracker(s Schedule) *noticeTracker {
	n := &noticeTracker{schedule: s, lastCall: s.Start}
	for _, at := range s.Changes {
		visibleAt := at
		for _, o := range s.Outages {
			if o.From <= at && at < o.To {
				visibleAt = o.To
			}
		}
		n.changes = append(n.changes, change{made: at, visibleAt: visibleAt, byEvents: notice{at: never}})
	}
	return n
}

// answerWritten records that an answer with its changes was written to the proxy.
func (n *noticeTracker) answerWritten(o *openCall, now time.Duration) {
	by := Written
	if o.outcome == Truncated || o.outcome == StalledAnswer {
		by = WrittenIncomplete
	}
	for i := range n.changes[:o.changes] {
		n.changes[i].byEvents.keepEarlier(now, by)
	}
	for i := range n.moves {
		if m := &n.moves[i]; m.at <= o.begun && by == Written {
			m.answeredAsOf = min(m.answeredAsOf, o.decidedAt)
		}
	}
	n.lastWrite = now
}

func (n *noticeTracker) moved(now time.Duration) { n.moves = append(n.moves, move{now, never}) }

// recentlyMoved reports whether less time than the notice rule for SIGHUP allows has passed since the last SIGHUP.
func (n *noticeTracker) recentlyMoved(now time.Duration) bool {
	last := len(n.moves) - 1
	return last >= 0 && now < n.moves[last].at+noticeWithinAfterMove
}

func (n *noticeTracker) watchSilenced(o *openCall, now time.Duration) {
	n.silentWatches = append(n.silentWatches, silentWatch{now, o.begun + o.Hold, o})
}

// callMade records a call, which continues a watch only if it is made within watchGap of the last answer.
func (n *noticeTracker) callMade(o *openCall, now time.Duration) {
	if o.ContinuesWatch && now-n.lastWrite <= watchGap && n.schedule.Literal {
		n.changesBetweenCalls(now)
	}
	n.lastCall, n.lastCallFailed = now, false
}

func (n *noticeTracker) changesBetweenCalls(now time.Duration) {
	for i := range n.changes {
		if c := &n.changes[i]; c.visibleAt > n.lastWrite && c.visibleAt < now {
			c.byEvents.keepEarlier(c.visibleAt, BetweenCalls)
		}
	}
}

// waitEnded records that a call's time to wait for a change is over.
func (n *noticeTracker) waitEnded(now time.Duration) {
	for i := range n.changes {
		if c := &n.changes[i]; c.visibleAt <= now {
			c.byEvents.keepEarlier(now+noticeWithinAfterWait, AfterWait)
		}
	}
}

// noOpenCall records a moment at which no call is open.
func (n *noticeTracker) noOpenCall(now time.Duration) {
	wait := n.schedule.AskEvery
	if wait == 0 {
		wait = defaultAskEvery
	}
	if n.lastCallFailed {
		wait *= failedCallFactor
	}
	for i := range n.changes {
		c := &n.changes[i]
		if at := max(c.visibleAt, n.lastCall, n.outageEnd) + wait; at <= now {
			c.byEvents.keepEarlier(at, WithoutCalls)
		}
	}
}

// noticeAt returns when a change counts as notified.
func (n *noticeTracker) noticeAt(c *change) notice {
	if n.schedule.Pushed {
		return n.pushedNoticeAt(c)
	}
	earliest := notice{c.visibleAt + noticeWithin, WithinSixSeconds}
	earliest.keepEarlier(c.byEvents.at, c.byEvents.rule)
	for _, m := range n.moves {
		if c.visibleAt < m.at+noticeWithinAfterMove && m.answeredAsOf > c.visibleAt {
			earliest.keepEarlier(m.at+noticeWithinAfterMove, AfterSIGHUP)
		}
	}
	for _, s := range n.silentWatches {
		if s.misses(c.visibleAt) {
			earliest.keepEarlier(max(s.from+noticeWithin, s.waitEnd+noticeWithinAfterWait), AfterSilence)
		}
	}
	return earliest
}

// misses reports whether a change happened while the watch was silent. A change right before the silence was not
// written any more, so it counts too.
func (s silentWatch) misses(visibleAt time.Duration) bool {
	return s.from-callLatency <= visibleAt && visibleAt < s.call.closedAt
}

// pushedNoticeAt returns when a change counts as notified if lists are pushed: at once, except on a silent watch and
// after SIGHUP.
func (n *noticeTracker) pushedNoticeAt(c *change) notice {
	later := notice{at: never}
	for _, s := range n.silentWatches {
		if s.misses(c.visibleAt) {
			later.keepEarlier(s.from+noticeWithin, AfterSilence)
		}
	}
	for _, m := range n.moves {
		missed := later.at != never && c.visibleAt < m.at
		if m.at+noticeWithinAfterMove > c.visibleAt && (m.at <= c.visibleAt || missed) && m.answeredAsOf > c.visibleAt {
			later.keepEarlier(m.at+noticeWithinAfterMove, AfterSIGHUP)
		}
	}
	if later.at == never {
		later = notice{max(c.visibleAt, n.schedule.Start), AgentHas}
	}
	later.keepEarlier(c.byEvents.at, c.byEvents.rule)
	return later
}
