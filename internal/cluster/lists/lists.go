// Package lists checks server lists before a proxy acts on them. A list that omits many servers at once is more often
// wrong than right: its source was half written, a query timed out, or discovery cannot see a zone. The omitted
// servers are held, that is, kept in service, until operators accept their removal by consensus, a list names them
// again, or traffic shows that they are gone. The package has no I/O and no clock, and equal events give equal results.
//
// A server that a list names as in service or draining is never held: one that drains is taken out of service at once,
// whatever else the list contains. Single losses and servers that drained before they were omitted are not held either.
// The cost is that traffic, and not the list, reveals a real loss of many servers, one backend after another. Where
// that costs more than a bad list would, [rules] list_drop = 1 disables the check.
package lists

import (
	"maps"
	"slices"
	"time"

	"brasswell/balance"
)

// Settings configure a filter.
type Settings struct {
	// MaxDropShare is the share of the servers in service that lists may omit within Window. If they omit more, the
	// omitted servers are held. A value of 1 holds nothing.
	MaxDropShare float64
	// MinDropCount is the minimum number of omitted servers for any to be held, since a fleet of three loses a third
	// with one server.
	MinDropCount int
	// Window is how long a released server counts as omitted, so that lists that lose a tenth each second are held too.
	Window time.Duration
}

// DefaultSettings returns the values that operators requested.
func DefaultSettings() Settings {
	return Settings{MaxDropShare: 0.22, MinDropCount: 2, Window: time.Minute}
}

// Server is a server in service and the address to dial.
type Server struct {
	Entry   balance.Entry
	Address string
}

// Update is a server list or a change of it: what discovery reports, and what the filter passes on to the balancer.
type Update struct {
	Kind      balance.ListKind
	Entries   []balance.Entry
	Addresses map[string]string
}

// heldServer is a server that is kept in service although the newest list omits it.
type heldServer struct {
	server      Server
	since       time.Duration
	unreachable bool // according to traffic
}

// Filter checks the lists of one proxy. It is not safe for concurrent use.
type Filter struct {
	settings  Settings
	inService map[string]Server // in service according to the newest list
	held      map[string]*heldServer
	released  []time.Duration // when servers were released because of a list alone, the oldest first
	mayDrop   func(id string) bool
}

// New returns a filter that has seen no list. mayDrop reports whether the agreed rules allow a server to be omitted; it
// may be nil.
func New(s Settings, mayDrop func(id string) bool) *Filter {
	if mayDrop == nil {
		mayDrop = func(string) bool { return false }
	}
	return &Filter{settings: s, inService: map[string]Server{}, held: map[string]*heldServer{}, mayDrop: mayDrop}
}

// Apply checks a list and returns the update to pass on in its place.
func (f *Filter) Apply(now time.Duration, u Update) Update {
	if u.Kind == balance.ListFailed {
		return u
	}
	named := make(map[string]bool, len(u.Entries))
	var out []balance.Entry // to pass on
	var dropped []string    // in service so far, omitted or removed by this list
	for _, e := range u.Entries {
		named[e.ID] = true
		if e.State == balance.Gone {
			// Listed as removed: for a server in service this is the same as an omission.
			if _, present := f.inService[e.ID]; present {
				dropped = append(dropped, e.ID)
			} else if f.held[e.ID] == nil {
				out = append(out, e)
			}
			continue
		}
		delete(f.held, e.ID) // listed again, in service or draining
		out = append(out, e)
	}
	if u.Kind != balance.Delta {
		for id := range f.inService {
			if !named[id] {
				dropped = append(dropped, id)
			}
		}
	}
	for _, id := range dropped {
		f.held[id] = &heldServer{server: f.inService[id], since: now}
		delete(f.inService, id)
	}
	for _, e := range u.Entries {
		switch e.State {
		case balance.InService:
			f.inService[e.ID] = Server{e, u.Addresses[e.ID]}
		case balance.Draining:
			delete(f.inService, e.ID) // its later removal is expected
		}
	}
	released := f.release(now)
	addresses := maps.Clone(u.Addresses)
	if addresses == nil {
		addresses = map[string]string{}
	}
	if u.Kind == balance.Delta {
		out = append(out, released...)
	} else {
		for _, id := range slices.Sorted(maps.Keys(f.held)) {
			h := f.held[id]
			out = append(out, h.server.Entry)
			addresses[id] = h.server.Address
		}
	}
	return Update{u.Kind, out, addresses}
}

// Reevaluate checks the held servers again after the result of mayDrop has changed. It returns the update to pass on,
// if any.
func (f *Filter) Reevaluate(now time.Duration) (u Update, changed bool) { return f.releaseUpdate(now) }

// SetUnreachable sets which servers traffic finds unresponsive or failing, and returns the update to pass on, if any.
// ids must contain all servers that fail now; a held server that is not in ids counts as responsive.
func (f *Filter) SetUnreachable(now time.Duration, ids []string) (u Update, changed bool) {
	for _, h := range f.held {
		h.unreachable = false
	}
	for _, id := range ids {
		if h := f.held[id]; h != nil {
			h.unreachable = true
		}
	}
	return f.releaseUpdate(now)
}

func (f *Filter) releaseUpdate(now time.Duration) (u Update, changed bool) {
	released := f.release(now)
	return Update{Kind: balance.Delta, Entries: released, Addresses: map[string]string{}}, len(released) > 0
}

// release drops the servers that need not be held, or all held servers if few are missing, and returns them as removed.
func (f *Filter) release(now time.Duration) (gone []balance.Entry) {
	drop := func(id string) {
		e := f.held[id].server.Entry
		e.State = balance.Gone
		gone = append(gone, e)
		delete(f.held, id)
	}
	ids := slices.Sorted(maps.Keys(f.held))
	for _, id := range ids {
		// A second source, the operators' rules or traffic, confirms the loss, which then does not indicate a bad list.
		if f.held[id].unreachable || f.mayDrop(id) {
			drop(id)
		}
	}
	for len(f.released) > 0 && now-f.released[0] >= f.settings.Window {
		f.released = f.released[1:]
	}
	missing := len(f.held) + len(f.released)
	if missing >= f.settings.MinDropCount && float64(missing) > f.settings.MaxDropShare*float64(len(f.inService)+missing) {
		return gone
	}
	for _, id := range ids {
		if f.held[id] != nil {
			drop(id)
			f.released = append(f.released, now)
		}
	}
	return gone
}

// Snapshot is the state that one filter hands to the next at an upgrade. The new filter gets the servers in service
// from the balancer.
type Snapshot struct {
	Held  []string        `cbor:"1,keyasint"` // ids, sorted
	LetGo []time.Duration `cbor:"2,keyasint"` // how long ago servers were released because of a list alone, the longest first
}

// Snapshot returns the state for the next filter.
func (f *Filter) Snapshot(now time.Duration) Snapshot {
	c := Snapshot{Held: f.Held()}
	for _, at := range f.released {
		c.LetGo = append(c.LetGo, now-at)
	}
	return c
}

// Restore makes a filter that has seen no list continue from another filter's snapshot. servers are those that the
// balancer has in service, including the held ones.
func (f *Filter) Restore(now time.Duration, c Snapshot, servers []Server) {
	for _, s := range servers {
		f.inService[s.Entry.ID] = s
	}
	for _, id := range c.Held {
		if s, known := f.inService[id]; known {
			f.held[id] = &heldServer{server: s, since: now}
			delete(f.inService, id)
		}
	}
	for _, ago := range c.LetGo {
		f.released = append(f.released, now-ago)
	}
}

// Held returns the ids of the servers that are kept in service although the newest list omits them, sorted.
func (f *Filter) Held() []string { return slices.Sorted(maps.Keys(f.held)) }

// HeldSince returns when the first of the held servers was omitted, or 0 if none is held.
func (f *Filter) HeldSince() (since time.Duration) {
	for _, h := range f.held {
		if since == 0 || h.since < since {
			since = h.since
		}
	}
	return since
}
