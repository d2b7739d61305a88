package discovery

import (
	"fmt"
	"net"
	"sync"
)

// serviceUnavailable is the response of a discovery that turns a call away.
const serviceUnavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// answerOf returns a response with a body.
func answerOf(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// pipes is a set of connections to a discovery that is a part of the test, so that the test can control its clock.
// The zero value is empty.
type pipes struct {
	mu      sync.Mutex
	open    []net.Conn // the ends on the side of discovery
	serving sync.WaitGroup
}

// connect returns the end of the caller of a connection whose other end is served.
func (p *pipes) connect(serve func(net.Conn)) net.Conn {
	near, far := net.Pipe()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = append(p.open, far)
	p.serving.Go(func() { serve(far) })
	return near
}

// disconnect closes all connections.
func (p *pipes) disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.Close()
	}
}
