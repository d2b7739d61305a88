package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"brasswell/balance"
)

const (
	// restWait is how long an answer may take from its first byte to its last. A live backend sends at most
	// 64 KiB at once; one that falls silent within its answer will not go on, and the time that is left
	// may do for another attempt. It would harm backends that send an answer as they compute it.
	restWait = 400 * time.Millisecond
	// leftoverWait bounds how long the rest of an answer that nobody needs is read to save its connection.
	leftoverWait = 100 * time.Millisecond
	// maxAnswerHead ends a backend that sends headers without end, and maxInterim one that sends 1xx answers
	// without end.
	maxAnswerHead = 16 << 10
	maxInterim    = 20
	// settle is how long a connection rests after an answer before it carries another request. What a
	// backend sends too much mostly comes right behind its answer; on a connection already in use again it
	// would pass for the next answer. Against what comes later than that this is no help.
	settle = 5 * time.Millisecond
)

// Why an attempt's context was ended.
var (
	errTimedOut = errors.New("the attempt's time is over")
	errCanceled = errors.New("the attempt was called off")
)

var (
	errNoSockets = errors.New("all backend sockets are in use")
	errStray     = errors.New("bytes that answer nothing")
	errInterim   = errors.New("interim answers without end")
	errFraming   = errors.New("an answer whose end cannot be told")
)

// reply is a backend's whole 200 answer.
type reply struct {
	header http.Header
	body   []byte
}

// endpoint is one run of one server. A server that restarts or comes anew at the address of one that has gone
// is another endpoint: it must not get the old one's connections, which lead nowhere and may never say so.
type endpoint struct {
	server, address string
	boot            time.Duration
}

// exchange carries one attempt out and says how it ended. begin is asked right before the request is
// written, and says how long the proxy will wait and whether it still wants to.
func (p *pool) exchange(ctx context.Context, to endpoint, m *message, begin func() (time.Duration, bool)) (balance.Outcome, *reply) {
	for {
		c, reused, err := p.get(ctx, to)
		if err != nil {
			outcome := connectOutcome(ctx, err)
			if outcome == balance.ConnectError {
				p.distrust(to)
			}
			return outcome, nil
		}
		left, wanted := begin()
		if !wanted {
			p.release(c)
			return balance.Ignored, nil
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
		outcome := c.brokenOutcome(ctx)
		if outcome == balance.TimedOut {
			p.distrust(to) // a machine that is cut off leaves all its connections open and silent
		}
		return outcome, nil
	}
}

// receive reads the answer whose head has come.
func (p *pool) receive(ctx context.Context, c *conn, resp *http.Response) (balance.Outcome, *reply) {
	c.watchRest()
	if resp.StatusCode != http.StatusOK {
		outcome := balance.Failed
		switch unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout; {
		case unavailable && resp.Header.Get("X-Turned-Away") == "1":
			outcome = balance.QueueFull
		case resp.StatusCode >= 400 && resp.StatusCode < 500:
			outcome = balance.Rejected
		}
		p.discardAnswer(c, resp)
		return outcome, nil
	}
	text, err := c.readAnswer(resp)
	if err != nil {
		c.discard()
		return c.brokenOutcome(ctx), nil
	}
	p.release(c)
	return balance.OK, &reply{header: resp.Header, body: text}
}

// readAnswer reads a whole answer. One that is cut must not pass for whole, so its end has to be told by a
// length or by chunks, and not by both; one that is longer than the protocol knows is noise.
func (c *conn) readAnswer(resp *http.Response) ([]byte, error) {
	switch {
	case resp.ContentLength > maxBody:
		return nil, errTooLarge
	case resp.ContentLength < 0 && (resp.TransferEncoding == nil || !c.framing.chunked):
		return nil, errFraming
	case resp.ContentLength >= 0:
		text := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, text); err != nil {
			return nil, fmt.Errorf("answer: %w", err)
		}
		_, err := io.Copy(io.Discard, resp.Body) // meets the end, which sets the connection free
		return text, err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("answer: %w", err)
	case len(text) > maxBody:
		return nil, errTooLarge
	}
	return text, nil
}

// discardAnswer reads to the end of an answer whose body means nothing, or drops the connection.
func (p *pool) discardAnswer(c *conn, resp *http.Response) {
	if resp.StatusCode < 200 || resp.ContentLength > maxBody {
		c.discard()
		return
	}
	late := time.AfterFunc(leftoverWait, c.discard)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody+1))
	if late.Stop() && err == nil && n <= maxBody {
		p.release(c)
		return
	}
	c.discard()
}

// connectOutcome is the outcome of an attempt that got no connection.
func connectOutcome(ctx context.Context, err error) balance.Outcome {
	if ctx.Err() != nil {
		return endedOutcome(ctx)
	}
	for _, own := range []error{
		errNoSockets, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, own) {
			return balance.Ignored // never sent, for want of something of ours: no blame on the backend
		}
	}
	return balance.ConnectError
}

// brokenOutcome is the outcome of an attempt whose connection broke: from the moment the write with the
// request's last byte begins, nobody can know that the backend did not get it.
func (c *conn) brokenOutcome(ctx context.Context) balance.Outcome {
	switch {
	case ctx.Err() != nil:
		return endedOutcome(ctx)
	case c.began.Load():
		return balance.Reset
	}
	return balance.ConnectError
}

func endedOutcome(ctx context.Context) balance.Outcome {
	if context.Cause(ctx) == errTimedOut {
		return balance.TimedOut
	}
	return balance.Canceled
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

	mu     sync.Mutex
	open   int                  // connections open or being opened
	idle   map[endpoint][]*conn // the longest idle first
	wanted map[endpoint]bool    // whose connections are kept
}

func newPool(limit int, connectTimeout, connIdle time.Duration) *pool {
	p := &pool{
		connectTimeout: connectTimeout,
		// A request that crosses the backend's close ends as a reset, and may have run for all we know.
		// The fifth left is for answers that took their time to be read.
		idleFor: connIdle * 4 / 5,
		limit:   limit,
		idle:    map[endpoint][]*conn{},
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

// get takes the idle connection that was used last and has settled, or opens one.
func (p *pool) get(ctx context.Context, to endpoint) (c *conn, reused bool, err error) {
	var dead []*conn
	p.mu.Lock()
	idle := slices.Clone(p.idle[to])
	for _, k := range slices.Backward(idle) {
		rested := time.Since(k.parkedAt)
		switch {
		case k.cc.Err() != nil || rested >= p.idleFor:
			p.unpark(k)
			dead = append(dead, k)
			continue
		case rested < settle:
			continue
		}
		p.unpark(k)
		k.framing = framing{}
		for _, flag := range []*atomic.Bool{&k.wrote, &k.last, &k.began} {
			flag.Store(false)
		}
		c = k
		break
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
	c, err = p.dial(ctx, to)
	return c, false, err
}

func (p *pool) dial(ctx context.Context, to endpoint) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	nc, err := p.dialer.DialContext(dialCtx, "tcp", to.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", to.address, err)
	}
	c := &conn{Conn: nc, pool: p, endpoint: to}
	if c.cc, err = p.transport.NewClientConn(context.WithValue(ctx, dialed{}, c), "http", to.address); err != nil {
		c.Close()
		return nil, fmt.Errorf("connect to %s: %w", to.address, err)
	}
	return c, nil
}

// release gives back a connection on which no answer is outstanding.
func (p *pool) release(c *conn) {
	c.unwatchRest()
	if c.cc.Available() == 0 {
		c.discard()
		return
	}
	p.mu.Lock()
	unwanted := !p.wanted[c.endpoint]
	if c.inRead && !unwanted {
		p.park(c)
	} else {
		c.done = true
	}
	p.mu.Unlock()
	if unwanted {
		c.discard()
	}
}

// keep closes the idle connections to all endpoints but these, now and as they come free.
func (p *pool) keep(wanted map[endpoint]bool) {
	p.mu.Lock()
	p.wanted = wanted
	var drop []*conn
	for to, idle := range p.idle {
		if !wanted[to] {
			drop = append(drop, idle...)
		}
	}
	p.drop(drop)
}

// distrust closes the idle connections to an endpoint that does not answer.
func (p *pool) distrust(to endpoint) {
	p.mu.Lock()
	p.drop(slices.Clone(p.idle[to]))
}

// drop unparks and ends connections. It is called with p.mu held and gives it back.
func (p *pool) drop(conns []*conn) {
	for _, c := range conns {
		p.unpark(c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.discard()
	}
}

// park and unpark need p.mu held, and so must not call what takes the connection's own lock.
func (p *pool) park(c *conn) {
	if c.closed {
		return
	}
	c.parked, c.parkedAt = true, time.Now()
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
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
	idle := p.idle[c.endpoint]
	for i, other := range idle {
		if other == c {
			idle = append(idle[:i], idle[i+1:]...)
			break
		}
	}
	if len(idle) == 0 {
		delete(p.idle, c.endpoint)
	} else {
		p.idle[c.endpoint] = idle
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
	pool     *pool
	endpoint endpoint
	cc       *http.ClientConn
	framing  framing // of the answers; used by the one that reads, and once it is done

	last  atomic.Bool // the next write may hold the request's last byte
	wrote atomic.Bool // a write of this attempt has begun
	began atomic.Bool // the write with the request's last byte has begun

	// Guarded by pool.mu.
	inRead   bool // a Read waits on the socket
	done     bool // the answer is read; to be parked once a Read waits
	parked   bool
	parkedAt time.Time
	retire   *time.Timer
	rest     *time.Timer // ends an answer that has begun and does not go on
	closed   bool
}

func (c *conn) roundTrip(ctx context.Context, m *message, left time.Duration) (*http.Response, error) {
	interim := 0
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			if interim++; interim > maxInterim {
				return errInterim
			}
			c.unwatchRest() // the answer proper may be far off
			return nil
		},
	})
	header := maps.Clone(m.header)
	header.Set("X-Remaining-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	req := &http.Request{Method: m.method, URL: m.target(c.endpoint.address), Host: m.host, Header: header, Body: http.NoBody}
	if m.body.size() > 0 {
		req.Body = &bodyReader{conn: c, data: m.body.data}
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
	if n > 0 {
		c.watchRest()
		c.framing.feed(b[:n])
	}
	return n, err
}

// watchRest gives an answer that has begun restWait to come to its end.
func (c *conn) watchRest() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.rest == nil && !c.closed {
		c.rest = time.AfterFunc(restWait, c.discard)
	}
}

func (c *conn) unwatchRest() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.rest != nil {
		c.rest.Stop()
		c.rest = nil
	}
}

// Close keeps the count of open connections; net/http calls it whenever it is done with one.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	if !c.closed {
		c.closed = true
		c.pool.open--
		if c.rest != nil {
			c.rest.Stop()
		}
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
