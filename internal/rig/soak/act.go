package soak

import (
	"context"
	"fmt"
	"syscall"

	"brasswell/internal/standin"
)

// act plays one event, and returns once it is over.
func (r *run) act(ctx context.Context, e Event) {
	who, err := "", error(nil)
	switch e.Do {
	case DrainBackend, RemoveBackend, ReturnBackend, SpoilBackend:
		who = r.fleet.Backends[e.Backend].State().ID
		r.note(who, string(e.Do))
		err = r.actOnBackend(ctx, e, who)
	case SpoilCalls, ScriptCalls, GoDown, FillQueues, ResetWatches, MuteWatches, Renumber:
		who = "discovery"
		r.note(who, fmt.Sprintf("%s %+v %v %v for %v", e.Do, e.Mix, e.Call, e.Calls, e.For))
		err = r.actOnDiscovery(ctx, e)
	default:
		who = r.members[e.Process].name
		r.note(who, fmt.Sprintf("%s %v", e.Do, e.By))
		err = r.actOnMember(ctx, e, r.members[e.Process])
	}
	if err != nil && ctx.Err() == nil {
		r.fail(who, fmt.Errorf("%s: %w", e.Do, err))
	}
}

func (r *run) actOnMember(ctx context.Context, e Event, m *member) error {
	switch e.Do {
	case StepClock:
		if m.clock != nil {
			return m.clock.Set(e.By)
		}
	case Reload:
		return m.reload(r.signalled)
	case Terminate:
		took, err := m.restart(ctx, r.known)
		r.noteEnd(m.name, took)
		return err
	case Kill:
		return m.kill(ctx, e.For, r.known)
	case StallCallers:
		m.halfRequests(ctx, e.Many)
	case IdleCallers:
		m.idle(ctx, e.Many, e.For)
	case SlowCallers:
		m.slowClients(ctx, r.plan.Seed, e.Many, e.For)
	case TakeDescs:
		return m.takeDescriptors(ctx, e.For)
	case Pause:
		return m.pause(ctx, e.For)
	case Hangup:
		if m.process.Signal(syscall.SIGHUP) == nil { // it may have ended
			r.signalled(m)
		}
	}
	return nil
}

func (r *run) actOnBackend(ctx context.Context, e Event, id string) error {
	b := r.fleet.Backends[e.Backend]
	switch e.Do {
	case DrainBackend:
		r.list(e.Backend, id, "draining")
	case RemoveBackend:
		r.list(e.Backend, id, "removed")
	case ReturnBackend:
		b.Die()
		if err := b.Return(); err != nil {
			return err
		}
		r.list(e.Backend, id, "up")
	case SpoilBackend:
		b.Set(e.Wrong)
		sleep(ctx, e.For)
		b.Set(standin.Faults{})
	}
	return nil
}

// list changes a backend's entry.
func (r *run) list(backend int, id, health string) {
	if health != "up" {
		r.telling.off(id)
	}
	r.fleet.List(backend, health)
	if health == "up" {
		r.telling.on(id)
	}
}

func (r *run) actOnDiscovery(ctx context.Context, e Event) error {
	switch e.Do {
	case SpoilCalls:
		r.setMix(e.Mix)
		sleep(ctx, e.For)
		r.endMix(e.Mix)
	case ScriptCalls:
		script := r.setScript(e.Calls)
		sleep(ctx, e.For)
		r.endScript(script)
	case FillQueues:
		open, err := r.fleet.Discovery.FillQueues()
		defer open()
		if err != nil {
			return err
		}
		sleep(ctx, e.For)
	case GoDown:
		r.setDown(&e.Call)
		r.fleet.Discovery.EndWatches()
		sleep(ctx, e.For)
		r.setDown(nil)
	case ResetWatches:
		r.fleet.Discovery.ResetWatches()
	case MuteWatches:
		r.fleet.Discovery.SilenceWatches()
	case Renumber:
		r.fleet.Discovery.Renumber()
	}
	return nil
}

// script is what becomes of each process's calls in turn, and of all behind them as of the last.
type script struct {
	calls []standin.Call
	met   map[string]int // how many calls of each proxy
}

// draw says what becomes of a proxy's next call.
func (s *script) draw(proxy string) standin.Call {
	n := s.met[proxy]
	s.met[proxy] = n + 1
	return s.calls[min(n, len(s.calls)-1)]
}

func (r *run) setScript(calls []standin.Call) *script {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = &script{calls: calls, met: map[string]int{}}
	return r.script
}

// endScript ends a script, unless another one has taken its place.
func (r *run) endScript(s *script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.script == s {
		r.script = nil
	}
}

func (r *run) setMix(m Mix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mix = m
}

// endMix ends a mix, unless another one has taken its place.
func (r *run) endMix(m Mix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mix == m {
		r.mix = Mix{}
	}
}

func (r *run) setDown(call *standin.Call) {
	r.mu.Lock()
	r.down = call
	r.mu.Unlock()
	r.telling.reachable(call == nil) // it takes r.mu for its notes
}
