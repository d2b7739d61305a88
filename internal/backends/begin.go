package backends

import (
	"errors"
	"time"
)

const (
	// permitValidity is how long an answer of Attempt.Begin may be used. Another goroutine writes the request's bytes,
	// and the process may be stopped or starved of processor time between the two.
	permitValidity = 10 * time.Millisecond
	// announcedSlack is by how much the announced remaining time may exceed the actual one. The protocol allows 150 ms.
	announcedSlack = 100 * time.Millisecond
)

// Reasons why a request was not written, or not completely.
var (
	errUnwanted = errors.New("the attempt is no longer wanted")
	errOutdated = errors.New("the request announces more time to the server than remains")
)

// Permit is an attempt's answer to the question whether its request may be written now.
type Permit struct {
	Wanted    bool
	Remaining time.Duration // how long the proxy will wait for the response
	Announce  time.Duration // the time to announce to the backend; Remaining or less
	// Receiving means that the request's body is still arriving. Its time starts with its last byte.
	Receiving bool
	// CompleteWithin is the time in which the request's last byte must reach the backend. It is only used if Limited.
	CompleteWithin time.Duration
	Limited        bool
}

// writePermit is an attempt's latest permission to write its request. Its methods must not be called concurrently.
type writePermit struct {
	attempt   Attempt
	checkedAt time.Time // when the attempt was last asked
	announced Permit    // the answer that the written head is based on
}

// requestPermit asks an attempt whether its request may be written, and how long the proxy will wait for the response.
func requestPermit(a Attempt) (b writePermit, wanted bool) {
	b = writePermit{attempt: a, checkedAt: time.Now()}
	b.announced = a.Begin()
	return b, b.announced.Wanted
}

// revalidateBegin asks the attempt again if the permit is older than permitValidity, and repeats this until an answer is
// recent enough. It returns the reason if the request may not be written now.
func (b *writePermit) revalidateBegin() error { return b.revalidate(b.attempt.Begin, false) }

// revalidateComplete is like revalidateBegin, for the last byte of a streamed request. The time that the head announces
// is not checked if the body was still arriving: it starts with the last byte.
func (b *writePermit) revalidateComplete() error {
	return b.revalidate(b.attempt.Complete, b.announced.Receiving)
}

func (b *writePermit) revalidate(ask func() Permit, notStarted bool) error {
	for time.Since(b.checkedAt) >= permitValidity {
		b.checkedAt = time.Now()
		p := ask()
		switch {
		case !p.Wanted:
			return errUnwanted
		case !notStarted && p.Remaining < b.announced.Announce-announcedSlack:
			return errOutdated
		}
	}
	return nil
}
