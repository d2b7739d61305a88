package plan

import (
	"maps"
	"slices"
	"time"
)

// lingerTime is the minimum time for which a call stays open after another call was answered. An update that was
// written earlier may still arrive on it and counts as notified; lingerTime lasts until no request may be sent
// against such an update any more.
const lingerTime = 500 * time.Millisecond

// lingeringCalls are open calls that no query waits for any more. What is written on them counts as notified.
type lingeringCalls struct {
	open  map[CallID]sentCall
	until time.Duration // an answer that is valid as of this time or later ends them
}

// add keeps calls open until an answer that is valid as of until.
func (l *lingeringCalls) add(calls map[CallID]sentCall, until time.Duration) {
	if len(calls) == 0 {
		return
	}
	maps.Copy(l.open, calls)
	l.until = max(l.until, until)
}

// watch returns when the last of the calls that wait for a change is overdue. open is false if none of them is still
// in time.
func (l *lingeringCalls) watch(slack, now time.Duration) (overdue time.Duration, open bool) {
	for _, c := range l.open {
		if c.Hold > 0 {
			overdue = max(overdue, c.sentAt+c.Hold+slack)
		}
	}
	return overdue, overdue > now
}

// limitHold limits the hold time of a call so that its answer ends the lingering calls.
func (l *lingeringCalls) limitHold(limit, now time.Duration) time.Duration {
	if len(l.open) == 0 {
		return limit
	}
	return min(limit, max(l.until-now, 0))
}

// ids returns the IDs of the calls in order.
func (l *lingeringCalls) ids() []CallID { return slices.Sorted(maps.Keys(l.open)) }

// detachQuery ends the query. Its calls stay open until an answer that is valid as of until.
func (f *Follower) detachQuery(until time.Duration) {
	if f.query == nil {
		return
	}
	f.lingering.add(f.query.open, until)
	f.query = nil
}

// cancelLingering cancels the lingering calls.
func (f *Follower) cancelLingering(now time.Duration) {
	for _, id := range f.lingering.ids() {
		f.callEnded(id, Superseded, now)
		f.answerLost(id)
		f.emit(CancelCall{id})
	}
	clear(f.lingering.open)
}
