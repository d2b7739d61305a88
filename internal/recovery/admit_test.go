package recovery

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"brasswell/balance"
)

// admission is what a caller was told at the door.
type admission struct {
	in   bool
	wait time.Duration
}

// admissions are what callers are told by a node with a seed that lets half of a class in.
func admissions(t *testing.T, seed uint64, callers int) (told []admission) {
	t.Helper()
	n := Open(Config{
		Options: Options{Folder: t.TempDir(), SaveInterval: time.Minute}, Name: "a", Seed: seed, Classes: []string{"search"},
		Balancer: balance.Settings{RetryAfter: true, WarmUp: time.Second, MaxRetryAfter: time.Second}, Log: slog.New(slog.DiscardHandler),
	}, nil)
	defer n.Close()
	host{n}.SetShares([]float64{0.5})
	defer host{n}.SetShares([]float64{0}) // no proxy has begun, so there is nothing to keep on disk
	for range callers {
		in, wait := n.Admit(0)
		told = append(told, admission{in, wait})
	}
	return told
}

// TestAdmissionIsDrawnFromTheSeed: who is let in while a proxy comes back, and for how long the others are asked to stay away, can be
// played again from its seed, and differs between proxies.
func TestAdmissionIsDrawnFromTheSeed(t *testing.T) {
	const callers = 200
	first := admissions(t, 1, callers)
	if again := admissions(t, 1, callers); !slices.Equal(first, again) {
		t.Error("equal seeds admit other callers, or ask them to stay away for other times")
	}
	if other := admissions(t, 2, callers); slices.Equal(first, other) {
		t.Error("two seeds admit the same callers")
	}
	if !slices.ContainsFunc(first, func(a admission) bool { return a.in }) || !slices.ContainsFunc(first, func(a admission) bool { return !a.in }) {
		t.Errorf("none of both kinds among %d callers", callers)
	}
}
