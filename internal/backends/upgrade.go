package backends

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"time"

	"brasswell/balance"
	"brasswell/internal/channel/handshake"
)

// Channel is a connection that a backend has switched to the WebSocket protocol. The receiver must close it.
type Channel struct {
	Server    string
	Conn      *net.TCPConn
	Header    http.Header // headers of the 101 response
	Buffered  []byte      // bytes that arrived after the 101 response
	Agreement handshake.Agreement
}

// Upgrade performs one attempt of a WebSocket upgrade, on a new connection. A backend that responds with any other
// status than 101, and reports no fault, does not support the protocol on this path, and neither do the other backends.
func (p *Pool) Upgrade(ctx context.Context, to Endpoint, m *Message, a Attempt) (balance.Outcome, *Reply) {
	if err := p.reserve(); err != nil {
		return p.connectFailed(ctx, to, err), nil
	}
	defer p.unreserve() // channels are counted elsewhere
	nc, err := p.dialAddress(ctx, to.Address)
	if err != nil {
		return p.connectFailed(ctx, to, err), nil
	}
	permit := a.Begin()
	if !permit.Wanted {
		nc.Close()
		return balance.Ignored, nil
	}
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	outcome, c, err := p.performHandshake(nc, m, permit.Announce)
	if !stop() || err != nil || c == nil {
		nc.Close()
		if ctx.Err() != nil {
			return endedOutcome(ctx), nil
		}
		return outcome, nil
	}
	c.Server = to.Server
	return balance.OK, &Reply{Header: c.Header, Channel: c}
}

// performHandshake requests the upgrade and reads the response. If there is no channel, it returns nil and the outcome.
func (p *Pool) performHandshake(nc net.Conn, m *Message, left time.Duration) (balance.Outcome, *Channel, error) {
	if err := writeUpgrade(nc, m, left); err != nil {
		return balance.Reset, nil, err
	}
	if p.onWritten != nil {
		p.onWritten(m.Class)
	}
	bounded := &io.LimitedReader{R: nc, N: maxAnswerHead}
	r := bufio.NewReader(bounded)
	var resp *http.Response
	p.mu.Lock()
	answerTimeout := p.options.AnswerTimeout
	p.mu.Unlock()
	for interim := 0; ; interim++ {
		// Until the first byte arrives, only the attempt's own timeout applies. A response that stalls after its first byte
		// is not expected to continue.
		nc.SetReadDeadline(time.Time{})
		if _, err := r.Peek(1); err != nil {
			return balance.Reset, nil, fmt.Errorf("answer: %w", err)
		}
		nc.SetReadDeadline(time.Now().Add(answerTimeout))
		var err error
		if resp, err = http.ReadResponse(r, &http.Request{Method: http.MethodGet}); err != nil {
			return balance.Reset, nil, fmt.Errorf("answer: %w", err)
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
		if interim >= maxInterim {
			return balance.Failed, nil, errTooManyInterim
		}
	}
	switch status := resp.StatusCode; {
	case status == http.StatusSwitchingProtocols:
	case turnedAway(resp):
		return balance.QueueFull, nil, nil
	case status >= 500:
		return balance.Failed, nil, nil
	default:
		return balance.Rejected, nil, nil
	}
	nc.SetReadDeadline(time.Time{})
	if resp.TransferEncoding != nil {
		return balance.Failed, nil, errFraming
	}
	agreed, err := m.Offer.Check(resp.Header)
	if err != nil {
		return balance.Failed, nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return balance.Failed, nil, fmt.Errorf("channel over network %s, not TCP", nc.LocalAddr().Network())
	}
	buffered, err := r.Peek(r.Buffered())
	if err != nil {
		return balance.Failed, nil, err
	}
	return balance.OK, &Channel{Conn: tcp, Header: resp.Header, Buffered: append([]byte(nil), buffered...), Agreement: agreed}, nil
}

// writeUpgrade writes the head of an upgrade request. http.Request.Write is unsuitable because it adds and removes header
// fields.
func writeUpgrade(w io.Writer, m *Message, left time.Duration) error {
	var b strings.Builder
	uri := m.URI
	if !strings.HasPrefix(uri, "/") {
		uri = m.URL.RequestURI()
	}
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n", uri, m.Host)
	header := maps.Clone(m.Header)
	setRemaining(header, left)
	if err := header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// reserve counts a connection that is not managed by the pool against the pool's limit.
func (p *Pool) reserve() error {
	var oldest *conn
	p.mu.Lock()
	if p.open >= p.limit {
		if oldest = p.oldestIdle(); oldest == nil {
			p.mu.Unlock()
			return errNoSockets
		}
		p.unpark(oldest)
	}
	p.open++
	p.mu.Unlock()
	if oldest != nil {
		oldest.discard()
	}
	return nil
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}
