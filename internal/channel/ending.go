package channel

import (
	"errors"
	"os"
	"time"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/plan"
)

// goodbye is a Close that the proxy sends of its own.
type closeFrame struct {
	code   frame.Code
	reason string
}

// goneCode is what the other end is told of one that left without a Close. Clients are to come again.
func disconnectCode(side plan.Side) frame.Code {
	if side == plan.Client {
		return frame.GoingAway
	}
	return frame.ServiceRestart
}

// lives notes that the end has taken what it had left standing.
func (e *end) markAlive() { e.lastRead.Store(int64(e.now())) }

// close writes a Close once no frame is in its way, unless one has been written; the answer has to come in time. It
// reports false where the end stands within a frame, so that nothing can be put in.
func (e *end) sendClose(f closeFrame, byProxy bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendCloseLocked(f, byProxy)
	return !e.midFrame || e.writing
}

func (e *end) sendCloseLocked(f closeFrame, byProxy bool) {
	if e.closing {
		return
	}
	e.closing, e.closedByProxy, e.deferredClose = true, byProxy, nil
	e.conn.SetReadDeadline(time.Now().Add(e.closeTimeout))
	if f.code == frame.NoStatus {
		e.writeControl(frame.AppendControl(nil, frame.Close, nil, e.maskKey()))
	} else {
		e.writeControl(frame.AppendClose(nil, f.code, f.reason, e.maskKey()))
	}
}

// closeAfterMessage has a Close written once the message at hand is over, or at once if none is.
func (e *end) closeAfterMessage(f closeFrame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.midMessage && !e.writing {
		e.sendCloseLocked(f, true)
	} else if !e.closing {
		e.deferredClose = &f
	}
}

// breakOff makes the read that waits for the end return, so that a cheaper wait takes its place.
func (e *end) requestPark() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closing && !e.parkRequested && !e.parked.Load() {
		e.parkRequested = true
		e.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// afterBreak takes in what a read returned with. It says whether the end may rest now, or else be read on: it was to
// rest, and a Close has been sent to it meanwhile, whose answer has a time of its own.
func (e *end) parkInterrupted(err error) (park, retry bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.parkRequested {
		return false, false
	}
	e.parkRequested = false
	if e.closing {
		return false, true
	}
	e.conn.SetReadDeadline(time.Time{})
	e.parked.Store(true)
	return true, false
}

// stopAt is where a Close that waits could be put in.
func (e *end) closeBoundary() frame.BoundaryKind {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.closing && e.midFrame:
		return frame.FrameEnd
	case e.deferredClose != nil:
		return frame.MessageEnd
	}
	return frame.NoBoundary
}

// leave ends the socket of an end that is gone.
func (e *end) disconnect() {
	e.mu.Lock()
	e.closing, e.disconnected = true, true
	e.mu.Unlock()
	e.conn.Close()
}
