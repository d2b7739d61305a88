package recovery

import "time"

// plan holds the shares of requests that are admitted.
type plan struct {
	shares     []float64
	admitAll   bool
	ready      bool
	retryAfter time.Duration // Retry-After of rejected requests, before it is randomized
}

func (n *Node) admitAll() {
	shares := make([]float64, len(n.config.Classes))
	for i := range shares {
		shares[i] = 1
	}
	n.plan.Store(&plan{shares: shares, admitAll: true, ready: true})
}

// Admit reports whether a request of a class is admitted now. A rejected request gets a random retry delay, so that the callers of a
// whole site do not retry at the same time.
func (n *Node) Admit(class int) (ok bool, retryAfter time.Duration) {
	p := n.plan.Load()
	if p.admitAll || class >= 0 && class < len(p.shares) && p.shares[class] > 0 && n.rng.draw() < p.shares[class] {
		return true, 0
	}
	if class >= 0 && class < len(n.rejected) {
		n.rejected[class].Add(1)
	}
	return false, time.Duration((0.5 + 0.5*n.rng.draw()) * float64(p.retryAfter))
}

// Ready reports whether any requests are admitted.
func (n *Node) Ready() bool { return n.plan.Load().ready }
