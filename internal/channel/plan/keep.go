package plan

import (
	"time"

	"brasswell/internal/channel/frame"
)

// restAfter is how long an end has been quiet for its wait to be made cheap, which costs more than one read does.
const parkAfter = 3 * time.Second

// lookEvery is how long a channel is not looked at: a frame may begin right after a look.
func (p *Plan) checkInterval() time.Duration { return min(p.settings.PingEvery, p.settings.FrameGrace) }

// keep looks at one channel: whether its ends live, get on with what they send, and use it at all.
//
// Pings guard against peers that are gone without a word (half-open connections) and should keep boxes on the way from
// forgetting a quiet one; they would harm an end that cannot answer within PongWithin. The pace of a frame guards
// against peers that hold a channel in the midst of one, where neither a ping nor a Close can be put in; it would harm
// one that begins a frame before it has what it says in it.
func (p *Plan) checkChannel(now time.Duration, c *channel, a [Sides]Activity, actions []Action) []Action {
	next := now + p.checkInterval()
	if lastMessage := max(a[Client].Spoke, a[Server].Spoke); p.settings.IdleEnd > 0 && !c.closeSent {
		if now >= lastMessage+p.settings.IdleEnd {
			actions = p.closeChannel(c, Go, frame.GoingAway, "idle", actions)
		} else {
			next = min(next, lastMessage+p.settings.IdleEnd)
		}
	}
	for side := range Sides {
		end := &a[side]
		if end.Held {
			// Its sender cannot be heard over what waits; the one that does not take it is found by its own pings.
			c.pinged[side] = 0
			continue
		}
		if end.FrameSince > 0 {
			frameDeadline := end.FrameSince + p.settings.FrameGrace + time.Duration(float64(end.FrameBytes)/float64(p.settings.FrameRate)*float64(time.Second))
			if now >= frameDeadline {
				p.wheel.put(&c.entry, now, next)
				return append(actions, Action{ID: c.id, Kind: Slow, Side: side, Text: "a frame that does not come to its end"})
			}
			next = min(next, frameDeadline)
		}
		if !end.Resting && now >= end.Heard+parkAfter {
			actions = append(actions, Action{ID: c.id, Kind: Rest, Side: side})
		}
		pinged := c.pinged[side]
		switch {
		case pinged > 0 && end.Heard >= pinged:
			c.pinged[side] = 0
			next = min(next, end.Heard+p.settings.PingEvery)
		case pinged > 0 && now >= pinged+p.settings.PongWithin:
			p.wheel.put(&c.entry, now, next)
			return append(actions, Action{ID: c.id, Kind: Dead, Side: side, Text: "no sign of life"})
		case pinged > 0:
			next = min(next, pinged+p.settings.PongWithin)
		case now >= end.Heard+p.settings.PingEvery:
			c.pinged[side] = now
			next = min(next, now+p.settings.PongWithin)
			actions = append(actions, Action{ID: c.id, Kind: Ping, Side: side})
		default:
			next = min(next, end.Heard+p.settings.PingEvery)
		}
	}
	p.wheel.put(&c.entry, now, max(next, now+TickEvery))
	return actions
}
