package channel

import (
	"errors"
	"os"
	"time"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/plan"
)

// goodbye is a Close that the proxy sends of its own.
type goodbye struct {
	code frame.Code
	text string
}

// goneCode is what the other end is told of one that left without a Close. Clients are to come again.
func goneCode(side plan.Side) frame.Code {
	if side == plan.Client {
		return frame.GoingAway
	}
	return frame.ServiceRestart
}

// lives notes that the end has taken what it had left standing.
func (e *end) lives() { e.heard.Store(int64(e.now())) }

// close writes a Close once no frame is in its way, unless one has been written; the answer has to come in time. It
// reports false where the end stands within a frame, so that nothing can be put in.
func (e *end) close(g goodbye, told bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeLocked(g, told)
	return !e.within || e.writing
}

func (e *end) closeLocked(g goodbye, told bool) {
	if e.closing {
		return
	}
	e.closing, e.told, e.wanted = true, told, nil
	e.conn.SetReadDeadline(time.Now().Add(e.closeWithin))
	if g.code == frame.NoStatus {
		e.put(frame.AppendControl(nil, frame.Close, nil, e.newMask()))
	} else {
		e.put(frame.AppendClose(nil, g.code, g.text, e.newMask()))
	}
}

// closeAfterMessage has a Close written once the message at hand is over, or at once if none is.
func (e *end) closeAfterMessage(g goodbye) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.open && !e.writing {
		e.closeLocked(g, true)
	} else if !e.closing {
		e.wanted = &g
	}
}

// breakOff makes the read that waits for the end return, so that a cheaper wait takes its place.
func (e *end) breakOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closing && !e.toRest && !e.resting.Load() {
		e.toRest = true
		e.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// afterBreak takes in what a read returned with. It says whether the end may rest now, or else be read on: it was to
// rest, and a Close has been sent to it meanwhile, whose answer has a time of its own.
func (e *end) afterBreak(err error) (rest, goOn bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.toRest {
		return false, false
	}
	e.toRest = false
	if e.closing {
		return false, true
	}
	e.conn.SetReadDeadline(time.Time{})
	e.resting.Store(true)
	return true, false
}

// stopAt is where a Close that waits could be put in.
func (e *end) stopAt() frame.BoundaryKind {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.closing && e.within:
		return frame.FrameEnd
	case e.wanted != nil:
		return frame.MessageEnd
	}
	return frame.NoBoundary
}

// leave ends the socket of an end that is gone.
func (e *end) leave() {
	e.mu.Lock()
	e.closing, e.gone = true, true
	e.mu.Unlock()
	e.conn.Close()
}
