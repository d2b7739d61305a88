package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"brasswell/internal/standin"
)

// watch shows the story as it goes: a table that is redrawn on a terminal, or a line a second elsewhere.
func watch(ctx context.Context, o Options, f *standin.Fleet, callers *standin.Callers, start time.Time) {
	step := time.Second
	if o.Live {
		step = 250 * time.Millisecond
	}
	ticks := time.NewTicker(step)
	defer ticks.Stop()
	s := &screen{out: o.Out, length: o.For, fleet: f, callers: callers, step: step, arrived: make([]int64, len(f.Backends))}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if o.Live {
			s.draw(time.Since(start))
		} else {
			s.line(time.Since(start))
		}
	}
}

type screen struct {
	out     io.Writer
	length  time.Duration
	fleet   *standin.Fleet
	callers *standin.Callers
	step    time.Duration
	before  standin.Tally
	arrived []int64
	lines   int // drawn last time
}

// phaseAt names the part of the story that is on.
func (s *screen) phaseAt(at time.Duration) string {
	share := float64(at) / float64(s.length)
	for _, p := range story() {
		if share < p.to {
			return p.name
		}
	}
	return "the last answers"
}

func (s *screen) line(at time.Duration) {
	t := s.callers.Tally()
	fmt.Fprintf(s.out, "%5.0fs  asked %4d  served %4d  refused %3d  failed %3d  late %3d  left %2d  p99 %4.0f ms  %s\n", at.Seconds(),
		t.Arrivals-s.before.Arrivals, t.Served-s.before.Served, t.Refused-s.before.Refused, t.Failed-s.before.Failed,
		t.Late-s.before.Late, t.Left-s.before.Left, s.callers.Recent(), s.phaseAt(at))
	s.before = t
}

// The control sequences of a terminal (ECMA-48): up so many lines, and clear to the end of the line.
const (
	up       = "\x1b[%dA"
	clearEnd = "\x1b[K\n"
)

func (s *screen) draw(at time.Duration) {
	var b strings.Builder
	if s.lines > 0 {
		fmt.Fprintf(&b, up, s.lines)
	}
	s.lines = 0
	row := func(format string, v ...any) {
		fmt.Fprintf(&b, format, v...)
		b.WriteString(clearEnd)
		s.lines++
	}
	t := s.callers.Tally()
	perSecond := float64(time.Second) / float64(s.step)
	row("%5.1fs of %v: %s", at.Seconds(), s.length, s.phaseAt(at))
	row("asked %d, served %d, refused %d, failed %d, late %d, left %d, p50 %.0f ms, p99 %.0f ms", t.Arrivals, t.Served, t.Refused, t.Failed, t.Late, t.Left, t.P50, t.P99)
	row("%-8s  %-12s  %8s  %7s  %7s  %s", "node", "room", "requests", "working", "waiting", "state")
	for i, n := range s.fleet.Backends {
		state := n.State()
		row("%-8s  %-12s  %6.0f/s  %7d  %7d  %s", state.ID, state.Zone, float64(state.Arrived-s.arrived[i])*perSecond,
			state.Working, state.Waiting, describe(state))
		s.arrived[i] = state.Arrived
	}
	io.WriteString(s.out, b.String())
}

func describe(n standin.BackendState) string {
	switch {
	case n.Dead:
		return "dead"
	case n.Draining:
		return "draining"
	case n.Share < 1:
		return fmt.Sprintf("cold, at %.0f%%", 100*n.Share)
	case n.Slow > 1:
		return fmt.Sprintf("%.0f times slower", n.Slow)
	}
	return "up"
}

// Print writes the summary for people.
func (s *Summary) Print(out io.Writer) {
	t := s.Tally
	fmt.Fprintf(out, "\n%.1f s, %d requests, %d tries: served %d (late %d), refused %d, failed %d, left by themselves %d; p50 %.0f ms, p99 %.0f ms; worth %.1f%%\n",
		s.Played, t.Arrivals, t.Tries, t.Served, t.Late, t.Refused, t.Failed, t.Left, t.P50, t.P99, 100*t.Earned/max(t.Offered, 1))
	if !s.Whole {
		fmt.Fprintln(out, "ended before the story was over")
	}
	for _, r := range s.Rules {
		word := "kept"
		if r.Broken > 0 {
			word = "BROKEN"
		}
		fmt.Fprintf(out, "  %-20s %-6s  %d checks, %d broken\n", r.Rule, word, r.Checks, r.Broken)
	}
	for _, c := range s.Cases {
		fmt.Fprintf(out, "    %v %s\n", c.At.Round(time.Millisecond), c.Text)
	}
	if s.HeldUp > 0 {
		fmt.Fprintf(out, "this machine was busy: the demo did not run for up to %v\n", s.HeldUp.Round(time.Millisecond))
	}
}
