package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"brasswell/internal/standin/notice"
)

// CallObserver is told what becomes of the calls to discovery; proxy is whose call it is, as in Discovery.ServeProxy. It is called by many
// goroutines at once.
type CallObserver interface {
	Called(proxy string, id notice.CallID, watch bool, wait time.Duration)
	FellSilent(proxy string, id notice.CallID)
	Answered(proxy string, id notice.CallID, list notice.List)
	Failed(proxy string, id notice.CallID)
	GivenUp(proxy string, id notice.CallID)
}

// Observe has an observer told of all calls from now on; nil for none.
func (d *Discovery) Observe(o CallObserver) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observer = o
}

// observedCall is a call that an observer is told of; observer is nil where there is none, or once the call's end has been told.
type observedCall struct {
	observer CallObserver
	proxy    string
	id       notice.CallID
	conn     *gateConn // nil at an address that has no gate
}

// connKey is the key of a call's connection in its context.
type connKey struct{}

// withConn puts a connection into the context of the calls on it.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// observe tells the observer that a call begins.
func (d *Discovery) observe(who client, r *http.Request) *observedCall {
	d.mu.Lock()
	d.calls++
	c := &observedCall{observer: d.observer, proxy: who.proxy, id: d.calls}
	c.conn, _ = r.Context().Value(connKey{}).(*gateConn)
	d.mu.Unlock()
	if c.observer == nil {
		return c
	}
	query := r.URL.Query()
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	watch := query.Get("from") != ""
	if !watch {
		holdMS = 0
	}
	c.observer.Called(c.proxy, c.id, watch, time.Duration(holdMS)*time.Millisecond)
	return c
}

// ends tells of a watch that is ended so; one that falls silent goes on until its caller gives it up.
func (c *observedCall) ends(by endBy) {
	if c.observer != nil && by == watchSilent {
		c.observer.FellSilent(c.proxy, c.id)
	}
}

// answered tells that the whole answer has been written.
func (c *observedCall) answered(l hostList) {
	if c.observer == nil {
		return
	}
	c.observer.Answered(c.proxy, c.id, l.notice())
	c.observer = nil
}

// end tells how a call has ended that was not answered: its caller's context is done where it was given up, and where its connection was reset
// by discovery.
func (c *observedCall) end(caller context.Context) {
	switch {
	case c.observer == nil:
	case caller.Err() != nil && (c.conn == nil || !c.conn.isReset.Load()):
		c.observer.GivenUp(c.proxy, c.id)
	default:
		c.observer.Failed(c.proxy, c.id)
	}
	c.observer = nil
}

// notice is what the list tells of each server; entries that nobody is to be held to count as in service.
func (l hostList) notice() notice.List {
	out := notice.List{Whole: l.Whole}
	for _, h := range l.Hosts {
		out.Entries = append(out.Entries, notice.Entry{Server: h.Host, Off: h.Health != "up" && !h.lie})
	}
	return out
}

// ParseList reads a list in discovery's form, such as Discovery.Whole gives.
func ParseList(text []byte) (notice.List, error) {
	var l hostList
	if err := json.Unmarshal(text, &l); err != nil {
		return notice.List{}, fmt.Errorf("stand-in list: %w", err)
	}
	return l.notice(), nil
}
