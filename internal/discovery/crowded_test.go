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
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasswell/balance"
)

// crowdedService is a discovery that works calls off in turn, each at the same cost, and turns a call away at once where its turn
// would come after more than linePatience. Each change has one more backend drain.
type crowdedService struct {
	start   time.Time
	changes []time.Duration // when, in order
	cost    time.Duration   // of one call
	over    chan struct{}   // closed at the end

	mu       sync.Mutex
	free     time.Time // when all calls that have been taken are worked off
	answered int
	refused  int
	open     []net.Conn
	serves   sync.WaitGroup
}

// version is how many changes there have been.
func (s *crowdedService) version() int {
	now := time.Since(s.start)
	return len(s.changes) - len(slices.DeleteFunc(slices.Clone(s.changes), func(at time.Duration) bool { return at <= now }))
}

// enqueue takes a call into the line, and says when its turn is.
func (s *crowdedService) enqueue() (turn time.Time, taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	if s.free.Sub(now) > linePatience {
		s.refused++
		return turn, false
	}
	s.free = s.free.Add(s.cost)
	s.answered++
	return s.free, true
}

func (s *crowdedService) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.mu.Lock()
	s.open = append(s.open, far)
	s.mu.Unlock()
	s.serves.Go(func() { s.serve(far) })
	return near, nil
}

func (s *crowdedService) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		text := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		if turn, taken := s.enqueue(); taken {
			s.wait(time.Until(turn))
			from, _ := strconv.Atoi(req.URL.Query().Get("from"))
			held, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
			s.awaitNews(from, time.Duration(held)*time.Millisecond)
			body := s.list(from, req.URL.Query().Get("from") == "")
			text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// awaitNews waits until there is something newer than a version, for so long at most.
func (s *crowdedService) awaitNews(from int, most time.Duration) {
	if s.version() > from || from >= len(s.changes) {
		if from >= len(s.changes) {
			s.wait(most)
		}
		return
	}
	s.wait(min(most, s.changes[from]-time.Since(s.start)))
}

func (s *crowdedService) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.over:
	}
}

// list is what has changed since a version, or all.
func (s *crowdedService) list(from int, whole bool) string {
	version := s.version()
	var hosts []string
	for n := from; n < version; n++ {
		hosts = append(hosts, host(fmt.Sprint("drains-", n), "127.0.0.1:1", "draining"))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, version, whole, strings.Join(hosts, ","))
}

// close ends all connections, and waits for who served them.
func (s *crowdedService) close() {
	s.mu.Lock()
	for _, c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	close(s.over)
	s.serves.Wait()
}

// newsTimes is how late each proxy learned of each change.
type newsTimes struct {
	mu    sync.Mutex
	late  [][]time.Duration // by proxy and change; below 0 for never
	start time.Time
}

func (n *newsTimes) note(proxy int, entries []balance.Entry, changes []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		var change int
		if _, err := fmt.Sscanf(e.ID, "drains-%d", &change); err == nil && n.late[proxy][change] < 0 {
			n.late[proxy][change] = time.Since(n.start) - changes[change]
		}
	}
}

// all are the times of all proxies and changes, in order; how many were never told comes first, as times below 0.
func (n *newsTimes) all() (all []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, of := range n.late {
		all = append(all, of...)
	}
	slices.Sort(all)
	return all
}

// followCrowded has so many proxies follow a service through a release, in which backends change several times a second.
func followCrowded(t *testing.T, s *crowdedService, proxies int, moves, length time.Duration) *newsTimes {
	t.Helper()
	news := &newsTimes{start: s.start, late: make([][]time.Duration, proxies)}
	ctx, cancel := context.WithCancel(t.Context())
	var watches sync.WaitGroup
	var followers []*follower
	var clients []*Client
	for n := range proxies {
		news.late[n] = slices.Repeat([]time.Duration{-1}, len(s.changes))
		f := &follower{}
		followers = append(followers, f)
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(kind balance.ListKind, entries []balance.Entry, _ map[string]string) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.balancer.Update(time.Duration(time.Now().UnixNano()), kind, entries)
				news.note(n, entries, s.changes)
			})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		f.watch = func() { watches.Go(func() { d.Watch(ctx) }) }
		var err error
		if f.balancer, err = balance.New(balance.Settings{
			Instances: 1, MaxAttempts: 1, AskForList: true, AskEvery: 10 * time.Second,
			Classes: []balance.Class{{Aim: time.Second, GiveUp: time.Second}},
		}, uint64(n), f); err != nil {
			t.Fatal(err)
		}
		have, err := ReadCatalog([]byte(list(0, true, host("a", "127.0.0.1:1", "up"))))
		if err != nil {
			t.Fatal(err)
		}
		d.Take(have, balance.Cached)
		clients = append(clients, d)
	}
	for n, d := range clients {
		if moves > 0 {
			time.AfterFunc(moves+time.Duration(n)*moveEvery, func() { d.Move("discovery:2"); followers[n].watch() })
		}
	}
	time.Sleep(length)
	for _, f := range followers {
		f.stop()
	}
	cancel()
	watches.Wait()
	for _, d := range clients {
		d.CloseIdle()
	}
	return news
}

// moveEvery is between two proxies that are told of another address of discovery.
const moveEvery = 36 * time.Millisecond

// release is when the backends of a release change, from a moment on.
func release(from time.Duration) (changes []time.Duration) {
	for _, ms := range []int{0, 2240, 2550, 4150, 4470, 4790, 5380, 6070, 6390, 6710, 7030, 8310, 8630, 9270, 10550, 10870, 11190, 13110, 15340} {
		changes = append(changes, from+time.Duration(ms)*time.Millisecond)
	}
	return changes
}

// TestReleaseReachesAllInTime: 320 proxies follow a release at a discovery that takes some seconds to answer each of them once, so
// that it turns calls away. All learn of each change within the time after which it counts as told; also where each of them is moved to
// another address meanwhile, which costs one call more for each.
func TestReleaseReachesAllInTime(t *testing.T) {
	const (
		proxies = 320
		begins  = 10 * time.Second // of the release
		ends    = 40 * time.Second
	)
	for _, c := range []struct{ everyone, moves time.Duration }{
		{everyone: 2 * time.Second}, {everyone: 3 * time.Second}, {everyone: 4 * time.Second},
		{everyone: 2 * time.Second, moves: begins + 5*time.Second},
	} {
		t.Run(fmt.Sprintf("each once in %v, moves %t", c.everyone, c.moves > 0), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &crowdedService{start: time.Now(), changes: release(begins), cost: c.everyone / proxies, over: make(chan struct{})}
				news := followCrowded(t, s, proxies, c.moves, ends)
				s.close()
				all := news.all()
				inTime, _ := slices.BinarySearch(all, toldWithin+1)
				t.Logf("%d answered, %d turned away; told after %v in the median, %v at worst", s.answered, s.refused, all[len(all)/2], all[len(all)-1])
				if all[0] < 0 || inTime < len(all) {
					t.Errorf("%d of %d late, the soonest told after %v", len(all)-inTime, len(all), all[0])
				}
			})
		})
	}
}
