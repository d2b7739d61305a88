// Package callresult is what a measurement of the latency that proxies add to calls has given, as the file that `brasswell scale calls
// --format json` writes and `brasswell scale fit` reads. It has no I/O but for reading and writing such files.
package callresult

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"brasswell/internal/rig/scale/result"
)

// Version of the files that this program writes and reads.
const Version = 1

// Run is one measurement.
type Run struct {
	Version  int         `json:"version"`
	Settings Settings    `json:"settings"`
	Host     result.Host `json:"host"`
	// LoadBefore is the machine's load average over the minute before the run, which others' work has made.
	LoadBefore float64 `json:"load_average_before"`
	Cases      []Case  `json:"cases"`
	// Interrupted: it was ended before its time; the cases are those that were whole by then.
	Interrupted bool `json:"interrupted,omitempty"`
}

// Settings are what the run was asked for.
type Settings struct {
	Rates   []float64 `json:"rates"` // calls a second
	Depths  []int     `json:"depths"`
	Pairs   int       `json:"pairs"`
	LengthS float64   `json:"length_s"` // of the recorded part of one side of a pair
	WarmUpS float64   `json:"warm_up_s"`
	Seed    uint64    `json:"seed"` // of the arrivals, a Poisson process
}

// Case is the pairs of one rate through one number of proxies, one behind the other.
type Case struct {
	Rate  float64 `json:"rate"`
	Depth int     `json:"depth"`
	Pairs []Pair  `json:"pairs"`
}

// Pair is the same calls, straight to the backend and then through the proxies.
type Pair struct {
	Direct  Side `json:"direct"`
	Proxied Side `json:"proxied"`
	// HopCalls and HopCPUUS are by proxy, from the first that is called to the last: the calls that it served, and its processor time a
	// call in microseconds. Both include the warm-up.
	HopCalls []int64   `json:"hop_calls"`
	HopCPUUS []float64 `json:"hop_cpu_us"`
	// HopRefused and HopFailed are the calls that each proxy answered so. Older files have neither.
	HopRefused []int64 `json:"hop_refused,omitempty"`
	HopFailed  []int64 `json:"hop_failed,omitempty"`
}

// Side is one run of calls. Times are in milliseconds, of the calls after the warm-up, from the moment at which a call was to be sent.
type Side struct {
	Sent     int64   `json:"sent"` // with the warm-up
	Answered int64   `json:"answered"`
	Recorded int64   `json:"recorded"`
	MedianMS float64 `json:"median_ms"`
	P99MS    float64 `json:"p99_ms"`
	WorstMS  float64 `json:"worst_ms"`
	// LateP99MS is by how much calls were sent after their moment, at the 99th percentile: the caller's own lateness, part of the times above.
	LateP99MS float64 `json:"late_p99_ms"`
	// FromSendP99MS is the 99th percentile of the times from a call's sending, so without the caller's lateness. Only beside P99MS is it
	// worth anything: what the caller does not send while the machine stands still is not in it. 0 in older files.
	FromSendP99MS float64 `json:"from_send_p99_ms,omitempty"`
	// Unanswered tells how the others of Sent than Answered ended; nil in older files.
	Unanswered *Unanswered `json:"unanswered,omitempty"`
}

// AddedP99MS is what the proxies have added at the 99th percentile.
func (p Pair) AddedP99MS() float64 { return p.Proxied.P99MS - p.Direct.P99MS }

// Summary is the medians of a case's pairs, and the range of the differences.
type Summary struct {
	Direct, Proxied              Times
	Added, AddedLeast, AddedMost float64 // at the 99th percentile, in milliseconds
	CPUUS                        float64 // a call and proxy
	Unanswered                   int64   // of both sides
	LateP99MS                    float64 // the largest of any side
}

// Times are those of one side, in milliseconds.
type Times struct{ Median, P99 float64 }

// Summary adds the case up. It has at least one pair.
func (c Case) Summary() Summary {
	s := Summary{
		Direct:  Times{c.median(func(p Pair) float64 { return p.Direct.MedianMS }), c.median(func(p Pair) float64 { return p.Direct.P99MS })},
		Proxied: Times{c.median(func(p Pair) float64 { return p.Proxied.MedianMS }), c.median(func(p Pair) float64 { return p.Proxied.P99MS })},
		Added:   c.median(Pair.AddedP99MS),
		CPUUS:   c.median(func(p Pair) float64 { return mean(p.HopCPUUS) }),
	}
	s.AddedLeast, s.AddedMost = math.Inf(1), math.Inf(-1)
	for _, p := range c.Pairs {
		s.AddedLeast, s.AddedMost = min(s.AddedLeast, p.AddedP99MS()), max(s.AddedMost, p.AddedP99MS())
		for _, side := range []Side{p.Direct, p.Proxied} {
			s.Unanswered += side.Sent - side.Answered
			s.LateP99MS = max(s.LateP99MS, side.LateP99MS)
		}
	}
	return s
}

// FromSendP99MS is the median of the pairs' 99th percentiles from the sending on, direct and proxied; 0 of older files.
func (c Case) FromSendP99MS() (direct, proxied float64) {
	return c.median(func(p Pair) float64 { return p.Direct.FromSendP99MS }), c.median(func(p Pair) float64 { return p.Proxied.FromSendP99MS })
}

// median of one figure of the pairs.
func (c Case) median(of func(Pair) float64) float64 {
	var values []float64
	for _, p := range c.Pairs {
		values = append(values, of(p))
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Unanswered is how many calls of all cases were not answered as they should be.
func (r *Run) Unanswered() (n int64) {
	for _, c := range r.Cases {
		n += c.Summary().Unanswered
	}
	return n
}

// Read reads a run's file, which must be one JSON value whose figures make sense.
func Read(r io.Reader) (*Run, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("calls: %w", err)
	}
	run := &Run{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(run); err != nil {
		return nil, fmt.Errorf("calls: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("calls: more than one JSON value")
	}
	if run.Version != Version {
		return nil, fmt.Errorf("calls: version %d; this program reads %d: measure it again", run.Version, Version)
	}
	if err := run.check(); err != nil {
		return nil, fmt.Errorf("calls: %w", err)
	}
	return run, nil
}

// Write writes a run's file.
func (r *Run) Write(w io.Writer) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// check says which figure makes no sense.
func (r *Run) check() error {
	if len(r.Cases) == 0 && !r.Interrupted {
		return errors.New("no cases")
	}
	for i, c := range r.Cases {
		place := fmt.Sprintf("cases[%d]", i)
		if !positive(c.Rate) || c.Depth < 1 || len(c.Pairs) == 0 {
			return fmt.Errorf("%s: rate %v, depth %d, %d pairs", place, c.Rate, c.Depth, len(c.Pairs))
		}
		for k, p := range c.Pairs {
			if err := p.check(c.Depth); err != nil {
				return fmt.Errorf("%s.pairs[%d]: %w", place, k, err)
			}
		}
	}
	return nil
}

func (p Pair) check(depth int) error {
	if len(p.HopCalls) != depth || len(p.HopCPUUS) != depth {
		return fmt.Errorf("figures of %d and %d proxies, depth %d", len(p.HopCalls), len(p.HopCPUUS), depth)
	}
	for i := range depth {
		if p.HopCalls[i] < 0 || p.HopCPUUS[i] < 0 || !finite(p.HopCPUUS[i]) {
			return fmt.Errorf("proxy %d: %d calls, %v us a call", i, p.HopCalls[i], p.HopCPUUS[i])
		}
	}
	for _, hops := range [][]int64{p.HopRefused, p.HopFailed} {
		if len(hops) != 0 && len(hops) != depth || slices.ContainsFunc(hops, func(n int64) bool { return n < 0 }) {
			return fmt.Errorf("refused and failed by proxy: %v, %v; depth %d", p.HopRefused, p.HopFailed, depth)
		}
	}
	for name, s := range map[string]Side{"direct": p.Direct, "proxied": p.Proxied} {
		if s.Sent < 1 || s.Answered < 0 || s.Answered > s.Sent || s.Recorded < 0 || s.Recorded > s.Answered {
			return fmt.Errorf("%s: sent %d, answered %d, recorded %d", name, s.Sent, s.Answered, s.Recorded)
		}
		if !finite(s.WorstMS) || s.MedianMS < 0 || s.MedianMS > s.P99MS || s.P99MS > s.WorstMS || s.LateP99MS < 0 || !finite(s.LateP99MS) {
			return fmt.Errorf("%s: median %v, 99th %v, worst %v and lateness %v ms", name, s.MedianMS, s.P99MS, s.WorstMS, s.LateP99MS)
		}
		if s.FromSendP99MS < 0 || s.FromSendP99MS > s.WorstMS {
			return fmt.Errorf("%s: 99th from the sending on %v, worst %v ms", name, s.FromSendP99MS, s.WorstMS)
		}
		if s.Unanswered == nil {
			continue
		}
		if err := s.Unanswered.check(s.Sent - s.Answered); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

func positive(v float64) bool { return finite(v) && v > 0 }
