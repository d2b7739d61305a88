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

// conn is one connection to a backend. The socket is wrapped to see what net/http does not tell: whether the
// request's last byte may be out, and whether bytes came that answer nothing.
type conn struct {
	net.Conn
	pool     *Pool
	endpoint Endpoint
	cc       *http.ClientConn
	framing  framing.Tracker // of the answers; used by the one that reads, and once it is done

	last  atomic.Bool // the next write may hold the request's last byte
	wrote atomic.Bool // a write of this attempt has begun
	began atomic.Bool // the write with the request's last byte has begun
	class int         // of the request
	whole bool        // that write is over, and has been told of; used by the one that writes
	// beginning is what the attempt has said before its request is written; used by the one that writes, once the request is handed to it.
	beginning beginning
	refusal   atomic.Pointer[error] // why nothing more of the request was written; nil where all was
	// streams says that a message is passed on while it comes: each read and write may wait for silence, and the
	// rest of an answer is not timed beyond that.
	streams   atomic.Bool
	answering atomic.Bool // it is the answer that streams
	silence   time.Duration

	// Guarded by pool.mu.
	inRead   bool // a Read waits on the socket
	done     bool // the answer is read; to be parked once a Read waits
	parked   bool
	parkedAt time.Time
	retire   *time.Timer // ends it when it has idled for too long
	retiring bool        // retire runs
	rest     *time.Timer // ends an answer that has begun and does not go on
	resting  bool        // rest runs
	restEnd  time.Time   // by when the answer must have ended; zero while none has begun
	closed   bool

	linked.Links[conn] // in its idleList
}

func (c *conn) roundTrip(ctx context.Context, m *Message, b beginning) (*http.Response, error) {
	header := maps.Clone(m.Header)
	setRemaining(header, b.told)
	c.beginning = b
	c.class = m.Class
	req := &http.Request{Method: m.Method, URL: m.target(c.endpoint.Address), Host: m.Host, Header: header, Body: http.NoBody}
	if s := m.Body.Stream(); s != nil {
		c.stream()
		req.Body = &streamReader{conn: c, reader: s.Reader()}
		req.ContentLength = s.Length()
	} else if m.Body.Size() > 0 {
		req.Body = &bodyReader{conn: c, data: m.Body.Data()}
		req.ContentLength = m.Body.Size()
	} else {
		c.last.Store(true)
	}
	return c.cc.RoundTrip(req.WithContext(ctx))
}

// target repeats the caller's request line to the byte. A path that begins with two slashes would be taken
// for a host there, so it goes by its parts.
func (m *Message) target(address string) *url.URL {
	u := *m.URL
	u.Scheme, u.Host, u.User, u.Fragment = "http", address, nil, ""
	if strings.HasPrefix(m.URI, "/") && !strings.HasPrefix(m.URI, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = m.URI, "", false
	}
	return &u
}

// mayWrite asks the attempt again, behind a hold-up, before the first byte of its request and before the last one. Of a request that is
// passed on while it comes the last byte may be seconds behind the first: its server has it by then.
func (c *conn) mayWrite(last bool) error {
	if c.wrote.Load() && (!last || c.streams.Load() || c.whole) {
		return nil
	}
	err := c.beginning.hold()
	if err != nil {
		c.refusal.Store(&err)
	}
	return err
}

func (c *conn) Write(b []byte) (int, error) {
	last := c.last.Load()
	if err := c.mayWrite(last); err != nil {
		return 0, err
	}
	c.wrote.Store(true)
	if last {
		c.began.Store(true)
	}
	if c.streams.Load() {
		c.Conn.SetWriteDeadline(time.Now().Add(c.silence))
	}
	n, err := c.Conn.Write(b)
	if last && err == nil && !c.whole {
		c.whole = true
		if told := c.pool.written; told != nil {
			told(c.class)
		}
	}
	return n, err
}

// Read parks the connection once its answer is read and nothing more is buffered: until then bytes that
// belong to no answer could pass for that of the next request. Bytes that come before this attempt has
// written anything end the connection.
func (c *conn) Read(b []byte) (int, error) {
	p := c.pool
	p.mu.Lock()
	c.inRead = true
	if c.done {
		c.done = false
		p.park(c)
	}
	p.mu.Unlock()

	if c.streams.Load() && c.wrote.Load() {
		c.Conn.SetReadDeadline(c.patience())
	}
	n, err := c.Conn.Read(b)

	p.mu.Lock()
	c.inRead = false
	stray := n > 0 && (c.parked || !c.wrote.Load())
	if c.parked {
		p.unpark(c)
	}
	p.mu.Unlock()
	if stray {
		return 0, errStray
	}
	if n > 0 {
		c.framing.Feed(b[:n])
		switch {
		case c.framing.InterimCount() > maxInterim:
			return 0, errInterim
		case c.framing.AfterInterim():
			c.unwatchRest() // the answer proper may be far off
		default:
			c.watchRest()
		}
	}
	return n, err
}

// stream says that from now on a message is passed on while it comes.
func (c *conn) stream() {
	c.pool.mu.Lock()
	c.silence = c.pool.options.StreamIdleTimeout
	c.restEnd = time.Time{}
	c.pool.mu.Unlock()
	c.streams.Store(true)
}

// patience is by when a read must bring something: the answer to a request that is still on its way has all the time
// that the attempt has.
func (c *conn) patience() time.Time {
	if c.answering.Load() {
		return time.Now().Add(c.silence)
	}
	return time.Time{}
}

// watchRest gives an answer that has begun Options.AnswerTimeout to bring its next byte.
func (c *conn) watchRest() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed || c.streams.Load() {
		return
	}
	c.restEnd = time.Now().Add(c.pool.options.AnswerTimeout)
	if !c.resting {
		c.resting = true
		c.rest.Reset(c.pool.options.AnswerTimeout)
	}
}

func (c *conn) unwatchRest() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.restEnd = time.Time{}
}

// restOver ends the answer whose time is over. Like retire, its timer is not stopped when an answer ends: it looks
// whether another has begun.
func (c *conn) restOver() {
	c.pool.mu.Lock()
	c.resting = false
	over := false
	if !c.restEnd.IsZero() && !c.closed {
		if left := time.Until(c.restEnd); left > 0 {
			c.resting = true
			c.rest.Reset(left)
		} else {
			over = true
		}
	}
	c.pool.mu.Unlock()
	if over {
		c.discard()
	}
}

// Close keeps the count of open connections; net/http calls it whenever it is done with one.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	if !c.closed {
		c.closed = true
		c.pool.open--
		c.rest.Stop()
		c.retire.Stop()
		if c.parked {
			c.pool.unpark(c)
		}
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// renew makes a connection that has been idle ready for its next request.
func (c *conn) renew() {
	c.framing = framing.Tracker{}
	c.wrote.Store(false)
	c.last.Store(false)
	c.began.Store(false)
	c.whole = false
	c.refusal.Store(nil)
	if c.streams.Swap(false) {
		c.answering.Store(false)
		c.Conn.SetDeadline(time.Time{})
	}
}

// discard ends a connection that must not be used again: after a time-out, a cancel, stray bytes or an answer
// not read to its end, what comes next on it could be taken for another request's answer.
func (c *conn) discard() {
	c.cc.Close()
	c.Close()
}

// bodyReader reads a request's body for one attempt and notes when its last byte is handed over.
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
		r.conn.last.Store(true)
	}
	return n, nil
}

func (r *bodyReader) Close() error { return nil }

// streamReader reads a streamed body for one attempt, and notes when its last byte is handed over.
type streamReader struct {
	conn   *conn
	reader *body.Reader
}

func (r *streamReader) Read(p []byte) (int, error) {
	n, last, err := r.reader.Read(p)
	if last {
		r.conn.last.Store(true)
	}
	return n, err
}

func (r *streamReader) Close() error {
	r.reader.Close()
	return nil
}

// setRemaining tells a backend how long the proxy will wait.
func setRemaining(header http.Header, left time.Duration) {
	header.Set("X-Remaining-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}
