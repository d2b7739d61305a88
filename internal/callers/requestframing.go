package callers

import (
	"sync"

	"brasswell/internal/framing"
)

// requestFraming relates the requests that net/http passes to the handler to the messages that a tracker finds in the
// bytes read. The tracker may be ahead: net/http reads several pipelined requests at a time. Its methods may be called
// concurrently, because net/http also reads while a handler runs.
type requestFraming struct {
	mu      sync.Mutex
	tracker framing.Tracker
	begun   int // number of requests passed to the handler
}

// feed processes the next bytes read. It returns how many of them belong to messages within the limits, and the size of the head
// that is being read or, behind its end, of the last one.
func (f *requestFraming) feed(b []byte) (accepted int, head framing.HeadSize) {
	f.mu.Lock()
	defer f.mu.Unlock()
	accepted = f.tracker.Feed(b)
	return accepted, f.tracker.Head()
}

// beginRequest counts a request and returns how it is framed.
func (f *requestFraming) beginRequest() framing.Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun++
	return f.tracker.Message(f.begun)
}

func (f *requestFraming) folded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Folded()
}

func (f *requestFraming) atMessageBoundary() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.AtMessageBoundary()
}

// requestPending reports whether the head of a request that the handler has not got yet has been read to its end.
func (f *requestFraming) requestPending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Message(f.begun+1) != framing.Unknown
}

// current returns the number of the request that was passed to the handler last, and the tracker as it is now.
func (f *requestFraming) current() (int, framing.Tracker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun, f.tracker
}

// copyFrom takes over what another connection's bytes have shown.
func (f *requestFraming) copyFrom(other *requestFraming) {
	other.mu.Lock()
	defer other.mu.Unlock()
	f.tracker, f.begun = other.tracker, other.begun
}
