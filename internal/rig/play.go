package rig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"brasswell/internal/rig/comeback"
	"brasswell/internal/rig/history"
	"brasswell/internal/rig/holdup"
	"brasswell/internal/rig/procfs"
	"brasswell/internal/rig/ruling"
	"brasswell/internal/rig/story"
	"brasswell/internal/standin"
)

// Play plays the story to its end, or until ctx is done, and returns what it has come to.
func (r *Rig) Play(ctx context.Context) (*Result, error) {
	s := r.config.Story
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loading, unload := context.WithCancel(ctx)
	var load sync.WaitGroup
	if s.Load > 0 {
		for _, m := range r.members {
			load.Go(func() {
				m.callers.Run(loading, standin.Load{Rate: s.Load / float64(len(r.members)), Retries: 1, Backoff: 100 * time.Millisecond, Slack: 500 * time.Millisecond})
			})
		}
	}
	var beside sync.WaitGroup
	beside.Go(func() { r.front(loading) })
	beside.Go(func() { r.operate(loading) })
	samples := make(chan []Sample, 1)
	beside.Go(func() { samples <- r.sample(loading) })

	heldUp := holdup.NewRecorder(func() time.Duration { return time.Since(r.zero) })
	beside.Go(func() { heldUp.Run(loading, ownName, r.processes()) })

	before := r.cpu()
	err := r.acts(ctx)
	if err == nil {
		r.until(ctx, time.Duration(s.Length))
	}
	unload()
	load.Wait()
	beside.Wait()
	var used time.Duration
	for pid, after := range r.cpu() {
		if at, there := before[pid]; there {
			used += after - at
		}
	}
	if s.Changes > 0 {
		r.versions(context.WithoutCancel(ctx))
	}
	r.fleet.Books.Settle()
	result := &Result{Story: s.Name, Seed: s.Seed, Tally: map[string]standin.Tally{}, Samples: <-samples, CPU: used, HeldUp: heldUp.Longest(), Events: r.Events()}
	result.Rules = r.fleet.Books.Report()
	if !r.config.Off {
		result.Verdict = history.Judge(s, result.Events)
	}
	if s.Changes > 0 {
		r.mu.Lock()
		zero := time.Duration(r.zero.UnixNano())
		r.mu.Unlock()
		result.Agreed = ruling.Judge(result.Events, zero)
	}
	for _, m := range r.members {
		result.Tally[m.name] = m.callers.Tally()
	}
	if first, last, lost := s.Losses(); lost {
		var seconds []comeback.Second
		for _, one := range result.Samples {
			seconds = append(seconds, one.Worth)
		}
		back := comeback.Judge(seconds, first, last)
		result.Back = &back
	}
	return result, err
}

// ownName is what this process is called, which plays callers, backends and discovery.
const ownName = "rig"

// processes are the members' present ones.
func (r *Rig) processes() (all []holdup.Process) {
	for _, m := range r.members {
		all = append(all, holdup.Process{Name: m.name, PID: func() int { return r.PID(m.name) }})
	}
	return all
}

// cpu is the processor time that each member's process has used, by its id.
func (r *Rig) cpu() map[int]time.Duration {
	used := map[int]time.Duration{}
	for _, m := range r.members {
		pid := r.PID(m.name)
		if spent, err := procfs.ProcessorTime(pid); err == nil {
			used[pid] = spent
		}
	}
	return used
}

// until waits for a moment of the story's clock, and says whether it came.
func (r *Rig) until(ctx context.Context, at time.Duration) bool {
	wait(ctx, at-time.Since(r.zero))
	return ctx.Err() == nil
}

// acts plays the story's events.
func (r *Rig) acts(ctx context.Context) error {
	for _, a := range r.config.Story.Acts() {
		if !r.until(ctx, a.At) {
			return nil
		}
		e := r.config.Story.Events[a.Event]
		what := history.Began
		if a.End {
			what = history.Over
		}
		fields := map[string]string{"do": e.Do, "event": fmt.Sprint(a.Event), "who": strings.Join(e.Who, " ")}
		var err error
		switch {
		case e.Network():
			r.net(a, e)
			r.note("", what, fields)
		case e.Standins():
			r.note("", what, fields)
			err = r.backends(a, e)
		default:
			r.note("", what, fields)
			err = r.upon(a, e)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// net plays an event of the ways between processes.
func (r *Rig) net(a story.Act, e story.Event) {
	if a.End {
		r.board.Remove(r.layers[a.Event])
		delete(r.layers, a.Event)
		return
	}
	r.layers[a.Event] = r.board.Add(r.config.Story.Paths(e), e.Condition())
}

// backends plays an event upon stand-in backends, and has discovery tell of it.
func (r *Rig) backends(a story.Act, e story.Event) error {
	for i, b := range r.fleet.Backends {
		if !slices.Contains(e.Who, b.State().ID) {
			continue
		}
		if !a.End {
			b.Die()
			r.fleet.List(i, "removed")
			continue
		}
		if err := b.Return(); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		r.fleet.List(i, "up")
	}
	return nil
}

// upon plays an event upon processes: on all of them at once, and returns once it is done to each.
func (r *Rig) upon(a story.Act, e story.Event) error {
	who := r.members
	if len(e.Who) > 0 {
		who = nil
		for _, n := range e.Who {
			who = append(who, r.byName[n])
		}
	}
	errs := make([]error, len(who))
	var all sync.WaitGroup
	for i, m := range who {
		all.Go(func() { errs[i] = r.one(m, a, e) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func (r *Rig) one(m *member, a story.Act, e story.Event) error {
	switch {
	case e.Do == story.Start || a.End && (e.Do == story.Kill || e.Do == story.Stop):
		if e.Folder == "lost" {
			if err := m.process().lose(); err != nil {
				return err
			}
		}
		m.well()
		return r.start(m)
	case e.Do == story.Kill:
		m.strike()
		r.note(m.name, history.Ended, nil) // before it is done: what others then say comes after
		return m.process().kill()
	case e.Do == story.Stop:
		m.quiet()
		err := m.process().terminate(patience)
		m.strike()
		r.note(m.name, history.Ended, nil)
		return err
	case e.Do == story.Upgrade && !a.End:
		return r.upgrade(m)
	case e.Do == story.Pause && !a.End:
		m.strike()
		r.note(m.name, history.Stopped, nil)
		return m.process().stop()
	case e.Do == story.Pause:
		m.well()
		defer r.note(m.name, history.Resumed, nil)
		return m.process().signal(syscall.SIGCONT)
	case e.Do == story.Starve && !a.End:
		m.strike()
		m.process().starved(e.Size)
	case e.Do == story.Starve:
		m.process().feed()
		m.well()
	}
	return nil
}

// upgrade starts a new process of a member beside the running one, and ends that once the new one takes clients.
func (r *Rig) upgrade(m *member) error {
	old := m.process()
	host, _, err := net.SplitHostPort(old.console)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	next := &process{
		program: old.program, name: old.name, folder: old.folder, temporary: old.temporary, lines: r.line, args: old.args, held: old.held,
		console: net.JoinHostPort(host, fmt.Sprint(oddConsolePort+old.starts%2)),
	}
	next.env = append(slices.DeleteFunc(slices.Clone(old.env), func(e string) bool { return strings.HasPrefix(e, "RELAY_CONSOLE=") }), "RELAY_CONSOLE="+next.console)
	next.starts = old.starts // which start counts on
	if err := next.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	if err := next.ready(ctx); err != nil {
		return errors.Join(err, next.kill())
	}
	r.note(m.name, history.Started, nil) // its view is a new one
	m.mu.Lock()
	m.at = next
	m.mu.Unlock()
	return old.terminate(patience)
}
