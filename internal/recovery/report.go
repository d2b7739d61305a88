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

// Trusted is what became of one thing that was known before.
type ItemTrust struct {
	Item  string `json:"what"`
	Trust string `json:"how"`
}

// Report is how a proxy has come back, as operators read it.
type Report struct {
	Name        string             `json:"name"`
	Step        string             `json:"step"`
	Kind        string             `json:"kind"`
	Why         string             `json:"why"`
	ForS        float64            `json:"for_s"`
	UntilS      float64            `json:"until_s"` // at the latest; 0 where nothing is waited for
	Capacity    float64            `json:"level"`   // what the backends can do by now
	Shares      map[string]float64 `json:"shares"`  // of each class that is let in
	JustStarted int                `json:"young"`
	Running     int                `json:"old"`
	Age         string             `json:"age"`
	Bans        int                `json:"bans"` // found on disk
	Trusted     []ItemTrust        `json:"trusted,omitempty"`
	Disk        state.Stats        `json:"disk"`
	Problems    []string           `json:"trouble,omitempty"`
}

// ErrNoAnswer is that of a question to a process that ends.
var ErrNoAnswer = errors.New("recovery: no answer")

// Status says how far this proxy has come back, as JSON.
func (n *Node) Status(ctx context.Context) ([]byte, error) {
	p := n.plan.Load()
	r := Report{Name: n.config.Name, Step: revival.Done.String(), Kind: "upgrade", Shares: map[string]float64{}, Age: ageText(n.found.Learned, n.age), Bans: len(n.found.Bans), Problems: n.found.Problems}
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
	r.Trusted = n.trusted
	k := n.keeper
	n.mu.Unlock()
	if k == nil {
		r.Problems = append(slices.Clone(r.Problems), "the folder is not held: bans by hand will not last")
	} else if r.Disk = k.Stats(); r.Disk.Problem != "" {
		r.Problems = append(slices.Clone(r.Problems), "the folder cannot be written: "+r.Disk.Problem)
	}
	return json.Marshal(r)
}

// ReadReport reads a report as a console writes it.
func ReadReport(text string) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal([]byte(text), r); err != nil {
		return nil, fmt.Errorf("recovery: %w", err)
	}
	return r, nil
}

// Text is the report for people.
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
	fmt.Fprintf(&b, "others: %d have just started, %d run on; backends can do %.0f%% by now\n", r.JustStarted, r.Running, 100*min(r.Capacity, 1))
	names := make([]string, 0, len(r.Shares))
	for name := range r.Shares {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "  %-20s %3.0f%% let in\n", name, 100*r.Shares[name])
	}
	fmt.Fprintf(&b, "from before: %s, %d backends out by hand\n", r.Age, r.Bans)
	for _, t := range r.Trusted {
		fmt.Fprintf(&b, "  %-26s %s\n", t.Item, t.Trust)
	}
	return b.String()
}

// Figures appends what is counted to the console's figures.
func (n *Node) Figures(text []byte) []byte {
	p := n.plan.Load()
	least := 1.0
	for _, s := range p.shares {
		least = min(least, s)
	}
	text = figures.AppendLine(text, "recovery_least_share_percent", int64(100*least), 'g')
	n.mu.Lock()
	k := n.keeper
	n.mu.Unlock()
	if k != nil {
		f := k.Stats()
		text = figures.AppendLine(text, "state_saves", f.Saves, 'c')
		text = figures.AppendLine(text, "state_failures", f.Failures, 'c')
	}
	return text
}
