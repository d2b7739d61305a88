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

// lineService is a discovery with a line: each call waits for its turn, and one that a proxy makes while another of its calls waits
// takes the other's place away and begins at the end of the line.
type lineService struct {
	pipes pipes
	turn  time.Duration // until a call that begins to wait is answered

	mu       sync.Mutex
	calls    int
	turned   int                // away, by a later call
	waiting  context.CancelFunc // of the call that waits
	over     context.Context
	shutDown context.CancelFunc
}

func newLineService(turn time.Duration) *lineService {
	s := &lineService{turn: turn, waiting: func() {}}
	s.over, s.shutDown = context.WithCancel(context.Background())
	return s
}

func (s *lineService) dial(context.Context, string, string) (net.Conn, error) {
	return s.pipes.connect(s.serve), nil
}

func (s *lineService) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.mu.Lock()
		s.calls++
		s.waiting()
		mine, cancel := context.WithTimeout(s.over, s.turn)
		s.waiting = cancel
		s.mu.Unlock()
		<-mine.Done()
		text := serviceUnavailable
		if mine.Err() == context.DeadlineExceeded {
			text = answerOf(list(2, false, host("a", "127.0.0.1:1", "draining")))
		} else {
			s.mu.Lock()
			s.turned++
			s.mu.Unlock()
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func (s *lineService) close() {
	s.shutDown()
	s.pipes.disconnect()
	s.pipes.serves.Wait()
}

// TestAPlaceInLineIsKept: discovery has moved and has so many callers that an answer takes as long as it lets anybody wait. The call that
// waits keeps its place: no second one is made before its turn, which would begin at the end of the line, and so on for ever.
func TestAPlaceInLineIsKept(t *testing.T) {
	const longestWait = 2 * time.Second // then discovery turns a call away
	synctest.Test(t, func(t *testing.T) {
		s := newLineService(longestWait)
		defer s.close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		began, told := time.Now(), make(chan time.Duration, 1)
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, entries []balance.Entry, _ map[string]string) {
				if kind == balance.Delta && len(entries) > 0 {
					cancel()
					told <- time.Since(began)
				}
			})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		d.Resume(1)
		d.Move("discovery:2")
		var watch sync.WaitGroup
		watch.Go(func() { d.Watch(ctx) })
		select {
		case after := <-told:
			s.mu.Lock()
			if s.calls != 1 || s.turned != 0 {
				t.Errorf("told after %v by %d calls, %d of them turned away; one was enough", after, s.calls, s.turned)
			}
			s.mu.Unlock()
		case <-time.After(toldWithin):
			s.mu.Lock()
			t.Errorf("not told within %v: %d calls, %d of them turned away for a later one", toldWithin, s.calls, s.turned)
			s.mu.Unlock()
		}
		cancel()
		watch.Wait()
		d.CloseIdle()
	})
}

// TestUnheardAfterAMove: a proxy that is turned away after a move asks on, at random moments and no oftener than after other refusals:
// a fleet that asks again every 200 ms keeps discovery from answering anybody. It is told within one pause once there is room.
//
// The bound on the mean is derived. Pauses are drawn evenly from 0 to c = plan.TurnedAwayMost, so the refused calls behind the first are a
// renewal process with gaps of mean c/2 and variance c²/12. Over x = toldWithin/c = 5 such spans it makes 2x - 1/3 = 9.67 calls in the
// mean, with a variance of 2x/3 + 2/9 = 3.56. With the first call and the one that is answered a play makes 11.67 calls, and the mean of
// 1,300 plays scatters by 1.89/36.1 = 0.052: the bound stands 6.4 times that above it, so a run fails by chance once in 10^10.
func TestUnheardAfterAMove(t *testing.T) {
	const plays, mostCalls = 1300, 12 // mostCalls is of the mean; every 200 ms there would be 31
	all := 0
	for number := range uint64(plays) {
		synctest.Test(t, func(t *testing.T) {
			s := newService()
			defer s.close()
			close(s.change)
			s.fate = func(int) fault {
				if time.Since(s.start) < toldWithin {
					return turned
				}
				return well
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var told time.Duration
			d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
				func(kind balance.ListKind, _ []balance.Entry, _ map[string]string) {
					if kind != balance.ListFailed {
						told = time.Since(s.start)
					}
					cancel()
				})
			d.client.Transport.(*http.Transport).DialContext = s.dial
			seed(d, number)
			d.Resume(1)
			d.Move("discovery:2")
			d.Watch(ctx)
			d.CloseIdle()
			if told < toldWithin || told > toldWithin+plan.TurnedAwayDelayMax {
				t.Errorf("told after %v; it could be reached after %v", told, toldWithin)
			}
			_, calls := s.made()
			all += calls
		})
	}
	if mean := float64(all) / plays; mean > mostCalls {
		t.Errorf("%.1f calls in the mean while it was turned away for %v", mean, toldWithin)
	}
}

// TestASeriesOfMovesIsGoneOverOnce: of configurations that follow each other the first one's address is asked at once, and the last one's
// a little later, while the call to the first one goes on. What there is to tell is told within 4 s of each.
func TestASeriesOfMovesIsGoneOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		s.fate = func(int) fault { return well }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var dialled []string
		var told time.Duration
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(_ balance.ListKind, entries []balance.Entry, _ map[string]string) {
				if len(entries) > 0 && told == 0 {
					told = time.Since(s.start)
				}
			})
		d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			dialled = append(dialled, address)
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
		if want := []string{"discovery:1", "discovery:2", "discovery:5"}; !slices.Equal(dialled, want) {
			t.Errorf("dialled %q, want %q", dialled, want)
		}
		if told == 0 || told > first+4*time.Second || told > last+4*time.Second {
			t.Errorf("told at %v; the configurations came from %v to %v", told, first, last)
		}
	})
}

// stallTime is how long an answer that has begun may pause before another call is made beside it.
const stallTime = 300 * time.Millisecond

// TestAStalledAnswerIsMadeUpFor: an answer that has begun and pauses has another call made beside it after a moment, long before a silent
// one has.
func TestAStalledAnswerIsMadeUpFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		close(s.change)
		s.fate = func(call int) fault {
			if call == 0 {
				return stalled
			}
			return well
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(balance.ListKind, []balance.Entry, map[string]string) { cancel() })
		d.client.Transport.(*http.Transport).DialContext = s.dial
		d.Resume(1)
		d.Watch(ctx)
		d.CloseIdle()
		if took, _ := s.made(); len(took) != 2 || took[1] != stallTime {
			t.Errorf("calls at %v, want a second one after %v", took, stallTime)
		}
	})
}
