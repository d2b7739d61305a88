// Package figures counts the outcomes of requests and writes the counts in statsd's format. It makes no decisions.
package figures

import (
	"strconv"
	"strings"
	"sync/atomic"
)

// Outcome is the outcome of a request for its caller.
type Outcome int

// The outcomes that are counted.
const (
	Served Outcome = iota
	Refused
	Failed
	numOutcomes
)

// classCounters holds the counters of one class. Many goroutines update them concurrently, mostly those of a few
// classes, so each class has a cache line of its own.
type classCounters struct {
	byOutcome [numOutcomes]atomic.Int64
	tries     atomic.Int64
	_         [32]byte
}

// Counters counts the requests of one proxy since its start. All methods are safe for concurrent use; each update is one
// atomic addition. The counters are read one by one, so two of them may differ by the requests that end meanwhile.
type Counters struct {
	names   []string
	classes []classCounters
	active  atomic.Int64
}

// NewCounters returns counters for the classes with these names. A class's number is its index.
func NewCounters(classes []string) *Counters {
	return &Counters{names: classes, classes: make([]classCounters, len(classes))}
}

// RequestStarted counts a request that is admitted. RequestEnded must follow.
func (cs *Counters) RequestStarted() { cs.active.Add(1) }

// RequestEnded counts the end of an admitted request.
func (cs *Counters) RequestEnded() { cs.active.Add(-1) }

// CountOutcome counts the single outcome of a request, whether it was admitted or rejected at the admission gate.
func (cs *Counters) CountOutcome(class int, o Outcome) { cs.classes[class].byOutcome[o].Add(1) }

// CountTry counts an attempt that was written completely to a backend.
func (cs *Counters) CountTry(class int) { cs.classes[class].tries.Add(1) }

// Active returns the number of admitted requests that have not ended.
func (cs *Counters) Active() int64 { return cs.active.Load() }

// Counts holds the counts of one class.
type Counts struct{ OK, Shed, Errors, Tries int64 }

// Class returns the counts of a class.
func (cs *Counters) Class(n int) Counts {
	c := &cs.classes[n]
	return Counts{c.byOutcome[Served].Load(), c.byOutcome[Refused].Load(), c.byOutcome[Failed].Load(), c.tries.Load()}
}

// Pool holds the sizes of the balancer's server list.
type Pool struct {
	Size    int // servers in the list
	Ejected int // of these, servers that are avoided now, by the operator or by the balancer
}

// prefix is the prefix of every figure's name.
const prefix = "edge_relay."

// separators replaces characters that have a meaning in the output format.
var separators = strings.NewReplacer(":", "_", "|", "_", "\n", "_", "\r", "_")

// AppendLine appends one figure to text: a name, a value, and statsd's type, c for a counter or g for a gauge.
func AppendLine(text []byte, name string, value int64, kind byte) []byte {
	text = append(append(text, prefix...), name...)
	text = strconv.AppendInt(append(text, ':'), value, 10)
	return append(text, '|', kind, '\n')
}

// Append appends all figures to text, one per line. It includes classes that have no requests yet.
func (cs *Counters) Append(text []byte, p Pool) []byte {
	line := func(name string, value int64, kind byte) {
		text = AppendLine(text, name, value, kind)
	}
	for n, name := range cs.names {
		c := cs.Class(n)
		name = separators.Replace(name)
		line("ok."+name, c.OK, 'c')
		line("shed."+name, c.Shed, 'c')
		line("errors."+name, c.Errors, 'c')
		line("tries."+name, c.Tries, 'c')
	}
	line("active", cs.Active(), 'g')
	line("pool_size", int64(p.Size), 'g')
	line("pool_ejected", int64(p.Ejected), 'g')
	return text
}
