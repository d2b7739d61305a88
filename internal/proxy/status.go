package proxy

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"

	"brasswell/internal/status"
)

// Status returns the status of the proxy as JSON.
func (d consoleHandler) Status() ([]byte, error) {
	h := d.host.State()
	listed, _ := d.host.CountServers()
	s := status.Status{
		Ready: d.Ready(), ShuttingDown: d.restart.Begun(), Listed: listed, InRoundRobin: h.InRoundRobin, Limit: h.Snapshot.Limit, OpenRequests: map[string]int{},
		Avoided: status.AvoidedServers(h.Now, d.settings.Balancer.WarmUp, h.Snapshot, h.Since),
		Callers: d.callers.States(), Backends: d.backends.ConnCounts(),
		MemoryMB: memoryMB(), Memory: d.memory.Status(), Descriptors: descriptors(),
	}
	for n, name := range d.settings.Classes {
		s.OpenRequests[name] = h.Unanswered[n]
	}
	if d.channels != nil {
		s.Channels = d.channels.Len()
	}
	return json.Marshal(&s)
}

// memoryMB returns the resident memory of this process, in units of 2^20 bytes, or 0 if it cannot be read.
func memoryMB() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// descriptors returns the number of open descriptors of this process, without the one used to count them, or 0 if it
// cannot be read.
func descriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries) - 1
}
