package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/balance"
	"brasswell/internal/settings"
)

const (
	// headWait is how long a caller may take for a request's head, and how long its connection may stay
	// silent at first. It and bodyWait together stay below the 3 s after which a bad caller is owed a word.
	headWait = 2 * time.Second
	// bodyWait is how long the body behind a head may take: 64 KiB at most, which callers send at once.
	bodyWait = 700 * time.Millisecond
	// idleWait is how long a caller's connection may idle, onceWait how long one that has carried a single
	// request so far, once others come. Many callers ask once and keep their connection for good; each costs
	// a descriptor, buffers and a goroutine. Who has asked again will do so, maybe when no new connection
	// can be had.
	idleWait = 10 * time.Second
	onceWait = 3 * time.Second
	// writeWait is how long a caller may leave its answer untaken.
	writeWait = 2 * time.Second
	// maxHead bounds a request's head.
	maxHead = 16 << 10
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
	class    []balance.Class
	leaving  *leaving

	mu   sync.Mutex
	open map[string]struct{} // the ids of the requests that are not answered yet
}

func newServer(s *settings.Settings, i *instance, bodies *budget, callers *callers) *server {
	srv := &server{
		instance: i, bodies: bodies, callers: callers,
		classes: map[string]int{}, tenants: map[string]int{}, class: s.Balancer.Classes,
		leaving: newLeaving(), open: map[string]struct{}{},
	}
	for n, name := range s.Classes {
		srv.classes[name] = n
	}
	for n, name := range s.Tenants {
		srv.tenants[name] = n
	}
	return srv
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.closing() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/_health" {
		s.health(w)
		return
	}
	ask, err := s.read(r)
	if err != nil {
		turnAway(w, http.StatusBadRequest, err)
		return
	}
	if !s.begin(ask.id) {
		turnAway(w, http.StatusConflict, fmt.Errorf("%s: a request with this id is open", idField))
		return
	}
	defer s.finish(ask.id)
	if s.callers.crowded() {
		// All sockets are busy. The request was never sent, so trying again is harmless.
		turnAway(w, http.StatusServiceUnavailable, errors.New("too many connections"))
		return
	}
	body, err := s.readBody(w, r)
	switch {
	case errors.Is(err, errTooLarge):
		turnAway(w, http.StatusRequestEntityTooLarge, err)
	case errors.Is(err, errNoRoom):
		turnAway(w, http.StatusServiceUnavailable, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		turnAway(w, http.StatusRequestTimeout, err)
	case err != nil:
		turnAway(w, http.StatusBadRequest, err)
	default:
		s.serve(w, r, ask, body)
	}
}

// turnAway answers a request that is not taken on, and ends its connection: what else stands on it may be a body
// that nobody has read. net/http still reads some of that, and would wait for a body that never comes.
func turnAway(w http.ResponseWriter, status int, err error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(leftoverWait))
	control.SetWriteDeadline(time.Now().Add(writeWait))
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, ask ask, body *body) {
	if r.TransferEncoding != nil {
		w.Header().Set("Connection", "close") // framing does not follow it past the chunks
	}
	q := s.instance.submit(newMessage(r, body), ask.class, ask.tenant, s.leaving.cap(ask.left))
	var f final
	select {
	case f = <-q.final:
	case <-r.Context().Done():
		s.instance.drop(q)
		f = <-q.final
	case <-s.leaving.over:
		s.instance.drop(q)
		f = <-q.final
	}
	s.answer(w, f)
}

// begin notes a request's id until finish, unless a request with that id is open.
func (s *server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.open[id]; open {
		return false
	}
	s.open[id] = struct{}{}
	return true
}

func (s *server) finish(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}

// The protocol's fields that the proxy goes by.
const (
	idField        = "X-Txn"
	classField     = "X-Lane"
	tenantField    = "X-Org"
	remainingField = "X-Remaining-Ms"
	keyField       = "Idempotency-Key"
)

// ask is what a request's head asks for.
type ask struct {
	id            string
	class, tenant int
	left          time.Duration
}

// read takes a request's head, or says what is wrong with it. Nothing in it is guessed: a deadline or class made
// up for a caller that sends nonsense would reach the backends, and the balancer would learn from it.
func (s *server) read(r *http.Request) (ask, error) {
	var a ask
	for _, field := range []string{idField, classField, tenantField, remainingField, keyField} {
		if len(r.Header[field]) > 1 {
			return a, fmt.Errorf("%s: given more than once", field)
		}
	}
	if r.TransferEncoding != nil && !callerOf(r).framing.chunked {
		return a, errors.New("both Content-Length and Transfer-Encoding")
	}
	if a.id = r.Header.Get(idField); a.id == "" {
		return a, fmt.Errorf("%s: missing", idField)
	}
	var known bool
	if a.class, known = s.classes[r.Header.Get(classField)]; !known {
		return a, fmt.Errorf("%s: unknown class %q", classField, r.Header.Get(classField))
	}
	if a.tenant, known = s.tenants[r.Header.Get(tenantField)]; !known {
		a.tenant = -1 // the balancer has no quota for it
	}
	ms, err := strconv.ParseInt(r.Header.Get(remainingField), 10, 64)
	if err != nil {
		return a, fmt.Errorf("%s: %q is no whole number", remainingField, r.Header.Get(remainingField))
	}
	a.left = min(settings.Millis(float64(ms)), s.class[a.class].GiveUp)
	return a, s.fits(r, s.class[a.class].Effect)
}

// fits says whether a request's method, key and body are those of its class.
func (s *server) fits(r *http.Request, effect balance.Effect) error {
	method, keyed := http.MethodPost, effect == balance.Guarded
	if effect == balance.Free {
		method = http.MethodGet
	}
	switch {
	case r.Method != method:
		return fmt.Errorf("%s does not fit the class, %s does", r.Method, method)
	case keyed && r.Header.Get(keyField) == "":
		return fmt.Errorf("%s: missing, though the class needs it", keyField)
	case !keyed && r.Header[keyField] != nil:
		return fmt.Errorf("%s: given, though the class has none", keyField)
	case method == http.MethodGet && r.ContentLength != 0:
		return errors.New("a GET has no body")
	}
	return nil
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
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyWait))
	b, err := readBody(r.Body, r.ContentLength, s.bodies)
	if err == nil {
		// A deadline left standing would later look as if the caller had gone.
		control.SetReadDeadline(time.Time{})
	}
	return b, err
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
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeWait))
	header := w.Header()
	if s.leaving.closing() {
		header.Set("Connection", "close")
	}
	switch f.verdict {
	case refused:
		if f.wait > 0 {
			header.Set("Retry-After", strconv.FormatFloat(f.wait.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
		return
	case failed:
		http.Error(w, "failed", http.StatusBadGateway)
		return
	}
	for name, values := range endToEnd(f.reply.header) {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from guessing
	}
	header.Set("Content-Length", strconv.Itoa(len(f.reply.body)))
	w.WriteHeader(http.StatusOK)
	w.Write(f.reply.body)
}

// leaving is a planned restart. It starts with SIGTERM; SIGKILL follows no sooner than the callers' longest
// deadline, but at most longestKnown, and 0.7 s later.
type leaving struct {
	begun   atomic.Pointer[time.Time]
	longest atomic.Int64  // the longest that a caller was ready to wait
	over    chan struct{} // closed when what is still open has to be answered
}

const (
	longestKnown = 3 * time.Second
	// killSlack is 0.7 s by the protocol, less what it takes to write the last answers, on a machine that
	// runs late too.
	killSlack = 400 * time.Millisecond
	// serveShare of the longest deadline is how long callers may go on using their connections. The proxy
	// that was restarted before this one may not be back yet, and callers have no other then; who asks
	// late still has the rest of the time for its answer.
	serveShare = 0.5
	// acceptMore is how long a planned restart goes on accepting at least: new connections come for up to
	// 0.4 s.
	acceptMore = 500 * time.Millisecond
)

func newLeaving() *leaving { return &leaving{over: make(chan struct{})} }

func (l *leaving) begin() {
	now := time.Now()
	l.begun.CompareAndSwap(nil, &now)
}

func (l *leaving) yes() bool { return l.begun.Load() != nil }

// closing says whether callers' connections are to end with the next answer.
func (l *leaving) closing() bool {
	begun := l.begun.Load()
	return begun != nil && time.Since(*begun) >= l.serveOn()
}

func (l *leaving) longestWait() time.Duration {
	return min(time.Duration(l.longest.Load()), longestKnown)
}

// serveOn is how long after SIGTERM connections are served as ever, and end is when all must be answered.
func (l *leaving) serveOn() time.Duration {
	return max(acceptMore, time.Duration(serveShare*float64(l.longestWait())))
}

func (l *leaving) end() time.Duration { return max(l.longestWait(), acceptMore) + killSlack }

// cap shortens a request's time so that its answer goes out before SIGKILL does.
func (l *leaving) cap(left time.Duration) time.Duration {
	if begun := l.begun.Load(); begun != nil {
		return min(left, l.end()-time.Since(*begun))
	}
	longest := time.Duration(l.longest.Load())
	for left > longest && !l.longest.CompareAndSwap(int64(longest), int64(left)) {
		longest = time.Duration(l.longest.Load())
	}
	return left
}

// callers tracks the callers' connections within their share of the sockets. Up to soft all are kept. Beyond,
// each new one takes the place of one on which no request is open, and where there is none, requests are
// refused; at hard, new connections are closed at once.
//
// It guards against callers that connect and say nothing or keep what they no longer use, and should hold
// against any pile of idle connections: a newcomer always gets in or gets a close, so the accept queue
// never stands still. It would harm callers who pause for over silentGrace before a first request while so
// many others do the same.
type callers struct {
	soft, hard int

	mu     sync.Mutex
	open   map[*caller]struct{}
	active int
}

// silentGrace is how long a connection may stay silent before it goes first when room is wanted. Callers connect
// when they have something to send.
const silentGrace = 100 * time.Millisecond

// caller is one connection of a caller.
type caller struct {
	net.Conn
	callers *callers
	framing framing // of what it sends; used by the one that reads

	// Guarded by callers.mu.
	state http.ConnState
	since time.Time
	busy  bool // something has been read since the last answer
	ended bool

	requests int // begun so far
}

type callerKey struct{}

// withCaller is the server's ConnContext hook.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

func callerOf(r *http.Request) *caller { return r.Context().Value(callerKey{}).(*caller) }

func newCallers(soft, hard int) *callers {
	return &callers{soft: soft, hard: hard, open: map[*caller]struct{}{}}
}

// admit takes a new connection in, or nil if there is no place for it.
func (c *callers) admit(conn net.Conn) *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		if k.state == http.StateIdle && !k.busy && k.requests <= 1 && time.Since(k.since) >= onceWait {
			c.end(k)
		}
	}
	if len(c.open) >= c.soft && !c.makeRoom() && len(c.open) >= c.hard {
		return nil
	}
	k := &caller{Conn: conn, callers: c, since: time.Now()}
	c.open[k] = struct{}{}
	return k
}

// makeRoom ends the connection that is missed least: the one that has been silent longest from the start, or
// else has idled longest, of those that have carried a single request if there are any.
func (c *callers) makeRoom() bool {
	var silent, once, idle *caller
	for k := range c.open {
		switch {
		case k.busy:
		case k.state == http.StateNew && (silent == nil || k.since.Before(silent.since)):
			silent = k
		case k.state != http.StateIdle:
		case k.requests <= 1:
			if once == nil || k.since.Before(once.since) {
				once = k
			}
		case idle == nil || k.since.Before(idle.since):
			idle = k
		}
	}
	switch {
	case silent != nil && time.Since(silent.since) >= silentGrace:
		c.end(silent)
	case once != nil:
		c.end(once)
	case idle != nil:
		c.end(idle)
	default:
		return false
	}
	return true
}

// end closes a connection on which no request is open; c.mu must be held. What the caller may have sent
// meanwhile has not been read, so it may be sent again.
func (c *callers) end(k *caller) {
	k.ended = true
	c.forget(k)
	k.Conn.Close()
}

func (c *callers) forget(k *caller) {
	if _, open := c.open[k]; open {
		delete(c.open, k)
		if k.state == http.StateActive {
			c.active--
		}
	}
}

// track is the server's ConnState hook.
func (c *callers) track(conn net.Conn, state http.ConnState) {
	k := conn.(*caller)
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		c.forget(k)
		return
	}
	if _, open := c.open[k]; !open || k.state == state {
		return
	}
	if k.state == http.StateActive {
		c.active--
	}
	if state == http.StateActive {
		c.active++
		k.requests++
	}
	k.state, k.since, k.busy = state, time.Now(), state == http.StateActive
}

// crowded says whether there are more open requests than sockets for them.
func (c *callers) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > c.soft
}

// closeQuiet closes the connections on which no request has begun for so long, and counts the others.
func (c *callers) closeQuiet(quiet time.Duration) (busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		if !k.busy && time.Since(k.since) >= quiet {
			c.end(k)
		} else {
			busy++
		}
	}
	return busy
}

// Read marks the connection as busy with the first byte that is read, not only when net/http has a whole head:
// a request that has been read must not be taken for one that the caller may send again.
func (k *caller) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	k.callers.mu.Lock()
	ended := k.ended
	k.busy = true
	k.callers.mu.Unlock()
	if ended {
		return 0, net.ErrClosed
	}
	k.framing.feed(b[:n])
	return n, err
}

// CloseWrite lets net/http end its sending first where it leaves unread what a caller sent: a close alone would
// become a reset, and take the answer with it.
func (k *caller) CloseWrite() error {
	half, ok := k.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// roomyListener accepts only what there is room for, and closes the rest at once.
type roomyListener struct {
	net.Listener
	callers  *callers
	accepted atomic.Int64 // Unix time of the last
}

func (l *roomyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.accepted.Store(time.Now().UnixNano())
		if k := l.callers.admit(conn); k != nil {
			return k, nil
		}
		conn.Close()
	}
}
