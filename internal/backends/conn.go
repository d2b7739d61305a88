package backends

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"brasswell/internal/body"
	"brasswell/internal/framing"
	"brasswell/internal/linked"
	"brasswell/internal/memory"
)

// conn is one connection to a backend. It wraps the socket to observe what net/http does not report: whether the
// request's last byte may have been sent, and whether unsolicited bytes arrived.
type conn struct {
	net.Conn
	pool     *Pool
	endpoint Endpoint
	cc       *http.ClientConn
	framing  framing.Tracker // of the responses; used by the reading goroutine, and by others once that has finished

	lastWrite      atomic.Bool   // the next write contains the request's last byte
	writeBegun     atomic.Bool   // a write of this attempt has started
	released       atomic.Bool   // the attempt has ended, and no response is outstanding
	lastWriteBegun atomic.Bool   // the write with the request's last byte has started
	class          int           // the request's class
	fullyWritten   bool          // that write has succeeded and was reported; used by the writing goroutine
	writeWait      time.Duration // how long the writes took; used by the writing goroutine
	// permit is the attempt's permission to write its request. It is used by the writing goroutine, once the request is
	// handed over to it.
	permit     writePermit
	refusedErr atomic.Pointer[error] // why the request was not written, or not completely; nil if no write was refused
	// streaming is set while a message is forwarded as it arrives. Each read of the response and each write may then
	// take streamIdleTimeout, and the rest of a response has no other time limit.
	streaming         atomic.Bool
	streamingAnswer   atomic.Bool // the streamed message is the response
	streamIdleTimeout time.Duration
	headRefused       atomic.Bool // the account has no room for the response's head

	// Guarded by pool.mu.
	inRead       bool // a Read is waiting on the socket
	answerRead   bool // the response has been read; the connection is parked when the next Read begins
	parked       bool
	parkedAt     time.Time
	idleTimer    *time.Timer    // closes the connection when it has been idle for too long
	idleTimerSet bool           // idleTimer is running
	answer       answerWatch    // of the response
	charge       *answerCharge  // for the response's head, until takeCharge; nil while nothing is charged
	headTaken    bool           // takeCharge was called for this response
	delivery     *deliveryTimer // of the attempt; nil if there is none
	closed       bool

	linked.Links[conn] // links of the endpoint's idleList
}

func (c *conn) roundTrip(ctx context.Context, m *Message, permit writePermit) (*http.Response, error) {
	header := maps.Clone(m.Header)
	setRemaining(header, permit.announced.Announce)
	c.permit = permit
	c.class = m.Class
	c.startDeliveryTimer()
	req := &http.Request{Method: m.Method, URL: m.target(c.endpoint.Address), Host: m.Host, Header: header, Body: http.NoBody}
	if s := m.Body.Stream(); s != nil {
		c.startStreaming()
		req.Body = &streamReader{conn: c, reader: s.Reader(), length: s.Length()}
		req.ContentLength = s.Length()
	} else if m.Body.Size() > 0 {
		req.Body = &bodyReader{conn: c, data: m.Body.Data()}
		req.ContentLength = m.Body.Size()
	} else {
		c.lastWrite.Store(true)
	}
	return c.cc.RoundTrip(req.WithContext(ctx))
}

// target returns a URL that reproduces the request target of the caller's request line byte for byte. A path that
// begins with two slashes would be parsed as a host in URL.Opaque, so it is passed in the URL's separate fields.
func (m *Message) target(address string) *url.URL {
	u := *m.URL
	u.Scheme, u.Host, u.User, u.Fragment = "http", address, nil, ""
	if strings.HasPrefix(m.URI, "/") && !strings.HasPrefix(m.URI, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = m.URI, "", false
	}
	return &u
}

// Write checks the permit before the first byte of a request and before its last one; after a stall, this asks the
// attempt again. Unless the whole request is one write, its last byte is held back until the kernel has sent all others.
// In the kernel it could wait for a backend that reads slowly until it may no longer be sent.
func (c *conn) Write(b []byte) (n int, err error) {
	begun, last := c.writeBegun.Load(), c.lastWrite.Load() && !c.fullyWritten && len(b) > 0
	if begun && last {
		if n, err = c.writeSome(b[:len(b)-1]); err != nil {
			return n, err
		}
		if err = c.awaitLastByte(); err != nil {
			return n, err
		}
		b = b[n:]
	} else if !begun {
		if err = c.refuse(c.permit.revalidateBegin()); err != nil {
			return 0, err
		}
	}
	c.writeBegun.Store(true)
	if last {
		c.lastWriteBegun.Store(true)
	}
	m, err := c.writeSome(b)
	if last && err == nil {
		c.reportWritten()
	}
	return n + m, err
}

// writeSome writes to the socket and measures how long this takes.
func (c *conn) writeSome(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	begun := time.Now()
	if c.streaming.Load() {
		c.Conn.SetWriteDeadline(begun.Add(c.streamIdleTimeout))
	}
	n, err := c.Conn.Write(b)
	c.writeWait += time.Since(begun)
	return n, err
}

// awaitLastByte waits until a request's last byte can be sent without delay, and checks the permit.
func (c *conn) awaitLastByte() error {
	begun := time.Now()
	streaming := c.streaming.Load()
	idleTimeout := time.Duration(0)
	if streaming {
		idleTimeout = c.streamIdleTimeout
	}
	err := c.awaitSent(idleTimeout)
	c.writeWait += time.Since(begun)
	if err != nil {
		return err
	}
	c.permit.attempt.Written(c.writeWait)
	if streaming {
		return c.refuse(c.permit.revalidateComplete())
	}
	return c.refuse(c.permit.revalidateBegin())
}

// refuse records why a request was not written, or not completely.
func (c *conn) refuse(reason error) error {
	if reason != nil {
		c.refusedErr.Store(&reason)
	}
	return reason
}

// reportWritten reports that the request is written completely.
func (c *conn) reportWritten() {
	c.fullyWritten = true
	if onWritten := c.pool.onWritten; onWritten != nil {
		onWritten(c.class)
	}
}

// Read parks the connection once its response has been read and nothing more is buffered. If it were reused earlier,
// unsolicited bytes could be mistaken for the response to the next request. Bytes that arrive before this attempt has
// written anything cause an error, which closes the connection.
func (c *conn) Read(b []byte) (int, error) {
	p := c.pool
	p.mu.Lock()
	c.inRead = true
	parked := true
	if c.answerRead {
		c.answerRead = false
		parked = p.park(c)
	}
	p.mu.Unlock()
	if !parked {
		return 0, net.ErrClosed // net/http closes the connection
	}

	if c.streaming.Load() && c.writeBegun.Load() {
		c.setReadDeadline()
	}
	n, err := c.Conn.Read(b)

	p.mu.Lock()
	c.inRead = false
	stray := n > 0 && (c.parked || !c.writeBegun.Load())
	if c.parked {
		p.unpark(c)
	}
	p.mu.Unlock()
	if stray {
		return 0, errUnsolicited
	}
	if n > 0 {
		c.framing.Feed(b[:n])
		switch {
		case c.framing.TooManyFields():
			return 0, errTooManyFields
		case c.framing.InterimCount() > maxInterim:
			return 0, errTooManyInterim
		case !c.chargeHead(c.framing.Head()):
			c.headRefused.Store(true)
			return 0, errNoMemory
		case c.framing.AfterInterim():
			c.pauseAnswerWatch() // the final response may take long
		default:
			c.answerMoved()
		}
	}
	return n, err
}

// chargeHead charges what has come of the response's head. It reports false if the account has no room for it.
func (c *conn) chargeHead(head framing.HeadSize) bool {
	if memory.HeadBytes(head.Bytes, head.Fields) == 0 {
		return true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed || c.headTaken {
		return true
	}
	if c.charge == nil {
		c.charge = &answerCharge{account: c.pool.memory}
	}
	return c.charge.growHead(head)
}

// takeCharge returns what is charged for the response's head, which is released with the response from now on.
func (c *conn) takeCharge() *answerCharge {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	charge := c.charge
	c.charge, c.headTaken = nil, true
	return charge
}

// dropCharge returns what is charged for a head that nobody takes; pool.mu must be held.
func (c *conn) dropCharge() {
	c.charge.release()
	c.charge = nil
}

// startStreaming marks the connection as forwarding a message while it arrives.
func (c *conn) startStreaming() {
	c.pool.mu.Lock()
	if !c.streaming.Load() { // otherwise the request is streamed, and the writing goroutine uses the timeout
		c.streamIdleTimeout = c.pool.options.StreamIdleTimeout
	}
	c.pool.mu.Unlock()
	c.streaming.Store(true)
}

// setReadDeadline sets the deadline of the next read. Another goroutine may begin to stream the response meanwhile, which gives
// reads a deadline.
func (c *conn) setReadDeadline() {
	before := c.streamingAnswer.Load()
	c.Conn.SetReadDeadline(c.readDeadline())
	if !before && c.streamingAnswer.Load() {
		c.Conn.SetReadDeadline(c.readDeadline())
	}
}

// readDeadline returns the deadline of a read while a message is streamed. While only the request is streamed, there is
// none: the response may take all the time that the attempt has.
func (c *conn) readDeadline() time.Time {
	if c.streamingAnswer.Load() {
		return time.Now().Add(c.streamIdleTimeout)
	}
	return time.Time{}
}

// Close closes the socket and updates the pool's count of open connections. net/http calls it when it has finished with
// a connection.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	if !c.closed {
		c.closed = true
		c.pool.open--
		c.answer.end()
		c.answer.timer.Stop()
		c.dropCharge()
		c.idleTimer.Stop()
		c.stopDeliveryTimer()
		if c.parked {
			c.pool.unpark(c)
		}
	}
	c.pool.mu.Unlock()
	c.abortUnsent()
	return c.Conn.Close()
}

// reset prepares an idle connection for its next request.
func (c *conn) reset() {
	c.framing = framing.NewResponseTracker()
	c.writeBegun.Store(false)
	c.released.Store(false)
	c.lastWrite.Store(false)
	c.lastWriteBegun.Store(false)
	c.fullyWritten = false
	c.writeWait = 0
	c.refusedErr.Store(nil)
	if c.streaming.Swap(false) {
		c.streamingAnswer.Store(false)
		c.Conn.SetDeadline(time.Time{})
	}
}

// discard closes a connection that must not be reused. After a timeout, a cancellation, unsolicited bytes or a
// response that was not read to its end, the next bytes could be mistaken for the response to another request.
func (c *conn) discard() {
	c.cc.Close()
	c.Close()
}

// bodyReader reads a request's body for one attempt, and sets conn.lastWrite when it returns the last byte.
type bodyReader struct {
	conn *conn
	data []byte
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	if r.data = r.data[n:]; len(r.data) == 0 {
		r.conn.lastWrite.Store(true)
	}
	return n, nil
}

func (r *bodyReader) Close() error { return nil }

// streamReader reads a streamed body for one attempt, and sets conn.lastWrite when it returns the last byte. A body of
// unknown length is sent in chunks: what is written after its end is the terminating chunk.
type streamReader struct {
	conn   *conn
	reader *body.Reader
	length int64 // as announced; -1 if unknown
}

func (r *streamReader) Read(p []byte) (int, error) {
	n, last, err := r.reader.Read(p)
	if r.length < 0 {
		last = err == io.EOF
	}
	if last {
		r.conn.lastWrite.Store(true)
	}
	return n, err
}

func (r *streamReader) Close() error {
	r.reader.Close()
	return nil
}

// setRemaining sets the header that tells the backend how long the proxy will wait.
func setRemaining(header http.Header, left time.Duration) {
	header.Set("X-Remaining-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}
