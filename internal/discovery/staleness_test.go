package discovery

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// grace is how long after a notice a request may be written.
const grace = 500 * time.Millisecond

const (
	noUpdate = `{"seq":1,"whole":false,"hosts":[]}`
	hold     = 2500 * time.Millisecond // of a watch
)

// drainUpdate returns an update in which a server drains.
func drainUpdate() string { return list(2, false, host("a", "127.0.0.1:1", "draining")) }

// reply is the response to a call: an answer that is written at a time and read readDelay later.
type reply struct {
	text      string // "" for no response
	at        time.Duration
	readDelay time.Duration
	missing   int // number of bytes of the answer that are never sent
	closes    bool
}

// scriptedReplies is a discovery that gives calls these responses in order; later calls get no response.
type scriptedReplies struct {
	pipes   pipes
	start   time.Time
	replies []reply

	mu    sync.Mutex
	calls int
}

// delayedConn is the end of the proxy of a connection whose data is read some time after it arrived.
type delayedConn struct {
	net.Conn
	delay func() time.Duration
}

func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.delay())
	}
	return n, err
}

func (r *scriptedReplies) dial(context.Context, string, string) (net.Conn, error) {
	var mu sync.Mutex
	var delay time.Duration
	c := r.pipes.connect(func(c net.Conn) {
		defer c.Close()
		r.serve(c, func(d time.Duration) { mu.Lock(); delay = d; mu.Unlock() })
	})
	return delayedConn{c, func() time.Duration { mu.Lock(); defer mu.Unlock(); return delay }}, nil
}

func (r *scriptedReplies) serve(c net.Conn, setDelay func(time.Duration)) {
	in := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		rep := r.next()
		if rep.text == "" {
			io.Copy(io.Discard, c) // until the caller gives up
			return
		}
		time.Sleep(rep.at - time.Since(r.start))
		setDelay(rep.readDelay)
		text := answerOf(rep.text)
		if _, err := io.WriteString(c, text[:len(text)-rep.missing]); err != nil || rep.closes {
			return
		}
	}
}

func (r *scriptedReplies) next() (rep reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls < len(r.replies) {
		rep = r.replies[r.calls]
	}
	r.calls++
	return rep
}

// runReplies runs a client that holds version 1 and watches, and then check, in the bubble of the test.
func runReplies(t *testing.T, all []reply, check func(d *Client, start time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &scriptedReplies{start: time.Now(), replies: all}
		ctx, cancel := context.WithCancel(t.Context())
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(balance.ListKind, []balance.Entry, map[string]string) {})
		d.client.Transport.(*http.Transport).DialContext = r.dial
		d.Resume(1)
		var watch sync.WaitGroup
		watch.Go(func() { d.Follow(ctx) })
		check(d, r.start)
		cancel()
		watch.Wait()
		d.CloseIdle()
		r.pipes.disconnect()
		r.pipes.serving.Wait()
	})
}

// expectStaleAfter checks for a minute that the list without the update is stale, from the end of the grace after a
// notice.
func expectStaleAfter(t *testing.T, d *Client, start time.Time, noticeAt time.Duration) {
	t.Helper()
	time.Sleep(noticeAt + grace - time.Since(start))
	for time.Since(start) < noticeAt+time.Minute {
		if d.Fresh() && d.Seq() == 1 {
			t.Errorf("the list without the update is fresh %v after the notice", time.Since(start)-noticeAt)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestListWithoutUpdateIsStaleAfterNotice: in each scenario a server drains, and every call after the last answer
// gets no response. The list is not used after the grace of the earliest notice.
func TestListWithoutUpdateIsStaleAfterNotice(t *testing.T) {
	for name, c := range map[string]struct {
		replies  []reply
		move     time.Duration // time of SIGHUP; 0 for none
		noticeAt time.Duration
	}{
		// The change is at 0.1 s, and counts as notified 6 s later.
		"an answer that is written after its decision":    {replies: []reply{{text: noUpdate, at: hold}}, noticeAt: 6100 * time.Millisecond},
		"an answer that is read after it was written":     {replies: []reply{{text: noUpdate, readDelay: hold}}, noticeAt: 6100 * time.Millisecond},
		"an empty answer that comes before its hold ends": {replies: []reply{{text: noUpdate}, {text: noUpdate, at: 2 * time.Second}}, noticeAt: 6100 * time.Millisecond},
		// The change is at 1 s, and counts as notified when the answer with it is written.
		"an update that is cut off": {replies: []reply{{text: noUpdate}, {text: drainUpdate(), at: time.Second, missing: 10, closes: true}}, noticeAt: time.Second},
		"an update that stalls":     {replies: []reply{{text: noUpdate}, {text: drainUpdate(), at: time.Second, missing: 10}}, noticeAt: time.Second},
		"an update in transit to a call that SIGHUP ends": {
			replies: []reply{{text: noUpdate}, {text: drainUpdate(), at: time.Second, readDelay: 300 * time.Millisecond}}, move: 1100 * time.Millisecond, noticeAt: time.Second,
		},
		// At 3.3 s a call is made beside the watch. The update on it is written immediately, and the older answer to
		// the watch is read first.
		"an update after an older answer": {
			replies:  []reply{{text: noUpdate}, {text: noUpdate, at: 3500 * time.Millisecond}, {text: drainUpdate(), at: 3300 * time.Millisecond, readDelay: 300 * time.Millisecond}},
			noticeAt: 3300 * time.Millisecond,
		},
		// The change exists before SIGHUP, and counts as notified 4 s after it.
		"SIGHUP": {replies: []reply{{text: noUpdate}}, move: time.Second, noticeAt: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runReplies(t, c.replies, func(d *Client, start time.Time) {
				if c.move > 0 {
					time.Sleep(c.move)
					d.Move("discovery:2")
				}
				expectStaleAfter(t, d, start, c.noticeAt)
			})
		})
	}
}

// TestDialTimeoutsDoNotExtendLease: discovery is reachable for others and has a change from 1 s on. After the first
// answer its accept queue is full, and each dial of this proxy times out or succeeds too late.
func TestDialTimeoutsDoNotExtendLease(t *testing.T) {
	for _, accepted := range []int{1, 2} { // calls that are accepted before that; the second gets no response
		synctest.Test(t, func(t *testing.T) {
			s := newService()
			defer s.close()
			s.faultOf = func(call int) fault {
				switch {
				case call == 0:
					return faultNone
				case call < accepted:
					return faultSilent
				}
				return faultDialTimeout
			}
			d, end := watchService(t, s, func(balance.ListKind) {})
			defer end()
			time.Sleep(time.Second)
			s.pipes.disconnect()
			close(s.change)
			expectStaleAfter(t, d, s.start, time.Second+plan.NotifiedWithin)
		})
	}
}

// TestCallWaitingForConnectionIsNotUnreachable: dials hang and use all connections that the client may have. The next
// calls wait for a connection, and none of them may end as a call whose dial failed.
func TestCallWaitingForConnectionIsNotUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		dials, over := 0, make(chan struct{})
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(balance.ListKind, []balance.Entry, map[string]string) {})
		d.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
			mu.Lock()
			dials++
			mu.Unlock()
			<-over
			return nil, errDialTimeout
		}
		d.Resume(1)
		ctx, cancel := context.WithCancel(t.Context())
		var watch sync.WaitGroup
		watch.Go(func() { d.Follow(ctx) })
		time.Sleep(time.Minute)
		mu.Lock()
		if dials != maxConns {
			t.Errorf("%d dials, want %d", dials, maxConns)
		}
		mu.Unlock()
		d.mu.Lock()
		if n := d.calls[plan.Unreachable]; n > 0 {
			t.Errorf("%d calls ended as unreachable: %v", n, d.calls)
		}
		d.mu.Unlock()
		if d.Fresh() {
			t.Error("the list is fresh")
		}
		cancel()
		close(over)
		watch.Wait()
		d.CloseIdle()
	})
}

// TestListOlderThanItsProcess: a process starts 1.43 s after a change, with the list from before it, and each of its
// calls is refused. The change counts as notified 6 s after discovery had it, not 6 s after the start.
func TestListOlderThanItsProcess(t *testing.T) {
	const startDelay = 1430 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		close(s.change)
		s.faultOf = func(int) fault { return faultTurnedAway }
		d, end := watchService(t, s, func(balance.ListKind) {})
		defer end()
		expectStaleAfter(t, d, s.start, plan.NotifiedWithin-startDelay)
	})
}
