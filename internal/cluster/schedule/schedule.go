// Package schedule holds the future events of a simulation in order of time. Events that are due at the same time are
// returned in the order in which they were added. It has no clock: the simulated time is the time of the event that was
// popped last.
package schedule

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of events by due time. The zero value is an empty queue. It is not safe for concurrent use.
type Queue[T any] struct {
	entries entries[T]
	pushed  uint64
}

// Push adds an event that is due at the given time.
func (q *Queue[T]) Push(at time.Duration, event T) {
	q.pushed++
	heap.Push(&q.entries, entry[T]{at, q.pushed, event})
}

// Pop removes and returns the next event if it is due at the given time or earlier.
func (q *Queue[T]) Pop(by time.Duration) (at time.Duration, event T, due bool) {
	if len(q.entries) == 0 || q.entries[0].at > by {
		return 0, event, false
	}
	e := heap.Pop(&q.entries).(entry[T])
	return e.at, e.event, true
}

type entry[T any] struct {
	at    time.Duration
	seq   uint64
	event T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = entry[T]{} // releases the event for garbage collection
	*e = (*e)[:len(*e)-1]
	return last
}
