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

// Reasons why a request was not written.
var (
	errUnwanted = errors.New("the attempt is no longer wanted")
	errOutdated = errors.New("the request announces more time to the server than remains")
)

// writePermit is an attempt's latest permission to write its request. Its methods must not be called concurrently.
type writePermit struct {
	attempt   Attempt
	checkedAt time.Time     // when the attempt was last asked
	announced time.Duration // the remaining time that the request announces to the server
}

// requestPermit asks an attempt whether its request may be written, and how long the proxy will wait for the response.
func requestPermit(a Attempt) (b writePermit, wanted bool) {
	b = writePermit{attempt: a, checkedAt: time.Now()}
	b.announced, wanted = a.Begin()
	return b, wanted
}

// revalidate asks the attempt again if the permit is older than permitValidity, and repeats this until an answer is
// recent enough. It returns the reason if the request may not be written now.
func (b *writePermit) revalidate() error {
	for time.Since(b.checkedAt) >= permitValidity {
		b.checkedAt = time.Now()
		left, wanted := b.attempt.Begin()
		switch {
		case !wanted:
			return errUnwanted
		case left < b.announced-announcedSlack:
			return errOutdated
		}
	}
	return nil
}
