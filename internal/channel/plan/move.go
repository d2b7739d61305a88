package plan

import (
	"slices"
	"strings"
	"time"

	"brasswell/internal/channel/frame"
)

// move tells channels to go from servers that are not to be used any more: spread over what is left of each window,
// and never more in a second than the servers that remain take as upgrades. What a window leaves over goes at its end,
// all at once; from there on the line (Ask) spaces who comes back.
//
// It guards against the storm that a drained server's clients make when they are cut at one moment. It harms when
// the window is longer than the server lives on: its channels then break instead of being moved.
func (p *Planner) moveChannels(now time.Duration, actions []Action) []Action {
	// Those that have least time go first. By id where it is equal: the order of a map must not decide.
	var draining []*node
	for _, n := range p.nodes {
		if n.deadline > 0 && n.open > 0 {
			draining = append(draining, n)
		}
	}
	const rounding = 1e-6
	if draining == nil {
		return actions
	}
	slices.SortFunc(draining, func(a, b *node) int {
		if a.deadline != b.deadline {
			return int(a.deadline - b.deadline)
		}
		return strings.Compare(a.ID, b.ID)
	})
	rate := p.capacity(now)
	if p.shuttingDown {
		rate = p.settings.Rate // they come back by another proxy, whose servers we do not know
	}
	if now-p.moveTokens.Last > time.Second {
		p.moveTokens = oneToken(now) // nothing moved before: there is nothing to catch up on
	}
	p.moveTokens.Fill(now, rate, max(burstSeconds*rate, 1))
	for _, n := range draining {
		timeLeft := n.deadline - now
		if timeLeft <= 0 {
			actions = p.closeRemaining(now, n, actions)
			continue
		}
		// The pace at which the last one goes a tick before the window ends.
		elapsed := now - n.pacedAt
		n.pacedAt = now
		n.movesDue = min(n.movesDue+float64(n.remainingCount)*elapsed.Seconds()/max(timeLeft+elapsed-TickInterval, elapsed).Seconds(), float64(n.remainingCount))
		for n.movesDue >= 1-rounding && n.remainingCount > 0 && p.moveTokens.Tokens >= 1 {
			n.movesDue--
			p.moveTokens.Tokens--
			actions = p.moveChannel(n.remaining.Front(), CloseAfterMessage, actions)
		}
	}
	return actions
}

// tell makes a channel go whose server is to be left.
func (p *Planner) moveChannel(c *channel, kind Kind, actions []Action) []Action {
	if p.shuttingDown {
		return p.closeChannel(c, kind, frame.GoingAway, "proxy restarts", actions)
	}
	return p.closeChannel(c, kind, frame.ServiceRestart, "server drains", actions)
}

// end tells a channel to go, for the first time or more urgently.
func (p *Planner) closeChannel(c *channel, kind Kind, code frame.Code, reason string, actions []Action) []Action {
	if !c.closeSent {
		c.closeSent = true
		c.node.remaining.Remove(c)
		c.node.remainingCount--
		c.node.leaving.Push(c)
	}
	c.closeNowSent = kind == CloseNow
	return append(actions, Action{ID: c.id, Kind: kind, Code: code, Reason: reason})
}

// straggle ends what a window has left: each channel is told now, within a message too, and what is still there once a
// Close has had its time is cut.
func (p *Planner) closeRemaining(now time.Duration, n *node, actions []Action) []Action {
	for n.remaining.Front() != nil {
		actions = p.moveChannel(n.remaining.Front(), CloseNow, actions)
	}
	expired := now >= n.deadline+p.settings.CloseTimeout
	for c := range n.leaving.All() {
		switch {
		case expired && !c.aborted:
			c.aborted = true
			actions = append(actions, Action{ID: c.id, Kind: Abort, Reason: "left over when its server's window ended"})
		case !c.closeNowSent:
			actions = p.moveChannel(c, CloseNow, actions)
		}
	}
	return actions
}
