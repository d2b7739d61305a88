// Package hollow runs many members of a fleet in one process, each with the code and the sockets of a real one and without the path
// of requests: a view (package cluster), and a part in the agreement (package agreement). It is for scale runs, in which many such
// hosts share one machine, and what the network between machines would do is done where something is sent.
//
//	host.go      Host: the members of one process
//	sample.go    how the members stand, and how changes have spread among them
//	member.go    one member
//	watch.go     what a member does, read from its log
//	layout.go    which address stands where
//	network.go   delays and cuts between places
//	protocol.go  what a host is asked, and answers
//	serve.go     a host as a process
package hollow

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brasswell/internal/cluster/rules"
	"brasswell/internal/rig/procfs"
)

// Host is the members of one process. Its methods may be called at any time.
type Host struct {
	fleet   Fleet
	network *Network

	mu          sync.Mutex
	members     map[string]*member
	living      map[string]uint64 // boots of all living members of the run, by name
	cuts        []cutSpan
	lost        int
	falseDeaths int
	elections   []int64
}

// cutGrace is how many periods after a cut a death may still be the outcome of it, as in package history.
const cutGrace = 24

// cutSpan is when a region was cut off. end is 0 while it is.
type cutSpan struct {
	region     int
	begin, end int64
}

// NewHost returns a host without members.
func NewHost(f Fleet) *Host {
	return &Host{fleet: f, network: NewNetwork(f.Layout, f.Seed), members: map[string]*member{}, living: map[string]uint64{}}
}

// Start starts members, until ctx is done.
func (h *Host) Start(ctx context.Context, s Start) error {
	for i, spec := range s.Members {
		if i > 0 && s.Every > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(s.Every):
			}
		}
		if err := h.startOne(spec); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) startOne(s Spec) error {
	h.mu.Lock()
	_, runs := h.members[s.Name]
	h.mu.Unlock()
	if runs {
		return fmt.Errorf("%s: it runs already", s.Name)
	}
	m, err := h.open(s)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members[s.Name] = m
	return nil
}

// Stop ends members at once, without a word to others.
func (h *Host) Stop(names []string) error {
	var ending sync.WaitGroup
	defer ending.Wait()
	for _, name := range names {
		h.mu.Lock()
		m := h.members[name]
		delete(h.members, name)
		h.mu.Unlock()
		if m == nil {
			return fmt.Errorf("%s: it does not run", name)
		}
		ending.Go(m.close)
	}
	return nil
}

// Close ends all members.
func (h *Host) Close() {
	var names []string
	for _, m := range h.all() {
		names = append(names, m.spec.Name)
	}
	h.Stop(names)
}

// all are the members that run.
func (h *Host) all() []*member {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*member, 0, len(h.members))
	for _, m := range h.members {
		all = append(all, m)
	}
	return all
}

// SetLiving takes in which members of the run live.
func (h *Host) SetLiving(l Living) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range l.Down {
		delete(h.living, name)
	}
	for _, b := range l.Up {
		h.living[b.Name] = b.Boot
	}
}

// Cut cuts a region off from the others, or heals that.
func (h *Host) Cut(c Cut) {
	now := time.Now().UnixNano()
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Heal {
		h.network.Heal(c.Region)
		for i := range h.cuts {
			if h.cuts[i].region == c.Region && h.cuts[i].end == 0 {
				h.cuts[i].end = now
			}
		}
		return
	}
	h.network.Cut(c.Region)
	h.cuts = append(h.cuts, cutSpan{region: c.Region, begin: now})
}

// death takes in that a member here holds another one dead.
func (h *Host) death(observer Spec, of Boot, at netip.Addr) {
	place, ok := h.fleet.Layout.PlaceOf(at)
	h.mu.Lock()
	defer h.mu.Unlock()
	boot, lives := h.living[of.Name]
	if !ok || !lives || boot != 0 && boot != of.Boot {
		return
	}
	if h.network.Reaches(Place{Zone: observer.Zone}, place) && !h.wasCut(h.fleet.Layout.Region(observer.Zone), h.fleet.Layout.Region(place.Zone)) {
		h.falseDeaths++
	}
}

// wasCut says whether one region was cut off from another so lately that a death may still be the outcome of it. The lock is held.
func (h *Host) wasCut(a, b int) bool {
	since := time.Now().Add(-cutGrace * h.fleet.Period).UnixNano()
	return a != b && slices.ContainsFunc(h.cuts, func(c cutSpan) bool { return (c.region == a || c.region == b) && (c.end == 0 || c.end > since) })
}

// leaseLost takes in that the lease of a member here has run out.
func (h *Host) leaseLost(s Spec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	region := h.fleet.Layout.Region(s.Zone)
	if !slices.ContainsFunc(h.cuts, func(c cutSpan) bool { return c.region == region && c.end == 0 }) {
		h.lost++
	}
}

func (h *Host) elected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.elections = append(h.elections, time.Now().UnixNano())
}

// Propose has a member propose a change, and returns what became of it.
func (h *Host) Propose(ctx context.Context, p Propose) (*Proposal, error) {
	m, err := h.named(p.At)
	if err != nil {
		return nil, err
	}
	c := rules.Change{Who: "scale", Why: "scale run", Server: p.Backend}
	switch p.Kind {
	case Ban:
		c.Kind = rules.Suspend
	case Configure:
		c.Kind, c.Settings = rules.Configure, &rules.Settings{Classes: map[string]rules.Class{}, Quota: 1}
		for _, name := range p.Classes {
			c.Settings.Classes[name] = rules.Class{NoRepeat: true}
		}
	default:
		return nil, fmt.Errorf("no kind of change %q", p.Kind)
	}
	ctx, cancel := context.WithTimeout(ctx, p.Within)
	defer cancel()
	proposal := &Proposal{ProposedNS: time.Now().UnixNano()}
	answer, err := m.rules.Propose(ctx, c)
	switch {
	case err != nil:
		proposal.No = err.Error()
	default:
		proposal.Version, proposal.No = answer.Version, answer.Rejection
	}
	return proposal, nil
}

func (h *Host) named(name string) (*member, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.members[name]; m != nil && m.node != nil {
		return m, nil
	}
	return nil, fmt.Errorf("%s: it does not run", name)
}

// Usage is what the process and its members have used.
func (h *Host) Usage() *Usage {
	u := &Usage{CPU: processorTime(), MemoryB: procfs.ResidentMemory(os.Getpid())}
	for _, m := range h.all() {
		if m.node != nil {
			u.Members = append(u.Members, m.usage())
		}
	}
	return u
}

// Document is the size of what a member acts on.
func (h *Host) Document(name string) (*Document, error) {
	m, err := h.named(name)
	if err != nil {
		return nil, err
	}
	b := m.rules.Basis()
	if b.Doc == nil {
		return nil, errors.New("nothing is acted on")
	}
	text, err := cbor.Marshal(b.Doc)
	if err != nil {
		return nil, err
	}
	return &Document{Version: b.Version, Bans: len(b.Doc.Bans), Classes: len(b.Doc.Classes), Numbers: len(b.Doc.Numbers), SizeB: len(text)}, nil
}
