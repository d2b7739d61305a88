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
func (p *Planner) move(now time.Duration, actions []Action) []Action {
	// Those that have least time go first. By id where it is equal: the order of a map must not decide.
	var leaving []*node
	for _, n := range p.nodes {
		if n.until > 0 && n.open > 0 {
			leaving = append(leaving, n)
		}
	}
	const rounding = 1e-6
	if leaving == nil {
		return actions
	}
	slices.SortFunc(leaving, func(a, b *node) int {
		if a.until != b.until {
			return int(a.until - b.until)
		}
		return strings.Compare(a.ID, b.ID)
	})
	rate := p.capacity(now)
	if p.leaving {
		rate = p.set.Rate // they come back by another proxy, whose servers we do not know
	}
	if now-p.moves.Updated > time.Second {
		p.moves = single(now) // nothing moved before: there is nothing to catch up on
	}
	p.moves.Refill(now, rate, max(burst*rate, 1))
	for _, n := range leaving {
		left := n.until - now
		if left <= 0 {
			actions = p.straggle(now, n, actions)
			continue
		}
		// The pace at which the last one goes a tick before the window ends.
		step := now - n.paced
		n.paced = now
		n.owed = min(n.owed+float64(n.staying)*step.Seconds()/max(left+step-TickInterval, step).Seconds(), float64(n.staying))
		for n.owed >= 1-rounding && n.staying > 0 && p.moves.Tokens >= 1 {
			n.owed--
			p.moves.Tokens--
			actions = p.tell(n.stay.Front(), CloseAfterMessage, actions)
		}
	}
	return actions
}

// tell makes a channel go whose server is to be left.
func (p *Planner) tell(c *channel, kind Kind, actions []Action) []Action {
	if p.leaving {
		return p.end(c, kind, frame.GoingAway, "proxy restarts", actions)
	}
	return p.end(c, kind, frame.ServiceRestart, "server drains", actions)
}

// end tells a channel to go, for the first time or more urgently.
func (p *Planner) end(c *channel, kind Kind, code frame.Code, text string, actions []Action) []Action {
	if !c.told {
		c.told = true
		c.node.stay.Remove(c)
		c.node.staying--
		c.node.going.Push(c)
	}
	c.pressed = kind == CloseNow
	return append(actions, Action{ID: c.id, Kind: kind, Code: code, Reason: text})
}

// straggle ends what a window has left: each channel is told now, within a message too, and what is still there once a
// Close has had its time is cut.
func (p *Planner) straggle(now time.Duration, n *node, actions []Action) []Action {
	for n.stay.Front() != nil {
		actions = p.tell(n.stay.Front(), CloseNow, actions)
	}
	over := now >= n.until+p.set.CloseTimeout
	for c := range n.going.All() {
		switch {
		case over && !c.cut:
			c.cut = true
			actions = append(actions, Action{ID: c.id, Kind: Abort, Reason: "left over when its server's window ended"})
		case !c.pressed:
			actions = p.tell(c, CloseNow, actions)
		}
	}
	return actions
}
