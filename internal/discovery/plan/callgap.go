package plan

import "time"

// watchContinuationGap is the longest time between an answer and a next call that continues the same watch.
const watchContinuationGap = 200 * time.Millisecond

// callGap tracks for how long no call has been open. A proxy that neither watches nor polls may use its list only for
// as long as the settings allow.
type callGap struct {
	limit        time.Duration // how long after the start of one call the next one has to start; 0 for no limit
	pushed       bool          // while no call is open, what the agent has counts as notified immediately
	open         int           // number of open calls
	lastStart    time.Duration // when the last call started
	idleSince    time.Duration // since when no call has been open, if none is
	continuesFor time.Duration // how long after idleSince a call still continues the watch
	exceeded     optionalTime  // the first time since the last confirmation at which a call was due and had not started
}

// callStarted records that a call starts. continues says that it continues a watch, which counts as open for a short
// time after an answer.
func (a *callGap) callStarted(continues bool, now time.Duration) {
	inTime := continues && now-a.idleSince <= a.continuesFor
	if due := a.due(); a.open == 0 && !inTime && due <= now && !a.exceeded.set {
		a.exceeded = optionalTime{due, true}
	}
	a.open++
	a.lastStart = now
}

// callEnded records that a call has ended.
func (a *callGap) callEnded(end CallEnd, now time.Duration) {
	a.open--
	a.idleSince, a.continuesFor = now, 0
	if end == Answered {
		a.continuesFor = watchContinuationGap
	}
}

// confirmed records a confirmation.
func (a *callGap) confirmed() { a.exceeded = optionalTime{} }

// due is when the next call has to start.
func (a *callGap) due() time.Duration {
	switch {
	case a.pushed:
		return a.idleSince
	case a.limit == 0:
		return never - leaseSlack
	}
	return a.lastStart + a.limit
}

// noticeAt is the time from which changes may count as notified because no call was made.
func (a *callGap) noticeAt() time.Duration {
	switch {
	case a.exceeded.set:
		return a.exceeded.at
	case a.open == 0:
		return a.due()
	}
	return never - leaseSlack
}
