// Package console serves the operators' HTTP API on an address of its own: readiness, metrics, status documents, rule
// changes and operator overrides of backends. It makes no balancing decisions.
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

// Controller handles the operators' requests. Its methods may be called at any time and must return at once.
type Controller interface {
	// Ready reports whether this process accepts clients.
	Ready() bool
	// Figures appends the metrics to text.
	Figures(text []byte) []byte
	// Status returns the status of this process as JSON.
	Status() ([]byte, error)
	// Fleet returns this process's view of the other members of the fleet as JSON. It returns ErrDisabled where this
	// process exchanges no messages with others.
	Fleet(ctx context.Context) ([]byte, error)
	// Rules returns the rules that the fleet agreed on and this process's status in the consensus, as JSON. It returns
	// ErrDisabled where the fleet agrees on nothing.
	Rules(ctx context.Context) ([]byte, error)
	// Recovery returns the progress of this process's recovery since its start as JSON. It returns ErrDisabled where no
	// state is persistent.
	Recovery(ctx context.Context) ([]byte, error)
	// Propose submits a rule change to the consensus and waits for the result; the change and the result are JSON. It
	// returns ErrDisabled, ErrInvalid or ErrRefused where the change cannot be agreed on.
	Propose(ctx context.Context, change []byte) ([]byte, error)
	// Refound makes a voter of the rules continue alone, in place of the other voters, which are permanently lost.
	Refound(ctx context.Context) error
	// Suspend takes a server out of rotation until Resume. After it returns, nothing new is sent to the server. It
	// returns an error if no list has ever named the server, and ErrNotPersisted if a power loss would undo the change.
	Suspend(ctx context.Context, id string) error
	// Resume puts a server back into rotation.
	Resume(ctx context.Context, id string) error
}

// ErrDisabled is returned for a request about a feature that is not enabled.
var ErrDisabled = errors.New("not switched on: its section is not in the operator file")

var (
	// ErrInvalid is returned for a malformed or inconsistent request.
	ErrInvalid = errors.New("the call makes no sense")
	// ErrNotPersisted is returned for an operator override that is in effect but not stored on disk.
	ErrNotPersisted = errors.New("done, and not lasting")
	// ErrRefused is returned for a change that was rejected. The error that it is joined with gives the reason.
	ErrRefused = errors.New("turned away")
)

const (
	maxBodyBytes = 64 << 10
	// callTimeout bounds a call from its connection to its last byte, so that operators have an answer within 1 s.
	callTimeout    = 900 * time.Millisecond
	maxHeaderBytes = 4 << 10
	maxIDBytes     = 256
)

// Server is the console's HTTP server.
type Server struct {
	controller Controller
	log        *slog.Logger
	listener   *listener
	http       *http.Server
}

// New opens the console's listening socket; calls are answered once Serve runs. The console holds at most conns
// connections, as described at listener.
func New(address string, conns int, controller Controller, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	s := &Server{controller: controller, log: log, listener: newListener(l.(*net.TCPListener), conns)}
	s.http = &http.Server{
		Handler:           s,
		ReadTimeout:       callTimeout,
		ReadHeaderTimeout: callTimeout,
		WriteTimeout:      2 * callTimeout, // starts when the head has been read; the response fits the socket's buffer
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.listener.track,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s, nil
}

// Addr returns the address on which the console listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// Close shuts the console down and aborts every call in progress.
func (s *Server) Close() {
	s.http.Close()
	s.listener.Close() // needed if Serve was never called
}

// ServeHTTP answers one call. It splits the path before it unescapes the segments, so that an id may contain any
// character, also a slash.
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
			w.Write(s.controller.Figures(nil))
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
	documents := map[string]func(context.Context) ([]byte, error){
		"/v1/status": func(context.Context) ([]byte, error) { return s.controller.Status() },
		"/v1/fleet":  s.controller.Fleet,
		"/v1/rules":  s.controller.Rules,

		"/v1/recovery": s.controller.Recovery,
	}
	if document := documents[path]; document != nil {
		if allow(w, r, http.MethodGet, http.MethodHead) {
			writeDocument(r.Context(), w, document)
		}
		return
	}
	rest, found := strings.CutPrefix(path, "/v1/backends/")
	escaped, verb, _ := strings.Cut(rest, "/")
	action, known := map[string]func(context.Context, string) error{"suspend": s.controller.Suspend, "resume": s.controller.Resume}[verb]
	if !found || !known {
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
	err = action(r.Context(), id)
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

// refound answers the call that makes a voter continue alone.
func (s *Server) refound(w http.ResponseWriter, r *http.Request) {
	err := s.controller.Refound(r.Context())
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

// propose answers a proposed rule change.
func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := s.controller.Propose(r.Context(), text)
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

// writeDocument answers with the JSON that document returns.
func writeDocument(ctx context.Context, w http.ResponseWriter, document func(context.Context) ([]byte, error)) {
	text, err := document(ctx)
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
	if !s.controller.Ready() {
		http.Error(w, "not taking clients", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// allow reports whether the call's method is one of methods, and answers the call with an error if not.
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

// readID decodes a server's id from a segment of the path.
func readID(segment string) (string, error) {
	id, err := url.PathUnescape(segment)
	switch {
	case err != nil:
		return "", fmt.Errorf("backend's id: %w", err)
	case id == "":
		return "", errors.New("backend's id: empty")
	case len(id) > maxIDBytes:
		return "", fmt.Errorf("backend's id: over %d bytes", maxIDBytes)
	case !utf8.ValidString(id) || strings.ContainsFunc(id, unicode.IsControl):
		return "", errors.New("backend's id: not plain text")
	}
	return id, nil
}
