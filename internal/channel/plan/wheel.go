package plan

import (
	"time"

	"brasswell/internal/linked"
)

// wheel is a hashed timing wheel (Varghese and Lauck, 1987): one list for each step of time, in a ring. Setting and
// removing a time costs the same however many there are, and no time has a runtime timer of its own. What lies further
// off than the ring is long comes out early and is set again; what is due comes out up to a step late.
type wheel struct {
	slots   [wheelSlots]linked.List[entry, *entry]
	step    int64 // the step that is emptied now
	started bool  // step holds
}

const (
	wheelStep  = 100 * time.Millisecond
	wheelSlots = 1024
)

// entry is what the wheel holds of a channel.
type entry struct {
	linked.Links[entry]
	channel *channel
	slot    int
	queued  bool
}

// put sets or moves an entry's time.
func (w *wheel) put(e *entry, now, at time.Duration) {
	w.start(now)
	w.remove(e)
	// Rounded up: no entry comes out before its time, but for the ring's length.
	step := int64((at + wheelStep - 1) / wheelStep)
	step = min(max(step, w.step), w.step+wheelSlots-1)
	e.slot, e.queued = int(step%wheelSlots), true
	w.slots[e.slot].Push(e)
}

func (w *wheel) start(now time.Duration) {
	if !w.started {
		w.step, w.started = int64(now/wheelStep), true
	}
}

// remove takes an entry out; one that is not in is left as it is.
func (w *wheel) remove(e *entry) {
	if e.queued {
		w.slots[e.slot].Remove(e)
		e.queued = false
	}
}

// due takes out one entry whose time has come, or returns nil. Entries set meanwhile for now or earlier are due, too, so
// who sets them again must set them later.
func (w *wheel) due(now time.Duration) *entry {
	w.start(now)
	for last := int64(now / wheelStep); ; w.step++ {
		if e := w.slots[w.step%wheelSlots].Front(); e != nil {
			w.remove(e)
			return e
		}
		if w.step >= last {
			return nil
		}
	}
}
