package recovery

import (
	"fmt"
	"slices"
	"time"

	"brasswell/internal/cluster/revival"
	"brasswell/internal/state"
)

// host is the core's side of a node; its methods run on the owner.
type host struct{ *Node }

func (h host) SendReport(to string, r *revival.Report) {
	h.mu.Lock()
	address := h.addresses[to]
	h.mu.Unlock()
	if address == "" {
		return
	}
	if body, err := r.Encode(); err == nil {
		h.carrier.Carry(address, body)
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
	h.ListUpdated(false) // the core is at work, and hears of it after this call
}

func ageText(l *state.Learned, a state.Age) string {
	switch {
	case l == nil:
		return "nothing from before"
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
		// Until the next class or so; who is told less comes too often, and who is told more is not believed.
		p.retryAfter = min(h.config.Balancer.WarmUp/time.Duration(max(len(shares), 1)), h.config.Balancer.MaxRetryAfter)
	}
	h.plan.Store(p)
}

func (h host) StepChanged(to revival.Step, why string) {
	h.config.Log.Info(LogStep, "step", to.String(), "why", why, "after", h.now().Round(time.Millisecond).String())
}
