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
	id     plan.ID
	table  *Table
	server string
	ends   [plan.NumSides]*end
	ping   [8]byte // the payload by which the proxy's own pings are known

	failed           atomic.Bool  // an end is at fault, and both have been told
	activeDirections atomic.Int32 // directions that are carried
}

// pump carries what one end sends to the other until either is over.
func (r *relay) pump(from, to *end) {
	err := r.forward(from, to)
	if err == errParked {
		go r.park(from, to)
		return
	}
	defer r.directionDone()
	var v *frame.Violation
	switch {
	case errors.Is(err, errCloseReceived):
		// Nothing that follows means anything. The other direction goes on until the answer has come, or its
		// time is over.
		return
	case errors.As(err, &v):
		r.table.protocolError(r, from, v)
		code := disconnectCode(from.side)
		if from.side == plan.Server {
			code = frame.InternalError
		}
		r.fail(from, v.Code, v.Reason, code, "the other end broke the protocol")
	default:
		r.fail(from, 0, "", disconnectCode(from.side), "the other end is gone")
	}
	r.discard(from)
}

// rest waits for an end that is quiet. A goroutine that has carried bytes has a stack of 4 KiB for good; this one is new,
// calls next to nothing, and keeps to the 2 KiB that it begins with.
func (r *relay) park(from, to *end) {
	// What is wrong with the wait, a read will find too.
	_ = from.raw.Read(from.peek)
	from.parked.Store(false)
	go r.pump(from, to)
}

// carry returns errClosed once the end's Close has gone on, or what was wrong.
func (r *relay) forward(from, to *end) error {
	if len(from.unconsumed) > 0 { // what came behind the handshake
		b := append([]byte(nil), from.unconsumed...)
		from.unconsumed = nil
		if err := r.process(from, to, b); err != nil {
			return err
		}
	}
	var stalled error
	waitWritable := func() {
		from.whileBlocked(func() { stalled = to.waitWritable() })
	}
	for {
		b, n, err := from.read(waitWritable)
		if stalled != nil {
			r.fail(to, 0, "", disconnectCode(to.side), "the other end takes nothing")
			stalled = nil
		}
		if err != nil {
			switch park, retry := from.parkInterrupted(err); {
			case park:
				return errParked
			case retry:
				continue
			}
			return err
		}
		from.lastRead.Store(int64(r.table.now()))
		start := frame.MaxUnconsumed - len(from.unconsumed)
		copy(b[start:], from.unconsumed)
		from.unconsumed = nil
		err = r.process(from, to, b[start:frame.MaxUnconsumed+n])
		from.buffers.put(b)
		if err != nil {
			return err
		}
	}
}

// take carries on some bytes that have been read.
func (r *relay) process(from, to *end, b []byte) error {
	for {
		result, v := from.checker.Scan(b, to.closeBoundary())
		if result.Pass > 0 {
			from.lastMessage.Store(from.lastRead.Load())
			if err := r.forwardBytes(from, to, b[:result.Pass]); err != nil {
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
				from.unconsumed = append([]byte(nil), b...)
			}
			from.trackFrame(r.table.now(), len(b) > 0)
			return nil
		case frame.AtBoundary: // pass has told the other end to go
		case frame.ControlFrame:
			if err := r.handleControl(from, to, b[:result.Size], result); err != nil {
				return err
			}
			b = b[result.Size:]
		case frame.AfterClose:
			return errCloseReceived
		}
	}
}

// pass writes sound bytes of one end to the other.
func (r *relay) forwardBytes(from, to *end, b []byte) error {
	var taken bool
	var err error
	from.whileBlocked(func() { taken, err = to.write(b, !from.checker.AtFrameBoundary(), from.checker.InMessage()) })
	if err != nil {
		// It is the other end that is gone: this one is told, and read on until it answers.
		r.fail(to, 0, "", disconnectCode(to.side), "the other end takes nothing")
	}
	if taken && err == nil {
		from.forwarded.Add(int64(len(b)))
		return nil
	}
	if from.discarded += len(b); from.discarded > maxDiscarded {
		return errTooMuchAfterClose
	}
	return nil
}

// control handles a whole control frame; errClosed after a Close.
func (r *relay) handleControl(from, to *end, raw []byte, f frame.Result) error {
	switch {
	case f.Opcode == frame.Pong && string(f.Payload) == string(r.ping[:]):
		return nil // the answer to the proxy's own
	case f.Opcode != frame.Close:
		return r.forwardBytes(from, to, raw)
	}
	from.mu.Lock()
	closedByProxy := from.closedByProxy
	from.mu.Unlock()
	switch {
	case closedByProxy: // its answer says nothing to the other end, which hears of it now
		to.sendClose(closeFrame{disconnectCode(from.side), "moved"}, false)
	case len(f.Payload) > 2:
		to.sendClose(closeFrame{f.Code, string(f.Payload[2:])}, false)
	default:
		to.sendClose(closeFrame{f.Code, ""}, false)
	}
	return errCloseReceived
}

// finish ends the channel for a fault of one end: bad is told badCode, or nothing for 0 since it is gone; the other
// end is told why. What stands within a frame cannot be told anything, and is closed.
func (r *relay) fail(bad *end, badCode frame.Code, badReason string, otherCode frame.Code, otherReason string) {
	if r.failed.Swap(true) {
		return
	}
	other := r.ends[1-bad.side]
	if badCode != 0 && bad.sendClose(closeFrame{badCode, badReason}, true) {
		bad.conn.CloseWrite()
	} else {
		bad.disconnect()
	}
	if !other.sendClose(closeFrame{otherCode, otherReason}, true) {
		other.disconnect()
	}
}

// drain reads on until the end closes or its time is over: a close of the socket with unread bytes would become a
// reset, and take the Close with it.
func (r *relay) discard(from *end) {
	for from.discarded <= maxDiscarded {
		b, n, err := from.read(nil)
		if err != nil {
			return
		}
		from.discarded += n
		from.buffers.put(b)
	}
}

// mostDropped bounds what an end may still send once nobody takes it any more.
const maxDiscarded = 1 << 20

// start carries the channel, in a goroutine for each direction.
func (r *relay) start() {
	client, server := r.ends[plan.Client], r.ends[plan.Server]
	r.activeDirections.Store(2)
	go r.pump(client, server)
	go r.pump(server, client)
}

// ended closes all once neither direction is carried any more.
func (r *relay) directionDone() {
	if r.activeDirections.Add(-1) > 0 {
		return
	}
	for _, e := range r.ends {
		e.mu.Lock()
		if !e.midFrame {
			e.flushPending() // the last Close may not have gone out at once
		}
		e.mu.Unlock()
		e.conn.Close()
	}
	r.table.relayDone(r)
}

// do carries one of the plan's actions out. It never waits for an end.
func (r *relay) perform(a plan.Action) {
	client := r.ends[plan.Client]
	switch a.Kind {
	case plan.Ping:
		r.ends[a.Side].ping(r.ping[:])
	case plan.Park:
		r.ends[a.Side].requestPark()
	case plan.CloseAfterMessage:
		client.closeAfterMessage(closeFrame{a.Code, a.Reason})
	case plan.CloseNow:
		if !client.sendClose(closeFrame{a.Code, a.Reason}, true) {
			client.disconnect()
		}
	case plan.Abort:
		for _, e := range r.ends {
			e.disconnect()
		}
	case plan.PeerTimeout:
		r.fail(r.ends[a.Side], 0, "", disconnectCode(a.Side), a.Reason)
	case plan.FrameTimeout:
		r.fail(r.ends[a.Side], frame.PolicyViolation, a.Reason, disconnectCode(a.Side), "the other end does not get on")
	}
}
