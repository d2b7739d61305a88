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

// oneWatchService is a discovery that knows its callers at all of its addresses: a call that is made while a watch of the same caller is open ends
// that, and each call that continues no watch waits for its turn.
type oneWatchService struct {
	pipes pipes
	turn  time.Duration // until a call that continues no watch is answered

	mu       sync.Mutex
	endWatch context.CancelFunc // of the watch that is open; nil for none
	turned   int                // calls that were turned away
	answered time.Time          // the last one
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
		<-closed.Done() // the next request, or the end
	}
}

// answer is the text that a call is answered with. closed ends as its caller closes it.
func (s *oneWatchService) answer(closed context.Context, request *http.Request) string {
	continues := s.continues()
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	switch {
	case hold > 0 && !s.watch(closed, time.Duration(hold)*time.Millisecond):
		return serviceUnavailable
	case hold == 0 && !continues:
		time.Sleep(s.turn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = time.Now()
	return answerOf(list(1, false))
}

// continues ends the watch that is open, and says whether a call that comes now goes on with one.
func (s *oneWatchService) continues() bool {
	const watchGap = 200 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endWatch != nil {
		s.endWatch()
		return false
	}
	return time.Since(s.answered) <= watchGap
}

// watch waits for the end of a watch, and says whether it was answered.
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
		s.turned++
	}
	return answered
}

// TestAMoveEndsNoWatchOfTheNewAddress guards against a fleet that has to begin anew behind a new configuration: discovery answers few calls a second
// that go on with no watch, and each process serves nobody until its own is.
func TestAMoveEndsNoWatchOfTheNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &oneWatchService{turn: 8 * time.Second}
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
				t.Errorf("nothing may be sent; the last answer was %v ago", age)
				break
			}
		}
		s.mu.Lock()
		if s.turned > 0 {
			t.Errorf("%d calls were turned away", s.turned)
		}
		s.mu.Unlock()
		cancel()
		watch.Wait()
		d.CloseIdle()
		s.pipes.disconnect()
		s.pipes.serves.Wait()
	})
}
