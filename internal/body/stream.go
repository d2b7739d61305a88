package body

import (
	"errors"
	"io"
	"sync"
)

const (
	// segment is the unit in which a stream holds bytes.
	segment = 32 << 10
	// ahead is how far a stream reads ahead of who takes its bytes, in segments. What is ahead when the sender's
	// last byte has come still has to go out within the request's time.
	ahead = 2
	// KeepMost is how much of a stream is kept for a further attempt, where the budget has room.
	MaxReplayBytes = 1 << 20
)

// Why a stream cannot be read.
var (
	ErrDiscarded    = errors.New("the body is no longer whole here")
	errOld          = errors.New("another attempt reads the body now")
	ErrStreamClosed = errors.New("the body is not wanted any more")
)

// Stream is a body that is passed on while it arrives. One goroutine fills it, and one reader at a time takes what has
// come. What has been taken is kept for the next reader until it is over KeepMost or the budget is used up; from then
// on the stream is spent, and holds no more than it reads ahead. A stream never holds more than KeepMost and ahead
// segments.
//
// All methods may be called at any time, but Fill from one goroutine alone.
type Stream struct {
	budget *Budget
	length int64 // as announced; -1 if it is not

	mu       sync.Mutex
	moved    sync.Cond // of mu: something below has changed
	segments [][]byte  // from base on; all but the last are full
	base     int64     // where the first segment begins
	filled   int64
	taken    int64 // the furthest that a reader has got
	charged  int64 // to the budget
	spent    bool
	whole    bool  // all of it has come
	err      error // why no more will come
	reader   *Reader
}

// NewStream returns a stream for a body of a length, -1 if that is not known.
func NewStream(length int64, budget *Budget) *Stream {
	s := &Stream{budget: budget, length: length}
	s.moved.L = &s.mu
	return s
}

// Length is the body's, or -1.
func (s *Stream) Length() int64 { return s.length }

// Fill reads r to its end and hands its bytes to the readers, as fast as they take them. It returns nil once all has
// come, or ErrTooLarge, r's error, or what the stream was ended with.
func (s *Stream) Fill(r io.Reader) error {
	for {
		room, err := s.room()
		if err != nil {
			return err
		}
		n, err := r.Read(room)
		s.mu.Lock()
		if last := len(s.segments) - 1; last >= 0 { // none once it is released
			s.segments[last] = s.segments[last][:len(s.segments[last])+n]
			s.filled += int64(n)
		}
		if s.err == nil {
			switch {
			case s.filled > MaxBytes:
				s.err = ErrTooLarge
			case err == io.EOF:
				s.whole = true
			default:
				s.err = err
			}
		}
		whole, err := s.whole, s.err
		s.moved.Broadcast()
		s.mu.Unlock()
		if whole || err != nil {
			return err
		}
	}
}

// room waits until more may be read, and returns where to.
func (s *Stream) room() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.err != nil {
			return nil, s.err
		}
		if n := len(s.segments); n > 0 && len(s.segments[n-1]) < segment {
			at := s.segments[n-1]
			return at[len(at):segment], nil
		}
		if s.filled-s.taken < ahead*segment {
			s.keep()
			s.drop()
			s.segments = append(s.segments, make([]byte, 0, segment))
			continue
		}
		s.moved.Wait()
	}
}

// keep makes room for one more segment beside those that are held, or gives up keeping; s.mu must be held. What a
// stream holds beyond what it reads ahead is charged to the budget.
func (s *Stream) keep() {
	if s.spent || len(s.segments) < ahead {
		return
	}
	if s.spent = s.filled >= MaxReplayBytes || !s.budget.take(segment); !s.spent {
		s.charged += segment
	}
}

// drop lets go of what the reader has had and no other will be given; s.mu must be held. While nobody reads, nothing
// goes: the next reader may have been promised all of it.
func (s *Stream) drop() {
	if !s.spent || s.reader == nil {
		return
	}
	for len(s.segments) > 0 && len(s.segments[0]) == segment && s.base+segment <= s.reader.at {
		s.segments[0] = nil
		s.segments = s.segments[1:]
		s.base += segment
		if s.charged > 0 {
			s.charged -= segment
			s.budget.give(segment)
		}
	}
}

// End ends the stream: whoever fills or reads it gets the error. The first one stands.
func (s *Stream) CloseWithError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.moved.Broadcast()
}

// Release gives the memory back; nothing can be read any more.
func (s *Stream) Release() {
	s.CloseWithError(ErrStreamClosed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = nil
	s.budget.give(s.charged)
	s.charged = 0
}

// EndAttempt ends the reader of an attempt that has ended, and says whether the stream is spent: no other reader can
// have it from its beginning. If it is not, the next one can.
func (s *Stream) EndAttempt() (spent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = nil
	s.moved.Broadcast()
	return s.base > 0 || s.err != nil
}

// Reader returns a reader from the beginning, in place of the one before. It is for one goroutine.
func (s *Stream) Reader() *Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = &Reader{stream: s}
	s.moved.Broadcast()
	return s.reader
}

// Reader reads a stream for one attempt.
type Reader struct {
	stream *Stream
	at     int64
}

// Read waits for bytes. last says whether they are the body's last ones, which io.EOF follows.
func (r *Reader) Read(p []byte) (n int, last bool, err error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.reader != r:
			return 0, false, errOld
		case r.at < s.base:
			return 0, false, ErrDiscarded
		case s.segments == nil && s.err != nil:
			return 0, false, s.err
		case r.at < s.filled:
			offset := r.at - s.base
			n = copy(p, s.segments[offset/segment][offset%segment:])
			r.at += int64(n)
			if r.at > s.taken {
				s.taken = r.at
				s.moved.Broadcast()
			}
			return n, s.whole && r.at == s.filled || s.length >= 0 && r.at == s.length, nil
		case s.whole:
			return 0, true, io.EOF
		case s.err != nil:
			return 0, false, s.err
		}
		s.moved.Wait()
	}
}

// Close ends the reader: a Read that waits returns.
func (r *Reader) Close() {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader == r {
		s.reader = nil
		s.moved.Broadcast()
	}
}
