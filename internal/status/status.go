// Package status summarizes the state of a proxy on one screen: which servers it avoids, why and since when, its limit, and
// its open requests and connections. It performs no I/O and makes no decisions; the caller fills in a Status.
package status

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"brasswell/balance"
	"brasswell/internal/memory"
)

// Status is the state of a proxy at one moment.
type Status struct {
	Ready        bool           `json:"ready"`
	ShuttingDown bool           `json:"leaving"`
	Listed       int            `json:"listed"`   // servers in the list
	InRoundRobin int            `json:"in_turns"` // of these, servers in the round robin
	Avoided      []Avoided      `json:"avoided"`
	Limit        float64        `json:"limit"` // requests admitted at one time
	OpenRequests map[string]int `json:"open"`  // open requests by class
	Callers      map[string]int `json:"callers"`
	Backends     map[string]int `json:"backends"`
	Channels     int            `json:"channels"`
	MemoryMB     float64        `json:"memory_mb"`
	Memory       memory.Status  `json:"memory"` // what callers make the process hold
	Descriptors  int            `json:"descriptors"`
}

// Reason is why a server is avoided. Of several reasons, the first one in the order below is reported.
type Reason string

// The reasons, in order of precedence.
const (
	ByOperator Reason = "by hand"
	Draining   Reason = "drains"
	Failing    Reason = "fails"
	Cold       Reason = "cold" // in use, within the budget for cold servers
)

// Avoided is a server that gets no requests, or fewer than in the round robin.
type Avoided struct {
	ID          string `json:"id"`
	Reason      Reason `json:"why"`
	ForSeconds  int    `json:"for_s"`            // how long it has been avoided; -1 if unknown
	SecondsLeft int    `json:"left_s,omitempty"` // time until it is tried again, or warm
	Note        string `json:"note,omitempty"`   // additional information
}

// AvoidedServers returns the servers that are avoided. now and the times in since refer to the clock of c. since holds the
// time when the operator took a server out or when it began to drain, if it is known.
func AvoidedServers(now, warmUp time.Duration, c balance.Snapshot, since map[string]time.Duration) []Avoided {
	avoided := []Avoided{}
	for _, s := range c.Servers {
		a := Avoided{ID: s.Entry.ID, ForSeconds: -1}
		if at, known := since[a.ID]; known {
			a.ForSeconds = seconds(now - at)
		}
		boot := max(s.Entry.Boot, s.Resumed)
		switch {
		case slices.Contains(c.Banned, a.ID):
			a.Reason = ByOperator
		case s.Entry.State == balance.Gone:
			continue // no longer listed
		case s.Entry.State == balance.Draining:
			a.Reason = Draining
		case s.Ejected > 0:
			a.Reason, a.ForSeconds, a.SecondsLeft = Failing, -1, seconds(max(s.Ejected-now, 0))
			a.Note = fmt.Sprintf("%d times in a row; %.0f%% of its last answers failed", s.Ejections, 100*s.FailRate)
		case boot > 0 && now-boot < warmUp:
			a.Reason, a.ForSeconds, a.SecondsLeft = Cold, seconds(now-boot), seconds(warmUp-(now-boot))
		default:
			continue
		}
		avoided = append(avoided, a)
	}
	for _, id := range c.Banned {
		if !slices.ContainsFunc(avoided, func(a Avoided) bool { return a.ID == id }) {
			avoided = append(avoided, Avoided{ID: id, Reason: ByOperator, ForSeconds: -1, Note: "not listed now"})
		}
	}
	slices.SortFunc(avoided, func(a, b Avoided) int { return strings.Compare(a.ID, b.ID) })
	return avoided
}

// seconds rounds up, so that a time that is not over yet is not shown as 0.
func seconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

// Parse parses a status that a console has written.
func Parse(text string) (*Status, error) {
	s := &Status{}
	if err := json.Unmarshal([]byte(text), s); err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return s, nil
}

// maxShown bounds the number of servers in Text. The JSON output contains all of them.
const maxShown = 30

// Text returns the status in human-readable form.
func (s *Status) Text() string {
	var b strings.Builder
	state := "takes clients"
	switch {
	case s.ShuttingDown:
		state = "is leaving"
	case !s.Ready:
		state = "takes no clients"
	}
	fmt.Fprintf(&b, "%s; %d backends listed, %d in turns, %d avoided or cold\n", state, s.Listed, s.InRoundRobin, len(s.Avoided))
	for i, a := range s.Avoided {
		if i == maxShown {
			fmt.Fprintf(&b, "  and %d more (--format json)\n", len(s.Avoided)-maxShown)
			break
		}
		fmt.Fprintf(&b, "  %-24s %-8s", a.ID, a.Reason)
		if a.ForSeconds >= 0 {
			fmt.Fprintf(&b, " for %d s", a.ForSeconds)
		}
		if a.SecondsLeft > 0 {
			fmt.Fprintf(&b, ", %d s to go", a.SecondsLeft)
		}
		if a.Note != "" {
			fmt.Fprintf(&b, "; %s", a.Note)
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "limit     %.0f requests at one time\n", s.Limit)
	line := func(name string, counts map[string]int) {
		fmt.Fprintf(&b, "%-9s", name)
		for _, key := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(&b, " %s %d ", key, counts[key])
		}
		b.WriteByte('\n')
	}
	line("open", s.OpenRequests)
	line("callers", s.Callers)
	line("backends", s.Backends)
	if s.Channels > 0 {
		fmt.Fprintf(&b, "channels  %d\n", s.Channels)
	}
	fmt.Fprintf(&b, "memory    %.1f MB, %d descriptors\n", s.MemoryMB, s.Descriptors)
	return b.String()
}
