// Package front answers callers over HTTP/1.1: it checks what they ask, hands it to a balancer's host and
// writes the one final answer. It decides nothing.
package front

import (
	"errors"
	"fmt"
	"io"
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
	"brasswell/internal/host"
	"brasswell/internal/restart"
	"brasswell/internal/settings"
)

// leftoverWait is how long what is left of a request that is turned away may hold its connection.
const leftoverWait = 100 * time.Millisecond

// Front is the callers' side.
type Front struct {
	instance *host.Instance
	bodies   *body.Budget
	callers  *callers.Set
	classes  map[string]int
	tenants  map[string]int
	class    []balance.Class
	restart  *restart.Restart
	options  atomic.Pointer[Options]
	figures  *figures.Counters
	channels *channel.Table // nil where there are none

	mu   sync.Mutex
	open map[string]struct{} // the ids of the requests that are not answered yet
	// elsewhere holds those of another process of this proxy, as of when this one began.
	elsewhere map[string]struct{}
}

// New returns a front that hands requests to i. bodies and callers may be shared with other fronts.
func New(s *settings.Settings, i *host.Instance, bodies *body.Budget, callers *callers.Set, r *restart.Restart, book *figures.Counters, o Options) *Front {
	srv := &Front{
		instance: i, bodies: bodies, callers: callers, restart: r, figures: book,
		classes: map[string]int{}, tenants: map[string]int{}, class: s.Balancer.Classes,
		open: map[string]struct{}{},
	}
	srv.options.Store(&o)
	for n, name := range s.Classes {
		srv.classes[name] = n
	}
	for n, name := range s.Tenants {
		srv.tenants[name] = n
	}
	return srv
}

func (s *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.restart.Closing() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/_health" {
		s.health(w)
		return
	}
	ask, err := s.read(r)
	if err != nil {
		s.turnAway(w, ask, http.StatusBadRequest, err)
		return
	}
	if !s.begin(ask.id) {
		s.turnAway(w, ask, http.StatusConflict, fmt.Errorf("%s: a request with this id is open", IDField))
		return
	}
	defer s.finish(ask.id)
	if s.callers.OverSoftLimit() {
		// All sockets are busy. The request was never sent, so trying again is harmless.
		s.turnAway(w, ask, http.StatusServiceUnavailable, errors.New("too many connections"))
		return
	}
	if s.channels != nil && handshake.IsUpgrade(r) {
		s.upgrade(w, r, ask)
		return
	}
	kept, rest, err := s.readBody(w, r)
	switch {
	case err != nil:
		s.turnAway(w, ask, badBody(err), err)
	case rest != nil:
		s.serveStream(w, r, ask, kept, rest)
	default:
		s.serve(w, r, ask, kept)
	}
}

// badBody is the status for a body that cannot be read.
func badBody(err error) int {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, body.ErrNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

func (s *Front) serve(w http.ResponseWriter, r *http.Request, ask ask, kept *body.Body) {
	if r.TransferEncoding != nil {
		w.Header().Set("Connection", "close") // framing does not follow it past the chunks
	}
	taken := time.Now()
	s.figures.RequestStarted()
	defer s.figures.RequestEnded()
	f := s.await(r, s.submit(r, ask, kept))
	if f.Verdict == host.Served {
		s.restart.ObserveLatency(time.Since(taken))
	}
	s.answer(w, ask, f)
}

// await returns the request's final answer, which comes at once if its caller leaves or the proxy ends.
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

// submit hands a request to the balancer. The time of one that has come whole has run since its last byte came.
func (s *Front) submit(r *http.Request, a ask, kept *body.Body) *host.Request {
	left := a.left
	if c := callers.ConnOf(r); c != nil && kept.Stream() == nil {
		left -= c.SinceLastData()
	}
	return s.instance.Submit(callerOf(r), newMessage(r, a.class, kept), a.class, a.tenant, left, s.restart.RequestTimeCap(left))
}

// callerOf is who waits for a request's answer; nil where the server does not track its connections.
func callerOf(r *http.Request) host.Caller {
	if c := callers.ConnOf(r); c != nil {
		return c
	}
	return nil
}

var outcomes = map[host.Verdict]figures.Outcome{
	host.Served: figures.Served, host.Refused: figures.Refused, host.Failed: figures.Failed,
}

// begin notes a request's id until finish, unless a request with that id is open.
func (s *Front) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.open[id]; open {
		return false
	}
	if _, open := s.elsewhere[id]; open {
		return false
	}
	s.open[id] = struct{}{}
	return true
}

// Open returns the ids of the requests that are not answered yet.
func (s *Front) OpenIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// SetElsewhere names the ids of requests that another process of this proxy has open; nil for none.
func (s *Front) SetOpenElsewhere(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elsewhere = make(map[string]struct{}, len(ids))
	for _, id := range ids {
		s.elsewhere[id] = struct{}{}
	}
}

func (s *Front) finish(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}

func (s *Front) health(w http.ResponseWriter) {
	if s.restart.Begun() || !s.instance.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readBody reads the request to its last byte, or returns what the rest of a long one comes from.
func (s *Front) readBody(w http.ResponseWriter, r *http.Request) (*body.Body, io.Reader, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	control := http.NewResponseController(w)
	paced := newPacedReader(r.Body, control, s.options.Load().bodyPace())
	b, rest, err := body.Read(paced, r.ContentLength, s.bodies)
	if err == nil && rest == nil {
		// A deadline left standing would later look as if the caller had gone.
		control.SetReadDeadline(time.Time{})
	}
	return b, rest, err
}

// SetOptions changes the options that can change while serving: not HeadTimeout, IdleTimeout and MaxHead, which
// the HTTP server has taken over.
func (s *Front) SetOptions(o Options) {
	s.options.Store(&o)
	s.callers.SetOnceIdle(o.OnceIdle)
}
