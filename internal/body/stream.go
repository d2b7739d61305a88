package body

import (
	"errors"
	"io"
	"sync"

	"brasswell/internal/memory"
)

const (
	// segmentBytes is the size of the segments in which a stream holds its bytes.
	segmentBytes = 16 << 10
	// readAheadSegments is how far a stream reads ahead of its reader, in segments. Bytes that are read ahead when the
	// sender's last byte arrives still have to be sent within the request's time.
	readAheadSegments = 2
	// streamBytes is what a stream reserves in the budget for as long as it exists.
	streamBytes = readAheadSegments*segmentBytes + memory.StreamedBodyBytes
	// MaxReplayBytes is how much of a stream is kept for another attempt, if the budget allows it.
	MaxReplayBytes = 1 << 20
)

// Errors of reading a stream.
var (
	ErrDiscarded    = errors.New("the beginning of the body has been discarded")
	errSuperseded   = errors.New("another attempt has started to read the body")
	ErrStreamClosed = errors.New("the body is no longer needed")
)

// Stream is a body that is forwarded while it arrives. One goroutine fills it, and one reader at a time consumes it.
// Consumed bytes are kept for the next reader until they exceed MaxReplayBytes or the budget is used up. From then on
// the stream discards consumed bytes and holds only what it reads ahead. A stream never holds more than MaxReplayBytes
// and readAheadSegments segments.
//
// All methods may be called concurrently, except Fill, which only one goroutine may call.
type Stream struct {
	budget Budget
	length int64 // as announced; -1 if unknown

	mu         sync.Mutex
	changed    sync.Cond // uses mu; signals changes of the fields below
	segments   [][]byte  // the bytes from base on; all but the last segment are full
	base       int64     // offset of the first segment
	filled     int64
	consumed   int64 // highest offset that a reader has reached
	reserved   int64 // bytes reserved in the budget for segments beyond those that are read ahead
	held       int64 // bytes reserved for those that are read ahead, and for prefix
	prefix     []byte
	discarding bool
	complete   bool  // all bytes have arrived
	err        error // why no more bytes will arrive
	reader     *Reader
}

// NewStream returns a stream for a body of the given length, or -1 if it is unknown.
func NewStream(length int64, budget Budget) *Stream {
	s := &Stream{budget: budget, length: length}
	s.changed.L = &s.mu
	return s
}

// newReservedStream is like NewStream, for a body whose first bytes have been read already. held is what has been reserved
// for it, and at least the length of prefix and streamBytes.
func newReservedStream(length int64, budget Budget, prefix []byte, held int64) *Stream {
	s := NewStream(length, budget)
	s.prefix, s.held = prefix, held
	return s
}

// Length returns the body's announced length, or -1.
func (s *Stream) Length() int64 { return s.length }

// Fill reads r to its end and passes its bytes to the readers, as fast as they consume them. It returns nil when all bytes
// have arrived, and otherwise ErrTooLarge, the error of r, or the error that the stream was closed with.
func (s *Stream) Fill(r io.Reader) error {
	for {
		buffer, err := s.nextBuffer()
		if err != nil {
			return err
		}
		n, err := s.read(r, buffer)
		s.mu.Lock()
		if last := len(s.segments) - 1; last >= 0 { // there are none after Release
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

// read reads the bytes that were read before the stream was made, and then those of r. It reduces the reservation to
// streamBytes once the former have been read.
func (s *Stream) read(r io.Reader, buffer []byte) (int, error) {
	s.mu.Lock()
	if len(s.prefix) == 0 {
		s.mu.Unlock()
		return r.Read(buffer)
	}
	defer s.mu.Unlock()
	n := copy(buffer, s.prefix)
	if s.prefix = s.prefix[n:]; len(s.prefix) == 0 {
		s.prefix = nil
		s.release(s.held - streamBytes)
	}
	return n, nil
}

// release returns a part of the reservation for what is read ahead. s.mu must be held.
func (s *Stream) release(n int64) {
	if n > 0 && n <= s.held { // nothing is held any more after Release
		s.held -= n
		s.budget.Release(memory.Bodies, n)
	}
}

// nextBuffer waits until more may be read, and returns the buffer to read into.
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

// keepOrDiscard reserves one more segment in the budget. If that fails or would exceed MaxReplayBytes, the stream starts to
// discard consumed bytes. s.mu must be held. The budget is only charged for segments beyond those that are read ahead.
func (s *Stream) keepOrDiscard() {
	if s.discarding || len(s.segments) < readAheadSegments {
		return
	}
	if s.discarding = s.filled >= MaxReplayBytes || !s.budget.Reserve(memory.Copies, segmentBytes); !s.discarding {
		s.reserved += segmentBytes
	}
}

// discardConsumed discards the segments that the reader has consumed, if the stream no longer keeps them for another one.
// s.mu must be held. Without a current reader nothing is discarded: EndAttempt may have reported that the next reader can
// read the stream from its beginning.
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
			s.budget.Release(memory.Copies, segmentBytes)
		}
	}
}

// Blocked reports whether Fill reads nothing more until the reader takes bytes, and how many bytes have arrived.
func (s *Stream) Blocked() (arrived int64, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.segments) > 0 && len(s.segments[len(s.segments)-1]) == segmentBytes
	return s.filled, full && !s.complete && s.err == nil && s.filled-s.consumed >= readAheadSegments*segmentBytes
}

// CloseWithError ends the stream: Fill returns the error, and so does Read after the bytes that have arrived. Only the
// first error is kept.
func (s *Stream) CloseWithError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	s.changed.Broadcast()
}

// Release closes the stream and returns its memory to the budget. Nothing can be read afterwards.
func (s *Stream) Release() {
	s.CloseWithError(ErrStreamClosed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments, s.prefix = nil, nil
	s.budget.Release(memory.Copies, s.reserved)
	s.budget.Release(memory.Bodies, s.held)
	s.reserved, s.held = 0, 0
}

// EndAttempt closes the reader of an attempt that has ended. It reports whether the stream can no longer be read from
// its beginning; if it returns false, the next reader can do so.
func (s *Stream) EndAttempt() (discarded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = nil
	s.changed.Broadcast()
	return s.base > 0 || s.err != nil
}

// Reader returns a reader from the beginning of the stream, which replaces the previous one. Its Read is not safe for
// concurrent use.
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

// Read waits for bytes. last reports whether they are the body's last ones; the next call then returns io.EOF.
func (r *Reader) Read(p []byte) (n int, last bool, err error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.reader != r:
			return 0, false, errSuperseded
		case r.offset < s.base:
			return 0, false, ErrDiscarded
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

// Close closes the reader. A waiting Read returns.
func (r *Reader) Close() {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader == r {
		s.reader = nil
		s.changed.Broadcast()
	}
}
