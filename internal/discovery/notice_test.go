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

// TestThirdCallBeginsInTime computes the bound from the options, for a watch and for a whole list.
func TestThirdCallBeginsInTime(t *testing.T) {
	o := DefaultOptions()
	watch := o.thirdCallDeadline()
	whole := plan.CallTimeout // for the second call: a proxy without a list cannot be notified of changes, and must be ready within 10 s
	t.Logf("the third call begins within %v of a watch, the second one within %v of a call for the whole list", watch, whole)
	if watch+answerReserve > notifiedWithin || 2*whole+answerReserve > 10*time.Second {
		t.Errorf("%v and %v must leave %v of %v", watch, whole, answerReserve, notifiedWithin)
	}
	for _, hold := range []time.Duration{50 * time.Millisecond, 2500 * time.Millisecond, 3350 * time.Millisecond, 3400 * time.Millisecond, time.Minute} {
		o := Options{Hold: hold, Slack: 50 * time.Millisecond}
		s := o.Section()
		if fits, refused := o.thirdCallDeadline()+answerReserve <= notifiedWithin, len(s.Check()) > 0; fits == refused {
			t.Errorf("hold %v: fits %t, refused %t", hold, fits, refused)
		}
	}
}

// fault is what happens to a call.
type fault string

const (
	faultNone        fault = "well"     // answered
	faultDialTimeout fault = "unborn"   // its connection is never established
	faultDialRefused fault = "rejected" // its connection is refused
	faultSilent      fault = "silent"   // accepted, with no response
	faultReset       fault = "reset"    // accepted, and closed with no response
	faultCutOff      fault = "cut"      // half an answer, then the connection is closed
	faultTurnedAway  fault = "refused"  // 503
	faultStalled     fault = "stalled"  // half an answer, then nothing
)

// service is a discovery on pipes, so that a test can control its clock. The fault of a call is determined when it is
// dialed and again when its request arrives.
type service struct {
	pipes        pipes
	mu           sync.Mutex
	faultOf      func(call int) fault // the fault of a call, by the number of calls before it
	calls        int
	requestTimes []time.Duration        // when each request was received completely
	waitTurn     func(update bool) bool // waits until a call is processed and returns false if that takes too long; nil for no wait
	change       chan struct{}          // closed when the change exists
	start        time.Time
	done         chan struct{} // closed at the end of the test
}

func newService() *service {
	return &service{change: make(chan struct{}), done: make(chan struct{}), start: time.Now()}
}

// requests returns when each request was received, and the number of calls.
func (s *service) requests() ([]time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requestTimes), s.calls
}

// close closes all connections and waits for the goroutines that served them.
func (s *service) close() {
	s.pipes.disconnect()
	close(s.done)
	s.pipes.serving.Wait()
}

// These are the errors of failed dials in package net.
var (
	errDialRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	errDialTimeout = &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
)

func (s *service) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	s.mu.Lock()
	f := s.faultOf(s.calls)
	if f == faultDialTimeout || f == faultDialRefused {
		s.calls++
	}
	s.mu.Unlock()
	switch f {
	case faultDialRefused:
		return nil, errDialRefused
	case faultDialTimeout:
		ctx, cancel := context.WithTimeout(ctx, time.Second) // the timeout of the dialer
		defer cancel()
		<-ctx.Done()
		return nil, errDialTimeout
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
		f := s.faultOf(s.calls)
		s.calls++
		s.requestTimes = append(s.requestTimes, time.Since(s.start))
		s.mu.Unlock()
		switch f {
		case faultSilent, faultDialTimeout, faultDialRefused: // it was dialed before the fault began
			io.Copy(io.Discard, c) // until the caller gives up
			return
		case faultReset:
			return
		case faultTurnedAway:
			io.WriteString(c, serviceUnavailable)
			continue
		}
		from, holdTime := req.URL.Query().Get("from"), time.Duration(0)
		if ms, err := strconv.Atoi(req.URL.Query().Get("hold_ms")); err == nil {
			holdTime = time.Duration(ms) * time.Millisecond
		}
		if from == "1" {
			s.hold(holdTime, s.change)
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
			s.hold(holdTime, nil)
		}
		if s.waitTurn != nil && !s.waitTurn(strings.Contains(text, "dial")) {
			io.WriteString(c, serviceUnavailable)
			continue
		}
		answer := answerOf(text)
		if f == faultCutOff || f == faultStalled {
			answer = answer[:len(answer)-10]
		}
		if _, err := io.WriteString(c, answer); err != nil || f == faultCutOff {
			return
		}
		if f == faultStalled {
			io.Copy(io.Discard, c) // until the caller gives up
			return
		}
	}
}

// hold waits for an update.
func (s *service) hold(limit time.Duration, update <-chan struct{}) {
	over := time.NewTimer(limit)
	defer over.Stop()
	select {
	case <-update:
	case <-over.C:
	case <-s.done:
	}
}

// proxyStub is a balancer that follows a service as the balancer of a proxy does.
type proxyStub struct {
	mu       sync.Mutex
	balancer *balance.Balancer
	stopped  bool // timers no longer have an effect
	watch    func()
	notified chan struct{} // closed once the balancer knows of the drain
	once     sync.Once
}

func (f *proxyStub) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}

func (f *proxyStub) Send(string, string, time.Duration) {}
func (f *proxyStub) Refuse(string, time.Duration)       {}
func (f *proxyStub) Fail(string)                        {}
func (f *proxyStub) Cancel(string, int)                 {}
func (f *proxyStub) Log(string)                         {}
func (f *proxyStub) Watch()                             { f.watch() }
func (f *proxyStub) SetTimer(d time.Duration, token uint64) {
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.stopped {
			return
		}
		f.balancer.Timer(time.Duration(time.Now().UnixNano()), token)
	})
}

// runProxy runs one proxy against a service whose calls meet the fault during until recoveredAt, and one call the
// fault after once afterwards. The change exists from changed on. It returns how long after both times the proxy was
// notified.
func runProxy(t *testing.T, askEvery, changed, recoveredAt time.Duration, drawSeed uint64, during, after fault) (late time.Duration, calls int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		afterCall := -1 // the number of the call that meets the fault after; -1 before it
		s.faultOf = func(call int) fault {
			switch now := time.Since(s.start); {
			case now < 500*time.Millisecond:
				return faultNone
			case now < recoveredAt:
				return during
			case afterCall < 0 || afterCall == call:
				afterCall = call
				return after
			}
			return faultNone
		}
		f := &proxyStub{notified: make(chan struct{})}
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
				f.once.Do(func() { close(f.notified) })
			})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		seed(d, drawSeed)
		f.watch = func() { watches.Go(func() { d.Watch(ctx) }) }
		var err error
		f.balancer, err = balance.New(balance.Settings{
			Instances: 1, MaxAttempts: 1, AskForList: true, AskEvery: askEvery,
			Classes: []balance.Class{{Aim: time.Second, ClientTimeout: time.Second}},
		}, drawSeed, f)
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
		case <-f.notified:
		case <-time.After(time.Minute):
			times, _ := s.requests()
			t.Errorf("never notified; calls at %v", times)
		}
		late = time.Since(s.start) - max(changed, recoveredAt)
		f.stop()
		cancel()
		watches.Wait()
		d.CloseIdle()
		_, calls = s.requests()
	})
	return late, calls
}

// TestProxyIsNotifiedInTimeAfterOutages: discovery is unreachable in each possible way, for times that let the
// backoff grow, and the first call that it accepts again meets another fault. The drain is known within
// notifiedWithin after discovery had it and was reachable, whatever interval between two calls the settings allow.
func TestProxyIsNotifiedInTimeAfterOutages(t *testing.T) {
	outages := []fault{faultDialTimeout, faultDialRefused, faultSilent, faultReset, faultCutOff, faultTurnedAway}
	faults := append([]fault{faultNone}, outages...)
	for _, askEvery := range []time.Duration{5 * time.Second, 10 * time.Second, time.Minute} {
		t.Run(fmt.Sprint(askEvery), func(t *testing.T) {
			t.Parallel()
			worst, runs := map[string]time.Duration{}, 0
			for _, during := range outages {
				for _, after := range faults {
					for step := range 24 {
						recoveredAt := 2*time.Second + time.Duration(step)*537*time.Millisecond
						changed := 1500 * time.Millisecond
						if step%2 == 1 {
							changed = recoveredAt + time.Duration(step)*130*time.Millisecond
						}
						late, _ := runProxy(t, askEvery, changed, recoveredAt, uint64(step), during, after)
						name := string(during) + ", then " + string(after)
						worst[name] = max(worst[name], late)
						runs++
					}
				}
			}
			for name, late := range worst {
				if late > notifiedWithin {
					t.Errorf("%s: notified %v after discovery had the change and was reachable", name, late)
				}
			}
			var maxLate time.Duration
			for _, late := range worst {
				maxLate = max(maxLate, late)
			}
			t.Logf("%d runs, notified within %v at worst: %v", runs, maxLate, worst)
		})
	}
}

// TestOverdueCallStaysOpen: the first call hangs, the second one, which is made beside it, hangs too, and the third
// one is answered. Each is made while the previous one is still open, the oldest of the three is given up, and one
// answer is applied.
func TestOverdueCallStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		s.faultOf = func(call int) fault {
			if call < 2 {
				return faultSilent
			}
			return faultNone
		}
		close(s.change)
		ctx, cancel := context.WithCancel(t.Context())
		var kinds []balance.ListKind
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, _ []balance.Entry, _ map[string]string) {
				if kinds = append(kinds, kind); kind != balance.ListFailed {
					cancel()
				}
			})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		d.Resume(1)
		d.Watch(ctx)
		d.CloseIdle()
		o := DefaultOptions()
		want := []time.Duration{0, o.Hold + o.Slack, o.thirdCallDeadline()}
		if times, _ := s.requests(); !slices.Equal(times, want) {
			t.Errorf("calls at %v, want %v", times, want)
		}
		if want := []balance.ListKind{balance.ListFailed, balance.Delta}; !slices.Equal(kinds, want) || d.Seq() != 2 {
			t.Errorf("reported %v, version %d, want %v: the call that was given up, and the answer", kinds, d.Seq(), want)
		}
	})
}

// TestSilenceIsReportedAsFailure: discovery accepts calls and does not respond for a minute. At most two calls are
// open, and each one that is given up is reported to the balancer as failed.
func TestSilenceIsReportedAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		s.faultOf = func(int) fault { return faultSilent }
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
		want := 1 + int((time.Minute-o.Hold-o.Slack)/plan.HedgeDelay) // in addition to the first
		if _, calls := s.requests(); calls != want+1 || failed != want-1 {
			t.Errorf("%d calls, %d failed; want %d, and all but two", calls, failed, want+1)
		}
	})
}

// TestALateAnswerStillCounts: an overdue watch is answered while the call beside it is open. Discovery processes
// calls in order, and the watch has kept its place in the queue.
func TestALateAnswerStillCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		defer s.close()
		s.faultOf = func(call int) fault {
			if call == 2 {
				return faultSilent
			}
			return faultNone
		}
		time.AfterFunc(3400*time.Millisecond, func() { close(s.change) }) // after the hold time of the watch, which the service exceeds
		ctx, cancel := context.WithCancel(t.Context())
		updates := 0
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(balance.ListKind, []balance.Entry, map[string]string) {
				if updates++; updates == 2 { // the first call is answered immediately
					cancel()
				}
			})
		d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := s.dial(ctx, network, address)
			return longHoldConn{c}, err
		}
		d.Resume(1)
		d.Watch(ctx)
		d.CloseIdle()
		if _, calls := s.requests(); updates != 2 || d.Seq() != 2 || calls != 3 {
			t.Errorf("%d updates, version %d, %d calls; want the answer to the watch while the call beside it is open", updates, d.Seq(), calls)
		}
	})
}

// longHoldConn makes the service hold calls for longer than they request.
type longHoldConn struct{ net.Conn }

func (l longHoldConn) Write(b []byte) (int, error) {
	_, err := l.Conn.Write([]byte(strings.Replace(string(b), "hold_ms=2500", "hold_ms=3450", 1)))
	return len(b), err
}

// proxyFleet is many proxies that follow one service, which processes a limited number of list lines a second.
type proxyFleet struct {
	*service
	notified    []time.Duration // when each proxy was notified, from the start of the run
	allNotified chan struct{}   // closed once all are notified
	clients     []*Client
	lines       map[int]int // lines sent in each second
	stop        func()
}

const (
	linesPerSecond = 200
	queueTimeout   = 3 * time.Second // a call that has waited longer is turned away
)

// newProxyFleet starts a number of proxies, with a known list or none; each answer with a change has so many lines.
// hasList reports whether a balancer has the list that counts.
func newProxyFleet(t *testing.T, proxies, lines int, known bool, faultAt func(now time.Duration) fault, hasList func(*balance.Balancer) bool) *proxyFleet {
	t.Helper()
	h := &proxyFleet{service: newService(), allNotified: make(chan struct{}), lines: map[int]int{}}
	h.faultOf = func(int) fault { return faultAt(time.Since(h.start)) }
	queue := make(chan struct{}, 1)
	h.waitTurn = func(update bool) bool {
		lines := lines
		if !update {
			lines = 1
		}
		select {
		case queue <- struct{}{}:
		case <-time.After(queueTimeout):
			return false
		}
		time.Sleep(time.Duration(lines) * time.Second / linesPerSecond)
		h.mu.Lock()
		h.lines[int(time.Since(h.start)/time.Second)] += lines
		h.mu.Unlock()
		<-queue
		return true
	}
	ctx, cancel := context.WithCancel(t.Context())
	var watches sync.WaitGroup
	var stubs []*proxyStub
	h.stop = func() {
		for _, f := range stubs {
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
		f, done := &proxyStub{}, false
		stubs = append(stubs, f)
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, entries []balance.Entry, _ map[string]string) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.balancer.Update(time.Duration(time.Now().UnixNano()), kind, entries)
				if done || kind == balance.Cached || !hasList(f.balancer) {
					return
				}
				done = true
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.notified = append(h.notified, time.Since(h.start)); len(h.notified) == proxies {
					close(h.allNotified)
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
		initial := &Catalog{Seq: -1}
		if known {
			if initial, err = ReadCatalog([]byte(list(1, true, host("a", "127.0.0.1:1", "up")))); err != nil {
				t.Fatal(err)
			}
		}
		d.LoadCached(initial)
	}
	return h
}

// wait returns when the proxies were notified, in order, from the start of the run, and the most lines in a second.
func (h *proxyFleet) wait() (notified []time.Duration, maxLines int) {
	select {
	case <-h.allNotified:
	case <-time.After(time.Minute):
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.lines {
		maxLines = max(maxLines, n)
	}
	return slices.Clone(h.notified), maxLines
}

// TestThreeHundredProxiesAfterOutage: discovery was down for 8 s and then has a drain to report to 300 proxies. It
// serves as many lines a second as it needs to notify all of them in 1.5 s. All are notified in time, and the number
// of calls is little more than two for each proxy: the delays are short and still spread the load.
func TestThreeHundredProxiesAfterOutage(t *testing.T) {
	const proxies, recoveredAt = 300, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		h := newProxyFleet(t, proxies, 1, true, func(now time.Duration) fault {
			if now > 2*time.Second && now < recoveredAt {
				return faultDialRefused
			}
			return faultNone
		}, func(b *balance.Balancer) bool { return !b.MaySend("a") })
		defer h.stop()
		time.Sleep(recoveredAt - time.Millisecond)
		close(h.change)
		before, _ := h.requests()
		notified, maxLines := h.wait()
		times, _ := h.requests()
		calls := len(times) - len(before)
		if len(notified) < proxies || notified[proxies-1]-recoveredAt > notifiedWithin || maxLines > linesPerSecond {
			t.Fatalf("%d of %d notified, the last after %v; %d lines in a second", len(notified), proxies, notified[len(notified)-1]-recoveredAt, maxLines)
		}
		t.Logf("all %d notified within %v by %d calls, at most %d lines in a second", proxies, notified[proxies-1]-recoveredAt, calls, maxLines)
		if calls > proxies*9/4 { // one that is answered with the drain, and one that waits for more
			t.Errorf("%d calls by %d proxies to be notified and to continue their watches", calls, proxies)
		}
	})
}

// TestManyProxiesStartAtOnce: 30 proxies without a list start at the same moment, and 300 do. Discovery takes 3 s, 6
// s and 7.5 s to answer each of them once, and turns away calls that have waited for 3 s. Nine in ten have a list
// within 10 s, and all within 30 s.
func TestManyProxiesStartAtOnce(t *testing.T) {
	for _, c := range []struct{ proxies, lines int }{{30, 20}, {30, 40}, {300, 5}} {
		synctest.Test(t, func(t *testing.T) {
			h := newProxyFleet(t, c.proxies, c.lines, false, func(time.Duration) fault { return faultNone },
				func(b *balance.Balancer) bool { return b.MaySend("a") })
			defer h.stop()
			notified, maxLines := h.wait()
			_, calls := h.requests()
			if len(notified) < c.proxies || notified[c.proxies*9/10] > 10*time.Second || notified[c.proxies-1] > 30*time.Second {
				t.Fatalf("%+v: %d have a list: %v", c, len(notified), notified)
			}
			t.Logf("%+v: nine in ten have a list within %v, all within %v; %d calls, at most %d lines in a second",
				c, notified[c.proxies*9/10], notified[c.proxies-1], calls, maxLines)
		})
	}
}
