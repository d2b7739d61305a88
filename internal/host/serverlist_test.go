package host

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/balance"
)

// fakeServerList is a ServerList whose state the test sets.
type fakeServerList struct {
	stale    atomic.Bool
	caughtUp chan struct{} // closed once its updates are applied; nil if there are none
	catchUps chan struct{} // receives a value for each CatchUp that waits
}

func (l *fakeServerList) Fresh() bool { return !l.stale.Load() }
func (l *fakeServerList) Ready() bool { return true }

func (l *fakeServerList) CatchUp(ctx context.Context) {
	if l.caughtUp == nil {
		return
	}
	l.catchUps <- struct{}{}
	select {
	case <-l.caughtUp:
	case <-ctx.Done():
	}
}

// listWait is the retry delay for refused callers.
const listWait = 300 * time.Millisecond

// TestNothingIsSentByAStaleList checks that a request is refused if the list is stale when it arrives, or if the list
// becomes stale before its connection is established. Once the list is confirmed again, requests are served.
func TestNothingIsSentByAStaleList(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := newServer(t, serve)
	defer s.close()
	c := newFixture(t, balance.Class{Aim: time.Second, ClientTimeout: requestTimeout}, s)
	defer c.close()
	list := &fakeServerList{}
	c.SetServerList(list, listWait)

	list.stale.Store(true)
	if got := await(t, "the answer", c.submit(nil).Final()); got.Outcome != Refused || got.RetryAfter != listWait {
		t.Errorf("with a stale list: %+v", got)
	}
	list.stale.Store(false)
	q := c.submit(nil)
	up := await(t, "the dial", c.dials)
	list.stale.Store(true)
	close(up)
	if got := await(t, "the answer", q.Final()); got.Outcome != Refused || got.RetryAfter != listWait {
		t.Errorf("with a list that became stale before the write: %+v", got)
	}
	if n := s.received.Load(); n > 0 {
		t.Errorf("%d requests were sent with a stale list", n)
	}
	list.stale.Store(false)
	defer c.completeDials()()
	if got := await(t, "the answer", c.submit(nil).Final()); got.Outcome != Served {
		t.Errorf("with a list that is confirmed again: %+v", got)
	}
}

// completeDials lets each connection be established at once, until the returned function is called.
func (c *fixture) completeDials() (end func()) {
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case up := <-c.dials:
				close(up)
			case <-stop:
				return
			}
		}
	})
	return func() {
		close(stop)
		done.Wait()
	}
}

// TestARepeatByAStaleListFails checks that an attempt that may have run is not repeated while the list is stale. The
// request then fails, because a refusal would promise that a retry is harmless.
func TestARepeatByAStaleListFails(t *testing.T) {
	defer goleak.VerifyNone(t)
	list := &fakeServerList{}
	s := newServer(t, func(conn net.Conn) {
		list.stale.Store(true)
		resetConn(conn)
	})
	defer s.close()
	c := newFixture(t, balance.Class{Aim: time.Second, ClientTimeout: requestTimeout}, s, s)
	defer c.close()
	c.SetServerList(list, listWait)
	defer c.completeDials()()
	if got := await(t, "the answer", c.submit(nil).Final()); got.Outcome != Failed {
		t.Errorf("a request that may have run: %+v", got)
	}
	if n := s.received.Load(); n != 1 {
		t.Errorf("sent %d times, want once", n)
	}
}

// TestNothingIsSentBeforeNewsAreTakenIn guards against a process that was stalled and then sends to a server whose
// drain is still unread in its sockets. The attempt must wait for the list updates and then go to another server.
func TestNothingIsSentBeforeNewsAreTakenIn(t *testing.T) {
	defer goleak.VerifyNone(t)
	draining, up := newServer(t, serve), newServer(t, serve)
	defer draining.close()
	defer up.close()
	c := newFixture(t, balance.Class{Aim: time.Second, ClientTimeout: requestTimeout}, draining)
	defer c.close()
	list := &fakeServerList{caughtUp: make(chan struct{}), catchUps: make(chan struct{}, 8)}
	c.SetServerList(list, listWait)
	defer c.completeDials()()
	q := c.submit(nil)
	await(t, "an attempt to catch up with the list", list.catchUps)
	c.Update(balance.Full, []balance.Entry{{ID: "a", State: balance.Draining}, {ID: "b"}}, map[string]string{"a": draining.address, "b": up.address})
	close(list.caughtUp)
	if got := await(t, "the answer", q.Final()); got.Outcome != Served {
		t.Errorf("after the list update: %+v", got)
	}
	if n := draining.received.Load(); n > 0 {
		t.Errorf("%d requests were sent to the draining server", n)
	}
}
