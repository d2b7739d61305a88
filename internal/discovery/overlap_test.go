package discovery

import (
	"context"
	"log/slog"
	"testing"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// TestEndingWatchMakesNoCallForNextOne: another watch, for example after a new configuration, may start between the
// moment at which the plan ends a watch and the moment at which the client does so. A call that is made by the ending
// watch is canceled with it, and the plan waits for it in vain.
func TestEndingWatchMakesNoCallForNextOne(t *testing.T) {
	d := New("127.0.0.1:1", nil, DefaultOptions(), slog.New(slog.DiscardHandler), func(balance.ListKind, []balance.Entry, map[string]string) {})
	ending := &watch{
		Client: d, ctx: t.Context(), calls: map[plan.CallID]context.CancelCauseFunc{}, results: make(chan result), done: make(chan struct{}),
	}
	defer ending.running.Wait()
	defer close(ending.done)
	d.plan.Watch(0)
	d.plan.Actions() // the first call is made
	d.plan.CallFailed(1, plan.NoAnswer, 0)
	d.plan.Watch(0)
	ending.runActions()
	if ending.ended && len(ending.calls) > 0 {
		t.Errorf("a watch that ends makes %d calls", len(ending.calls))
	}
}
