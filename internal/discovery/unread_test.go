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

// TestWhatHasComeIsUnreadUntilItIsTakenIn: in the kernel, in this process's buffers, and no longer than an answer's rest is waited for.
func TestWhatHasComeIsUnreadUntilItIsTakenIn(t *testing.T) {
	s := &openConns{open: map[*openConn]struct{}{}}
	conn, other := connected(t, s)
	expect := func(when string, want bool) {
		t.Helper()
		if got := s.unread(); got != want {
			t.Errorf("%s: unread %t", when, got)
		}
	}
	expect("with nothing written", false)
	if _, err := io.WriteString(other, "news"); err != nil {
		t.Fatal(err)
	}
	for !s.unread() { // until it has come
	}
	if _, err := io.ReadFull(conn, make([]byte, len("news"))); err != nil {
		t.Fatal(err)
	}
	expect("once it was read", true)
	conn.taken()
	expect("once it was taken in", false)
	conn.came, conn.waiting = time.Now().Add(-plan.PartialAnswerWait), true
	expect("while the rest does not come", false)
	conn.complete()
	expect("once it has come whole", true)
	conn.taken()
	expect("once that was taken in", false)
	conn.Close()
	if n := len(s.open); n > 0 {
		t.Errorf("%d connections are kept behind their end", n)
	}
}

// TestNewsThatHaveComeAreCaughtUpWith guards against sends by the list before them: while they are being taken in, CatchUp waits.
func TestNewsThatHaveComeAreCaughtUpWith(t *testing.T) {
	news := make(chan string)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case text := <-news:
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
	taking, goOn := make(chan struct{}), make(chan struct{})
	d := New(l.Addr().String(), []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
		func(balance.ListKind, []balance.Entry, map[string]string) { close(taking); <-goOn })
	d.Resume(1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.Watch(ctx); close(ended) }()
	defer func() { cancel(); <-ended; d.CloseIdle() }()
	news <- list(2, false, host("a", "127.0.0.1:1", "draining"))
	<-taking
	caught := make(chan struct{})
	go func() { d.CatchUp(t.Context()); close(caught) }()
	select {
	case <-caught:
		t.Error("caught up with news that are not taken in")
	case <-time.After(2 * plan.PartialAnswerWait):
	}
	close(goOn)
	<-caught
	if !d.Fresh() {
		t.Error("the list is not confirmed behind the news")
	}
}
