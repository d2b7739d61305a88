package hollow

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"brasswell/internal/cluster/agreement"
)

// Observe counts a real proxy among the host's members. The function that it returns takes in the lines of that proxy's log, in their
// JSON form and order.
func (h *Host) Observe(s Spec) (line func(text string)) {
	m := &member{watch: newWatch(h, s)}
	m.observed = true
	h.mu.Lock()
	h.members[s.Name] = m
	h.mu.Unlock()
	return func(text string) {
		if r, ok := parseRecord(text); ok {
			tap{m.watch}.Handle(context.Background(), r)
		}
	}
}

// observed is what is read of a line.
type observed struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Member  string    `json:"member"`
	State   string    `json:"state"`
	Was     string    `json:"was"`
	Boot    string    `json:"boot"`
	Address string    `json:"address"`
	Mode    string    `json:"mode"`
	What    string    `json:"what"`
	Version uint64    `json:"version"`
	Last    uint64    `json:"last"`
}

// parseRecord reads a line that a watch takes in.
func parseRecord(text string) (slog.Record, bool) {
	var o observed
	if json.Unmarshal([]byte(text), &o) != nil {
		return slog.Record{}, false
	}
	r := slog.NewRecord(o.Time, slog.LevelInfo, o.Message, 0)
	r.AddAttrs(slog.String("member", o.Member), slog.String("state", o.State), slog.String("was", o.Was), slog.String("boot", o.Boot),
		slog.String("address", o.Address), slog.String("mode", o.Mode), slog.String("what", o.What))
	if o.Message == agreement.LogRules {
		r.AddAttrs(slog.Uint64("version", o.Version), slog.Uint64("last", o.Last))
	}
	return r, true
}
