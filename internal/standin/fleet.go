package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"brasswell/internal/standin/audit"
)

// FleetConfig describes a fleet of stand-ins. Zero values take the defaults that follow them.
type FleetConfig struct {
	Seed     uint64
	Backends int           // 8
	Slots    int           // of each backend; 4
	Queue    int           // of each backend; 16
	WarmUp   time.Duration // 1 s
	ColdFrom float64       // 0.32
	Classes  []Class       // Catalogue()
	Rules    audit.Rules   // audit.DefaultRules()
	Visitor  string        // how the ids of requests begin that come from outside and are in no books; "" for none
	Ask      bool          // discovery is one service that all proxies ask; otherwise an agent beside each pushes the list
	Listen   string        // where the proxy is to listen; "" for a free loopback port
}

// AskEvery is what the settings say of how long a proxy with no watch is held to its list.
const AskEvery = 6 * time.Second

var zones = []string{"kita-room", "higashi-room"}

func (c FleetConfig) withDefaults() FleetConfig {
	if c.Backends == 0 {
		c.Backends = 8
	}
	if c.Slots == 0 {
		c.Slots = 4
	}
	if c.Queue == 0 {
		c.Queue = 16
	}
	if c.WarmUp == 0 {
		c.WarmUp = time.Second
	}
	if c.ColdFrom == 0 {
		c.ColdFrom = 0.32
	}
	if c.Classes == nil {
		c.Classes = Catalogue()
	}
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Rules == (audit.Rules{}) {
		c.Rules = audit.DefaultRules()
	}
	return c
}

// Fleet is backends in two rooms, the discovery that lists them, and the books.
type Fleet struct {
	Books     *Books
	Backends  []*Backend
	Discovery *Discovery
	// Origins are for who relays requests to the backends.
	Origins *Origins
	// OnMove is called with discovery's new address once it has moved; set it before Play.
	OnMove func(address string)
	// OnHand takes a backend out at the proxy, or puts it back, as an operator does; set it before Play. Without it that
	// fault does nothing.
	OnHand func(id string, out bool) error
	config FleetConfig
}

// NewFleet starts a fleet on free loopback ports.
func NewFleet(c FleetConfig) (*Fleet, error) {
	c = c.withDefaults()
	if _, err := stamping(); err != nil {
		return nil, err
	}
	f := &Fleet{Books: NewBooks(c.Rules), Origins: &Origins{}, config: c}
	var err error
	if f.Discovery, err = newDiscovery(f.Books); err != nil {
		return nil, err
	}
	rooms := []*keys{newKeys(), newKeys()}
	for i := range c.Backends {
		zone := i % len(zones)
		b, err := newBackend(BackendConfig{
			ID: fmt.Sprintf("node-%02d", i), Zone: zone, Slots: c.Slots, Queue: c.Queue, WarmUp: c.WarmUp,
			ColdFrom: c.ColdFrom, Seed: c.Seed, Classes: c.Classes, Visitor: c.Visitor,
		}, f.Books, rooms[zone], f.Origins)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Backends = append(f.Backends, b)
		f.List(i, "up")
	}
	return f, nil
}

// List writes a backend's entry: up, draining or removed.
func (f *Fleet) List(i int, health string) {
	b := f.Backends[i]
	h := Host{Host: b.config.ID, Dial: b.Address(), Site: zones[b.config.Zone], Block: i / 2, Health: health}
	if born := b.Born(); !born.IsZero() {
		h.BornMS = float64(born.UnixMicro()) / 1000
	}
	f.Discovery.Put(h)
}

// Capacity is how many requests a second the warm fleet can do.
func (f *Fleet) Capacity() float64 {
	return float64(len(f.Backends)*f.config.Slots) / f.Backends[0].meanWork().Seconds()
}

// Callers returns callers for a proxy at an address.
func (f *Fleet) Callers(address string) *Callers {
	return newCallers(f.Books, f.config.Classes, f.config.Seed, address)
}

// CallersOf returns callers for one of several proxies, with requests of their own.
func (f *Fleet) CallersOf(proxy int, address string) *Callers {
	const odd = 0x9e3779b97f4a7c15
	return newCallers(f.Books, f.config.Classes, f.config.Seed+uint64(proxy+1)*odd, address)
}

// Config is the platform's file for the only proxy before this fleet, listening on a free port.
func (f *Fleet) Config(memoryMB float64, sockets int) ([]byte, error) {
	return f.ConfigOf(0, 1, memoryMB, sockets)
}

// ConfigOf is the platform's file for one of several proxies before this fleet.
func (f *Fleet) ConfigOf(me, instances int, memoryMB float64, sockets int) ([]byte, error) {
	return f.ConfigAt(me, instances, memoryMB, sockets, Place{
		Name: fmt.Sprintf("n%d", me+1), Listen: f.config.Listen, Discovery: f.Discovery.Address(), Told: f.Discovery.asIs,
	})
}

// Place is where one proxy stands among the others and the backends.
type Place struct {
	Name, Listen string
	Console      string // "" for none
	Discovery    string
	Told         func(Host) Host // how it reaches each backend; as in Discovery.ServeAs
	Layer        int             // the tier that it sends to; 0 is the one that clients reach
}

// ConfigAt is the platform's file for one of several proxies at a place.
func (f *Fleet) ConfigAt(me, instances int, memoryMB float64, sockets int, at Place) ([]byte, error) {
	effects := map[audit.Effect]string{audit.Safe: "free", audit.Keyed: "guarded", audit.Unsafe: "single_shot"}
	var classes []map[string]any
	for _, c := range f.config.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_ms": millis(c.Aim), "give_up_ms": millis(c.GiveUp), "effect": effects[c.Effect],
			"group":     map[bool]string{true: "zone", false: "all"}[c.Effect == audit.Keyed],
			"window_ms": millis(c.Window), "worth": c.Worth, "late_worth": 0,
		})
	}
	discovery := "push"
	if f.config.Ask {
		discovery = "ask"
	}
	return json.Marshal(map[string]any{
		"name": at.Name, "listen": at.Listen, "console": at.Console, "discovery": at.Discovery,
		"seed":   fmt.Sprintf("%x", f.config.Seed+uint64(me)),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"known":  f.Discovery.whole(at.Told),
		"settings": map[string]any{
			"instances": instances, "me": me, "layer": at.Layer, "discovery": discovery, "zones": zones, "over_share_worth": 0.05,
			"request_classes": classes,
			"limits": map[string]any{
				"cancel": true, "max_attempts": 5, "conn_idle_ms": 5000, "connect_timeout_ms": 150,
				"retry_after": true, "max_retry_after_ms": 1000,
			},
			"rules": map[string]any{
				"ask_every_ms": millis(AskEvery), "cold_from": f.config.ColdFrom, "warm_up_ms": millis(f.config.WarmUp),
				"fall_multiple": f.config.Rules.FallMultiple, "fall_ms": millis(f.config.Rules.FallTime),
			},
		},
	})
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Close ends every stand-in, and returns once nothing of it runs.
func (f *Fleet) Close() error {
	for _, b := range f.Backends {
		b.mu.Lock()
		alive := b.alive.Err() == nil
		b.mu.Unlock()
		if alive {
			b.Die()
		}
	}
	f.Discovery.close()
	return nil
}
