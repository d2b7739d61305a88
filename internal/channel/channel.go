// Package channel relays WebSocket channels (RFC 6455) between callers and servers. The bytes go on as they came; the
// frames in them are followed, so that a ping or a Close can be put in between, and what breaks the protocol ends the
// channel with the right code on both sides. It decides nothing: plan does.
package channel

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/handshake"
	"brasswell/internal/channel/plan"
	"brasswell/internal/channel/ticket"
	"brasswell/internal/clock"
	"brasswell/internal/figures"
)

// Table is the channels of one proxy. It is safe for concurrent use.
type Table struct {
	options Options
	log     *slog.Logger
	gate    *gate
	sealer  *ticket.Sealer
	clock   clock.Steady

	mu     sync.Mutex
	plan   *plan.Planner
	relays map[plan.ID]*relay
	last   plan.ID
	ended  bool // no channel opens any more

	counts counts
	stop   context.CancelFunc
	done   sync.WaitGroup // the ticks and the relays
}

// counts are what figures tell, from 0 at the start.
type counts struct{ opened, refused, moved, cut, broken, toClients, toServers atomic.Int64 }

// Cold is what the platform says of servers that have just started.
type ColdStart struct {
	Share  float64 // share of the capacity at the start
	WarmUp time.Duration
}

// New returns a table without channels and begins to tick; Close ends it.
func New(o Options, cold ColdStart, seed uint64, log *slog.Logger) (*Table, error) {
	var key []byte
	if o.KeyFile != "" {
		var err error
		if key, err = os.ReadFile(o.KeyFile); err != nil {
			return nil, fmt.Errorf("channels: key: %w", err)
		}
		if len(key) < leastKey {
			return nil, fmt.Errorf("channels: key: %s holds %d bytes, and must hold %d at least", o.KeyFile, len(key), leastKey)
		}
	}
	t := &Table{
		options: o, log: log, gate: newGate(o.Memory), sealer: ticket.NewSealer(key),
		clock: clock.NewSteady(), relays: map[plan.ID]*relay{},
		plan: plan.New(plan.Settings{
			Rate: o.Rate, NodeRate: o.NodeRate, MaxWait: o.MaxWait, MaxChannels: o.MaxChannels, MaxTenantChannels: o.MaxTenantChannels,
			MoveWindow: o.MoveWindow, CloseTimeout: o.CloseTimeout, PingInterval: o.PingEvery, PongTimeout: o.PongTimeout,
			IdleTimeout: o.IdleTimeout, FrameGrace: o.FrameGrace, MinFrameRate: o.MinFrameRate,
			ColdShare: cold.Share, WarmUp: cold.WarmUp,
		}, seed),
	}
	var ctx context.Context
	ctx, t.stop = context.WithCancel(context.Background())
	t.done.Go(func() { t.tick(ctx) })
	return t, nil
}

const leastKey = 16

// now is Unix time, as the list's start times are, but never steps.
func (t *Table) now() time.Duration { return t.clock.Now() }

func (t *Table) tick(ctx context.Context) {
	ticker := time.NewTicker(plan.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t.mu.Lock()
		actions := t.plan.Tick(t.now(), t.look)
		due := make([]*relay, len(actions))
		for i, a := range actions {
			due[i] = t.relays[a.ID]
		}
		t.mu.Unlock()
		for i, a := range actions {
			switch a.Kind {
			case plan.CloseAfterMessage, plan.CloseNow:
				t.counts.moved.Add(1)
			case plan.Abort, plan.PeerTimeout, plan.FrameTimeout:
				t.counts.cut.Add(1)
				t.log.Debug("channel ended", "server", due[i].node, "reason", a.Reason, "side", sideNames[a.Side])
			}
			due[i].do(a)
		}
	}
}

var sideNames = [plan.NumSides]string{plan.Client: "client", plan.Server: "server"}

// look says how a channel stands; t.mu is held.
func (t *Table) look(id plan.ID) (a [plan.NumSides]plan.Activity) {
	for side, e := range t.relays[id].ends {
		a[side] = plan.Activity{
			LastRead: time.Duration(e.heard.Load()), LastMessage: time.Duration(e.spoke.Load()),
			FrameStart: time.Duration(e.since.Load()), FrameBytes: e.moved.Load(), Blocked: e.blocked.Load(), Parked: e.resting.Load(),
		}
	}
	return a
}

// Nodes takes in the servers that upgrades may go to, and those that are not to be used any more.
func (t *Table) SetNodes(nodes []plan.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.SetNodes(t.now(), nodes)
}

// Admission is what becomes of a request for a channel.
type Admission struct {
	plan.Decision
	SealedTicket string // the ticket to show next time; "" for one that is let in
	Tenant       int
	ticket       *ticket.Ticket
	name         string
}

// Ask says whether a request for a channel is let in. GivenUp or Open must follow one that is. name is the tenant's, and
// seal what the client showed.
func (t *Table) Admit(tenant int, name, seal string) Admission {
	a := Admission{Tenant: tenant, name: name}
	if seal != "" {
		if shown, err := t.sealer.Open(seal, name); err == nil {
			a.ticket = &shown
		}
	}
	t.mu.Lock()
	a.Decision = t.plan.Admit(t.now(), tenant, a.ticket)
	t.mu.Unlock()
	if !a.Admitted {
		t.counts.refused.Add(1)
		a.SealedTicket = t.sealer.Seal(a.Decision.Ticket, name)
	}
	return a
}

// GivenUp takes in that an upgrade which was let in did not become a channel.
func (t *Table) OpenFailed(a Admission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.OpenFailed(a.Tenant)
}

// Refused says when one may come again that was let in and then refused; GivenUp must have been called.
func (t *Table) Refused(a Admission) Admission {
	t.counts.refused.Add(1)
	t.mu.Lock()
	a.Decision = t.plan.Refused(t.now(), a.ticket)
	t.mu.Unlock()
	a.SealedTicket = t.sealer.Seal(a.Decision.Ticket, a.name)
	return a
}

// MayOpen says whether an upgrade may go to a server now, and counts it if so.
func (t *Table) AllowUpgrade(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan.AllowUpgrade(t.now(), server)
}

// Ends are the two sockets of a channel, and what has come behind each half of the handshake.
type Conns struct {
	Client, Server *net.TCPConn
	Buffered       []byte // the server's answer
}

// Open relays a channel whose 101 the client has been sent, until it is over; it does not wait for that. Both sockets
// belong to the table from now on.
func (t *Table) Open(a Admission, server string, ends Conns, agreed handshake.Agreement) {
	r := &relay{table: t, node: server}
	rules := rulesOf(agreed, &t.options)
	var errs [plan.NumSides]error
	r.ends[plan.Client], errs[plan.Client] = newEnd(plan.Client, ends.Client, nil, rules[plan.Client], t)
	r.ends[plan.Server], errs[plan.Server] = newEnd(plan.Server, ends.Server, ends.Buffered, rules[plan.Server], t)
	t.mu.Lock()
	if t.ended || errs[plan.Client] != nil || errs[plan.Server] != nil {
		t.plan.OpenFailed(a.Tenant)
		t.mu.Unlock()
		ends.Client.Close()
		ends.Server.Close()
		return
	}
	t.last++
	r.id = t.last
	r.ping = newPing(r.id)
	t.relays[r.id] = r
	t.plan.Opened(t.now(), r.id, server, a.Tenant)
	t.counts.opened.Add(1)
	t.done.Add(1)
	t.mu.Unlock()
	r.start()
}

// closed takes in that a relay is over.
func (t *Table) closed(r *relay) {
	t.mu.Lock()
	t.counts.toServers.Add(r.ends[plan.Client].bytes.Load())
	t.counts.toClients.Add(r.ends[plan.Server].bytes.Load())
	delete(t.relays, r.id)
	t.plan.Closed(r.id)
	t.mu.Unlock()
	t.done.Done()
}

// broke notes that an end broke the protocol.
func (t *Table) broke(r *relay, e *end, v *frame.Violation) {
	t.counts.broken.Add(1)
	t.log.Debug("channel broken", "server", r.node, "side", sideNames[e.side], "code", int(v.Code), "reason", v.Reason)
}

// Leave makes all channels move off, and lets none in any more.
func (t *Table) BeginShutdown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.Shutdown(t.now(), t.options.RestartWindow)
}

// Resting is how many ends are waited for at the least cost.
func (t *Table) Parked() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.relays {
		for _, e := range r.ends {
			if e.resting.Load() {
				n++
			}
		}
	}
	return n
}

// Len is how many channels are open.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.relays)
}

// LeaveWithin is how long after Leave channels may still be open.
func (t *Table) ShutdownTimeout() time.Duration {
	return t.options.RestartWindow + t.options.CloseTimeout + 4*plan.TickInterval
}

// Close cuts what is open, and returns once nothing runs.
func (t *Table) Close() {
	t.mu.Lock()
	t.ended = true
	open := slices.Collect(maps.Values(t.relays))
	t.mu.Unlock()
	t.stop()
	for _, r := range open {
		r.do(plan.Action{Kind: plan.Abort})
	}
	t.done.Wait()
}

// Append writes the channels' figures to text, one a line.
func (t *Table) AppendFigures(text []byte) []byte {
	line := func(name string, value int64, kind byte) {
		text = figures.AppendLine(text, name, value, kind)
	}
	t.mu.Lock()
	held := t.plan.OpenByServer()
	toServers, toClients := t.counts.toServers.Load(), t.counts.toClients.Load()
	for _, r := range t.relays {
		toServers += r.ends[plan.Client].bytes.Load()
		toClients += r.ends[plan.Server].bytes.Load()
	}
	open := len(t.relays)
	t.mu.Unlock()
	line("channels.open", int64(open), 'g')
	for _, id := range slices.Sorted(maps.Keys(held)) {
		line("channels.open."+id, int64(held[id]), 'g')
	}
	line("channels.opened", t.counts.opened.Load(), 'c')
	line("channels.refused", t.counts.refused.Load(), 'c')
	line("channels.moved", t.counts.moved.Load(), 'c')
	line("channels.cut", t.counts.cut.Load(), 'c')
	line("channels.broken", t.counts.broken.Load(), 'c')
	line("channels.bytes_to_servers", toServers, 'c')
	line("channels.bytes_to_clients", toClients, 'c')
	return text
}
