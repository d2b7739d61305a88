package slowclients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Backend is a server that reads each request whole, and answers with as many bytes as the path says ("/bytes/1024"), with an
// answer that it writes slowly (PacedAnswer.Path), with as many bytes behind a large head ("/headed/1024"), late ("/late"), or with
// the request's id.
type Backend struct {
	listener net.Listener
	server   *http.Server
}

// NewBackend starts a backend at a free address of loopback.
func NewBackend() (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("slow clients: backend: %w", err)
	}
	b := &Backend{listener: l}
	b.server = &http.Server{Handler: http.HandlerFunc(answer)}
	go b.server.Serve(l)
	return b, nil
}

// Address returns the address at which the backend listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Close ends the backend and its connections.
func (b *Backend) Close() { b.server.Close() }

// readSlowlyPath is the beginning of the path of a request whose body a Backend reads at so many bytes per second as follow.
const readSlowlyPath = "/read/"

const (
	// largeHeadPath is the beginning of the path that asks for an answer with a large head, of as many bytes as follow.
	largeHeadPath = "/headed/"
	// latePath asks for an answer that comes after lateAnswer.
	latePath   = "/late"
	lateAnswer = 3 * time.Second
)

// slowReader reads at a limited rate.
type slowReader struct {
	from           io.Reader
	bytesPerSecond int
}

func (r *slowReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b[:min(len(b), r.bytesPerSecond*int(slowStep/time.Millisecond)/1000)])
	time.Sleep(slowStep)
	return n, err
}

// answerPiece is how many bytes of a long answer are written at a time.
const answerPiece = 16 << 10

func answer(w http.ResponseWriter, r *http.Request) {
	if rate, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, readSlowlyPath)); err == nil {
		r.Body = io.NopCloser(&slowReader{from: r.Body, bytesPerSecond: rate})
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if paced, ok := parsePaced(r.URL.Path); ok {
		paced.write(w)
		return
	}
	if r.URL.Path == latePath {
		time.Sleep(lateAnswer)
	}
	path, large := strings.CutPrefix(r.URL.Path, largeHeadPath)
	for n := range allowedFields {
		if large {
			w.Header().Set(fmt.Sprint("X-Pad-", n), strings.Repeat("p", allowedFieldSize))
		}
	}
	size, err := strconv.Atoi(strings.TrimPrefix(path, "/bytes/"))
	if err != nil {
		io.WriteString(w, r.Header.Get("X-Txn"))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for piece := make([]byte, answerPiece); size > 0; size -= len(piece) {
		piece = piece[:min(size, len(piece))]
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}
