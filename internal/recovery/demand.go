package recovery

import (
	"time"

	"brasswell/internal/cluster/revival"
)

// tally is what has become of requests so far, by class.
type tally struct{ asked, lost, turned []int64 }

func (n *Node) tally() (t tally) {
	// What is turned away is counted before it is lost, and so read after: it is never taken for lost by the balancer.
	t.asked, t.lost = n.side.Outcomes()
	t.turned = make([]int64, len(n.turned))
	for i := range n.turned {
		t.turned[i] = n.turned[i].Load()
	}
	return t
}

// since is what has come after an earlier one.
func (t tally) since(was tally) []revival.Count {
	counts := make([]revival.Count, len(t.asked))
	for i := range counts {
		asked, lost, turned := t.asked[i]-was.asked[i], t.lost[i]-was.lost[i], t.turned[i]-was.turned[i]
		counts[i] = revival.Count{Received: float64(asked), Admitted: float64(max(asked-turned, 0)), Failed: float64(max(lost-turned, 0))}
	}
	return counts
}

// rest measures what is asked for, for the next start.
func (n *Node) rest() {
	was := n.tally()
	for {
		begun := time.Now()
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(restEvery):
		}
		next := n.tally()
		n.demanded(next.since(was), time.Since(begun))
		was = next
	}
}

// demanded smooths what is asked for over half a minute or so: a surge of callers who come again is not what the next start is to
// expect.
func (n *Node) demanded(counts []revival.Count, past time.Duration) {
	const weight = 1. / 30
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.demand {
		rate := counts[i].Received / past.Seconds()
		if n.demand[i] == 0 {
			n.demand[i] = rate
		}
		n.demand[i] += weight * (rate - n.demand[i])
	}
}
