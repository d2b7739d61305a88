package plan

import (
	"testing"
	"time"
)

// TestLastDiscardedAnswerMakesListStale: if several answers did not arrive completely, one that is valid as of a time
// between them compensates only for the earlier ones.
func TestLastDiscardedAnswerMakesListStale(t *testing.T) {
	l := leaseConfirmedAt(0, false)
	for _, at := range []float64{2, 4} {
		l.discard(seconds(at))
	}
	l.Confirm(confirmationAt(seconds(3)), seconds(5))
	if got := l.Status(seconds(5)); got != Stale {
		t.Errorf("after a list of 3 s, and a part of one that arrived at 4 s, the list is %s", got)
	}
	l.Confirm(confirmationAt(seconds(4)), seconds(6))
	if got := l.Status(seconds(6)); got != Confirmed {
		t.Errorf("after a list of 4 s the list is %s", got)
	}
}

// TestNoWatchAtAgentMakesListStale: what an agent has counts as notified immediately. This also holds if an answer of
// the old address arrives after the only call or the only watch at the new address has ended.
func TestNoWatchAtAgentMakesListStale(t *testing.T) {
	for name, refuse := range map[string]func(t *testing.T, f *Follower, call Call, moved, came time.Duration){
		"call": func(_ *testing.T, f *Follower, call Call, _, came time.Duration) {
			f.CallFailed(call.ID, TurnedAway, came-seconds(0.01))
		},
		"watch": func(t *testing.T, f *Follower, call Call, moved, _ time.Duration) {
			f.CallFailed(answerUnchanged(t, f, call.ID, moved).ID, TurnedAway, moved+seconds(0.01))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newWatchingFollower(t)
			f.SetPushed(0)
			f.Stop()
			f.Watch(0)
			oldWatch := answerUnchanged(t, f, onlyCall(t, f).ID, 0)
			came := oldWatch.Hold
			moved := came - seconds(0.2)
			f.Move("b", moved, moved)
			refuse(t, f, onlyCall(t, f), moved, came)
			if _, ok := f.AnswerReceived(oldWatch.ID, 1, false, came); !ok {
				t.Fatal("the watch at the old address is no longer open")
			}
			f.AnswerApplied(came)
			if made := takeCalls(f); len(made) > 0 {
				t.Fatal("a watch is open again")
			}
			if got := f.Status(came + leaseSlack); got != Stale {
				t.Errorf("%v after an answer, with no watch open, the list is %s", leaseSlack, got)
			}
		})
	}
}
