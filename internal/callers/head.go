package callers

import (
	"fmt"
	"net"
	"time"

	"brasswell/internal/framing"
	"brasswell/internal/memory"
)

// rejectTimeout is how long the answer to a head that is over a limit may take to be written.
const rejectTimeout = 100 * time.Millisecond

const (
	statusTooManyFields = "431 Request Header Fields Too Large"
	statusNoMemory      = "503 Service Unavailable"
)

var errTooManyFields = fmt.Errorf("more than %d header fields", framing.MaxFields)

// rejectHead answers a request whose head is over a limit. It returns the error that ends the connection. All earlier requests
// have been answered: net/http reads on only once it needs more of this one.
func (k *Conn) rejectHead(status string, reason error) error {
	ended := &net.OpError{Op: "read", Net: k.LocalAddr().Network(), Err: reason} // net/http adds no answer of its own
	if k.rejected {
		return ended
	}
	k.rejected = true
	text := fmt.Sprintf("%s: %v\n", status, reason)
	k.SetWriteDeadline(time.Now().Add(rejectTimeout))
	fmt.Fprintf(k.Conn, "HTTP/1.1 %s\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
	return ended
}

// chargeHead charges what has been read of a head. It reports false if the account has no room for it.
func (k *Conn) chargeHead(head framing.HeadSize) bool {
	need := memory.HeadBytes(head.Bytes, head.Fields)
	if need == 0 {
		return true
	}
	s := k.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.open[k]; !open || k.kind == kindBusy || need <= k.heldForHead {
		return true
	}
	if !s.memory.Reserve(memory.Heads, need-k.heldForHead) {
		return false
	}
	k.heldForHead = need
	return true
}

// releaseHead returns what is charged for the head of a request that has ended; k.set.mu must be held.
func (k *Conn) releaseHead() {
	k.set.memory.Release(memory.Heads, k.heldForHead)
	k.heldForHead = 0
}
