package discovery

import (
	"fmt"
	"net"
	"sync"
)

// serviceUnavailable is the answer of a discovery that turns a call away.
const serviceUnavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// answerOf is an answer with a body.
func answerOf(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// pipes are connections to a discovery that is a part of the test, so that the test may set its clock. The zero value has none.
type pipes struct {
	mu     sync.Mutex
	open   []net.Conn // the ends of discovery
	serves sync.WaitGroup
}

// connect returns the caller's end of a connection whose other end is served.
func (p *pipes) connect(serve func(net.Conn)) net.Conn {
	near, far := net.Pipe()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = append(p.open, far)
	p.serves.Go(func() { serve(far) })
	return near
}

// disconnect ends all connections.
func (p *pipes) disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.Close()
	}
}
