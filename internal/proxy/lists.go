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
	LogListHeld     = "list: held back"
	LogListReleased = "list: let go"
)

// askTraffic is between two looks at which of the backends that are held answer, while some are.
const askTraffic = 250 * time.Millisecond

// keptLists stands between discovery and the host, and holds back what a judge does not believe. A nil one holds nothing. It has a
// goroutine only while something is held.
type keptLists struct {
	host    *host.Instance
	tell    func(ids []string) // what is held now, for people
	log     *slog.Logger
	ctx     context.Context // ends with the proxy
	running *sync.WaitGroup
	begun   time.Time

	held atomic.Pointer[map[string]bool] // nil for none

	mu      sync.Mutex
	judge   *lists.Filter
	doc     *rules.Document // what was agreed last; nil for nothing
	looking bool
}

func newKeptLists(ctx context.Context, running *sync.WaitGroup, share float64, h *host.Instance, tell func([]string), log *slog.Logger) *keptLists {
	k := &keptLists{host: h, tell: tell, log: log, ctx: ctx, running: running, begun: time.Now()}
	set := lists.DefaultSettings()
	set.MaxDropShare = share
	k.judge = lists.New(set, k.mayDrop)
	return k
}

// mayDrop is asked by the judge, with mu held: who is banned everywhere is no loss, and no surprise.
func (k *keptLists) mayDrop(id string) bool {
	if k.doc == nil {
		return false
	}
	_, out := k.doc.Bans[id]
	return out || k.doc.MayDrop(id)
}

func (k *keptLists) now() time.Duration { return time.Since(k.begun) }

// update takes in what discovery says, in the host's stead.
func (k *keptLists) update(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	u := k.judge.Apply(k.now(), lists.Update{Kind: kind, Entries: entries, Addresses: addresses})
	k.host.Update(u.Kind, u.Entries, u.Addresses)
	k.noted()
}

// agreed takes in the rules that are acted on.
func (k *keptLists) agreed(doc *rules.Document) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doc = doc
	k.pass(k.judge.Reevaluate(k.now()))
}

// pass passes on what is let go; mu is held.
func (k *keptLists) pass(u lists.Update, any bool) {
	if any {
		k.host.Update(u.Kind, u.Entries, u.Addresses)
	}
	k.noted()
}

// noted tells what is held, if that has changed, and looks at the traffic while anything is; mu is held.
func (k *keptLists) noted() {
	ids := k.judge.Held()
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
			k.log.Warn(LogListHeld, "held", len(ids), "mend", "if they are gone, brasswell ctl rules drop; if not, mend the list")
		} else if len(ids) < before {
			k.log.Info(LogListReleased, "held", len(ids))
		}
		if !k.looking {
			k.looking = true
			k.running.Go(k.look)
		}
	}
	k.tell(ids)
}

// look asks the traffic about what is held until nothing is.
func (k *keptLists) look() {
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-time.After(askTraffic):
		}
		k.mu.Lock()
		k.pass(k.judge.SetUnreachable(k.now(), k.host.Ejected(k.judge.Held())))
		if k.looking = len(k.judge.Held()) > 0; !k.looking {
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
	}
}

// carry tells the next process what the balancer knows and what of that is held, as of one moment.
func (k *keptLists) carry(to *handover.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	to.Balancer, to.Addresses = k.host.Snapshot()
	to.Lists = k.judge.Snapshot(k.now())
}

// adopt goes on with what the process before holds; it is for one that has taken in no list yet.
func (k *keptLists) adopt(from *handover.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.judge.Restore(k.now(), from.Lists, inService(from))
	k.noted()
}

// inService are the servers that the process before has in service, as a list has told them.
func inService(k *handover.State) (servers []lists.Server) {
	for _, s := range k.Balancer.Servers {
		if s.Entry.State == balance.InService {
			entry := s.Entry
			entry.Boot = cmp.Or(s.Told, entry.Boot)
			servers = append(servers, lists.Server{Entry: entry, Address: k.Addresses[entry.ID]})
		}
	}
	return servers
}

// carryLists tells the next process what the balancer knows, and what of that the newest list leaves out.
func (p *Proxy) carryLists(to *handover.State) {
	if p.lists != nil {
		p.lists.carry(to)
		return
	}
	to.Balancer, to.Addresses = p.host.Snapshot()
}

// adoptLists goes on with what the process before holds. Where nothing is held back any more, it is let go of: discovery does not say again that
// it is gone.
func (p *Proxy) adoptLists(from *handover.State) {
	if p.lists != nil {
		p.lists.adopt(from)
		return
	}
	var gone []balance.Entry
	for _, id := range from.Lists.Held {
		gone = append(gone, balance.Entry{ID: id, State: balance.Gone})
	}
	if len(gone) > 0 {
		p.host.Update(balance.Delta, gone, nil)
	}
}

// holds says whether a backend is one that the newest list leaves out.
func (k *keptLists) holds(id string) bool {
	if k == nil {
		return false
	}
	held := k.held.Load()
	return held != nil && (*held)[id]
}
