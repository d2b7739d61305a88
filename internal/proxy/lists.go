package proxy

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/balance"
	"brasswell/internal/cluster/lists"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/handover"
	"brasswell/internal/host"
)

// Log messages about servers that are missing from the newest list and are held for confirmation.
const (
	LogListHeld     = "list: held back"
	LogListReleased = "list: let go"
)

// ejectedPollInterval is the interval between two checks for held backends that the host has ejected, while any are held.
const ejectedPollInterval = 250 * time.Millisecond

// listGuard passes discovery's lists to the host, but keeps servers in use if its checker does not accept that a list
// leaves them out. A nil listGuard holds nothing. It runs a goroutine only while servers are held.
type listGuard struct {
	host       *host.Instance
	reportHeld func(ids []string) // receives the servers that are held now, for operators
	log        *slog.Logger
	ctx        context.Context // done when the proxy closes
	running    *sync.WaitGroup
	start      time.Time

	held atomic.Pointer[map[string]bool] // IDs of the held servers; nil for none

	mu      sync.Mutex
	checker *lists.Filter
	doc     *rules.Document // the rules agreed last; nil for none
	polling bool
}

func newListGuard(ctx context.Context, running *sync.WaitGroup, share float64, h *host.Instance, reportHeld func([]string), log *slog.Logger) *listGuard {
	k := &listGuard{host: h, reportHeld: reportHeld, log: log, ctx: ctx, running: running, start: time.Now()}
	settings := lists.DefaultSettings()
	settings.MaxDropShare = share
	k.checker = lists.New(settings, k.mayDrop)
	return k
}

// mayDrop reports whether a list may leave out a server without confirmation: one that the agreed rules ban or allow to be
// dropped. The checker calls it with mu held.
func (k *listGuard) mayDrop(id string) bool {
	if k.doc == nil {
		return false
	}
	_, out := k.doc.Bans[id]
	return out || k.doc.MayDrop(id)
}

func (k *listGuard) now() time.Duration { return time.Since(k.start) }

// update receives discovery's lists in place of the host, checks them, and passes the result to the host.
func (k *listGuard) update(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	u := k.checker.Apply(k.now(), lists.Update{Kind: kind, Entries: entries, Addresses: addresses})
	k.host.Update(u.Kind, u.Entries, u.Addresses)
	k.updateHeld()
}

// setRules sets the agreed rules that are in force.
func (k *listGuard) setRules(doc *rules.Document) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doc = doc
	k.forward(k.checker.Reevaluate(k.now()))
}

// forward passes released servers on to the host; mu must be held.
func (k *listGuard) forward(u lists.Update, any bool) {
	if any {
		k.host.Update(u.Kind, u.Entries, u.Addresses)
	}
	k.updateHeld()
}

// updateHeld logs and reports the held servers, and starts the polling of their traffic if any are held; mu must be held.
func (k *listGuard) updateHeld() {
	ids := k.checker.Held()
	before := 0
	if was := k.held.Load(); was != nil {
		before = len(*was)
	}
	switch {
	case len(ids) == 0 && before == 0:
		return
	case len(ids) == 0:
		k.held.Store(nil)
		k.log.Info(LogListReleased, "held", 0)
	default:
		held := make(map[string]bool, len(ids))
		for _, id := range ids {
			held[id] = true
		}
		k.held.Store(&held)
		if len(ids) > before {
			k.log.Warn(LogListHeld, "held", len(ids), "mend", "if they are gone, run brasswell ctl rules drop; if not, correct the list")
		} else if len(ids) < before {
			k.log.Info(LogListReleased, "held", len(ids))
		}
		if !k.polling {
			k.polling = true
			k.running.Go(k.pollEjected)
		}
	}
	k.reportHeld(ids)
}

// pollEjected periodically passes the held servers that the host has ejected to the checker, which may then release
// them. It runs until none are held.
func (k *listGuard) pollEjected() {
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-time.After(ejectedPollInterval):
		}
		k.mu.Lock()
		k.forward(k.checker.SetUnreachable(k.now(), k.host.Ejected(k.checker.Held())))
		if k.polling = len(k.checker.Held()) > 0; !k.polling {
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
	}
}

// exportTo stores a consistent snapshot of the balancer and of the held servers in the state for the next process.
func (k *listGuard) exportTo(state *handover.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state.Balancer, state.Addresses = k.host.Snapshot()
	state.Lists = k.checker.Snapshot(k.now())
}

// importFrom restores the servers that the previous process holds. It must be called before the first list arrives.
func (k *listGuard) importFrom(state *handover.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checker.Restore(k.now(), state.Lists, inServiceServers(state))
	k.updateHeld()
}

// inServiceServers returns the servers that are in service in the previous process, with their start times from the list.
func inServiceServers(state *handover.State) (servers []lists.Server) {
	for _, s := range state.Balancer.Servers {
		if s.Entry.State == balance.InService {
			entry := s.Entry
			entry.Boot = cmp.Or(s.Told, entry.Boot)
			servers = append(servers, lists.Server{Entry: entry, Address: state.Addresses[entry.ID]})
		}
	}
	return servers
}

// exportLists stores the balancer's snapshot in the state for the next process, and the servers that the newest list leaves
// out.
func (p *Proxy) exportLists(state *handover.State) {
	if p.lists != nil {
		p.lists.exportTo(state)
		return
	}
	state.Balancer, state.Addresses = p.host.Snapshot()
}

// importLists restores the servers that the previous process holds. If this process holds none, it removes them, because
// discovery does not report their removal again.
func (p *Proxy) importLists(state *handover.State) {
	if p.lists != nil {
		p.lists.importFrom(state)
		return
	}
	var gone []balance.Entry
	for _, id := range state.Lists.Held {
		gone = append(gone, balance.Entry{ID: id, State: balance.Gone})
	}
	if len(gone) > 0 {
		p.host.Update(balance.Delta, gone, nil)
	}
}

// isHeld reports whether a backend is held although the newest list leaves it out.
func (k *listGuard) isHeld(id string) bool {
	if k == nil {
		return false
	}
	held := k.held.Load()
	return held != nil && (*held)[id]
}
