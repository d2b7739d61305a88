package calls

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"brasswell/internal/rig"
	"brasswell/internal/rig/loopback"
	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
)

const (
	// The ports of each proxy, on an address of its own, below those that the kernel gives out.
	consolePort, proxyPort = 17947, 17948
	// The backend takes all calls at once, so that it adds the same to both sides.
	slots = 4096
	// The limits of each proxy, as of one of a fleet.
	memoryMB, sockets = 64, 1024
	// visitor begins the ids of all calls: they are in no books.
	visitor = "calls-"
	class   = "search"
	aim     = 750 * time.Millisecond
	giveUp  = 2 * time.Second
	// The console's counts of answers, and of the calls that have not ended.
	servedFigure, refusedFigure, failedFigure = "edge_relay.ok." + class, "edge_relay.shed." + class, "edge_relay.errors." + class
	activeFigure                              = "edge_relay.active"
	// settleTime bounds the wait for calls to end whose callers have their answers, settlePause is between two looks.
	settleTime, settlePause = 5 * time.Second, 5 * time.Millisecond
)

// chain is proxies one behind the other, before one backend that answers at once.
type chain struct {
	fleet   *standin.Fleet
	proxies []*rig.Server
	network loopback.Network
	claim   *loopback.Claim // of the network; nil before it is placed
}

// startChain starts the backend and the proxies, the last first, and returns once all take calls.
func startChain(ctx context.Context, program rig.Program, depth int, folder string) (*chain, error) {
	fleet, err := standin.NewFleet(standin.FleetConfig{
		Backends: 1, Slots: slots, Visitor: visitor,
		Classes: []standin.Class{{Name: class, Effect: audit.Safe, Aim: aim, GiveUp: giveUp, Worth: 1, Share: 1}},
	})
	if err != nil {
		return nil, err
	}
	c := &chain{fleet: fleet, proxies: make([]*rig.Server, depth)}
	if err := c.place(drawNetwork); err != nil {
		return nil, errors.Join(err, c.close())
	}
	for i := depth - 1; i >= 0; i-- {
		if c.proxies[i], err = c.startProxy(ctx, program, i, filepath.Join(folder, fmt.Sprint(i))); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	return c, nil
}

func drawNetwork() loopback.Network {
	return loopback.Network{Second: loopback.Chains.Draw(), Third: byte(rand.IntN(250))}
}

// claimAddress is one that no proxy has: who runs a chain in the network listens there.
func claimAddress(n loopback.Network) netip.AddrPort {
	const beyondAll = 253
	return n.Address(beyondAll, proxyPort)
}

// place draws networks until the proxies can listen in one, and holds it against other chains.
func (c *chain) place(draw func() loopback.Network) error {
	return loopback.UntilFree(func() error { return c.placeAt(draw()) })
}

func (c *chain) placeAt(n loopback.Network) error {
	claim, err := loopback.NewClaim([]netip.AddrPort{claimAddress(n)})
	if err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	var addresses []netip.AddrPort
	for i := range c.proxies {
		addresses = append(addresses, n.Address(i, proxyPort), n.Address(i, consolePort))
	}
	if err := loopback.CheckFree(addresses); err != nil {
		return errors.Join(fmt.Errorf("calls: %w", err), claim.Release())
	}
	c.network, c.claim = n, claim
	return nil
}

// startProxy starts one proxy. Its only backend is the next proxy; that of the last is the fleet's.
func (c *chain) startProxy(ctx context.Context, program rig.Program, i int, folder string) (*rig.Server, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("calls: %w", err)
	}
	told := func(h standin.Host) standin.Host {
		if i+1 < len(c.proxies) {
			h.Dial = c.network.Address(i+1, proxyPort).String()
		}
		return h
	}
	list, err := c.fleet.Discovery.ServeAs(told)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("hop-%d", i+1)
	// Each proxy is of its own tier, as in a service that is called through others: only the first may refuse for want of room.
	listen, console := c.network.Address(i, proxyPort).String(), c.network.Address(i, consolePort).String()
	place := standin.Place{Name: name, Listen: listen, Console: console, Discovery: list, Told: told, Layer: i}
	text, err := c.fleet.ConfigAt(0, 1, memoryMB, sockets, place)
	if err != nil {
		return nil, fmt.Errorf("calls: %w", err)
	}
	return rig.StartServer(ctx, program, name, folder, console, text)
}

// backend is the address of the backend, and first that of the first proxy.
func (c *chain) backend() string { return c.fleet.Backends[0].Address() }
func (c *chain) first() string   { return c.network.Address(0, proxyPort).String() }

// usage is what one proxy has done so far.
type usage struct {
	served, refused, failed int64         // calls, by what they were answered
	time                    time.Duration // of the processor
}

// settle waits until no proxy has a call that has not ended: a proxy counts a call after its caller has the answer.
func (c *chain) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for _, p := range c.proxies {
		for {
			active, err := p.Figure(ctx, activeFigure)
			if err != nil {
				return err
			}
			if active == 0 {
				break
			}
			if !sleepUntil(ctx, time.Now().Add(settlePause)) {
				return fmt.Errorf("calls: %d calls do not end: %w", active, ctx.Err())
			}
		}
	}
	return nil
}

// usage is that of each proxy, which must have nothing to do.
func (c *chain) usage(ctx context.Context) ([]usage, error) {
	if err := c.settle(ctx); err != nil {
		return nil, err
	}
	var all []usage
	for _, p := range c.proxies {
		one, err := usageOf(ctx, p)
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}

// usageOf is that of one proxy.
func usageOf(ctx context.Context, p *rig.Server) (u usage, err error) {
	for name, value := range map[string]*int64{servedFigure: &u.served, refusedFigure: &u.refused, failedFigure: &u.failed} {
		if *value, err = p.Figure(ctx, name); err != nil {
			return u, err
		}
	}
	u.time, err = p.ProcessorTime()
	return u, err
}

// spent is the processor time of all proxies so far.
func (c *chain) spent() (sum time.Duration) {
	for _, p := range c.proxies {
		if spent, err := p.ProcessorTime(); err == nil {
			sum += spent
		}
	}
	return sum
}

// close ends the proxies and the backend.
func (c *chain) close() error {
	var errs []error
	for _, p := range c.proxies {
		if p != nil {
			errs = append(errs, p.Close())
		}
	}
	if c.claim != nil {
		errs = append(errs, c.claim.Release())
	}
	return errors.Join(append(errs, c.fleet.Close())...)
}
