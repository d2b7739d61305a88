package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lemonflow"
	"lemonflow/internal/settings"
)

const (
	// watchHold is how long a watch asks discovery to wait for news. It is long because discovery serves few
	// calls and the whole fleet watches at once.
	watchHold = 20 * time.Second
	// watchSlack on top of that is when a call counts as silent: a machine that is cut off says nothing.
	watchSlack = 3500 * time.Millisecond
	// pushRetry is the pause between calls to an agent that does not answer.
	pushRetry = 250 * time.Millisecond
	// maxList bounds an answer; a fleet of thousands stays below.
	maxList = 8 << 20
)

// catalog is discovery's form of a server list, whole or the changes since some version.
type catalog struct {
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

var states = map[string]lemonflow.State{
	"up": lemonflow.InService, "draining": lemonflow.Draining, "removed": lemonflow.Gone,
}

// entries turns a list into the balancer's entries and the addresses to dial. An entry that makes no sense
// voids the whole list: half of one would take the other servers for gone.
func (c *catalog) entries(zones map[string]int) ([]lemonflow.Entry, map[string]string, error) {
	list := make([]lemonflow.Entry, 0, len(c.Hosts))
	addresses := make(map[string]string, len(c.Hosts))
	at := make(map[string]int, len(c.Hosts))
	for _, h := range c.Hosts {
		state, known := states[h.Health]
		zone, knownZone := zones[h.Site]
		switch {
		case h.Host == "":
			return nil, nil, errors.New("entry without a host")
		case !known:
			return nil, nil, fmt.Errorf("%s: unknown health %q", h.Host, h.Health)
		case !knownZone && state != lemonflow.Gone:
			return nil, nil, fmt.Errorf("%s: unknown site %q", h.Host, h.Site)
		case state == lemonflow.InService:
			if _, _, err := net.SplitHostPort(h.Dial); err != nil {
				return nil, nil, fmt.Errorf("%s: dial: %w", h.Host, err)
			}
		}
		e := lemonflow.Entry{ID: h.Host, Zone: zone, Cell: h.Block, State: state, Boot: settings.Millis(h.BornMS)}
		addresses[h.Host] = h.Dial
		if n, twice := at[h.Host]; twice {
			list[n] = e // the later entry counts
			continue
		}
		at[h.Host] = len(list)
		list = append(list, e)
	}
	return list, addresses, nil
}

// discovery follows the server list.
type discovery struct {
	url    string
	zones  map[string]int
	client *http.Client
	log    *slog.Logger
	update func(lemonflow.ListKind, []lemonflow.Entry, map[string]string)

	watching atomic.Bool
	seq      atomic.Int64 // the version held; -1 for none
}

func newDiscovery(address string, zones []string, log *slog.Logger) *discovery {
	d := &discovery{url: "http://" + address + "/catalog/members", zones: map[string]int{}, log: log}
	d.seq.Store(-1)
	for n, zone := range zones {
		d.zones[zone] = n
	}
	d.client = &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    2, // beside the one in use, one that is just being closed
		MaxIdleConns:       1,
	}}
	return d
}

// watch follows the changes until a call fails. The next call goes out as soon as the last is answered, so
// that what changes in between counts as told by the watch.
func (d *discovery) watch(ctx context.Context) {
	if !d.watching.CompareAndSwap(false, true) {
		return
	}
	var err error
	for err == nil {
		err = d.call(ctx)
	}
	d.watching.Store(false)
	if ctx.Err() == nil {
		d.log.Warn("watch on the server list broke", "error", err)
		d.update(lemonflow.ListFailed, nil, nil)
	}
}

// follow keeps a watch up where lists are pushed: the balancer does not ask for one there.
func (d *discovery) follow(ctx context.Context) {
	for ctx.Err() == nil {
		d.watch(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pushRetry):
		}
	}
}

func (d *discovery) call(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchHold+watchSlack)
	defer cancel()
	url := d.url // answers at once with the whole list
	if seq := d.seq.Load(); seq >= 0 {
		url += fmt.Sprintf("?from=%d&hold_ms=%d", seq, watchHold.Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	switch {
	case err != nil:
		return fmt.Errorf("discovery's answer: %w", err)
	case len(text) > maxList:
		return fmt.Errorf("discovery's answer is over %d bytes", maxList)
	}
	c, err := readCatalog(text)
	if err != nil {
		return err
	}
	kind := lemonflow.Delta
	if c.Whole {
		kind = lemonflow.Full
	}
	return d.take(c, kind)
}

func readCatalog(text []byte) (*catalog, error) {
	c := &catalog{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	return c, nil
}

// take passes a list on.
func (d *discovery) take(c *catalog, kind lemonflow.ListKind) error {
	list, addresses, err := c.entries(d.zones)
	if err != nil {
		return fmt.Errorf("server list: %w", err)
	}
	d.seq.Store(c.Seq)
	if kind != lemonflow.Delta || len(list) > 0 {
		d.update(kind, list, addresses)
	}
	return nil
}
