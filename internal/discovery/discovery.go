// Package discovery follows the server list by the protocol that discovery speaks. Package plan decides which calls are made and whether the
// list may be acted on.
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

// Update takes in a list, or the word that a call has failed, with the addresses to dial beside the entries.
type UpdateFunc func(kind balance.ListKind, entries []balance.Entry, addresses map[string]string)

// Client follows the server list.
type Client struct {
	zones   map[string]int
	client  *http.Client
	conns   *openConns
	log     *slog.Logger
	update  UpdateFunc
	started time.Time
	kick    chan struct{} // holds one where the plan has changed, and the watch has to look

	mu       sync.Mutex
	options  Options
	askEvery time.Duration
	plan     *plan.Follower
	calls    map[plan.CallEnd]int64 // that have ended so
	stood    plan.Status            // what Fresh has found last
	ran      time.Duration          // when this process was last seen to run
}

// New returns a client that makes no call yet. update is called from one goroutine at a time.
func New(address string, zones []string, o Options, log *slog.Logger, update UpdateFunc) *Client {
	conns := &openConns{open: map[*openConn]struct{}{}}
	d := &Client{
		zones: map[string]int{}, client: newHTTPClient(conns), conns: conns, log: log, update: update, started: time.Now(), kick: make(chan struct{}, 1),
		plan: plan.NewFollower(0, address, o.settings(), rand.Float64), options: o, calls: map[plan.CallEnd]int64{}, stood: plan.Stale,
	}
	for n, zone := range zones {
		d.zones[zone] = n
	}
	return d
}

// SetPushed says that the address is an agent on this machine that lists are pushed to. It is for a client that has made no call yet.
func (d *Client) SetPushed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.SetPushed(d.now())
}

// SetOptions changes the options; they hold from the next question on.
func (d *Client) SetOptions(o Options) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.options = o
	d.plan.SetSettings(d.settings())
}

// SetAskEvery says for how long a proxy that does not ask may go on by its list; it is for a client that has made no call yet.
func (d *Client) SetAskEvery(every time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.askEvery = every
	d.plan.SetSettings(d.settings())
}

// settings are the plan's; mu is held.
func (d *Client) settings() plan.Settings {
	s := d.options.settings()
	s.AskEvery = d.askEvery
	return s
}

// Move goes over to another address, at once or behind others that follow soon. The caller sees to it that a Watch runs, for the balancer
// may be waiting for its time to ask again. The list that is held stays.
func (d *Client) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.plan.Move(address, d.ran, now) // the signal may have waited while this process did not run
	d.ran = now
	d.wake()
}

// Age is for how long discovery has given no whole answer.
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

// Resume goes on from a version that another process has taken in.
func (d *Client) Resume(seq int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.SetVersion(seq)
}

// Known takes in the list that the process starts with.
func (d *Client) LoadCached(c *Catalog) {
	before := d.Seq()
	d.Resume(c.Seq)
	d.pass(c, balance.Cached, before)
}

// CloseIdle ends the connections that no call uses; it is for the end of a proxy.
func (d *Client) CloseIdle() { d.client.CloseIdleConnections() }

// Follow keeps a watch up where lists are pushed: the balancer does not ask for one there.
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

// now is the process's steady time, that of the plan.
func (d *Client) now() time.Duration { return time.Since(d.started) }

// wake has the watch look at the plan.
func (d *Client) wake() {
	select {
	case d.kick <- struct{}{}:
	default: // it will look anyway
	}
}

// pass passes a list on, in place of one of a version.
func (d *Client) pass(c *Catalog, kind balance.ListKind, before int64) {
	list, addresses, odd := c.entries(d.zones)
	if odd != nil {
		d.log.Warn("server list: some entries make no sense", "error", odd)
	}
	d.logNews(kind, before, c.Seq, list)
	d.update(kind, list, addresses)
}

// noteAnswerBegun takes in a part of the list in an answer to a call.
func (d *Client) noteAnswerBegun(id plan.CallID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.plan.AnswerBegun(id, d.ran, now) // it may have waited while this process did not run
	d.ran = now
}

// noteProgress takes in that an answer goes on.
func (d *Client) noteProgress(id plan.CallID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.AnswerProgress(id, d.now())
	d.wake()
}

// noteEnd counts a call that has ended.
func (d *Client) noteEnd(end plan.CallEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[end]++
}
