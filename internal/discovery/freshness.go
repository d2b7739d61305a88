package discovery

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// staleAfter is for how long a list may be acted on that discovery has answered nothing about, while it turns calls away: what it had
	// counts as told after toldWithin, and the grace behind that has to cover the time from its answer to this process.
	staleAfter = toldWithin + 100*time.Millisecond
	// staleMost is for how long after that the list is not acted on. A discovery that turns all calls away for longer has itself failed,
	// and a fleet that serves on an old list is better than one that serves nobody.
	staleMost = 10 * time.Second
	// answerTime is left for an answer on its way.
	answerTime = 100 * time.Millisecond
)

// freshness knows whether the list that is held may be out of date although discovery could be reached. All methods may be called at
// any time.
type freshness struct {
	mu      sync.Mutex
	current time.Time // the list was up to date then, or discovery could not be reached
	reached time.Time // when discovery last ended a call without telling what has changed
	stale   bool      // what fresh has said last
}

// answered notes that discovery has told all that there was at some time.
func (f *freshness) answered(at time.Time) { f.setCurrent(at) }

// unreachable notes that discovery could not be reached at some time: what changes meanwhile counts as told from its return on.
func (f *freshness) unreachable(at time.Time) { f.setCurrent(at) }

func (f *freshness) setCurrent(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.current) {
		f.current = at
	}
}

// turnedAway notes that discovery was reached at some time and told nothing.
func (f *freshness) turnedAway(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.reached) {
		f.reached = at
	}
}

// fresh says whether the list may be acted on now, and whether that has changed since it was last asked.
func (f *freshness) fresh(now time.Time) (ok, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.current)
	stale := f.reached.After(f.current) && age >= staleAfter && age < staleAfter+staleMost
	changed = stale != f.stale
	f.stale = stale
	return !stale, changed
}

// left is for how long a call may wait for news so that its answer, if it is that there is none, comes before the list is stale.
func (f *freshness) left(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reached.After(f.current) {
		return math.MaxInt64
	}
	return max(0, staleAfter-answerTime-now.Sub(f.current))
}

// Fresh says whether requests may be sent by the list that is held. They may not for some time after discovery, which is there, has
// turned away all calls for so long that a change counts as told.
func (d *Client) Fresh() bool {
	ok, changed := d.freshness.fresh(time.Now())
	switch {
	case changed && ok:
		d.log.Info("the server list is acted on again")
	case changed:
		d.log.Warn("the server list may be out of date, as discovery turns calls away; nothing is sent until it answers", "after", staleAfter, "at_most", staleMost)
	}
	return ok
}

// outstanding is the calls of one round, by their numbers.
type outstanding struct {
	begun []time.Time
	ended []bool // by what discovery or the network did, not by being given up
}

// begin notes a further call, and returns its number.
func (o *outstanding) begin(at time.Time) int {
	o.begun = append(o.begun, at)
	o.ended = append(o.ended, false)
	return len(o.begun) - 1
}

// silentBefore is when the last call before another one began that has not ended; ok is false where there is none.
func (o *outstanding) silentBefore(call int) (begun time.Time, ok bool) {
	for n := call - 1; n >= 0; n-- {
		if !o.ended[n] {
			return o.begun[n], true
		}
	}
	return time.Time{}, false
}

// note takes in how a call ended, for whether the list is fresh. A call that stays silent while a later one is turned away has not
// reached discovery: one that waits there for its turn is turned away for a later one of the same proxy.
func (d *Client) note(o *outstanding, a answer) {
	var timeout net.Error
	switch {
	case errors.Is(a.err, context.Canceled):
		return // given up here
	case a.err == nil:
		d.freshness.answered(a.at)
	case errors.Is(a.err, errTurnedAway), errors.Is(a.err, errCutOff):
		if begun, silent := o.silentBefore(a.call); silent {
			d.freshness.unreachable(begun)
		}
		d.freshness.turnedAway(a.at)
	case errors.Is(a.err, syscall.ECONNREFUSED):
		d.freshness.unreachable(a.at)
	case errors.As(a.err, &timeout) && timeout.Timeout():
		d.freshness.unreachable(o.begun[a.call])
	}
	o.ended[a.call] = true
}
