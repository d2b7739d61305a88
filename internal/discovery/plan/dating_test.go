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
	firstPartAt := seconds(0.1)
	f.AnswerBegun(watch.ID, firstPartAt, firstPartAt) // discovery decided before this
	f.AnswerProgress(watch.ID, firstPartAt)
	hedged, _ := nextCall(t, f)
	updatedAt := watch.Hold - seconds(0.1)
	if use, ok := f.AnswerReceived(hedged.ID, 2, false, updatedAt); !use || !ok {
		t.Fatalf("the update is not accepted: %t, %t", use, ok)
	}
	f.AnswerApplied(updatedAt)
	receivedAt := watch.Hold + seconds(0.1)
	if use, ok := f.AnswerReceived(watch.ID, 2, false, receivedAt); !use || !ok {
		t.Fatalf("the same update is not accepted: %t, %t", use, ok)
	}
	f.AnswerApplied(receivedAt)
	if latest := firstPartAt + stallTimeout; f.asOf > latest {
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
	oldWatch := answerUnchanged(t, f, onlyCall(t, f).ID, 0)
	moved := seconds(0.5)
	f.Move("b", moved, moved)
	calledAt := moved + oldWatchWait
	f.Tick(calledAt)
	c := onlyCall(t, f)
	if c.Address != "b" {
		t.Fatalf("the call after the move is %+v", c)
	}
	if use, ok := f.AnswerReceived(c.ID, 3, true, calledAt+seconds(0.1)); !use || !ok {
		t.Fatalf("the list of the new address is not accepted: %t, %t", use, ok)
	}
	f.AnswerApplied(calledAt + seconds(0.1))
	receivedAt := calledAt + seconds(0.3)
	use, ok := f.AnswerReceived(oldWatch.ID, 51, true, receivedAt)
	if !ok {
		t.Fatal("the watch at the old address is no longer open")
	}
	f.AnswerApplied(receivedAt)
	if use && f.Status(receivedAt) == Confirmed {
		t.Errorf("version %d of the old address is used instead of version 3 of the new one", f.Version())
	}
}
