package discovery

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// oneWatchService is a discovery that identifies its callers at all of its addresses. A call that is made while a
// watch of the same caller is open ends that watch, and each call that continues no watch waits in a queue.
type oneWatchService struct {
	pipes     pipes
	queueTime time.Duration // how long a call that continues no watch waits for its answer

	mu         sync.Mutex
	endWatch   context.CancelFunc // ends the open watch; nil for none
	turnedAway int                // number of calls that were turned away
	answered   time.Time          // time of the last answer
}

func (s *oneWatchService) dial(context.Context, string, string) (net.Conn, error) {
	return s.pipes.connect(s.serve), nil
}

func (s *oneWatchService) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		closed, reading := context.WithCancel(context.Background())
		go func() {
			defer reading()
			r.Peek(1)
		}()
		if _, err := io.WriteString(c, s.answer(closed, request)); err != nil {
			return
		}
		<-closed.Done() // the next request, or the end of the connection
	}
}

// answer returns the response to a call. closed is done when the caller closes the connection.
func (s *oneWatchService) answer(closed context.Context, request *http.Request) string {
	continues := s.continues()
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	switch {
	case hold > 0 && !s.watch(closed, time.Duration(hold)*time.Millisecond):
		return serviceUnavailable
	case hold == 0 && !continues:
		time.Sleep(s.queueTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = time.Now()
	return answerOf(list(1, false))
}

// continues ends the open watch, and reports whether a call that arrives now continues one.
func (s *oneWatchService) continues() bool {
	const continuationGap = 200 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endWatch != nil {
		s.endWatch()
		return false
	}
	return time.Since(s.answered) <= continuationGap
}

// watch waits for the end of a watch and reports whether it was answered.
func (s *oneWatchService) watch(closed context.Context, hold time.Duration) (answered bool) {
	over, end := context.WithCancel(closed)
	defer end()
	s.mu.Lock()
	s.endWatch = end
	s.mu.Unlock()
	select {
	case <-over.Done():
	case <-time.After(hold):
		answered = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatch = nil
	if !answered && closed.Err() == nil {
		s.turnedAway++
	}
	return answered
}

// TestMoveEndsNoWatchAtNewAddress guards against a fleet that has to start anew after a new configuration: discovery
// answers only few calls a second that continue no watch, and each process serves no requests until its call is
// answered.
func TestMoveEndsNoWatchAtNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &oneWatchService{queueTime: 8 * time.Second}
		d := New("discovery:1", nil, DefaultOptions(), slog.New(slog.DiscardHandler), func(balance.ListKind, []balance.Entry, map[string]string) {})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		s.answered = time.Now() // another process of this caller has ended just now
		d.Resume(1)
		ctx, cancel := context.WithCancel(t.Context())
		var watch sync.WaitGroup
		watch.Go(func() { d.Watch(ctx) })
		time.Sleep(time.Second)
		d.Move("discovery:2")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age := d.Age(); age > plan.LeaseDuration || !d.Fresh() {
				t.Errorf("the list is stale; the last answer was %v ago", age)
				break
			}
		}
		s.mu.Lock()
		if s.turnedAway > 0 {
			t.Errorf("%d calls were turned away", s.turnedAway)
		}
		s.mu.Unlock()
		cancel()
		watch.Wait()
		d.CloseIdle()
		s.pipes.disconnect()
		s.pipes.serving.Wait()
	})
}
