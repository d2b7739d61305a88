// Package channel relays WebSocket channels (RFC 6455) between callers and servers. Data is forwarded unchanged. The
// relay parses the frames in it, so that it can insert a ping or a Close between two frames, and so that a violation of
// the protocol ends the channel with the right code on both sides. The decisions are made by package plan.
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

// Table holds the channels of one proxy. It is safe for concurrent use.
type Table struct {
	options Options
	log     *slog.Logger
	buffers *bufferPool
	sealer  *ticket.Sealer
	clock   clock.Steady

	mu      sync.Mutex
	plan    *plan.Planner
	relays  map[plan.ID]*relay
	lastID  plan.ID
	stopped bool // no more channels are opened

	counts counts
	stop   context.CancelFunc
	done   sync.WaitGroup // the ticker and the relays
}

// counts are the counters that AppendFigures writes. They start at 0 with the Table.
type counts struct{ opened, refused, moved, cut, broken, toClients, toServers atomic.Int64 }

// ColdStart is what the platform states about the capacity of servers that have just started.
type ColdStart struct {
	Share  float64       // share of the capacity at the start
	WarmUp time.Duration // until the full capacity is reached
}

// New returns a Table without channels and starts its ticker, which Close stops.
func New(o Options, cold ColdStart, seed uint64, log *slog.Logger) (*Table, error) {
	var key []byte
	if o.KeyFile != "" {
		var err error
		if key, err = os.ReadFile(o.KeyFile); err != nil {
			return nil, fmt.Errorf("channels: key: %w", err)
		}
		if len(key) < minKeyBytes {
			return nil, fmt.Errorf("channels: key: %s has %d bytes, but at least %d are required", o.KeyFile, len(key), minKeyBytes)
		}
	}
	t := &Table{
		options: o, log: log, buffers: newBufferPool(o.Memory), sealer: ticket.NewSealer(key),
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

const minKeyBytes = 16

// now returns Unix time, as the start times in the server list are. It is not affected when the wall clock is set.
func (t *Table) now() time.Duration { return t.clock.Now() }

// tick performs the planner's actions until ctx is done.
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
		actions := t.plan.Tick(t.now(), t.activity)
		targets := make([]*relay, len(actions))
		for i, a := range actions {
			targets[i] = t.relays[a.ID]
		}
		t.mu.Unlock()
		for i, a := range actions {
			switch a.Kind {
			case plan.CloseAfterMessage, plan.CloseNow:
				t.counts.moved.Add(1)
			case plan.Abort, plan.PeerTimeout, plan.FrameTimeout:
				t.counts.cut.Add(1)
				t.log.Debug("channel ended", "server", targets[i].server, "reason", a.Reason, "side", sideNames[a.Side])
			}
			targets[i].perform(a)
		}
	}
}

var sideNames = [plan.NumSides]string{plan.Client: "client", plan.Server: "server"}

// activity returns the state of a channel's ends. t.mu must be held.
func (t *Table) activity(id plan.ID) (a [plan.NumSides]plan.Activity) {
	for side, e := range t.relays[id].ends {
		a[side] = plan.Activity{
			LastRead: time.Duration(e.lastRead.Load()), LastMessage: time.Duration(e.lastMessage.Load()),
			FrameStart: time.Duration(e.frameStart.Load()), FrameBytes: e.frameBytes.Load(), Blocked: e.blocked.Load(), Parked: e.parked.Load(),
		}
	}
	return a
}

// SetNodes sets the servers: those that upgrades may go to, and those that must not be used any more.
func (t *Table) SetNodes(nodes []plan.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.SetNodes(t.now(), nodes)
}

// Admission is the outcome of a request for a channel.
type Admission struct {
	plan.Decision
	SealedTicket string // the ticket to present at the next request; "" if this one is admitted
	Tenant       int
	ticket       *ticket.Ticket
	tenantName   string
}

// Admit decides whether a request for a channel is admitted. An admission must be followed by OpenFailed or Open. sealed
// is the ticket that the client presents, or "".
func (t *Table) Admit(tenant int, tenantName, sealed string) Admission {
	a := Admission{Tenant: tenant, tenantName: tenantName}
	if sealed != "" {
		if presented, err := t.sealer.Open(sealed, tenantName); err == nil {
			a.ticket = &presented
		}
	}
	t.mu.Lock()
	a.Decision = t.plan.Admit(t.now(), tenant, a.ticket)
	t.mu.Unlock()
	if !a.Admitted {
		t.counts.refused.Add(1)
		a.SealedTicket = t.sealer.Seal(a.Decision.Ticket, tenantName)
	}
	return a
}

// OpenFailed records that an admitted upgrade did not become a channel.
func (t *Table) OpenFailed(a Admission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.OpenFailed(a.Tenant)
}

// Refused decides when a client may retry that was admitted and then refused by the balancer. OpenFailed must have been
// called before.
func (t *Table) Refused(a Admission) Admission {
	t.counts.refused.Add(1)
	t.mu.Lock()
	a.Decision = t.plan.Refused(t.now(), a.ticket)
	t.mu.Unlock()
	a.SealedTicket = t.sealer.Seal(a.Decision.Ticket, a.tenantName)
	return a
}

// AllowUpgrade reports whether an upgrade may go to a server now, and counts it if so.
func (t *Table) AllowUpgrade(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan.AllowUpgrade(t.now(), server)
}

// Conns are the two sockets of a channel, and the data that was read after the server's half of the handshake.
type Conns struct {
	Client, Server *net.TCPConn
	Buffered       []byte // read from the server after its 101
}

// Open starts to relay a channel for which the client has been sent the 101, and returns. Both sockets belong to the
// table from now on.
func (t *Table) Open(a Admission, server string, conns Conns, agreed handshake.Agreement) {
	r := &relay{table: t, server: server}
	rules := frameRules(agreed, &t.options)
	var errs [plan.NumSides]error
	r.ends[plan.Client], errs[plan.Client] = newEnd(plan.Client, conns.Client, nil, rules[plan.Client], t)
	r.ends[plan.Server], errs[plan.Server] = newEnd(plan.Server, conns.Server, conns.Buffered, rules[plan.Server], t)
	t.mu.Lock()
	if t.stopped || errs[plan.Client] != nil || errs[plan.Server] != nil {
		t.plan.OpenFailed(a.Tenant)
		t.mu.Unlock()
		conns.Client.Close()
		conns.Server.Close()
		return
	}
	t.lastID++
	r.id = t.lastID
	r.ping = newPingPayload(r.id)
	t.relays[r.id] = r
	t.plan.Opened(t.now(), r.id, server, a.Tenant)
	t.counts.opened.Add(1)
	t.done.Add(1)
	t.mu.Unlock()
	r.start()
}

// relayDone records that a relay has ended.
func (t *Table) relayDone(r *relay) {
	t.mu.Lock()
	t.counts.toServers.Add(r.ends[plan.Client].forwarded.Load())
	t.counts.toClients.Add(r.ends[plan.Server].forwarded.Load())
	delete(t.relays, r.id)
	t.plan.Closed(r.id)
	t.mu.Unlock()
	t.done.Done()
}

// protocolError counts and logs that an end violated the protocol.
func (t *Table) protocolError(r *relay, e *end, v *frame.Violation) {
	t.counts.broken.Add(1)
	t.log.Debug("channel broken", "server", r.server, "side", sideNames[e.side], "code", int(v.Code), "reason", v.Reason)
}

// BeginShutdown makes all channels leave, and stops admission. It does not wait for the channels.
func (t *Table) BeginShutdown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan.Shutdown(t.now(), t.options.RestartWindow)
}

// Parked returns the number of ends that are parked.
func (t *Table) Parked() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.relays {
		for _, e := range r.ends {
			if e.parked.Load() {
				n++
			}
		}
	}
	return n
}

// Len returns the number of open channels.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.relays)
}

// ShutdownTimeout returns how long after BeginShutdown channels may still be open.
func (t *Table) ShutdownTimeout() time.Duration {
	return t.options.RestartWindow + t.options.CloseTimeout + 4*plan.TickInterval
}

// Close aborts all open channels, and returns once all goroutines of the table have ended.
func (t *Table) Close() {
	t.mu.Lock()
	t.stopped = true
	open := slices.Collect(maps.Values(t.relays))
	t.mu.Unlock()
	t.stop()
	for _, r := range open {
		r.perform(plan.Action{Kind: plan.Abort})
	}
	t.done.Wait()
}

// AppendFigures appends the channels' metrics to text, one on each line.
func (t *Table) AppendFigures(text []byte) []byte {
	line := func(name string, value int64, kind byte) {
		text = figures.AppendLine(text, name, value, kind)
	}
	t.mu.Lock()
	byServer := t.plan.OpenByServer()
	toServers, toClients := t.counts.toServers.Load(), t.counts.toClients.Load()
	for _, r := range t.relays {
		toServers += r.ends[plan.Client].forwarded.Load()
		toClients += r.ends[plan.Server].forwarded.Load()
	}
	open := len(t.relays)
	t.mu.Unlock()
	line("channels.open", int64(open), 'g')
	for _, id := range slices.Sorted(maps.Keys(byServer)) {
		line("channels.open."+id, int64(byServer[id]), 'g')
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
