// Package proxy puts one proxy together: a front for callers, a host for the balancer, connections to backends,
// and discovery, which names them. A process may run several, each with a balancer of its own; they share
// nothing. It decides nothing.
package proxy

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"time"

	"brasswell/internal/backends"
	"brasswell/internal/body"
	"brasswell/internal/callers"
	"brasswell/internal/channel"
	"brasswell/internal/cluster/parts"
	"brasswell/internal/console"
	"brasswell/internal/discovery"
	"brasswell/internal/figures"
	"brasswell/internal/front"
	"brasswell/internal/host"
	"brasswell/internal/recovery"
	"brasswell/internal/restart"
	"brasswell/internal/settings"
)

// Proxy is one proxy.
type Proxy struct {
	clientSide
	background

	restart   *restart.Restart
	host      *host.Instance
	backends  *backends.Pool
	discovery *discovery.Client
	following following
	fileList  json.RawMessage // the list in the platform's file
	lists     *keptLists      // nil where none is held back
	channels  *channel.Table  // nil where there are none
	console   *console.Server // nil where operators have no address
	upgrade   *upgrade        // nil where no second process is met
	fleet     Fleet           // nil for none
	rules     Rules           // nil for none
	recovery  *recovery.Node  // nil for none
	figures   *figures.Counters
	settings  *settings.Settings
	limits    limits
	log       *slog.Logger
}

// New checks the configuration, opens the listener and begins to watch; nothing is answered before Serve. A proxy
// that is not served must be closed.
func New(c Config) (*Proxy, error) {
	if err := checkTimes(c.Settings); err != nil {
		return nil, err
	}
	most, err := divide(&c)
	if err != nil {
		return nil, err
	}
	buffers := socketBuffers(c.Memory, c.Sockets)
	p := newProxy(&c, most, buffers)
	if err := p.openHost(&c); err != nil {
		p.stop()
		return nil, err
	}
	if err := p.open(&c, buffers); err != nil {
		p.stop()
		return nil, err
	}
	p.front = front.New(c.Settings, p.host, p.bodies, p.callers, p.restart, p.figures, c.Options.Callers)
	p.front.SetChannels(p.channels)
	p.http = newServer(p.front, p.callers, &c.Options.Callers, c.Log)
	if err := p.start(&c); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// checkTimes says which of the platform's times makes no sense.
func checkTimes(s *settings.Settings) error {
	if s.ConnectTimeout <= 0 {
		return fmt.Errorf("settings: limits.connect_timeout_ms: %v is not above 0", s.ConnectTimeout)
	}
	if s.ConnIdle <= 0 {
		return fmt.Errorf("settings: limits.conn_idle_ms: %v is not above 0", s.ConnIdle)
	}
	return nil
}

// newProxy puts together what needs no socket and knows no server.
func newProxy(c *Config, most limits, buffers socketControl) *Proxy {
	book := figures.NewCounters(c.Settings.Classes)
	return &Proxy{
		clientSide: clientSide{callers: callers.NewSet(most.soft, most.hard, c.Options.Callers.OnceIdle), bodies: body.NewBudget(most.bodies)},
		background: newBackground(),
		restart:    restart.New(), recovery: c.Recovery, fileList: c.CachedList, log: c.Log, fleet: c.Fleet, rules: c.Rules, figures: book,
		settings: c.Settings, limits: most,
		backends: backends.NewPool(backends.Limits{
			Conns: most.backends, ConnectTimeout: c.Settings.ConnectTimeout, ConnIdle: c.Settings.ConnIdle,
			Control: buffers, OnWritten: book.CountTry, Options: c.Options.Backends,
		}),
	}
}

// openHost makes the balancer's host and the client of discovery that feeds it.
func (p *Proxy) openHost(c *Config) (err error) {
	s := c.Settings
	if p.host, err = host.New(s.Balancer, c.Seed, p.backends, p.watch, c.Log); err != nil {
		return err
	}
	update := p.host.Update
	wait := time.Duration(0) // that refused callers are asked for
	if s.Balancer.RetryAfter {
		wait = min(closedWait, s.Balancer.MaxRetryAfter)
	}
	if p.rules != nil {
		if share := p.rules.MaxListDrop(); share < 1 {
			p.lists = newKeptLists(p.ctx, &p.running, share, p.host, p.rules.SetHeldBackends, c.Log)
			update = p.lists.update
		}
		p.host.SetAgreedRules(gate{p.rules, s.Classes, p.lists}, wait)
	}
	if p.recovery != nil {
		p.host.SetAdmissionGate(p.recovery)
		update = p.listed(update)
	}
	p.discovery = discovery.New(c.Discovery, s.Zones, c.Options.Discovery, c.Log, update)
	if s.Balancer.AskForList {
		p.discovery.SetAskEvery(s.Balancer.AskEvery)
	} else {
		p.discovery.SetPushed()
	}
	p.host.SetServerList(p.discovery, wait)
	return nil
}

// open opens the callers' listener, and the table of channels where there are any.
func (p *Proxy) open(c *Config, buffers socketControl) error {
	l, err := listen(*c, buffers)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.listener = p.callers.Listen(l)
	if !c.Options.Channels.Enabled {
		return nil
	}
	cold := channel.ColdStart{Share: c.Settings.Balancer.ColdCapacity, WarmUp: c.Settings.Balancer.WarmUp}
	if p.channels, err = channel.New(c.Options.Channels, cold, c.Seed, c.Log); err != nil {
		l.Close()
		return err
	}
	p.host.SetChannels(p.channels)
	return nil
}

// start takes up what is known of the servers, and begins to follow discovery, other processes and the fleet's rules.
func (p *Proxy) start(c *Config) error {
	if c.Options.Callers.ParkAfter > 0 {
		if err := p.startParking(&c.Options.Callers); err != nil {
			return err
		}
		p.running.Go(func() { p.park(p.ctx, p.log) })
	}
	if c.Inherited != nil && c.HandoverDir != "" {
		p.upgrade = newUpgrade(p, c.HandoverDir, c.Name)
	}
	joined := p.upgrade != nil && p.upgrade.join()
	if !joined && p.recovery == nil { // what a running process knows is newer than the file's list, and so is a folder
		if err := p.known(c.CachedList); err != nil {
			return err
		}
	}
	if c.Console != "" {
		var err error
		if p.console, err = console.New(c.Console, consoleConns(c), desk{p}, c.Log); err != nil {
			return err
		}
	}
	if p.rules != nil {
		p.rules.Follow(p.agreed)
	}
	if p.recovery == nil || joined {
		p.follow()
	}
	if p.recovery != nil {
		p.recovery.Start(side{p}, joined)
	}
	return nil
}

// known starts the balancer with the list as this proxy last had it; it can serve from that at once.
func (p *Proxy) known(text json.RawMessage) error {
	c := &discovery.Catalog{Seq: -1}
	if len(text) > 0 && string(text) != "null" {
		var err error
		if c, err = discovery.ReadCatalog(text); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	p.discovery.LoadCached(c)
	return nil
}

// MoveDiscovery goes over to discovery at another address, while serving with the list that is held.
func (p *Proxy) MoveDiscovery(address string) {
	p.discovery.Move(address)
	p.watch() // the balancer may be waiting for its time to ask again
}

// SetOptions changes the options that can change while serving.
func (p *Proxy) SetOptions(o Options) {
	p.front.SetOptions(o.Callers)
	p.backends.SetOptions(o.Backends)
	p.discovery.SetOptions(o.Discovery)
}

// SetFleet takes in who of the fleet is there: this proxy's part of what all may do together follows from it.
func (p *Proxy) SetFleet(c parts.MemberCounts) {
	p.host.SetFleetShares(parts.Decide(p.settings.Balancer.Instances, c))
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }
