package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"brasswell/internal/standin/audit"
)

// Faults is what a backend does wrong. The zero value does nothing wrong. Shares are of its requests, 0 to 1.
type Faults struct {
	Slow        float64 // work takes so many times as long; 0 stands for 1
	Fail        float64 // answers 500 after the work
	FailUnrun   float64 // answers 500 at once, without the work
	TurnAway    float64 // answers 503 with X-Turned-Away, unrun
	Spoil       float64 // answers with what cannot be read, after the work
	ResetBefore float64 // resets the connection before the work
	ResetAfter  float64 // resets the connection after the work
	Cut         float64 // ends the connection within the answer, after the work
	Extra       float64 // sends more than belongs to the answer behind it
	Silent      bool    // reads and says nothing, as a machine that was cut off
	RunsTwice   bool    // has each effect twice: its own fault, not the proxy's
}

// BackendConfig describes one stand-in backend.
type BackendConfig struct {
	ID       string
	Zone     int
	Slots    int           // requests worked on at one time
	Queue    int           // requests that wait beyond that; others are turned away
	WarmUp   time.Duration // after a start
	ColdFrom float64       // share of its capacity at the start
	Seed     uint64
	Classes  []Class
	// Visitor, if not empty, is how the ids of requests begin that come from outside and are in no books.
	Visitor string
}

// Backend is a stand-in backend on a loopback socket. It keeps the protocol unless Faults say otherwise.
type Backend struct {
	config  BackendConfig
	books   *Books
	keys    *keys // of its zone
	origins *Origins
	address string
	classes map[string]Class

	mu       sync.Mutex
	faults   Faults
	listener net.Listener
	conns    map[net.Conn]bool
	born     time.Time // zero for long ago
	draining bool
	working  int
	waiting  int
	arrived  int64
	channels int             // open
	opened   []time.Duration // when channels began
	freed    chan struct{}   // closed and made anew when a slot comes free
	alive    context.Context
	die      context.CancelCauseFunc
	running  sync.WaitGroup
}

var errDied = errors.New("the backend died")

// newBackend starts a warm backend on a free port.
func newBackend(c BackendConfig, books *Books, keys *keys, origins *Origins) (*Backend, error) {
	b := &Backend{config: c, books: books, keys: keys, origins: origins, classes: map[string]Class{}}
	for _, class := range c.Classes {
		b.classes[class.Name] = class
	}
	return b, b.start("")
}

func (b *Backend) start(address string) error {
	l, err := listen(address)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", b.config.ID, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener, b.address = l, l.Addr().String()
	b.conns, b.freed, b.working, b.waiting, b.draining = map[net.Conn]bool{}, make(chan struct{}), 0, 0, false
	b.alive, b.die = context.WithCancelCause(context.Background())
	alive := b.alive
	b.running.Go(func() { b.accept(alive, l) })
	return nil
}

// Set changes what the backend does wrong, from the next request on.
func (b *Backend) Set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Die ends the process: its connections are reset and new ones refused, and its work is lost.
func (b *Backend) Die() {
	b.mu.Lock()
	b.die(errDied)
	b.listener.Close()
	for c := range b.conns {
		reset(c)
	}
	b.mu.Unlock()
	b.running.Wait()
}

// Return starts the process again, cold: at its address, or at another where some socket of the machine has taken its
// port meanwhile. List it after that.
func (b *Backend) Return() error {
	err := b.start(b.Address())
	if errors.Is(err, syscall.EADDRINUSE) {
		err = b.start("")
	}
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.born = time.Now()
	return nil
}

// Drain makes the backend turn new requests away, as one does that is about to stop.
func (b *Backend) Drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// Address is where it listens.
func (b *Backend) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address
}

// Born is when it last started; zero for long ago.
func (b *Backend) Born() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.born
}

func (b *Backend) accept(alive context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if alive.Err() != nil {
			b.mu.Unlock()
			reset(c)
			return
		}
		b.conns[c] = true
		b.running.Go(func() { b.serve(alive, c) })
		b.mu.Unlock()
	}
}

func (b *Backend) serve(alive context.Context, c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	received, err := newTimedConn(c.(*net.TCPConn))
	if err != nil {
		return
	}
	r := bufio.NewReader(received)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return // its last byte never came, so it has not arrived
		}
		if !b.answer(alive, c, r, req, b.came(received)) {
			return
		}
	}
}

// came is when the last bytes that were read had come from who sent them.
func (b *Backend) came(c *timedConn) time.Time {
	if origin := b.origins.of(c.RemoteAddr()); origin != nil {
		if at, known := origin.came(c.read); known {
			return at
		}
	}
	return c.received
}

// share is the part of its capacity that the backend has now.
func (b *Backend) share() float64 {
	age := time.Since(b.born)
	if b.born.IsZero() || age >= b.config.WarmUp {
		return 1
	}
	return b.config.ColdFrom + (1-b.config.ColdFrom)*float64(age)/float64(b.config.WarmUp)
}

// meanWork is that of a request by the classes' shares.
func (b *Backend) meanWork() time.Duration {
	var mean float64
	for _, c := range b.config.Classes {
		mean += c.Share * float64(c.Work)
	}
	return max(time.Duration(mean), time.Microsecond)
}

// answer works off one request, whose last byte came at a moment, and says whether the connection can carry another.
func (b *Backend) answer(alive context.Context, c net.Conn, r *bufio.Reader, req *http.Request, came time.Time) bool {
	id, class := req.Header.Get("X-Txn"), b.classes[req.Header.Get("X-Lane")]
	key := req.Header.Get("Idempotency-Key")
	dice := chance(b.config.Seed, b.config.ID, id)
	happens := func(share float64) bool { return share > 0 && dice.Float64() < share }

	b.mu.Lock()
	b.arrived++
	f, share, draining := b.faults, b.share(), b.draining
	b.mu.Unlock()
	capacity := 0.0
	if share < 1 {
		capacity = share * float64(b.config.Slots) / b.meanWork().Seconds()
	}
	ms, _ := strconv.ParseInt(req.Header.Get("X-Remaining-Ms"), 10, 64) // nothing that makes no sense is looked at
	told := time.Duration(ms) * time.Millisecond
	number := -1
	b.books.noteAt(came, func(a *audit.Auditor, at time.Duration) {
		number = a.Arrived(at, audit.Arrival{ID: id, Server: b.config.ID, Proxy: callersOf(id), Left: told, Zone: b.config.Zone, Capacity: capacity, Foreign: b.config.Visitor != "" && strings.HasPrefix(id, b.config.Visitor)})
	})
	unrun := func() { b.books.note(func(a *audit.Auditor, _ time.Duration) { a.Unrun(id, number) }) }

	if f.Silent {
		<-alive.Done()
		return false
	}
	if happens(f.ResetBefore) {
		reset(c)
		return false
	}
	if draining || happens(f.TurnAway) || !b.enter(alive) {
		unrun()
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	}
	if happens(f.FailUnrun) {
		b.leave()
		return write(c, failure)
	}
	work := time.Duration(float64(class.Work) * max(f.Slow, 1) / share * (0.5 + dice.Float64()))
	done := pause(alive, work)
	b.leave()
	if !done {
		return false
	}
	text := fmt.Sprintf("%s ran at %s", id, b.config.ID)
	dropped := key != "" && b.keys.seen(key, class.Window)
	for range 1 + times(f.RunsTwice) {
		b.books.note(func(a *audit.Auditor, now time.Duration) { a.Ran(now, id, number, dropped, f.RunsTwice, text) })
	}
	switch {
	case happens(f.Fail):
		return write(c, failure)
	case happens(f.ResetAfter):
		reset(c)
		return false
	case happens(f.Cut):
		write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2]))
		return false
	case happens(f.Spoil):
		return write(c, spoilt(dice.IntN)) // the connection stays open, of no further use
	case happens(f.Extra):
		return write(c, whole(text)+whole(text))
	case req.Header.Get("Upgrade") != "":
		b.channel(alive, c, r, req, text)
		return false
	}
	return write(c, whole(text))
}

const failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"

func whole(text string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
}

// spoilt is an answer that no client may take for whole, of the kind that pick chooses.
func spoilt(pick func(n int) int) string {
	kinds := [...]string{
		"\x00\x01\x02 noise\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\npart of it",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nabcd",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
	}
	const endless = 2 // and it keeps coming
	k := pick(len(kinds))
	if k == endless {
		return kinds[k] + strings.Repeat("x", 70<<10)
	}
	return kinds[k]
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func times(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pause waits, and says whether it was for the whole time.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// enter takes a slot, waiting in the queue if there is room; false if there is none.
func (b *Backend) enter(alive context.Context) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.working >= b.config.Slots && b.waiting >= b.config.Queue {
		return false
	}
	b.waiting++
	defer func() { b.waiting-- }()
	for b.working >= b.config.Slots {
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-alive.Done():
		}
		b.mu.Lock()
		if alive.Err() != nil {
			return false
		}
	}
	b.working++
	return true
}

func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.working--
	close(b.freed)
	b.freed = make(chan struct{})
}

// keys is what the backends of one zone know of the repeats that they drop. What is older than the longest window
// is forgotten.
type keys struct {
	mu    sync.Mutex
	since map[string]time.Time
	order []string
}

// mostKeys bounds what a zone remembers.
const mostKeys = 1 << 17

func newKeys() *keys { return &keys{since: map[string]time.Time{}} }

// seen says whether the key has been seen within its window, and notes it if not.
func (k *keys) seen(key string, window time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if at, known := k.since[key]; known && now.Sub(at) < window {
		return true
	} else if !known {
		k.order = append(k.order, key)
	}
	k.since[key] = now
	if len(k.order) > mostKeys {
		for _, old := range k.order[:mostKeys/2] {
			delete(k.since, old)
		}
		k.order = append([]string(nil), k.order[mostKeys/2:]...)
	}
	return false
}

// BackendState is how a backend stands.
type BackendState struct {
	ID       string
	Zone     string
	Arrived  int64 // requests so far
	Working  int
	Waiting  int
	Channels int
	Share    float64 // of its capacity, while cold
	Slow     float64 // how many times as long work takes; 0 or 1 for as usual
	Dead     bool
	Draining bool
}

// State is how the backend stands now.
func (b *Backend) State() BackendState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BackendState{
		ID: b.config.ID, Zone: zones[b.config.Zone], Arrived: b.arrived, Working: b.working, Waiting: b.waiting, Channels: b.channels,
		Share: b.share(), Slow: b.faults.Slow, Dead: b.alive.Err() != nil, Draining: b.draining,
	}
}
