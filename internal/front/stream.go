package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"brasswell/internal/backends"
	"brasswell/internal/body"
	"brasswell/internal/figures"
	"brasswell/internal/host"
)

// pieceBytes is how much of an answer is written at one go, under one deadline.
const pieceBytes = 16 << 10

// pieces holds buffers of pieceBytes.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// clock adds up how long one peer has been waited for: while the other side is slow, its own time stands still.
type clock struct {
	transfer body.Transfer
	waited   time.Duration
}

func newClock(p body.MinDataRate) clock { return clock{transfer: p.Begin(0)} }

// deadline is by when the peer must move if it is waited for from now on.
func (c *clock) deadline(now time.Time) time.Time { return now.Add(c.transfer.Deadline() - c.waited) }

// moved takes in that the peer was waited for since begun, and moved n bytes.
func (c *clock) moved(begun time.Time, n int) {
	c.waited += time.Since(begun)
	c.transfer.AddBytes(c.waited, n)
}

// pacedReader reads a caller's body, and gives up on a caller that is silent or far too slow.
type pacedReader struct {
	from    io.Reader
	control *http.ResponseController
	clock   clock

	mu      sync.Mutex
	stopped bool
}

func newPacedReader(from io.Reader, control *http.ResponseController, p body.MinDataRate) *pacedReader {
	return &pacedReader{from: from, control: control, clock: newClock(p)}
}

func (r *pacedReader) Read(p []byte) (int, error) {
	begun := time.Now()
	if !r.wait(r.clock.deadline(begun)) {
		return 0, errStopped
	}
	n, err := r.from.Read(p)
	r.clock.moved(begun, n)
	return n, err
}

var errStopped = errors.New("the rest of the body is not read")

func (r *pacedReader) wait(until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.control.SetReadDeadline(until)
	}
	return !r.stopped
}

// stop makes the Read that waits return, and all later ones.
func (r *pacedReader) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.control.SetReadDeadline(time.Unix(1, 0))
}

// serveStream serves a request whose body is passed on while it arrives. The answer may come before the body's end:
// it is written at once, and the rest of the body is read and dropped, since a caller that is still writing would
// take a close for the loss of its request.
func (s *Front) serveStream(w http.ResponseWriter, r *http.Request, a ask, kept *body.Body, rest io.Reader) {
	control := http.NewResponseController(w)
	control.EnableFullDuplex()
	s.figures.RequestStarted()
	defer s.figures.RequestEnded()
	q := s.submit(r, a, kept)
	paced := newPacedReader(rest, control, s.options.Load().bodyPace())
	filled := make(chan error, 1)
	var filling sync.WaitGroup
	filling.Go(func() { filled <- s.fill(kept.Stream(), paced) })
	defer func() {
		if filled != nil {
			kept.Stream().CloseWithError(body.ErrStreamClosed)
			paced.stop()
		}
		filling.Wait()
	}()
	var f host.Final
	gone := r.Context().Done()
	for open := true; open; {
		select {
		case f = <-q.Final():
			open = false
		case err := <-filled:
			filled = nil
			if err == nil {
				control.SetReadDeadline(time.Time{})
				s.instance.Received(q)
				continue
			}
			s.instance.Drop(q)
			f = <-q.Final()
			if f.Verdict == host.Failed {
				s.turnAway(w, a, badBody(err), err)
				return
			}
			open = false
		case <-gone:
			s.instance.Drop(q)
			gone = nil
		case <-s.restart.Expired():
			s.instance.Drop(q)
			f = <-q.Final()
			open = false
		}
	}
	if filled != nil || r.TransferEncoding != nil {
		w.Header().Set("Connection", "close") // where the next request begins is not known, or not followed
	}
	if f.Verdict != host.Served {
		kept.Stream().CloseWithError(body.ErrStreamClosed) // no attempt wants the rest
	}
	s.answer(w, a, f)
	if filled != nil {
		kept.Stream().CloseWithError(body.ErrStreamClosed)
		control.Flush()
		<-filled // the answer is out; the caller goes on writing
	}
}

// fill fills a stream from a caller, and goes on reading when nobody wants the body any more.
func (s *Front) fill(stream *body.Stream, from io.Reader) error {
	err := stream.Fill(from)
	if !errors.Is(err, body.ErrStreamClosed) {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(from, body.MaxBytes))
	return err
}

// passOn passes an answer on while it comes. One that breaks must not pass for whole: the connection ends within it.
func (s *Front) passOn(w http.ResponseWriter, a ask, r *backends.Reply) {
	err := s.copyAnswer(w, r)
	r.Remainder.Close(err)
	if err == nil {
		s.figures.CountOutcome(a.class, figures.Served)
		return
	}
	s.figures.CountOutcome(a.class, figures.Failed)
	panic(http.ErrAbortHandler)
}

// copyAnswer returns nil once the whole answer is written, backends.ErrLeft if the caller takes it no longer, and
// otherwise what was wrong with it.
func (s *Front) copyAnswer(w http.ResponseWriter, r *backends.Reply) error {
	control := http.NewResponseController(w)
	if s.restart.Closing() {
		w.Header().Set("Connection", "close")
	}
	answerHeader(w.Header(), r)
	w.WriteHeader(http.StatusOK)
	clock := newClock(s.options.Load().streamPace())
	write := func(text []byte) error {
		begun := time.Now()
		control.SetWriteDeadline(clock.deadline(begun))
		n, err := w.Write(text)
		if err == nil {
			err = control.Flush() // who reads slowly is not held back by our buffers as well
		}
		clock.moved(begun, n)
		if err != nil {
			return backends.ErrCallerLeft
		}
		return nil
	}
	text := r.Body
	for len(text) > 0 {
		n := min(len(text), pieceBytes)
		if err := write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	piece := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(piece)
	for {
		n, err := r.Remainder.Read(piece[:])
		if n > 0 {
			if err := write(piece[:n]); err != nil {
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
