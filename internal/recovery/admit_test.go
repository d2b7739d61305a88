package recovery

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"brasswell/balance"
)

// admitResult is the result of one admission.
type admitResult struct {
	in   bool
	wait time.Duration
}

// admitResults returns the results of a node with the given seed that admits half of the requests of a class.
func admitResults(t *testing.T, seed uint64, requests int) (results []admitResult) {
	t.Helper()
	n := Open(Config{
		Options: Options{Folder: t.TempDir(), SaveInterval: time.Minute}, Name: "a", Seed: seed, Classes: []string{"search"},
		Balancer: balance.Settings{RetryAfter: true, WarmUp: time.Second, MaxRetryAfter: time.Second}, Log: slog.New(slog.DiscardHandler),
	}, nil)
	defer n.Close()
	host{n}.SetShares([]float64{0.5})
	defer host{n}.SetShares([]float64{0}) // no proxy has started, so there is no state to save
	for range requests {
		in, wait := n.Admit(0)
		results = append(results, admitResult{in, wait})
	}
	return results
}

// TestAdmissionIsDrawnFromTheSeed checks that admission decisions and retry delays during recovery are reproducible from the seed, and
// that they differ between proxies with different seeds.
func TestAdmissionIsDrawnFromTheSeed(t *testing.T) {
	const callers = 200
	first := admitResults(t, 1, callers)
	if again := admitResults(t, 1, callers); !slices.Equal(first, again) {
		t.Error("equal seeds give different admissions or retry delays")
	}
	if other := admitResults(t, 2, callers); slices.Equal(first, other) {
		t.Error("different seeds give the same admissions and retry delays")
	}
	if !slices.ContainsFunc(first, func(a admitResult) bool { return a.in }) || !slices.ContainsFunc(first, func(a admitResult) bool { return !a.in }) {
		t.Errorf("the results of %d requests are all admitted or all rejected", callers)
	}
}
