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
	"time"

	"lemonflow"
	"lemonflow/internal/settings"
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
	// bodyShare of the memory may hold callers' bodies. The rest is for answers (heldAnswer for each
	// backend connection at most), connections and the collector's slack.
	bodyShare = 0.36
)

// Proxy is one proxy.
type Proxy struct {
	listener  *roomyListener
	server    *server
	discovery *discovery
	http      *http.Server
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
	backends := newPool(int(backendShare*sockets), s.ConnectTimeout, s.ConnIdle)
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
	l, err := net.Listen("tcp", c.Listen)
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
		ErrorLog:          slog.NewLogLogger(c.Log.Handler(), slog.LevelDebug),
	}
	var watching context.Context
	watching, p.stop = context.WithCancel(context.Background())
	i.watch = func() { go p.discovery.watch(watching) }
	if err := p.known(c.Known); err != nil {
		p.stop()
		l.Close()
		return nil, err
	}
	if !s.Balancer.AskForList {
		go p.discovery.follow(watching)
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
	if err := p.discovery.take(c, lemonflow.Cached); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }

const (
	// acceptMore is how long a planned restart goes on accepting: new connections come for up to 0.4 s.
	acceptMore = 500 * time.Millisecond
	// acceptQuiet without a new connection shows that no more are coming, on a machine that runs late too.
	acceptQuiet = 50 * time.Millisecond
	// leaveMost bounds a planned restart whose last callers never end.
	leaveMost = 10 * time.Second
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
	p.server.leaving.begin()
	time.Sleep(acceptMore)
	end := time.Now().Add(leaveMost)
	for time.Now().Before(end) {
		quiet := time.Since(time.Unix(0, p.listener.accepted.Load())) >= acceptQuiet
		if busy := p.server.callers.closeQuiet(acceptQuiet); busy == 0 && quiet {
			return
		}
		time.Sleep(leaveStep)
	}
	p.log.Warn("leaving with callers' connections still open")
}
