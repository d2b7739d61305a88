package discovery

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// connected returns a connection of s and its other end.
func connected(t *testing.T, s *openConns) (conn *openConn, other net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := s.dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if other, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); other.Close() })
	return c.(*openConn), other
}

// TestReceivedBytesAreUnreadUntilApplied: received bytes count as unread in the kernel and in the buffers of the
// process, until they are applied, but no longer than the rest of an answer is waited for.
func TestReceivedBytesAreUnreadUntilApplied(t *testing.T) {
	s := &openConns{open: map[*openConn]struct{}{}}
	conn, other := connected(t, s)
	expect := func(when string, want bool) {
		t.Helper()
		if got := s.unread(); got != want {
			t.Errorf("%s: unread %t", when, got)
		}
	}
	expect("with nothing written", false)
	if _, err := io.WriteString(other, "update"); err != nil {
		t.Fatal(err)
	}
	for !s.unread() { // until it has arrived
	}
	if _, err := io.ReadFull(conn, make([]byte, len("update"))); err != nil {
		t.Fatal(err)
	}
	expect("once it was read", true)
	conn.markApplied()
	expect("once it was applied", false)
	conn.receivedAt, conn.readerWaiting = time.Now().Add(-plan.PartialAnswerWait), true
	expect("while the rest does not arrive", false)
	conn.markComplete()
	expect("once it has arrived completely", true)
	conn.markApplied()
	expect("once that was applied", false)
	conn.Close()
	if n := len(s.open); n > 0 {
		t.Errorf("%d connections are kept after they were closed", n)
	}
}

// TestCatchUpWaitsForReceivedUpdate guards against requests that are sent according to the list before an update:
// CatchUp waits while the update is being applied.
func TestCatchUpWaitsForReceivedUpdate(t *testing.T) {
	updates := make(chan string)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case text := <-updates:
			io.WriteString(w, text)
		case <-r.Context().Done():
		}
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	defer server.Close()
	applying, proceed := make(chan struct{}), make(chan struct{})
	d := New(l.Addr().String(), []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
		func(balance.ListKind, []balance.Entry, map[string]string) { close(applying); <-proceed })
	d.Resume(1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.Watch(ctx); close(ended) }()
	defer func() { cancel(); <-ended; d.CloseIdle() }()
	updates <- list(2, false, host("a", "127.0.0.1:1", "draining"))
	<-applying
	caught := make(chan struct{})
	go func() { d.CatchUp(t.Context()); close(caught) }()
	select {
	case <-caught:
		t.Error("CatchUp returned while an update was not applied")
	case <-time.After(2 * plan.PartialAnswerWait):
	}
	close(proceed)
	<-caught
	if !d.Fresh() {
		t.Error("the list is not confirmed after the update")
	}
}
