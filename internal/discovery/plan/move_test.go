package plan

import (
	"testing"
	"time"
)

// TestTwoSilentCallsAfterWatchClosedByMove: discovery closes the watch at the old address 1.5 s after the move. Two
// calls in a row at the new address get no response, and the third one begins before all existing changes count as
// notified.
func TestTwoSilentCallsAfterWatchClosedByMove(t *testing.T) {
	f, watch := movedWithWatch(t)
	f.CallFailed(watch.ID, NoAnswer, movedAt+seconds(1.5))
	onlyCall(t, f)
	nextCall(t, f)
	if _, at := nextCall(t, f); at > movedAt+moveNotifiedWithin {
		t.Errorf("the third call is made %v after the move, want at most %v", at-movedAt, moveNotifiedWithin)
	}
}

// TestHedgeOfOldWatchKeepsItsQueuePlace guards against giving up a place in the queue of discovery, which lets a call
// wait for 2 s and ends it when the same process makes another one.
func TestHedgeOfOldWatchKeepsItsQueuePlace(t *testing.T) {
	f, _, _ := movedWithHedge(t)
	if _, at := nextCall(t, f); at < movedAt+oldWatchWait+moveOverdue {
		t.Errorf("another call is made beside it after %v, want %v", at-movedAt-oldWatchWait, moveOverdue)
	}
}

// TestOneSilentCallAfterLastMoveOfSeries: when the client switches to the address of a second move after 1 s, a watch
// is open at the address of the first one. Discovery closes it 1.5 s later. One call gets no response, and the next
// one is made early enough for its answer to keep the list in use.
func TestOneSilentCallAfterLastMoveOfSeries(t *testing.T) {
	f, watch := movedWithWatch(t)
	f.AnswerReceived(watch.ID, 1, false, movedAt+seconds(0.1))
	f.AnswerApplied(movedAt + seconds(0.1))
	watch = answerUnchanged(t, f, onlyCall(t, f).ID, movedAt+seconds(0.2))
	last := movedAt + seconds(1)
	f.Move("c", last, last)
	switchedAt, _ := f.NextTick()
	f.Tick(switchedAt)
	if _, at := nextCall(t, f); at != last+oldWatchWait {
		t.Errorf("a call beside the watch is made %v after the move", at-last)
	}
	f.CallFailed(watch.ID, NoAnswer, switchedAt+seconds(1.5))
	if _, at := nextCall(t, f); f.Status(at) != Confirmed {
		t.Errorf("the call after an unanswered one is made %v after the move, and the list is %s by then", at-last, f.Status(at))
	}
}

// movedTwiceWithWatch returns a follower after two moves of discovery, to "b" and to "c". "c" has answered; a watch
// at "a" and a call at "b" are lingering.
func movedTwiceWithWatch(t *testing.T) (f *Follower, watch, call Call, now time.Duration) {
	t.Helper()
	f = newWatchingFollower(t)
	watch = answerUnchanged(t, f, onlyCall(t, f).ID, seconds(0.9))
	f.Move("b", seconds(1), seconds(1))
	f.Move("c", seconds(1.7), seconds(1.7))
	call, _ = nextCall(t, f)
	last, now := nextCall(t, f)
	if call.Address != "b" || last.Address != "c" {
		t.Fatalf("calls are made to %q and %q", call.Address, last.Address)
	}
	now += seconds(0.01)
	f.AnswerReceived(last.ID, 3, false, now)
	f.AnswerApplied(now)
	if made := f.Actions(); len(made) > 0 {
		t.Fatalf("calls during the lingering watch: %+v", made)
	}
	return f, watch, call, now
}

// retryWithin is the longest time until another call is made, if only its answer allows the list to be used again.
const retryWithin = 500 * time.Millisecond

// wantCallSoon fails the test unless the list is stale and another call is made within retryWithin.
func wantCallSoon(t *testing.T, f *Follower, now time.Duration) {
	t.Helper()
	if got := f.Status(now); got != Stale {
		t.Fatalf("the list is %s", got)
	}
	if _, at := nextCall(t, f); at > now+retryWithin {
		t.Errorf("the next call is made %v later, and the list is stale until then", at-now)
	}
}

// TestDiscardedAnswerDuringLingeringWatchCausesCall guards against a list that stays stale until the lingering watch
// is overdue, although discovery is reachable: only an answer to another call allows the list to be used again.
func TestDiscardedAnswerDuringLingeringWatchCausesCall(t *testing.T) {
	f, _, call, now := movedTwiceWithWatch(t)
	now += seconds(0.1)
	if use, ok := f.AnswerReceived(call.ID, 2, false, now); use || !ok {
		t.Fatalf("the older answer: use %t, ok %t", use, ok)
	}
	f.AnswerApplied(now)
	wantCallSoon(t, f, now)
}

// TestLostAnswerDuringLingeringWatchCausesCall checks the same for the answer to a lingering call that is cut off.
func TestLostAnswerDuringLingeringWatchCausesCall(t *testing.T) {
	f, _, call, now := movedTwiceWithWatch(t)
	now += seconds(0.1)
	f.AnswerBegun(call.ID, now, now)
	f.CallFailed(call.ID, CutOff, now)
	wantCallSoon(t, f, now)
}

// TestStalledAnswerOnLingeringWatchCausesCall checks the same for an answer on the watch itself of which only a part
// arrives.
func TestStalledAnswerOnLingeringWatchCausesCall(t *testing.T) {
	f, watch, _, now := movedTwiceWithWatch(t)
	now += seconds(0.1)
	f.AnswerBegun(watch.ID, now, now)
	f.AnswerProgress(watch.ID, now)
	if _, at := nextCall(t, f); at > now+retryWithin {
		t.Errorf("the next call is made %v later; the list is %s from %v on", at-now, f.Status(now+leaseSlack), leaseSlack)
	}
}

// TestWatchFromBeforeMoveAwayAndBackProvesNothing: discovery moves to another address and back while a watch is open.
// The answer to the watch proves nothing about the time after the moves, so the next call is answered immediately. If
// all calls are answered, the list stays in use. Discovery is overloaded.
func TestWatchFromBeforeMoveAwayAndBackProvesNothing(t *testing.T) {
	f := newWatchingFollower(t)
	first := onlyCall(t, f)
	f.noteTurnedAway(0, 0)
	f.AnswerReceived(first.ID, 1, false, seconds(0.1))
	f.AnswerApplied(seconds(0.1))
	watch := onlyCall(t, f)
	f.Move("b", movedAt, movedAt)
	f.Move("a", movedAt+seconds(0.1), movedAt+seconds(0.1))
	switchedAt, _ := f.NextTick()
	f.Tick(switchedAt)
	call := answerUnchanged(t, f, watch.ID, switchedAt+seconds(0.4))
	if call.Hold != 0 {
		t.Errorf("the first call after the moves waits for a change for %v", call.Hold)
	}
	if answeredAt := switchedAt + seconds(0.4) + call.Hold; f.Status(answeredAt) != Confirmed {
		t.Errorf("%v after the move, when the call is answered, the list is %s", answeredAt-movedAt, f.Status(answeredAt))
	}
}

// TestMoveWhileAnswerIsAppliedDuringLingeringWatch: an answer of the old address that is being applied while
// discovery moves does not count as an answer of the new one. The client waits for the lingering watch no longer than
// for any other.
func TestMoveWhileAnswerIsAppliedDuringLingeringWatch(t *testing.T) {
	f := newWatchingFollower(t)
	f.noteTurnedAway(0, 0) // overloaded: watches hold for longer
	answerUnchanged(t, f, onlyCall(t, f).ID, seconds(0.9))
	f.Move("b", movedAt, movedAt)
	call, _ := nextCall(t, f)
	secondMove := movedAt + seriesGap + seconds(0.1)
	f.AnswerReceived(call.ID, 1, false, secondMove)
	f.Move("c", secondMove, secondMove)
	f.AnswerApplied(secondMove)
	if c, at := nextCall(t, f); c.Address != "c" || at > secondMove+oldWatchWait {
		t.Errorf("the next call, to %q, is made %v after the move", c.Address, at-secondMove)
	}
}

// TestSecondMoveMakesNoCallDuringLingeringWatch: discovery makes all processes that open another call beside their
// watch start anew, also after a second move.
func TestSecondMoveMakesNoCallDuringLingeringWatch(t *testing.T) {
	f := newWatchingFollower(t)
	f.noteTurnedAway(0, 0) // overloaded: watches hold for longer
	answerUnchanged(t, f, onlyCall(t, f).ID, seconds(0.9))
	f.Move("b", movedAt, movedAt)
	call, _ := nextCall(t, f)
	f.AnswerReceived(call.ID, 1, false, seconds(2.7))
	f.AnswerApplied(seconds(2.7))
	secondMove := movedAt + seriesGap + seconds(0.1)
	f.Move("c", secondMove, secondMove)
	if made := takeCalls(f); len(made) > 0 {
		t.Errorf("calls during the lingering watch: %+v", made)
	}
}
