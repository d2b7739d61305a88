package discovery

import (
	"time"

	"brasswell/internal/figures"
)

const (
	// staleAfter is for how long a list may be acted on that discovery has given no whole answer about, while it can be reached. What it
	// had counts as told after toldWithin; of the grace behind that, 500 ms, some is left for a process that is held up between this
	// decision and its write.
	staleAfter = toldWithin + 300*time.Millisecond
	// staleMost is for how long after that the list is not acted on. A discovery that is there and answers nobody for longer has failed
	// as a service, and a fleet that serves by an old list is better than one that serves nobody.
	staleMost = 20 * time.Second
	// promptRefusal is within what time a refusal shows that discovery is there: one that is down refuses calls as well, but only after
	// it has let them wait.
	promptRefusal = 250 * time.Millisecond
)

// freshness decides whether the list that is held may still be acted on. It goes by signs of life: an answer that has begun, or a prompt
// refusal. Silence and refused connections may be those of a discovery that is down, or of a network that is cut; what changes in such a
// time counts as told only from the return on, and an outage of discovery is no reason not to serve. A refusal after a wait is a sign of
// life too, unless a watch has ended before it, as watches do when discovery goes down, or nothing was ever answered. It has no clock.
type freshness struct {
	current  time.Time // the list was up to date then, or discovery could not be reached until then
	alive    bool      // there was a sign of life since
	down     bool      // discovery has shown signs that it is down, and none of life since
	answered bool      // once at least
	waited   bool      // a call was turned away after a wait, before any other sign of life
}

// confirmed notes that discovery has told all that there was.
func (f *freshness) confirmed(at time.Time) {
	*f = freshness{current: at, answered: true}
}

// signOfLife notes that discovery was there and told nothing. It may have been down until then where all that was met before were signs of
// that.
func (f *freshness) signOfLife(at time.Time) {
	if f.down || f.waited {
		f.current = at
	}
	f.alive, f.down, f.waited = true, false, false
}

// turnedAway notes a refusal. watching says that the call went on with a watch: only a discovery that goes down ends those.
func (f *freshness) turnedAway(begun, ended time.Time, watching bool) {
	switch {
	case ended.Sub(begun) <= promptRefusal:
		f.signOfLife(ended)
	case watching:
		f.down = true
	case f.down || f.alive:
	case f.answered:
		f.alive = true
	default:
		f.waited = true
	}
}

// unreachable notes that no connection came up, or that a watch was reset.
func (f *freshness) unreachable() { f.down = true }

// stale says whether the list may be out of date although discovery was there to tell so.
func (f *freshness) stale(now time.Time) bool {
	age := now.Sub(f.current)
	return !f.down && f.alive && age >= staleAfter && age < staleAfter+staleMost
}

// Standing is how far the list that is held can be relied on.
type Standing string

// The standings.
const (
	Confirmed   Standing = "confirmed"   // discovery gave a whole answer recently enough
	Unconfirmed Standing = "unconfirmed" // it did not, and the list is acted on since discovery looks down
	Stale       Standing = "stale"       // it did not although it was there: the list is not acted on
)

// standing is that of the list; mu is held.
func (d *Client) standing(now time.Time) Standing {
	switch {
	case d.freshness.stale(now):
		return Stale
	case now.Sub(d.confirmed) >= staleAfter:
		return Unconfirmed
	}
	return Confirmed
}

// Fresh says whether requests may be sent by the list that is held.
func (d *Client) Fresh() bool {
	d.mu.Lock()
	now := time.Now()
	standing, before := d.standing(now), d.stood
	d.stood = standing
	age, calls := now.Sub(d.confirmed), d.failedCalls()
	d.mu.Unlock()
	if standing != before {
		d.logStanding(before, standing, age, calls)
	}
	return standing != Stale
}

// failedCalls counts the calls without a whole answer, by their ends; mu is held.
func (d *Client) failedCalls() map[CallEnd]int64 {
	failed := map[CallEnd]int64{}
	for end, n := range d.calls {
		if end != Answered && end != Superseded && end != Moved {
			failed[end] = n
		}
	}
	return failed
}

// AppendFigures writes the age of the list, whether it may be acted on, and the calls that have ended by how they did.
func (d *Client) AppendFigures(text []byte) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	stale := int64(0)
	unconfirmed := int64(0)
	switch d.standing(now) {
	case Stale:
		stale = 1
	case Unconfirmed:
		unconfirmed = 1
	}
	text = figures.AppendLine(text, "list_age_ms", now.Sub(d.confirmed).Milliseconds(), 'g')
	text = figures.AppendLine(text, "list_stale", stale, 'g')
	text = figures.AppendLine(text, "list_unconfirmed", unconfirmed, 'g')
	for _, end := range callEnds {
		text = figures.AppendLine(text, "list_calls."+string(end), d.calls[end], 'c')
	}
	return text
}
