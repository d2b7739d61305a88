// Package proxy assembles one proxy: a front for callers, a host for the balancer, connections to backends, and
// discovery, which lists the backends. A process may run several proxies, each with its own balancer; they share nothing.
// The package makes no balancing decisions itself.
package proxy

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"time"

	"brasswell/internal/backends"
	"brasswell/internal/callers"
	"brasswell/internal/channel"
	"brasswell/internal/cluster/parts"
	"brasswell/internal/console"
	"brasswell/internal/discovery"
	"brasswell/internal/figures"
	"brasswell/internal/front"
	"brasswell/internal/host"
	"brasswell/internal/memory"
	"brasswell/internal/recovery"
	"brasswell/internal/restart"
	"brasswell/internal/settings"
)

// Proxy is one proxy.
type Proxy struct {
	clientSide
	background

	restart     *restart.Restart
	host        *host.Instance
	backends    *backends.Pool
	discovery   *discovery.Client
	followState followState
	fileList    json.RawMessage // the list in the platform's file
	lists       *listGuard      // nil if lists are not checked
	channels    *channel.Table  // nil if channels are disabled
	console     *console.Server // nil if there is no console
	upgrade     *upgrade        // nil if there is no handover to a second process
	fleet       Fleet           // nil for none
	rules       Rules           // nil for none
	recovery    *recovery.Node  // nil for none
	figures     *figures.Counters
	settings    *settings.Settings
	limits      limits
	log         *slog.Logger
}

// New checks the configuration, opens the listener and begins to follow discovery. No request is answered before Serve. A
// proxy that is not served must be closed.
func New(c Config) (*Proxy, error) {
	if err := checkTimeouts(c.Settings); err != nil {
		return nil, err
	}
	lim, err := divideLimits(&c)
	if err != nil {
		return nil, err
	}
	buffers := socketBuffers(c.Memory, c.Sockets)
	p := newProxy(&c, lim, buffers)
	if err := p.openHost(&c); err != nil {
		p.stop()
		return nil, err
	}
	if err := p.open(&c, buffers); err != nil {
		p.stop()
		return nil, err
	}
	p.front = front.New(c.Settings, p.host, p.memory, p.callers, p.restart, p.figures, c.Options.Callers)
	p.front.SetLog(c.Log)
	p.front.SetChannels(p.channels)
	p.front.SetClaims(p.openClaims(&c))
	p.http = newServer(p.front, p.callers, &c.Options.Callers, c.Log)
	if err := p.start(&c); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// checkTimeouts returns an error if a timeout in the platform's settings is not positive.
func checkTimeouts(s *settings.Settings) error {
	if s.ConnectTimeout <= 0 {
		return fmt.Errorf("settings: limits.connect_timeout_ms: %v is not above 0", s.ConnectTimeout)
	}
	if s.ConnIdle <= 0 {
		return fmt.Errorf("settings: limits.conn_idle_ms: %v is not above 0", s.ConnIdle)
	}
	return nil
}

// longestTimeout returns the longest time that callers of any class wait.
func longestTimeout(s *settings.Settings) (longest time.Duration) {
	for _, class := range s.Balancer.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}

// newProxy creates the parts that need neither a socket nor a server list.
func newProxy(c *Config, lim limits, buffers socketControl) *Proxy {
	counters := figures.NewCounters(c.Settings.Classes)
	account := memory.NewAccount(lim.account)
	logRefusals(account, c.Log)
	set := callers.NewSet(lim.softCallers, lim.hardCallers, c.Options.Callers.OnceIdle)
	set.SetMemory(account)
	return &Proxy{
		clientSide: clientSide{callers: set, memory: account},
		background: newBackground(),
		restart:    restart.New(longestTimeout(c.Settings)), recovery: c.Recovery, fileList: c.CachedList, log: c.Log, fleet: c.Fleet, rules: c.Rules, figures: counters,
		settings: c.Settings, limits: lim,
		backends: backends.NewPool(backends.Limits{
			Conns: lim.backends, ConnectTimeout: c.Settings.ConnectTimeout, ConnIdle: c.Settings.ConnIdle,
			Control: buffers, OnWritten: counters.CountTry, Memory: account, Options: c.Options.Backends,
		}),
	}
}

// openHost creates the balancer's host and the discovery client that updates it.
func (p *Proxy) openHost(c *Config) (err error) {
	s := c.Settings
	if p.host, err = host.New(s.Balancer, c.Seed, p.backends, p.watch, c.Log); err != nil {
		return err
	}
	update := p.host.Update
	retryAfter := time.Duration(0) // sent to refused callers
	if s.Balancer.RetryAfter {
		retryAfter = min(closedRetryAfter, s.Balancer.MaxRetryAfter)
	}
	if p.rules != nil {
		if share := p.rules.MaxListDrop(); share < 1 {
			p.lists = newListGuard(p.ctx, &p.running, share, p.host, p.rules.SetHeldBackends, c.Log)
			update = p.lists.update
		}
		p.host.SetAgreedRules(rulesGate{p.rules, s.Classes, p.lists}, retryAfter)
	}
	if p.recovery != nil {
		p.host.SetAdmissionGate(p.recovery)
		update = p.notifyRecovery(update)
	}
	p.discovery = discovery.New(c.Discovery, s.Zones, c.Options.Discovery, c.Log, update)
	if s.Balancer.AskForList {
		p.discovery.SetAskEvery(s.Balancer.AskEvery)
	} else {
		p.discovery.SetPushed()
	}
	p.host.SetServerList(p.discovery, retryAfter)
	return nil
}

// open opens the callers' listener, and creates the table of channels if they are enabled.
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

// start restores the known server list, and begins to follow discovery, other processes and the fleet's rules.
func (p *Proxy) start(c *Config) error {
	if c.Options.Callers.ParkAfter > 0 {
		if err := p.startParking(&c.Options.Callers); err != nil {
			return err
		}
		p.running.Go(func() { p.serveParked(p.ctx, p.log) })
	}
	if c.handsOver() {
		p.upgrade = newUpgrade(p, c.HandoverDir, c.Name)
	}
	joined := p.upgrade != nil && p.upgrade.restoreState()
	if !joined && p.recovery == nil { // state from a running process or from disk is newer than the file's list
		if err := p.loadCachedList(c.CachedList); err != nil {
			return err
		}
	}
	if c.Console != "" {
		var err error
		if p.console, err = console.New(c.Console, consoleConns(c), consoleHandler{p}, c.Log); err != nil {
			return err
		}
	}
	if p.rules != nil {
		p.rules.Follow(p.applyRules)
	}
	if p.recovery == nil || joined {
		p.startFollowing()
	}
	if p.recovery != nil {
		p.recovery.Start(recoverySide{p}, joined)
	}
	return nil
}

// loadCachedList gives the balancer the list that this proxy last had, from which it can serve at once.
func (p *Proxy) loadCachedList(text json.RawMessage) error {
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

// MoveDiscovery switches to discovery at another address, while the proxy serves from its current list.
func (p *Proxy) MoveDiscovery(address string) {
	p.discovery.Move(address)
	p.watch() // the balancer may be waiting until its next request is due
}

// SetOptions changes the options that may change while the proxy serves.
func (p *Proxy) SetOptions(o Options) {
	p.front.SetOptions(o.Callers)
	p.backends.SetOptions(o.Backends)
	p.discovery.SetOptions(o.Discovery)
}

// SetFleet sets the count of the fleet's members, from which this proxy's share of the fleet-wide limits is derived.
func (p *Proxy) SetFleet(c parts.MemberCounts) {
	p.host.SetFleetShares(parts.Decide(p.settings.Balancer.Instances, c))
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }
