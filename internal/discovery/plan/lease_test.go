package plan

import (
	"testing"
	"time"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TestHowLongAListIsActedOn: by what calls have met since an answer at 0, from when on the list may not be acted on.
func TestHowLongAListIsActedOn(t *testing.T) {
	const (
		lease = 6.3
		never = -1
		from  = 0 // a call's begin where it does not matter
	)
	dialFails := func(l *Lease, at float64) { l.Ended(Unreachable, seconds(at), seconds(at+0.1)) }
	dialsFail := func(l *Lease, first, last float64) {
		for at := first; at <= last; at++ {
			dialFails(l, at)
		}
	}
	for name, c := range map[string]struct {
		play  func(l *Lease)
		stale float64
	}{
		"nothing":                                   {func(*Lease) {}, lease},
		"a call in a watch's stead stays silent":    {func(l *Lease) { l.Connected(false) }, lease},
		"refused":                                   {func(l *Lease) { l.AnswerBegun(); l.Ended(TurnedAway, from, seconds(3)) }, lease},
		"a watch is reset":                          {func(l *Lease) { l.Ended(NoAnswer, from, seconds(3)) }, lease},
		"an answer breaks off":                      {func(l *Lease) { l.AnswerBegun(); l.Ended(CutOff, from, seconds(3)) }, lease},
		"no means for a call":                       {func(l *Lease) { l.Ended(NoMeans, seconds(3), seconds(3)) }, lease},
		"each dial fails":                           {func(l *Lease) { dialsFail(l, 1, 40) }, 46.3},
		"a watch is reset, and each dial fails":     {func(l *Lease) { l.Ended(NoAnswer, from, seconds(1)); dialsFail(l, 1, 40) }, 46.3},
		"a watch that dialled, and each dial fails": {func(l *Lease) { l.Connected(true); dialsFail(l, 1, 40) }, 46.3},
		"a dial fails, and a call is refused": {func(l *Lease) {
			dialFails(l, 4)
			l.Connected(false)
			l.AnswerBegun()
			l.Ended(TurnedAway, seconds(5), seconds(7))
		}, 10.3},
		"a call is taken, and a dial fails":                 {func(l *Lease) { l.Connected(false); dialFails(l, 4) }, lease},
		"an answer on a kept connection begins, dials fail": {func(l *Lease) { l.AnswerBegun(); dialsFail(l, 1, 12) }, lease},
		"a dial fails too late":                             {func(l *Lease) { dialFails(l, 6.2) }, lease},
		"an answer is thrown away":                          {func(l *Lease) { l.Dropped(seconds(2)) }, 2.3},
		"answered again":                                    {func(l *Lease) { l.Connected(false); l.Answered(seconds(3)) }, 9.3},
		"answered again, and a dial fails":                  {func(l *Lease) { l.Connected(false); l.Answered(seconds(3)); dialFails(l, 5) }, 11.3},
		"answered behind one that was thrown away":          {func(l *Lease) { l.Dropped(seconds(2)); l.Answered(seconds(3)) }, 9.3},
		"moved": {func(l *Lease) { l.Moved(seconds(1)) }, lease},
	} {
		l := NewLease(0, false)
		c.play(l)
		last := seconds(c.stale) - 1
		if got := l.Standing(last); got == Stale {
			t.Errorf("%s: stale before %v s", name, c.stale)
		}
		if got := l.Standing(last + 1); got != Stale {
			t.Errorf("%s: %s at %v s, want it stale", name, got, c.stale)
		}
	}
}

// TestAnOutageBehindAStaleList: once the list is stale, refused dials for long enough end it, and so does a time in which nothing at all was
// answered. One call that is taken begins it anew.
func TestAnOutageBehindAStaleList(t *testing.T) {
	l := NewLease(0, false)
	l.Connected(false)
	stands := func(at float64, want Standing) {
		t.Helper()
		if got := l.Standing(seconds(at)); got != want {
			t.Errorf("%s at %v s, want %s", got, at, want)
		}
	}
	for at := 10.0; at <= 29; at++ {
		l.Ended(Unreachable, seconds(at), seconds(at))
		stands(at, Stale)
	}
	l.Ended(Unreachable, seconds(30), seconds(30))
	stands(30, Unconfirmed)
	stands(36.2, Unconfirmed)
	stands(36.3, Stale)
	l.Ended(Unreachable, seconds(37), seconds(37))
	stands(37, Unconfirmed)
	l.Connected(false)
	stands(38, Stale)
	stands(299, Stale)
	stands(300, Unconfirmed)
	l.Answered(seconds(301))
	stands(302, Confirmed)
}

// TestAnAgentsSilenceIsAnOutage: where lists are pushed, silence holds nothing back, and what an agent that speaks has counts as told at
// once, or 4 s behind a move.
func TestAnAgentsSilenceIsAnOutage(t *testing.T) {
	silent := NewLease(0, true)
	silent.Connected(false)
	silent.Ended(TimedOut, 0, seconds(4))
	if got := silent.Standing(seconds(100)); got != Unconfirmed {
		t.Errorf("behind silence the list is %s", got)
	}
	refused := NewLease(0, true)
	refused.Ended(TurnedAway, 0, seconds(2))
	for at, want := range map[float64]Standing{2.29: Confirmed, 2.3: Stale, 200: Stale} {
		if got := refused.Standing(seconds(at)); got != want {
			t.Errorf("refused at 2 s, the list is %s at %v s, want %s", got, at, want)
		}
	}
	moved := NewLease(0, true)
	moved.Moved(seconds(1))
	moved.Ended(CutOff, seconds(1), seconds(2))
	for at, want := range map[float64]Standing{5.29: Confirmed, 5.3: Stale} {
		if got := moved.Standing(seconds(at)); got != want {
			t.Errorf("moved at 1 s and cut off, the list is %s at %v s, want %s", got, at, want)
		}
	}
}
