package plan

import "time"

// receivedAnswer is a complete answer between AnswerReceived and AnswerApplied.
type receivedAnswer struct {
	apply          bool // its list has to be applied
	outdated       bool // a newer list was applied, or versions were reset, while its call was open
	readLate       bool // it was read some time after it arrived, so it proves nothing about the time since
	confirmation   Confirmation
	firstPartAt    time.Duration
	version        int64
	lingerUntil    time.Duration // lingering.until when it was received
	moves          int           // number of moves when it was received; below 0 if its call was lingering
	currentAddress bool          // its call was made to the current address, after the last switch
}

// AnswerReceived handles a complete answer to a call and reports whether its list has to be applied. AnswerApplied
// has to follow in either case. ok is false if the answer arrives too late to count.
func (f *Follower) AnswerReceived(id CallID, version int64, whole bool, now time.Duration) (use, ok bool) {
	c, pending := f.pendingCall(id)
	if !pending {
		return false, false
	}
	f.callEnded(id, Answered, now)
	f.received = receivedAnswer{firstPartAt: f.answerComplete(id, now), moves: -1, currentAddress: c.Address == f.address && c.sentAt >= f.series.switchedAt}
	if _, isLingering := f.lingering.open[id]; isLingering {
		delete(f.lingering.open, id)
	} else {
		delete(f.query.open, id)
		f.received.moves = f.series.moves
		f.received.lingerUntil = f.lingering.until
		f.detachQuery(now + lingerTime)
	}
	r := &f.received
	r.version = f.version
	r.outdated = c.versionResets != f.versionResets || version < f.version && c.sentAt < f.lastApplied
	r.confirmation = confirmedBy(c.Call, c.sentAt, now, !whole && version == c.From)
	f.answeredCallSent = max(f.answeredCallSent, c.sentAt)
	r.apply = !r.outdated && (whole || version >= f.version)
	if f.pushed && now > c.sentAt+c.Hold+maxEndDelay {
		r.readLate = true // an agent answers immediately, so the delay means that this process did not run
	}
	switch {
	case r.apply:
		if version < f.version {
			f.versionResets++
		}
		r.version, f.lastApplied = version, now
	case !r.outdated:
		// Another service, or a restarted one, numbers its versions differently, and its changes may not include
		// everything that has changed since the held list.
		r.version = -1
		f.versionResets++
	}
	return r.apply, true
}

// AnswerApplied records that the list of the last received answer is in use or was discarded, and continues the
// watch.
func (f *Follower) AnswerApplied(now time.Duration) {
	r := f.received
	f.version = r.version
	switch {
	case r.apply && !r.readLate:
		f.Confirm(r.confirmation, now)
	default:
		f.discard(r.firstPartAt)
		f.hedgeNow(now)
	}
	f.retriedCutOff = false
	if r.moves == f.series.moves {
		f.justAnswered = true
		f.series.unanswered = f.series.unanswered && !r.currentAddress
	}
	f.lingeringWatchEnded(true, now)
	if f.watching && f.query == nil && !f.pause.on {
		f.continueWatch(now)
	}
}

// continueWatch continues the watch after an answer. While a lingering watch may still deliver an update, no other
// watch is opened: discovery ends both watches of a process that opens two.
func (f *Follower) continueWatch(now time.Duration) {
	r := f.received
	applied := r.apply && !r.readLate
	if overdue, open := f.lingering.watch(f.settings.Slack, now); applied && open && !f.pushed {
		f.pause = pause{on: true, untilLingering: true, until: min(overdue, now+f.maxHold(now))}
		if f.series.unanswered {
			f.pause.until = min(f.pause.until, f.series.last.at+oldWatchWait)
		}
		return
	}
	if applied && r.moves >= 0 && r.lingerUntil <= r.confirmation.asOf && f.lingering.until == r.lingerUntil {
		f.cancelLingering(now)
	}
	f.startQuery(now)
}

// lingeringWatchEnded starts the next query once the lingering watch that it waits for has ended.
func (f *Follower) lingeringWatchEnded(answered bool, now time.Duration) {
	if _, open := f.lingering.watch(f.settings.Slack, now); open || !f.pause.untilLingering {
		return
	}
	f.pause = pause{}
	f.justAnswered = answered
	f.startQuery(now)
}

// hedgeNow makes another call beside one that waits for a change, or ends the pause for a lingering watch: only an
// answer to a call made from now on allows the list to be used again.
func (f *Follower) hedgeNow(now time.Duration) {
	if f.query != nil {
		f.query.nextCallAt = min(f.query.nextCallAt, now)
	}
	if f.pause.untilLingering {
		f.pause.until = min(f.pause.until, now)
	}
}
