// Package body reads, buffers and streams message bodies within a memory budget.
package body

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"brasswell/internal/memory"
)

const (
	// MaxBytes is the maximum size of a body that the protocol allows, for requests and responses alike. If a peer
	// sends more, the message is aborted: the rest is neither forwarded nor read.
	MaxBytes = 32 << 20
	// MaxBufferedBytes is the maximum size of a body that is read completely before it is processed. Longer bodies are
	// streamed.
	MaxBufferedBytes = 64 << 10
)

// ErrTooLarge is the error of a body, or of an answer, that the protocol does not allow.
var ErrTooLarge = errors.New("body over 32 MiB")

// Budget grants the memory that bodies hold. *memory.Account is one.
type Budget interface {
	Reserve(use memory.Use, bytes int64) bool
	Release(use memory.Use, bytes int64)
	Exhausted(use memory.Use) error
}

// Body is a request's body. A short one is read completely before anything is sent, because a request may need
// several attempts and its time starts at its last byte. A long one is a stream.
type Body struct {
	data   []byte
	budget Budget
	stream *Stream
}

// Size returns the body's length in bytes, or -1 for a stream of unknown length. A nil Body is empty.
func (b *Body) Size() int64 {
	switch {
	case b == nil:
		return 0
	case b.stream != nil:
		return b.stream.Length()
	}
	return int64(len(b.data))
}

// Stream returns the body's stream, or nil if the body is buffered completely.
func (b *Body) Stream() *Stream {
	if b == nil {
		return nil
	}
	return b.stream
}

// Release returns the memory to the budget. The body must not be used afterwards.
func (b *Body) Release() {
	switch {
	case b == nil:
	case b.stream != nil:
		b.stream.Release()
	default:
		b.budget.Release(memory.Bodies, int64(len(b.data)))
		b.data = nil
	}
}

// Read reads r to its end if it holds at most MaxBufferedBytes. Otherwise it returns a stream, and the reader from which
// the stream is to be filled. length is -1 if it is not announced. Before the first byte is read, the maximum that may
// arrive is reserved in the budget.
func Read(r io.Reader, length int64, budget Budget) (*Body, io.Reader, error) {
	switch {
	case length == 0:
		return nil, nil, nil
	case length > MaxBytes:
		return nil, nil, ErrTooLarge
	case length > MaxBufferedBytes:
		if !budget.Reserve(memory.Bodies, streamBytes) {
			return nil, nil, budget.Exhausted(memory.Bodies)
		}
		return &Body{stream: newReservedStream(length, budget, nil, streamBytes)}, r, nil
	}
	limit := length
	if limit < 0 {
		limit = max(MaxBufferedBytes, streamBytes) // it may turn out to be a stream
	}
	if !budget.Reserve(memory.Bodies, limit) {
		return nil, nil, budget.Exhausted(memory.Bodies)
	}
	data, complete, err := readAtMost(r, min(limit, MaxBufferedBytes))
	if err != nil {
		budget.Release(memory.Bodies, limit)
		return nil, nil, fmt.Errorf("body: %w", err)
	}
	if !complete {
		return &Body{stream: newReservedStream(-1, budget, data, limit)}, r, nil
	}
	budget.Release(memory.Bodies, limit-int64(len(data)))
	return &Body{data: data, budget: budget}, nil, nil
}

// readAtMost reads r to its end, or until more than limit bytes have been read. The buffer grows with the bytes received, so a sender that announces a long body and sends
// nothing uses hardly any memory. The read that reaches the end also makes net/http watch whether the caller disconnects.
func readAtMost(r io.Reader, limit int64) (data []byte, complete bool, err error) {
	data = make([]byte, 0, min(limit+1, 512))
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF:
			return data, true, nil
		case err != nil:
			return nil, false, err
		case int64(len(data)) > limit:
			return data, false, nil
		}
		if len(data) == cap(data) {
			data = slices.Grow(data, min(len(data), int(limit)+1-len(data)))
		}
	}
}

// Data returns the bytes of a buffered body. Attempts share them, so they must not be modified.
func (b *Body) Data() []byte {
	if b == nil {
		return nil
	}
	return b.data
}
