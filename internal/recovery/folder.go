package recovery

import (
	"context"
	"errors"
	"slices"
	"time"

	"brasswell/internal/state"
)

// learned is what the keeper writes.
func (n *Node) learned(context.Context) *state.Learned {
	if !n.plan.Load().ready { // before it has begun, the proxy knows less than the disk
		return nil
	}
	l := &state.Learned{Written: state.Now(), Knowledge: n.side.State(), Demand: map[string]float64{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, name := range n.config.Classes {
		l.Demand[name] = n.demand[i]
	}
	return l
}

// Keep makes a change by hand last, and returns once it is there. joined says that another process of this proxy, which holds the
// folder, has been told.
func (n *Node) PersistBan(ctx context.Context, id string, out, joined bool) error {
	n.mu.Lock()
	k := n.keeper
	n.mu.Unlock()
	if k == nil {
		if joined {
			return nil
		}
		return state.ErrNotPersisted
	}
	return k.Ban(ctx, id, out)
}

// openLater takes the folder once the process before this one has let go of it.
func (n *Node) openLater() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(heldEvery):
		}
		folder, err := state.OpenFolder(n.config.Options.Folder)
		if err != nil {
			continue
		}
		store, found := state.Open(folder, n.config.Name)
		if !n.joined {
			// The process before was still ending, and nothing has been heard of it: what it has kept was said to it, and holds.
			n.side.Ban(found.Bans)
		}
		// What was said by hand meanwhile is newer than what the folder holds.
		now := n.side.Banned()
		for _, id := range now {
			if !slices.Contains(found.Bans, id) {
				err = errors.Join(err, store.Ban(id, true))
			}
		}
		for _, id := range found.Bans {
			if !slices.Contains(now, id) {
				err = errors.Join(err, store.Ban(id, false))
			}
		}
		if err != nil {
			n.config.Log.Error(LogFolder, "what", "bans by hand cannot be written", "error", err)
		}
		n.mu.Lock()
		n.folder, n.keeper = folder, state.StartWriter(store, n.config.Options.SaveInterval, n.learned, n.config.Log)
		n.mu.Unlock()
		n.config.Log.Info(LogFolder, "what", "taken over from the process before")
		return
	}
}
