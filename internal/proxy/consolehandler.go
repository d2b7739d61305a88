package proxy

import (
	"context"
	"fmt"
	"time"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/console"
	"brasswell/internal/figures"
)

// consoleHandler implements the console's operations on a proxy.
type consoleHandler struct{ *Proxy }

// Ready reports whether this process serves clients: its listener is served, no restart has begun, there is a server to
// send to, and the agreed rules, if there are any, are not in the mode accord.Inactive.
func (d consoleHandler) Ready() bool {
	return d.accepting.Load() && !d.restart.Begun() && d.host.Ready() && (d.rules == nil || d.rules.Mode() != accord.Inactive)
}

func (d consoleHandler) Figures(text []byte) []byte {
	listed, avoided := d.host.CountServers()
	text = d.figures.Append(text, figures.Pool{Size: listed, Ejected: avoided})
	text = d.memory.AppendFigures(text)
	text = d.callers.AppendFigures(text)
	text = d.discovery.AppendFigures(text)
	text = figures.AppendLine(text, "list_held_back", d.host.StaleListUnserved(), 'c')
	if d.channels != nil {
		text = d.channels.AppendFigures(text)
	}
	if d.fleet != nil {
		ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
		defer cancel()
		text = d.fleet.Figures(ctx, text)
	}
	if d.rules != nil {
		text = d.rules.Figures(text)
	}
	if d.recovery != nil {
		text = d.recovery.Figures(text)
	}
	return text
}

// fleetTimeout limits how long the console waits for the fleet's status. The console must answer its callers within 1 s.
const fleetTimeout = 500 * time.Millisecond

// Fleet returns the other known members of the fleet as JSON.
func (d consoleHandler) Fleet(ctx context.Context) ([]byte, error) {
	if d.fleet == nil {
		return nil, console.ErrDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	return d.fleet.Status(ctx)
}

func (d consoleHandler) Suspend(ctx context.Context, id string) error {
	return d.SetBanned(ctx, id, true)
}

func (d consoleHandler) Resume(ctx context.Context, id string) error {
	return d.SetBanned(ctx, id, false)
}

// SetBanned bans a server by operator override, or lifts the ban, here and in the other process of this proxy, if there is
// one. After a call that bans a server has returned, no new request is sent to it.
func (p *Proxy) SetBanned(ctx context.Context, id string, banned bool) error {
	known := p.host.SetBanned(id, banned)
	joined := false
	if p.upgrade != nil {
		joined = p.upgrade.sendBan(ctx, nil, id, banned)
		known = joined || known
	}
	if !known {
		return checkKnown(id, known)
	}
	if err := p.persistBan(ctx, id, banned, joined); err != nil {
		return fmt.Errorf("%w: %w", console.ErrNotPersisted, err)
	}
	return nil
}

func checkKnown(id string, known bool) error {
	if !known {
		return fmt.Errorf("no list has ever named the backend %q", id)
	}
	return nil
}
