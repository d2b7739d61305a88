package scale

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/loopback"
)

const (
	// lowestBase and highestBase are the second bytes of addresses that may be asked for.
	lowestBase, highestBase = 64, 250
	// perHost members share a process.
	perHost = 100
	// mostProcesses of a run, this one not counted.
	mostProcesses = 199
	// memoryShare of the machine's memory may be used by all processes of a run together.
	memoryShare = 0.5
	// perMemberDescriptors is what a member has open at most: its two sockets, and streams.
	perMemberDescriptors = 24
	// ownDescriptors is what a process has open beside.
	ownDescriptors = 100
	// perMemberMemory and perPairMemory are about what a hollow member holds, and for each member that it knows.
	perMemberMemory, perPairMemory = 256 << 10, 1500
)

// checkDescriptors says whether a host may open what its members need.
func checkDescriptors(members int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("scale: descriptors: %w", err)
	}
	return enoughDescriptors(members, limit.Max)
}

func enoughDescriptors(members int, limit uint64) error {
	if need := uint64(members*perMemberDescriptors + ownDescriptors); need > limit {
		return fmt.Errorf("scale: a process of %d members needs %d descriptors, and %d are allowed: raise `ulimit -n`, or run fewer --members", members, need, limit)
	}
	return nil
}

// machineMemory is the machine's, in bytes.
func machineMemory() (uint64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("scale: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		rest, found := strings.CutPrefix(line, "MemTotal:")
		if !found {
			continue
		}
		kib, err := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("scale: /proc/meminfo: %w", err)
		}
		return kib << 10, nil
	}
	return 0, fmt.Errorf("scale: /proc/meminfo names no MemTotal")
}

// checkMemory says whether a run of so many members is likely to stay within its share of the memory.
func checkMemory(members int, memory uint64) error {
	need := uint64(members) * (perMemberMemory + uint64(members)*perPairMemory)
	if allowed := uint64(memoryShare * float64(memory)); need > allowed {
		return fmt.Errorf("scale: %d members need about %d MiB, and %d MiB are allowed (half of the machine's): run fewer --members", members, need>>20, allowed>>20)
	}
	return nil
}

// free says whether all addresses can be listened at.
func free(addresses []netip.AddrPort) error {
	if err := loopback.CheckFree(addresses); err != nil {
		return fmt.Errorf("scale: %w; end what listens there, or give another --base", err)
	}
	return nil
}

// claim holds an address of each zone that no member has, so that two runs at one time do not take the same ones.
func claim(l hollow.Layout) (*loopback.Claim, error) {
	var addresses []netip.AddrPort
	for zone := range l.Zones {
		addresses = append(addresses, l.ClaimAddress(zone))
	}
	held, err := loopback.NewClaim(addresses)
	if err != nil {
		return nil, fmt.Errorf("scale: %w, by another run it seems; give another --base", err)
	}
	return held, nil
}

// drawBase is a second byte that leaves room for all zones, of those that are for scale runs.
func drawBase(zones int) int {
	first, last := int(loopback.ScaleRuns.First), int(loopback.ScaleRuns.Last)+1-zones
	return first + rand.IntN(last+1-first)
}
