package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lemonflow"
	"lemonflow/internal/settings"
)

const (
	// headWait is how long a caller may take for a request's head; 2 s are legal.
	headWait = 15 * time.Second
	// idleWait is how long a caller's connection may idle.
	idleWait = 2 * time.Minute
	// progressWait is how long a caller may neither send nor take a byte in the middle of a body.
	progressWait = 30 * time.Second
	// maxHead bounds a request's head.
	maxHead = 32 << 10
)

// hopByHop are the headers that concern one connection only, and those that the proxy writes itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length",
}

// server is the callers' side.
type server struct {
	instance *instance
	bodies   *budget
	callers  *callers
	classes  map[string]int
	tenants  map[string]int
	giveUp   []time.Duration // by class
	leaving  *leaving
}

func newServer(s *settings.Settings, i *instance, bodies *budget, callers *callers) *server {
	srv := &server{
		instance: i, bodies: bodies, callers: callers,
		classes: map[string]int{}, tenants: map[string]int{}, leaving: &leaving{},
	}
	for n, name := range s.Classes {
		srv.classes[name] = n
		srv.giveUp = append(srv.giveUp, s.Balancer.Classes[n].GiveUp)
	}
	for n, name := range s.Tenants {
		srv.tenants[name] = n
	}
	return srv
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.yes() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/_health" {
		s.health(w)
		return
	}
	body, err := s.readBody(w, r)
	switch {
	case errors.Is(err, errTooLarge):
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errNoRoom):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case r.Header.Get("X-Txn") == "":
		body.release()
		http.Error(w, "no X-Txn", http.StatusBadRequest)
		return
	case s.callers.crowded():
		// All sockets are busy. The request was never sent, so trying again is harmless.
		body.release()
		w.Header().Set("Connection", "close")
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	s.serve(w, r, body)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, body *body) {
	class, known := s.classes[r.Header.Get("X-Lane")]
	if !known {
		class = -1 // the balancer refuses it
	}
	tenant, known := s.tenants[r.Header.Get("X-Org")]
	if !known {
		tenant = -1 // the balancer serves it without a quota
	}
	q := s.instance.submit(newMessage(r, body), class, tenant, s.leaving.cap(s.remaining(r, class)))
	var f final
	select {
	case f = <-q.final:
	case <-r.Context().Done():
		s.instance.drop(q)
		f = <-q.final
	}
	s.answer(w, f)
}

func (s *server) health(w http.ResponseWriter) {
	if s.leaving.yes() || !s.instance.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readBody reads the request to its last byte.
func (s *server) readBody(w http.ResponseWriter, r *http.Request) (*body, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	paced := &pacedReader{r.Body, http.NewResponseController(w)}
	b, err := readBody(paced, r.ContentLength, s.bodies)
	// A deadline left standing would later look as if the caller had gone.
	paced.SetReadDeadline(time.Time{})
	return b, err
}

// pacedReader ends a body whose sender has stopped, however long the whole may take.
type pacedReader struct {
	io.Reader
	*http.ResponseController
}

func (p *pacedReader) Read(b []byte) (int, error) {
	p.SetReadDeadline(time.Now().Add(progressWait))
	return p.Reader.Read(b)
}

// remaining is how long the caller will wait: what it says, within what its class ever waits.
func (s *server) remaining(r *http.Request, class int) time.Duration {
	if class < 0 {
		return 0
	}
	ms, err := strconv.ParseFloat(r.Header.Get("X-Remaining-Ms"), 64)
	if err != nil || ms != ms {
		return s.giveUp[class]
	}
	return min(settings.Millis(ms), s.giveUp[class])
}

func newMessage(r *http.Request, body *body) *message {
	header := endToEnd(r.Header)
	if header["User-Agent"] == nil {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return &message{method: r.Method, uri: r.RequestURI, url: r.URL, host: r.Host, header: header, body: body}
}

// endToEnd copies the headers that are not for one connection alone.
func endToEnd(h http.Header) http.Header {
	c := h.Clone()
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(c, name)
	}
	return c
}

// answer writes the one final answer.
func (s *server) answer(w http.ResponseWriter, f final) {
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(progressWait))
	if s.leaving.yes() {
		w.Header().Set("Connection", "close")
	}
	switch f.verdict {
	case refused:
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
		return
	case failed:
		http.Error(w, "failed", http.StatusBadGateway)
		return
	}
	header := w.Header()
	for name, values := range endToEnd(f.reply.header) {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from guessing
	}
	if f.reply.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(f.reply.length, 10))
	}
	w.WriteHeader(http.StatusOK)
	_, err := w.Write(f.reply.body)
	if f.reply.rest != nil {
		s.pass(w, control, f, err)
	}
}

// pass gives a long answer to the caller as it comes from the backend. If it breaks, so must the caller's
// connection: an end that looks regular would make a part pass for the whole.
func (s *server) pass(w http.ResponseWriter, control *http.ResponseController, f final, err error) {
	outcome := lemonflow.Canceled // the caller has gone, until shown otherwise
	buffer := make([]byte, streamBuffer)
	for err == nil {
		if err = control.Flush(); err != nil {
			break
		}
		n, readErr := f.reply.rest.Read(buffer)
		control.SetWriteDeadline(time.Now().Add(progressWait))
		if _, err = w.Write(buffer[:n]); err != nil {
			break
		}
		if err = readErr; err == io.EOF {
			outcome = lemonflow.OK
		} else if err != nil {
			outcome = lemonflow.Reset
		}
	}
	f.reply.rest.Close()
	s.instance.end(f.attempt, outcome, nil)
	if outcome != lemonflow.OK {
		panic(http.ErrAbortHandler)
	}
}

// leaving is a planned restart. It starts with SIGTERM; SIGKILL follows no sooner than the callers' longest
// deadline and killSlack later.
type leaving struct {
	begun   atomic.Pointer[time.Time]
	longest atomic.Int64 // the longest that a caller was ready to wait
}

// killSlack is 0.7 s by the protocol, less what it takes to write the last answers.
const killSlack = 600 * time.Millisecond

func (l *leaving) begin() {
	now := time.Now()
	l.begun.CompareAndSwap(nil, &now)
}

func (l *leaving) yes() bool { return l.begun.Load() != nil }

// cap shortens a request's time so that its answer goes out before SIGKILL does.
func (l *leaving) cap(left time.Duration) time.Duration {
	longest := time.Duration(l.longest.Load())
	if begun := l.begun.Load(); begun != nil {
		return min(left, longest+killSlack-time.Since(*begun))
	}
	for left > longest && !l.longest.CompareAndSwap(int64(longest), int64(left)) {
		longest = time.Duration(l.longest.Load())
	}
	return left
}

// callers tracks the callers' connections within their share of the sockets. Up to soft all are served;
// beyond, idle ones are closed first and then new requests are refused; at hard, new connections wait to be
// accepted until one is closed.
type callers struct {
	soft, hard int

	mu    sync.Mutex
	freed *sync.Cond
	conns map[net.Conn]*caller
}

type caller struct {
	state http.ConnState
	since time.Time
}

func newCallers(soft, hard int) *callers {
	c := &callers{soft: soft, hard: hard, conns: map[net.Conn]*caller{}}
	c.freed = sync.NewCond(&c.mu)
	return c
}

// track is the server's ConnState hook.
func (c *callers) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	default:
		c.conns[conn] = &caller{state, time.Now()}
	}
	if state != http.StateActive {
		c.freed.Signal()
	}
}

// makeRoom closes the connection that has idled longest once soft is reached, and waits at hard.
func (c *callers) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.conns) >= c.soft {
		var oldest net.Conn
		for conn, k := range c.conns {
			if k.state == http.StateIdle && (oldest == nil || k.since.Before(c.conns[oldest].since)) {
				oldest = conn
			}
		}
		if oldest != nil {
			delete(c.conns, oldest)
			oldest.Close()
			return
		}
		if len(c.conns) < c.hard {
			return
		}
		c.freed.Wait()
	}
}

func (c *callers) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) > c.soft
}

// closeQuiet closes the connections on which no request has begun for so long, and counts the others.
func (c *callers) closeQuiet(quiet time.Duration) (busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, k := range c.conns {
		if k.state != http.StateActive && time.Since(k.since) >= quiet {
			conn.Close()
		} else {
			busy++
		}
	}
	return busy
}

// roomyListener accepts only what there is room for.
type roomyListener struct {
	net.Listener
	callers  *callers
	accepted atomic.Int64 // Unix time of the last
}

func (l *roomyListener) Accept() (net.Conn, error) {
	l.callers.makeRoom()
	conn, err := l.Listener.Accept()
	l.accepted.Store(time.Now().UnixNano())
	return conn, err
}
