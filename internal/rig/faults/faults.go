// Package faults decides what becomes of the bytes between two processes: which are lost, late, doubled, out of their
// order, bent or cut off. It has no I/O and no clock; equal seeds, conditions and traffic give equal decisions. The rig's
// switchboard carries them out on real sockets, and the model of a fleet on its own clock.
package faults

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Path is the way from one process to another, by their names; the way back is another path.
type Path struct{ From, To string }

// Condition is what is wrong with a path. The zero value is a sound one. Shares are from 0 to 1.
type Condition struct {
	Cut     bool
	Loss    float64       // share of datagrams
	Double  float64       // share that comes twice
	Reorder float64       // share that comes late, behind others
	Bend    float64       // share with one bit turned
	Delay   time.Duration // of all
	Jitter  time.Duration // at most, beside it
	Rate    float64       // bytes a second; 0 for no bound
}

// and is both conditions at once.
func (c Condition) and(d Condition) Condition {
	either := func(a, b float64) float64 { return 1 - (1-a)*(1-b) }
	rate := c.Rate
	if d.Rate > 0 && (rate == 0 || d.Rate < rate) {
		rate = d.Rate
	}
	return Condition{
		Cut: c.Cut || d.Cut, Loss: either(c.Loss, d.Loss), Double: either(c.Double, d.Double),
		Reorder: either(c.Reorder, d.Reorder), Bend: either(c.Bend, d.Bend),
		Delay: c.Delay + d.Delay, Jitter: c.Jitter + d.Jitter, Rate: rate,
	}
}

// Delivery is one copy of a datagram that arrives.
type Delivery struct {
	After time.Duration
	Bit   int // the one that is turned; -1 for none
}

const (
	// reorderDelay is how late one comes that others overtake.
	reorderDelay = 20 * time.Millisecond
	// mostBacklog bounds what waits on a slow path; what comes beyond is lost.
	mostBacklog = 500 * time.Millisecond
	// retransmit is what a lost part of a stream costs instead: the kernel sends it again after about this time.
	retransmit = 200 * time.Millisecond
)

// Layer is one fault over some paths, to be taken off again.
type Layer struct {
	paths     map[Path]bool
	condition Condition
}

// Network is the condition of all paths. It is not safe for concurrent use.
type Network struct {
	seed   uint64
	layers []*Layer
	paths  map[Path]*path
}

type path struct {
	dice *rand.Rand
	busy time.Duration // until when a slow path is at work
}

// NewNetwork returns one on which nothing is wrong.
func NewNetwork(seed uint64) *Network { return &Network{seed: seed, paths: map[Path]*path{}} }

// Add puts a condition on paths, beside what is on them already.
func (n *Network) Add(paths []Path, c Condition) *Layer {
	l := &Layer{paths: make(map[Path]bool, len(paths)), condition: c}
	for _, p := range paths {
		l.paths[p] = true
	}
	n.layers = append(n.layers, l)
	return l
}

// Remove takes a layer off.
func (n *Network) Remove(l *Layer) {
	n.layers = slices.DeleteFunc(n.layers, func(m *Layer) bool { return m == l })
}

// On is the condition of a path now.
func (n *Network) On(p Path) Condition {
	var c Condition
	for _, l := range n.layers {
		if l.paths[p] {
			c = c.and(l.condition)
		}
	}
	return c
}

// dice are a path's own: what happens on others does not change what happens here.
func (n *Network) at(p Path) *path {
	q := n.paths[p]
	if q == nil {
		h := fnv.New64a()
		h.Write([]byte(p.From + "\x00" + p.To))
		q = &path{dice: rand.New(rand.NewPCG(n.seed, h.Sum64()))}
		n.paths[p] = q
	}
	return q
}

// Datagram decides what becomes of a datagram of so many bytes: every copy that arrives.
func (n *Network) Datagram(now time.Duration, p Path, size int) []Delivery {
	c, q := n.On(p), n.at(p)
	// The same number of throws for each datagram, so that a condition that comes or goes shifts nothing behind it.
	var throws [6]float64
	for i := range throws {
		throws[i] = q.dice.Float64()
	}
	if c.Cut || throws[0] < c.Loss {
		return nil
	}
	after := c.Delay + time.Duration(throws[1]*float64(c.Jitter))
	if c.Rate > 0 {
		q.busy = max(q.busy, now)
		if q.busy-now > mostBacklog {
			return nil
		}
		q.busy += time.Duration(float64(size) / c.Rate * float64(time.Second))
		after += q.busy - now
	}
	if throws[2] < c.Reorder {
		after += reorderDelay
	}
	d := Delivery{After: after, Bit: -1}
	if throws[3] < c.Bend && size > 0 {
		d.Bit = int(throws[4] * float64(8*size))
	}
	if throws[5] < c.Double {
		return []Delivery{d, {After: after + reorderDelay/2, Bit: -1}}
	}
	return []Delivery{d}
}

// Stream decides how late a part of a stream of so many bytes arrives. While the path is cut, nothing may pass: ask again.
func (n *Network) Stream(now time.Duration, p Path, size int) (after time.Duration, open bool) {
	c, q := n.On(p), n.at(p)
	lost, jitter := q.dice.Float64(), q.dice.Float64()
	if c.Cut {
		return 0, false
	}
	after = c.Delay + time.Duration(jitter*float64(c.Jitter))
	if lost < c.Loss {
		after += retransmit
	}
	if c.Rate > 0 {
		q.busy = max(q.busy, now)
		q.busy += time.Duration(float64(size) / c.Rate * float64(time.Second))
		after += q.busy - now
	}
	return after, true
}
