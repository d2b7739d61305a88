package front

import (
	"time"

	"brasswell/internal/body"
	"brasswell/internal/callers"
)

const (
	// arrivalCheckInterval is how often a body is checked that is not read, because the server takes no bytes.
	arrivalCheckInterval = 100 * time.Millisecond
	// maxSenderBuffer is the most bytes that a caller's own system holds of what the caller has written: the default
	// maximum of a Linux socket's send buffer.
	maxSenderBuffer = 4 << 20
)

// arrivalWatch determines when a body has arrived that the proxy cannot read, because the server is slower than the
// caller. The request's time would otherwise begin only when the server has taken most of it, or never.
//
// It guards against answers that come after the caller has left. A body whose end stands in the socket or in net/http's
// buffer has arrived. If bytes stand in the socket and the end is not among them, the caller may have written the end as
// well: its own system holds it until the proxy reads. Such a body is assumed to be complete once it has been held up for as
// long as the caller waits for an answer. This fails requests of callers that were still writing, if their server takes that
// long for a few MiB.
type arrivalWatch struct {
	stream   *body.Stream
	conn     *callers.Conn // nil if the caller's connection is not tracked
	ticker   *time.Ticker  // tells when to call check
	patience time.Duration // how long the caller waits for its answer

	arrived     int64
	movedAt     time.Time // when arrived has changed, or the body was last being read
	held        bool      // the server is slower than the caller
	heldSince   time.Time // the last check before that was so
	emptyChecks int       // number of checks in a row at which the socket was empty
}

// emptyChecksToEnd is the number of checks in a row with an empty socket that show that the caller has sent no more. After
// a single one, bytes may be on their way that had no room before.
const emptyChecksToEnd = 2

// newArrivalWatch returns a watch whose ticker must be stopped.
func newArrivalWatch(stream *body.Stream, conn *callers.Conn, patience time.Duration) *arrivalWatch {
	now := time.Now()
	return &arrivalWatch{
		stream: stream, conn: conn, ticker: time.NewTicker(arrivalCheckInterval), patience: patience, movedAt: now, heldSince: now,
	}
}

// check reports whether the body has arrived, or has to be treated so, and how long ago.
func (w *arrivalWatch) check(now time.Time) (age time.Duration, arrived bool) {
	if w.conn == nil {
		return 0, false
	}
	filled, blocked := w.stream.Blocked()
	unread, ok := w.conn.Unread()
	if ok && blocked && w.endInSocket(filled) {
		return max(w.conn.SinceLastData(), w.heldUp(now)), true
	}
	w.update(now, blocked && ok, filled, unread)
	if !w.held || !blocked || unread == 0 {
		return 0, false
	}
	age = now.Sub(w.waitingSince())
	return age, age >= w.patience
}

// update records what a check has found: whether the stream is blocked, and how much has been read and stands in the socket.
func (w *arrivalWatch) update(now time.Time, blocked bool, filled int64, unread int) {
	if arrived := filled + int64(unread); arrived != w.arrived || !blocked {
		w.arrived, w.movedAt = arrived, now
	}
	if w.emptyChecks++; unread > 0 {
		w.emptyChecks = 0
	}
	switch {
	case blocked && unread > 0:
		w.held = true
	case w.emptyChecks >= emptyChecksToEnd:
		w.held = false
	}
	if !w.held || w.mustBeWriting() {
		w.heldSince = now
	}
}

// mustBeWriting reports whether more of the body is missing than the caller's own system holds.
func (w *arrivalWatch) mustBeWriting() bool {
	length := w.stream.Length()
	return length >= 0 && length-w.arrived > maxSenderBuffer
}

// endInSocket reports whether the body's last byte stands in the socket. filled is how much had been read before.
func (w *arrivalWatch) endInSocket(filled int64) bool {
	if !w.conn.RequestArrived() {
		return false
	}
	after, blocked := w.stream.Blocked()
	return blocked && after == filled // nothing was read meanwhile
}

// heldUp returns how long the body has been held up until now. If its end arrives then, the caller may have written it when
// that began.
func (w *arrivalWatch) heldUp(now time.Time) time.Duration {
	if !w.held {
		return 0
	}
	if w.mustBeWriting() {
		return 0
	}
	return now.Sub(w.waitingSince())
}

// waitingSince returns since when the caller may have been waiting for its answer, although the body's end has not
// arrived.
func (w *arrivalWatch) waitingSince() time.Time {
	if w.stream.Length() < 0 && w.arrived > maxSenderBuffer {
		return w.movedAt // the caller must have been writing while the server took the beginning
	}
	return w.heldSince
}
