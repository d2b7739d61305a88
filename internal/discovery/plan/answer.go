package plan

import "time"

// receipt is what becomes of a whole answer.
type receipt struct {
	use          bool // its list is taken in
	outdated     bool // a newer list was taken in while its call was out
	late         bool // it was not read when it came, and tells nothing of since then
	confirmation Confirmation
	begun        time.Duration
	version      int64
	leftUntil    time.Duration // that of the calls that were left as it came
	moves        int           // there were so many when it came; below 0 where its call was one that was left
	here         bool          // its call was made to the address that discovery has now, behind the last move
}

// Received takes in a whole answer to a call, and says whether the list in it is to be taken in; Taken has to follow in either case. ok is
// false where the answer comes too late to count.
func (f *Follower) AnswerReceived(id CallID, version int64, whole bool, now time.Duration) (use, ok bool) {
	c, out := f.outCall(id)
	if !out {
		return false, false
	}
	f.callEnded(id, Answered, now)
	f.receipt = receipt{begun: f.answerWhole(id, now), moves: -1, here: c.Address == f.address && c.at >= f.series.wentOver}
	if _, left := f.left.out[id]; left {
		delete(f.left.out, id)
	} else {
		delete(f.question.out, id)
		f.receipt.moves = f.series.moves
		f.receipt.leftUntil = f.left.until
		f.leaveQuestion(now + leftTime)
	}
	r := &f.receipt
	r.version = f.version
	r.outdated = c.counts != f.counts || version < f.version && c.at < f.taken
	r.confirmation = confirmedBy(c.Call, c.at, now, !whole && version == c.From)
	f.heard = max(f.heard, c.at)
	r.use = !r.outdated && (whole || version >= f.version)
	if f.pushed && now > c.at+c.Hold+lateEnd {
		r.late = true // an agent answers at once, so it was this process that did not run
	}
	switch {
	case r.use:
		if version < f.version {
			f.counts++
		}
		r.version, f.taken = version, now
	case !r.outdated:
		// Another service, or the same one started anew: it counts its versions from elsewhere, and what it calls changes may not be all
		// that has changed for us.
		r.version = -1
		f.counts++
	}
	return r.use, true
}

// Taken takes in that the list of the answer that was received last is in use, or was thrown away, and goes on with the watch.
func (f *Follower) AnswerApplied(now time.Duration) {
	r := f.receipt
	f.version = r.version
	switch {
	case r.use && !r.late:
		f.Confirm(r.confirmation, now)
	default:
		f.discard(r.begun)
		f.hurry(now)
	}
	f.again = false
	if r.moves == f.series.moves {
		f.goesOn = true
		f.series.unheard = f.series.unheard && !r.here
	}
	f.leftWatchEnded(true, now)
	if f.watching && f.question == nil && !f.pause.on {
		f.goOn(now)
	}
}

// goOn goes on behind an answer: beside a watch that was left, which may still tell news, none is opened. Discovery ends both watches of a process
// that opens two.
func (f *Follower) goOn(now time.Duration) {
	r := f.receipt
	taken := r.use && !r.late
	if overdue, open := f.left.watch(f.settings.Slack, now); taken && open && !f.pushed {
		f.pause = pause{on: true, untilLeft: true, until: min(overdue, now+f.holdMost(now))}
		if f.series.unheard {
			f.pause.until = min(f.pause.until, f.series.last.at+moveWait)
		}
		return
	}
	if taken && r.moves >= 0 && r.leftUntil <= r.confirmation.asOf && f.left.until == r.leftUntil {
		f.giveUpLeft(now)
	}
	f.ask(now)
}

// leftWatchEnded goes on where the watch that was left has ended which the next one waits for.
func (f *Follower) leftWatchEnded(answered bool, now time.Duration) {
	if _, open := f.left.watch(f.settings.Slack, now); open || !f.pause.untilLeft {
		return
	}
	f.pause = pause{}
	f.goesOn = answered
	f.ask(now)
}

// hurry has another call made beside one that waits for news: only an answer to a call made from now on lets the list be acted on again.
func (f *Follower) hurry(now time.Duration) {
	if f.question != nil {
		f.question.late = min(f.question.late, now)
	}
	if f.pause.untilLeft {
		f.pause.until = min(f.pause.until, now)
	}
}
