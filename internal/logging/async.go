package logging

import (
	"bytes"
	"errors"
	"io"
	"time"
)

// maxQueuedLines is how many lines wait at most for a reader that stands still.
const maxQueuedLines = 256

// errQueueFull is the error of a line for which there is no room.
var errQueueFull = errors.New("too many lines of the log wait for their reader")

// Async writes lines to another writer in the background, so that nobody waits while the reader of the log stands still. Lines that
// do not fit into its queue are dropped. It is safe for concurrent use.
type Async struct {
	lines chan []byte   // nil ends the goroutine
	done  chan struct{} // closed at its end
}

// NewAsync returns a writer of lines to out. Close must be called.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.writeTo(out)
	return a
}

func (a *Async) writeTo(out io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if line == nil {
			return
		}
		out.Write(line)
	}
}

// Write queues one line, or returns an error if there is no room for it. It does not wait.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- bytes.Clone(line):
		return len(line), nil
	default:
		return 0, errQueueFull
	}
}

// Close waits until all lines so far have been written, but not longer than the given time. Later lines are not written.
func (a *Async) Close(wait time.Duration) {
	timeout := time.After(wait)
	select {
	case a.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-a.done:
	case <-timeout:
	}
}
