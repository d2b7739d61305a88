package model

import (
	"time"

	"brasswell/internal/discovery/plan"
)

// dialLease is the rule of version af58041, for requested and pushed lists. A complete answer renews the list from
// the answer's first byte on. So does a failed dial, refused or timed out, unless a call was accepted since the last
// renewal; after that, three failed dials in a row are needed. The first list counts from the start of the process.
// After 5 minutes without an answer the old list is in force again. The limit of 4 s after a move applies to an
// agent only.
type dialLease struct {
	pushed                bool
	renewedAt, answeredAt time.Duration
	movedAt               time.Duration
	address               string
	callAccepted          bool
	failedDials           int
	outageBegan           time.Duration
	responded             bool
	notifiedAt            time.Duration
	discarded             bool
	discardedAt           time.Duration
}

func newDialLease(start time.Duration, pushed bool) *dialLease {
	return &dialLease{pushed: pushed, renewedAt: start, answeredAt: start, movedAt: start - 4*time.Second, address: firstAddress}
}

func (*dialLease) CallMade(plan.Call, time.Duration)     {}
func (*dialLease) CallCanceled(plan.Call, time.Duration) {}
func (*dialLease) Resumed(time.Duration, time.Duration)  {}

func (l *dialLease) Answered(a Answer) {
	switch {
	case a.Applied:
		*l = dialLease{pushed: l.pushed, renewedAt: a.Begun, answeredAt: a.Begun, movedAt: l.movedAt, address: l.address}
		return
	case !l.discarded:
		l.discarded, l.discardedAt = true, a.Begun
	}
	l.recordAccepted()
}

func (l *dialLease) Moved(address string, now time.Duration) { l.movedAt, l.address = now, address }
func (l *dialLease) AnswerBegun(time.Duration)               { l.recordAccepted() }
func (l *dialLease) recordAccepted()                         { l.callAccepted, l.failedDials = true, 0 }

func (l *dialLease) Connected(continuesWatch bool) {
	if !continuesWatch {
		l.recordAccepted()
	}
}

func (l *dialLease) CallEnded(c plan.Call, end plan.CallEnd, begun, now time.Duration) {
	switch end {
	case plan.Unreachable:
		if c.Address == l.address { // it is possible that no process listens at the old address any more
			l.dialFailed(begun)
		}
	case plan.TurnedAway, plan.CutOff, plan.NoAnswer:
		if !l.responded {
			l.responded, l.notifiedAt = true, max(now, l.movedAt+4*time.Second)
		}
	}
}

func (l *dialLease) dialFailed(begun time.Duration) {
	if l.failedDials == 0 {
		l.outageBegan = begun
	}
	l.failedDials++
	believed := !l.callAccepted || l.failedDials >= 3
	if believed && l.outageBegan < l.renewedAt+6*time.Second {
		l.renewedAt = max(l.renewedAt, begun)
	}
}

func (l *dialLease) MayAct(now time.Duration) bool {
	const slack, serviceFailed = 300 * time.Millisecond, 5 * time.Minute
	end := l.renewedAt + 6*time.Second + slack
	if l.pushed {
		end = never
		if l.responded {
			end = l.notifiedAt + slack
		}
	}
	if l.discarded {
		end = min(end, l.discardedAt+slack)
	}
	return now < end || now >= l.answeredAt+serviceFailed
}
