package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// queueService is a discovery with a queue. Each call waits to be served, and a call that a proxy makes while another
// of its calls waits takes away the place of the other and begins at the end of the queue.
type queueService struct {
	pipes       pipes
	serviceTime time.Duration // how long a call waits until it is answered

	mu            sync.Mutex
	calls         int
	turnedAway    int                // calls turned away because of a later one
	cancelWaiting context.CancelFunc // cancels the waiting call
	done          context.Context
	shutDown      context.CancelFunc
}

func newQueueService(serviceTime time.Duration) *queueService {
	s := &queueService{serviceTime: serviceTime, cancelWaiting: func() {}}
	s.done, s.shutDown = context.WithCancel(context.Background())
	return s
}

func (s *queueService) dial(context.Context, string, string) (net.Conn, error) {
	return s.pipes.connect(s.serve), nil
}

func (s *queueService) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.mu.Lock()
		s.calls++
		s.cancelWaiting()
		wait, cancel := context.WithTimeout(s.done, s.serviceTime)
		s.cancelWaiting = cancel
		s.mu.Unlock()
		<-wait.Done()
		text := serviceUnavailable
		if wait.Err() == context.DeadlineExceeded {
			text = answerOf(list(2, false, host("a", "127.0.0.1:1", "draining")))
		} else {
			s.mu.Lock()
			s.turnedAway++
			s.mu.Unlock()
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func (s *queueService) close() {
	s.shutDown()
	s.pipes.disconnect()
	s.pipes.serving.Wait()
}

// TestQueuePlaceIsKept: discovery has moved and has so many callers that an answer takes as long as it lets a call
// wait. The waiting call keeps its place: no second call is made before its answer. A second call would begin at the
// end of the queue, and this would repeat forever.
func TestQueuePlaceIsKept(t *testing.T) {
	const longestWait = 2 * time.Second // then discovery turns a call away
	synctest.Test(t, func(t *testing.T) {
		s := newQueueService(longestWait)
		defer s.close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		began, notified := time.Now(), make(chan time.Duration, 1)
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, entries []balance.Entry, _ map[string]string) {
				if kind == balance.Delta && len(entries) > 0 {
					cancel()
					notified <- time.Since(began)
				}
			})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		d.Resume(1)
		d.Move("discovery:2")
		var watch sync.WaitGroup
		watch.Go(func() { d.Watch(ctx) })
		select {
		case after := <-notified:
			s.mu.Lock()
			if s.calls != 1 || s.turnedAway != 0 {
				t.Errorf("notified after %v by %d calls, %d of them turned away; one was enough", after, s.calls, s.turnedAway)
			}
			s.mu.Unlock()
		case <-time.After(notifiedWithin):
			s.mu.Lock()
			t.Errorf("not notified within %v: %d calls, %d of them turned away because of a later one", notifiedWithin, s.calls, s.turnedAway)
			s.mu.Unlock()
		}
		cancel()
		watch.Wait()
		d.CloseIdle()
	})
}

// TestTurnedAwayAfterMove: a proxy that is turned away after a move calls again after random delays, and no more
// often than after other refusals: a fleet that calls again every 200 ms keeps discovery from answering anyone. The
// proxy is notified within one delay once discovery has capacity.
//
// The bound on the mean is derived. Delays are uniform from 0 to c = plan.TurnedAwayDelayMax, so the refused calls
// after the first are a renewal process with gaps of mean c/2 and variance c²/12. Over x = notifiedWithin/c = 5 such
// spans it makes 2x - 1/3 = 9.67 calls in the mean, with a variance of 2x/3 + 2/9 = 3.56. With the first call and the
// answered one, a run makes 11.67 calls, and the mean of 1,300 runs has a standard deviation of 1.89/36.1 = 0.052.
// The bound is 6.4 times that above the mean, so the test fails by chance once in 10^10 executions.
func TestTurnedAwayAfterMove(t *testing.T) {
	const runs, maxMeanCalls = 1300, 12 // maxMeanCalls bounds the mean; with a call every 200 ms it would be 31
	totalCalls := 0
	for number := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			s := newService()
			defer s.close()
			close(s.change)
			s.faultOf = func(int) fault {
				if time.Since(s.start) < notifiedWithin {
					return faultTurnedAway
				}
				return faultNone
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var notifiedAt time.Duration
			d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
				func(kind balance.ListKind, _ []balance.Entry, _ map[string]string) {
					if kind != balance.ListFailed {
						notifiedAt = time.Since(s.start)
					}
					cancel()
				})
			d.client.Transport.(*http.Transport).DialContext = s.dial
			seed(d, number)
			d.Resume(1)
			d.Move("discovery:2")
			d.Watch(ctx)
			d.CloseIdle()
			if notifiedAt < notifiedWithin || notifiedAt > notifiedWithin+plan.TurnedAwayDelayMax {
				t.Errorf("notified after %v; discovery was reachable after %v", notifiedAt, notifiedWithin)
			}
			_, calls := s.requests()
			totalCalls += calls
		})
	}
	if mean := float64(totalCalls) / runs; mean > maxMeanCalls {
		t.Errorf("%.1f calls in the mean while the proxy was turned away for %v", mean, notifiedWithin)
	}
}

// TestSeriesOfMovesSwitchesToFirstAndLastAddress: when several configurations follow each other, the address of the
// first one is called immediately, and that of the last one a little later, while the call to the first one stays
// open. Existing changes are delivered within 4 s of each move.
func TestSeriesOfMovesSwitchesToFirstAndLastAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		s.faultOf = func(int) fault { return faultNone }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var dialed []string
		var notifiedAt time.Duration
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(_ balance.ListKind, entries []balance.Entry, _ map[string]string) {
				if len(entries) > 0 && notifiedAt == 0 {
					notifiedAt = time.Since(s.start)
				}
			})
		d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			dialed = append(dialed, address)
			return s.dial(ctx, network, address)
		}
		d.Resume(1)
		var watch sync.WaitGroup
		watch.Go(func() { d.Watch(ctx) })
		time.Sleep(500 * time.Millisecond)
		first := time.Since(s.start)
		for n, gap := range []time.Duration{300 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, 0} {
			d.Move(fmt.Sprintf("discovery:%d", n+2))
			time.Sleep(gap)
		}
		last := time.Since(s.start)
		time.Sleep(10 * time.Millisecond)
		close(s.change)
		time.Sleep(4 * time.Second)
		cancel()
		watch.Wait()
		d.CloseIdle()
		if want := []string{"discovery:1", "discovery:2", "discovery:5"}; !slices.Equal(dialed, want) {
			t.Errorf("dialed %q, want %q", dialed, want)
		}
		if notifiedAt == 0 || notifiedAt > first+4*time.Second || notifiedAt > last+4*time.Second {
			t.Errorf("notified at %v; the configurations came from %v to %v", notifiedAt, first, last)
		}
	})
}

// stallTimeout is how long an answer that has begun may pause before another call is made beside it.
const stallTimeout = 300 * time.Millisecond

// TestStalledAnswerIsHedged: if an answer pauses after it has begun, another call is made beside it after
// stallTimeout, long before a call without any response would be overdue.
func TestStalledAnswerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		close(s.change)
		s.faultOf = func(call int) fault {
			if call == 0 {
				return faultStalled
			}
			return faultNone
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(balance.ListKind, []balance.Entry, map[string]string) { cancel() })
		d.client.Transport.(*http.Transport).DialContext = s.dial
		d.Resume(1)
		d.Watch(ctx)
		d.CloseIdle()
		if times, _ := s.requests(); len(times) != 2 || times[1] != stallTimeout {
			t.Errorf("calls at %v, want a second one after %v", times, stallTimeout)
		}
	})
}
