package agreement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"brasswell/internal/clock"
	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/figures"
)

// Report describes a proxy's status in the consensus, for operators.
type Report struct {
	Name              string          `json:"name"`
	Mode              string          `json:"mode"`
	Version           uint64          `json:"version"` // the version in force
	Last              uint64          `json:"last"`    // the newest version known here
	Log               string          `json:"log"`
	Document          rules.Document  `json:"document"` // the rules that a lease holder acts on
	Pending           []rules.Version `json:"pending,omitempty"`
	Leader            string          `json:"leader"`
	IsLeader          bool            `json:"leads,omitempty"`
	Halted            bool            `json:"halted,omitempty"`
	Voters            map[string]bool `json:"keepers,omitempty"` // by name; whether it votes
	Holders           []Holder        `json:"holders,omitempty"` // set at the leader only
	History           []rules.Version `json:"history,omitempty"` // set at a voter only
	ConvergenceBoundS float64         `json:"bound_s"`
	// HeldBackends are still in use at this proxy although the newest list omits them.
	HeldBackends []string `json:"held,omitempty"`
	Problems     []string `json:"trouble,omitempty"`
}

// Holder is a proxy with a lease, as recorded by the leader.
type Holder struct {
	Name       string  `json:"name"`
	Version    uint64  `json:"version"`
	Last       uint64  `json:"last"`
	LeaseLeftS float64 `json:"left_s"`
}

// Report returns this proxy's current status.
func (n *Node) Report(ctx context.Context) (*Report, error) {
	var a accord.Report
	if !n.do(ctx, func(c *accord.Core, now time.Duration) { a = c.Report(now) }) {
		return nil, errors.New("rules: no answer")
	}
	times := n.config.Options.Times()
	r := &Report{
		Name: n.config.Name, Mode: n.Mode().String(), Version: a.Status.InForce.Number, Last: a.Status.Last(), Log: fmt.Sprintf("%x", a.Status.Log),
		Document: *a.Status.Meet(), Pending: a.Status.Pending, Leader: a.Leader, IsLeader: a.IsLeader, Halted: a.Halted, Voters: a.Voters,
		History: a.History, ConvergenceBoundS: times.ConvergenceBound().Seconds(),
	}
	for _, h := range a.Holders {
		r.Holders = append(r.Holders, Holder{Name: h.Name, Version: h.Held.InForce, Last: h.Held.Last, LeaseLeftS: h.LeaseLeft.Round(time.Millisecond).Seconds()})
	}
	if held := n.heldBackends.Load(); held != nil && len(*held) > 0 {
		r.HeldBackends = *held
		r.Problems = append(r.Problems, fmt.Sprintf("a list is held back: it omits %d backends at once, and they stay in use (%s). If they are gone: brasswell ctl rules drop --why REASON; if not, correct the list",
			len(r.HeldBackends), abbreviate(r.HeldBackends)))
	}
	if r.Halted {
		r.Problems = append(r.Problems, "this keeper keeps nothing: its folder cannot be written, or its log was written by a newer version; see the log lines, fix the cause and restart this proxy")
	}
	switch n.Mode() {
	case accord.Alone:
		r.Problems = append(r.Problems, "no keeper vouches for these rules: they may be outdated. A majority of the keepers is down or unreachable from here")
	case accord.Inactive:
		r.Problems = append(r.Problems, "no lease, and everything is refused: this process has just started or was paused, or without_lease is refuse")
	}
	voters := 0
	for _, votes := range a.Voters {
		if votes {
			voters++
		}
	}
	if a.Voters != nil && voters < len(n.config.Options.Voters) {
		r.Problems = append(r.Problems, fmt.Sprintf("%d of %d keepers vote: all must have been reachable at the same time once, and one that lost its folder votes again within seconds", voters, len(n.config.Options.Voters)))
	}
	return r, nil
}

// abbreviate joins the first few of many IDs.
func abbreviate(ids []string) string {
	const few = 5
	if len(ids) <= few {
		return strings.Join(ids, ", ")
	}
	return strings.Join(ids[:few], ", ") + ", ..."
}

// Status returns the report as JSON, for the console.
func (n *Node) Status(ctx context.Context) ([]byte, error) {
	r, err := n.Report(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Figures appends the node's metrics to the console's figures.
func (n *Node) Figures(text []byte) []byte {
	b := n.basis.Load()
	text = figures.AppendLine(text, "rules_version", int64(b.Version), 'g')
	text = figures.AppendLine(text, "rules_pending", int64(b.Last-b.Version), 'g')
	text = figures.AppendLine(text, "rules_mode", int64(n.Mode()), 'g')
	return figures.AppendLine(text, "rules_late", n.DroppedMessages(), 'c')
}

// ReadReport decodes a report that a console returned.
func ReadReport(text string) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal([]byte(text), r); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	return r, nil
}

// Text formats the report for operators.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "rules at %s: %s, version %d in force", r.Name, r.Mode, r.Version)
	if r.Last > r.Version {
		fmt.Fprintf(&b, ", %d on the way", r.Last-r.Version)
	}
	leader := r.Leader
	if leader == "" {
		leader = "none known"
	}
	fmt.Fprintf(&b, "; leader %s; changes reach all within %.2f s\n", leader, r.ConvergenceBoundS)
	for _, t := range r.Problems {
		fmt.Fprintf(&b, "TROUBLE: %s\n", t)
	}
	for _, line := range rules.Diff(&rules.Document{}, &r.Document) {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	for _, v := range r.Pending {
		fmt.Fprintf(&b, "on the way: %s\n", FormatVersion(v))
	}
	if r.Voters != nil {
		b.WriteString("keepers:")
		for _, name := range slices.Sorted(maps.Keys(r.Voters)) {
			state := "votes"
			if !r.Voters[name] {
				state = "learns"
			}
			fmt.Fprintf(&b, " %s %s", name, state)
		}
		b.WriteByte('\n')
	}
	for _, h := range r.Holders {
		mark := ""
		if h.Last < r.Last {
			mark = "  LATE"
		}
		fmt.Fprintf(&b, "  %-20s acts on %d to %d, lease for %.2f s%s\n", h.Name, h.Version, h.Last, h.LeaseLeftS, mark)
	}
	return b.String()
}

// FormatVersion formats a version in one line.
func FormatVersion(v rules.Version) string {
	c := &v.Change
	at := ""
	if c.At > 0 {
		at = clock.FromWall(c.At).Format(time.DateTime)
	}
	what := map[rules.Kind]string{
		rules.Suspend: "suspend " + c.Server, rules.Resume: "resume " + c.Server, rules.Configure: "settings", rules.Rollback: fmt.Sprintf("back to %d", c.ToVersion),
		rules.Renumber: "numbers", rules.AllowDrop: "lists may drop",
	}[c.Kind]
	if what == "" {
		what = "the first"
	}
	return fmt.Sprintf("%5d  %-19s  %-24s %-12s %s", v.Number, at, what, c.Who, c.Why)
}
