package discovery

import (
	"context"
	"time"
)

const (
	// moveSettle is how long after a move to another address calls are repeated after movePause when they fail, and, until one is
	// answered, are short: all that there is to tell counts as told 4 s after the move. Who is turned away waits as long as others that
	// are: a fleet that asks again every movePause keeps discovery from answering anybody.
	moveSettle = 4 * time.Second
	moveHold   = time.Second
	movePause  = 200 * time.Millisecond
	// moveSlack on top of moveHold is when a call after a move is overdue. Discovery turns away who has waited in its line for 2 s, and
	// answers one call of a proxy at a time: a second one that is made before then gives up the place of the first.
	moveSlack = 1200 * time.Millisecond
	// moveCrowdedSlack takes the place of moveSlack once a call since the move was turned away: discovery is there, and may let a call
	// wait for up to 3 s.
	moveCrowdedSlack = 2100 * time.Millisecond
	// moveStarved is for how long after a move a proxy that has had no answer at the new address goes on asking as after a move: who has
	// waited longest does not wait for the balancer's back-off as well.
	moveStarved = 8 * time.Second
	// A move within seriesGap of the last one is of the same series. A client goes over to the first address of a series at once, and to
	// the last one seriesQuiet after it, or seriesMost after it has last gone over: each call that is given up for the next one keeps its
	// place in discovery's line, and a fleet that gives up one with each of four configurations fills that line for seconds.
	seriesGap   = 2 * time.Second
	seriesQuiet = time.Second
	seriesMost  = 2 * time.Second
)

// move is the way to another address of discovery. Who calls its methods holds the client's lock.
type move struct {
	address string        // where to go over to
	from    time.Time     // when the client has last gone over
	timer   *time.Timer   // nil where nothing is pending
	done    chan struct{} // closed once the client has gone over
}

// pending says whether the client is about to go over.
func (m *move) pending() bool { return m.timer != nil }

// cancel is for the end of a client.
func (m *move) cancel() {
	if m.timer != nil {
		m.timer.Stop()
	}
}

// Move goes over to another address, at once or behind others that follow soon. The caller sees to it that a Watch runs, for the balancer
// may be waiting for its time to ask again. The list that is held stays, and so does its version: what has changed since is asked for
// at the new address.
func (d *Client) Move(address string) {
	d.mu.Lock()
	now := time.Now()
	follows := !d.movedAt.IsZero() && now.Sub(d.movedAt) < seriesGap
	d.move.address, d.movedAt = address, now
	d.moves++
	if follows {
		d.goOverAfter(min(seriesQuiet, d.move.from.Add(seriesMost).Sub(now)))
		d.mu.Unlock()
		return
	}
	d.goOver()
	d.mu.Unlock()
	d.client.CloseIdleConnections()
}

// goOverAfter goes over after a while, in place of an earlier moment; mu is held.
func (d *Client) goOverAfter(wait time.Duration) {
	if d.move.pending() {
		d.move.timer.Stop()
	} else {
		d.move.done = make(chan struct{})
	}
	var timer *time.Timer
	timer = time.AfterFunc(max(wait, 0), func() {
		d.mu.Lock()
		current := d.move.timer == timer
		if current {
			d.goOver()
		}
		d.mu.Unlock()
		if current {
			d.client.CloseIdleConnections()
		}
	})
	d.move.timer = timer
}

// goOver ends the calls to the old address, and makes the next ones to the new one; mu is held.
func (d *Client) goOver() {
	now := time.Now()
	d.address, d.move.from = d.move.address, now
	d.unheard, d.going = true, false
	d.lease.Moved(d.now())
	if d.move.pending() {
		d.move.timer.Stop()
		d.move.timer = nil
		close(d.move.done)
	}
	d.hangUp(errMoved)
}

// awaitMove waits for a move that is pending, and says whether there was one.
func (d *Client) awaitMove(ctx context.Context) bool {
	d.mu.Lock()
	pending, done := d.move.pending(), d.move.done
	d.mu.Unlock()
	if !pending {
		return false
	}
	select {
	case <-ctx.Done():
	case <-done:
	}
	return true
}

// settling says whether discovery has moved lately.
func (d *Client) settling() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.movedAt.IsZero() {
		return false
	}
	since := time.Since(d.movedAt)
	return since < moveSettle || d.unheard && since < moveStarved
}
