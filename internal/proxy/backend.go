package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lemonflow"
)

const (
	// heldAnswer is the longest answer that is read whole before any of it goes to the caller, so that a
	// connection that breaks in the middle can still be followed by another attempt.
	heldAnswer = 64 << 10
	// streamBuffer is what a longer answer is passed on through.
	streamBuffer = 32 << 10
	// stallLimit ends a long answer whose backend has fallen silent. A live one pauses for 0.1 s at most.
	stallLimit = 5 * time.Second
	// leftoverWait bounds how long the rest of an answer that nobody needs is read to save its connection.
	leftoverWait = 100 * time.Millisecond
	// maxAnswerHead ends a backend that sends headers without end.
	maxAnswerHead = 64 << 10
)

// Why an attempt's context was ended.
var (
	errTimedOut = errors.New("the attempt's time is over")
	errCanceled = errors.New("the attempt was called off")
	errStalled  = errors.New("the backend fell silent within its answer")
)

var (
	errNoSockets = errors.New("all backend sockets are in use")
	errStray     = errors.New("bytes that answer nothing")
)

// reply is a backend's 200 answer: whole in body, or begun there and to be continued from rest.
type reply struct {
	header http.Header
	length int64 // of the whole body; -1 if not known yet
	body   []byte
	rest   *stream
}

// exchange carries one attempt out and says how it ended. begin is asked right before the request is
// written, and says how long the proxy will wait and whether it still wants to. A reply with a rest is not
// over: its outcome is that of the rest.
func (p *pool) exchange(ctx context.Context, address string, m *message, begin func() (time.Duration, bool)) (lemonflow.Outcome, *reply) {
	for {
		c, reused, err := p.get(ctx, address)
		if err != nil {
			return connectOutcome(ctx, err), nil
		}
		left, wanted := begin()
		if !wanted {
			p.release(c)
			return lemonflow.Ignored, nil
		}
		resp, err := c.roundTrip(ctx, m, left)
		if err == nil {
			return p.receive(ctx, c, resp)
		}
		c.discard()
		if reused && !c.began.Load() && ctx.Err() == nil {
			// The backend closed it while it stood idle, which says nothing against the backend. No
			// whole request was written, so this is still the attempt's only copy.
			continue
		}
		return c.brokenOutcome(ctx), nil
	}
}

// receive reads the answer whose head has come.
func (p *pool) receive(ctx context.Context, c *conn, resp *http.Response) (lemonflow.Outcome, *reply) {
	if resp.StatusCode != http.StatusOK {
		outcome := lemonflow.Failed
		unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
		if unavailable && resp.Header.Get("X-Turned-Away") == "1" {
			outcome = lemonflow.QueueFull
		}
		p.discardAnswer(c, resp)
		return outcome, nil
	}
	r := &reply{header: resp.Header, length: resp.ContentLength}
	var err error
	switch {
	case r.length > heldAnswer:
		// Its time is that of its first bytes; until these are there another attempt may still follow.
		r.body = make([]byte, streamBuffer)
		var n int
		n, err = io.ReadAtLeast(resp.Body, r.body, 1)
		r.body = r.body[:n]
	case r.length >= 0:
		r.body = make([]byte, r.length)
		if _, err = io.ReadFull(resp.Body, r.body); err == nil {
			_, err = io.Copy(io.Discard, resp.Body) // meets the end, which sets the connection free
		}
	default:
		r.body, err = io.ReadAll(io.LimitReader(resp.Body, heldAnswer+1))
	}
	if err != nil {
		c.discard()
		return c.brokenOutcome(ctx), nil
	}
	if r.length > heldAnswer || len(r.body) > heldAnswer {
		r.rest = &stream{pool: p, conn: c, body: resp.Body}
		return lemonflow.OK, r
	}
	r.length = int64(len(r.body))
	p.release(c)
	return lemonflow.OK, r
}

// discardAnswer reads to the end of an answer whose body means nothing, or drops the connection.
func (p *pool) discardAnswer(c *conn, resp *http.Response) {
	late := time.AfterFunc(leftoverWait, c.discard)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, heldAnswer))
	if late.Stop() && err == nil && n < heldAnswer {
		p.release(c)
		return
	}
	c.discard()
}

// stream is the rest of an answer that is being passed on. It has no deadline, but may not stall.
type stream struct {
	pool *pool
	conn *conn
	body io.ReadCloser
	over bool
}

// Read ends the connection when the backend stays silent, for a vanished machine would never be noticed.
func (s *stream) Read(p []byte) (int, error) {
	watch := time.AfterFunc(stallLimit, s.conn.discard)
	n, err := s.body.Read(p)
	if !watch.Stop() && err != nil && err != io.EOF {
		err = errStalled
	}
	s.over = err == io.EOF
	return n, err
}

// Close sets the connection free if the answer was read to its end.
func (s *stream) Close() {
	if s.over {
		s.pool.release(s.conn)
	} else {
		s.conn.discard()
	}
}

// connectOutcome is the outcome of an attempt that got no connection.
func connectOutcome(ctx context.Context, err error) lemonflow.Outcome {
	if ctx.Err() != nil {
		return endedOutcome(ctx)
	}
	for _, own := range []error{
		errNoSockets, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, own) {
			return lemonflow.Ignored // never sent, for want of something of ours: no blame on the backend
		}
	}
	return lemonflow.ConnectError
}

// brokenOutcome is the outcome of an attempt whose connection broke: from the moment the write with the
// request's last byte begins, nobody can know that the backend did not get it.
func (c *conn) brokenOutcome(ctx context.Context) lemonflow.Outcome {
	switch {
	case ctx.Err() != nil:
		return endedOutcome(ctx)
	case c.began.Load():
		return lemonflow.Reset
	}
	return lemonflow.ConnectError
}

func endedOutcome(ctx context.Context) lemonflow.Outcome {
	if context.Cause(ctx) == errTimedOut {
		return lemonflow.TimedOut
	}
	return lemonflow.Canceled
}

// pool holds the connections to all backends. Its size is bounded by limit, and an idle connection's life by
// idleFor, which ends before the backend's own patience does.
//
// A plain http.Transport would not do: it sends a GET or a keyed request again by itself when a reused
// connection breaks, behind the balancer's back and maybe a second time.
type pool struct {
	transport      *http.Transport
	dialer         net.Dialer
	connectTimeout time.Duration
	idleFor        time.Duration
	limit          int

	mu   sync.Mutex
	open int                // connections open or being opened
	idle map[string][]*conn // by address, the longest idle first
}

func newPool(limit int, connectTimeout, connIdle time.Duration) *pool {
	p := &pool{
		connectTimeout: connectTimeout,
		// A request that crosses the backend's close ends as a reset, and may have run for all we know.
		// The fifth left is for answers that took their time to be read.
		idleFor: connIdle * 4 / 5,
		limit:   limit,
		idle:    map[string][]*conn{},
	}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHead,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return ctx.Value(dialed{}).(*conn), nil
		},
	}
	return p
}

// dialed is the context key under which a connection is handed to the transport.
type dialed struct{}

// get takes the idle connection to address that was used last, or opens one.
func (p *pool) get(ctx context.Context, address string) (c *conn, reused bool, err error) {
	var dead []*conn
	p.mu.Lock()
	for c == nil && len(p.idle[address]) > 0 {
		last := p.idle[address][len(p.idle[address])-1]
		p.unpark(last)
		if last.cc.Err() != nil || time.Since(last.parkedAt) >= p.idleFor {
			dead = append(dead, last)
			continue
		}
		c = last
		c.wrote.Store(false)
		c.last.Store(false)
		c.began.Store(false)
	}
	if c == nil && p.open-len(dead) >= p.limit {
		if oldest := p.oldestIdle(); oldest != nil {
			p.unpark(oldest)
			dead = append(dead, oldest)
		} else {
			err = errNoSockets
		}
	}
	if c == nil && err == nil {
		p.open++
	}
	p.mu.Unlock()
	for _, d := range dead {
		d.discard()
	}
	if c != nil || err != nil {
		return c, c != nil, err
	}
	c, err = p.dial(ctx, address)
	return c, false, err
}

func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	nc, err := p.dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	c := &conn{Conn: nc, pool: p, address: address}
	if c.cc, err = p.transport.NewClientConn(context.WithValue(ctx, dialed{}, c), "http", address); err != nil {
		c.Close()
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return c, nil
}

// release gives back a connection on which no answer is outstanding.
func (p *pool) release(c *conn) {
	if c.cc.Available() == 0 {
		c.discard()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.inRead {
		p.park(c)
	} else {
		c.done = true
	}
}

// keep closes the idle connections to all addresses but these.
func (p *pool) keep(addresses map[string]bool) {
	var drop []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		if !addresses[address] {
			drop = append(drop, idle...)
		}
	}
	for _, c := range drop {
		p.unpark(c)
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.discard()
	}
}

// park and unpark need p.mu held, and so must not call what takes the connection's own lock.
func (p *pool) park(c *conn) {
	if c.closed {
		return
	}
	c.parked, c.parkedAt = true, time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
	c.retire = time.AfterFunc(p.idleFor, func() {
		p.mu.Lock()
		still := c.parked && time.Since(c.parkedAt) >= p.idleFor
		if still {
			p.unpark(c)
		}
		p.mu.Unlock()
		if still {
			c.discard()
		}
	})
}

func (p *pool) unpark(c *conn) {
	c.parked = false
	c.retire.Stop()
	idle := p.idle[c.address]
	for i, other := range idle {
		if other == c {
			idle = append(idle[:i], idle[i+1:]...)
			break
		}
	}
	if len(idle) == 0 {
		delete(p.idle, c.address)
	} else {
		p.idle[c.address] = idle
	}
}

func (p *pool) oldestIdle() *conn {
	var oldest *conn
	for _, idle := range p.idle {
		if c := idle[0]; oldest == nil || c.parkedAt.Before(oldest.parkedAt) {
			oldest = c
		}
	}
	return oldest
}

// conn is one connection to a backend. The socket is wrapped to see what net/http does not tell: whether the
// request's last byte may be out, and whether bytes came that answer nothing.
type conn struct {
	net.Conn
	pool    *pool
	address string
	cc      *http.ClientConn

	last  atomic.Bool // the next write may hold the request's last byte
	wrote atomic.Bool // a write of this attempt has begun
	began atomic.Bool // the write with the request's last byte has begun

	// Guarded by pool.mu.
	inRead   bool // a Read waits on the socket
	done     bool // the answer is read; to be parked once a Read waits
	parked   bool
	parkedAt time.Time
	retire   *time.Timer
	closed   bool
}

func (c *conn) roundTrip(ctx context.Context, m *message, left time.Duration) (*http.Response, error) {
	header := maps.Clone(m.header)
	header.Set("X-Remaining-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	req := &http.Request{Method: m.method, URL: m.target(c.address), Host: m.host, Header: header, Body: http.NoBody}
	if m.body.size() > 0 {
		req.Body = &bodyReader{conn: c, chunks: m.body.chunks}
		req.ContentLength = m.body.size()
	} else {
		c.last.Store(true)
	}
	return c.cc.RoundTrip(req.WithContext(ctx))
}

// target repeats the caller's request line to the byte. A path that begins with two slashes would be taken
// for a host there, so it goes by its parts.
func (m *message) target(address string) *url.URL {
	u := *m.url
	u.Scheme, u.Host, u.User, u.Fragment = "http", address, nil, ""
	if strings.HasPrefix(m.uri, "/") && !strings.HasPrefix(m.uri, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = m.uri, "", false
	}
	return &u
}

func (c *conn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	if c.last.Load() {
		c.began.Store(true)
	}
	return c.Conn.Write(b)
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
	return n, err
}

// Close keeps the count of open connections; net/http calls it whenever it is done with one.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	if !c.closed {
		c.closed = true
		c.pool.open--
		if c.parked {
			c.pool.unpark(c)
		}
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// discard ends a connection that must not be used again: after a time-out, a cancel, stray bytes or an answer
// not read to its end, what comes next on it could be taken for another request's answer.
func (c *conn) discard() {
	c.cc.Close()
	c.Close()
}

// bodyReader reads a request's body for one attempt and notes when its last byte is handed over.
type bodyReader struct {
	conn   *conn
	chunks [][]byte
	at     int
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[0][r.at:])
	if r.at += n; r.at == len(r.chunks[0]) {
		r.chunks, r.at = r.chunks[1:], 0
		if len(r.chunks) == 0 {
			r.conn.last.Store(true)
		}
	}
	return n, nil
}

func (r *bodyReader) Close() error { return nil }
