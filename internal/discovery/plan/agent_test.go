package plan

import (
	"slices"
	"testing"
)

// TestAgentThatCannotBeCalledMakesListStale: what an agent has counts as notified immediately, whether or not a watch
// is open. A call for which this process had no resources, or that found nobody listening, leaves no watch open, and
// must not count like the silence of a discovery that is down.
func TestAgentThatCannotBeCalledMakesListStale(t *testing.T) {
	for _, end := range []CallEnd{NoResources, Unreachable} {
		l := leaseConfirmedAt(0, true)
		failed := seconds(1)
		l.callStarted(Call{ID: 1, Hold: seconds(2.5)}, failed)
		l.callEnded(1, end, failed)
		l.noteAgentFailure(end, failed)
		if got := l.Status(failed + leaseSlack); got != Stale {
			t.Errorf("%s: %v after the end of the only watch the list is %s", end, leaseSlack, got)
		}
	}
}

// movedAgent returns a follower with a watch that waits for a change at an agent and, after a move at movedAt, a call
// to the agent at "b".
func movedAgent(t *testing.T) (f *Follower, watch, call Call) {
	t.Helper()
	f = newWatchingFollower(t)
	f.SetPushed(0)
	f.Stop()
	f.Watch(0)
	watch = answerUnchanged(t, f, onlyCall(t, f).ID, seconds(0.1))
	f.Move("b", movedAt-seconds(0.1), movedAt)
	if slices.ContainsFunc(f.actions, func(a Action) bool { _, canceled := a.(CancelCall); return canceled }) {
		t.Errorf("the watch is canceled at the move: %+v", f.actions)
	}
	return f, watch, onlyCall(t, f)
}

// TestUpdateOnAgentWatchDuringMove guards against losing an update that the agent at the old address writes on its
// watch while the agent at the new address is already called.
func TestUpdateOnAgentWatchDuringMove(t *testing.T) {
	f, watch, call := movedAgent(t)
	if use, ok := f.AnswerReceived(watch.ID, 2, false, seconds(1.1)); !use || !ok {
		t.Errorf("update on the watch: use %t, ok %t", use, ok)
	}
	f.AnswerApplied(seconds(1.1))
	if made := f.Actions(); len(made) > 0 {
		t.Errorf("actions after the update: %+v", made)
	}
	if use, ok := f.AnswerReceived(call.ID, 2, false, seconds(1.2)); !use || !ok {
		t.Errorf("the answer at the new address: use %t, ok %t", use, ok)
	}
	f.AnswerApplied(seconds(1.2))
	if next := onlyCall(t, f); !next.ContinuesWatch || next.Address != "b" || next.From != 2 {
		t.Errorf("the next call is %+v", next)
	}
}

// TestAgentWatchStaysOpenAfterMove: an update may be in transit to the watch at the old address, and the agent closes
// it.
func TestAgentWatchStaysOpenAfterMove(t *testing.T) {
	f, watch, call := movedAgent(t)
	f.AnswerReceived(call.ID, 1, false, seconds(1.1))
	f.AnswerApplied(seconds(1.1))
	if made := f.Actions(); slices.Contains(made, Action(CancelCall{watch.ID})) {
		t.Errorf("the watch at the old address is canceled: %+v", made)
	}
	f.CallFailed(watch.ID, NoAnswer, seconds(2.5))
	if len(f.lingering.open) > 0 {
		t.Errorf("%d calls are lingering", len(f.lingering.open))
	}
}

// TestOlderAnswerOfAgentReplacesNothing guards against using a list, partial or whole, that the older of two calls
// delivers late.
func TestOlderAnswerOfAgentReplacesNothing(t *testing.T) {
	for _, whole := range []bool{false, true} {
		f, watch, call := movedAgent(t)
		f.AnswerReceived(watch.ID, 3, false, seconds(1.1))
		f.AnswerApplied(seconds(1.1))
		use, ok := f.AnswerReceived(call.ID, 2, whole, seconds(1.2))
		if use || !ok || f.Version() != 3 {
			t.Errorf("whole %t: use %t, ok %t, version %d", whole, use, ok, f.Version())
		}
		f.AnswerApplied(seconds(1.2))
		again := onlyCall(t, f)
		if again.From != 3 || again.Hold != 0 {
			t.Errorf("whole %t: the next call is %+v", whole, again)
		}
		answerUnchanged(t, f, again.ID, seconds(1.3))
		if got := f.Status(seconds(1.6)); got != Confirmed {
			t.Errorf("whole %t: the list is %s", whole, got)
		}
	}
}
