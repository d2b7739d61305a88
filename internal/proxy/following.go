package proxy

import "sync"

// following says whether the server list is followed yet. Nothing asks discovery before what is known from before the start has been taken up: what
// discovery tells is newer than that, and is told once.
type followState struct {
	mu             sync.Mutex
	begun          bool
	watchRequested bool // a watch was asked for too early
}

// mayWatch says whether a watch may start now. One that may not is remembered.
func (f *followState) mayWatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchRequested = f.watchRequested || !f.begun
	return f.begun
}

// begin allows watches from now on, and says whether one was asked for before.
func (f *followState) begin() (wanted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = true
	return f.watchRequested
}

// hasBegun says whether watches are allowed.
func (f *followState) hasBegun() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun
}

// watch starts a watch on the server list, which ends with the first call that fails.
func (p *Proxy) watch() {
	if p.followState.mayWatch() {
		p.running.Go(func() { p.discovery.Watch(p.ctx) })
	}
}

// follow begins to follow discovery. Where it pushes lists, a watch is kept up; where it is asked, the balancer says when.
func (p *Proxy) startFollowing() {
	wanted := p.followState.begin()
	switch {
	case p.ctx.Err() != nil: // the proxy ends
	case !p.settings.Balancer.AskForList:
		p.running.Go(func() { p.discovery.Follow(p.ctx) })
	case wanted:
		p.watch()
	}
}
