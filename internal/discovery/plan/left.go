package plan

import (
	"maps"
	"slices"
	"time"
)

// leftTime is how long a call stays out behind the answer of another one, at least: news that were written before may still come to it, and
// count as told, until nothing may be sent against them any more.
const leftTime = 500 * time.Millisecond

// leftCalls are calls that no question waits for any more, and that are still out: what is written on them counts as told.
type leftCalls struct {
	out   map[CallID]sentCall
	until time.Duration // an answer that tells of this moment, or of a later one, ends them
}

// add leaves calls out until an answer that tells of a moment.
func (l *leftCalls) add(calls map[CallID]sentCall, until time.Duration) {
	if len(calls) == 0 {
		return
	}
	maps.Copy(l.out, calls)
	l.until = max(l.until, until)
}

// watch is when the last of the calls that wait for news is overdue; open is false where none waits in time.
func (l *leftCalls) watch(slack, now time.Duration) (overdue time.Duration, open bool) {
	for _, c := range l.out {
		if c.Hold > 0 {
			overdue = max(overdue, c.at+c.Hold+slack)
		}
	}
	return overdue, overdue > now
}

// hold is for how long a call may wait for news, so that its answer ends the calls that are left.
func (l *leftCalls) hold(most, now time.Duration) time.Duration {
	if len(l.out) == 0 {
		return most
	}
	return min(most, max(l.until-now, 0))
}

// ids are those of the calls, in order.
func (l *leftCalls) ids() []CallID { return slices.Sorted(maps.Keys(l.out)) }

// leaveQuestion ends the question. Its calls stay out until an answer that tells of a moment.
func (f *Follower) leaveQuestion(until time.Duration) {
	if f.question == nil {
		return
	}
	f.left.add(f.question.out, until)
	f.question = nil
}

// giveUpLeft ends the calls that were left.
func (f *Follower) giveUpLeft(now time.Duration) {
	for _, id := range f.left.ids() {
		f.callEnded(id, Superseded, now)
		f.answerLost(id)
		f.act(CancelCall{id})
	}
	clear(f.left.out)
}
