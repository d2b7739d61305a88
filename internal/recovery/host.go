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

func (h host) RestoreState(k revival.Kind, ago time.Duration) {
	begin, lost := revival.InitialState(k, h.age, h.found.Bans, h.found.Learned, h.side.Now()-ago, h.config.Instances)
	var trusted []ItemTrust
	for _, b := range revival.StateItems() {
		trusted = append(trusted, ItemTrust{b.String(), revival.TrustIn(k, h.age, b).String()})
	}
	h.mu.Lock()
	h.trusted = trusted
	h.mu.Unlock()
	h.config.Log.Info(LogBegin, "kind", k.String(), "backends", len(begin.Balancer.Servers), "bans", len(begin.Balancer.Banned), "age", ageText(h.found.Learned, h.age))
	h.side.RestoreState(begin, lost)
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
	p := &plan{shares: slices.Clone(shares), all: true}
	for _, s := range shares {
		p.all = p.all && s >= 1
		p.ready = p.ready || s > 0
	}
	if h.config.Balancer.RetryAfter {
		// Until the next class or so; who is told less comes too often, and who is told more is not believed.
		p.wait = min(h.config.Balancer.WarmUp/time.Duration(max(len(shares), 1)), h.config.Balancer.MaxRetryAfter)
	}
	h.plan.Store(p)
}

func (h host) StepChanged(to revival.Step, why string) {
	h.config.Log.Info(LogStep, "step", to.String(), "why", why, "after", h.now().Round(time.Millisecond).String())
}
