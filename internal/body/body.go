// Package body keeps messages' bodies within a budget of memory.
package body

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// MaxBytes is the longest body that the protocol knows, of a request and of an answer alike. Whoever sends
	// more is given up: the rest is neither passed on nor read.
	MaxBytes = 32 << 20
	// WholeBytes is the longest body that is read whole before anything is done with it. What is longer streams.
	MaxBufferedBytes = 64 << 10
)

// Why a body was not read.
var (
	ErrTooLarge = errors.New("body over 32 MiB")
	ErrNoMemory = errors.New("no memory for the body")
)

// Budget is the memory that all bodies held at one time share.
type Budget struct{ left, most atomic.Int64 }

func (b *Budget) take(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

func (b *Budget) give(n int64) { b.left.Add(n) }

// Body is a request's body. A short one is read whole before anything is sent: an attempt may have to be repeated,
// and a request's clock starts at its last byte. A long one is a stream.
type Body struct {
	data   []byte
	budget *Budget
	stream *Stream
}

// Size is the body's length in bytes, -1 if a stream's is not known; a nil Body is empty.
func (b *Body) Size() int64 {
	switch {
	case b == nil:
		return 0
	case b.stream != nil:
		return b.stream.Length()
	}
	return int64(len(b.data))
}

// Stream is the body's stream, or nil if it is whole.
func (b *Body) Stream() *Stream {
	if b == nil {
		return nil
	}
	return b.stream
}

// Release gives the memory back; the body must not be used any more.
func (b *Body) Release() {
	switch {
	case b == nil:
	case b.stream != nil:
		b.stream.Release()
	default:
		b.budget.give(int64(len(b.data)))
		b.data = nil
	}
}

// Read reads r to its end if it holds WholeBytes at most, and otherwise returns a stream that is yet to be filled from
// the reader that comes with it; length is -1 where it is not announced. The memory is taken from the budget before
// the first byte is read, for as much as may come.
func Read(r io.Reader, length int64, budget *Budget) (*Body, io.Reader, error) {
	switch {
	case length == 0:
		return nil, nil, nil
	case length > MaxBytes:
		return nil, nil, ErrTooLarge
	case length > MaxBufferedBytes:
		return &Body{stream: NewStream(length, budget)}, r, nil
	}
	most := length
	if most < 0 {
		most = MaxBufferedBytes
	}
	if !budget.take(most) {
		return nil, nil, ErrNoMemory
	}
	data, whole, err := ReadAtMost(r, most, func() bool { return true })
	if err != nil {
		budget.give(most)
		return nil, nil, fmt.Errorf("body: %w", err)
	}
	if !whole {
		budget.give(most)
		return &Body{stream: NewStream(-1, budget)}, io.MultiReader(bytes.NewReader(data), r), nil
	}
	budget.give(most - int64(len(data)))
	return &Body{data: data, budget: budget}, nil, nil
}

// ReadAtMost reads r to its end, or more than most bytes of it, or until goOn says no, which is asked before each read.
// The buffer grows with what has come: a sender that announces much and sends nothing costs its own time and none of our
// memory. The read that meets the end also tells net/http to watch for the caller's leaving.
func ReadAtMost(r io.Reader, most int64, goOn func() bool) (data []byte, whole bool, err error) {
	data = make([]byte, 0, min(most+1, 512))
	for goOn() {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF:
			return data, true, nil
		case err != nil:
			return nil, false, err
		case int64(len(data)) > most:
			return data, false, nil
		}
		if len(data) == cap(data) {
			data = slices.Grow(data, min(len(data), int(most)+1-len(data)))
		}
	}
	return data, false, nil
}

// Data is the body's bytes, which attempts share and nobody may change.
func (b *Body) Data() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Resize changes what all bodies together may take. Where they hold more already, nothing is given until they hold
// less.
func (b *Budget) Resize(n int64) { b.left.Add(n - b.most.Swap(n)) }

// NewBudget lets all bodies together take n bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	b.Resize(n)
	return b
}
