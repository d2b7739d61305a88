package proxy

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxBody is the largest body that the protocol knows.
	maxBody = 32 << 20
	// chunk is how much of a body is taken into memory at a time. A body kept in chunks never has to be
	// moved to a larger place, which would need room for it twice.
	chunk = 64 << 10
	// maxDiscard is how much of a body that cannot be kept is still read, so that its sender gets to the
	// point of reading the answer.
	maxDiscard = 2 * maxBody
)

var (
	errTooLarge = errors.New("body over 32 MB")
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

// body is a request's body, read whole before anything is sent: an attempt may have to be repeated, and a
// request's clock starts at its last byte.
type body struct {
	chunks [][]byte
	length int64
	held   int64 // what is taken from the budget
	budget *budget
}

func (b *body) size() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

func (b *body) release() {
	if b != nil {
		b.budget.left.Add(b.held)
		b.held = 0
	}
}

// readBody reads r to its end, also when it cannot be kept; length is -1 where it is not announced.
func readBody(r io.Reader, length int64, budget *budget) (*body, error) {
	if length == 0 {
		return nil, nil
	}
	if length > maxBody {
		return nil, discardBody(r, errTooLarge)
	}
	b := &body{budget: budget}
	for {
		size := int64(chunk)
		if length > 0 {
			size = min(size, length-b.length)
		}
		if size == 0 {
			// All that was announced is here. The read that meets the end tells net/http to watch
			// for the caller's leaving.
			_, err := io.Copy(io.Discard, r)
			return b, b.orRelease(err)
		}
		if !budget.take(size) {
			b.release()
			return nil, discardBody(r, errNoRoom)
		}
		b.held += size
		piece := make([]byte, size)
		n, err := io.ReadFull(r, piece)
		if n > 0 {
			if n < len(piece)/2 {
				piece = append([]byte(nil), piece[:n]...) // the last of unknown length is mostly small
			}
			b.chunks = append(b.chunks, piece[:n])
			b.length += int64(n)
		}
		switch {
		case b.length > maxBody:
			b.release()
			return nil, discardBody(r, errTooLarge)
		case err == io.EOF && length < 0, err == io.ErrUnexpectedEOF && length < 0:
			return b, nil
		case err != nil:
			return nil, b.orRelease(err)
		}
	}
}

func (b *body) orRelease(err error) error {
	if err != nil {
		b.release()
	}
	return err
}

func discardBody(r io.Reader, cause error) error {
	if _, err := io.CopyN(io.Discard, r, maxDiscard); err != nil && err != io.EOF {
		return err
	}
	return cause
}
