package plan

import (
	"slices"
	"strings"
	"time"

	"brasswell/internal/channel/frame"
)

// moveChannels closes channels to servers that must not be used any more, so that their clients reconnect elsewhere. The
// closes are spread over the rest of each server's window, at no more a second than the remaining servers accept as
// upgrades. Channels that are left at the end of the window are closed at once; from there on Admit spaces the clients
// that reconnect.
//
// This guards against the storm of reconnecting clients when all channels of a drained server end at one moment. It does
// harm if the window is longer than the server's remaining lifetime: its channels then break instead of being moved.
func (p *Planner) moveChannels(now time.Duration, actions []Action) []Action {
	// Servers with the earliest deadline come first. Equal deadlines are ordered by ID, because the iteration order of a
	// map must not affect the result.
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
		rate = p.settings.Rate // the clients reconnect through another proxy, whose servers are unknown here
	}
	if now-p.moveTokens.Updated > time.Second {
		p.moveTokens = oneToken(now) // after a pause the rate does not accumulate
	}
	p.moveTokens.Refill(now, rate, max(burstSeconds*rate, 1))
	for _, n := range draining {
		timeLeft := n.deadline - now
		if timeLeft <= 0 {
			actions = p.closeRemaining(now, n, actions)
			continue
		}
		// At this pace the last channel is closed one tick before the window ends.
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

// moveChannel closes a channel to a server that is being drained, or any channel while the proxy shuts down.
func (p *Planner) moveChannel(c *channel, kind Kind, actions []Action) []Action {
	if p.shuttingDown {
		return p.closeChannel(c, kind, frame.GoingAway, "proxy restarts", actions)
	}
	return p.closeChannel(c, kind, frame.ServiceRestart, "server drains", actions)
}

// closeChannel requests a Close for a channel, either for the first time or with more urgency than before.
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

// closeRemaining ends the channels that are left when a server's window ends. Each gets a Close at once, even in the
// middle of a message, and is aborted if it is still open CloseTimeout later.
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
