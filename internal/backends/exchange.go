// Package backends carries attempts out on connections to backends and says how each ended. It decides nothing.
package backends

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"brasswell/balance"
	"brasswell/internal/body"
)

const (
	// leftoverWait bounds how long the rest of an answer that nobody needs is read to save its connection.
	leftoverWait = 100 * time.Millisecond
	// maxAnswerHead ends a backend that sends headers without end, and maxInterim one that sends 1xx answers
	// without end.
	maxAnswerHead = 16 << 10
	maxInterim    = 20
)

// Why an attempt's context was ended.
var (
	ErrTimedOut = errors.New("the attempt's time is over")
	ErrCanceled = errors.New("the attempt was called off")
)

var (
	errNoSockets = errors.New("all backend sockets are in use")
	errStray     = errors.New("bytes that answer nothing")
	errInterim   = errors.New("interim answers without end")
	errFraming   = errors.New("an answer whose end cannot be told")
)

// Reply is a backend's whole 200 answer.
type Reply struct {
	Header http.Header
	Body   []byte
}

// Endpoint is one run of one server. A server that restarts or comes anew at the address of one that has gone
// is another endpoint: it must not get the old one's connections, which lead nowhere and may never say so.
type Endpoint struct {
	Server, Address string
	Boot            time.Duration
}

// Exchange carries one attempt out and says how it ended. begin is asked right before the request is
// written, and says how long the proxy will wait and whether it still wants to.
func (p *Pool) Exchange(ctx context.Context, to Endpoint, m *Message, begin func() (time.Duration, bool)) (balance.Outcome, *Reply) {
	for {
		c, reused, err := p.get(ctx, to)
		if err != nil {
			outcome := connectOutcome(ctx, err)
			if outcome == balance.ConnectError {
				p.distrust(to)
			}
			return outcome, nil
		}
		left, wanted := begin()
		if !wanted {
			p.release(c)
			return balance.Ignored, nil
		}
		resp, err := c.roundTrip(ctx, m, left)
		if err == nil {
			return p.receive(ctx, c, resp)
		}
		c.discard()
		if reused && !c.began.Load() && ctx.Err() == nil {
			// The backend closed it while it stood idle, which says nothing against the backend. No
			// whole request was written, so this is still the attempt's only copy.
			continue
		}
		outcome := c.brokenOutcome(ctx)
		if outcome == balance.TimedOut {
			p.distrust(to) // a machine that is cut off leaves all its connections open and silent
		}
		return outcome, nil
	}
}

// receive reads the answer whose head has come.
func (p *Pool) receive(ctx context.Context, c *conn, resp *http.Response) (balance.Outcome, *Reply) {
	c.watchRest()
	if resp.StatusCode != http.StatusOK {
		outcome := balance.Failed
		switch unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout; {
		case unavailable && resp.Header.Get("X-Turned-Away") == "1":
			outcome = balance.QueueFull
		case resp.StatusCode >= 400 && resp.StatusCode < 500:
			outcome = balance.Rejected
		}
		p.discardAnswer(c, resp)
		return outcome, nil
	}
	text, err := c.readAnswer(resp)
	if err != nil {
		c.discard()
		return c.brokenOutcome(ctx), nil
	}
	p.release(c)
	return balance.OK, &Reply{Header: resp.Header, Body: text}
}

// readAnswer reads a whole answer. One that is cut must not pass for whole, so its end has to be told by a
// length or by chunks, and not by both; one that is longer than the protocol knows is noise.
func (c *conn) readAnswer(resp *http.Response) ([]byte, error) {
	switch {
	case resp.ContentLength > body.MaxBytes:
		return nil, body.ErrTooLarge
	case resp.ContentLength < 0 && (resp.TransferEncoding == nil || !c.framing.Chunked()):
		return nil, errFraming
	case resp.ContentLength >= 0:
		text := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, text); err != nil {
			return nil, fmt.Errorf("answer: %w", err)
		}
		_, err := io.Copy(io.Discard, resp.Body) // meets the end, which sets the connection free
		return text, err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, body.MaxBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("answer: %w", err)
	case len(text) > body.MaxBytes:
		return nil, body.ErrTooLarge
	}
	return text, nil
}

// discardAnswer reads to the end of an answer whose body means nothing, or drops the connection.
func (p *Pool) discardAnswer(c *conn, resp *http.Response) {
	if resp.StatusCode < 200 || resp.ContentLength > body.MaxBytes {
		c.discard()
		return
	}
	late := time.AfterFunc(leftoverWait, c.discard)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, body.MaxBytes+1))
	if late.Stop() && err == nil && n <= body.MaxBytes {
		p.release(c)
		return
	}
	c.discard()
}

// connectOutcome is the outcome of an attempt that got no connection.
func connectOutcome(ctx context.Context, err error) balance.Outcome {
	if ctx.Err() != nil {
		return endedOutcome(ctx)
	}
	for _, own := range []error{
		errNoSockets, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, own) {
			return balance.Ignored // never sent, for want of something of ours: no blame on the backend
		}
	}
	return balance.ConnectError
}

// brokenOutcome is the outcome of an attempt whose connection broke: from the moment the write with the
// request's last byte begins, nobody can know that the backend did not get it.
func (c *conn) brokenOutcome(ctx context.Context) balance.Outcome {
	switch {
	case ctx.Err() != nil:
		return endedOutcome(ctx)
	case c.began.Load():
		return balance.Reset
	}
	return balance.ConnectError
}

func endedOutcome(ctx context.Context) balance.Outcome {
	if context.Cause(ctx) == ErrTimedOut {
		return balance.TimedOut
	}
	return balance.Canceled
}
