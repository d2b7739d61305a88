// Package discovery follows the server list by the protocol that discovery speaks. It decides nothing.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/balance"
	"brasswell/internal/settings"
)

const (
	// plainWait bounds a call that does not hold: discovery works calls off in turn and gives up on them
	// after 3 s.
	plainWait = 3500 * time.Millisecond
	// moveSettle is how long after a move to another address all calls are short and are repeated after
	// movePause when they fail: all that there is to tell counts as told 4 s after the move.
	moveSettle = 4 * time.Second
	moveHold   = time.Second
	movePause  = 200 * time.Millisecond
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

	watching atomic.Bool
	seq      atomic.Int64 // the version held; -1 for none

	mu      sync.Mutex
	address string
	options Options
	movedAt time.Time
	hangUp  context.CancelCauseFunc // of the call that is out
}

// errCutOff is what a call ends with whose answer had begun.
var errCutOff = errors.New("discovery's answer cannot be read to its end")

// errMoved ends the call to an address that is no longer discovery's.
var errMoved = errors.New("discovery has moved")

// New returns a client that makes no call yet. update is called with each list, from one goroutine at a time; it
// takes the addresses to dial beside the entries.
func New(address string, zones []string, o Options, log *slog.Logger, update func(balance.ListKind, []balance.Entry, map[string]string)) *Client {
	d := &Client{address: address, options: o, zones: map[string]int{}, log: log, update: update, hangUp: func(error) {}}
	d.seq.Store(-1)
	for n, zone := range zones {
		d.zones[zone] = n
	}
	d.client = &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        2, // beside the one in use, one that is just being closed
		MaxIdleConns:           1,
		MaxResponseHeaderBytes: maxHead,
	}}
	return d
}

// Move goes over to another address. The caller sees to it that a Watch runs, for the balancer may be waiting for
// its time to ask again. The list that is held stays, and so does its version: what has changed
// since is asked for at the new address.
func (d *Client) Move(address string) {
	d.mu.Lock()
	d.address, d.movedAt = address, time.Now()
	d.hangUp(errMoved)
	d.mu.Unlock()
	d.client.CloseIdleConnections()
}

// settling says whether discovery has moved lately.
func (d *Client) settling() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.movedAt.IsZero() && time.Since(d.movedAt) < moveSettle
}

// Watch follows the changes until a call fails. The next call goes out as soon as the last is answered, so
// that what changes in between counts as told by the watch. A call that stayed silent, or whose answer was cut off, is
// repeated once on a new connection: the old one may lead to a machine that was cut off meanwhile, and what the answer
// should have told counts as told soon, if it does not already. Where that befalls many at once discovery is asked by all
// of them at once; who is turned away then waits as long as the balancer says.
func (d *Client) Watch(ctx context.Context) {
	if !d.watching.CompareAndSwap(false, true) {
		return
	}
	var err error
	for again := false; ctx.Err() == nil; {
		if err = d.call(ctx); err == nil {
			again = false
			continue
		}
		switch {
		case errors.Is(err, errMoved):
		case d.settling():
			sleep(ctx, movePause)
		case (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errCutOff)) && !again:
			again = true
			d.log.Info("a call for the server list is made again", "error", err)
		default:
			d.watching.Store(false)
			if ctx.Err() == nil {
				d.log.Warn("watch on the server list broke", "error", err)
				d.update(balance.ListFailed, nil, nil)
			}
			return
		}
	}
	d.watching.Store(false)
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

// target is the call to make next and how long it may take; ctx ends with a move.
func (d *Client) target(ctx context.Context) (url string, wait time.Duration, _ context.Context) {
	settling := d.settling()
	d.mu.Lock()
	defer d.mu.Unlock()
	options := d.options
	url, wait = "http://"+d.address+"/catalog/members", plainWait // answers at once with the whole list
	if seq := d.seq.Load(); seq >= 0 {
		hold := options.Hold
		if settling {
			hold = moveHold
		}
		url += fmt.Sprintf("?from=%d&hold_ms=%d", seq, hold.Milliseconds())
		wait = hold + options.Slack
	}
	ctx, d.hangUp = context.WithCancelCause(ctx)
	return url, wait, ctx
}

func (d *Client) call(ctx context.Context) error {
	url, wait, ctx := d.target(ctx)
	defer d.hangUpNow()
	timed, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	begun := time.Now()
	err := d.fetch(timed, url)
	if d.log.Enabled(ctx, slog.LevelDebug) {
		d.log.Debug(TraceCall, "took_ms", time.Since(begun).Milliseconds(), "seq", d.seq.Load(), "error", err)
	}
	if err != nil && context.Cause(ctx) == errMoved {
		return errMoved
	}
	return err
}

// TraceCall is the line at level debug that tells of each call that has ended; `brasswell count` reads it.
const TraceCall = "call"

// hangUpNow frees what the call that has ended holds.
func (d *Client) hangUpNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hangUp(nil)
}

func (d *Client) fetch(ctx context.Context, url string) error {
	var begun atomic.Bool // the answer; Do may return before the trace's call does
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { begun.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if begun.Load() {
			return fmt.Errorf("%w: %w", errCutOff, err)
		}
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errCutOff, err)
	case len(text) > maxList:
		return fmt.Errorf("discovery's answer is over %d bytes", maxList)
	}
	c, err := ReadCatalog(text)
	if err != nil {
		return fmt.Errorf("%w: %w", errCutOff, err)
	}
	kind := balance.Delta
	if c.Whole {
		kind = balance.Full
	}
	return d.Take(c, kind)
}

// ReadCatalog reads a list in discovery's form.
func ReadCatalog(text []byte) (*Catalog, error) {
	c := &Catalog{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	return c, nil
}

// Take passes a list on.
func (d *Client) Take(c *Catalog, kind balance.ListKind) error {
	if kind == balance.Delta && c.Seq < d.seq.Load() {
		// Another service, or the same one started anew: it counts its versions from elsewhere, and what
		// it calls changes may not be all that has changed for us.
		d.seq.Store(-1)
		return nil
	}
	list, addresses, odd := c.entries(d.zones)
	if odd != nil {
		d.log.Warn("server list: some entries make no sense", "error", odd)
	}
	d.seq.Store(c.Seq)
	d.update(kind, list, addresses)
	return nil
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
func (d *Client) CloseIdle() { d.client.CloseIdleConnections() }
