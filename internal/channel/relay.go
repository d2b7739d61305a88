package channel

import (
	"errors"
	"sync/atomic"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/plan"
)

// relay is one open channel. Each direction has a goroutine that reads from one end and writes to the other. The proxy's
// own frames are written by any goroutine that holds the end's lock between two frames.
type relay struct {
	id     plan.ID
	table  *Table
	server string
	ends   [plan.NumSides]*end
	ping   [8]byte // the payload that identifies the proxy's own pings

	failed           atomic.Bool  // fail has been called
	activeDirections atomic.Int32 // directions that are not done yet
}

// pump forwards what one end sends to the other until one of them is closed or fails.
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
		// Data after a Close has no meaning. The other direction continues until the answer to the Close has
		// arrived, or its deadline has passed.
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

// park waits for data of a silent end. A goroutine that has forwarded data keeps a stack of 4 KiB. This one is new, calls
// hardly anything, and so keeps its initial stack of 2 KiB.
func (r *relay) park(from, to *end) {
	// If the wait fails, so does the next read.
	_ = from.raw.Read(from.peek)
	from.parked.Store(false)
	go r.pump(from, to)
}

// forward forwards the data of one end to the other. It returns errCloseReceived after the end's Close, errParked if the
// end is to be parked, or the error that ended it.
func (r *relay) forward(from, to *end) error {
	if len(from.unconsumed) > 0 { // data that followed the handshake
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

// process handles data that has been read from an end.
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
		case frame.AtBoundary: // forwardBytes has sent the waiting Close
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

// forwardBytes writes valid data of one end to the other.
func (r *relay) forwardBytes(from, to *end, b []byte) error {
	var taken bool
	var err error
	from.whileBlocked(func() { taken, err = to.write(b, !from.checker.AtFrameBoundary(), from.checker.InMessage()) })
	if err != nil {
		// The other end has failed. This one gets a Close, and is read until it answers.
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

// handleControl handles a complete control frame. It returns errCloseReceived after a Close.
func (r *relay) handleControl(from, to *end, raw []byte, f frame.Result) error {
	switch {
	case f.Opcode == frame.Pong && string(f.Payload) == string(r.ping[:]):
		return nil // the answer to the proxy's own ping
	case f.Opcode != frame.Close:
		return r.forwardBytes(from, to, raw)
	}
	from.mu.Lock()
	closedByProxy := from.closedByProxy
	from.mu.Unlock()
	switch {
	case closedByProxy: // the answer to the proxy's Close, of which the other end does not know yet
		to.sendClose(closeFrame{disconnectCode(from.side), "moved"}, false)
	case len(f.Payload) > 2:
		to.sendClose(closeFrame{f.Code, string(f.Payload[2:])}, false)
	default:
		to.sendClose(closeFrame{f.Code, ""}, false)
	}
	return errCloseReceived
}

// fail ends the channel because one end, bad, has failed. bad gets a Close with badCode, or none if badCode is 0 because
// it cannot be reached. The other end gets a Close with otherCode. An end within a frame cannot get a Close, and is
// disconnected.
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

// discard reads and drops data until the end closes or its deadline passes. Closing a socket with unread data would reset
// the connection, and the Close could be lost.
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

// maxDiscarded limits the data that an end may still send when it is no longer forwarded.
const maxDiscarded = 1 << 20

// start starts a goroutine for each direction.
func (r *relay) start() {
	client, server := r.ends[plan.Client], r.ends[plan.Server]
	r.activeDirections.Store(2)
	go r.pump(client, server)
	go r.pump(server, client)
}

// directionDone closes both ends when the last direction is done.
func (r *relay) directionDone() {
	if r.activeDirections.Add(-1) > 0 {
		return
	}
	for _, e := range r.ends {
		e.mu.Lock()
		if !e.midFrame {
			e.flushPending() // the last Close may not have been written completely
		}
		e.mu.Unlock()
		e.conn.Close()
	}
	r.table.relayDone(r)
}

// perform performs an action of the planner. It never waits for an end.
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
