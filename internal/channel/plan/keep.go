package plan

import (
	"time"

	"brasswell/internal/channel/frame"
)

// restAfter is how long an end has been quiet for its wait to be made cheap, which costs more than one read does.
const restAfter = 3 * time.Second

// lookEvery is how long a channel is not looked at: a frame may begin right after a look.
func (p *Plan) lookEvery() time.Duration { return min(p.set.PingEvery, p.set.FrameGrace) }

// keep looks at one channel: whether its ends live, get on with what they send, and use it at all.
//
// Pings guard against peers that are gone without a word (half-open connections) and should keep boxes on the way from
// forgetting a quiet one; they would harm an end that cannot answer within PongWithin. The pace of a frame guards
// against peers that hold a channel in the midst of one, where neither a ping nor a Close can be put in; it would harm
// one that begins a frame before it has what it says in it.
func (p *Plan) keep(now time.Duration, c *channel, a [Sides]Activity, actions []Action) []Action {
	next := now + p.lookEvery()
	if spoke := max(a[Client].Spoke, a[Server].Spoke); p.set.IdleEnd > 0 && !c.told {
		if now >= spoke+p.set.IdleEnd {
			actions = p.end(c, Go, frame.GoingAway, "idle", actions)
		} else {
			next = min(next, spoke+p.set.IdleEnd)
		}
	}
	for side := range Sides {
		at := &a[side]
		if at.Held {
			// Its sender cannot be heard over what waits; the one that does not take it is found by its own pings.
			c.pinged[side] = 0
			continue
		}
		if at.FrameSince > 0 {
			end := at.FrameSince + p.set.FrameGrace + time.Duration(float64(at.FrameBytes)/float64(p.set.FrameRate)*float64(time.Second))
			if now >= end {
				p.wheel.put(&c.entry, now, next)
				return append(actions, Action{ID: c.id, Kind: Slow, Side: side, Text: "a frame that does not come to its end"})
			}
			next = min(next, end)
		}
		if !at.Resting && now >= at.Heard+restAfter {
			actions = append(actions, Action{ID: c.id, Kind: Rest, Side: side})
		}
		asked := c.pinged[side]
		switch {
		case asked > 0 && at.Heard >= asked:
			c.pinged[side] = 0
			next = min(next, at.Heard+p.set.PingEvery)
		case asked > 0 && now >= asked+p.set.PongWithin:
			p.wheel.put(&c.entry, now, next)
			return append(actions, Action{ID: c.id, Kind: Dead, Side: side, Text: "no sign of life"})
		case asked > 0:
			next = min(next, asked+p.set.PongWithin)
		case now >= at.Heard+p.set.PingEvery:
			c.pinged[side] = now
			next = min(next, now+p.set.PongWithin)
			actions = append(actions, Action{ID: c.id, Kind: Ping, Side: side})
		default:
			next = min(next, at.Heard+p.set.PingEvery)
		}
	}
	p.wheel.put(&c.entry, now, max(next, now+TickEvery))
	return actions
}
