package play2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a request at a backend.
type Request struct {
	*http.Request
	ID   string
	Body []byte
	Conn net.Conn
	Read *bufio.Reader
}

// Backend is a backend. It answers as the protocol page says, unless Handle does it.
type Backend struct {
	Host Host
	// Handle answers a request and reports whether the connection stays open. nil answers at once.
	Handle func(b *Backend, q *Request) bool

	run *Run
}

// StartBackend starts a backend.
func (r *Run) StartBackend(name string, handle func(b *Backend, q *Request) bool) *Backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	b := &Backend{Host: Host{Host: name, Dial: l.Addr().String(), Site: "a", Class: "m", Block: 1, Health: "up", Share: 1}, Handle: handle, run: r}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// Answer is the body that a backend makes for a request.
func (b *Backend) Answer(q *Request) string { return "answer for " + q.ID + " from " + b.Host.Host }

// Text is a whole 200 answer.
func Text(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Reply writes a whole 200 answer.
func (q *Request) Reply(body string) bool {
	_, err := io.WriteString(q.Conn, Text(body))
	return err == nil
}

func (b *Backend) serve(c net.Conn) {
	defer c.Close()
	read := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(ConnIdle))
		h, err := http.ReadRequest(read)
		if err != nil {
			return
		}
		body, err := io.ReadAll(h.Body)
		if err != nil {
			return
		}
		q := &Request{Request: h, ID: h.Header.Get("X-Txn"), Body: body, Conn: c, Read: read}
		b.run.Note("%s got %s %s id=%s body=%d", b.Host.Host, h.Method, h.RequestURI, q.ID, len(body))
		switch {
		case q.ID == "":
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		case !b.run.WasSent(q.ID):
			b.run.Break("%s got a request with the id %s, which no client sent: %s %s", b.Host.Host, q.ID, h.Method, h.RequestURI)
			io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		case b.Handle != nil:
			if !b.Handle(b, q) {
				return
			}
		default:
			if !q.Reply(b.Answer(q)) {
				return
			}
		}
	}
}

// WillSend records that a client is about to send a request with an id.
func (r *Run) WillSend(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = true
}

// WasSent reports whether a client has sent a request with an id.
func (r *Run) WasSent(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[id]
}
