package proxy

import (
	"context"
	"fmt"

	"brasswell/internal/figures"
)

// desk is what the console's callers reach of a proxy.
type desk struct{ *Proxy }

// Ready says whether this process takes clients: its listener is served, there is a server to send to, and no
// restart has begun.
func (d desk) Ready() bool {
	return d.accepting.Load() && !d.restart.Begun() && d.host.Ready()
}

func (d desk) Figures(text []byte) []byte {
	listed, avoided := d.host.Pool()
	return d.figures.Append(text, figures.Pool{Size: listed, Ejected: avoided})
}

func (d desk) Suspend(_ context.Context, id string) error { return named(id, d.host.Suspend(id)) }

func (d desk) Resume(_ context.Context, id string) error { return named(id, d.host.Resume(id)) }

func named(id string, known bool) error {
	if !known {
		return fmt.Errorf("no list has ever named the backend %q", id)
	}
	return nil
}
