package backends

import (
	"errors"
	"time"
)

const (
	// beginHolds is how long what Begin has said is relied on. The request's bytes are written by another goroutine, and a process may not run
	// between the two for as long as it is stopped or starved.
	permitValidity = 10 * time.Millisecond
	// toldSlack is how much more time a server may be told than is left; the protocol allows 150 ms.
	announcedSlack = 100 * time.Millisecond
)

// Why nothing of a request was written.
var (
	errUnwanted = errors.New("the attempt is not wanted any more")
	errOutdated = errors.New("the request tells the server more time than is left")
)

// beginning is what an attempt has said last of whether it may be written. Its methods are called by one goroutine at a time.
type writePermit struct {
	attempt   Attempt
	checkedAt time.Time     // when the attempt was asked last
	announced time.Duration // the time that the request tells the server
}

// begin asks an attempt whether it may be written, and how long the proxy will wait.
func requestPermit(a Attempt) (b writePermit, wanted bool) {
	b = writePermit{attempt: a, checkedAt: time.Now()}
	b.announced, wanted = a.Begin()
	return b, wanted
}

// hold asks the attempt again for as long as this process did not run since it was asked, and returns why the request may not be written now.
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
