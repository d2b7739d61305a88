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

// Channel is a connection that a backend has changed to the WebSocket protocol. Who takes it has to close it.
type Channel struct {
	Server    string
	Conn      *net.TCPConn
	Header    http.Header // of the answer of 101
	Buffered  []byte      // what has come behind it
	Agreement handshake.Agreement
}

// Upgrade carries out one attempt of a request for a channel, on a connection of its own. A backend that answers with
// anything else than 101 does not speak the protocol on this path, whichever of them is asked.
func (p *Pool) Upgrade(ctx context.Context, to Endpoint, m *Message, a Attempt) (balance.Outcome, *Reply) {
	if err := p.reserve(); err != nil {
		return p.unconnected(ctx, to, err), nil
	}
	defer p.unreserve() // a channel counts elsewhere
	nc, err := p.dialAddress(ctx, to.Address)
	if err != nil {
		return p.unconnected(ctx, to, err), nil
	}
	left, wanted := a.Begin()
	if !wanted {
		nc.Close()
		return balance.Ignored, nil
	}
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	outcome, c, err := p.shakeHands(nc, m, left)
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

// shakeHands returns a nil channel and the outcome where there is none.
func (p *Pool) shakeHands(nc net.Conn, m *Message, left time.Duration) (balance.Outcome, *Channel, error) {
	if err := writeUpgrade(nc, m, left); err != nil {
		return balance.Reset, nil, err
	}
	if p.written != nil {
		p.written(m.Class)
	}
	bounded := &io.LimitedReader{R: nc, N: maxAnswerHead}
	r := bufio.NewReader(bounded)
	var resp *http.Response
	p.mu.Lock()
	answerTimeout := p.options.AnswerTimeout
	p.mu.Unlock()
	for interim := 0; ; interim++ {
		// As long as nothing has come, the attempt's own time holds; an answer that falls silent will not go on.
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
			return balance.Failed, nil, errInterim
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
		return balance.Failed, nil, fmt.Errorf("a channel over %s", nc.LocalAddr().Network())
	}
	behind, err := r.Peek(r.Buffered())
	if err != nil {
		return balance.Failed, nil, err
	}
	return balance.OK, &Channel{Conn: tcp, Header: resp.Header, Buffered: append([]byte(nil), behind...), Agreement: agreed}, nil
}

// writeUpgrade writes the head of a request for a channel. http.Request.Write would do it, if it did not add and drop
// fields of its own.
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

// reserve takes one of the pool's places for a connection that is not one of the pool's.
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
