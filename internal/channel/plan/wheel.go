package plan

import (
	"time"

	"brasswell/internal/linked"
)

// wheel is a hashed timing wheel (Varghese and Lauck, 1987): a ring with one list for each step of time. Setting and
// removing a time takes constant time, and no entry needs a runtime timer. An entry that is set further ahead than the
// ring covers is returned early, and has to be set again. A due entry is returned up to one step late.
type wheel struct {
	slots   [wheelSlots]linked.List[entry, *entry]
	step    int64 // the step that is being emptied
	started bool  // step is valid
}

const (
	wheelStep  = 100 * time.Millisecond
	wheelSlots = 1024
)

// entry is the element of the wheel for one channel.
type entry struct {
	linked.Links[entry]
	channel *channel
	slot    int  // in wheel.slots, if queued
	queued  bool // the entry is in the wheel
}

// put sets or changes the time of an entry.
func (w *wheel) put(e *entry, now, at time.Duration) {
	w.start(now)
	w.remove(e)
	// The step is rounded up, so that only entries beyond the length of the ring are returned early.
	step := int64((at + wheelStep - 1) / wheelStep)
	step = min(max(step, w.step), w.step+wheelSlots-1)
	e.slot, e.queued = int(step%wheelSlots), true
	w.slots[e.slot].Push(e)
}

// start sets the wheel to the current time at its first use.
func (w *wheel) start(now time.Duration) {
	if !w.started {
		w.step, w.started = int64(now/wheelStep), true
	}
}

// remove removes an entry if it is in the wheel.
func (w *wheel) remove(e *entry) {
	if e.queued {
		w.slots[e.slot].Remove(e)
		e.queued = false
	}
}

// due removes and returns one entry whose time has come, or returns nil. Entries that are set meanwhile to now or earlier
// are due, too, so the caller must set an entry that it got to a later time.
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
