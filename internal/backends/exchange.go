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

// Reply is a backend's 200 answer: whole, or as far as it has come.
type Reply struct {
	Header    http.Header
	Body      []byte
	Length    int64      // of the whole body; -1 if it is not known yet
	Remainder *Remainder // what follows Body; nil if that is all
	// Channel is set, and nothing else but Header, where the backend changed to the WebSocket protocol.
	Channel *Channel
}

// Rest is what is still to come of an answer. It is for one goroutine, which must close it.
type Remainder struct {
	from  io.Reader
	ended chan error // takes what the rest ended with
}

// ErrLeft is what a Rest is closed with that nobody takes any more: no fault of the backend's.
var ErrCallerLeft = errors.New("the caller has left")

// Read reads on; io.EOF stands behind a whole answer alone.
func (r *Remainder) Read(p []byte) (int, error) { return r.from.Read(p) }

// Close ends the attempt: nil for an answer read to its end, ErrLeft, or what Read returned.
func (r *Remainder) Close(err error) { r.ended <- err }

// Attempt is what is asked and told on the way of one attempt, from Exchange's goroutine.
type Attempt interface {
	// Begin is asked right before the request is written, and says how long the proxy will wait and whether
	// it still wants to. Behind a hold-up before the write it is asked again, by the goroutine that writes.
	Begin() (time.Duration, bool)
	// Started is told of an answer that is to be passed on while it comes, and says whether somebody takes it.
	Started(*Reply) bool
}

// Endpoint is one run of one server. A server that restarts or comes anew at the address of one that has gone
// is another endpoint: it must not get the old one's connections, which lead nowhere and may never say so.
type Endpoint struct {
	Server, Address string
	StartTime       time.Duration
}

// Exchange carries one attempt out and says how it ended. The reply is a whole answer; one that streams goes to
// Started, and Exchange returns once it has ended.
func (p *Pool) Exchange(ctx context.Context, to Endpoint, m *Message, a Attempt) (balance.Outcome, *Reply) {
	for {
		c, reused, err := p.get(ctx, to)
		if err != nil {
			return p.unconnected(ctx, to, err), nil
		}
		beginning, wanted := begin(a)
		if !wanted {
			p.release(c)
			return balance.Ignored, nil
		}
		resp, err := c.roundTrip(ctx, m, beginning)
		if err == nil {
			return p.receive(ctx, c, resp, a)
		}
		c.discard()
		if refusal := c.refusal.Load(); refusal != nil {
			// No whole request was written.
			if *refusal == errUnwanted {
				return balance.Ignored, nil
			}
			continue
		}
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

// unconnected is the outcome of an attempt that got no connection.
func (p *Pool) unconnected(ctx context.Context, to Endpoint, err error) balance.Outcome {
	outcome := connectOutcome(ctx, err)
	if outcome == balance.ConnectError {
		p.distrust(to)
	}
	return outcome
}

// receive reads the answer whose head has come.
func (p *Pool) receive(ctx context.Context, c *conn, resp *http.Response, a Attempt) (balance.Outcome, *Reply) {
	c.watchRest()
	if resp.StatusCode != http.StatusOK {
		outcome := balance.Failed
		switch {
		case turnedAway(resp):
			outcome = balance.QueueFull
		case resp.StatusCode >= 400 && resp.StatusCode < 500:
			outcome = balance.Rejected
		}
		p.discardAnswer(c, resp)
		return outcome, nil
	}
	text, whole, err := c.readAnswer(resp)
	if err != nil {
		c.discard()
		return c.brokenOutcome(ctx), nil
	}
	if whole {
		p.release(c)
		return balance.OK, &Reply{Header: resp.Header, Body: text, Length: int64(len(text))}
	}
	c.stream()
	c.answering.Store(true)
	rest := &Remainder{from: &limited{resp.Body, body.MaxBytes - int64(len(text))}, ended: make(chan error, 1)}
	if !a.Started(&Reply{Header: resp.Header, Body: text, Length: resp.ContentLength, Remainder: rest}) {
		c.discard()
		return c.brokenOutcome(ctx), nil
	}
	switch err := <-rest.ended; err {
	case nil:
		p.release(c)
		return balance.OK, nil
	case ErrCallerLeft:
		c.discard()
		return balance.Canceled, nil
	}
	c.discard()
	return c.brokenOutcome(ctx), nil
}

// limited ends with ErrTooLarge where more comes than is left; it must not pass for a whole answer.
type limited struct {
	from io.Reader
	left int64
}

func (l *limited) Read(p []byte) (int, error) {
	n, err := l.from.Read(p)
	if l.left -= int64(n); l.left < 0 {
		return 0, body.ErrTooLarge
	}
	return n, err
}

// streamAfter is how long an answer of unknown length is kept back to be read whole, so that it may still be had from
// another backend should it break.
const streamAfter = 150 * time.Millisecond

// readAnswer reads a whole answer, or the beginning of one that is too long or too slow to be kept. One that is cut
// must not pass for whole, so its end has to be told by a length or by chunks, and not by both, or else by the
// connection's orderly end (RFC 9112, section 6.3): a reset is none. One that is longer than the protocol knows is noise.
func (c *conn) readAnswer(resp *http.Response) (text []byte, whole bool, err error) {
	switch {
	case resp.ContentLength > body.MaxBytes:
		return nil, false, body.ErrTooLarge
	case resp.ContentLength < 0 && resp.TransferEncoding == nil:
		// Nothing of it is passed on before its end while it can be kept: noise behind a head looks the same, and has none.
		text, whole, err = body.ReadAtMost(resp.Body, body.MaxBufferedBytes, func() bool { return true })
		if err != nil {
			return nil, false, fmt.Errorf("answer: %w", err)
		}
		return text, whole, nil
	case resp.ContentLength < 0 && !c.framing.Chunked():
		return nil, false, errFraming
	case resp.ContentLength > body.MaxBufferedBytes:
		text = make([]byte, firstBytes)
		n, err := resp.Body.Read(text)
		if n == 0 {
			return nil, false, fmt.Errorf("answer: %w", err)
		}
		return text[:n], false, nil
	case resp.ContentLength >= 0:
		text := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, text); err != nil {
			return nil, false, fmt.Errorf("answer: %w", err)
		}
		_, err := io.Copy(io.Discard, resp.Body) // meets the end, which sets the connection free
		return text, true, err
	}
	begun := time.Now()
	text, whole, err = body.ReadAtMost(resp.Body, body.MaxBufferedBytes, func() bool { return time.Since(begun) < streamAfter })
	if err != nil {
		return nil, false, fmt.Errorf("answer: %w", err)
	}
	return text, whole, nil
}

// firstBytes of a long answer are read before anything of it is passed on.
const firstBytes = 4 << 10

// discardAnswer reads to the end of an answer whose body means nothing, or drops the connection.
func (p *Pool) discardAnswer(c *conn, resp *http.Response) {
	if resp.StatusCode < 200 || resp.ContentLength > body.MaxBufferedBytes {
		c.discard()
		return
	}
	late := time.AfterFunc(leftoverWait, c.discard)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, body.MaxBufferedBytes+1))
	if late.Stop() && err == nil && n <= body.MaxBufferedBytes {
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

// turnedAway says whether an answer proves that the request never ran.
func turnedAway(resp *http.Response) bool {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	return unavailable && resp.Header.Get("X-Turned-Away") == "1"
}
