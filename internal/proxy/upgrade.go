package proxy

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"brasswell/internal/front/claims"
	"brasswell/internal/handover"
)

// helloTimeout limits how long a new process may take to send its hello.
const helloTimeout = time.Second

// upgrade runs a proxy's handovers: from the process before it, its predecessor, and to the one after it, its successor.
type upgrade struct {
	proxy     *Proxy
	dir, name string
	running   sync.WaitGroup
	closeOnce sync.Once

	mu          sync.Mutex
	outgoing    handover.OldProcess
	share       handover.Share
	peers       map[*handover.Peer]struct{} // the processes that this one is connected to
	predecessor *handover.Peer              // nil once it has ended
	successor   *handover.Peer              // the process that has requested the state last; nil if it has ended
	listener    *net.UnixListener
	presence    *handover.Presence // nil if it cannot be shown
	closed      bool
}

func newUpgrade(p *Proxy, dir, name string) *upgrade {
	return &upgrade{proxy: p, dir: dir, name: name, share: handover.FullShare, peers: map[*handover.Peer]struct{}{}}
}

// handsOver reports whether another process of the proxy may run at the same time.
func (c *Config) handsOver() bool { return c.Inherited != nil && c.HandoverDir != "" }

// openClaims returns the table of the ids in use. All processes of a proxy share one, so that each rejects the ids that another one
// has open.
func (p *Proxy) openClaims(c *Config) *claims.Table {
	if !c.handsOver() {
		return claims.New()
	}
	table, err := claims.Open(filepath.Join(c.HandoverDir, "brasswell-"+c.Name+".ids"))
	if err != nil {
		p.log.Warn("upgrade: the ids of open requests are not shared with another process", "error", err)
		return claims.New()
	}
	return table
}

// restoreState takes over the state of the running process, and reports whether there is one.
func (u *upgrade) restoreState() bool {
	p := u.proxy
	peer, state, err := handover.Connect(u.dir, u.name)
	if err != nil {
		p.log.Warn("upgrade: nothing taken over, starting plainly", "error", err)
	}
	if u.presence, err = handover.ShowPresence(u.dir, u.name); err != nil {
		p.log.Warn("upgrade: a new process may not find this one after an upgrade that failed", "error", err)
	}
	if peer == nil {
		return false
	}
	p.host.Adopt(state.Balancer, state.Addresses, state.Clock)
	p.importLists(state)
	if state.BannedByOperator == nil {
		state.BannedByOperator = state.Balancer.Banned
	}
	p.host.RecordBans(state.BannedByOperator)
	p.discovery.Resume(state.Seq)
	p.front.SetOpenElsewhere(state.OpenIDs)
	p.restart.Restore(state.LongestDeadline, state.LatencyP95)
	p.log.Info("upgrade: going on where the running process is", "servers", len(state.Balancer.Servers),
		"out_by_hand", len(state.Balancer.Banned), "open", len(state.OpenIDs))
	u.predecessor = peer
	u.peers[peer] = struct{}{}
	u.setShare(handover.NewProcessShare(state.CallerConns, p.limits.softCallers))
	return true
}

// setShare must be called with mu held, or before start.
func (u *upgrade) setShare(share handover.Share) {
	u.share = share
	u.proxy.setShare(share)
}

// start begins to wait for a successor, and notifies the predecessor that this process serves clients.
func (u *upgrade) start() {
	u.mu.Lock()
	u.listen()
	predecessor := u.predecessor
	u.mu.Unlock()
	if predecessor == nil {
		return
	}
	u.running.Go(func() { u.servePredecessor(predecessor) })
	if _, err := predecessor.Request(context.Background(), handover.Message{Kind: handover.Ready}); err != nil {
		u.proxy.log.Warn("upgrade: could not notify the previous process that this one serves clients", "error", err)
	}
}

// listen waits for a successor at the proxy's socket. It must be called with mu held.
func (u *upgrade) listen() {
	l, err := handover.Listen(u.dir, u.name)
	if err != nil {
		u.proxy.log.Warn("upgrade: a new process will start plainly beside this one", "error", err)
		return
	}
	if u.listener != nil {
		u.listener.Close() // a successor has replaced its socket
	}
	u.listener = l
	u.running.Go(func() { u.acceptSuccessors(l) })
}

// servePredecessor handles the predecessor's messages until it has ended.
func (u *upgrade) servePredecessor(predecessor *handover.Peer) {
	err := predecessor.Serve(func(m handover.Message) {
		switch m.Kind {
		case handover.Ban:
			u.applyBan(predecessor, m)
		case handover.ShuttingDown:
			u.mu.Lock()
			u.setShare(handover.ShareAfterShutdown(u.share))
			u.mu.Unlock()
		}
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.predecessor = nil
	delete(u.peers, predecessor)
	if u.closed {
		return
	}
	u.proxy.front.SetOpenElsewhere(nil)
	u.setShare(handover.FullShare)
	u.proxy.log.Info("upgrade: the process before has gone", "last", err)
}

// applyBan carries out a ban of another process and passes it on: after overlapping upgrades, that process may not be
// connected to all others.
func (u *upgrade) applyBan(from *handover.Peer, m handover.Message) {
	known := u.proxy.host.SetBanned(m.Server, m.Banned)
	known = u.sendBan(context.Background(), from, m.Server, m.Banned) || known
	if known {
		if err := u.proxy.persistBan(context.Background(), m.Server, m.Banned, true); err != nil {
			u.proxy.log.Error("by hand, at the other process: not on disk", "backend", m.Server, "error", err)
		}
	}
	u.proxy.log.Info("by hand, at the other process", "backend", m.Server, "out", m.Banned, "known", known)
	from.Send(handover.Message{Kind: handover.Done, Number: m.Number, Known: known})
}

// acceptSuccessors serves the processes that connect to take over from this one. There may be several: a new process may
// hang before it serves clients, and another one is started.
func (u *upgrade) acceptSuccessors(l *net.UnixListener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		u.running.Go(func() { u.serveSuccessor(conn) })
	}
}

func (u *upgrade) serveSuccessor(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(helloTimeout))
	m, err := handover.Read(conn)
	if errors.Is(err, io.EOF) {
		return // it has only asked whether this process is reachable
	}
	if err != nil || m.Kind != handover.Hello {
		u.proxy.log.Warn("upgrade: rejected a connection without a valid hello", "error", err)
		return
	}
	peer := handover.NewPeer(conn)
	if !u.sendState(conn, peer) {
		return
	}
	err = peer.Serve(func(m handover.Message) {
		switch m.Kind {
		case handover.Ban:
			u.applyBan(peer, m)
		case handover.Ready:
			u.successorReady(peer)
			u.proxy.log.Info("upgrade: the new process serves clients")
			peer.Send(handover.Message{Kind: handover.Done, Number: m.Number})
		}
	})
	u.successorGone(peer, err)
}

func (u *upgrade) successorReady(peer *handover.Peer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.successor == peer {
		u.outgoing.SuccessorReady()
	}
}

// successorGone handles the end of a successor. That may have replaced this process's socket by its own, which leads
// nowhere now, so this process listens anew unless yet another one can be reached there.
func (u *upgrade) successorGone(peer *handover.Peer, reason error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.peers, peer)
	if u.closed {
		return
	}
	u.proxy.log.Warn("upgrade: the new process has gone", "last", reason)
	if u.successor == peer {
		u.successor = nil
		u.setShare(u.outgoing.SuccessorGone())
	}
	if !handover.Reachable(u.dir, u.name) {
		u.listen()
	}
}

// sendState sends this process's state to a new process. It holds mu throughout, so that every operator override is either
// in the state or is sent after it.
func (u *upgrade) sendState(conn net.Conn, peer *handover.Peer) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return false
	}
	p := u.proxy
	state := &handover.State{
		Seq: p.discovery.Seq(), OpenIDs: p.front.OpenIDs(), CallerConns: p.callers.Len(),
		LongestDeadline: p.restart.LongestDeadline(), LatencyP95: p.restart.LatencyP95(),
	}
	p.exportLists(state)
	state.Clock = p.host.Clock()
	state.BannedByOperator = append([]string{}, p.host.Banned()...)
	if err := peer.Send(handover.Message{Kind: handover.StateReply, State: state}); err != nil {
		p.log.Warn("upgrade: could not send the state to the new process", "error", err)
		return false
	}
	conn.SetDeadline(time.Time{})
	u.successor = peer
	u.peers[peer] = struct{}{}
	u.setShare(u.outgoing.StateRequested(state.CallerConns, p.limits.softCallers))
	return true
}

// handOff reports whether the successor serves the callers now that this process is to shut down. If so, it keeps only
// its share of the callers' connections and notifies the successor.
func (u *upgrade) handOff() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.outgoing.Shutdown() {
		return false
	}
	u.setShare(handover.Share{Callers: u.share.Callers})
	if err := u.successor.Send(handover.Message{Kind: handover.ShuttingDown}); err != nil {
		u.proxy.log.Warn("upgrade: could not notify the new process of the shutdown", "error", err)
	}
	return true
}

// sendBan sends an operator's ban, or its lifting, to the other processes except the one that it came from, if any. It
// reports whether one of them knows the server.
func (u *upgrade) sendBan(ctx context.Context, from *handover.Peer, server string, banned bool) (known bool) {
	u.mu.Lock()
	peers := slices.Collect(maps.Keys(u.peers))
	u.mu.Unlock()
	for _, peer := range peers {
		if peer == from {
			continue
		}
		done, err := peer.Request(ctx, handover.Message{Kind: handover.Ban, Server: server, Banned: banned})
		if err != nil {
			u.proxy.log.Warn("operator override: the other process has not answered", "backend", server, "error", err)
		}
		known = known || done.Known
	}
	return known
}

// close closes the connections to other processes and waits until they are no longer served.
func (u *upgrade) close() {
	u.closeOnce.Do(func() {
		u.mu.Lock()
		u.closed = true
		if u.listener != nil {
			u.listener.Close()
		}
		for peer := range u.peers {
			peer.Close()
		}
		u.mu.Unlock()
		u.running.Wait()
		if u.presence != nil {
			u.presence.Close()
		}
	})
}
