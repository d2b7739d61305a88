package host

import (
	"container/heap"
	"sync"
	"time"
)

// timers calls back at given times. One runtime timer serves all of them, and timers that are due together are fired
// together. A separate runtime timer for each would cost an allocation, and a goroutine when it fires, several times per
// request, although nearly all timers fire long after their request is over.
//
// A call may be up to timerResolution late. The balancer needs no finer resolution.
type timers struct {
	now  func() time.Duration
	fire func(now time.Duration, token uint64) // called without mu

	mu      sync.Mutex
	queue   timerQueue
	timer   *time.Timer
	armed   time.Duration // when the runtime timer fires; 0 if it is not set
	stopped bool
}

// timerResolution is the minimum delay of the runtime timer.
const timerResolution = time.Millisecond

type dueTimer struct {
	at    time.Duration
	token uint64
}

func newTimers(now func() time.Duration, fire func(time.Duration, uint64)) *timers {
	return &timers{now: now, fire: fire}
}

// set schedules one call after a delay.
func (t *timers) set(delay time.Duration, token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	heap.Push(&t.queue, dueTimer{t.now() + delay, token})
	t.arm()
}

// arm sets the runtime timer for the earliest call; t.mu must be held.
func (t *timers) arm() {
	if len(t.queue) == 0 {
		return
	}
	at := t.queue[0].at
	if t.armed != 0 && t.armed <= at+timerResolution {
		return // already set for early enough
	}
	now := t.now()
	wait := max(at-now, timerResolution)
	t.armed = now + wait
	if t.timer == nil {
		t.timer = time.AfterFunc(wait, t.fireDue)
	} else {
		t.timer.Reset(wait)
	}
}

// fireDue makes the calls that are due, then sets the runtime timer again.
func (t *timers) fireDue() {
	t.mu.Lock()
	var due []uint64
	now := t.now()
	for len(t.queue) > 0 && t.queue[0].at <= now && !t.stopped {
		due = append(due, heap.Pop(&t.queue).(dueTimer).token)
	}
	t.armed = 0
	t.mu.Unlock()
	for _, token := range due {
		t.fire(t.now(), token)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.arm()
	}
}

// stop discards all pending calls.
func (t *timers) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped, t.queue = true, nil
	if t.timer != nil {
		t.timer.Stop()
	}
}

// timerQueue is a heap ordered by time, then by token.
type timerQueue []dueTimer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].token < q[j].token
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(dueTimer)) }
func (q *timerQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
