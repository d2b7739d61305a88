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

// confirmedList is a list that the test confirms or not.
type confirmedList struct {
	stale  atomic.Bool
	unread chan struct{} // closed once its news are taken in; nil for none
	asked  chan struct{} // takes one each time that they are waited for
}

func (l *confirmedList) Fresh() bool { return !l.stale.Load() }
func (l *confirmedList) Ready() bool { return true }

func (l *confirmedList) CatchUp(ctx context.Context) {
	if l.unread == nil {
		return
	}
	l.asked <- struct{}{}
	select {
	case <-l.unread:
	case <-ctx.Done():
	}
}

// listWait is what refused callers are told.
const listWait = 300 * time.Millisecond

// TestNothingIsSentByAStaleList: a request that comes while the list is stale is refused without a look at any server, and so is one
// whose connection comes up after it has become so. Behind it requests are served again.
func TestNothingIsSentByAStaleList(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := newServer(t, serve)
	defer s.close()
	c := newCrossing(t, balance.Class{Aim: time.Second, ClientTimeout: long}, s)
	defer c.close()
	list := &confirmedList{}
	c.SetServerList(list, listWait)

	list.stale.Store(true)
	if got := await(t, "the answer", c.submit(nil).Final()); got.Verdict != Refused || got.RetryAfter != listWait {
		t.Errorf("by a stale list: %+v", got)
	}
	list.stale.Store(false)
	q := c.submit(nil)
	up := await(t, "a connection that is asked for", c.dials)
	list.stale.Store(true)
	close(up)
	if got := await(t, "the answer", q.Final()); got.Verdict != Refused || got.RetryAfter != listWait {
		t.Errorf("by a list that became stale before the write: %+v", got)
	}
	if n := s.took.Load(); n > 0 {
		t.Errorf("%d requests were sent by a stale list", n)
	}
	list.stale.Store(false)
	defer c.letAllUp()()
	if got := await(t, "the answer", c.submit(nil).Final()); got.Verdict != Served {
		t.Errorf("by a list that is confirmed again: %+v", got)
	}
}

// letAllUp lets each connection come up at once, until the function that it returns is called.
func (c *crossing) letAllUp() (end func()) {
	over := make(chan struct{})
	var letting sync.WaitGroup
	letting.Go(func() {
		for {
			select {
			case up := <-c.dials:
				close(up)
			case <-over:
				return
			}
		}
	})
	return func() {
		close(over)
		letting.Wait()
	}
}

// TestARepeatByAStaleListFails: an attempt that may have run is not repeated by a stale list, and its request cannot be refused harmlessly.
func TestARepeatByAStaleListFails(t *testing.T) {
	defer goleak.VerifyNone(t)
	list := &confirmedList{}
	s := newServer(t, func(conn net.Conn) {
		list.stale.Store(true)
		breakOff(conn)
	})
	defer s.close()
	c := newCrossing(t, balance.Class{Aim: time.Second, ClientTimeout: long}, s, s)
	defer c.close()
	c.SetServerList(list, listWait)
	defer c.letAllUp()()
	if got := await(t, "the answer", c.submit(nil).Final()); got.Verdict != Failed {
		t.Errorf("a request that may have run: %+v", got)
	}
	if n := s.took.Load(); n != 1 {
		t.Errorf("sent %d times, want once", n)
	}
}

// TestNothingIsSentBeforeNewsAreTakenIn guards against a process that was held up and sends to a server whose drain lies in its sockets: the
// attempt waits, and goes elsewhere.
func TestNothingIsSentBeforeNewsAreTakenIn(t *testing.T) {
	defer goleak.VerifyNone(t)
	draining, up := newServer(t, serve), newServer(t, serve)
	defer draining.close()
	defer up.close()
	c := newCrossing(t, balance.Class{Aim: time.Second, ClientTimeout: long}, draining)
	defer c.close()
	list := &confirmedList{unread: make(chan struct{}), asked: make(chan struct{}, 8)}
	c.SetServerList(list, listWait)
	defer c.letAllUp()()
	q := c.submit(nil)
	await(t, "an attempt that is about to be sent", list.asked)
	c.Update(balance.Full, []balance.Entry{{ID: "a", State: balance.Draining}, {ID: "b"}}, map[string]string{"a": draining.address, "b": up.address})
	close(list.unread)
	if got := await(t, "the answer", q.Final()); got.Verdict != Served {
		t.Errorf("behind the news: %+v", got)
	}
	if n := draining.took.Load(); n > 0 {
		t.Errorf("%d requests were sent to the server that drains", n)
	}
}
