// Package body keeps messages' bodies within a budget of memory.
package body

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// MaxBytes is the longest body that the protocol knows, of a request and of an answer alike. Whoever sends more
// is not worth the memory: the rest is neither kept nor read.
const MaxBytes = 64 << 10

// Why a body was not read.
var (
	ErrTooLarge = errors.New("body over 64 KiB")
	ErrNoRoom   = errors.New("no memory for the body")
)

// Budget is the memory that all bodies held at one time share.
type Budget struct{ left atomic.Int64 }

func (b *Budget) take(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

func (b *Budget) give(n int64) { b.left.Add(n) }

// Body is a request's body, read whole before anything is sent: an attempt may have to be repeated, and a
// request's clock starts at its last byte.
type Body struct {
	data   []byte
	budget *Budget
}

// Size is the body's length in bytes; a nil Body is empty.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	return int64(len(b.data))
}

// Release gives the memory back; the body must not be used any more.
func (b *Body) Release() {
	if b != nil {
		b.budget.give(int64(len(b.data)))
		b.data = nil
	}
}

// Read reads r to its end; length is -1 where it is not announced. The memory is taken from the budget
// before the first byte is read, for as much as may come.
func Read(r io.Reader, length int64, budget *Budget) (*Body, error) {
	if length == 0 {
		return nil, nil
	}
	if length > MaxBytes {
		return nil, ErrTooLarge
	}
	most := length
	if most < 0 {
		most = MaxBytes
	}
	if !budget.take(most) {
		return nil, ErrNoRoom
	}
	// A buffer that grows with what has come costs a sender that announces much and sends nothing its own
	// time and none of our memory. The read that meets the end also tells net/http to watch for the
	// caller's leaving.
	data, err := io.ReadAll(io.LimitReader(r, most+1))
	switch {
	case err != nil:
		err = fmt.Errorf("body: %w", err)
	case int64(len(data)) > most:
		err = ErrTooLarge
	}
	if err != nil {
		budget.give(most)
		return nil, err
	}
	budget.give(most - int64(len(data)))
	return &Body{data: data, budget: budget}, nil
}

// Data is the body's bytes, which attempts share and nobody may change.
func (b *Body) Data() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// NewBudget lets all bodies together take n bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	b.left.Store(n)
	return b
}
