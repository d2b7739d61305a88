package front

import (
	"time"

	"brasswell/internal/body"
	"brasswell/internal/callers"
)

// arrivalCheckInterval is how often it is checked whether a body has arrived that is not read.
const arrivalCheckInterval = 100 * time.Millisecond

// arrivalWatch detects a body that has arrived although the proxy does not read it, because the server takes no bytes. The
// request's deadline would never start otherwise. It cannot detect the end of a body of unknown length.
type arrivalWatch struct {
	stream *body.Stream
	conn   *callers.Conn // nil if the caller's connection is not tracked
	ticker *time.Ticker  // tells when to call age

	arrived int64
	since   time.Time // when arrived has changed, or the body was last being read
}

// newArrivalWatch returns a watch whose ticker must be stopped.
func newArrivalWatch(stream *body.Stream, conn *callers.Conn) *arrivalWatch {
	return &arrivalWatch{stream: stream, conn: conn, ticker: time.NewTicker(arrivalCheckInterval), since: time.Now()}
}

// age returns how long ago the body's last byte arrived, or 0 if the body is being read or has not arrived. Bytes that
// net/http has buffered count as arrived.
func (w *arrivalWatch) age(now time.Time) time.Duration {
	if w.conn == nil {
		return 0
	}
	filled, blocked := w.stream.Blocked()
	unread, ok := w.conn.Unread()
	arrived := filled + int64(unread)
	whole := w.stream.Length() >= 0 && arrived+callers.MaxBuffered >= w.stream.Length()
	if !ok || !blocked || !whole || arrived != w.arrived {
		w.arrived, w.since = arrived, now
	}
	return now.Sub(w.since)
}
