// Package discovery follows the server list by the protocol that discovery speaks. It decides nothing.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
	"brasswell/internal/settings"
)

const (
	// callWait is how long a call that does not hold may take: discovery works calls off in turn, and who gives up
	// sooner loses a place in the line.
	callWait = 3500 * time.Millisecond
	// overlap is how long a call may be overdue before another is made beside it, on a connection of its own. Of two
	// that are out the older one is given up for a third, which leaves each that does not hold its callWait. A silent
	// call cannot be told from one that waits in line; to give it up for the next one would lose the place each time.
	overlap = callWait / 2
	// turnedAwayMost is the longest that is waited after a call that discovery had no room for, beside what the balancer
	// waits: who asks again at once keeps the line full, for all that ask.
	turnedAwayMost = 1200 * time.Millisecond
	// crowdedFor is how long after it has turned a call away discovery counts as crowded, and crowdedHold for how long a watch waits for
	// news then: a fleet whose watches all end after a shorter time asks more often than such a discovery answers, and goes on so for
	// good. It is so for a watch that goes on behind an answer; one silent call is still made up for within toldWithin, and the second of
	// two is not, as long as discovery is crowded.
	crowdedFor  = 20 * time.Second
	crowdedHold = 3300 * time.Millisecond
	// turnedAwayLeast is waited at least where a call has waited in discovery's line, for longWait or more, until it was turned away. Calls
	// that have waited in vain and are made again at once can keep a line so full that nobody's turn comes in time, long after there was
	// cause for it. It holds from youngFor after the start of the process on: one that has just started has an older list than all
	// others, and is not to come last.
	turnedAwayLeast = 800 * time.Millisecond
	longWait        = time.Second
	youngFor        = 6 * time.Second
	// stallTime is how long an answer that has begun may pause before another call is made beside it.
	stallTime = 300 * time.Millisecond
	// pushRetry is the pause between calls to an agent that does not answer.
	pushRetry = 250 * time.Millisecond
	// maxList bounds an answer; a fleet of thousands stays below.
	maxList = 8 << 20
	// maxHead bounds the head of an answer.
	maxHead = 16 << 10
)

// Catalog is discovery's form of a server list, whole or the changes since some version.
type Catalog struct {
	Seq   int64 `json:"seq"`
	Whole bool  `json:"whole"`
	Hosts []struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		BornMS float64 `json:"born_ms"`
	} `json:"hosts"`
	begun time.Time // when its answer began: it is of that time
}

var states = map[string]balance.State{
	"up": balance.InService, "draining": balance.Draining, "removed": balance.Gone,
}

// entries turns a list into the balancer's entries and the addresses to dial, and says what is odd about it. A
// server whose entry makes no sense is kept as one that drains: it is there, but how to use it is not known.
// To void the whole list instead would keep every other change from the balancer for as long as that entry
// stands; to leave the server out would take it for gone.
func (c *Catalog) entries(zones map[string]int) (list []balance.Entry, addresses map[string]string, odd error) {
	list = make([]balance.Entry, 0, len(c.Hosts))
	addresses = make(map[string]string, len(c.Hosts))
	at := make(map[string]int, len(c.Hosts))
	for _, h := range c.Hosts {
		if h.Host == "" {
			odd = errors.Join(odd, errors.New("entry without a host"))
			continue
		}
		state, known := states[h.Health]
		zone, knownZone := zones[h.Site]
		_, _, dialErr := net.SplitHostPort(h.Dial)
		var err error
		switch {
		case !known:
			err = fmt.Errorf("%s: unknown health %q", h.Host, h.Health)
		case state != balance.InService:
		case !knownZone:
			err = fmt.Errorf("%s: unknown site %q", h.Host, h.Site)
		case dialErr != nil:
			err = fmt.Errorf("%s: dial: %w", h.Host, dialErr)
		}
		if err != nil {
			odd = errors.Join(odd, err)
			state = balance.Draining
		}
		e := balance.Entry{ID: h.Host, Zone: zone, Cell: h.Block, State: state, Boot: settings.Millis(h.BornMS)}
		addresses[h.Host] = h.Dial
		if n, twice := at[h.Host]; twice {
			list[n] = e // the later entry counts
			continue
		}
		at[h.Host] = len(list)
		list = append(list, e)
	}
	return list, addresses, odd
}

// Client follows the server list.
type Client struct {
	zones  map[string]int
	client *http.Client
	log    *slog.Logger
	update func(balance.ListKind, []balance.Entry, map[string]string)

	seq atomic.Int64 // the version held; -1 for none

	mu       sync.Mutex
	watching bool
	address  string
	options  Options
	move     move
	movedAt  time.Time
	moves    int       // so far
	unheard  bool      // nothing was answered since the last move
	refused  time.Time // when a call was last turned away
	going    bool      // the last call was answered: the next one goes on with a watch
	started  time.Time
	// confirmed is when discovery last gave a whole answer; the start of the process until then.
	confirmed time.Duration
	calls     map[plan.CallEnd]int64 // that have ended so
	lease     *plan.Lease
	stood     plan.Standing           // what Fresh has found last
	hangUp    context.CancelCauseFunc // of the calls that are out
}

// errCutOff is what a call ends with whose answer had begun.
var errCutOff = errors.New("discovery's answer cannot be read to its end")

// errTurnedAway is what a call ends with that discovery has no answer for now.
var errTurnedAway = errors.New("discovery turned the call away")

// errMoved ends the call to an address that is no longer discovery's.
var errMoved = errors.New("discovery has moved")

// New returns a client that makes no call yet. update is called with each list, from one goroutine at a time; it
// takes the addresses to dial beside the entries.
func New(address string, zones []string, o Options, log *slog.Logger, update func(balance.ListKind, []balance.Entry, map[string]string)) *Client {
	d := &Client{address: address, options: o, zones: map[string]int{}, log: log, update: update, hangUp: func(error) {}, started: time.Now(), calls: map[plan.CallEnd]int64{}, stood: plan.Confirmed}
	d.lease = plan.NewLease(0, false) // the list that a process starts with is of its start
	d.seq.Store(-1)
	for n, zone := range zones {
		d.zones[zone] = n
	}
	d.client = &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        4, // beside the two in use, some that are just being closed
		MaxIdleConns:           1,
		MaxResponseHeaderBytes: maxHead,
	}}
	return d
}

// heard notes that a call was answered.
func (d *Client) heard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unheard, d.going = false, true
}

// SetPushed says that the address is an agent on this machine that lists are pushed to. It is for a client that has made no call yet.
func (d *Client) SetPushed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease = plan.NewLease(d.now(), true)
}

// confirm notes that an answer has told all that there was when it began, or that it was thrown away.
func (d *Client) confirm(begun time.Time, taken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := begun.Sub(d.started)
	if !taken {
		d.lease.Dropped(at)
		return
	}
	d.confirmed = at
	d.lease.Answered(at)
}

// Age is for how long discovery has given no whole answer.
func (d *Client) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now() - d.confirmed
}

// Watch follows the changes until asking for them fails. The next call goes out as soon as the last is answered, so
// that what changes in between counts as told by the watch. An answer that was cut off is asked for once more at once:
// what it should have told counts as told soon, if it does not already. Where that befalls many at once discovery is
// asked by all of them at once; who is turned away then waits as long as the balancer says.
func (d *Client) Watch(ctx context.Context) {
	if !d.begin() {
		return
	}
	for again := false; ; {
		asked := time.Now()
		moves, err := d.ask(ctx)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			again = false
			d.heard()
			continue
		case errors.Is(err, errMoved):
			continue
		case d.awaitMove(ctx):
			continue
		case d.settling():
			pause := movePause
			if errors.Is(err, errTurnedAway) {
				pause = d.turnedAway(time.Since(asked))
			}
			sleep(ctx, pause)
			continue
		case errors.Is(err, errCutOff) && !again:
			again = true
			d.log.Info("a call for the server list is made again", "error", err)
			continue
		}
		if errors.Is(err, errTurnedAway) {
			sleep(ctx, d.turnedAway(time.Since(asked)))
		}
		if !d.end(moves) && ctx.Err() == nil {
			continue // it has moved since: the new address has not failed yet
		}
		if ctx.Err() == nil {
			d.log.Warn("watch on the server list broke", "error", err)
			d.update(balance.ListFailed, nil, nil)
		}
		return
	}
}

// turnedAway notes that discovery had no room for a call, which it has let wait so long, and returns for how long to wait before the
// next one.
func (d *Client) turnedAway(waited time.Duration) (pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused, d.going = time.Now(), false
	if waited >= longWait && d.refused.Sub(d.started) > youngFor {
		pause = turnedAwayLeast
	}
	return pause + rand.N(turnedAwayMost)
}

// begin says whether this watch is the only one.
func (d *Client) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watching {
		return false
	}
	d.watching = true
	return true
}

// end ends the watch, unless discovery has moved meanwhile: who moved it counts on the watch that runs.
func (d *Client) end(moves int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moves != moves {
		return false
	}
	d.watching, d.going = false, false
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Follow keeps a watch up where lists are pushed: the balancer does not ask for one there.
func (d *Client) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		d.Watch(ctx)
		sleep(ctx, pushRetry)
	}
}

// round is one question to discovery, asked by one call or several.
type round struct {
	moves       int    // before it
	url         string // of the list
	from        int64  // the version held; below 0 for none
	watching    bool   // it goes on with a watch
	hold, slack time.Duration
}

// round begins the next one; ctx ends with a move.
func (d *Client) round(ctx context.Context) (round, context.Context) {
	settling := d.settling()
	d.mu.Lock()
	defer d.mu.Unlock()
	r := round{
		moves: d.moves, url: "http://" + d.address + "/catalog/members", from: d.seq.Load(),
		hold: d.options.Hold, slack: d.options.Slack, watching: d.going,
	}
	settling = settling && d.unheard // an answer since the move has told all that there was
	switch {
	case settling && d.refused.After(d.movedAt):
		r.hold, r.slack = moveHold, moveCrowdedSlack
	case settling:
		r.hold, r.slack = moveHold, moveSlack
	case d.going && !d.refused.IsZero() && time.Since(d.refused) < crowdedFor:
		r.hold = max(r.hold, crowdedHold)
	}
	ctx, d.hangUp = context.WithCancelCause(ctx)
	return r, ctx
}

// target is the call that the round makes after so many others, by when another is made beside it, and when it is given
// up. Only the first one waits for news: the others are made because nothing is known of what it should have told.
func (r *round) target(earlier int) (url string, overdue, wait time.Duration) {
	switch {
	case r.from < 0:
		return r.url, callWait, callWait + overlap // answered at once with the whole list, once it is its turn
	case earlier == 0:
		return fmt.Sprintf("%s?from=%d&hold_ms=%d", r.url, r.from, r.hold.Milliseconds()), r.hold + r.slack, r.hold + callWait
	}
	return fmt.Sprintf("%s?from=%d&hold_ms=0", r.url, r.from), overlap, callWait
}

// answer is how one call ended.
type answer struct {
	list *Catalog
	err  error
}

// ask has one question answered, and takes the answer in; it says how often discovery had moved before. A call that is
// overdue stays out while another is made on a new connection: the old one may lead to a machine that was cut off
// meanwhile. The first answer counts and ends the others; it has failed once none is out any more. Each call that is given up is a
// failure for the balancer, too, so that people are told of a discovery that stays silent.
func (d *Client) ask(ctx context.Context) (moves int, err error) {
	r, ctx := d.round(ctx)
	defer d.hangUpNow()
	var (
		answers = make(chan answer)
		calls   sync.WaitGroup
		made    int
		pending int
		older   context.CancelFunc // gives up the last call but one
		newest  context.CancelFunc
		late    = time.NewTimer(callWait) // set by each call
		coming  = make(chan int, 1)       // the call whose answer comes in
		begun   int                       // the last such
	)
	defer late.Stop()
	calling, cancel := context.WithCancel(ctx)
	defer calls.Wait()
	defer cancel()
	call := func() {
		url, overdue, wait := r.target(made)
		if made == 1 {
			d.log.Info("a call for the server list is overdue; another is made beside it")
		}
		if made > 0 {
			d.client.CloseIdleConnections()
		}
		if older != nil {
			older()
			d.update(balance.ListFailed, nil, nil)
		}
		timed, give := context.WithTimeout(calling, wait)
		older, newest = newest, give
		made++
		number := made
		pending++
		calls.Go(func() {
			defer give()
			list, err := d.call(timed, url, r.watching && number == 1, func() {
				select {
				case coming <- number:
				default: // another one was just told
				}
			})
			select {
			case answers <- answer{list, err}:
			case <-calling.Done():
			}
		})
		late.Reset(overdue)
	}
	for call(); ; {
		select {
		case <-ctx.Done():
			return r.moves, context.Cause(ctx)
		case <-late.C:
			call()
		case begun = <-coming:
			// Discovery has come to this call, which has no place in line to lose: the rest comes soon, or never.
			if begun == made {
				late.Reset(stallTime)
			}
		case a := <-answers:
			pending--
			switch {
			case a.err == nil:
				cancel()
				calls.Wait()
				d.confirm(a.list.begun, d.Take(a.list, a.list.kind()))
				return r.moves, nil
			case context.Cause(ctx) == errMoved:
				return r.moves, errMoved
			case pending == 0:
				return r.moves, a.err
			}
		}
	}
}

// call makes one call. goesOn says that it goes on with a watch.
func (d *Client) call(ctx context.Context, url string, goesOn bool, coming func()) (*Catalog, error) {
	begun := time.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) {
			if !c.Reused {
				d.noteConnected(goesOn)
			}
		},
		GotFirstResponseByte: d.noteAnswerBegun,
	})
	list, err := d.fetch(ctx, url, coming)
	end := endOf(err, context.Cause(ctx))
	d.noteEnd(end, begun)
	d.logCall(ctx, end, url, begun, err)
	return list, err
}

// noteEnd takes in the end of a call.
func (d *Client) noteEnd(end plan.CallEnd, begun time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[end]++
	if d.move.pending() && end == plan.Unreachable {
		return // it may well be that nobody listens at the old address any more
	}
	d.lease.Ended(end, begun.Sub(d.started), d.now())
}

// noteAnswerBegun takes in that discovery has begun to answer a call.
func (d *Client) noteAnswerBegun() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease.AnswerBegun()
}

// noteConnected takes in that a connection for a call came up.
func (d *Client) noteConnected(goesOn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease.Connected(goesOn)
}

// hangUpNow frees what the round that has ended holds.
func (d *Client) hangUpNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hangUp(nil)
}

// fetch fetches a list. coming is called as the answer begins and goes on, but for a refusal.
func (d *Client) fetch(ctx context.Context, url string, coming func()) (*Catalog, error) {
	var begun atomic.Pointer[time.Time] // the answer; Do may return before the trace's call does
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		now := time.Now()
		begun.Store(&now)
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if begun.Load() != nil {
			coming()
			return nil, fmt.Errorf("%w: %w", errCutOff, err)
		}
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", errTurnedAway, resp.Status)
	}
	coming()
	text, err := io.ReadAll(io.LimitReader(&progressReader{resp.Body, coming}, maxList+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errCutOff, err)
	case len(text) > maxList:
		return nil, fmt.Errorf("discovery's answer is over %d bytes", maxList)
	}
	c, err := ReadCatalog(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCutOff, err)
	}
	c.begun = *begun.Load()
	return c, nil
}

// progressReader tells of each part that has come.
type progressReader struct {
	io.Reader
	came func()
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.came()
	}
	return n, err
}

// kind says how the list relates to the one already held.
func (c *Catalog) kind() balance.ListKind {
	if c.Whole {
		return balance.Full
	}
	return balance.Delta
}

// ReadCatalog reads a list in discovery's form.
func ReadCatalog(text []byte) (*Catalog, error) {
	c := &Catalog{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	return c, nil
}

// Take passes a list on, and says whether it could be used.
func (d *Client) Take(c *Catalog, kind balance.ListKind) (taken bool) {
	if kind == balance.Delta && c.Seq < d.seq.Load() {
		// Another service, or the same one started anew: it counts its versions from elsewhere, and what
		// it calls changes may not be all that has changed for us.
		d.seq.Store(-1)
		return false
	}
	list, addresses, odd := c.entries(d.zones)
	if odd != nil {
		d.log.Warn("server list: some entries make no sense", "error", odd)
	}
	d.logNews(kind, c.Seq, list)
	d.seq.Store(c.Seq)
	d.update(kind, list, addresses)
	return true
}

// Seq is the version of the list that is held; -1 for none.
func (d *Client) Seq() int64 { return d.seq.Load() }

// Resume goes on from a version that another process has taken in.
func (d *Client) Resume(seq int64) { d.seq.Store(seq) }

// SetOptions changes the options; they hold from the next call on.
func (d *Client) SetOptions(o Options) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.options = o
}

// CloseIdle ends the connections that no call uses; it is for the end of a proxy.
func (d *Client) CloseIdle() {
	d.mu.Lock()
	d.move.cancel()
	d.mu.Unlock()
	d.client.CloseIdleConnections()
}
