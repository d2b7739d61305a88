package recovery

import "time"

// plan is what is let in.
type plan struct {
	shares     []float64
	admitAll   bool
	ready      bool
	retryAfter time.Duration // for how long the others are asked to stay away, in the middle
}

func (n *Node) admitAll() {
	shares := make([]float64, len(n.config.Classes))
	for i := range shares {
		shares[i] = 1
	}
	n.plan.Store(&plan{shares: shares, admitAll: true, ready: true})
}

// Admit says whether a request of a class is let in now. What is turned away is told to come back at a time of its own, so that the
// callers of a whole site do not come back at one.
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

// Ready says whether anybody is let in.
func (n *Node) Ready() bool { return n.plan.Load().ready }
