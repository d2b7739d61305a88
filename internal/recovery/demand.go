package recovery

import (
	"time"

	"brasswell/internal/cluster/revival"
)

// tally is what has become of requests so far, by class.
type totals struct{ received, failed, rejected []int64 }

func (n *Node) totals() (t totals) {
	// What is turned away is counted before it is lost, and so read after: it is never taken for lost by the balancer.
	t.received, t.failed = n.proxy.Outcomes()
	t.rejected = make([]int64, len(n.rejected))
	for i := range n.rejected {
		t.rejected[i] = n.rejected[i].Load()
	}
	return t
}

// since is what has come after an earlier one.
func (t totals) since(earlier totals) []revival.Count {
	counts := make([]revival.Count, len(t.received))
	for i := range counts {
		received, failed, rejected := t.received[i]-earlier.received[i], t.failed[i]-earlier.failed[i], t.rejected[i]-earlier.rejected[i]
		counts[i] = revival.Count{Received: float64(received), Admitted: float64(max(received-rejected, 0)), Failed: float64(max(failed-rejected, 0))}
	}
	return counts
}

// rest measures what is asked for, for the next start.
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

// demanded smooths what is asked for over half a minute or so: a surge of callers who come again is not what the next start is to
// expect.
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
