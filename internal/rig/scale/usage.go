package scale

import (
	"context"
	"time"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/scale/result"
	"brasswell/internal/standin/audit"
)

// finishTime bounds what is asked after the run's end, also where it was interrupted.
const finishTime = 30 * time.Second

// usage is what all hosts have used by a moment, each at its place among the run's.
type usage struct {
	at          time.Time
	hosts       []*hollow.Usage // nil of a host that did not answer
	real        []*hollow.Usage
	audit       audit.Report // of the service
	leasesLost  int
	falseDeaths int
}

// usageNow asks all hosts what they have used.
func (r *run) usageNow() *usage {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), finishTime)
	defer cancel()
	replies, err := r.all(ctx, hollow.Request{Usage: &hollow.UsageRequest{}})
	if err != nil {
		r.trouble("what was used is not known of all: %v", err)
	}
	now, _, _ := r.standing()
	u := &usage{at: time.Now(), leasesLost: now.Lost, falseDeaths: now.FalseDeaths}
	for _, reply := range replies[:len(r.hosts)] {
		u.hosts = append(u.hosts, reply.Usage)
	}
	if r.service != nil {
		u.real, u.audit = r.service.usage(ctx), r.service.report(false)
	}
	return u
}

// beginMeasuring begins the measured part.
func (r *run) beginMeasuring(out *result.Run) *usage {
	if d := r.document(r.ctx); d != nil { // there is none before all start
		out.Settings.Bans, out.Settings.Classes, out.Settings.Numbers, out.Settings.DocumentB = d.Bans, d.Classes, d.Numbers, d.SizeB
	}
	u := r.usageNow()
	r.measured = time.Now()
	return u
}

// endMeasuring ends it; before is nil where it has not begun.
func (r *run) endMeasuring(out *result.Run, before *usage) *usage {
	if before == nil {
		return nil
	}
	after := r.usageNow()
	now, _, _ := r.standing()
	out.Leases.Elections = now.elections(r.measured.UnixNano())
	return after
}

// finish fills in the result at the run's end.
func (r *run) finish(out *result.Run, before, after *usage) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), finishTime)
	defer cancel()
	for _, p := range r.phases {
		one, err := r.phaseResult(ctx, p)
		if err != nil {
			r.trouble("%v", err)
		}
		out.Changes = append(out.Changes, one)
	}
	now, expected, living := r.standing()
	r.mu.Lock()
	out.Views.RightS, out.Views.DeadRightS = r.rightAfter(), r.deadRightAfter
	out.Leases.LeastShare = r.leastShare
	r.mu.Unlock()
	out.Views.Wrong = now.Living - now.right(expected)
	out.Leases.Members, out.Leases.Held = now.Living, now.Leased
	if now.Living != living {
		r.trouble("%d members live at the end, and %d should", now.Living, living)
	}
	if before != nil {
		out.Views.FalseDeaths, out.Leases.LostAwake = now.FalseDeaths-before.falseDeaths, now.Lost-before.leasesLost
	}
	if before != nil && after != nil {
		r.roles(out, before, after)
	}
	if before != nil && r.service != nil {
		out.Service = served(before.audit, r.service.report(true))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Trouble = r.troubles
}

// roles fills in what the members of each role have used over the measured part.
func (r *run) roles(out *result.Run, before, after *usage) {
	length := after.at.Sub(before.at).Seconds()
	by := map[result.Role]*roleUsage{}
	for i, h := range r.hosts {
		was, is := before.hosts[i], after.hosts[i]
		if was == nil || is == nil {
			continue
		}
		out.Host.Load += (is.CPU - was.CPU).Seconds() / length
		if r.isSolo(h) {
			continue
		}
		role := result.Member
		if i < Voters {
			role = result.Voter
			if len(is.Members) > 0 && is.Members[0].Leads {
				role = result.Leader
			}
		}
		if by[role] == nil {
			by[role] = &roleUsage{}
		}
		by[role].add(was, is, length)
	}
	r.addSolo(out, by[result.Member], before, after)
	for i, is := range after.real[:min(len(before.real), len(after.real))] { // none before the first sample of a run in which all start
		if by[result.Proxy] == nil {
			by[result.Proxy] = &roleUsage{}
		}
		out.Host.Load += (is.CPU - before.real[i].CPU).Seconds() / length
		by[result.Proxy].add(before.real[i], is, length)
	}
	for _, role := range []result.Role{result.Member, result.Proxy, result.Leader, result.Voter} {
		if u := by[role]; u != nil {
			out.Roles = append(out.Roles, u.result(role))
		}
	}
}

// roleUsage is what the hosts of one role have used; rates are by second and member.
type roleUsage struct {
	members, processes                                    int
	total                                                 result.Cost // of all processes together
	cpu, memory, sent, received, sentBytes, receivedBytes []float64
	dropped                                               int64
}

// add puts what a host used between two moments to it.
func (u *roleUsage) add(was, is *hollow.Usage, length float64) {
	u.processes++
	cost := costBetween(was, is, length)
	u.total.CPU, u.total.Memory = u.total.CPU+cost.CPU, u.total.Memory+cost.Memory
	if n := float64(len(is.Members)); n > 0 {
		u.cpu = append(u.cpu, cost.CPU/n)
		u.memory = append(u.memory, cost.Memory/n)
	}
	u.addTraffic(was, is, length)
}

// addTraffic puts what the members of a host sent and received between two moments to it. Members that were not there all the time
// are left out, unless none was at the beginning.
func (u *roleUsage) addTraffic(was, is *hollow.Usage, length float64) {
	u.members += len(is.Members)
	earlier := map[uint64]hollow.MemberUsage{}
	for _, m := range was.Members {
		earlier[m.Boot] = m
	}
	for _, m := range is.Members {
		e, there := earlier[m.Boot]
		if !there && len(was.Members) > 0 {
			continue
		}
		rate := func(is, was int64) float64 { return float64(is-was) / length }
		u.sent, u.sentBytes = append(u.sent, rate(m.Sent, e.Sent)), append(u.sentBytes, rate(m.SentBytes, e.SentBytes))
		u.received = append(u.received, rate(m.Received, e.Received))
		u.receivedBytes = append(u.receivedBytes, rate(m.ReceivedBytes, e.ReceivedBytes))
		u.dropped += m.Dropped - e.Dropped
	}
}

func (u *roleUsage) result(role result.Role) result.Usage {
	return result.Usage{
		Role: role, Members: u.members, Processes: u.processes, CPU: quantiles(u.cpu), Memory: quantiles(u.memory),
		MessagesSent: quantiles(u.sent), MessagesReceived: quantiles(u.received),
		BytesSent: quantiles(u.sentBytes), BytesReceived: quantiles(u.receivedBytes), Dropped: u.dropped,
	}
}
