// Package front answers callers over HTTP/1.1: it validates each request, passes it to a balancer's host and writes
// the one final answer. It makes no balancing decisions.
package front

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/balance"
	"brasswell/internal/body"
	"brasswell/internal/callers"
	"brasswell/internal/channel"
	"brasswell/internal/channel/handshake"
	"brasswell/internal/figures"
	"brasswell/internal/framing"
	"brasswell/internal/front/claims"
	"brasswell/internal/host"
	"brasswell/internal/memory"
	"brasswell/internal/restart"
	"brasswell/internal/settings"
)

// unreadBodyWait is how long the unread rest of a rejected request may hold its connection.
const unreadBodyWait = 100 * time.Millisecond

// Front is the HTTP handler for the callers' requests.
type Front struct {
	instance     *host.Instance
	memory       *memory.Account
	callers      *callers.Set
	unserved     *unservedLog
	classIndex   map[string]int
	tenantIndex  map[string]int
	classConfigs []balance.Class
	restart      *restart.Restart
	options      atomic.Pointer[Options]
	figures      *figures.Counters
	channels     *channel.Table // nil if channels are not supported

	claims *claims.Table

	mu      sync.Mutex
	openIDs map[string]struct{} // the IDs of the requests that are not answered yet
	// openElsewhere holds the IDs of the requests that another process of this proxy had open when this one started. It
	// matters if that process is of a version that does not share its claims.
	openElsewhere map[string]struct{}
}

// New returns a front that passes requests to i. account and callers may be shared with other fronts.
func New(s *settings.Settings, i *host.Instance, account *memory.Account, callers *callers.Set, r *restart.Restart, counters *figures.Counters, o Options) *Front {
	front := &Front{
		instance: i, memory: account, callers: callers, restart: r, figures: counters,
		classIndex: map[string]int{}, tenantIndex: map[string]int{}, classConfigs: s.Balancer.Classes,
		openIDs: map[string]struct{}{}, unserved: newUnservedLog(slog.New(slog.DiscardHandler)),
	}
	front.options.Store(&o)
	for n, name := range s.Classes {
		front.classIndex[name] = n
	}
	for n, name := range s.Tenants {
		front.tenantIndex[name] = n
	}
	return front
}

// ServeHTTP answers a health check, or serves a request and writes its one final answer.
func (s *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer answering(r) // net/http writes the end of an answer behind this
	kind := framingOf(r)
	if s.restart.Closing() || kind != framing.Plain {
		w.Header().Set("Connection", "close") // framing does not track what follows a message with a transfer coding
	}
	if r.URL.Path == "/_health" {
		paceLocalAnswer(r)
		s.health(w)
		return
	}
	info, err := s.readHead(r, kind)
	if err != nil {
		s.reject(w, info, http.StatusBadRequest, err)
		return
	}
	info.open = s.begin(info.id)
	if info.open == nil {
		s.reject(w, info, http.StatusConflict, fmt.Errorf("%s: a request with this id is open or may have run: send a new id", IDField))
		return
	}
	defer s.finish(info)
	if s.callers.OverSoftLimit() {
		// All sockets are busy. The request was never sent to a backend, so a retry is harmless.
		s.reject(w, info, http.StatusServiceUnavailable, errors.New("too many connections"))
		return
	}
	held := s.newHeldRequest(r)
	defer held.release()
	if err := held.grow(memory.RequestBytes); err != nil {
		s.refuseForMemory(w, r, info, err)
		return
	}
	if s.channels != nil && handshake.IsUpgrade(r) {
		s.upgrade(w, r, info)
		return
	}
	buffered, rest, err := s.readBody(w, r)
	if err == nil {
		if err = held.grow(memory.AttemptBytes); err != nil {
			buffered.Release()
		}
	}
	switch {
	case errors.Is(err, memory.ErrExhausted):
		s.refuseForMemory(w, r, info, err)
	case err != nil:
		s.reject(w, info, bodyErrorStatus(err), err)
	case rest != nil:
		s.serveStream(w, r, info, buffered, rest)
	default:
		s.serve(w, r, info, buffered)
	}
}

// answering notes that the answer to a request is about to be written.
func answering(r *http.Request) {
	if c := callers.ConnOf(r); c != nil {
		c.Answering()
	}
}

// paceLocalAnswer delays an answer for which no backend was asked, if its caller gets very many of them.
func paceLocalAnswer(r *http.Request) {
	if c := callers.ConnOf(r); c != nil {
		c.PaceLocalAnswer()
	}
}

// bodyErrorStatus returns the status for a body that cannot be read.
func bodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

func (s *Front) serve(w http.ResponseWriter, r *http.Request, info requestInfo, buffered *body.Body) {
	taken := time.Now()
	s.figures.RequestStarted()
	defer s.figures.RequestEnded()
	f := s.await(r, s.submit(r, info, buffered))
	switch {
	case f.Outcome == host.Served:
		s.restart.ObserveLatency(time.Since(taken))
	case f.Outcome == host.Refused:
		paceLocalAnswer(r)
	}
	answering(r)
	s.answer(w, info, f)
}

// await returns the request's final answer. It drops the request, and so returns at once, if the caller disconnects
// or the proxy stops.
func (s *Front) await(r *http.Request, q *host.Request) host.Final {
	select {
	case f := <-q.Final():
		return f
	case <-r.Context().Done():
	case <-s.restart.Expired():
	}
	s.instance.Drop(q)
	return <-q.Final()
}

// submit passes a request to the balancer. For a request that was read whole, the time since its last byte arrived
// is subtracted from its remaining time.
func (s *Front) submit(r *http.Request, info requestInfo, buffered *body.Body) *host.Request {
	remaining := info.remaining
	if buffered.Stream() == nil {
		remaining -= sinceLastData(r)
	}
	info.open.submitted = s.instance.Submit(callerOf(r), newMessage(r, info.class, buffered), info.class, info.tenant, remaining, s.restart.RequestTimeCap(remaining))
	return info.open.submitted
}

// sinceLastData returns how long ago a request's last bytes arrived, or 0 if this is not known.
func sinceLastData(r *http.Request) time.Duration {
	if c := callers.ConnOf(r); c != nil {
		return c.SinceLastData()
	}
	return 0
}

// callerOf returns the connection that waits for a request's answer, or nil if the server does not track its
// connections.
func callerOf(r *http.Request) host.Caller {
	if c := callers.ConnOf(r); c != nil {
		return c
	}
	return nil
}

var outcomes = map[host.Outcome]figures.Outcome{
	host.Served: figures.Served, host.Refused: figures.Refused, host.Failed: figures.Failed,
}

// retainTime is how long an ID is rejected after its request may have had an effect that must not be repeated. A caller
// that has left may send it again.
const retainTime = time.Minute

// openRequest is a request from begin until finish.
type openRequest struct {
	id        string
	claim     claims.Claim
	submitted *host.Request // nil before it is submitted
}

// begin records a request's ID until finish is called. It returns nil if the ID is in use, or if a request that must not
// be repeated may have run under it.
func (s *Front) begin(id string) *openRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.openElsewhere[id]; open {
		return nil
	}
	claim, ok := s.claims.Claim(id)
	if !ok {
		return nil
	}
	s.openIDs[id] = struct{}{}
	return &openRequest{id: id, claim: claim}
}

// SetClaims sets the table of the IDs in use, which other processes may share. It must be called before the front serves
// requests.
func (s *Front) SetClaims(t *claims.Table) { s.claims = t }

// OpenIDs returns the IDs of the requests that are not answered yet.
func (s *Front) OpenIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.openIDs))
}

// SetOpenElsewhere sets the IDs of the requests that another process of this proxy has open; nil for none.
func (s *Front) SetOpenElsewhere(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openElsewhere = make(map[string]struct{}, len(ids))
	for _, id := range ids {
		s.openElsewhere[id] = struct{}{}
	}
}

// finish ends what begin has recorded.
func (s *Front) finish(info requestInfo) {
	o := info.open
	repeatable := s.classConfigs[info.class].Effect == balance.Idempotent
	if o.submitted == nil || repeatable || !s.instance.MayHaveRun(o.submitted) {
		o.claim.Release()
	} else {
		o.claim.Retain(retainTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openIDs, o.id)
}

func (s *Front) health(w http.ResponseWriter) {
	if s.restart.Begun() || !s.instance.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readBody reads a short body whole. For a long body, it also returns the reader that supplies the rest.
func (s *Front) readBody(w http.ResponseWriter, r *http.Request) (*body.Body, io.Reader, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	control := http.NewResponseController(w)
	reader := newMinRateReader(r.Body, control, s.options.Load().bodyRate())
	b, rest, err := body.Read(reader, r.ContentLength, s.memory)
	if err == nil && rest == nil {
		// An expired deadline would later look as if the caller had gone.
		control.SetReadDeadline(time.Time{})
	}
	return b, rest, err
}

// SetOptions changes the options that can change while serving. HeadTimeout, IdleTimeout and MaxHead cannot, because
// the HTTP server uses the values that it was started with.
func (s *Front) SetOptions(o Options) {
	s.options.Store(&o)
	s.callers.SetOnceIdle(o.OnceIdle)
}
