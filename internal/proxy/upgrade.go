package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"brasswell/internal/handover"
)

// helloTime bounds how long a new process may take to say who it is.
const helloTime = time.Second

// upgrade is a proxy's side of a handover: to the process before it, and to the one after it.
type upgrade struct {
	proxy     *Proxy
	dir, name string
	running   sync.WaitGroup
	ended     sync.Once

	mu       sync.Mutex
	elder    handover.OldProcess
	part     handover.Share
	older    *handover.Peer // nil once that has gone
	younger  *handover.Peer
	listener *net.UnixListener
	over     bool
}

func newUpgrade(p *Proxy, dir, name string) *upgrade {
	return &upgrade{proxy: p, dir: dir, name: name, part: handover.FullShare}
}

// join takes over what the running process knows, and says whether there is one.
func (u *upgrade) join() bool {
	p := u.proxy
	peer, k, err := handover.Connect(u.dir, u.name)
	if err != nil {
		p.log.Warn("upgrade: nothing taken over, starting plainly", "error", err)
	}
	if peer == nil {
		return false
	}
	p.host.Adopt(k.Balancer, k.Addresses, k.Clock)
	p.adoptLists(k)
	if k.BannedByOperator == nil {
		k.BannedByOperator = k.Balancer.Banned
	}
	p.host.RecordBans(k.BannedByOperator)
	p.discovery.Resume(k.Seq)
	p.front.SetOpenElsewhere(k.OpenIDs)
	p.restart.Restore(k.LongestDeadline, k.LatencyP95)
	p.log.Info("upgrade: going on where the running process is", "servers", len(k.Balancer.Servers),
		"out_by_hand", len(k.Balancer.Banned), "open", len(k.OpenIDs))
	u.older = peer
	u.setPart(handover.NewProcessShare(k.CallerConns, p.limits.soft))
	return true
}

// setPart must be called with mu held, or before begin.
func (u *upgrade) setPart(part handover.Share) {
	u.part = part
	u.proxy.setPart(part)
}

// begin waits for the next process, and tells the one before that this one takes clients.
func (u *upgrade) begin() {
	u.mu.Lock()
	l, err := handover.Listen(u.dir, u.name)
	if err != nil {
		u.proxy.log.Warn("upgrade: a new process will start plainly beside this one", "error", err)
	} else {
		u.listener = l
		u.running.Go(func() { u.accept(l) })
	}
	older := u.older
	u.mu.Unlock()
	if older == nil {
		return
	}
	u.running.Go(func() { u.follow(older) })
	if _, err := older.Request(context.Background(), handover.Message{Kind: handover.Ready}); err != nil {
		u.proxy.log.Warn("upgrade: the process before does not know that this one takes clients", "error", err)
	}
}

// follow hears the process before until it has gone.
func (u *upgrade) follow(older *handover.Peer) {
	err := older.Serve(func(m handover.Message) {
		switch m.Kind {
		case handover.Ban:
			u.ban(older, m)
		case handover.ShuttingDown:
			u.mu.Lock()
			u.setPart(handover.ShareAfterShutdown(u.part))
			u.mu.Unlock()
		}
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.older = nil
	if u.over {
		return
	}
	u.proxy.front.SetOpenElsewhere(nil)
	u.setPart(handover.FullShare)
	u.proxy.log.Info("upgrade: the process before has gone", "last", err)
}

func (u *upgrade) ban(from *handover.Peer, m handover.Message) {
	known := u.proxy.host.SetBanned(m.Server, m.Banned)
	if known {
		if err := u.proxy.kept(context.Background(), m.Server, m.Banned, true); err != nil {
			u.proxy.log.Error("by hand, at the other process: not on disk", "backend", m.Server, "error", err)
		}
	}
	u.proxy.log.Info("by hand, at the other process", "backend", m.Server, "out", m.Banned, "known", known)
	from.Send(handover.Message{Kind: handover.Done, Number: m.Number, Known: known})
}

// accept serves the processes that come after this one, one at a time.
func (u *upgrade) accept(l *net.UnixListener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		u.succeed(conn)
	}
}

func (u *upgrade) succeed(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(helloTime))
	m, err := handover.Read(conn)
	if err != nil || m.Kind != handover.Hello {
		u.proxy.log.Warn("upgrade: a caller that is no process of this proxy", "error", err)
		return
	}
	peer := handover.NewPeer(conn)
	if !u.give(conn, peer) {
		return
	}
	err = peer.Serve(func(m handover.Message) {
		switch m.Kind {
		case handover.Ban:
			u.ban(peer, m)
		case handover.Ready:
			u.mu.Lock()
			u.elder.SuccessorReady()
			u.mu.Unlock()
			u.proxy.log.Info("upgrade: the new process takes clients")
			peer.Send(handover.Message{Kind: handover.Done, Number: m.Number})
		}
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.younger = nil
	part := u.elder.SuccessorGone()
	if u.over {
		return
	}
	u.setPart(part)
	u.proxy.log.Warn("upgrade: the new process has gone", "last", err)
}

// give tells a new process all that this one knows. It holds mu meanwhile, so that what is decided by hand stands in
// it or is told behind it.
func (u *upgrade) give(conn net.Conn, peer *handover.Peer) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.over {
		return false
	}
	p := u.proxy
	k := &handover.State{
		Seq: p.discovery.Seq(), OpenIDs: p.front.OpenIDs(), CallerConns: p.callers.Len(),
		LongestDeadline: p.restart.LongestDeadline(), LatencyP95: p.restart.LatencyP95(),
	}
	p.carryLists(k)
	k.Clock = p.host.Clock()
	k.BannedByOperator = append([]string{}, p.host.Banned()...)
	if err := peer.Send(handover.Message{Kind: handover.StateReply, State: k}); err != nil {
		p.log.Warn("upgrade: the new process did not get what this one knows", "error", err)
		return false
	}
	conn.SetDeadline(time.Time{})
	u.younger = peer
	u.setPart(u.elder.StateRequested(k.CallerConns, p.limits.soft))
	return true
}

// leave says whether another process takes the callers, now that this one has been told to go.
func (u *upgrade) leave() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.elder.Shutdown() {
		return false
	}
	u.setPart(handover.Share{Callers: u.part.Callers})
	if err := u.younger.Send(handover.Message{Kind: handover.ShuttingDown}); err != nil {
		u.proxy.log.Warn("upgrade: the new process does not know that this one leaves", "error", err)
	}
	return true
}

// tell tells the other processes what was decided by hand here, and says whether one of them knows the server.
func (u *upgrade) tell(ctx context.Context, server string, out bool) (known bool) {
	u.mu.Lock()
	peers := []*handover.Peer{u.older, u.younger}
	u.mu.Unlock()
	for _, peer := range peers {
		if peer == nil {
			continue
		}
		done, err := peer.Request(ctx, handover.Message{Kind: handover.Ban, Server: server, Banned: out})
		if err != nil {
			u.proxy.log.Warn("by hand: the other process has not answered", "backend", server, "error", err)
		}
		known = known || done.Known
	}
	return known
}

// end ends all talk with other processes.
func (u *upgrade) end() {
	u.ended.Do(func() {
		u.mu.Lock()
		u.over = true
		if u.listener != nil {
			u.listener.Close()
		}
		for _, peer := range []*handover.Peer{u.older, u.younger} {
			if peer != nil {
				peer.Close()
			}
		}
		u.mu.Unlock()
		u.running.Wait()
	})
}
