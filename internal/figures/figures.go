// Package figures counts what becomes of requests and writes the counts as operators read them. It decides nothing.
package figures

import (
	"strconv"
	"strings"
	"sync/atomic"
)

// Outcome is how a request ended for its caller.
type Outcome int

// The outcomes that are counted.
const (
	Served Outcome = iota
	Refused
	Failed
	outcomes
)

// class is the counts of one class. Classes are counted from many goroutines at once, mostly a few of them, so each
// has a cache line of its own.
type class struct {
	ended [outcomes]atomic.Int64
	tries atomic.Int64
	_     [32]byte
}

// Book is the counts of one proxy, from 0 at its start. All methods may be called at any time; each is one atomic
// addition. The counts are read one by one, so that two of them may differ by the requests that end meanwhile.
type Counters struct {
	names  []string
	class  []class
	active atomic.Int64
}

// NewBook returns a book for classes by their numbers.
func NewCounters(classes []string) *Counters {
	return &Counters{names: classes, class: make([]class, len(classes))}
}

// Taken notes a request that is taken on; Ended must follow.
func (b *Counters) RequestStarted() { b.active.Add(1) }

// Ended notes that a request which was taken on has ended.
func (b *Counters) RequestEnded() { b.active.Add(-1) }

// Count notes a request's one outcome, taken on or turned away at the door.
func (b *Counters) CountOutcome(class int, o Outcome) { b.class[class].ended[o].Add(1) }

// Try notes an attempt that has been written whole to a backend.
func (b *Counters) CountTry(class int) { b.class[class].tries.Add(1) }

// Active is how many requests are taken on and have not ended.
func (b *Counters) Active() int64 { return b.active.Load() }

// Counts is one class's counts.
type Counts struct{ OK, Shed, Errors, Tries int64 }

// Class is the counts of a class.
func (b *Counters) Class(n int) Counts {
	c := &b.class[n]
	return Counts{c.ended[Served].Load(), c.ended[Refused].Load(), c.ended[Failed].Load(), c.tries.Load()}
}

// Pool is what the balancer makes of the server list.
type Pool struct {
	Size    int // servers in the list
	Ejected int // of these, the ones that are avoided now, by hand or by choice
}

// prefix begins every figure's name.
const prefix = "edge_relay."

// separators have a meaning in the form that the figures are written in.
var separators = strings.NewReplacer(":", "_", "|", "_", "\n", "_", "\r", "_")

// AppendLine writes one figure to text: a name, a value, and whether it counts up (c) or moves (g), as statsd has it.
func AppendLine(text []byte, name string, value int64, kind byte) []byte {
	text = append(append(text, prefix...), name...)
	text = strconv.AppendInt(append(text, ':'), value, 10)
	return append(text, '|', kind, '\n')
}

// Append writes all figures to text, one a line. Classes are in it from the start.
func (b *Counters) Append(text []byte, p Pool) []byte {
	line := func(name string, value int64, kind byte) {
		text = AppendLine(text, name, value, kind)
	}
	for n, name := range b.names {
		c := b.Class(n)
		name = separators.Replace(name)
		line("ok."+name, c.OK, 'c')
		line("shed."+name, c.Shed, 'c')
		line("errors."+name, c.Errors, 'c')
		line("tries."+name, c.Tries, 'c')
	}
	line("active", b.Active(), 'g')
	line("pool_size", int64(p.Size), 'g')
	line("pool_ejected", int64(p.Ejected), 'g')
	return text
}
