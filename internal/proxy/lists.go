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

// The log's lines about lists that are held back.
const (
	LogHeld  = "list: held back"
	LogLetGo = "list: let go"
)

// askTraffic is between two looks at which of the backends that are held answer, while some are.
const ejectedPollInterval = 250 * time.Millisecond

// keptLists stands between discovery and the host, and holds back what a judge does not believe. A nil one holds nothing. It has a
// goroutine only while something is held.
type listGuard struct {
	host       *host.Instance
	reportHeld func(ids []string) // what is held now, for people
	log        *slog.Logger
	ctx        context.Context // ends with the proxy
	running    *sync.WaitGroup
	start      time.Time

	held atomic.Pointer[map[string]bool] // nil for none

	mu      sync.Mutex
	checker *lists.Judge
	doc     *rules.Document // what was agreed last; nil for nothing
	polling bool
}

func newListGuard(ctx context.Context, running *sync.WaitGroup, share float64, h *host.Instance, tell func([]string), log *slog.Logger) *listGuard {
	k := &listGuard{host: h, reportHeld: tell, log: log, ctx: ctx, running: running, start: time.Now()}
	settings := lists.DefaultSettings()
	settings.Share = share
	k.checker = lists.New(settings, k.mayDrop)
	return k
}

// mayDrop is asked by the judge, with mu held: who is banned everywhere is no loss, and no surprise.
func (k *listGuard) mayDrop(id string) bool {
	if k.doc == nil {
		return false
	}
	_, out := k.doc.Bans[id]
	return out || k.doc.MayDrop(id)
}

func (k *listGuard) now() time.Duration { return time.Since(k.start) }

// update takes in what discovery says, in the host's stead.
func (k *listGuard) update(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	u := k.checker.Take(k.now(), lists.Update{Kind: kind, Entries: entries, Addresses: addresses})
	k.host.Update(u.Kind, u.Entries, u.Addresses)
	k.updateHeld()
}

// agreed takes in the rules that are acted on.
func (k *listGuard) setRules(doc *rules.Document) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doc = doc
	k.forward(k.checker.Agreed(k.now()))
}

// pass passes on what is let go; mu is held.
func (k *listGuard) forward(u lists.Update, any bool) {
	if any {
		k.host.Update(u.Kind, u.Entries, u.Addresses)
	}
	k.updateHeld()
}

// noted tells what is held, if that has changed, and looks at the traffic while anything is; mu is held.
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
		k.log.Info(LogLetGo, "held", 0)
	default:
		held := make(map[string]bool, len(ids))
		for _, id := range ids {
			held[id] = true
		}
		k.held.Store(&held)
		if len(ids) > before {
			k.log.Warn(LogHeld, "held", len(ids), "mend", "if they are gone, brasswell ctl rules drop; if not, mend the list")
		} else if len(ids) < before {
			k.log.Info(LogLetGo, "held", len(ids))
		}
		if !k.polling {
			k.polling = true
			k.running.Go(k.pollEjected)
		}
	}
	k.reportHeld(ids)
}

// look asks the traffic about what is held until nothing is.
func (k *listGuard) pollEjected() {
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-time.After(ejectedPollInterval):
		}
		k.mu.Lock()
		k.forward(k.checker.Gone(k.now(), k.host.Ejected(k.checker.Held())))
		if k.polling = len(k.checker.Held()) > 0; !k.polling {
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
	}
}

// carry tells the next process what the balancer knows and what of that is held, as of one moment.
func (k *listGuard) exportTo(state *handover.Knowledge) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state.Balancer, state.Addresses = k.host.Snapshot()
	state.Lists = k.checker.Carry(k.now())
}

// adopt goes on with what the process before holds; it is for one that has taken in no list yet.
func (k *listGuard) importFrom(state *handover.Knowledge) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checker.Adopt(k.now(), state.Lists, inServiceServers(state))
	k.updateHeld()
}

// inService are the servers that the process before has in service, as a list has told them.
func inServiceServers(state *handover.Knowledge) (servers []lists.Server) {
	for _, s := range state.Balancer.Servers {
		if s.Entry.State == balance.InService {
			entry := s.Entry
			entry.Boot = cmp.Or(s.Told, entry.Boot)
			servers = append(servers, lists.Server{Entry: entry, Address: state.Addresses[entry.ID]})
		}
	}
	return servers
}

// carryLists tells the next process what the balancer knows, and what of that the newest list leaves out.
func (p *Proxy) exportLists(state *handover.Knowledge) {
	if p.lists != nil {
		p.lists.exportTo(state)
		return
	}
	state.Balancer, state.Addresses = p.host.Snapshot()
}

// adoptLists goes on with what the process before holds. Where nothing is held back any more, it is let go of: discovery does not say again that
// it is gone.
func (p *Proxy) importLists(state *handover.Knowledge) {
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

// holds says whether a backend is one that the newest list leaves out.
func (k *listGuard) isHeld(id string) bool {
	if k == nil {
		return false
	}
	held := k.held.Load()
	return held != nil && (*held)[id]
}
