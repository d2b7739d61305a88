package plan

import (
	"time"

	"brasswell/internal/channel/frame"
)

// parkAfter is how long an end must have been silent before it is parked. Parking an end costs more than one read does.
const parkAfter = 3 * time.Second

// checkInterval returns the longest time between two checks of a channel. It is no longer than FrameGrace, because a
// frame may begin right after a check.
func (p *Planner) checkInterval() time.Duration {
	return min(p.settings.PingInterval, p.settings.FrameGrace)
}

// checkChannel checks one channel: whether both ends are alive, whether they finish the frames that they have begun, and
// whether the channel is idle.
//
// Pings detect peers that are gone without closing (half-open connections), and should keep middleboxes from dropping
// the state of an idle connection. They are wrong for an end that cannot answer within PongTimeout. The minimum rate of a
// frame guards against peers that stop in the middle of one, where the proxy can insert neither a ping nor a Close. It is
// wrong for a peer that begins a frame before it has the payload.
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
			// Answers of this end cannot be read while its data waits for the other end. If the other end is dead, the
			// pings to that end show it.
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
