// Package backends performs request attempts on connections to backends and reports their outcomes. It makes no
// balancing decisions.
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
	"brasswell/internal/framing"
)

const (
	// discardTimeout bounds how long the rest of an unneeded response is read so that its connection can be reused.
	discardTimeout = 100 * time.Millisecond
	// maxAnswerHead bounds the size of a response's headers in bytes, and maxInterim the number of 1xx responses
	// before the final one. They stop backends that would send either without end.
	maxAnswerHead = 16 << 10
	maxInterim    = 20
)

// Causes with which an attempt's context is canceled.
var (
	ErrTimedOut = errors.New("the attempt timed out")
	ErrCanceled = errors.New("the attempt was canceled")
)

var (
	errNoSockets      = errors.New("all backend sockets are in use")
	errUnsolicited    = errors.New("unsolicited bytes from the backend")
	errTooManyInterim = errors.New("too many interim responses")
	errTooManyFields  = fmt.Errorf("more than %d header fields in the response", framing.MaxFields)
	errFraming        = errors.New("the end of the response cannot be determined")
	errNoMemory       = errors.New("no memory is left for the head of the response")
)

// Reply is a backend's 200 response, either complete or its beginning.
type Reply struct {
	Header    http.Header
	Body      []byte
	Length    int64         // of the complete body; -1 if unknown
	Remainder *Remainder    // what follows Body; nil if Body is complete
	charge    *answerCharge // what is charged for Header and Body; nil if nothing is
	// Channel is set if the backend switched to the WebSocket protocol. Only Header is set with it.
	Channel *Channel
}

// ReleaseBody returns what is charged for Body, which must not be used any more.
func (r *Reply) ReleaseBody() { r.charge.releaseBody() }

// Release returns what is charged for Header and Body, which must not be used any more. Further calls have no effect.
func (r *Reply) Release() { r.charge.release() }

// Discard releases a complete response that nobody takes.
func (r *Reply) Discard() {
	r.Release()
	if r.Channel != nil {
		r.Channel.Conn.Close()
	}
}

// Remainder is the part of a response that has not arrived yet. It must be used by one goroutine, which must close it.
type Remainder struct {
	reader io.Reader
	result chan error // receives the argument of Close
	abort  func()     // ends a read that is still waiting for the backend; may be nil
}

// ErrCallerLeft closes a Remainder whose caller has disconnected. It does not count as a fault of the backend.
var ErrCallerLeft = errors.New("the caller has disconnected")

// Read reads the next bytes. It returns io.EOF only at the end of a complete response.
func (r *Remainder) Read(p []byte) (int, error) { return r.reader.Read(p) }

// Close ends the attempt. err is nil if the response was read to its end, and otherwise ErrCallerLeft or the error of Read.
func (r *Remainder) Close(err error) {
	r.result <- err
	if err != nil && r.abort != nil {
		r.abort()
	}
}

// Attempt receives the callbacks of one attempt. Unless noted otherwise, they are called by the goroutine that runs
// Exchange.
type Attempt interface {
	// Begin is called right before the request is written. After a stall before the write, the writing goroutine calls
	// it again.
	Begin() Permit
	// Complete is called by the writing goroutine right before the last byte of a streamed request is written.
	Complete() Permit
	// Written is called with the time that an attempt has waited for the backend to take its request.
	Written(wait time.Duration)
	// Started is called with a response that is to be streamed, and reports whether the caller takes it. It may be called
	// by another goroutine while Exchange runs.
	Started(*Reply) bool
	// Slow is called while a response that has begun is incomplete, and returns what to do with it. It may be called by
	// another goroutine while Exchange runs.
	Slow(balance.SlowAnswer) balance.SlowDecision
}

// Endpoint is one process of one server. A server that restarts, or that reuses the address of a former one, is a
// different endpoint. It must not get the old endpoint's connections: their peer no longer exists, and they may never
// report an error.
type Endpoint struct {
	Server, Address string
	StartTime       time.Duration
}

// Exchange performs one attempt and returns its outcome. The reply is a complete response; a streamed one is passed
// to Started instead, and Exchange returns when it has ended.
func (p *Pool) Exchange(ctx context.Context, to Endpoint, m *Message, a Attempt) (balance.Outcome, *Reply) {
	for {
		c, reused, err := p.get(ctx, to)
		if err != nil {
			return p.connectFailed(ctx, to, err), nil
		}
		permit, wanted := requestPermit(a)
		if !wanted {
			p.release(c)
			return balance.Ignored, nil
		}
		c.watchAnswer(a, permit, m.Body.Stream() != nil)
		resp, err := c.roundTrip(ctx, m, permit)
		if err == nil {
			return p.receive(ctx, c, resp, a)
		}
		c.discard()
		if refusal := c.refusedErr.Load(); refusal != nil && !c.lastWriteBegun.Load() {
			// The request was not written completely.
			if *refusal == errUnwanted {
				return balance.Ignored, nil
			}
			continue
		}
		if reused && !c.lastWriteBegun.Load() && ctx.Err() == nil {
			// The backend closed the connection while it was idle, which is no sign of a fault. The request
			// was not written completely, so sending it again creates no duplicate.
			continue
		}
		outcome := c.brokenOutcome(ctx)
		if outcome == balance.TimedOut {
			p.dropIdle(to) // all connections to an unreachable machine stay open without a response
		}
		return outcome, nil
	}
}

// connectFailed returns the outcome of an attempt that got no connection, and drops the endpoint's idle connections if
// it is unreachable.
func (p *Pool) connectFailed(ctx context.Context, to Endpoint, err error) balance.Outcome {
	outcome := connectOutcome(ctx, err)
	if outcome == balance.ConnectError {
		p.dropIdle(to)
	}
	return outcome
}

// receive reads a response whose headers have arrived.
func (p *Pool) receive(ctx context.Context, c *conn, resp *http.Response, a Attempt) (balance.Outcome, *Reply) {
	c.answerMoved()
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
	answer := newPendingAnswer(c, resp, a)
	data, whole, err := c.readAnswer(answer)
	if err != nil {
		answer.charge.release()
		c.discard()
		return c.brokenOutcome(ctx), nil
	}
	if whole {
		p.release(c)
		return balance.OK, &Reply{Header: resp.Header, Body: data, Length: int64(len(data)), charge: answer.charge}
	}
	if !answer.start(data) {
		answer.charge.release()
		c.discard()
		return c.brokenOutcome(ctx), nil
	}
	switch err := <-answer.remainder.result; err {
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

// limitedReader fails with ErrTooLarge after left bytes, so that a truncated response is not taken for a complete one.
type limitedReader struct {
	reader io.Reader
	left   int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	if l.left -= int64(n); l.left < 0 {
		return 0, body.ErrTooLarge
	}
	return n, err
}

// readAnswer reads a complete response, or the beginning of one that is too long or too slow to be buffered. A truncated
// response must not be taken for a complete one, so its end must be given by either a length or chunks, not both, or else
// by an orderly close of the connection (RFC 9112, section 6.3), not a reset. The protocol allows no
// response over body.MaxBytes.
func (c *conn) readAnswer(answer *pendingAnswer) (data []byte, whole bool, err error) {
	resp := answer.response
	expected := framing.Plain
	if resp.TransferEncoding != nil {
		expected = framing.Chunked
	}
	if c.framing.Message(1) != expected {
		return nil, false, errFraming // in HTTP/1.0, net/http ignores a transfer coding
	}
	switch {
	case resp.ContentLength > body.MaxBytes:
		return nil, false, body.ErrTooLarge
	case resp.ContentLength > body.MaxBufferedBytes || resp.ContentLength >= 0 && !answer.grow(resp.ContentLength):
		c.commitAnswer()
		if data, err = answer.collectBeginning(); err != nil {
			return nil, false, fmt.Errorf("answer: %w", err)
		}
		return data, false, nil
	case resp.ContentLength >= 0:
		data := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, data); err != nil {
			return nil, false, fmt.Errorf("answer: %w", err)
		}
		_, err := io.Copy(io.Discard, resp.Body) // reads the end of the body, which makes the connection available again
		return data, true, err
	}
	if data, whole, err = answer.collect(); err != nil {
		return nil, false, fmt.Errorf("answer: %w", err)
	}
	return data, whole, nil
}

// discardAnswer reads a response whose body is not needed to its end, or else closes the connection.
func (p *Pool) discardAnswer(c *conn, resp *http.Response) {
	if resp.StatusCode < 200 || resp.ContentLength > body.MaxBufferedBytes {
		c.discard()
		return
	}
	late := time.AfterFunc(discardTimeout, c.discard)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, body.MaxBufferedBytes+1))
	if late.Stop() && err == nil && n <= body.MaxBufferedBytes {
		p.release(c)
		return
	}
	c.discard()
}

// connectOutcome returns the outcome of an attempt that got no connection.
func connectOutcome(ctx context.Context, err error) balance.Outcome {
	if ctx.Err() != nil {
		return endedOutcome(ctx)
	}
	for _, local := range []error{
		errNoSockets, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, local) {
			return balance.Ignored // never sent, because the proxy lacked a resource: no fault of the backend
		}
	}
	return balance.ConnectError
}

// brokenOutcome returns the outcome of an attempt whose connection broke. Once the write of the request's last byte
// has started, the backend may have received the request. The backend is not to blame for a lack of memory here.
func (c *conn) brokenOutcome(ctx context.Context) balance.Outcome {
	switch {
	case ctx.Err() != nil:
		return endedOutcome(ctx)
	case c.headRefused.Load():
		return balance.Canceled
	case c.lastWriteBegun.Load():
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

// turnedAway reports whether a response proves that the request was not executed.
func turnedAway(resp *http.Response) bool {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	return unavailable && resp.Header.Get("X-Turned-Away") == "1"
}
