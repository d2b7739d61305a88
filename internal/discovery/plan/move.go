package plan

import "time"

// Move records another address of discovery. The Follower switches to it immediately, or after a delay if the move
// follows another one closely. The held list and its version stay; changes since then are requested at the new
// address. The caller has to make sure that a watch runs. notifiedAt is the earliest time at which this process may
// have been notified.
func (f *Follower) Move(address string, notifiedAt, now time.Duration) {
	f.Moved(notifiedAt)
	if f.series.add(address, now) {
		f.switchAddress(now)
	}
}

// switchAddress switches to the new address. A watch at the old address stays open for a moment: discovery continues
// the watch of a process whose next call follows an answer immediately, but makes all processes that open another
// call beside their watch start anew, one after the other.
func (f *Follower) switchAddress(now time.Duration) {
	f.address = f.series.switchAddress(now)
	f.justAnswered = false
	if f.awaitWatch() {
		return
	}
	waiting := f.query != nil || f.pause.untilMove || f.pause.untilLingering
	f.detachQuery(now + lingerTime)
	f.emit(CloseIdleConns{})
	if f.watching && waiting {
		f.pause = pause{}
		f.startQuery(now)
	}
}

// awaitWatch makes the next call wait for the end of the watch that is open, and reports whether there is one. Where
// lists are pushed it does not wait: an agent answers immediately, and what it has counts as notified.
func (f *Follower) awaitWatch() bool {
	if f.pushed {
		return false
	}
	until := f.series.last.at + oldWatchWait
	if f.pause.untilLingering {
		f.pause.until = min(f.pause.until, until)
		return true
	}
	q := f.query
	if q == nil || !q.watchOpen() {
		return false
	}
	q.moved = true
	q.nextCallAt = min(q.nextCallAt, until)
	return true
}
