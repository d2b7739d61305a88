// Package lists judges server lists before a proxy acts on them. A list that leaves out many servers at once is more often wrong
// than right: a half-written source, a query that timed out, a room that discovery cannot see. What it leaves out is held, which
// is to say gone on with, until an operator accepts it by agreement, the list names the servers again, or traffic shows that they
// are gone. It has no I/O and no clock, and equal events give equal answers.
//
// What a list says by name is never held: a server that drains is left at once, whatever else the list says. Nor are single
// losses, or servers that drained before they were left out. The price is that a true loss of many is noticed by traffic, one
// backend after another, and not by the list; where that costs more than a bad list would, [rules] list_drop = 1 switches it off.
package lists

import (
	"maps"
	"slices"
	"time"

	"brasswell/balance"
)

// Settings are what a judge is told.
type Settings struct {
	// Share of the servers in service that lists may leave out within Memory; more is held. 1 holds nothing.
	MaxDropShare float64
	// Least is how many servers that has to be: a fleet of three loses a third with one.
	MinDropCount int
	// Memory is how long a server that was let go counts, so that a list which loses a tenth each second is held too.
	Window time.Duration
}

// DefaultSettings are those asked for by operators.
func DefaultSettings() Settings {
	return Settings{MaxDropShare: 0.22, MinDropCount: 2, Window: time.Minute}
}

// Server is one in service, and where to dial it.
type Server struct {
	Entry   balance.Entry
	Address string
}

// Update is what is to be passed on to the balancer.
type Update struct {
	Kind      balance.ListKind
	Entries   []balance.Entry
	Addresses map[string]string
}

// held is a server that the newest list leaves out.
type held struct {
	server Server
	since  time.Duration
	gone   bool // traffic says so
}

// Judge judges the lists of one proxy. It is not safe for concurrent use.
type Filter struct {
	set     Settings
	service map[string]Server // in service by the newest list
	held    map[string]*held
	let     []time.Duration // when servers were let go that nothing but a list spoke against, the oldest first
	mayDrop func(id string) bool
}

// New returns a judge that has seen no list. mayDrop says whether a server may be left out by what was agreed, and may be nil.
func New(s Settings, mayDrop func(id string) bool) *Filter {
	if mayDrop == nil {
		mayDrop = func(string) bool { return false }
	}
	return &Filter{set: s, service: map[string]Server{}, held: map[string]*held{}, mayDrop: mayDrop}
}

// Take judges a list and returns what to pass on in its place.
func (j *Filter) Apply(now time.Duration, u Update) Update {
	if u.Kind == balance.ListFailed {
		return u
	}
	named := make(map[string]bool, len(u.Entries))
	var out []balance.Entry // what is passed on
	var dropped []string    // by this list, though in service
	for _, e := range u.Entries {
		named[e.ID] = true
		if e.State == balance.Gone {
			// Named as removed: for who is in service the same as left out.
			if _, was := j.service[e.ID]; was {
				dropped = append(dropped, e.ID)
			} else if j.held[e.ID] == nil {
				out = append(out, e)
			}
			continue
		}
		delete(j.held, e.ID) // named again, in service or as one that drains
		out = append(out, e)
	}
	if u.Kind != balance.Delta {
		for id := range j.service {
			if !named[id] {
				dropped = append(dropped, id)
			}
		}
	}
	for _, id := range dropped {
		j.held[id] = &held{server: j.service[id], since: now}
		delete(j.service, id)
	}
	for _, e := range u.Entries {
		switch e.State {
		case balance.InService:
			j.service[e.ID] = Server{e, u.Addresses[e.ID]}
		case balance.Draining:
			delete(j.service, e.ID) // from here on its going is no surprise
		}
	}
	released := j.release(now)
	addresses := maps.Clone(u.Addresses)
	if addresses == nil {
		addresses = map[string]string{}
	}
	if u.Kind == balance.Delta {
		out = append(out, released...)
	} else {
		for _, id := range slices.Sorted(maps.Keys(j.held)) {
			h := j.held[id]
			out = append(out, h.server.Entry)
			addresses[id] = h.server.Address
		}
	}
	return Update{u.Kind, out, addresses}
}

// Agreed looks again at what is held, once what may be dropped has changed. It returns what to pass on, if anything.
func (j *Filter) Reevaluate(now time.Duration) (u Update, any bool) { return j.again(now) }

// Gone takes in that traffic finds servers silent or failing, and returns what to pass on, if anything. Who answers again
// meanwhile is not named: it is the caller's to name all that fail now.
func (j *Filter) SetUnreachable(now time.Duration, ids []string) (u Update, any bool) {
	for _, h := range j.held {
		h.gone = false
	}
	for _, id := range ids {
		if h := j.held[id]; h != nil {
			h.gone = true
		}
	}
	return j.again(now)
}

func (j *Filter) again(now time.Duration) (u Update, any bool) {
	released := j.release(now)
	return Update{Kind: balance.Delta, Entries: released, Addresses: map[string]string{}}, len(released) > 0
}

// release lets go of what need not be held, or all where it has become little, and returns it as removed.
func (j *Filter) release(now time.Duration) (gone []balance.Entry) {
	letGo := func(id string) {
		e := j.held[id].server.Entry
		e.State = balance.Gone
		gone = append(gone, e)
		delete(j.held, id)
	}
	ids := slices.Sorted(maps.Keys(j.held))
	for _, id := range ids {
		// A second witness: an operator's word, or the traffic's. It explains the loss, which then is no sign of a bad list.
		if j.held[id].gone || j.mayDrop(id) {
			letGo(id)
		}
	}
	for len(j.let) > 0 && now-j.let[0] >= j.set.Window {
		j.let = j.let[1:]
	}
	missing := len(j.held) + len(j.let)
	if missing >= j.set.MinDropCount && float64(missing) > j.set.MaxDropShare*float64(len(j.service)+missing) {
		return gone
	}
	for _, id := range ids {
		if j.held[id] != nil {
			letGo(id)
			j.let = append(j.let, now)
		}
	}
	return gone
}

// Carried is what one judge leaves to the next at an upgrade, which learns of the servers in service from the balancer.
type Snapshot struct {
	Held  []string        `cbor:"1,keyasint"` // ids, in order
	LetGo []time.Duration `cbor:"2,keyasint"` // how long ago servers were let go that nothing but a list spoke against, the longest first
}

// Carry returns what the next judge is to know.
func (j *Filter) Snapshot(now time.Duration) Snapshot {
	c := Snapshot{Held: j.Held()}
	for _, at := range j.let {
		c.LetGo = append(c.LetGo, now-at)
	}
	return c
}

// Adopt makes a judge that has seen no list go on where another is. servers are those that the balancer has in service, held ones included.
func (j *Filter) Restore(now time.Duration, c Snapshot, servers []Server) {
	for _, s := range servers {
		j.service[s.Entry.ID] = s
	}
	for _, id := range c.Held {
		if s, known := j.service[id]; known {
			j.held[id] = &held{server: s, since: now}
			delete(j.service, id)
		}
	}
	for _, ago := range c.LetGo {
		j.let = append(j.let, now-ago)
	}
}

// Held are the servers that are gone on with though the newest list leaves them out, in order.
func (j *Filter) Held() []string { return slices.Sorted(maps.Keys(j.held)) }

// Since is when the first of those was left out; 0 where none is held.
func (j *Filter) HeldSince() (since time.Duration) {
	for _, h := range j.held {
		if since == 0 || h.since < since {
			since = h.since
		}
	}
	return since
}
