package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// explainBefore is how far before the first broken rule its explanation begins.
	explainBefore = 10 * time.Second
	// mostExplained bounds its lines: those that tell of rules and notices, and the others.
	mostExplained = 200
)

// Explain tells the first broken rules, which changes counted as told when and why, when processes did not run, and what came before them: what was done, and what the processes said of discovery and the list.
func (r *Result) Explain() (lines []string) {
	for _, c := range r.Report.Cases {
		lines = append(lines, fmt.Sprintf("%8.3f  rule %q: %s", c.At.Seconds(), c.Name, c.Text))
	}
	lines = append(lines, r.Errors...)
	if len(lines) > mostExplained/2 {
		lines = lines[:mostExplained/2]
	}
	for _, l := range r.Timeline {
		if strings.HasPrefix(l.Text, toldPrefix) && len(lines) < mostExplained {
			lines = append(lines, l.String())
		}
	}
	until := r.Plan.Length
	if len(r.Report.Cases) > 0 {
		until = r.Report.Cases[0].At + time.Second
	}
	lines = append(lines, r.explainHoldUps(until)...)
	most := len(lines) + mostExplained
	for _, l := range r.Timeline {
		if l.At < until-explainBefore || l.At > until || len(lines) >= most || perRequest(l.Text) {
			continue
		}
		lines = append(lines, l.String())
	}
	return lines
}

// explainHoldUps tells who did not run when, up to a moment; none did so long enough to count where there is no line.
func (r *Result) explainHoldUps(until time.Duration) (lines []string) {
	for _, h := range r.HeldUp {
		if h.At <= until && len(lines) < mostExplained {
			lines = append(lines, h.String())
		}
	}
	return lines
}

func (l Line) String() string { return fmt.Sprintf("%8.3f  %-10s %s", l.At.Seconds(), l.Who, l.Text) }

// perRequest says whether a line tells of one request alone.
func perRequest(line string) bool {
	return strings.Contains(line, `"msg":"attempt"`) || strings.Contains(line, `"msg":"unserved"`)
}
