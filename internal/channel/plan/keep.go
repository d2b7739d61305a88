package plan

import (
	"time"

	"brasswell/internal/channel/frame"
)

// restAfter is how long an end has been quiet for its wait to be made cheap, which costs more than one read does.
const restAfter = 3 * time.Second

// lookEvery is how long a channel is not looked at: a frame may begin right after a look.
func (p *Planner) lookEvery() time.Duration { return min(p.set.PingInterval, p.set.FrameGrace) }

// keep looks at one channel: whether its ends live, get on with what they send, and use it at all.
//
// Pings guard against peers that are gone without a word (half-open connections) and should keep boxes on the way from
// forgetting a quiet one; they would harm an end that cannot answer within PongWithin. The pace of a frame guards
// against peers that hold a channel in the midst of one, where neither a ping nor a Close can be put in; it would harm
// one that begins a frame before it has what it says in it.
func (p *Planner) keep(now time.Duration, c *channel, a [NumSides]Activity, actions []Action) []Action {
	next := now + p.lookEvery()
	if spoke := max(a[Client].LastMessage, a[Server].LastMessage); p.set.IdleTimeout > 0 && !c.told {
		if now >= spoke+p.set.IdleTimeout {
			actions = p.end(c, CloseAfterMessage, frame.GoingAway, "idle", actions)
		} else {
			next = min(next, spoke+p.set.IdleTimeout)
		}
	}
	for side := range NumSides {
		at := &a[side]
		if at.Blocked {
			// Its sender cannot be heard over what waits; the one that does not take it is found by its own pings.
			c.pinged[side] = 0
			continue
		}
		if at.FrameStart > 0 {
			end := at.FrameStart + p.set.FrameGrace + time.Duration(float64(at.FrameBytes)/float64(p.set.MinFrameRate)*float64(time.Second))
			if now >= end {
				p.wheel.put(&c.entry, now, next)
				return append(actions, Action{ID: c.id, Kind: FrameTimeout, Side: side, Reason: "a frame that does not come to its end"})
			}
			next = min(next, end)
		}
		if !at.Parked && now >= at.LastRead+restAfter {
			actions = append(actions, Action{ID: c.id, Kind: Park, Side: side})
		}
		asked := c.pinged[side]
		switch {
		case asked > 0 && at.LastRead >= asked:
			c.pinged[side] = 0
			next = min(next, at.LastRead+p.set.PingInterval)
		case asked > 0 && now >= asked+p.set.PongTimeout:
			p.wheel.put(&c.entry, now, next)
			return append(actions, Action{ID: c.id, Kind: PeerTimeout, Side: side, Reason: "no sign of life"})
		case asked > 0:
			next = min(next, asked+p.set.PongTimeout)
		case now >= at.LastRead+p.set.PingInterval:
			c.pinged[side] = now
			next = min(next, now+p.set.PongTimeout)
			actions = append(actions, Action{ID: c.id, Kind: Ping, Side: side})
		default:
			next = min(next, at.LastRead+p.set.PingInterval)
		}
	}
	p.wheel.put(&c.entry, now, max(next, now+TickInterval))
	return actions
}
