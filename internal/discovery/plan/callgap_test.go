package plan

import "testing"

// TestNewWatchDoesNotExcuseExceededCallGap guards against accepting a call that continues no watch and starts in the
// same moment in which the last call ended: ask_every_ms had passed by then.
func TestNewWatchDoesNotExcuseExceededCallGap(t *testing.T) {
	for end, goesOn := range map[CallEnd]bool{TurnedAway: false, CutOff: false, Answered: true} {
		l := leaseConfirmedAt(0, false)
		l.gap.limit = seconds(0.5)
		l.callStarted(Call{ID: 1}, seconds(0.2))
		ended := seconds(3)
		l.callEnded(1, end, ended)
		l.callStarted(Call{ID: 2, ContinuesWatch: goesOn}, ended)
		want := Stale
		if goesOn {
			want = Confirmed
		}
		if got := l.Status(ended); got != want {
			t.Errorf("after a call that was %s the list is %s, want %s", end, got, want)
		}
	}
}
