package backends

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"brasswell/internal/body"
	"brasswell/internal/memory"
)

const (
	// streamAfter is how long a response in chunks is buffered before any of it is forwarded. Until then, another attempt can
	// replace a response that breaks off.
	streamAfter = 150 * time.Millisecond
	// closeStreamAfter is the same of a response that ends with its connection. It breaks off more easily, but the protocol does not
	// let it be held back for 2 s.
	closeStreamAfter = time.Second
	// firstBytes is the size of the buffer for the first read of a long response, before any of it is forwarded.
	firstBytes = memory.SmallAnswer
	// minBuffer is the size of the first buffer for a response of unknown length.
	minBuffer = 512
)

// pendingAnswer is a response of which nothing has been forwarded yet. Unless it is short and of known length, it can be passed on
// by another goroutine while the one that collects it waits for more.
//
// That one read then hands its bytes to the reader of the remainder, which reads all later ones itself.
type pendingAnswer struct {
	conn      *conn
	response  *http.Response
	attempt   Attempt
	begun     time.Time
	remainder *Remainder    // set when the response is offered
	charge    *answerCharge // nil while nothing is charged
	started   chan bool     // receives whether the attempt has taken the response, if passOn has offered it
	hasEnd    bool          // the head tells where the body ends: by its length, by chunks, or by the close that it announces

	mu         sync.Mutex
	moved      sync.Cond // uses mu; signals that handedOver is set
	data       []byte    // what has been collected
	collected  bool      // nothing is collected any more: the response is complete, or is streamed by the collector
	passedOn   bool      // another goroutine has offered the response
	handedOver bool      // the collector has stopped reading; rest and err are what its last read returned
	rest       []byte
	err        error
}

// newPendingAnswer returns a response whose head has come. Its body is to be collected by collect if its length is unknown, and by
// collectBeginning if it is known to be too long to be buffered.
func newPendingAnswer(c *conn, resp *http.Response, a Attempt) *pendingAnswer {
	p := &pendingAnswer{conn: c, response: resp, attempt: a, charge: c.takeCharge()}
	p.hasEnd = resp.ContentLength >= 0 || p.chunked() || !resp.ProtoAtLeast(1, 1) || c.framing.AnnouncesClose()
	return p
}

// watch lets the connection's watch pass the response on while the collector waits.
func (p *pendingAnswer) watch() {
	p.begun, p.started = time.Now(), make(chan bool, 1)
	p.moved.L = &p.mu
	pool := p.conn.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	w := &p.conn.answer
	w.pending = p
	if !p.conn.closed && w.attempt != nil {
		w.check(p.begun, p.begun.Add(min(p.bufferTime(), pool.options.AnswerTimeout)))
	}
}

// bufferTime returns how long the response is buffered before what has come is passed on.
func (p *pendingAnswer) bufferTime() time.Duration {
	if p.chunked() {
		return streamAfter
	}
	return closeStreamAfter
}

// chunked reports whether the end of the response is given by chunks.
func (p *pendingAnswer) chunked() bool { return p.response.TransferEncoding != nil }

// bodyPassable reports whether what has come of the body can be passed on. If nothing tells where the body ends, its bytes can be
// noise, so more than a few must have come. p.mu must be held.
func (p *pendingAnswer) bodyPassable() bool {
	return p.hasEnd && len(p.data) > 0 || len(p.data) >= firstBytes
}

// passable reports whether what has come of the body can be passed on, and whether the head alone can.
func (p *pendingAnswer) passable() (body, head bool) {
	if p == nil {
		return false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.collected || p.passedOn {
		return false, false
	}
	return p.bodyPassable(), p.hasEnd
}

// collectBeginning reads the first bytes of a response that is too long to be buffered, unless it is passed on meanwhile.
func (p *pendingAnswer) collectBeginning() ([]byte, error) {
	p.watch()
	data := make([]byte, firstBytes)
	n, err := p.response.Body.Read(data)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collected = true
	switch {
	case p.passedOn:
		p.handOver(data[:n], err)
	case n == 0:
		return nil, err
	}
	return data[:n], nil // the next read returns the same error
}

// handOver gives the result of the last read to the reader of the remainder; p.mu must be held.
func (p *pendingAnswer) handOver(rest []byte, err error) {
	p.handedOver, p.rest, p.err = true, rest, err
	p.moved.Broadcast()
}

// collect buffers a response of unknown length until it is complete, too long or too slow to be buffered, or passed on.
func (p *pendingAnswer) collect() (data []byte, whole bool, err error) {
	p.watch()
	data = make([]byte, 0, minBuffer)
	for {
		n, err := p.response.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if done, whole, err := p.add(data, n, err); done {
			return data, whole, err
		}
		if len(data) < cap(data) {
			continue
		}
		size := min(2*len(data), body.MaxBufferedBytes+1)
		if !p.grow(int64(size)) && p.stop() {
			return data, false, nil
		}
		data = slices.Grow(data, size-len(data))
	}
}

// grow charges a buffer that is to have size bytes. It reports false if the account has no room for it.
func (p *pendingAnswer) grow(size int64) bool {
	if size <= memory.SmallAnswer {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passedOn {
		return true // what has been charged is with the reply already
	}
	if p.charge == nil {
		p.charge = &answerCharge{account: p.conn.pool.memory}
	}
	return p.charge.growBody(size)
}

// stop ends collecting, because there is no memory for more. It returns false if the response has been passed on.
func (p *pendingAnswer) stop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collected = !p.passedOn
	return p.collected
}

// add records the result of a read, of which the last n bytes of data came. It reports whether the collector is done, and
// then whether the response is whole, or why it cannot be.
func (p *pendingAnswer) add(data []byte, n int, err error) (done, whole bool, failed error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passedOn {
		p.handOver(data[len(data)-n:], err)
		return true, false, nil
	}
	p.data = data
	p.collected = err != nil || len(data) > body.MaxBufferedBytes || p.waitedEnough(time.Now())
	if err == io.EOF {
		return true, true, nil
	}
	return p.collected, false, err
}

// waitedEnough reports whether a part of the response can be passed on, and the rest is not waited for any longer. p.mu must be held.
func (p *pendingAnswer) waitedEnough(now time.Time) bool {
	return p.bodyPassable() && now.Sub(p.begun) >= p.bufferTime()
}

// due reports whether what has come of the response is to be passed on now.
func (p *pendingAnswer) due(now time.Time) bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitedEnough(now)
}

// start offers the response to the attempt, with the bytes that have come of it, unless passOn has done so. It reports whether
// the attempt takes it.
func (p *pendingAnswer) start(data []byte) bool {
	p.mu.Lock()
	passedOn := p.passedOn
	p.mu.Unlock()
	if passedOn {
		return <-p.started
	}
	return p.offer(data, p.response.Body)
}

// passOn offers what has come of the response to the attempt while the collector waits for more.
func (p *pendingAnswer) passOn() {
	if p == nil {
		return
	}
	p.mu.Lock()
	if p.collected || p.passedOn {
		p.mu.Unlock()
		return
	}
	p.passedOn = true
	data := p.data
	p.mu.Unlock() // nothing more is charged to p.charge
	taken := p.offer(data, p)
	p.started <- taken
	if !taken {
		p.conn.discard()
	}
}

func (p *pendingAnswer) offer(data []byte, rest io.Reader) bool {
	p.conn.endAnswerWatch()
	p.conn.startStreaming()
	p.conn.streamingAnswer.Store(true)
	p.conn.Conn.SetReadDeadline(p.conn.readDeadline()) // a read may be waiting already
	p.remainder = &Remainder{
		reader: &limitedReader{rest, body.MaxBytes - int64(len(data))}, result: make(chan error, 1), abort: p.conn.discard,
	}
	return p.attempt.Started(&Reply{Header: p.response.Header, Body: data, Length: p.response.ContentLength, Remainder: p.remainder, charge: p.charge})
}

// Read reads the rest of a response that was passed on while the collector waited for more.
func (p *pendingAnswer) Read(b []byte) (int, error) {
	p.mu.Lock()
	for !p.handedOver {
		p.moved.Wait()
	}
	if len(p.rest) > 0 {
		n := copy(b, p.rest)
		p.rest = p.rest[n:]
		p.mu.Unlock()
		return n, nil
	}
	err := p.err
	p.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return p.response.Body.Read(b)
}
