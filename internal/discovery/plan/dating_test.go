package plan

import (
	"testing"
)

// TestOnlyUnchangedAnswerIsDatedToEndOfHold: if a call delivers an update that another call has already delivered,
// discovery decided on that answer before the hold time was over, whenever it arrives. The list may have changed
// after that decision.
func TestOnlyUnchangedAnswerIsDatedToEndOfHold(t *testing.T) {
	f := newWatchingFollower(t)
	watch := answerUnchanged(t, f, onlyCall(t, f).ID, 0)
	if watch.Hold == 0 {
		t.Fatal("the watch does not wait for a change")
	}
	begun := seconds(0.1)
	f.AnswerBegun(watch.ID, begun, begun) // discovery decided before this
	f.AnswerProgress(watch.ID, begun)
	beside, _ := nextCall(t, f)
	told := watch.Hold - seconds(0.1)
	if use, ok := f.AnswerReceived(beside.ID, 2, false, told); !use || !ok {
		t.Fatalf("the update is not accepted: %t, %t", use, ok)
	}
	f.AnswerApplied(told)
	came := watch.Hold + seconds(0.1)
	if use, ok := f.AnswerReceived(watch.ID, 2, false, came); !use || !ok {
		t.Fatalf("the same update is not accepted: %t, %t", use, ok)
	}
	f.AnswerApplied(came)
	if latest := begun + stallTimeout; f.asOf > latest {
		t.Errorf("the list is dated to %v, and no answer was decided on after %v", f.asOf, latest)
	}
}

// TestNewestMoveBoundsLeaseAfterManyOthers: the time limit of a move applies even if the move comes while the maximum
// number of moves is remembered, and also once an answer has covered the other moves.
func TestNewestMoveBoundsLeaseAfterManyOthers(t *testing.T) {
	l := leaseConfirmedAt(0, false)
	for range maxMoves {
		l.Moved(seconds(1))
	}
	moved := seconds(10)
	l.Moved(moved)
	asOf := moved - seconds(0.1) // after the others and before this one
	l.Confirm(confirmationAt(asOf), moved)
	if at := moved + moveNotifiedWithin + leaseSlack; l.Status(at) == Confirmed {
		t.Errorf("the list of %v is used at %v, %v after a move", asOf, at, at-moved)
	}
}

// TestAnsweredMoveNoLongerBoundsLease guards against a stale list because an answer of the old address arrives after
// one of the new address.
func TestAnsweredMoveNoLongerBoundsLease(t *testing.T) {
	l := leaseConfirmedAt(0, false)
	l.Moved(seconds(1))
	l.Confirm(confirmationAt(seconds(1.1)), seconds(1.2))
	l.Confirm(confirmationAt(seconds(0.5)), seconds(2))
	if at := seconds(1) + moveNotifiedWithin + leaseSlack; l.Status(at) != Confirmed {
		t.Errorf("%v after a move that was answered the list is stale", at-seconds(1))
	}
}

// TestAnswerOfOldAddressDoesNotReplaceListOfNewOne: if discovery moves to a service that numbers its versions
// differently, an answer on a lingering call to the old address is older than the held list, whatever its version.
func TestAnswerOfOldAddressDoesNotReplaceListOfNewOne(t *testing.T) {
	f := newWatchingFollower(t)
	f.SetVersion(50)
	before := answerUnchanged(t, f, onlyCall(t, f).ID, 0)
	moved := seconds(0.5)
	f.Move("b", moved, moved)
	asked := moved + oldWatchWait
	f.Tick(asked)
	c := onlyCall(t, f)
	if c.Address != "b" {
		t.Fatalf("the call after the move is %+v", c)
	}
	if use, ok := f.AnswerReceived(c.ID, 3, true, asked+seconds(0.1)); !use || !ok {
		t.Fatalf("the list of the new address is not accepted: %t, %t", use, ok)
	}
	f.AnswerApplied(asked + seconds(0.1))
	came := asked + seconds(0.3)
	use, ok := f.AnswerReceived(before.ID, 51, true, came)
	if !ok {
		t.Fatal("the watch at the old address is no longer open")
	}
	f.AnswerApplied(came)
	if use && f.Status(came) == Confirmed {
		t.Errorf("version %d of the old address is used instead of version 3 of the new one", f.Version())
	}
}
