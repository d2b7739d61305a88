package recovery

import (
	"fmt"
	"slices"
	"time"

	"brasswell/internal/cluster/revival"
	"brasswell/internal/state"
)

// host implements revival.Host for a Node. Its methods run on the goroutine that owns the core.
type host struct{ *Node }

func (h host) SendReport(to string, r *revival.Report) {
	h.mu.Lock()
	address := h.addresses[to]
	h.mu.Unlock()
	if address == "" {
		return
	}
	if body, err := r.Encode(); err == nil {
		h.carrier.SendPayload(address, body)
	}
}

func (h host) RestoreState(k revival.Kind, admittingFor time.Duration) {
	initial, trustedSince := revival.InitialState(k, h.age, h.saved.Bans, h.saved.Learned, h.proxy.Now()-admittingFor, h.config.Instances)
	var itemTrust []ItemTrust
	for _, b := range revival.StateItems() {
		itemTrust = append(itemTrust, ItemTrust{b.String(), revival.TrustIn(k, h.age, b).String()})
	}
	h.mu.Lock()
	h.itemTrust = itemTrust
	h.mu.Unlock()
	h.config.Log.Info(LogBegin, "kind", k.String(), "backends", len(initial.Balancer.Servers), "bans", len(initial.Balancer.Banned), "age", ageText(h.saved.Learned, h.age))
	h.proxy.RestoreState(initial, trustedSince)
	h.ListUpdated(false) // this call comes from the core, so the event is handled after it
}

func ageText(l *state.Learned, a state.Age) string {
	switch {
	case l == nil:
		return "no saved state"
	case a.Max == state.UnknownAge:
		return fmt.Sprintf("%v at least", a.Min.Round(time.Second))
	}
	return a.Max.Round(time.Second).String()
}

func (h host) SetShares(shares []float64) {
	p := &plan{shares: slices.Clone(shares), admitAll: true}
	for _, s := range shares {
		p.admitAll = p.admitAll && s >= 1
		p.ready = p.ready || s > 0
	}
	if h.config.Balancer.RetryAfter {
		// This is about the time until the next class is admitted. With a shorter delay clients retry too often, and they ignore a delay
		// above MaxRetryAfter.
		p.retryAfter = min(h.config.Balancer.WarmUp/time.Duration(max(len(shares), 1)), h.config.Balancer.MaxRetryAfter)
	}
	h.plan.Store(p)
}

func (h host) StepChanged(to revival.Step, why string) {
	h.config.Log.Info(LogStep, "step", to.String(), "why", why, "after", h.now().Round(time.Millisecond).String())
}
