package channel

import (
	"errors"
	"os"
	"time"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/plan"
)

// closeFrame holds the code and the reason of a Close that the proxy writes.
type closeFrame struct {
	code   frame.Code
	reason string
}

// disconnectCode returns the code for the other end when the given side left without a Close. ServiceRestart asks clients
// to reconnect.
func disconnectCode(side plan.Side) frame.Code {
	if side == plan.Client {
		return frame.GoingAway
	}
	return frame.ServiceRestart
}

// markAlive records that the end is alive, because it has accepted data for which it kept the proxy waiting.
func (e *end) markAlive() { e.lastRead.Store(int64(e.now())) }

// sendClose writes a Close as soon as no frame is in progress, unless a Close was sent before, and sets the deadline for
// its answer. It returns false if the last write ended within a frame and no write is running, so that nothing can be
// inserted.
func (e *end) sendClose(f closeFrame, byProxy bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendCloseLocked(f, byProxy)
	return !e.midFrame || e.writing
}

// sendCloseLocked is sendClose with e.mu held.
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

// closeAfterMessage sends a Close after the current message, or at once if there is none.
func (e *end) closeAfterMessage(f closeFrame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.midMessage && !e.writing {
		e.sendCloseLocked(f, true)
	} else if !e.closing {
		e.deferredClose = &f
	}
}

// requestPark interrupts the read that waits for the end, so that park can replace it with a cheaper wait.
func (e *end) requestPark() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closing && !e.parkRequested && !e.parked.Load() {
		e.parkRequested = true
		e.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// parkInterrupted handles the error that a read returned. If requestPark interrupted the read, park is true if the end
// may be parked now, and retry is true if it must be read again, because a Close was sent meanwhile. The read deadline
// is then the one for the answer to the Close.
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

// closeBoundary returns the kind of boundary at which a waiting Close could be inserted.
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

// disconnect closes the socket of the end without a Close.
func (e *end) disconnect() {
	e.mu.Lock()
	e.closing, e.disconnected = true, true
	e.mu.Unlock()
	e.conn.Close()
}
