package recovery

import (
	"context"
	"errors"
	"slices"
	"time"

	"brasswell/internal/state"
)

// learnedState returns the state that the writer saves; nil if there is nothing to save yet.
func (n *Node) learnedState(context.Context) *state.Learned {
	if !n.plan.Load().ready { // before it admits requests, the proxy knows less than the disk
		return nil
	}
	l := &state.Learned{Written: state.Now(), Knowledge: n.proxy.State(), Demand: map[string]float64{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, name := range n.config.Classes {
		l.Demand[name] = n.demand[i]
	}
	return l
}

// PersistBan writes a change by the operator to disk and returns once it is durable. joined says that another process of this proxy,
// which holds the folder, has been notified.
func (n *Node) PersistBan(ctx context.Context, id string, banned, joined bool) error {
	n.mu.Lock()
	w := n.writer
	n.mu.Unlock()
	if w == nil {
		if joined {
			return nil
		}
		return state.ErrNotPersisted
	}
	return w.Ban(ctx, id, banned)
}

// openWhenReleased opens the folder once the previous process has released it.
func (n *Node) openWhenReleased() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(lockRetryInterval):
		}
		folder, err := state.OpenFolder(n.config.Options.Folder)
		if err != nil {
			continue
		}
		store, saved := state.Open(folder, n.config.Name)
		if !n.joined {
			// The previous process was still shutting down, and this one got no state from it: the bans that it saved came from an
			// operator and stay in force.
			n.proxy.Ban(saved.Bans)
		}
		// Changes by the operator in the meantime are newer than the contents of the folder.
		now := n.proxy.Banned()
		for _, id := range now {
			if !slices.Contains(saved.Bans, id) {
				err = errors.Join(err, store.Ban(id, true))
			}
		}
		for _, id := range saved.Bans {
			if !slices.Contains(now, id) {
				err = errors.Join(err, store.Ban(id, false))
			}
		}
		if err != nil {
			n.config.Log.Error(LogFolder, "what", "operator bans cannot be written", "error", err)
		}
		n.mu.Lock()
		n.folder, n.writer = folder, state.StartWriter(store, n.config.Options.SaveInterval, n.learnedState, n.config.Log)
		n.mu.Unlock()
		n.config.Log.Info(LogFolder, "what", "taken over from the previous process")
		return
	}
}
