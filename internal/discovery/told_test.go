package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// TestNewsFitsBehindTwoSilentCalls computes the bound from the options, for a watch and for a whole list.
func TestNewsFitsBehindTwoSilentCalls(t *testing.T) {
	o := DefaultOptions()
	watch := o.lastCall()
	whole := plan.CallTimeout // for the second: a proxy with no list cannot be held to one, and must be ready within 10 s
	t.Logf("the third call begins within %v of a watch, the second within %v of a call for the whole list", watch, whole)
	if watch+answerRoom > toldWithin || 2*whole+answerRoom > 10*time.Second {
		t.Errorf("%v and %v must leave %v of %v", watch, whole, answerRoom, toldWithin)
	}
	for _, hold := range []time.Duration{50 * time.Millisecond, 2500 * time.Millisecond, 3350 * time.Millisecond, 3400 * time.Millisecond, time.Minute} {
		o := Options{Hold: hold, Slack: 50 * time.Millisecond}
		s := o.Section()
		if fits, refused := o.lastCall()+answerRoom <= toldWithin, len(s.Check()) > 0; fits == refused {
			t.Errorf("hold %v: fits %t, refused %t", hold, fits, refused)
		}
	}
}

// fault is what becomes of a call.
type fault string

const (
	well     fault = "well"     // answered
	unborn   fault = "unborn"   // its connection never comes up
	rejected fault = "rejected" // its connection is refused
	silent   fault = "silent"   // taken, and never a word
	resetAt  fault = "reset"    // taken, and ended with no answer
	cut      fault = "cut"      // answered by half
	turned   fault = "refused"  // 503
	stalled  fault = "stalled"  // answered by half, and never a word more
)

// service is discovery on pipes, so that a test may set its clock: what becomes of a call is said when it is dialled and
// when it asks.
type service struct {
	pipes  pipes
	mu     sync.Mutex
	fate   func(call int) fault // by how many were made before
	calls  int
	asked  []time.Duration      // when each request came whole
	turn   func(news bool) bool // waits until a call is worked on, and says no if that takes too long; nil for at once
	change chan struct{}        // closed when the change is there
	start  time.Time
	over   chan struct{} // closed at the end
}

func newService() *service {
	return &service{change: make(chan struct{}), over: make(chan struct{}), start: time.Now()}
}

// made is when each call asked, and how many were made.
func (s *service) made() ([]time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.asked), s.calls
}

// close ends all connections, and waits for who served them.
func (s *service) close() {
	s.pipes.disconnect()
	close(s.over)
	s.pipes.serves.Wait()
}

// A dial fails as one of package net's does.
var (
	errRefusedDial = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	errSilentDial  = &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
)

func (s *service) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	s.mu.Lock()
	f := s.fate(s.calls)
	if f == unborn || f == rejected {
		s.calls++
	}
	s.mu.Unlock()
	switch f {
	case rejected:
		return nil, errRefusedDial
	case unborn:
		ctx, cancel := context.WithTimeout(ctx, time.Second) // the dialer's own
		defer cancel()
		<-ctx.Done()
		return nil, errSilentDial
	}
	return s.pipes.connect(s.serve), nil
}

func (s *service) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		f := s.fate(s.calls)
		s.calls++
		s.asked = append(s.asked, time.Since(s.start))
		s.mu.Unlock()
		switch f {
		case silent, unborn, rejected: // it was dialled when all was well
			io.Copy(io.Discard, c) // until the caller gives up
			return
		case resetAt:
			return
		case turned:
			io.WriteString(c, serviceUnavailable)
			continue
		}
		from, held := req.URL.Query().Get("from"), time.Duration(0)
		if ms, err := strconv.Atoi(req.URL.Query().Get("hold_ms")); err == nil {
			held = time.Duration(ms) * time.Millisecond
		}
		if from == "1" {
			s.hold(held, s.change)
		}
		text := `{"seq":1,"whole":false,"hosts":[]}`
		select {
		case <-s.change:
			text = list(2, from == "", host("a", "127.0.0.1:1", "draining"))
		default:
			if from == "" {
				text = list(1, true, host("a", "127.0.0.1:1", "up"))
			}
		}
		if from == "2" {
			text = `{"seq":2,"whole":false,"hosts":[]}`
			s.hold(held, nil)
		}
		if s.turn != nil && !s.turn(strings.Contains(text, "dial")) {
			io.WriteString(c, serviceUnavailable)
			continue
		}
		answer := answerOf(text)
		if f == cut || f == stalled {
			answer = answer[:len(answer)-10]
		}
		if _, err := io.WriteString(c, answer); err != nil || f == cut {
			return
		}
		if f == stalled {
			io.Copy(io.Discard, c) // until the caller gives up
			return
		}
	}
}

// hold waits for news.
func (s *service) hold(at time.Duration, news <-chan struct{}) {
	over := time.NewTimer(at)
	defer over.Stop()
	select {
	case <-news:
	case <-over.C:
	case <-s.over:
	}
}

// follower is a balancer that follows a service as a proxy's does.
type follower struct {
	mu       sync.Mutex
	balancer *balance.Balancer
	stopped  bool // no timer rings any more
	watch    func()
	told     chan struct{} // closed once the drain is known
	once     sync.Once
}

func (f *follower) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}

func (f *follower) Send(string, string, time.Duration) {}
func (f *follower) Refuse(string, time.Duration)       {}
func (f *follower) Fail(string)                        {}
func (f *follower) Cancel(string, int)                 {}
func (f *follower) Log(string)                         {}
func (f *follower) Watch()                             { f.watch() }
func (f *follower) SetTimer(d time.Duration, token uint64) {
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.stopped {
			return
		}
		f.balancer.Timer(time.Duration(time.Now().UnixNano()), token)
	})
}

// followAt plays one proxy against a service of which calls meet a fault until back, and once more after it; the change
// is there from changed on. It returns how long after both the proxy has been told.
func followAt(t *testing.T, askEvery, changed, back time.Duration, draws uint64, during, after fault) (late time.Duration, calls int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		meets := -1 // the call that meets the fault after
		s.fate = func(call int) fault {
			switch now := time.Since(s.start); {
			case now < 500*time.Millisecond:
				return well
			case now < back:
				return during
			case meets < 0 || meets == call:
				meets = call
				return after
			}
			return well
		}
		f := &follower{told: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		var watches sync.WaitGroup
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, entries []balance.Entry, _ map[string]string) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.balancer.Update(time.Duration(time.Now().UnixNano()), kind, entries)
				if f.balancer.MaySend("a") || len(entries) == 0 {
					return
				}
				f.once.Do(func() { close(f.told) })
			})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		seed(d, draws)
		f.watch = func() { watches.Go(func() { d.Watch(ctx) }) }
		var err error
		f.balancer, err = balance.New(balance.Settings{
			Instances: 1, MaxAttempts: 1, AskForList: true, AskEvery: askEvery,
			Classes: []balance.Class{{Aim: time.Second, ClientTimeout: time.Second}},
		}, draws, f)
		if err != nil {
			t.Fatal(err)
		}
		known, err := ReadCatalog([]byte(list(1, true, host("a", "127.0.0.1:1", "up"))))
		if err != nil {
			t.Fatal(err)
		}
		d.LoadCached(known)
		time.Sleep(changed)
		close(s.change)
		select {
		case <-f.told:
		case <-time.After(time.Minute):
			asked, _ := s.made()
			t.Errorf("never told; calls at %v", asked)
		}
		late = time.Since(s.start) - max(changed, back)
		f.stop()
		cancel()
		watches.Wait()
		d.CloseIdle()
		_, calls = s.made()
	})
	return late, calls
}

// TestToldInTimeWhateverACallMet: discovery is out of reach in each of the ways it can be, for times that let the back-off
// grow, and the first call that it takes again meets a fault of its own. The drain is known toldWithin after discovery had
// it and could be reached, whatever the settings allow between two calls.
func TestToldInTimeWhateverACallMet(t *testing.T) {
	outages := []fault{unborn, rejected, silent, resetAt, cut, turned}
	faults := append([]fault{well}, outages...)
	for _, askEvery := range []time.Duration{5 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(fmt.Sprint(askEvery), func(t *testing.T) {
			t.Parallel()
			worst, plays := map[string]time.Duration{}, 0
			for _, during := range outages {
				for _, after := range faults {
					for step := range 24 {
						back := 2*time.Second + time.Duration(step)*537*time.Millisecond
						changed := 1500 * time.Millisecond
						if step%2 == 1 {
							changed = back + time.Duration(step)*130*time.Millisecond
						}
						late, _ := followAt(t, askEvery, changed, back, uint64(step), during, after)
						name := string(during) + ", then " + string(after)
						worst[name] = max(worst[name], late)
						plays++
					}
				}
			}
			for name, late := range worst {
				if late > toldWithin {
					t.Errorf("%s: told %v after discovery had it and could be reached", name, late)
				}
			}
			var most time.Duration
			for _, late := range worst {
				most = max(most, late)
			}
			t.Logf("%d plays, told within %v at worst: %v", plays, most, worst)
		})
	}
}

// TestOverdueCallStaysOut: the first call hangs, the second, made beside it, hangs too, and the third is answered. Each is
// made while the one before is still open, the oldest of three is given up, and one answer is taken in.
func TestOverdueCallStaysOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		s.fate = func(call int) fault {
			if call < 2 {
				return silent
			}
			return well
		}
		close(s.change)
		ctx, cancel := context.WithCancel(t.Context())
		var told []balance.ListKind
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, _ []balance.Entry, _ map[string]string) {
				if told = append(told, kind); kind != balance.ListFailed {
					cancel()
				}
			})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		d.Resume(1)
		d.Watch(ctx)
		d.CloseIdle()
		o := DefaultOptions()
		want := []time.Duration{0, o.Hold + o.Slack, o.lastCall()}
		if asked, _ := s.made(); !slices.Equal(asked, want) {
			t.Errorf("calls at %v, want %v", asked, want)
		}
		if want := []balance.ListKind{balance.ListFailed, balance.Delta}; !slices.Equal(told, want) || d.Seq() != 2 {
			t.Errorf("told %v, version %d, want %v: the call that was given up, and the answer", told, d.Seq(), want)
		}
	})
}

// TestSilenceIsTold: discovery takes calls and says nothing for a minute. There are two calls out at most, and for each that is given
// up the balancer is told that it failed.
func TestSilenceIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		s.fate = func(int) fault { return silent }
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		failed := 0
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, _ []balance.Entry, _ map[string]string) {
				if kind == balance.ListFailed {
					failed++
				}
			})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		d.Resume(1)
		d.Watch(ctx)
		d.CloseIdle()
		o := DefaultOptions()
		want := 1 + int((time.Minute-o.Hold-o.Slack)/plan.HedgeDelay) // beside the first
		if _, calls := s.made(); calls != want+1 || failed != want-1 {
			t.Errorf("%d calls, %d failed; want %d, and all but two", calls, failed, want+1)
		}
	})
}

// TestALateAnswerStillCounts: the watch that was overdue is answered while the call beside it is out: discovery works calls off
// in turn, and the place in the line was kept.
func TestALateAnswerStillCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		s.fate = func(call int) fault {
			if call == 2 {
				return silent
			}
			return well
		}
		time.AfterFunc(3400*time.Millisecond, func() { close(s.change) }) // behind the first call's hold, which the service exceeds
		ctx, cancel := context.WithCancel(t.Context())
		told := 0
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(balance.ListKind, []balance.Entry, map[string]string) {
				if told++; told == 2 { // the first call is answered at once
					cancel()
				}
			})
		d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := s.dial(ctx, network, address)
			return longHold{c}, err
		}
		d.Resume(1)
		d.Watch(ctx)
		d.CloseIdle()
		if _, calls := s.made(); told != 2 || d.Seq() != 2 || calls != 3 {
			t.Errorf("told %d times, version %d, %d calls; want the watch's answer while the call beside it is out", told, d.Seq(), calls)
		}
	})
}

// longHold makes the service hold calls for longer than they ask for.
type longHold struct{ net.Conn }

func (l longHold) Write(b []byte) (int, error) {
	_, err := l.Conn.Write([]byte(strings.Replace(string(b), "hold_ms=2500", "hold_ms=3450", 1)))
	return len(b), err
}

// herd is many proxies that follow one service, which works calls off in turn, so many lines a second.
type herd struct {
	*service
	told    []time.Duration // when each knew, by the start of the play
	all     chan struct{}   // closed once all do
	clients []*Client
	lines   map[int]int // sent, by second
	stop    func()
}

const (
	linesASecond = 200
	linePatience = 3 * time.Second // a call that has waited so long is turned away
)

// newHerd begins so many that know a list, or none; each answer has so many lines. knows says when a list is the one
// that counts.
func newHerd(t *testing.T, proxies, lines int, known bool, fate func(now time.Duration) fault, knows func(*balance.Balancer) bool) *herd {
	t.Helper()
	h := &herd{service: newService(), all: make(chan struct{}), lines: map[int]int{}}
	h.fate = func(int) fault { return fate(time.Since(h.start)) }
	queue := make(chan struct{}, 1)
	h.turn = func(news bool) bool {
		lines := lines
		if !news {
			lines = 1
		}
		select {
		case queue <- struct{}{}:
		case <-time.After(linePatience):
			return false
		}
		time.Sleep(time.Duration(lines) * time.Second / linesASecond)
		h.mu.Lock()
		h.lines[int(time.Since(h.start)/time.Second)] += lines
		h.mu.Unlock()
		<-queue
		return true
	}
	ctx, cancel := context.WithCancel(t.Context())
	var watches sync.WaitGroup
	var followers []*follower
	h.stop = func() {
		for _, f := range followers {
			f.stop()
		}
		cancel()
		watches.Wait()
		for _, d := range h.clients {
			d.CloseIdle()
		}
		h.close()
	}
	for n := range proxies {
		f, done := &follower{}, false
		followers = append(followers, f)
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, entries []balance.Entry, _ map[string]string) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.balancer.Update(time.Duration(time.Now().UnixNano()), kind, entries)
				if done || kind == balance.Cached || !knows(f.balancer) {
					return
				}
				done = true
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.told = append(h.told, time.Since(h.start)); len(h.told) == proxies {
					close(h.all)
				}
			})
		d.client.Transport.(*http.Transport).DialContext = h.dial
		seed(d, uint64(n))
		f.watch = func() { watches.Go(func() { d.Watch(ctx) }) }
		var err error
		if f.balancer, err = balance.New(balance.Settings{
			Instances: 1, MaxAttempts: 1, AskForList: true, AskEvery: 10 * time.Second,
			Classes: []balance.Class{{Aim: time.Second, ClientTimeout: time.Second}},
		}, uint64(n), f); err != nil {
			t.Fatal(err)
		}
		h.clients = append(h.clients, d)
		have := &Catalog{Seq: -1}
		if known {
			if have, err = ReadCatalog([]byte(list(1, true, host("a", "127.0.0.1:1", "up")))); err != nil {
				t.Fatal(err)
			}
		}
		d.LoadCached(have)
	}
	return h
}

// wait returns when the proxies knew, in order, by the start of the play, and the most lines in a second.
func (h *herd) wait() (told []time.Duration, most int) {
	select {
	case <-h.all:
	case <-time.After(time.Minute):
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.lines {
		most = max(most, n)
	}
	return slices.Clone(h.told), most
}

// TestThreeHundredComeBack: discovery was down for 8 s and then has a drain to tell to 300 proxies. It serves as many lines a
// second as it takes to tell all in 1.5 s. All know of it in time, and in asking for it they make few calls more than there
// are proxies: the pauses are short, and still no herd.
func TestThreeHundredComeBack(t *testing.T) {
	const proxies, back = 300, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		h := newHerd(t, proxies, 1, true, func(now time.Duration) fault {
			if now > 2*time.Second && now < back {
				return rejected
			}
			return well
		}, func(b *balance.Balancer) bool { return !b.MaySend("a") })
		defer h.stop()
		time.Sleep(back - time.Millisecond)
		close(h.change)
		before, _ := h.made()
		told, most := h.wait()
		asked, _ := h.made()
		calls := len(asked) - len(before)
		if len(told) < proxies || told[proxies-1]-back > toldWithin || most > linesASecond {
			t.Fatalf("%d of %d told, the last after %v; %d lines in a second", len(told), proxies, told[len(told)-1]-back, most)
		}
		t.Logf("all %d told within %v by %d calls, at most %d lines in a second", proxies, told[proxies-1]-back, calls, most)
		if calls > proxies*9/4 { // one that tells, and one that waits for more
			t.Errorf("%d calls by %d proxies to be told and to wait on", calls, proxies)
		}
	})
}

// TestManyStartAtOnce: 30 proxies that know no list start in the same moment, and 300; discovery takes 3 s, 6 s and 7.5 s to
// answer each of them once, and turns away who has waited for 3 s. Nine in ten have a list within 10 s, and all within 30 s.
func TestManyStartAtOnce(t *testing.T) {
	for _, c := range []struct{ proxies, lines int }{{30, 20}, {30, 40}, {300, 5}} {
		synctest.Test(t, func(t *testing.T) {
			h := newHerd(t, c.proxies, c.lines, false, func(time.Duration) fault { return well },
				func(b *balance.Balancer) bool { return b.MaySend("a") })
			defer h.stop()
			told, most := h.wait()
			_, calls := h.made()
			if len(told) < c.proxies || told[c.proxies*9/10] > 10*time.Second || told[c.proxies-1] > 30*time.Second {
				t.Fatalf("%+v: %d have a list: %v", c, len(told), told)
			}
			t.Logf("%+v: nine in ten have a list within %v, all within %v; %d calls, at most %d lines in a second",
				c, told[c.proxies*9/10], told[c.proxies-1], calls, most)
		})
	}
}
