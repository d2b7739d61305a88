package discovery

import (
	"context"
	"log/slog"
	"testing"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// TestAWatchThatEndsMakesNoCallOfTheNextOne: another watch, as behind a new configuration, may begin between the moment at which the plan ends one
// and the one at which that is carried out. A call that is made by the watch that ends is cancelled with it, and the plan waits for it in vain.
func TestAWatchThatEndsMakesNoCallOfTheNextOne(t *testing.T) {
	d := New("127.0.0.1:1", nil, DefaultOptions(), slog.New(slog.DiscardHandler), func(balance.ListKind, []balance.Entry, map[string]string) {})
	ending := &watch{
		Client: d, ctx: t.Context(), calls: map[plan.CallID]context.CancelCauseFunc{}, results: make(chan result), over: make(chan struct{}),
	}
	defer ending.running.Wait()
	defer close(ending.over)
	d.plan.Watch(0)
	d.plan.Actions() // the first call is out
	d.plan.CallFailed(1, plan.NoAnswer, 0)
	d.plan.Watch(0)
	ending.carryOut()
	if ending.ended && len(ending.calls) > 0 {
		t.Errorf("a watch that ends makes %d calls", len(ending.calls))
	}
}
