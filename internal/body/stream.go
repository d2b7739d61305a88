package body

import (
	"errors"
	"io"
	"sync"
)

const (
	// segment is the unit in which a stream holds bytes.
	segmentBytes = 32 << 10
	// ahead is how far a stream reads ahead of who takes its bytes, in segments. What is ahead when the sender's
	// last byte has come still has to go out within the request's time.
	readAheadSegments = 2
	// KeepMost is how much of a stream is kept for a further attempt, where the budget has room.
	KeepMost = 1 << 20
)

// Why a stream cannot be read.
var (
	ErrSpent      = errors.New("the body is no longer whole here")
	errSuperseded = errors.New("another attempt reads the body now")
	ErrEnded      = errors.New("the body is not wanted any more")
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

	mu         sync.Mutex
	changed    sync.Cond // of mu: something below has changed
	segments   [][]byte  // from base on; all but the last are full
	base       int64     // where the first segment begins
	filled     int64
	consumed   int64 // the furthest that a reader has got
	reserved   int64 // to the budget
	discarding bool
	complete   bool  // all of it has come
	err        error // why no more will come
	reader     *Reader
}

// NewStream returns a stream for a body of a length, -1 if that is not known.
func NewStream(length int64, budget *Budget) *Stream {
	s := &Stream{budget: budget, length: length}
	s.changed.L = &s.mu
	return s
}

// Length is the body's, or -1.
func (s *Stream) Length() int64 { return s.length }

// Fill reads r to its end and hands its bytes to the readers, as fast as they take them. It returns nil once all has
// come, or ErrTooLarge, r's error, or what the stream was ended with.
func (s *Stream) Fill(r io.Reader) error {
	for {
		buffer, err := s.nextBuffer()
		if err != nil {
			return err
		}
		n, err := r.Read(buffer)
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
				s.complete = true
			default:
				s.err = err
			}
		}
		complete, err := s.complete, s.err
		s.changed.Broadcast()
		s.mu.Unlock()
		if complete || err != nil {
			return err
		}
	}
}

// room waits until more may be read, and returns where to.
func (s *Stream) nextBuffer() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.err != nil {
			return nil, s.err
		}
		if n := len(s.segments); n > 0 && len(s.segments[n-1]) < segmentBytes {
			last := s.segments[n-1]
			return last[len(last):segmentBytes], nil
		}
		if s.filled-s.consumed < readAheadSegments*segmentBytes {
			s.keepOrDiscard()
			s.discardConsumed()
			s.segments = append(s.segments, make([]byte, 0, segmentBytes))
			continue
		}
		s.changed.Wait()
	}
}

// keep makes room for one more segment beside those that are held, or gives up keeping; s.mu must be held. What a
// stream holds beyond what it reads ahead is charged to the budget.
func (s *Stream) keepOrDiscard() {
	if s.discarding || len(s.segments) < readAheadSegments {
		return
	}
	if s.discarding = s.filled >= KeepMost || !s.budget.reserve(segmentBytes); !s.discarding {
		s.reserved += segmentBytes
	}
}

// drop lets go of what the reader has had and no other will be given; s.mu must be held. While nobody reads, nothing
// goes: the next reader may have been promised all of it.
func (s *Stream) discardConsumed() {
	if !s.discarding || s.reader == nil {
		return
	}
	for len(s.segments) > 0 && len(s.segments[0]) == segmentBytes && s.base+segmentBytes <= s.reader.offset {
		s.segments[0] = nil
		s.segments = s.segments[1:]
		s.base += segmentBytes
		if s.reserved > 0 {
			s.reserved -= segmentBytes
			s.budget.release(segmentBytes)
		}
	}
}

// End ends the stream: whoever fills or reads it gets the error. The first one stands.
func (s *Stream) End(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.changed.Broadcast()
}

// Release gives the memory back; nothing can be read any more.
func (s *Stream) Release() {
	s.End(ErrEnded)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = nil
	s.budget.release(s.reserved)
	s.reserved = 0
}

// EndAttempt ends the reader of an attempt that has ended, and says whether the stream is spent: no other reader can
// have it from its beginning. If it is not, the next one can.
func (s *Stream) EndAttempt() (discarded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = nil
	s.changed.Broadcast()
	return s.base > 0 || s.err != nil
}

// Reader returns a reader from the beginning, in place of the one before. It is for one goroutine.
func (s *Stream) Reader() *Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = &Reader{stream: s}
	s.changed.Broadcast()
	return s.reader
}

// Reader reads a stream for one attempt.
type Reader struct {
	stream *Stream
	offset int64
}

// Read waits for bytes. last says whether they are the body's last ones, which io.EOF follows.
func (r *Reader) Read(p []byte) (n int, last bool, err error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.reader != r:
			return 0, false, errSuperseded
		case r.offset < s.base:
			return 0, false, ErrSpent
		case s.segments == nil && s.err != nil:
			return 0, false, s.err
		case r.offset < s.filled:
			offset := r.offset - s.base
			n = copy(p, s.segments[offset/segmentBytes][offset%segmentBytes:])
			r.offset += int64(n)
			if r.offset > s.consumed {
				s.consumed = r.offset
				s.changed.Broadcast()
			}
			return n, s.complete && r.offset == s.filled || s.length >= 0 && r.offset == s.length, nil
		case s.complete:
			return 0, true, io.EOF
		case s.err != nil:
			return 0, false, s.err
		}
		s.changed.Wait()
	}
}

// Close ends the reader: a Read that waits returns.
func (r *Reader) Close() {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader == r {
		s.reader = nil
		s.changed.Broadcast()
	}
}
