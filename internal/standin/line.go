package standin

import "time"

// Line is how discovery works off calls: one by one, each new call taking Each. A call whose caller has given it up keeps its place. One
// that would wait for longer than Longest is refused at once, which takes Refusal. A call that goes on with a watch waits in no line.
type Line struct {
	Each, Longest, Refusal time.Duration
}

// line is the state of a Line.
type line struct {
	Line
	refused int
	free    time.Time // when all that is in it will have been worked off
}

// enter takes a call in, and says how long it waits; ok is false where it is refused.
func (l *line) enter(now time.Time) (wait time.Duration, ok bool) {
	if l.Each == 0 {
		return 0, true
	}
	if l.free.Before(now) {
		l.free = now
	}
	if l.free.Sub(now) > l.Longest {
		l.refused++
		l.free = l.free.Add(l.Refusal)
		return 0, false
	}
	l.free = l.free.Add(l.Each)
	return l.free.Sub(now), true
}

// SetLine has calls wait in a line from now on.
func (d *Discovery) SetLine(l Line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.line = line{Line: l}
}

// enterLine is line.enter for a client's call.
func (d *Discovery) enterLine(who client) (wait time.Duration, ok bool) {
	if d.goesOn(who) {
		return 0, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.line.enter(time.Now())
}

// Refused is how many calls the line had no room for.
func (d *Discovery) Refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.line.refused
}
