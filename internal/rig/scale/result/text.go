package result

import (
	"fmt"
	"strings"
)

const megabyte = 1 << 20

// Text is the run as a table for people.
func (r *Run) Text() string {
	var b strings.Builder
	s := &r.Settings
	fmt.Fprintf(&b, "%s: %d members (%d voters, %d real) in %d regions and %d zones, %g ms between regions, lease %g s, period %g ms, %g s, seed %d\n",
		s.Event, s.Members, s.Voters, s.Real, s.Regions, s.Zones, s.RTTMS, s.LeaseS, s.PeriodMS, s.LengthS, s.Seed)
	fmt.Fprintf(&b, "document: %d bans, %d classes, %d numbers, %d bytes; %d cores, %.2f of them used\n", s.Bans, s.Classes, s.Numbers, s.DocumentB, r.Host.Cores, r.Host.Load)
	for _, t := range r.Trouble {
		fmt.Fprintf(&b, "TROUBLE: %s\n", t)
	}
	if r.Interrupted {
		b.WriteString("interrupted before its end\n")
	}
	r.writeRoles(&b)
	r.writeHostCost(&b)
	r.writeChanges(&b)
	fmt.Fprintf(&b, "\nviews: right after %s, %d wrong at the end, %d false deaths\n", inSeconds(r.Views.RightS), r.Views.Wrong, r.Views.FalseDeaths)
	if r.Views.DeadRightS != nil {
		fmt.Fprintf(&b, "       right about the dead after %s, before they returned\n", inSeconds(r.Views.DeadRightS))
	}
	l := &r.Leases
	fmt.Fprintf(&b, "leases: %d of %d held at the end, all %s after the start, at least %.1f%%, %d lost, %d elections\n",
		l.Held, l.Members, inSeconds(l.AllAfterS), 100*l.LeastShare, l.LostAwake, l.Elections)
	if v := r.Service; v != nil {
		kept := "kept"
		if !v.RulesKept {
			kept = "BROKEN: " + v.RulesBroke
		}
		fmt.Fprintf(&b, "service: %d of %d requests served (%.3f%%), rules %s\n", v.Served, v.Asked, 100*v.Share, kept)
	}
	return b.String()
}

func (r *Run) writeRoles(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-8s %7s %9s  %-24s %-20s %-20s %-22s %8s\n", "role", "members", "processes", "cores (median, worst)", "MiB", "messages/s sent", "KiB/s sent", "dropped")
	for _, u := range r.Roles {
		fmt.Fprintf(b, "%-8s %7d %9d  %10.4f %13.4f %9.1f %10.1f %9.1f %10.1f %9.2f %12.2f %8d\n", u.Role, u.Members, u.Processes,
			u.CPU.Median, u.CPU.Worst, u.Memory.Median/megabyte, u.Memory.Worst/megabyte, u.MessagesSent.Median, u.MessagesSent.Worst,
			u.BytesSent.Median/1024, u.BytesSent.Worst/1024, u.Dropped)
	}
}

func (r *Run) writeHostCost(b *strings.Builder) {
	if r.HostCost == nil {
		return
	}
	fmt.Fprintf(b, "\n%-28s %8s %9s\n", "cost of member hosts", "cores", "MiB")
	for _, line := range []struct {
		name string
		cost Cost
	}{
		{"a host with one member", r.HostCost.OneMember},
		{"a host without its members", r.HostCost.Fixed},
		{"each member without its host", r.HostCost.Member},
	} {
		fmt.Fprintf(b, "%-28s %8.4f %9.2f\n", line.name, line.cost.CPU, line.cost.Memory/megabyte)
	}
}

func (r *Run) writeChanges(b *strings.Builder) {
	if len(r.Changes) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%-16s %8s %7s %6s  %-26s %-26s %s\n", "changes", "proposed", "agreed", "never", "in force (median, worst)", "known", "after the cut")
	for _, p := range r.Changes {
		healed := ""
		if p.HealedS != nil {
			healed = inSeconds(p.HealedS)
		}
		fmt.Fprintf(b, "%-16s %8d %7d %6d  %9.3f s %12.3f s %9.3f s %12.3f s  %s\n", p.Name, p.Proposed, p.Agreed, p.Never,
			p.InForceS.Median, p.InForceS.Worst, p.KnownS.Median, p.KnownS.Worst, healed)
	}
}

// inSeconds is a time that may never have come.
func inSeconds(s *float64) string {
	if s == nil {
		return "never"
	}
	return fmt.Sprintf("%.2f s", *s)
}
