package model

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var moveScheduleCount = flag.Int("move-courses", 4000, "how many random schedules with consecutive moves are run")

// TestConsecutiveMovesAreInTime runs random schedules of 30 s in which discovery moves up to three times while
// watches are open, the calls have any outcomes, and changes are close to the moves.
func TestConsecutiveMovesAreInTime(t *testing.T) {
	for seed := range uint64(*moveScheduleCount) {
		dice := rand.New(rand.NewPCG(seed, 0x51de))
		between := func(from, to time.Duration) time.Duration { return from + time.Duration(dice.Int64N(int64(to-from))) }
		askEvery := []time.Duration{500 * time.Millisecond, time.Second, 5 * time.Second, defaultAskEvery, time.Minute}
		s := Schedule{
			Seed: seed, Pushed: dice.IntN(4) == 0, Length: 30 * time.Second, AskEvery: askEvery[dice.IntN(len(askEvery))],
			CallOutcomes: []Outcome{Normal, Normal},
		}
		for range dice.IntN(6) {
			outcomes := Outcomes()
			if s.Pushed {
				outcomes = []Outcome{Normal, Truncated, Reset, RefusedAtOnce}
			}
			s.CallOutcomes = append(s.CallOutcomes, outcomes[dice.IntN(len(outcomes))])
		}
		at := between(time.Second, 4*time.Second)
		for range 1 + dice.IntN(3) {
			s.Moves = append(s.Moves, at)
			at += between(0, 4*time.Second)
		}
		for range 1 + dice.IntN(3) {
			s.Changes = insert(s.Changes, between(s.Moves[0]-time.Second, at+4*time.Second))
		}
		if dice.IntN(2) == 0 {
			s.WatchSilences = append(s.WatchSilences, between(s.Moves[0]-time.Second, at))
		}
		if dice.IntN(3) == 0 {
			s.Stalls = []Stall{{between(s.Moves[0]-100*time.Millisecond, at), between(1, maxAllowedStall)}}
		}
		if v := Run(s, nil); v.Late > 0 {
			t.Errorf("seed %d: acted on %v after the grace (%s), first at %v: %+v", seed, v.Late, v.LateRule, v.FirstLateAt, s)
		}
	}
}

// TestNewWatchAtOnceDoesNotCoverTimeWithoutCalls: a call at the old address is refused at the moment of a move, so
// the next call begins at the same moment. It continues no watch, and ask_every_ms was over by then.
func TestNewWatchAtOnceDoesNotCoverTimeWithoutCalls(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for refused := ms(2700); refused < ms(3200); refused += ms(10) {
		s := Schedule{
			Length: 10 * time.Second, AskEvery: ms(500), CallOutcomes: []Outcome{Normal, Normal, RefusedAtOnce, Reset, RefusedLate, DialLate},
			Changes: []time.Duration{refused - ms(100)}, Moves: []time.Duration{refused, refused + ms(1250)},
		}
		for seed := range uint64(50) {
			s.Seed = seed
			if v := Run(s, nil); v.Late > 0 {
				t.Fatalf("moves at %v, seed %d: acted on %v after the grace (%s), first at %v", s.Moves, seed, v.Late, v.LateRule, v.FirstLateAt)
			}
		}
	}
}
