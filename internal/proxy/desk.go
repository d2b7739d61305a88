package proxy

import (
	"context"
	"fmt"
	"time"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/console"
	"brasswell/internal/figures"
)

// desk is what the console's callers reach of a proxy.
type desk struct{ *Proxy }

// Ready says whether this process takes clients: its listener is served, there is a server to send to, and no
// restart has begun.
func (d desk) Ready() bool {
	return d.accepting.Load() && !d.restart.Begun() && d.host.Ready() && (d.rules == nil || d.rules.Mode() != accord.Inactive)
}

func (d desk) Figures(text []byte) []byte {
	listed, avoided := d.host.CountServers()
	text = d.figures.Append(text, figures.Pool{Size: listed, Ejected: avoided})
	text = d.discovery.AppendFigures(text)
	text = figures.AppendLine(text, "list_held_back", d.host.StaleListUnserved(), 'c')
	if d.channels != nil {
		text = d.channels.AppendFigures(text)
	}
	if d.fleet != nil {
		ctx, cancel := context.WithTimeout(context.Background(), fleetTime)
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

// fleetTime bounds what the console waits for the view of the fleet; its callers are owed an answer within 1 s.
const fleetTime = 500 * time.Millisecond

// Fleet says who else of the fleet is there, as JSON.
func (d desk) Fleet(ctx context.Context) ([]byte, error) {
	if d.fleet == nil {
		return nil, console.ErrDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTime)
	defer cancel()
	return d.fleet.Status(ctx)
}

func (d desk) Suspend(ctx context.Context, id string) error { return d.SetBanned(ctx, id, true) }

func (d desk) Resume(ctx context.Context, id string) error { return d.SetBanned(ctx, id, false) }

// ByHand takes a server out or puts it back, here and in the other process of this proxy, if there is one. Once it has
// returned from taking one out, nothing new begins to go there.
func (p *Proxy) SetBanned(ctx context.Context, id string, out bool) error {
	known := p.host.SetBanned(id, out)
	joined := false
	if p.upgrade != nil {
		joined = p.upgrade.tell(ctx, id, out)
		known = joined || known
	}
	if !known {
		return named(id, known)
	}
	if err := p.kept(ctx, id, out, joined); err != nil {
		return fmt.Errorf("%w: %w", console.ErrNotPersisted, err)
	}
	return nil
}

func named(id string, known bool) error {
	if !known {
		return fmt.Errorf("no list has ever named the backend %q", id)
	}
	return nil
}
