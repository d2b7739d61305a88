// Package proxy carries a balancer's decisions out on real sockets: callers on one side, backends on the
// other, and discovery, which names the backends. It decides nothing.
package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"brasswell/balance"
	"brasswell/internal/settings"
)

// Config is all that a proxy is told.
type Config struct {
	Listen    string
	Discovery string
	Seed      uint64
	Settings  *settings.Settings
	Known     json.RawMessage // the server list as last had, in discovery's form; may be absent
	Memory    int64           // bytes
	Sockets   int
	Log       *slog.Logger
}

const (
	// reservedSockets are for discovery, the listener, the runtime and the standard streams.
	reservedSockets = 32
	// callerShare and backendShare of the other sockets are for each side. A request uses one of each, and
	// callers' connections that are only there to be refused need a few more.
	callerShare, crowdShare, backendShare = 0.46, 0.54, 0.46
	// bodyShare of the memory may hold callers' bodies. The rest is for answers (maxBody for each backend
	// connection at most), connections and the collector's slack.
	bodyShare = 0.25
	// kernelShare of the memory bounds what all sockets may hold in the kernel, where it counts as ours and
	// the collector does not see it. Left alone, one connection's buffers grow to megabytes.
	kernelShare = 0.2
	// A socket's buffer is no smaller than leastBuffer, which the kernel would not go below by much, and
	// needs to be no larger than mostBuffer, which takes a whole body.
	leastBuffer, mostBuffer = 8 << 10, 64 << 10
)

// socketBuffers returns a hook that bounds the kernel's buffers of a socket, and of those that a listener accepts.
func socketBuffers(memory int64, sockets int) func(network, address string, c syscall.RawConn) error {
	// The kernel doubles what is asked for, to leave room for its own records.
	size := int(kernelShare * float64(memory) / float64(4*max(sockets, 1)))
	size = min(max(size, leastBuffer), mostBuffer)
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		control := c.Control(func(fd uintptr) {
			for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
				err = errors.Join(err, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size))
			}
		})
		return errors.Join(control, err)
	}
}

// Proxy is one proxy.
type Proxy struct {
	listener  *roomyListener
	server    *server
	discovery *discovery
	http      *http.Server
	watching  context.Context
	stop      context.CancelFunc // of the watch
	log       *slog.Logger
}

// New checks the configuration, opens the listener and begins to watch; nothing is answered before Serve.
func New(c Config) (*Proxy, error) {
	s := c.Settings
	if s.ConnectTimeout <= 0 {
		return nil, fmt.Errorf("settings: limits.connect_timeout_ms: %v is not above 0", s.ConnectTimeout)
	}
	if s.ConnIdle <= 0 {
		return nil, fmt.Errorf("settings: limits.conn_idle_ms: %v is not above 0", s.ConnIdle)
	}
	sockets := float64(c.Sockets - reservedSockets)
	buffers := socketBuffers(c.Memory, c.Sockets)
	backends := newPool(int(backendShare*sockets), s.ConnectTimeout, s.ConnIdle)
	backends.dialer.Control = buffers
	i, err := newInstance(s.Balancer, c.Seed, backends, c.Log)
	if err != nil {
		return nil, err
	}
	bodies := &budget{}
	bodies.left.Store(int64(bodyShare * float64(c.Memory)))
	callers := newCallers(int(callerShare*sockets), int(crowdShare*sockets))
	p := &Proxy{
		server: newServer(s, i, bodies, callers), log: c.Log,
	}
	p.discovery = newDiscovery(c.Discovery, s.Zones, c.Log)
	p.discovery.update = i.update
	l, err := (&net.ListenConfig{Control: buffers}).Listen(context.Background(), "tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p.listener = &roomyListener{Listener: l, callers: callers}
	p.http = &http.Server{
		Handler:           p.server,
		ReadHeaderTimeout: headWait,
		IdleTimeout:       idleWait,
		MaxHeaderBytes:    maxHead,
		ConnState:         callers.track,
		ConnContext:       withCaller,
		ErrorLog:          slog.NewLogLogger(c.Log.Handler(), slog.LevelDebug),
	}
	p.watching, p.stop = context.WithCancel(context.Background())
	i.watch = func() { go p.discovery.watch(p.watching) }
	if err := p.known(c.Known); err != nil {
		p.stop()
		l.Close()
		return nil, err
	}
	if !s.Balancer.AskForList {
		go p.discovery.follow(p.watching)
	}
	return p, nil
}

// known starts the balancer with the list as this proxy last had it; it can serve from that at once.
func (p *Proxy) known(text json.RawMessage) error {
	c := &catalog{Seq: -1}
	if len(text) > 0 && string(text) != "null" {
		var err error
		if c, err = readCatalog(text); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	if err := p.discovery.take(c, balance.Cached); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// MoveDiscovery goes over to discovery at another address, while serving with the list that is held.
func (p *Proxy) MoveDiscovery(address string) { p.discovery.move(p.watching, address) }

// Addr is where the proxy listens.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }

const (
	// acceptQuiet without a new connection shows that no more are coming, on a machine that runs late too.
	acceptQuiet = 50 * time.Millisecond
	// lastWords is how long the last answers of a planned restart may take to be written.
	lastWords = 200 * time.Millisecond
	leaveStep = 5 * time.Millisecond
)

// Serve answers callers until ctx is done, and then ends like a planned restart does: it returns once
// everything taken is answered.
func (p *Proxy) Serve(ctx context.Context) error {
	defer p.stop()
	served := make(chan error, 1)
	go func() { served <- p.http.Serve(p.listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	p.leave()
	if err := p.http.Close(); err != nil {
		return err
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// leave is a planned restart. http.Server.Shutdown would close the listener at once, and with it the
// connections that are still coming and those in the accept queue, whose requests count as taken.
func (p *Proxy) leave() {
	l := p.server.leaving
	start := time.Now()
	l.begin()
	time.Sleep(l.serveOn())
	for time.Since(start) < l.end() {
		if p.left() {
			return
		}
		time.Sleep(leaveStep)
	}
	close(l.over)
	for end := time.Now().Add(lastWords); time.Now().Before(end); time.Sleep(leaveStep) {
		if p.left() {
			return
		}
	}
	p.log.Warn("leaving with callers' connections still open")
}

// left closes the connections on which nothing is open and says whether no other is there or coming.
func (p *Proxy) left() bool {
	busy := p.server.callers.closeQuiet(acceptQuiet)
	return busy == 0 && time.Since(time.Unix(0, p.listener.accepted.Load())) >= acceptQuiet
}
