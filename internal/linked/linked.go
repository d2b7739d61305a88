// Package linked is lists that run through their elements: every change costs the same however many there are, and
// allocates nothing.
package linked

import "iter"

// Links is what an element embeds to be in one list at a time.
type Links[T any] struct{ older, newer *T }

func (l *Links[T]) links() *Links[T] { return l }

// Element is a pointer to what embeds Links.
type Element[T any] interface {
	*T
	links() *Links[T]
}

// List holds elements in the order in which they were pushed. The zero value is an empty one. It is not safe for
// concurrent use.
type List[T any, E Element[T]] struct{ front, back *T }

// Front is the element that was pushed first, or nil.
func (l *List[T, E]) Front() *T { return l.front }

// Back is the element that was pushed last, or nil.
func (l *List[T, E]) Back() *T { return l.back }

// Older is the element pushed before one in the list, or nil.
func (l *List[T, E]) Older(e *T) *T { return E(e).links().older }

// Newer is the element pushed after one in the list, or nil.
func (l *List[T, E]) Newer(e *T) *T { return E(e).links().newer }

// Push adds an element that is in no list.
func (l *List[T, E]) Push(e *T) {
	E(e).links().older, E(e).links().newer = l.back, nil
	if l.back == nil {
		l.front = e
	} else {
		E(l.back).links().newer = e
	}
	l.back = e
}

// Remove takes an element out of the list that it is in.
func (l *List[T, E]) Remove(e *T) {
	own := E(e).links()
	if own.older == nil {
		l.front = own.newer
	} else {
		E(own.older).links().newer = own.newer
	}
	if own.newer == nil {
		l.back = own.older
	} else {
		E(own.newer).links().older = own.older
	}
	*own = Links[T]{}
}

// All goes through the elements, the oldest first. The list must not change meanwhile.
func (l *List[T, E]) All() iter.Seq[*T] {
	return func(yield func(*T) bool) {
		for e := l.front; e != nil; e = l.Newer(e) {
			if !yield(e) {
				return
			}
		}
	}
}
