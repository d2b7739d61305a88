package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"

	"brasswell/internal/standin/audit"
)

// madeField carries what a backend made for an upgrade, where an ordinary answer has its body.
const madeField = "X-Made"

// handed is a ResponseWriter over a connection that no HTTP server holds.
type handed struct {
	net.Conn
	r      *bufio.Reader
	header http.Header
}

func (h *handed) Header() http.Header { return h.header }

func (h *handed) WriteHeader(status int) {
	fmt.Fprintf(h.Conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	h.header.Write(h.Conn)
	h.Conn.Write([]byte("\r\n"))
}

func (h *handed) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return h.Conn, bufio.NewReadWriter(h.r, bufio.NewWriter(h.Conn)), nil
}

// channel answers 101 and sends back each message until the channel ends.
func (b *Backend) channel(alive context.Context, c net.Conn, r *bufio.Reader, req *http.Request, made string) {
	ws, err := websocket.Accept(&handed{c, r, http.Header{madeField: {made}}}, req, nil)
	if err != nil {
		return
	}
	b.count(1)
	defer b.count(-1)
	for {
		kind, text, err := ws.Read(alive)
		if err != nil || ws.Write(alive, kind, text) != nil {
			return
		}
	}
}

func (b *Backend) count(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.channels += n
	if n > 0 && len(b.opened) < mostOpened {
		b.opened = append(b.opened, b.books.Now())
	}
}

// mostOpened bounds the times that are kept of channels' beginnings.
const mostOpened = 1 << 20

// Opened is when each channel began at the backend, by the books' clock.
func (b *Backend) Opened() []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Duration(nil), b.opened...)
}

// ChannelLoad is clients that each want one channel at a time, and want another when theirs ends.
type ChannelLoad struct {
	Clients   int
	First     int // the first client's number: those of one fleet have numbers of their own
	Impatient int // of them, those that come again at once without a ticket
	Within    time.Duration
	Path      string
	// Hold is how long a client keeps a channel of its own accord; 0 for as long as it lasts.
	Hold time.Duration
}

// ChannelTally is what such clients got.
type ChannelTally struct {
	Asked, Opened, Refused, Failed int
	Open                           int
	MostTurned                     int         // refusals in a row of one patient client
	Closed                         map[int]int `json:",omitempty"` // channels that ended, by the code that the client read; -1 for none
}

// ChannelClients keep channels open through one proxy, and the books of the upgrades.
type ChannelClients struct {
	books   *Books
	class   Class
	seed    uint64
	address string
	http    *http.Client

	mu    sync.Mutex
	tally ChannelTally
}

// ChannelClients returns clients for a proxy at an address; their upgrades are of the fleet's first class.
func (f *Fleet) ChannelClients(address string) *ChannelClients {
	return &ChannelClients{
		books: f.Books, class: f.config.Classes[0], seed: f.config.Seed, address: address,
		http:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialUpgrade}},
		tally: ChannelTally{Closed: map[int]int{}},
	}
}

// Tally is what they have got so far.
func (c *ChannelClients) Tally() ChannelTally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally
	t.Closed = map[int]int{}
	for code, n := range c.tally.Closed {
		t.Closed[code] = n
	}
	return t
}

func (c *ChannelClients) note(f func(*ChannelTally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.tally)
}

// Run lets the clients come until ctx is done, and returns once all have gone.
func (c *ChannelClients) Run(ctx context.Context, load ChannelLoad) {
	var running sync.WaitGroup
	dice := rand.New(rand.NewPCG(c.seed, 3))
	for n := range load.Clients {
		first := time.Duration(dice.Float64() * float64(load.Within))
		running.Go(func() {
			if pause(ctx, first) || load.Within == 0 {
				c.client(ctx, load.First+n, load)
			}
		})
	}
	running.Wait()
}

func (c *ChannelClients) client(ctx context.Context, n int, load ChannelLoad) {
	dice := rand.New(rand.NewPCG(c.seed, uint64(n)+100))
	impatient := n-load.First < load.Impatient
	ticket, turned := "", 0
	for try := 0; ctx.Err() == nil; try++ {
		ws, resp, wait := c.dial(ctx, fmt.Sprintf("channel-%d-%d", n, try), ticket, load.Path)
		if ws != nil {
			turned, ticket = 0, ""
			c.hold(ctx, ws, load.Hold)
			wait = time.Duration(dice.Float64() * float64(50*time.Millisecond))
		} else if resp != nil && resp.StatusCode == http.StatusServiceUnavailable {
			ticket = resp.Header.Get("X-Channel-Ticket")
			turned++
			if !impatient {
				c.note(func(t *ChannelTally) { t.MostTurned = max(t.MostTurned, turned) })
			}
		}
		if impatient {
			wait, ticket = 5*time.Millisecond, ""
		}
		if !pause(ctx, max(wait, time.Millisecond)) {
			return
		}
	}
}

// dial asks for a channel, and returns how long to stay away where there is none.
func (c *ChannelClients) dial(ctx context.Context, id, ticket, path string) (*websocket.Conn, *http.Response, time.Duration) {
	within, cancel := context.WithTimeout(ctx, c.class.GiveUp+10*time.Second)
	defer cancel()
	header := http.Header{
		"X-Txn": {id}, "X-Lane": {c.class.Name}, "X-Remaining-Ms": {strconv.FormatInt(c.class.GiveUp.Milliseconds(), 10)},
	}
	if ticket != "" {
		header.Set("X-Channel-Ticket", ticket)
	}
	c.books.note(func(a *audit.Auditor, now time.Duration) {
		a.Asked(now, audit.Ask{ID: id, Effect: audit.Safe, Left: c.class.GiveUp, Unwritten: true})
	})
	c.note(func(t *ChannelTally) { t.Asked++ })
	var times upgradeTimes
	ws, resp, err := websocket.Dial(times.trace(within), "ws://"+c.address+path, &websocket.DialOptions{HTTPClient: c.http, HTTPHeader: header})
	answered := func(v audit.Verdict, made string) {
		c.books.noteAt(times.written(), func(a *audit.Auditor, at time.Duration) { a.Written(at, id) })
		c.books.noteAt(times.answered(), func(a *audit.Auditor, at time.Duration) { a.Answered(at, id, v, made) })
	}
	switch {
	case err == nil:
		answered(audit.Served, resp.Header.Get(madeField))
		c.note(func(t *ChannelTally) { t.Opened++ })
		return ws, resp, 0
	case resp != nil && resp.StatusCode == http.StatusServiceUnavailable:
		answered(audit.Refused, "")
		c.note(func(t *ChannelTally) { t.Refused++ })
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			seconds = 1
		}
		return nil, resp, time.Duration(seconds * float64(time.Second))
	case resp != nil:
		answered(audit.Failed, "")
	case ctx.Err() != nil: // the client's own end
		c.books.note(func(a *audit.Auditor, now time.Duration) { a.LeftOff(now, id) })
		return nil, nil, 0
	default:
		c.books.note(func(a *audit.Auditor, now time.Duration) { a.Ended(now, id, false) })
	}
	c.note(func(t *ChannelTally) { t.Failed++ })
	return nil, resp, 100 * time.Millisecond
}

// hold keeps a channel until it ends.
func (c *ChannelClients) hold(ctx context.Context, ws *websocket.Conn, most time.Duration) {
	c.note(func(t *ChannelTally) { t.Open++ })
	if most > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, most)
		defer cancel()
	}
	var err error
	for err == nil {
		_, _, err = ws.Read(ctx)
	}
	var closed websocket.CloseError
	code := -1
	if errors.As(err, &closed) {
		code = int(closed.Code)
	}
	ws.CloseNow()
	c.note(func(t *ChannelTally) {
		t.Open--
		if ctx.Err() == nil {
			t.Closed[code]++
		}
	})
}
