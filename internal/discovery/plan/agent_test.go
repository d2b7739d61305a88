package plan

import (
	"slices"
	"testing"
)

// TestAnAgentThatCannotBeCalledHoldsTheListBack: what an agent has counts as told at once, whether or not a watch is open. A call that this process
// had no means for, or that found nobody listening, leaves no watch open, and is not the silence of a discovery that is down.
func TestAnAgentThatCannotBeCalledHoldsTheListBack(t *testing.T) {
	for _, end := range []CallEnd{NoResources, Unreachable} {
		l := confirmedAt(0, true)
		failed := seconds(1)
		l.called(Call{ID: 1, Hold: seconds(2.5)}, failed)
		l.callEnded(1, end, failed)
		l.callFailed(end, failed)
		if got := l.Status(failed + leaseSlack); got != Stale {
			t.Errorf("%s: %v behind the end of the only watch the list is %s", end, leaseSlack, got)
		}
	}
}

// movedAgent is a follower with a watch that waits for news at an agent and, behind a move at movedAt, a call to the agent at "b".
func movedAgent(t *testing.T) (f *Follower, watch, call Call) {
	t.Helper()
	f = holding(t)
	f.SetPushed(0)
	f.Stop()
	f.Watch(0)
	watch = answer(t, f, one(t, f).ID, seconds(0.1))
	f.Move("b", movedAt-seconds(0.1), movedAt)
	if slices.ContainsFunc(f.actions, func(a Action) bool { _, givenUp := a.(CancelCall); return givenUp }) {
		t.Errorf("the watch is given up at the move: %+v", f.actions)
	}
	return f, watch, one(t, f)
}

// TestNewsOnAWatchAtAnAgentThatAMoveCrosses guards against news that the agent before writes on its watch as the other one is asked already.
func TestNewsOnAWatchAtAnAgentThatAMoveCrosses(t *testing.T) {
	f, watch, call := movedAgent(t)
	if use, ok := f.AnswerReceived(watch.ID, 2, false, seconds(1.1)); !use || !ok {
		t.Errorf("news on the watch: use %t, ok %t", use, ok)
	}
	f.AnswerApplied(seconds(1.1))
	if made := f.Actions(); len(made) > 0 {
		t.Errorf("behind them %+v", made)
	}
	if use, ok := f.AnswerReceived(call.ID, 2, false, seconds(1.2)); !use || !ok {
		t.Errorf("the answer at the new address: use %t, ok %t", use, ok)
	}
	f.AnswerApplied(seconds(1.2))
	if next := one(t, f); !next.ContinuesWatch || next.Address != "b" || next.From != 2 {
		t.Errorf("the next call is %+v", next)
	}
}

// TestTheWatchAtAnAgentBeforeAMoveStaysOut: news may be on their way to it, and the agent closes it.
func TestTheWatchAtAnAgentBeforeAMoveStaysOut(t *testing.T) {
	f, watch, call := movedAgent(t)
	f.AnswerReceived(call.ID, 1, false, seconds(1.1))
	f.AnswerApplied(seconds(1.1))
	if made := f.Actions(); slices.Contains(made, Action(CancelCall{watch.ID})) {
		t.Errorf("the watch at the old address is given up: %+v", made)
	}
	f.CallFailed(watch.ID, NoAnswer, seconds(2.5))
	if len(f.left.out) > 0 {
		t.Errorf("%d calls are left", len(f.left.out))
	}
}

// TestAnOlderAnswerOfAnAgentReplacesNothing guards against a list that is told late by the older of two calls, changes or whole.
func TestAnOlderAnswerOfAnAgentReplacesNothing(t *testing.T) {
	for _, whole := range []bool{false, true} {
		f, watch, call := movedAgent(t)
		f.AnswerReceived(watch.ID, 3, false, seconds(1.1))
		f.AnswerApplied(seconds(1.1))
		use, ok := f.AnswerReceived(call.ID, 2, whole, seconds(1.2))
		if use || !ok || f.Version() != 3 {
			t.Errorf("whole %t: use %t, ok %t, version %d", whole, use, ok, f.Version())
		}
		f.AnswerApplied(seconds(1.2))
		again := one(t, f)
		if again.From != 3 || again.Hold != 0 {
			t.Errorf("whole %t: the next call is %+v", whole, again)
		}
		answer(t, f, again.ID, seconds(1.3))
		if got := f.Status(seconds(1.6)); got != Confirmed {
			t.Errorf("whole %t: the list is %s", whole, got)
		}
	}
}
