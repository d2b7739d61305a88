package plan

import (
	"time"

	"brasswell/internal/channel/frame"
)

// restAfter is how long an end has been quiet for its wait to be made cheap, which costs more than one read does.
const parkAfter = 3 * time.Second

// lookEvery is how long a channel is not looked at: a frame may begin right after a look.
func (p *Planner) checkInterval() time.Duration {
	return min(p.settings.PingInterval, p.settings.FrameGrace)
}

// keep looks at one channel: whether its ends live, get on with what they send, and use it at all.
//
// Pings guard against peers that are gone without a word (half-open connections) and should keep boxes on the way from
// forgetting a quiet one; they would harm an end that cannot answer within PongWithin. The pace of a frame guards
// against peers that hold a channel in the midst of one, where neither a ping nor a Close can be put in; it would harm
// one that begins a frame before it has what it says in it.
func (p *Planner) checkChannel(now time.Duration, c *channel, a [NumSides]Activity, actions []Action) []Action {
	next := now + p.checkInterval()
	if lastMessage := max(a[Client].LastMessage, a[Server].LastMessage); p.settings.IdleTimeout > 0 && !c.closeSent {
		if now >= lastMessage+p.settings.IdleTimeout {
			actions = p.closeChannel(c, CloseAfterMessage, frame.GoingAway, "idle", actions)
		} else {
			next = min(next, lastMessage+p.settings.IdleTimeout)
		}
	}
	for side := range NumSides {
		end := &a[side]
		if end.Blocked {
			// Its sender cannot be heard over what waits; the one that does not take it is found by its own pings.
			c.pinged[side] = 0
			continue
		}
		if end.FrameStart > 0 {
			frameDeadline := end.FrameStart + p.settings.FrameGrace + time.Duration(float64(end.FrameBytes)/float64(p.settings.MinFrameRate)*float64(time.Second))
			if now >= frameDeadline {
				p.wheel.put(&c.entry, now, next)
				return append(actions, Action{ID: c.id, Kind: FrameTimeout, Side: side, Reason: "a frame that does not come to its end"})
			}
			next = min(next, frameDeadline)
		}
		if !end.Parked && now >= end.LastRead+parkAfter {
			actions = append(actions, Action{ID: c.id, Kind: Park, Side: side})
		}
		pinged := c.pinged[side]
		switch {
		case pinged > 0 && end.LastRead >= pinged:
			c.pinged[side] = 0
			next = min(next, end.LastRead+p.settings.PingInterval)
		case pinged > 0 && now >= pinged+p.settings.PongTimeout:
			p.wheel.put(&c.entry, now, next)
			return append(actions, Action{ID: c.id, Kind: PeerTimeout, Side: side, Reason: "no sign of life"})
		case pinged > 0:
			next = min(next, pinged+p.settings.PongTimeout)
		case now >= end.LastRead+p.settings.PingInterval:
			c.pinged[side] = now
			next = min(next, now+p.settings.PongTimeout)
			actions = append(actions, Action{ID: c.id, Kind: Ping, Side: side})
		default:
			next = min(next, end.LastRead+p.settings.PingInterval)
		}
	}
	p.wheel.put(&c.entry, now, max(next, now+TickInterval))
	return actions
}
