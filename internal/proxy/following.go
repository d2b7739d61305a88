package proxy

import "sync"

// followState records whether the proxy has begun to follow the server list. Discovery is not called before the state
// from before the start has been restored: what discovery sends is newer than that state, and is sent only once.
type followState struct {
	mu             sync.Mutex
	begun          bool
	watchRequested bool // a watch was requested before begin
}

// mayWatch reports whether a watch may start now. A request that comes too early is recorded for begin.
func (f *followState) mayWatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchRequested = f.watchRequested || !f.begun
	return f.begun
}

// begin allows watches from now on, and reports whether one was requested before.
func (f *followState) begin() (requested bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = true
	return f.watchRequested
}

// hasBegun reports whether watches are allowed.
func (f *followState) hasBegun() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun
}

// watch starts a watch on the server list, which ends with the first failed call.
func (p *Proxy) watch() {
	if p.followState.mayWatch() {
		p.running.Go(func() { p.discovery.Watch(p.ctx) })
	}
}

// startFollowing begins to follow discovery. If discovery pushes lists, a watch is kept open; otherwise the balancer
// decides when to request the list.
func (p *Proxy) startFollowing() {
	requested := p.followState.begin()
	switch {
	case p.ctx.Err() != nil: // the proxy is closing
	case !p.settings.Balancer.AskForList:
		p.running.Go(func() { p.discovery.Follow(p.ctx) })
	case requested:
		p.watch()
	}
}
