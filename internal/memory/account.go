// Package memory accounts for the memory that callers make a process hold, and divides the process's limit. It refuses what does
// not fit before it is held. It performs no I/O but for MappedFiles.
package memory

import (
	"errors"
	"fmt"
	"sync/atomic"

	"brasswell/internal/figures"
)

// Use is what memory is held for.
type Use int

// The uses of memory.
const (
	Connections   Use = iota // of callers, without a request
	Heads                    // of requests, beyond what is covered by Connections
	FirstRequests            // open requests that are the first on their connection, without body and answer
	Requests                 // further requests on a connection
	Bodies                   // of requests that are read whole, and what is read ahead of long ones
	Copies                   // of long bodies, kept for another attempt
	Answers                  // that are buffered whole before they are written
	AnswerHeads              // of backends, beyond what is covered by an open request
	ReadAhead                // of what callers send while their request is open
	IdleBackends             // connections to backends that carry no request
	numUses
)

// useLimits are the limits of each use as shares of an account. As memory gets scarce, uses are refused in the order of total:
// first what there is another way for, then what slow callers hold for long, then what is new, then answers to what has been
// admitted, and last what belongs to callers that have been served before. A caller that never reads its answer holds a request; most of these have been served nothing yet.
var useLimits = [numUses]struct {
	own   float64 // of what this use holds
	total float64 // of what all uses hold together
}{
	Copies:        {0.3, 0.45},
	IdleBackends:  {0.2, 0.55},
	ReadAhead:     {0.2, 0.6},
	Answers:       {0.4, 0.6},
	Heads:         {0.4, 0.65},
	Bodies:        {0.5, 0.7},
	FirstRequests: {0.5, 0.8},
	AnswerHeads:   {0.3, 0.9},
	Requests:      {0.7, 1},
	Connections:   {0.45, 0.8},
}

var useNames = [numUses]string{"connections", "heads", "first_requests", "requests", "bodies", "copies", "answers", "answer_heads", "read_ahead", "idle_backends"}

// String returns the name of the use in figures and messages.
func (u Use) String() string { return useNames[u] }

// Account bounds the memory of all uses together. All methods are safe for concurrent use. A nil *Account has no bound.
type Account struct {
	size, total atomic.Int64
	uses        [numUses]useCounters
	onRefused   func(Use) // may be nil
}

// useCounters counts the bytes that one use holds, and how often it was refused.
type useCounters struct{ held, refused atomic.Int64 }

// NewAccount returns an account of size bytes.
func NewAccount(size int64) *Account {
	a := &Account{}
	a.Resize(size)
	return a
}

// OnRefused sets a function that is called with each use that is refused. It must not block, and must be set before the account is
// used.
func (a *Account) OnRefused(f func(Use)) { a.onRefused = f }

// Resize changes the size. If more is held already, nothing is granted until less is.
func (a *Account) Resize(size int64) { a.size.Store(size) }

// Reserve charges n bytes for a use, or reports false if they do not fit.
func (a *Account) Reserve(u Use, n int64) bool {
	if a == nil {
		return true
	}
	if !a.fits(u, a.uses[u].held.Add(n), a.total.Add(n)) {
		a.Release(u, n)
		a.uses[u].refused.Add(1)
		if a.onRefused != nil {
			a.onRefused(u)
		}
		return false
	}
	return true
}

// Charge charges n bytes for a use even if they do not fit, because they are held already.
func (a *Account) Charge(u Use, n int64) {
	if a == nil {
		return
	}
	a.uses[u].held.Add(n)
	a.total.Add(n)
}

// Release returns n bytes that were charged for a use.
func (a *Account) Release(u Use, n int64) {
	if a == nil {
		return
	}
	a.uses[u].held.Add(-n)
	a.total.Add(-n)
}

func (a *Account) fits(u Use, held, total int64) bool {
	size := float64(a.size.Load())
	return float64(held) <= useLimits[u].own*size && float64(total) <= useLimits[u].total*size
}

// Crowded reports whether n bytes for a use do not fit because of what other uses hold.
func (a *Account) Crowded(u Use, n int64) bool {
	return a != nil && float64(a.total.Load()+n) > useLimits[u].total*float64(a.size.Load())
}

// ErrExhausted is wrapped by the errors of what is refused because an account is used up.
var ErrExhausted = errors.New("memory limit reached")

// Exhausted returns the error of a use that was refused. Its text is sent to callers.
func (a *Account) Exhausted(u Use) error {
	return fmt.Errorf("%w: %s hold %d of %d bytes", ErrExhausted, u, a.uses[u].held.Load(), a.size.Load())
}

// AppendFigures appends the account's figures to text, one per line.
func (a *Account) AppendFigures(text []byte) []byte {
	text = figures.AppendLine(text, "memory_size", a.size.Load(), 'g')
	text = figures.AppendLine(text, "memory_held", a.total.Load(), 'g')
	for u := range numUses {
		text = figures.AppendLine(text, "memory_held."+u.String(), a.uses[u].held.Load(), 'g')
		text = figures.AppendLine(text, "memory_refused."+u.String(), a.uses[u].refused.Load(), 'c')
	}
	return text
}

// UseStatus is what one use holds.
type UseStatus struct {
	Held    int64 `json:"held_bytes"`
	Refused int64 `json:"refused"` // since the start
}

// Status is the state of an account.
type Status struct {
	Size int64                `json:"size_bytes"`
	Held int64                `json:"held_bytes"`
	Uses map[string]UseStatus `json:"uses"`
}

// Status returns the state of the account. Its figures are read one by one.
func (a *Account) Status() Status {
	s := Status{Size: a.size.Load(), Held: a.total.Load(), Uses: make(map[string]UseStatus, numUses)}
	for u := range numUses {
		s.Uses[u.String()] = UseStatus{Held: a.uses[u].held.Load(), Refused: a.uses[u].refused.Load()}
	}
	return s
}
