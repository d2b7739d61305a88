package proxy

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// maxBody is the longest body that the protocol knows, of a request and of an answer alike. Whoever sends more
// is not worth the memory: the rest is neither kept nor read.
const maxBody = 64 << 10

var (
	errTooLarge = errors.New("body over 64 KiB")
	errNoRoom   = errors.New("no memory for the body")
)

// budget is the memory that all bodies held at one time share.
type budget struct{ left atomic.Int64 }

func (b *budget) take(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

func (b *budget) give(n int64) { b.left.Add(n) }

// body is a request's body, read whole before anything is sent: an attempt may have to be repeated, and a
// request's clock starts at its last byte.
type body struct {
	data   []byte
	budget *budget
}

func (b *body) size() int64 {
	if b == nil {
		return 0
	}
	return int64(len(b.data))
}

func (b *body) release() {
	if b != nil {
		b.budget.give(int64(len(b.data)))
		b.data = nil
	}
}

// readBody reads r to its end; length is -1 where it is not announced. The memory is taken from the budget
// before the first byte is read, for as much as may come.
func readBody(r io.Reader, length int64, budget *budget) (*body, error) {
	if length == 0 {
		return nil, nil
	}
	if length > maxBody {
		return nil, errTooLarge
	}
	most := length
	if most < 0 {
		most = maxBody
	}
	if !budget.take(most) {
		return nil, errNoRoom
	}
	// A buffer that grows with what has come costs a sender that announces much and sends nothing its own
	// time and none of our memory. The read that meets the end also tells net/http to watch for the
	// caller's leaving.
	data, err := io.ReadAll(io.LimitReader(r, most+1))
	switch {
	case err != nil:
		err = fmt.Errorf("body: %w", err)
	case int64(len(data)) > most:
		err = errTooLarge
	}
	if err != nil {
		budget.give(most)
		return nil, err
	}
	budget.give(most - int64(len(data)))
	return &body{data: data, budget: budget}, nil
}
