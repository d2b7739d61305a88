package model

import (
	"container/heap"
	"time"
)

// event is an action at a point in time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (q eventHeap) Len() int { return len(q) }
func (q eventHeap) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventHeap) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventHeap) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// clock is a virtual clock with a queue of events.
type clock struct {
	now       time.Duration
	queue     eventHeap
	scheduled int // number of events so far
}

// at schedules do at a time, or now if that time is past, and returns the event's number.
func (c *clock) at(t time.Duration, do func()) int {
	c.scheduled++
	heap.Push(&c.queue, event{max(t, c.now), c.scheduled, do})
	return c.scheduled
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// next runs the next event, and reports whether there was one.
func (c *clock) next() bool {
	if len(c.queue) == 0 {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = max(c.now, e.at)
	e.do()
	return true
}
