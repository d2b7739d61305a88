package scale

import (
	"math"
	"testing"
	"time"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/scale/result"
)

const megabyte = 1 << 20

// hostAt is what a host of members, with boots from 1 on, has used by a moment.
func hostAt(cpu time.Duration, megabytes uint64, members int) *hollow.Usage {
	u := &hollow.Usage{CPU: cpu, MemoryB: megabytes * megabyte}
	for i := range members {
		u.Members = append(u.Members, hollow.MemberUsage{Boot: uint64(i + 1)})
	}
	return u
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(math.Abs(a), math.Abs(b), 1) }

// TestHostCost: hosts of 10 and of 20 members, with 30 MiB and 0.03 cores each and 2 MiB and 0.01 cores for each member.
func TestHostCost(t *testing.T) {
	const length = 10.0
	shared := &roleUsage{}
	shared.add(hostAt(time.Second, 10, 10), hostAt(time.Second+1300*time.Millisecond, 50, 10), length)
	shared.add(hostAt(2*time.Second, 10, 20), hostAt(2*time.Second+2300*time.Millisecond, 70, 20), length)
	one := costBetween(hostAt(time.Second, 10, 1), hostAt(time.Second+400*time.Millisecond, 32, 1), length)
	got := hostCost(one, shared)
	if got == nil || got.OneMember != one {
		t.Fatalf("%+v", got)
	}
	for _, c := range []struct {
		name         string
		got          result.Cost
		cpu, memoryB float64
	}{
		{"one member", got.OneMember, 0.04, 32 * megabyte},
		{"fixed", got.Fixed, 0.03, 30 * megabyte},
		{"a member", got.Member, 0.01, 2 * megabyte},
	} {
		if !near(c.got.CPU, c.cpu) || !near(c.got.Memory, c.memoryB) {
			t.Errorf("%s: %+v; %v cores and %v bytes are right", c.name, c.got, c.cpu, c.memoryB)
		}
	}
}

// TestHostCostOfOneEach: hosts that all have one member do not tell what of it is the member's.
func TestHostCostOfOneEach(t *testing.T) {
	shared := &roleUsage{}
	shared.add(hostAt(0, 10, 1), hostAt(time.Second, 20, 1), 1)
	if got := hostCost(result.Cost{CPU: 1, Memory: 1}, shared); got != nil {
		t.Errorf("%+v", got)
	}
}

// soloRun is a run of one voter's place for each voter, a shared host of three members, and the solo member's host.
func soloRun() *run {
	config := DefaultConfig()
	config.Members = Voters + 4
	r := &run{config: config, plan: &plan{solo: &memberPlan{}}}
	for range Voters + 2 {
		r.hosts = append(r.hosts, &host{})
	}
	r.plan.solo.host = r.hosts[Voters+1]
	return r
}

// TestSoloHostIsApart: its processor time and memory are not among those of the other hosts, and what its member sent is.
func TestSoloHostIsApart(t *testing.T) {
	began := time.Now()
	before, after := &usage{at: began}, &usage{at: began.Add(10 * time.Second)}
	for range Voters {
		before.hosts, after.hosts = append(before.hosts, hostAt(0, 10, 1)), append(after.hosts, hostAt(time.Second, 10, 1))
	}
	before.hosts = append(before.hosts, hostAt(0, 10, 3), hostAt(0, 10, 1))
	after.hosts = append(after.hosts, hostAt(3*time.Second, 30, 3), hostAt(2*time.Second, 14, 1))
	out := &result.Run{}
	soloRun().roles(out, before, after)
	member := out.Roles[0]
	if member.Role != result.Member || member.Members != 4 || member.Processes != 1 || member.MessagesSent.Count != 4 {
		t.Errorf("%+v", member)
	}
	if member.CPU.Count != 1 || !near(member.CPU.Worst, 0.1) || !near(member.Memory.Worst, 10*megabyte) {
		t.Errorf("processor time %+v, memory %+v", member.CPU, member.Memory)
	}
	if c := out.HostCost; c == nil || !near(c.OneMember.CPU, 0.2) || !near(c.Member.Memory, 8*megabyte) || !near(c.Fixed.Memory, 6*megabyte) {
		t.Errorf("%+v", c)
	}
	if !near(out.Host.Load, 1) {
		t.Errorf("load %v, of all hosts 1", out.Host.Load)
	}

	after.hosts[Voters+1].Members[0].Boot = 77 // it has restarted
	out = &result.Run{}
	soloRun().roles(out, before, after)
	if out.HostCost != nil || out.Roles[0].CPU.Count != 1 {
		t.Errorf("a member that has restarted: %+v, %+v", out.HostCost, out.Roles[0])
	}
}
