package plan

import (
	"testing"
	"time"
)

// TestTwoSilentCallsBehindAWatchThatAMoveEnds: discovery closes the watch at the address before 1.5 s behind the move. Two calls in a row at the new
// address stay silent, and the third one begins before all that there is counts as told.
func TestTwoSilentCallsBehindAWatchThatAMoveEnds(t *testing.T) {
	f, watch := moved(t)
	f.CallFailed(watch.ID, NoAnswer, movedAt+seconds(1.5))
	one(t, f)
	next(t, f)
	if _, at := next(t, f); at > movedAt+moveToldWithin {
		t.Errorf("the third call is made %v behind the move, want at most %v", at-movedAt, moveToldWithin)
	}
}

// TestTheCallBesideTheWatchBeforeAMoveKeepsItsPlace guards against giving up a place in discovery's line: it lets a call wait for 2 s, and ends it as
// the same process makes another one.
func TestTheCallBesideTheWatchBeforeAMoveKeepsItsPlace(t *testing.T) {
	f, _, _ := movedAndAsked(t)
	if _, at := next(t, f); at < movedAt+moveWait+moveOverdue {
		t.Errorf("another call is made beside it after %v, want %v", at-movedAt-moveWait, moveOverdue)
	}
}

// TestOneSilentCallBehindTheLastMoveOfASeries: a second move, to which the client goes over 1 s later, finds a watch open at the first one's address.
// Discovery closes it 1.5 s behind that. One call stays silent, and the next one is made in time for its answer to keep the list in use.
func TestOneSilentCallBehindTheLastMoveOfASeries(t *testing.T) {
	f, watch := moved(t)
	f.AnswerReceived(watch.ID, 1, false, movedAt+seconds(0.1))
	f.AnswerApplied(movedAt + seconds(0.1))
	watch = answer(t, f, one(t, f).ID, movedAt+seconds(0.2))
	last := movedAt + seconds(1)
	f.Move("c", last, last)
	wentOver, _ := f.NextTick()
	f.Tick(wentOver)
	if _, at := next(t, f); at != last+moveWait {
		t.Errorf("a call beside the watch is made %v behind the move", at-last)
	}
	f.CallFailed(watch.ID, NoAnswer, wentOver+seconds(1.5))
	if _, at := next(t, f); f.Status(at) != Confirmed {
		t.Errorf("the call behind a silent one is made %v behind the move, and the list is %s by then", at-last, f.Status(at))
	}
}

// leftWithWatch is a follower that discovery has moved to "b" and to "c". "c" has answered, and a watch at "a" is left, as is a call at "b".
func leftWithWatch(t *testing.T) (f *Follower, watch, call Call, now time.Duration) {
	t.Helper()
	f = holding(t)
	watch = answer(t, f, one(t, f).ID, seconds(0.9))
	f.Move("b", seconds(1), seconds(1))
	f.Move("c", seconds(1.7), seconds(1.7))
	call, _ = next(t, f)
	last, now := next(t, f)
	if call.Address != "b" || last.Address != "c" {
		t.Fatalf("calls are made to %q and %q", call.Address, last.Address)
	}
	now += seconds(0.01)
	f.AnswerReceived(last.ID, 3, false, now)
	f.AnswerApplied(now)
	if made := f.Actions(); len(made) > 0 {
		t.Fatalf("beside the watch that is left: %+v", made)
	}
	return f, watch, call, now
}

// soon is within what time a call is made, once nothing may be sent until a later one is answered.
const soon = 500 * time.Millisecond

// wantMadeUpFor fails the test unless the list is out of use, and another call is made soon.
func wantMadeUpFor(t *testing.T, f *Follower, now time.Duration) {
	t.Helper()
	if got := f.Status(now); got != Stale {
		t.Fatalf("the list is %s", got)
	}
	if _, at := next(t, f); at > now+soon {
		t.Errorf("the next call is made %v later, and until then nothing is sent", at-now)
	}
}

// TestAnAnswerThatIsThrownAwayBesideALeftWatchIsMadeUpFor guards against a list that stays out of use until the watch that is left is overdue:
// discovery can be reached, and only an answer to another call lets the list be acted on again.
func TestAnAnswerThatIsThrownAwayBesideALeftWatchIsMadeUpFor(t *testing.T) {
	f, _, call, now := leftWithWatch(t)
	now += seconds(0.1)
	if use, ok := f.AnswerReceived(call.ID, 2, false, now); use || !ok {
		t.Fatalf("the older answer: use %t, ok %t", use, ok)
	}
	f.AnswerApplied(now)
	wantMadeUpFor(t, f, now)
}

// TestAnAnswerThatIsLostBesideALeftWatchIsMadeUpFor: the same for the answer of a call that was left that breaks off.
func TestAnAnswerThatIsLostBesideALeftWatchIsMadeUpFor(t *testing.T) {
	f, _, call, now := leftWithWatch(t)
	now += seconds(0.1)
	f.AnswerBegun(call.ID, now, now)
	f.CallFailed(call.ID, CutOff, now)
	wantMadeUpFor(t, f, now)
}

// TestAnAnswerThatStopsOnALeftWatchIsMadeUpFor: the same for an answer on the watch itself of which a part has come, and no more.
func TestAnAnswerThatStopsOnALeftWatchIsMadeUpFor(t *testing.T) {
	f, watch, _, now := leftWithWatch(t)
	now += seconds(0.1)
	f.AnswerBegun(watch.ID, now, now)
	f.AnswerProgress(watch.ID, now)
	if _, at := next(t, f); at > now+soon {
		t.Errorf("the next call is made %v later; the list is %s from %v on", at-now, f.Status(now+leaseSlack), leaseSlack)
	}
}

// TestAWatchFromBeforeAMoveAwayAndBackIsNoAnswerBehindIt: discovery moves away and back while a watch is open. Its answer tells nothing of behind the
// moves, so the next call is answered at once, and with all calls answered the list stays in use. Discovery is crowded.
func TestAWatchFromBeforeAMoveAwayAndBackIsNoAnswerBehindIt(t *testing.T) {
	f := holding(t)
	first := one(t, f)
	f.turnedAway(0, 0)
	f.AnswerReceived(first.ID, 1, false, seconds(0.1))
	f.AnswerApplied(seconds(0.1))
	watch := one(t, f)
	f.Move("b", movedAt, movedAt)
	f.Move("a", movedAt+seconds(0.1), movedAt+seconds(0.1))
	wentOver, _ := f.NextTick()
	f.Tick(wentOver)
	call := answer(t, f, watch.ID, wentOver+seconds(0.4))
	if call.Hold != 0 {
		t.Errorf("the first call behind the moves waits for news for %v", call.Hold)
	}
	if came := wentOver + seconds(0.4) + call.Hold; f.Status(came) != Confirmed {
		t.Errorf("%v behind the move, as it is answered, the list is %s", came-movedAt, f.Status(came))
	}
}

// TestAMoveWhileAnAnswerBesideALeftWatchIsTakenIn: an answer of the address before that is taken in as discovery moves is none of the new one, and does
// not make the client wait for the watch that is left for longer than for any other.
func TestAMoveWhileAnAnswerBesideALeftWatchIsTakenIn(t *testing.T) {
	f := holding(t)
	f.turnedAway(0, 0) // crowded: watches hold for longer
	answer(t, f, one(t, f).ID, seconds(0.9))
	f.Move("b", movedAt, movedAt)
	call, _ := next(t, f)
	again := movedAt + seriesGap + seconds(0.1)
	f.AnswerReceived(call.ID, 1, false, again)
	f.Move("c", again, again)
	f.AnswerApplied(again)
	if c, at := next(t, f); c.Address != "c" || at > again+moveWait {
		t.Errorf("the next call, to %q, is made %v behind the move", c.Address, at-again)
	}
}

// TestNoCallIsMadeBesideALeftWatchByAnotherMove: discovery has all that open another call beside their watch begin anew, also behind a second move.
func TestNoCallIsMadeBesideALeftWatchByAnotherMove(t *testing.T) {
	f := holding(t)
	f.turnedAway(0, 0) // crowded: watches hold for longer
	answer(t, f, one(t, f).ID, seconds(0.9))
	f.Move("b", movedAt, movedAt)
	call, _ := next(t, f)
	f.AnswerReceived(call.ID, 1, false, seconds(2.7))
	f.AnswerApplied(seconds(2.7))
	again := movedAt + seriesGap + seconds(0.1)
	f.Move("c", again, again)
	if made := calls(f); len(made) > 0 {
		t.Errorf("beside the watch that is left: %+v", made)
	}
}
