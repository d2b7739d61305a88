package plan

import "testing"

// TestACallThatBeginsAnotherWatchAtOnceDoesNotMakeUpForATimeWithout guards against a call that goes on with no watch, and begins in the very moment in
// which the last one has ended: ask_every_ms was over by then.
func TestACallThatBeginsAnotherWatchAtOnceDoesNotMakeUpForATimeWithout(t *testing.T) {
	for end, goesOn := range map[CallEnd]bool{TurnedAway: false, CutOff: false, Answered: true} {
		l := confirmedAt(0, false)
		l.asking.every = seconds(0.5)
		l.called(Call{ID: 1}, seconds(0.2))
		ended := seconds(3)
		l.callEnded(1, end, ended)
		l.called(Call{ID: 2, ContinuesWatch: goesOn}, ended)
		want := Stale
		if goesOn {
			want = Confirmed
		}
		if got := l.Status(ended); got != want {
			t.Errorf("behind a call that was %s the list is %s, want %s", end, got, want)
		}
	}
}
