// Package console answers operators on an address of their own: readiness, figures, and servers taken out and put
// back by hand. It decides nothing.
package console

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Desk is what operators ask and say. Its methods may be called at any time and must return at once.
type Controller interface {
	// Ready says whether this process takes clients.
	Ready() bool
	// Figures appends the figures to text.
	Figures(text []byte) []byte
	// Status says how this process stands, as JSON.
	Status() ([]byte, error)
	// Fleet says who else of the fleet is there, as JSON; ErrNone where this process talks to no other.
	Fleet(ctx context.Context) ([]byte, error)
	// Rules says what this process's fleet agrees on and how it stands in that, as JSON; ErrNone where it agrees on nothing.
	Rules(ctx context.Context) ([]byte, error)
	// Recovery says how this process has come back after its start, as JSON; ErrNone where nothing lasts.
	Recovery(ctx context.Context) ([]byte, error)
	// Propose has a change agreed, both in JSON; ErrNone, ErrBad or ErrRefused where that cannot be.
	Propose(ctx context.Context, change []byte) ([]byte, error)
	// Refound has a keeper of the rules go on alone, in place of the others, which are lost for good.
	Refound(ctx context.Context) error
	// Suspend takes a server out until Resume; once it has returned, nothing new begins to go there. It is an
	// error if no list has ever named the server, and ErrNotKept if a power loss would undo it.
	Suspend(ctx context.Context, id string) error
	// Resume puts a server back.
	Resume(ctx context.Context, id string) error
}

// ErrNone is that of a question about a part that is not switched on.
var ErrDisabled = errors.New("not switched on: its section is not in the operator file")

var (
	// ErrBad is that of a call that makes no sense.
	ErrInvalid = errors.New("the call makes no sense")
	// ErrNotKept is that of a change by hand that holds, and is not on disk.
	ErrNotPersisted = errors.New("done, and not lasting")
	// ErrRefused is that of a change that was turned away; what it is joined with says why.
	ErrRefused = errors.New("turned away")
)

const (
	maxBody = 64 << 10 // bytes
	// callTime bounds a call from its connection to its last byte; what operators are owed is an answer within 1 s.
	callTime = 900 * time.Millisecond
	maxHead  = 4 << 10 // bytes
	maxID    = 256     // bytes
)

// Server is a console.
type Server struct {
	desk     Controller
	log      *slog.Logger
	listener *listener
	http     *http.Server
}

// New opens a console that answers nothing before Serve. It holds conns connections at most: see listener.
func New(address string, conns int, desk Controller, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	s := &Server{desk: desk, log: log, listener: newListener(l.(*net.TCPListener), conns)}
	s.http = &http.Server{
		Handler:           s,
		ReadTimeout:       callTime,
		ReadHeaderTimeout: callTime,
		WriteTimeout:      2 * callTime, // counts from the head, and what is written fits the socket's buffer
		MaxHeaderBytes:    maxHead,
		ConnState:         s.listener.track,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.http.SetKeepAlivesEnabled(false) // one call to a connection
	return s, nil
}

// Addr is where the console listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// Close ends the console and every call on it.
func (s *Server) Close() {
	s.http.Close()
	s.listener.Close() // where Serve has not been called
}

// ServeHTTP answers one call. The path is taken apart before it is unescaped, so that an id may hold any character.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	switch path {
	case "/v1/readyz":
		if allow(w, r, http.MethodGet, http.MethodHead) {
			s.ready(w)
		}
		return
	case "/v1/metrics":
		if allow(w, r, http.MethodGet, http.MethodHead) {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			w.Write(s.desk.Figures(nil))
		}
		return
	}
	if path == "/v1/rules" && r.Method == http.MethodPost {
		s.propose(w, r)
		return
	}
	if path == "/v1/rules/refound" {
		if allow(w, r, http.MethodPost) {
			s.refound(w, r)
		}
		return
	}
	tables := map[string]func(context.Context) ([]byte, error){
		"/v1/status": func(context.Context) ([]byte, error) { return s.desk.Status() },
		"/v1/fleet":  s.desk.Fleet,
		"/v1/rules":  s.desk.Rules,

		"/v1/recovery": s.desk.Recovery,
	}
	if table := tables[path]; table != nil {
		if allow(w, r, http.MethodGet, http.MethodHead) {
			show(r.Context(), w, table)
		}
		return
	}
	rest, server := strings.CutPrefix(path, "/v1/backends/")
	escaped, verb, _ := strings.Cut(rest, "/")
	act, known := map[string]func(context.Context, string) error{"suspend": s.desk.Suspend, "resume": s.desk.Resume}[verb]
	if !server || !known {
		http.Error(w, fmt.Sprintf("no such call: %.200q", path), http.StatusNotFound)
		return
	}
	if !allow(w, r, http.MethodPost) {
		return
	}
	id, err := readID(escaped)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = act(r.Context(), id)
	s.log.Info("console: by hand", "action", verb, "backend", id, "caller", r.RemoteAddr, "refused", err)
	switch {
	case errors.Is(err, ErrNotPersisted):
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	fmt.Fprintf(w, "%s: %s\n", verb, id)
}

// refound answers the call by which a keeper goes on alone.
func (s *Server) refound(w http.ResponseWriter, r *http.Request) {
	err := s.desk.Refound(r.Context())
	s.log.Warn("console: by hand", "action", "refound", "caller", r.RemoteAddr, "refused", err)
	switch {
	case err == nil:
		fmt.Fprintln(w, "refound: this keeper goes on alone")
	case errors.Is(err, ErrDisabled):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// propose answers a proposal.
func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := s.desk.Propose(r.Context(), text)
	s.log.Info("console: by hand", "action", "propose", "caller", r.RemoteAddr, "refused", err)
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		w.Write(answer)
	case errors.Is(err, ErrDisabled):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, ErrRefused):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}

// show answers with what JSON a table gives.
func show(ctx context.Context, w http.ResponseWriter, table func(context.Context) ([]byte, error)) {
	text, err := table(ctx)
	if errors.Is(err, ErrDisabled) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

func (s *Server) ready(w http.ResponseWriter) {
	if !s.desk.Ready() {
		http.Error(w, "not taking clients", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// allow says whether the call's method is one of these, and answers it if not.
func allow(w http.ResponseWriter, r *http.Request, methods ...string) bool {
	for _, m := range methods {
		if r.Method == m {
			return true
		}
	}
	list := strings.Join(methods, ", ")
	w.Header().Set("Allow", list)
	http.Error(w, "this call wants "+list, http.StatusMethodNotAllowed)
	return false
}

// readID reads a server's id from a path's segment.
func readID(segment string) (string, error) {
	id, err := url.PathUnescape(segment)
	switch {
	case err != nil:
		return "", fmt.Errorf("backend's id: %w", err)
	case id == "":
		return "", errors.New("backend's id: empty")
	case len(id) > maxID:
		return "", fmt.Errorf("backend's id: over %d bytes", maxID)
	case !utf8.ValidString(id) || strings.ContainsFunc(id, unicode.IsControl):
		return "", errors.New("backend's id: not plain text")
	}
	return id, nil
}
