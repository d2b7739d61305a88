package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"brasswell/internal/cluster/view"
	"brasswell/internal/figures"
)

// Report is this proxy's view of its fleet, for operators.
type Report struct {
	Fleet       string        `json:"fleet"`
	Self        Member        `json:"self"`
	Settled     bool          `json:"settled"` // no member is suspect, and the digests last received match
	Digest      string        `json:"digest"`  // equal at two proxies with the same view
	HealthScore int           `json:"doubt"`   // local health score; 0 is healthy
	Members     []Member      `json:"members"`
	Problems    []string      `json:"trouble,omitempty"` // problems that an operator has to solve
	Counts      []FigureCount `json:"counts"`
}

// Member is one member in a Report.
type Member struct {
	Name        string     `json:"name"`
	Address     string     `json:"address"`
	State       view.State `json:"state"`
	Incarnation uint64     `json:"incarnation"`
	InstanceID  string     `json:"boot"`
	By          string     `json:"by,omitempty"`
	ForS        float64    `json:"for_s"` // seconds in its state
	Self        bool       `json:"self,omitempty"`
}

// FigureCount is one named count.
type FigureCount struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

func newMember(m view.Member, now time.Duration) Member {
	return Member{
		Name: m.Name, Address: m.Address, State: m.State, Incarnation: m.Incarnation, InstanceID: fmt.Sprintf("%x", m.InstanceID), By: m.By,
		ForS: max((now - m.Since).Round(100*time.Millisecond).Seconds(), 0), Self: m.Self,
	}
}

// Report returns this proxy's current view of its fleet.
func (n *Node) Report(ctx context.Context) (*Report, error) {
	s, now, ok := n.Snapshot(ctx)
	if !ok {
		return nil, errors.New("fleet: no answer")
	}
	r := &Report{Fleet: n.config.Options.Name, Settled: s.Settled, Digest: fmt.Sprintf("%016x", s.Digest), HealthScore: s.Health}
	r.Self = newMember(view.Member{Record: s.Self, Self: true}, now)
	for _, m := range s.Members {
		one := newMember(m, now)
		r.Members = append(r.Members, one)
		if m.Self {
			r.Self = one
		}
	}
	if s.Duplicate != nil {
		r.Problems = append(r.Problems, fmt.Sprintf("another process goes by the name %s, at %s (boot %x): stop one, or name it differently", s.Duplicate.Name, s.Duplicate.Address, s.Duplicate.InstanceID))
	}
	if s.Displaced {
		r.Problems = append(r.Problems, "other members see that process under this name, and not this one")
	}
	if s.Rejected > 0 {
		r.Problems = append(r.Problems, fmt.Sprintf("%d members were rejected because the view is full: raise fleet.most", s.Rejected))
	}
	r.Counts = n.figures(s)
	return r, nil
}

// figures returns the counts in the order of display.
func (n *Node) figures(s view.Snapshot) []FigureCount {
	by := map[view.State]int64{}
	for _, m := range s.Members {
		by[m.State]++
	}
	c, lost := n.Counts()
	return []FigureCount{
		{"alive", by[view.Alive]}, {"suspect", by[view.Suspect]}, {"dead", by[view.Dead]}, {"left", by[view.Left]},
		{"sent", c.Sent}, {"sent_bytes", c.SentBytes}, {"received", c.Received}, {"received_bytes", c.ReceivedBytes}, {"exchanges", c.Exchanges},
		{"foreign", c.Foreign}, {"version", c.Version}, {"garbage", c.Garbage}, {"flood", c.Flood}, {"unsent", c.Unsent}, {"late", lost},
	}
}

// gaugeCount is how many of the figures, from the first, are gauges; the others are counters.
const gaugeCount = 4

// Status returns the report as JSON, for the console.
func (n *Node) Status(ctx context.Context) ([]byte, error) {
	r, err := n.Report(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Figures appends the counts to the console's figures.
func (n *Node) Figures(ctx context.Context, text []byte) []byte {
	s, _, ok := n.Snapshot(ctx)
	if !ok {
		return text
	}
	for i, f := range n.figures(s) {
		kind := byte('c')
		if i < gaugeCount {
			kind = 'g'
		}
		text = figures.AppendLine(text, "fleet_"+f.Name, f.Value, kind)
	}
	return text
}

// ReadReport decodes a report from the console's JSON.
func ReadReport(text string) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal([]byte(text), r); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return r, nil
}

// maxTextMembers bounds the members in Text; the JSON form contains all of them.
const maxTextMembers = 60

// Text returns the report as text: problems first, then members that are not alive, then the others.
func (r *Report) Text() string {
	var b strings.Builder
	state := "settled"
	if !r.Settled {
		state = "not settled"
	}
	fmt.Fprintf(&b, "fleet %s as %s sees it: %s, digest %s", r.Fleet, r.Self.Name, state, r.Digest)
	if r.HealthScore > 0 {
		fmt.Fprintf(&b, ", local health score %d", r.HealthScore)
	}
	b.WriteByte('\n')
	for _, t := range r.Problems {
		fmt.Fprintf(&b, "TROUBLE: %s\n", t)
	}
	members := slices.Clone(r.Members)
	weight := map[view.State]int{view.Suspect: 0, view.Dead: 1, view.Left: 2, view.Alive: 3}
	slices.SortStableFunc(members, func(x, y Member) int { return cmp.Compare(weight[x.State], weight[y.State]) })
	fmt.Fprintf(&b, "%-20s %-8s %10s %-22s %11s  %s\n", "name", "state", "for", "address", "incarnation", "found by")
	for i, m := range members {
		if i == maxTextMembers {
			fmt.Fprintf(&b, "and %d more (--format json)\n", len(members)-maxTextMembers)
			break
		}
		name := m.Name
		if m.Self {
			name += " (self)"
		}
		fmt.Fprintf(&b, "%-20s %-8s %9.1fs %-22s %11d  %s\n", name, m.State, m.ForS, m.Address, m.Incarnation, m.By)
	}
	for i, c := range r.Counts {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s %d", c.Name, c.Value)
	}
	b.WriteByte('\n')
	return b.String()
}
