package scale

import (
	"slices"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/scale/result"
)

// isSolo says whether a host is that of the solo member.
func (r *run) isSolo(h *host) bool { return r.plan.solo != nil && r.plan.solo.host == h }

// addSolo fills in the cost of a host, and adds what the solo member sent and received to those of the members that share hosts. The
// solo host's processor time and memory are not added to theirs.
func (r *run) addSolo(out *result.Run, shared *roleUsage, before, after *usage) {
	i := slices.IndexFunc(r.hosts, r.isSolo)
	if i < 0 || shared == nil {
		return
	}
	was, is := before.hosts[i], after.hosts[i]
	if was == nil || is == nil {
		return
	}
	length := after.at.Sub(before.at).Seconds()
	if livedThrough(was, is) {
		out.HostCost = hostCost(costBetween(was, is, length), shared)
	}
	shared.addTraffic(was, is, length)
}

// livedThrough says whether the one member of a host lived all the time between two moments, or was started in between as the first.
func livedThrough(was, is *hollow.Usage) bool {
	if len(is.Members) != 1 {
		return false
	}
	return len(was.Members) == 0 || was.Members[0].Boot == is.Members[0].Boot
}

// hostCost is the cost of a host by that of one with a single member and the mean of those that share members; nil where these have
// no more than one member each.
func hostCost(one result.Cost, shared *roleUsage) *result.HostCost {
	if shared.members <= shared.processes {
		return nil
	}
	hosts := float64(shared.processes)
	mean := result.Cost{CPU: shared.total.CPU / hosts, Memory: shared.total.Memory / hosts}
	others := float64(shared.members)/hosts - 1 // of a shared host, beside as many as the single one has
	member := result.Cost{CPU: (mean.CPU - one.CPU) / others, Memory: (mean.Memory - one.Memory) / others}
	fixed := result.Cost{CPU: one.CPU - member.CPU, Memory: one.Memory - member.Memory}
	return &result.HostCost{OneMember: one, Fixed: fixed, Member: member}
}

// costBetween is what a host used between two moments.
func costBetween(was, is *hollow.Usage, length float64) result.Cost {
	return result.Cost{CPU: (is.CPU - was.CPU).Seconds() / length, Memory: float64(is.MemoryB)}
}
