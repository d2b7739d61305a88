package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brasswell/internal/standin/audit"
)

// Load is what callers send, in an open loop: arrivals do not wait for answers.
type Load struct {
	Rate    float64       // first tries a second
	Retries int           // after a refusal, and after a failure where the class allows it
	Backoff time.Duration // before a retry, unless the answer says how long
	Leave   float64       // share of tries whose caller goes away before the answer
	Slack   time.Duration // beyond its time that a caller goes on listening before it says that it got nothing
	// MostOpen tries at one time; arrivals beyond are skipped, and counted. 0 stands for 2000.
	MostOpen int
}

// Tally is what callers got.
type Tally struct {
	Tries    int64 `json:"tries"`
	Arrivals int64 `json:"arrivals"`
	Skipped  int64 `json:"skipped"`
	Served   int64 `json:"served"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	Left     int64 `json:"left"` // callers that went away
	Late     int64 `json:"late"` // served after the aim
	// Worth asked for, and served within the aims.
	Offered float64 `json:"worth_offered"`
	Earned  float64 `json:"worth_earned"`
	// EarnedBy is the same by class.
	EarnedBy map[string]float64 `json:"worth_earned_by"`
	// Latency of served requests from the first try on, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// Callers send a load to one proxy and keep the books of what they get.
type Callers struct {
	books   *Books
	classes []Class
	seed    uint64
	address string
	surge   atomic.Uint64 // the rate's multiple, in thousandths
	closed  atomic.Bool   // no new connections are made
	struck  atomic.Bool   // a script keeps the proxy from its work

	mu      sync.Mutex
	idle    []*callerConn
	tally   Tally
	latency *hdrhistogram.Histogram // microseconds
	recent  *hdrhistogram.Histogram // the same since Recent was called last
	open    int
	running sync.WaitGroup
}

func newCallers(books *Books, classes []Class, seed uint64, address string) *Callers {
	c := &Callers{books: books, classes: classes, seed: seed, address: address, latency: newLatency(), recent: newLatency()}
	c.surge.Store(1000)
	return c
}

func newLatency() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// Name is what the ids of all their requests begin with, and names the proxy that they ask.
func (c *Callers) Name() string { return strconv.FormatUint(c.seed, 16) }

// callersOf is the Name of the callers whose request has an id.
func callersOf(id string) string {
	name, _, _ := strings.Cut(id, "-")
	return name
}

// Recent is the 99th percentile, in milliseconds, of the latencies since it was called last.
func (c *Callers) Recent() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	p99 := float64(c.recent.ValueAtQuantile(99)) / 1000
	c.recent.Reset()
	return p99
}

// Surge multiplies the rate from now on; 0 stops new requests.
func (c *Callers) Surge(multiple float64) { c.surge.Store(uint64(multiple * 1000)) }

// Struck says whether a script keeps the proxy from its work, as when its process is killed or stopped: what ends without
// an answer meanwhile is no fault of the proxy's.
func (c *Callers) Struck(on bool) { c.struck.Store(on) }

// NoNewConnections says whether callers go on only with the connections that they have, as before a process that is about to end.
func (c *Callers) NoNewConnections(on bool) { c.closed.Store(on) }

// errNoNewConnections ends a try that has no connection.
var errNoNewConnections = errors.New("no new connections are made")

// end notes the end of a request at a moment. It is excused if a script keeps the proxy from its work then.
func (c *Callers) end(id string, moment time.Time, event func(a *audit.Auditor, at time.Duration)) {
	struck := c.struck.Load()
	c.books.noteAt(moment, func(a *audit.Auditor, at time.Duration) {
		if struck {
			a.Excuse(id)
		}
		event(a, at)
	})
}

// withdraw notes that a connection ended between requests while a request was written, and says whether it may be sent once more.
func (c *Callers) withdraw(id string, moment time.Time) (again bool) {
	c.end(id, moment, func(a *audit.Auditor, at time.Duration) { again = a.Withdrawn(at, id) })
	c.books.await(func(*audit.Auditor, time.Duration) {})
	return again
}

// Tally is what they have got so far.
func (c *Callers) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally
	t.EarnedBy = maps.Clone(t.EarnedBy)
	t.P50 = float64(c.latency.ValueAtQuantile(50)) / 1000
	t.P99 = float64(c.latency.ValueAtQuantile(99)) / 1000
	return t
}

// Run sends the load until ctx is done, and returns once every caller has its answer or has given up.
func (c *Callers) Run(ctx context.Context, load Load) {
	if load.MostOpen == 0 {
		load.MostOpen = 2000
	}
	dice := rand.New(rand.NewPCG(c.seed, 1))
	next := time.Now()
	for n := 0; ; n++ {
		for c.surge.Load() == 0 && pause(ctx, 10*time.Millisecond) {
			next = time.Now()
		}
		gap := dice.ExpFloat64() / (load.Rate * max(float64(c.surge.Load()), 1) / 1000)
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if !pause(ctx, time.Until(next)) {
			break
		}
		c.mu.Lock()
		c.tally.Arrivals++
		full := c.open >= load.MostOpen
		if full {
			c.tally.Skipped++
		} else {
			c.open++
		}
		c.mu.Unlock()
		if !full {
			c.running.Go(func() { c.ask(load, strconv.Itoa(n)) })
		}
	}
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.Close()
	}
	c.idle = nil
}

// Storm opens connections all at once, each of which asks once, and waits for all of them.
func (c *Callers) Storm(n int, load Load) {
	var all sync.WaitGroup
	for i := range n {
		c.mu.Lock()
		c.tally.Arrivals++
		c.open++
		c.mu.Unlock()
		all.Go(func() { c.ask(load, "storm"+strconv.Itoa(i)) })
	}
	all.Wait()
}

// ask is one caller with its tries.
func (c *Callers) ask(load Load, n string) {
	dice := chance(c.seed, "caller", n)
	class := c.pick(dice.Float64())
	start := time.Now()
	c.mu.Lock()
	c.tally.Offered += class.Worth
	c.mu.Unlock()
	outcome, leftOff := audit.Failed, false
	for try := 0; ; try++ {
		left := class.GiveUp - time.Since(start)
		if left <= 0 {
			break
		}
		id := fmt.Sprintf("%x-%s-%d", c.seed, n, try)
		var wait time.Duration
		var again bool
		outcome, wait, again, leftOff = c.try(load, class, id, fmt.Sprintf("k%x-%s", c.seed, n), left, dice)
		if !again || try >= load.Retries || outcome == audit.Failed && class.Effect == audit.Unsafe {
			break
		}
		pause(context.Background(), max(wait, load.Backoff))
	}
	took := time.Since(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	switch {
	case leftOff:
		c.tally.Left++
	case outcome == audit.Served:
		c.tally.Served++
		for _, h := range []*hdrhistogram.Histogram{c.latency, c.recent} {
			h.RecordValue(max(took.Microseconds(), 1))
		}
		if took <= class.Aim {
			c.tally.Earned += class.Worth
			if c.tally.EarnedBy == nil {
				c.tally.EarnedBy = map[string]float64{}
			}
			c.tally.EarnedBy[class.Name] += class.Worth
		} else {
			c.tally.Late++
		}
	case outcome == audit.Refused:
		c.tally.Refused++
	default:
		c.tally.Failed++
	}
}

func (c *Callers) pick(at float64) Class {
	for _, class := range c.classes {
		if at -= class.Share; at < 0 {
			return class
		}
	}
	return c.classes[len(c.classes)-1]
}

// callerConn is one connection of a caller.
type callerConn struct {
	*timedConn
	r    *bufio.Reader
	used bool
}

func (c *Callers) take() (*callerConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, nil
	}
	c.mu.Unlock()
	return c.dial()
}

func (c *Callers) dial() (*callerConn, error) {
	if c.closed.Load() {
		return nil, errNoNewConnections
	}
	timed, err := dialTimed(context.Background(), &net.Dialer{Timeout: time.Second}, c.address)
	if err != nil {
		return nil, err
	}
	return &callerConn{timedConn: timed, r: bufio.NewReader(timed)}, nil
}

// try sends one request and waits for its answer. again says whether the caller may try once more, and leftOff that
// it has gone away.
func (c *Callers) try(load Load, class Class, id, key string, left time.Duration, dice *rand.Rand) (v audit.Verdict, wait time.Duration, again, leftOff bool) {
	c.mu.Lock()
	c.tally.Tries++
	c.mu.Unlock()
	leaves := time.Duration(0)
	if load.Leave > 0 && dice.Float64() < load.Leave {
		leaves = max(time.Duration(dice.Float64()*float64(2*class.Work)), time.Millisecond)
	}
	k, err := c.take()
	for sent := 0; ; sent++ {
		if err != nil {
			return audit.Failed, 0, true, false // no connection, so nothing was taken
		}
		c.books.note(func(a *audit.Auditor, now time.Duration) {
			a.Asked(now, audit.Ask{ID: id, Effect: class.Effect, Window: class.Window, Left: left, Unwritten: true})
		})
		resp, body, err2 := k.exchange(request(class, id, key, left), left+load.Slack, leaves, exchangeNotes{
			written: func(begun time.Time) {
				c.books.noteAt(begun, func(a *audit.Auditor, at time.Duration) { a.Written(at, id) })
			},
			leaving: func() { c.books.note(func(a *audit.Auditor, now time.Duration) { a.LeftOff(now, id) }) },
		})
		if err2 == nil {
			v, wait, again = c.answered(k, id, resp, body)
			return v, wait, again, false
		}
		ended, reused := time.Now(), k.used
		var closed *closedError
		k.Close()
		switch {
		case errors.Is(err2, errLeft):
			return audit.Failed, 0, false, true
		case errors.As(err2, &closed):
			c.end(id, ended, func(a *audit.Auditor, at time.Duration) { a.ClosedUnanswered(at, id, closed.after) })
			return audit.Failed, 0, true, false
		case errors.Is(err2, errNothingRead) && reused && sent == 0 && !c.struck.Load():
			// (One that was killed may have read the request and sent it on.) The proxy closed the connection between requests, as it may; the request goes out once more.
			if !c.withdraw(id, ended) {
				return audit.Failed, 0, true, false
			}
			k, err = c.dial()
		case errors.Is(err2, os.ErrDeadlineExceeded):
			c.end(id, ended, func(a *audit.Auditor, at time.Duration) { a.GaveUp(at, id) })
			return audit.Failed, 0, false, false
		default:
			partial := !errors.Is(err2, errNothingRead)
			c.end(id, ended, func(a *audit.Auditor, at time.Duration) { a.Ended(at, id, partial) })
			return audit.Failed, 0, true, false
		}
	}
}

// answered takes a whole answer in.
func (c *Callers) answered(k *callerConn, id string, resp *http.Response, body string) (v audit.Verdict, wait time.Duration, again bool) {
	v = audit.Failed
	switch resp.StatusCode {
	case http.StatusOK:
		v = audit.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		v = audit.Refused
	}
	stray := k.r.Buffered() > 0
	c.end(id, k.received, func(a *audit.Auditor, at time.Duration) {
		a.Answered(at, id, v, body)
		if stray {
			a.Answered(at, id, audit.Failed, "") // more bytes can only be another answer
		}
	})
	if stray || resp.Close {
		k.Close()
	} else {
		k.used = true
		c.mu.Lock()
		c.idle = append(c.idle, k)
		c.mu.Unlock()
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	return v, wait, v != audit.Served
}

// request is a request's text by the protocol.
func request(class Class, id, key string, left time.Duration) string {
	method, more := "GET", ""
	if class.Effect != audit.Safe {
		method, more = "POST", "Content-Length: 4\r\n"
	}
	if class.Effect == audit.Keyed {
		more += "Idempotency-Key: " + key + "\r\n"
	}
	text := fmt.Sprintf("%s /api/item HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n%s\r\n",
		method, id, class.Name, max(left.Milliseconds(), 1), more)
	if class.Effect != audit.Safe {
		text += "body"
	}
	return text
}

var (
	errNothingRead = errors.New("the connection ended before an answer")
	errLeft        = errors.New("the caller has left")
)

// crossingTime is how long after a request was written an end of its connection may have crossed it. A proxy that has not read it resets
// the connection, be it behind the end; one that closes it later than that, with no reset, has read it.
const crossingTime = 50 * time.Millisecond

// closedError is the end of a connection that a request had been read from.
type closedError struct{ after time.Duration }

func (e *closedError) Error() string {
	return fmt.Sprintf("the connection was closed %v after the request", e.after)
}

// exchangeNotes are called by exchange.
type exchangeNotes struct {
	written func(sent time.Time) // behind the write, with its moment
	leaving func()               // before the caller closes the connection
}

// exchange sends a request's text and reads one answer. With leaves above 0 the caller closes the connection after
// that time unless the answer has come.
func (k *callerConn) exchange(text string, left, leaves time.Duration, notes exchangeNotes) (*http.Response, string, error) {
	k.SetDeadline(time.Now().Add(left))
	begun := time.Now()
	if _, err := io.WriteString(k, text); err != nil {
		return nil, "", errNothingRead
	}
	written, sent := time.Now(), k.sentAt(begun)
	notes.written(sent)
	k.SetReadDeadline(sent.Add(left))
	if leaves > 0 {
		k.SetReadDeadline(written.Add(leaves))
	}
	_, err := k.r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && leaves == 0 && k.unread() {
		// An answer is there that this caller, which runs late, has not read; its own date says whether it is in time.
		k.SetReadDeadline(time.Now().Add(left))
		_, err = k.r.Peek(1)
	}
	if err != nil {
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && leaves > 0:
			notes.leaving()
			k.Close()
			return nil, "", errLeft
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, "", err
		case errors.Is(err, io.EOF) && time.Since(written) > crossingTime && !k.reset():
			return nil, "", &closedError{time.Since(written)}
		}
		return nil, "", errNothingRead
	}
	k.SetReadDeadline(time.Now().Add(left))
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}
