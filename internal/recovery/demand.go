package recovery

import (
	"time"

	"brasswell/internal/cluster/revival"
)

// totals counts the outcomes of requests so far, by class.
type totals struct{ received, failed, rejected []int64 }

func (n *Node) totals() (t totals) {
	// A rejected request is counted in n.rejected before the proxy counts it as failed. Reading n.rejected second makes sure that no
	// rejected request is taken for one that the balancer failed to serve.
	t.received, t.failed = n.proxy.Outcomes()
	t.rejected = make([]int64, len(n.rejected))
	for i := range n.rejected {
		t.rejected[i] = n.rejected[i].Load()
	}
	return t
}

// since returns the outcomes since earlier totals.
func (t totals) since(earlier totals) []revival.Count {
	counts := make([]revival.Count, len(t.received))
	for i := range counts {
		received, failed, rejected := t.received[i]-earlier.received[i], t.failed[i]-earlier.failed[i], t.rejected[i]-earlier.rejected[i]
		counts[i] = revival.Count{Received: float64(received), Admitted: float64(max(received-rejected, 0)), Failed: float64(max(failed-rejected, 0))}
	}
	return counts
}

// measureDemand measures the demand, which the next start uses.
func (n *Node) measureDemand() {
	previous := n.totals()
	for {
		start := time.Now()
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(donePollInterval):
		}
		next := n.totals()
		n.updateDemand(next.since(previous), time.Since(start))
		previous = next
	}
}

// updateDemand smooths the demand over about half a minute, so that the next start does not expect a short surge of retries.
func (n *Node) updateDemand(counts []revival.Count, elapsed time.Duration) {
	const weight = 1. / 30
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.demand {
		rate := counts[i].Received / elapsed.Seconds()
		if n.demand[i] == 0 {
			n.demand[i] = rate
		}
		n.demand[i] += weight * (rate - n.demand[i])
	}
}
