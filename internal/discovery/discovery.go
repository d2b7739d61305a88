// Package discovery follows the server list with the protocol of discovery. Package plan decides which calls are made
// and whether the list may be used.
package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// pushRetry is the pause between calls to an agent that does not answer.
const pushRetry = 250 * time.Millisecond

// UpdateFunc receives a list, or the report that a call has failed, with the addresses to dial in addition to the
// entries.
type UpdateFunc func(kind balance.ListKind, entries []balance.Entry, addresses map[string]string)

// Client follows the server list.
type Client struct {
	zones       map[string]int
	client      *http.Client
	conns       *openConns
	log         *slog.Logger
	update      UpdateFunc
	started     time.Time
	planChanged chan struct{} // holds one value if the plan has changed and the watch has to look at it

	mu         sync.Mutex
	options    Options
	askEvery   time.Duration
	plan       *plan.Follower
	calls      map[plan.CallEnd]int64 // number of ended calls by outcome
	lastStatus plan.Status            // the status that Fresh found last
	lastRan    time.Duration          // when this process was last seen to run
}

// New returns a Client that makes no call yet. update is called from one goroutine at a time.
func New(address string, zones []string, o Options, log *slog.Logger, update UpdateFunc) *Client {
	conns := &openConns{open: map[*openConn]struct{}{}}
	d := &Client{
		zones: map[string]int{}, client: newHTTPClient(conns), conns: conns, log: log, update: update, started: time.Now(), planChanged: make(chan struct{}, 1),
		plan: plan.NewFollower(0, address, o.settings(), rand.Float64), options: o, calls: map[plan.CallEnd]int64{}, lastStatus: plan.Stale,
	}
	for n, zone := range zones {
		d.zones[zone] = n
	}
	return d
}

// SetPushed declares that the address is an agent on this machine that lists are pushed to. It has to be called
// before the first call is made.
func (d *Client) SetPushed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.SetPushed(d.now())
}

// SetOptions changes the options; they apply from the next query on.
func (d *Client) SetOptions(o Options) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.options = o
	d.plan.SetSettings(d.planSettings())
}

// SetAskEvery sets how long a proxy that makes no call may use its list. It has to be called before the first call is
// made.
func (d *Client) SetAskEvery(every time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.askEvery = every
	d.plan.SetSettings(d.planSettings())
}

// planSettings returns the settings of the plan; mu is held.
func (d *Client) planSettings() plan.Settings {
	s := d.options.settings()
	s.AskEvery = d.askEvery
	return s
}

// Move switches to another address, immediately or, after other moves, with a delay. The caller has to make sure that
// a Watch runs, because the balancer may be waiting before it starts the next one. The held list stays.
func (d *Client) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.plan.Move(address, d.lastRan, now) // the signal may have waited while this process did not run
	d.lastRan = now
	d.notifyWatch()
}

// Age is the time since discovery last gave a complete answer.
func (d *Client) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Age(d.now())
}

// Seq is the version of the list that is held; -1 for none.
func (d *Client) Seq() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Version()
}

// Resume continues from a version that another process has applied.
func (d *Client) Resume(seq int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.SetVersion(seq)
}

// LoadCached applies the list that the process starts with.
func (d *Client) LoadCached(c *Catalog) {
	before := d.Seq()
	d.Resume(c.Seq)
	d.deliver(c, balance.Cached, before)
}

// CloseIdle closes the connections that no call uses, when a proxy shuts down.
func (d *Client) CloseIdle() { d.client.CloseIdleConnections() }

// Follow keeps a watch running where lists are pushed: the balancer does not request one there.
func (d *Client) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		d.Watch(ctx)
		sleep(ctx, pushRetry)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// now is the monotonic time of the process, which the plan uses.
func (d *Client) now() time.Duration { return time.Since(d.started) }

// notifyWatch makes the watch look at the plan.
func (d *Client) notifyWatch() {
	select {
	case d.planChanged <- struct{}{}:
	default: // the watch will look anyway
	}
}

// deliver passes a list to the balancer. before is the version that was held until now.
func (d *Client) deliver(c *Catalog, kind balance.ListKind, before int64) {
	list, addresses, invalid := c.entries(d.zones)
	if invalid != nil {
		d.log.Warn("server list: some entries are invalid", "error", invalid)
	}
	d.logListUpdate(kind, before, c.Seq, list)
	d.update(kind, list, addresses)
}

// noteAnswerBegun records a part of the list in an answer to a call.
func (d *Client) noteAnswerBegun(id plan.CallID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.plan.AnswerBegun(id, d.lastRan, now) // the part may have waited while this process did not run
	d.lastRan = now
}

// noteProgress records that a part of an answer has arrived.
func (d *Client) noteProgress(id plan.CallID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.AnswerProgress(id, d.now())
	d.notifyWatch()
}

// noteEnd counts a call that has ended.
func (d *Client) noteEnd(end plan.CallEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[end]++
}
