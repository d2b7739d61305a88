package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"brasswell/internal/backends"
	"brasswell/internal/body"
	"brasswell/internal/callers"
	"brasswell/internal/figures"
	"brasswell/internal/host"
	"brasswell/internal/memory"
)

// chunkSize is how many bytes of an answer are written at a time, under one deadline. smallChunkSize is the same of a streamed
// answer while memory is scarce.
const chunkSize, smallChunkSize = 16 << 10, memory.SmallAnswer

// chunkPool holds buffers of chunkSize bytes, and smallChunkPool of smallChunkSize.
var (
	chunkPool      = sync.Pool{New: func() any { return new([chunkSize]byte) }}
	smallChunkPool = sync.Pool{New: func() any { return new([smallChunkSize]byte) }}
)

// chunk returns a buffer for an answer that is streamed, and a function that returns it.
func (s *Front) chunk() (buffer []byte, release func()) {
	if !s.memory.Reserve(memory.Answers, chunkSize) {
		small := smallChunkPool.Get().(*[smallChunkSize]byte)
		return small[:], func() { smallChunkPool.Put(small) }
	}
	large := chunkPool.Get().(*[chunkSize]byte)
	return large[:], func() {
		chunkPool.Put(large)
		s.memory.Release(memory.Answers, chunkSize)
	}
}

// transferClock measures how long one peer has been waited for. It does not advance while the other side is slow.
type transferClock struct {
	transfer body.Transfer
	waited   time.Duration
}

func newTransferClock(rate body.MinDataRate) transferClock {
	return transferClock{transfer: rate.Begin(0)}
}

// deadline returns when the peer's next bytes are due if the wait for it begins now.
func (c *transferClock) deadline(now time.Time) time.Time {
	return now.Add(c.transfer.Deadline() - c.waited)
}

// moved records that the peer was waited for since the given time and moved n bytes.
func (c *transferClock) moved(since time.Time, n int) {
	c.waited += time.Since(since)
	c.transfer.AddBytes(c.waited, n)
}

// minRateReader reads a caller's body, and fails if the caller is silent for too long or far too slow.
type minRateReader struct {
	from    io.Reader
	control *http.ResponseController
	clock   transferClock

	mu      sync.Mutex
	stopped bool
}

func newMinRateReader(from io.Reader, control *http.ResponseController, rate body.MinDataRate) *minRateReader {
	return &minRateReader{from: from, control: control, clock: newTransferClock(rate)}
}

func (r *minRateReader) Read(p []byte) (int, error) {
	begun := time.Now()
	if !r.setDeadline(r.clock.deadline(begun)) {
		return 0, errStopped
	}
	n, err := r.from.Read(p)
	r.clock.moved(begun, n)
	return n, err
}

var errStopped = errors.New("the rest of the body is not read")

func (r *minRateReader) setDeadline(until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.control.SetReadDeadline(until)
	}
	return !r.stopped
}

// stop makes a pending Read and all later ones return.
func (r *minRateReader) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.control.SetReadDeadline(time.Unix(1, 0))
}

// serveStream serves a request whose body is passed on while it arrives. The answer may come before the end of the
// body. It is then written at once, and the rest of the body is read and dropped, because a caller that is still
// writing would interpret a close as the loss of its request.
func (s *Front) serveStream(w http.ResponseWriter, r *http.Request, info requestInfo, buffered *body.Body, rest io.Reader) {
	control := http.NewResponseController(w)
	control.EnableFullDuplex()
	s.figures.RequestStarted()
	defer s.figures.RequestEnded()
	q := s.submit(r, info, buffered)
	reader := newMinRateReader(rest, control, s.options.Load().bodyRate())
	filled := make(chan error, 1)
	var filling sync.WaitGroup
	filling.Go(func() { filled <- s.fill(buffered.Stream(), reader) })
	defer func() {
		if filled != nil {
			buffered.Stream().CloseWithError(body.ErrStreamClosed)
			reader.stop()
		}
		filling.Wait()
	}()
	var f host.Final
	gone := r.Context().Done()
	arrival := newArrivalWatch(buffered.Stream(), callers.ConnOf(r), info.remaining)
	defer arrival.ticker.Stop()
	for open := true; open; {
		select {
		case f = <-q.Final():
			open = false
		case err := <-filled:
			filled = nil
			if err == nil {
				control.SetReadDeadline(time.Time{})
				s.instance.Received(q, max(sinceLastData(r), arrival.heldUp(time.Now())))
				continue
			}
			s.instance.Drop(q)
			f = <-q.Final()
			if f.Outcome == host.Failed {
				s.reject(w, info, bodyErrorStatus(err), err)
				return
			}
			open = false
		case <-arrival.ticker.C:
			if age, arrived := arrival.check(time.Now()); arrived {
				arrival.ticker.Stop()
				s.instance.Received(q, age)
			}
		case <-gone:
			s.instance.Drop(q)
			gone = nil
		case <-s.restart.Expired():
			s.instance.Drop(q)
			f = <-q.Final()
			open = false
		}
	}
	if filled != nil {
		w.Header().Set("Connection", "close") // the start of the next request is unknown
	}
	if f.Outcome != host.Served {
		buffered.Stream().CloseWithError(body.ErrStreamClosed) // no attempt needs the rest
	}
	answering(r)
	s.answer(w, info, f)
	if filled != nil {
		buffered.Stream().CloseWithError(body.ErrStreamClosed)
		control.Flush()
		<-filled // the answer has been sent, but the caller is still writing
	}
}

// fill fills a stream from a caller, and continues to read and discard the body once it is not wanted any more.
func (s *Front) fill(stream *body.Stream, from io.Reader) error {
	err := stream.Fill(from)
	if !errors.Is(err, body.ErrStreamClosed) {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(from, body.MaxBytes))
	return err
}

// streamAnswer passes an answer on while it arrives. If the answer breaks off, the connection is closed within it,
// so that the caller does not take it for complete.
func (s *Front) streamAnswer(w http.ResponseWriter, info requestInfo, r *backends.Reply) {
	err := s.copyAnswer(w, r)
	r.Release()
	r.Remainder.Close(err)
	if err == nil {
		s.figures.CountOutcome(info.class, figures.Served)
		return
	}
	s.figures.CountOutcome(info.class, figures.Failed)
	s.unserved.add(info, http.StatusOK, fmt.Errorf("the answer broke off: %w", err))
	panic(http.ErrAbortHandler)
}

// copyAnswer returns nil once the whole answer is written, backends.ErrCallerLeft if the caller has stopped reading
// it, and otherwise the error in the answer.
func (s *Front) copyAnswer(w http.ResponseWriter, r *backends.Reply) error {
	control := http.NewResponseController(w)
	if s.restart.Closing() {
		w.Header().Set("Connection", "close")
	}
	setAnswerHeader(w.Header(), r)
	w.WriteHeader(http.StatusOK)
	clock := newTransferClock(s.options.Load().streamRate())
	write := func(text []byte) error {
		begun := time.Now()
		control.SetWriteDeadline(clock.deadline(begun))
		n, err := w.Write(text)
		if err == nil {
			err = control.Flush() // our buffers must not delay the answer to a slow reader any further
		}
		clock.moved(begun, n)
		if err != nil {
			return backends.ErrCallerLeft
		}
		return nil
	}
	text := r.Body
	if len(text) == 0 { // the head is passed on because the body is late
		if err := write(nil); err != nil {
			return err
		}
	}
	for len(text) > 0 {
		n := min(len(text), chunkSize)
		if err := write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	r.ReleaseBody() // what was buffered has been written
	chunk, release := s.chunk()
	defer release()
	for {
		n, err := r.Remainder.Read(chunk)
		if n > 0 {
			if err := write(chunk[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
