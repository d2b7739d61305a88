package channel

import (
	"errors"
	"sync/atomic"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/plan"
)

// relay is one open channel. Each direction has a goroutine that reads one end and writes to the other; frames that
// the proxy puts in itself are written by whoever finds the end's writing between two frames.
type relay struct {
	id    plan.ID
	table *Table
	node  string
	ends  [plan.NumSides]*end
	ping  [8]byte // the payload by which the proxy's own pings are known

	faulty  atomic.Bool  // an end is at fault, and both have been told
	pumping atomic.Int32 // directions that are carried
}

// pump carries what one end sends to the other until either is over.
func (r *relay) pump(from, to *end) {
	err := r.carry(from, to)
	if err == errRest {
		go r.rest(from, to)
		return
	}
	defer r.ended()
	var v *frame.Violation
	switch {
	case errors.Is(err, errClosed):
		// Nothing that follows means anything. The other direction goes on until the answer has come, or its
		// time is over.
		return
	case errors.As(err, &v):
		r.table.broke(r, from, v)
		code := goneCode(from.side)
		if from.side == plan.Server {
			code = frame.InternalError
		}
		r.finish(from, v.Code, v.Reason, code, "the other end broke the protocol")
	default:
		r.finish(from, 0, "", goneCode(from.side), "the other end is gone")
	}
	r.drain(from)
}

// rest waits for an end that is quiet. A goroutine that has carried bytes has a stack of 4 KiB for good; this one is new,
// calls next to nothing, and keeps to the 2 KiB that it begins with.
func (r *relay) rest(from, to *end) {
	// What is wrong with the wait, a read will find too.
	_ = from.raw.Read(from.peek)
	from.resting.Store(false)
	go r.pump(from, to)
}

// carry returns errClosed once the end's Close has gone on, or what was wrong.
func (r *relay) carry(from, to *end) error {
	if len(from.held) > 0 { // what came behind the handshake
		b := append([]byte(nil), from.held...)
		from.held = nil
		if err := r.take(from, to, b); err != nil {
			return err
		}
	}
	var stalled error
	room := func() {
		from.waitsFor(func() { stalled = to.room() })
	}
	for {
		b, n, err := from.read(room)
		if stalled != nil {
			r.finish(to, 0, "", goneCode(to.side), "the other end takes nothing")
			stalled = nil
		}
		if err != nil {
			switch rest, goOn := from.afterBreak(err); {
			case rest:
				return errRest
			case goOn:
				continue
			}
			return err
		}
		from.heard.Store(int64(r.table.now()))
		start := frame.MaxUnconsumed - len(from.held)
		copy(b[start:], from.held)
		from.held = nil
		err = r.take(from, to, b[start:frame.MaxUnconsumed+n])
		from.get.put(b)
		if err != nil {
			return err
		}
	}
}

// take carries on some bytes that have been read.
func (r *relay) take(from, to *end, b []byte) error {
	for {
		result, v := from.checker.Scan(b, to.stopAt())
		if result.Pass > 0 {
			from.spoke.Store(from.heard.Load())
			if err := r.pass(from, to, b[:result.Pass]); err != nil {
				return err
			}
			b = b[result.Pass:]
		}
		if v != nil {
			return v
		}
		switch result.Stop {
		case frame.NeedMore:
			if len(b) > 0 {
				from.held = append([]byte(nil), b...)
			}
			from.progress(r.table.now(), len(b) > 0)
			return nil
		case frame.AtBoundary: // pass has told the other end to go
		case frame.ControlFrame:
			if err := r.control(from, to, b[:result.Size], result); err != nil {
				return err
			}
			b = b[result.Size:]
		case frame.AfterClose:
			return errClosed
		}
	}
}

// pass writes sound bytes of one end to the other.
func (r *relay) pass(from, to *end, b []byte) error {
	var taken bool
	var err error
	from.waitsFor(func() { taken, err = to.write(b, !from.checker.AtFrameBoundary(), from.checker.InMessage()) })
	if err != nil {
		// It is the other end that is gone: this one is told, and read on until it answers.
		r.finish(to, 0, "", goneCode(to.side), "the other end takes nothing")
	}
	if taken && err == nil {
		from.bytes.Add(int64(len(b)))
		return nil
	}
	if from.dropped += len(b); from.dropped > mostDropped {
		return errTooMuch
	}
	return nil
}

// control handles a whole control frame; errClosed after a Close.
func (r *relay) control(from, to *end, raw []byte, f frame.Result) error {
	switch {
	case f.Opcode == frame.Pong && string(f.Payload) == string(r.ping[:]):
		return nil // the answer to the proxy's own
	case f.Opcode != frame.Close:
		return r.pass(from, to, raw)
	}
	from.mu.Lock()
	told := from.told
	from.mu.Unlock()
	switch {
	case told: // its answer says nothing to the other end, which hears of it now
		to.close(goodbye{goneCode(from.side), "moved"}, false)
	case len(f.Payload) > 2:
		to.close(goodbye{f.Code, string(f.Payload[2:])}, false)
	default:
		to.close(goodbye{f.Code, ""}, false)
	}
	return errClosed
}

// finish ends the channel for a fault of one end: bad is told badCode, or nothing for 0 since it is gone; the other
// end is told why. What stands within a frame cannot be told anything, and is closed.
func (r *relay) finish(bad *end, badCode frame.Code, badText string, otherCode frame.Code, otherText string) {
	if r.faulty.Swap(true) {
		return
	}
	other := r.ends[1-bad.side]
	if badCode != 0 && bad.close(goodbye{badCode, badText}, true) {
		bad.conn.CloseWrite()
	} else {
		bad.leave()
	}
	if !other.close(goodbye{otherCode, otherText}, true) {
		other.leave()
	}
}

// drain reads on until the end closes or its time is over: a close of the socket with unread bytes would become a
// reset, and take the Close with it.
func (r *relay) drain(from *end) {
	for from.dropped <= mostDropped {
		b, n, err := from.read(nil)
		if err != nil {
			return
		}
		from.dropped += n
		from.get.put(b)
	}
}

// mostDropped bounds what an end may still send once nobody takes it any more.
const mostDropped = 1 << 20

// start carries the channel, in a goroutine for each direction.
func (r *relay) start() {
	client, server := r.ends[plan.Client], r.ends[plan.Server]
	r.pumping.Store(2)
	go r.pump(client, server)
	go r.pump(server, client)
}

// ended closes all once neither direction is carried any more.
func (r *relay) ended() {
	if r.pumping.Add(-1) > 0 {
		return
	}
	for _, e := range r.ends {
		e.mu.Lock()
		if !e.within {
			e.flush() // the last Close may not have gone out at once
		}
		e.mu.Unlock()
		e.conn.Close()
	}
	r.table.closed(r)
}

// do carries one of the plan's actions out. It never waits for an end.
func (r *relay) do(a plan.Action) {
	client := r.ends[plan.Client]
	switch a.Kind {
	case plan.Ping:
		r.ends[a.Side].ask(r.ping[:])
	case plan.Park:
		r.ends[a.Side].breakOff()
	case plan.CloseAfterMessage:
		client.closeAfterMessage(goodbye{a.Code, a.Reason})
	case plan.CloseNow:
		if !client.close(goodbye{a.Code, a.Reason}, true) {
			client.leave()
		}
	case plan.Abort:
		for _, e := range r.ends {
			e.leave()
		}
	case plan.PeerTimeout:
		r.finish(r.ends[a.Side], 0, "", goneCode(a.Side), a.Reason)
	case plan.FrameTimeout:
		r.finish(r.ends[a.Side], frame.PolicyViolation, a.Reason, goneCode(a.Side), "the other end does not get on")
	}
}
