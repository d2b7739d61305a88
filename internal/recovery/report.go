package recovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"brasswell/internal/cluster/revival"
	"brasswell/internal/figures"
	"brasswell/internal/state"
)

// ItemTrust says how one item of saved state is used.
type ItemTrust struct {
	Item  string `json:"what"`
	Trust string `json:"how"`
}

// Report is the state of the recovery, as shown to operators.
type Report struct {
	Name        string             `json:"name"`
	Step        string             `json:"step"`
	Kind        string             `json:"kind"`
	Why         string             `json:"why"`
	ForS        float64            `json:"for_s"`
	UntilS      float64            `json:"until_s"` // limit of this step; 0 if it waits for nothing
	Capacity    float64            `json:"level"`   // estimated current capacity of the backends, 1 when all are warm
	Shares      map[string]float64 `json:"shares"`  // admitted share of each class
	JustStarted int                `json:"young"`
	Running     int                `json:"old"`
	Age         string             `json:"age"`
	Bans        int                `json:"bans"` // number of bans found on disk
	Trusted     []ItemTrust        `json:"trusted,omitempty"`
	Disk        state.Stats        `json:"disk"`
	Problems    []string           `json:"trouble,omitempty"`
}

// ErrNoAnswer is returned by Status if the process shuts down or the context ends first.
var ErrNoAnswer = errors.New("recovery: no answer")

// Status returns a Report as JSON.
func (n *Node) Status(ctx context.Context) ([]byte, error) {
	p := n.plan.Load()
	r := Report{Name: n.config.Name, Step: revival.Done.String(), Kind: "upgrade", Shares: map[string]float64{}, Age: ageText(n.saved.Learned, n.age), Bans: len(n.saved.Bans), Problems: n.saved.Problems}
	for i, name := range n.config.Classes {
		r.Shares[name] = p.shares[i]
	}
	if n.core != nil {
		got := make(chan revival.Status, 1)
		select {
		case n.events <- func(c *revival.Core, now time.Duration) { got <- c.Status(now) }:
		case <-ctx.Done():
			return nil, ErrNoAnswer
		}
		select {
		case s := <-got:
			r.Step, r.Kind, r.Why, r.ForS, r.UntilS = s.Step.String(), s.Kind.String(), s.Why, s.InStep.Seconds(), s.MaxRemaining.Seconds()
			r.Capacity, r.JustStarted, r.Running = s.Capacity, s.JustStarted, s.Running
		case <-ctx.Done():
			return nil, ErrNoAnswer
		case <-n.ctx.Done():
			return nil, ErrNoAnswer
		}
	}
	n.mu.Lock()
	r.Trusted = n.itemTrust
	w := n.writer
	n.mu.Unlock()
	if w == nil {
		r.Problems = append(slices.Clone(r.Problems), "the folder is not open: operator bans will not be persistent")
	} else if r.Disk = w.Stats(); r.Disk.Problem != "" {
		r.Problems = append(slices.Clone(r.Problems), "the folder cannot be written: "+r.Disk.Problem)
	}
	return json.Marshal(r)
}

// ReadReport parses a report as written by the console.
func ReadReport(text string) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal([]byte(text), r); err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	return r, nil
}

// Text formats the report for operators.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s (%s), for %.1f s", r.Name, r.Step, r.Kind, r.ForS)
	if r.UntilS > 0 {
		fmt.Fprintf(&b, ", %.1f s more at most", r.UntilS)
	}
	fmt.Fprintf(&b, "\nwhy: %s\n", r.Why)
	for _, t := range r.Problems {
		fmt.Fprintf(&b, "TROUBLE: %s\n", t)
	}
	fmt.Fprintf(&b, "other proxies: %d have just started, %d are running; current capacity of the backends: %.0f%%\n", r.JustStarted, r.Running, 100*min(r.Capacity, 1))
	names := make([]string, 0, len(r.Shares))
	for name := range r.Shares {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "  %-20s %3.0f%% admitted\n", name, 100*r.Shares[name])
	}
	fmt.Fprintf(&b, "saved state: %s, %d backends taken out by the operator\n", r.Age, r.Bans)
	for _, t := range r.Trusted {
		fmt.Fprintf(&b, "  %-26s %s\n", t.Item, t.Trust)
	}
	return b.String()
}

// Figures appends the metrics of the recovery to the text of the console.
func (n *Node) Figures(text []byte) []byte {
	p := n.plan.Load()
	minShare := 1.0
	for _, s := range p.shares {
		minShare = min(minShare, s)
	}
	text = figures.AppendLine(text, "recovery_least_share_percent", int64(100*minShare), 'g')
	n.mu.Lock()
	w := n.writer
	n.mu.Unlock()
	if w != nil {
		f := w.Stats()
		text = figures.AppendLine(text, "state_saves", f.Saves, 'c')
		text = figures.AppendLine(text, "state_failures", f.Failures, 'c')
	}
	return text
}
