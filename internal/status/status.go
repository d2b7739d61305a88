// Package status says on one screen how a proxy stands: which servers it avoids, why and since when, its limit, and
// what is open. It has no I/O and decides nothing; who has the state fills a Status in.
package status

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"brasswell/balance"
)

// Status is how a proxy stands at one moment.
type Status struct {
	Ready        bool           `json:"ready"`
	ShuttingDown bool           `json:"leaving"`
	Listed       int            `json:"listed"`   // servers
	InRoundRobin int            `json:"in_turns"` // of these, those that turns go to
	Avoided      []Avoided      `json:"avoided"`
	Limit        float64        `json:"limit"` // requests admitted at one time
	OpenRequests map[string]int `json:"open"`  // requests, by class
	Callers      map[string]int `json:"callers"`
	Backends     map[string]int `json:"backends"`
	Channels     int            `json:"channels"`
	MemoryMB     float64        `json:"memory_mb"`
	Descriptors  int            `json:"descriptors"`
}

// Why is why a server is avoided. One that is avoided for several reasons is told with the first of them.
type Reason string

// The reasons, the weightiest first.
const (
	ByOperator Reason = "by hand"
	Draining   Reason = "drains"
	Failing    Reason = "fails"
	Cold       Reason = "cold" // used, within its budget
)

// Avoided is one server that gets nothing, or less than its turns.
type Avoided struct {
	ID          string `json:"id"`
	Reason      Reason `json:"why"`
	ForSeconds  int    `json:"for_s"`            // so long already; -1 if that is not known
	SecondsLeft int    `json:"left_s,omitempty"` // until it is tried again, or warm
	Note        string `json:"note,omitempty"`   // what is known besides
}

// Servers says which servers are avoided. now and the times in since are of the clock of c; since holds when a server
// was taken out by hand or began to drain, as far as that was seen.
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
			continue // it is listed no more
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

// seconds rounds up: what is not over yet does not read as 0.
func seconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

// Read reads a status as a console writes it.
func Parse(text string) (*Status, error) {
	s := &Status{}
	if err := json.Unmarshal([]byte(text), s); err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return s, nil
}

// mostShown bounds the list for people; programs get all of it.
const mostShown = 30

// Text is the status for people.
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
		if i == mostShown {
			fmt.Fprintf(&b, "  and %d more (--format json)\n", len(s.Avoided)-mostShown)
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
