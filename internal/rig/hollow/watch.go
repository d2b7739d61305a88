package hollow

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"brasswell/internal/cluster"
	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/agreement"
	"brasswell/internal/cluster/view"
)

// Digest is that of a set of members: the exclusive or of their names' hashes.
func Digest(names ...string) (digest uint64) {
	for _, name := range names {
		h := fnv.New64a()
		h.Write([]byte(name))
		x := h.Sum64()
		x ^= x >> 32 // the last steps of FNV alone are too alike
		x *= 0xd6e8feb86659fd93
		digest ^= x ^ x>>32
	}
	return digest
}

// learned is what a member knew from a moment on.
type learned struct {
	at            int64
	version, last uint64
}

// watch takes down what one start of a member does. It is told by the member's log, whose lines are the same for hollow and real
// members, and by the agreement.
type watch struct {
	host *Host
	spec Spec
	// observed: the member is a process elsewhere, and what it acts on is read from its log too.
	observed bool

	mu       sync.Mutex
	present  uint64 // Digest of the members that it sees
	changed  int64  // when that last changed
	leased   bool
	joined   int64 // when it had its first lease; 0 for never
	leads    bool
	versions []learned // in order
}

func newWatch(h *Host, s Spec) *watch {
	now := time.Now().UnixNano()
	return &watch{host: h, spec: s, changed: now, present: Digest(s.Name)}
}

// act takes in on what the member acts. It is called in order.
func (w *watch) act(b *accord.Basis) {
	w.learn(learned{time.Now().UnixNano(), b.Version, b.Last})
}

func (w *watch) learn(l learned) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.versions); n > 0 && w.versions[n-1].version == l.version && w.versions[n-1].last == l.last {
		return
	}
	w.versions = append(w.versions, l)
}

// knew is when the member first knew a version; 0 for never.
func (w *watch) knew(version uint64) int64 {
	return w.first(func(l learned) bool { return l.last >= version })
}

// acted is when the member first acted on a version alone; 0 for never.
func (w *watch) acted(version uint64) int64 {
	return w.first(func(l learned) bool { return l.version >= version })
}

func (w *watch) first(is func(learned) bool) int64 {
	if i := slices.IndexFunc(w.versions, is); i >= 0 {
		return w.versions[i].at
	}
	return 0
}

// tap is a log handler that reads the lines about a member's view and agreement, and drops the rest.
type tap struct{ *watch }

var _ slog.Handler = tap{}

// Enabled implements slog.Handler.
func (t tap) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }

// WithAttrs implements slog.Handler.
func (t tap) WithAttrs([]slog.Attr) slog.Handler { return t }

// WithGroup implements slog.Handler.
func (t tap) WithGroup(string) slog.Handler { return t }

// Handle implements slog.Handler.
func (t tap) Handle(_ context.Context, r slog.Record) error {
	switch r.Message {
	case cluster.LogMember:
		t.member(r)
	case agreement.LogMode:
		t.mode(attribute(r, "mode"))
	case agreement.LogRules:
		t.rules(r)
	case agreement.LogSelf:
		t.self(attribute(r, "what"))
	}
	return nil
}

// attribute is the value of a line's attribute as text; "" where it has none.
func attribute(r slog.Record, key string) (value string) {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == key {
			value = a.Value.String()
			return false
		}
		return true
	})
	return value
}

// member takes in a change of the view.
func (t tap) member(r slog.Record) {
	name, state, was := attribute(r, "member"), attribute(r, "state"), attribute(r, "was")
	t.mu.Lock()
	if isPresent(state) != isPresent(was) {
		t.present ^= Digest(name)
		t.changed = r.Time.UnixNano()
	}
	t.mu.Unlock()
	if state != view.Dead.String() {
		return
	}
	boot, err := strconv.ParseUint(attribute(r, "boot"), 16, 64)
	at, atErr := netip.ParseAddrPort(attribute(r, "address"))
	if err == nil && atErr == nil {
		t.host.death(t.spec, Boot{name, boot}, at.Addr())
	}
}

func isPresent(state string) bool {
	return state == view.Alive.String() || state == view.Suspect.String()
}

// rules takes in what the member acts on. Of a hollow member that is known already.
func (t tap) rules(r slog.Record) {
	version, err := strconv.ParseUint(attribute(r, "version"), 10, 64)
	last, lastErr := strconv.ParseUint(attribute(r, "last"), 10, 64)
	if err == nil && lastErr == nil && t.observed {
		t.learn(learned{r.Time.UnixNano(), version, last})
	}
}

// mode takes in on what the member acts: with a lease or without.
func (t tap) mode(mode string) {
	leased := mode == accord.Leased.String()
	t.mu.Lock()
	lost := t.leased && !leased
	t.leased = leased
	if leased && t.joined == 0 {
		t.joined = time.Now().UnixNano()
	}
	t.mu.Unlock()
	if lost {
		t.host.leaseLost(t.spec)
	}
}

// self takes in what the member has found out about its part in the agreement.
func (t tap) self(what string) {
	switch accord.Event(what) {
	case accord.Elected:
		t.setLeads(true)
		t.host.elected()
	case accord.Deposed:
		t.setLeads(false)
	}
}

func (t tap) setLeads(leads bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leads = leads
}
