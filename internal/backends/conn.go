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
)

// conn is one connection to a backend. It wraps the socket to observe what net/http does not report: whether the
// request's last byte may have been sent, and whether unsolicited bytes arrived.
type conn struct {
	net.Conn
	pool     *Pool
	endpoint Endpoint
	cc       *http.ClientConn
	framing  framing.Tracker // of the responses; used by the reading goroutine, and by others once that has finished

	lastWrite      atomic.Bool // the next write may contain the request's last byte
	writeBegun     atomic.Bool // a write of this attempt has started
	lastWriteBegun atomic.Bool // the write with the request's last byte has started
	class          int         // the request's class
	fullyWritten   bool        // that write has succeeded and was reported; used by the writing goroutine
	// permit is the attempt's permission to write its request. It is used by the writing goroutine, once the request is
	// handed over to it.
	permit     writePermit
	refusedErr atomic.Pointer[error] // why the request was not written, or not completely; nil if no write was refused
	// streaming is set while a message is forwarded as it arrives. Each read of the response and each write may then
	// take streamIdleTimeout, and the rest of a response has no other time limit.
	streaming         atomic.Bool
	streamingAnswer   atomic.Bool // the streamed message is the response
	streamIdleTimeout time.Duration

	// Guarded by pool.mu.
	inRead         bool // a Read is waiting on the socket
	answerRead     bool // the response has been read; the connection is parked when the next Read begins
	parked         bool
	parkedAt       time.Time
	idleTimer      *time.Timer // closes the connection when it has been idle for too long
	idleTimerSet   bool        // idleTimer is running
	answerTimer    *time.Timer // closes the connection if a response has begun and stalls
	answerTimerSet bool        // answerTimer is running
	answerDeadline time.Time   // when the response's next byte is due; zero if no response has begun
	closed         bool

	linked.Links[conn] // links of the endpoint's idleList
}

func (c *conn) roundTrip(ctx context.Context, m *Message, permit writePermit) (*http.Response, error) {
	header := maps.Clone(m.Header)
	setRemaining(header, permit.announced)
	c.permit = permit
	c.class = m.Class
	req := &http.Request{Method: m.Method, URL: m.target(c.endpoint.Address), Host: m.Host, Header: header, Body: http.NoBody}
	if s := m.Body.Stream(); s != nil {
		c.startStreaming()
		req.Body = &streamReader{conn: c, reader: s.Reader()}
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

// mayWrite checks the permit before the first byte of a request and before its last one; after a stall, this asks the
// attempt again. The last byte of a streamed request isn't checked: it may follow seconds after the first one, and the
// server has the request by then.
func (c *conn) mayWrite(last bool) error {
	if c.writeBegun.Load() && (!last || c.streaming.Load() || c.fullyWritten) {
		return nil
	}
	err := c.permit.revalidate()
	if err != nil {
		c.refusedErr.Store(&err)
	}
	return err
}

func (c *conn) Write(b []byte) (int, error) {
	last := c.lastWrite.Load()
	if err := c.mayWrite(last); err != nil {
		return 0, err
	}
	c.writeBegun.Store(true)
	if last {
		c.lastWriteBegun.Store(true)
	}
	if c.streaming.Load() {
		c.Conn.SetWriteDeadline(time.Now().Add(c.streamIdleTimeout))
	}
	n, err := c.Conn.Write(b)
	if last && err == nil && !c.fullyWritten {
		c.fullyWritten = true
		if onWritten := c.pool.onWritten; onWritten != nil {
			onWritten(c.class)
		}
	}
	return n, err
}

// Read parks the connection once its response has been read and nothing more is buffered. If it were reused earlier,
// unsolicited bytes could be mistaken for the response to the next request. Bytes that arrive before this attempt has
// written anything cause an error, which closes the connection.
func (c *conn) Read(b []byte) (int, error) {
	p := c.pool
	p.mu.Lock()
	c.inRead = true
	if c.answerRead {
		c.answerRead = false
		p.park(c)
	}
	p.mu.Unlock()

	if c.streaming.Load() && c.writeBegun.Load() {
		c.Conn.SetReadDeadline(c.readDeadline())
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
		case c.framing.InterimCount() > maxInterim:
			return 0, errTooManyInterim
		case c.framing.AfterInterim():
			c.clearAnswerDeadline() // the final response may take long
		default:
			c.startAnswerTimer()
		}
	}
	return n, err
}

// startStreaming marks the connection as forwarding a message while it arrives.
func (c *conn) startStreaming() {
	c.pool.mu.Lock()
	c.streamIdleTimeout = c.pool.options.StreamIdleTimeout
	c.answerDeadline = time.Time{}
	c.pool.mu.Unlock()
	c.streaming.Store(true)
}

// readDeadline returns the deadline of a read while a message is streamed. While only the request is streamed, there is
// none: the response may take all the time that the attempt has.
func (c *conn) readDeadline() time.Time {
	if c.streamingAnswer.Load() {
		return time.Now().Add(c.streamIdleTimeout)
	}
	return time.Time{}
}

// startAnswerTimer requires the next byte of a response that has begun within Options.AnswerTimeout.
func (c *conn) startAnswerTimer() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed || c.streaming.Load() {
		return
	}
	c.answerDeadline = time.Now().Add(c.pool.options.AnswerTimeout)
	if !c.answerTimerSet {
		c.answerTimerSet = true
		c.answerTimer.Reset(c.pool.options.AnswerTimeout)
	}
}

func (c *conn) clearAnswerDeadline() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.answerDeadline = time.Time{}
}

// onAnswerTimer closes the connection if the response's next byte is overdue. Like idleTimer, answerTimer is not
// stopped when a response ends: when it fires, it checks whether another response has begun, and continues for that
// one.
func (c *conn) onAnswerTimer() {
	c.pool.mu.Lock()
	c.answerTimerSet = false
	over := false
	if !c.answerDeadline.IsZero() && !c.closed {
		if left := time.Until(c.answerDeadline); left > 0 {
			c.answerTimerSet = true
			c.answerTimer.Reset(left)
		} else {
			over = true
		}
	}
	c.pool.mu.Unlock()
	if over {
		c.discard()
	}
}

// Close closes the socket and updates the pool's count of open connections. net/http calls it when it has finished with
// a connection.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	if !c.closed {
		c.closed = true
		c.pool.open--
		c.answerTimer.Stop()
		c.idleTimer.Stop()
		if c.parked {
			c.pool.unpark(c)
		}
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// reset prepares an idle connection for its next request.
func (c *conn) reset() {
	c.framing = framing.Tracker{}
	c.writeBegun.Store(false)
	c.lastWrite.Store(false)
	c.lastWriteBegun.Store(false)
	c.fullyWritten = false
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

// streamReader reads a streamed body for one attempt, and sets conn.lastWrite when it returns the last byte.
type streamReader struct {
	conn   *conn
	reader *body.Reader
}

func (r *streamReader) Read(p []byte) (int, error) {
	n, last, err := r.reader.Read(p)
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
