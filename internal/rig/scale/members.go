package scale

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"brasswell/internal/rig/hollow"
)

const (
	// startEvery is between two starts of members over the whole run, unless all start at once. Where they come faster than one machine
	// takes 1,400 in, members that wait for the processor suspect each other, which costs more of it.
	startEvery = 25 * time.Millisecond
	// askTime bounds one question to all hosts.
	askTime = 15 * time.Second
)

// startAll starts all members: voters at once, the others one after another at each host.
func (r *run) startAll(ctx context.Context, every time.Duration) error {
	r.started = time.Now()
	if err := r.start(ctx, r.plan.members[:Voters], 0); err != nil {
		return err
	}
	var starting sync.WaitGroup
	var serviceErr error
	if real := r.plan.realMembers(); len(real) > 0 {
		starting.Go(func() { serviceErr = r.startService(ctx, real) })
	}
	err := r.start(ctx, r.plan.hollowMembers(), every)
	starting.Wait()
	return errors.Join(err, serviceErr)
}

// startService starts the real proxies, with load.
func (r *run) startService(ctx context.Context, members []*memberPlan) error {
	if err := r.setLiving(ctx, members, true); err != nil {
		return err
	}
	if err := r.openService(ctx, members); err != nil {
		return err
	}
	r.service.load(r.ctx)
	return nil
}

// setLiving notes that members are about to live or to die, here and at all hosts.
func (r *run) setLiving(ctx context.Context, members []*memberPlan, living bool) error {
	change := hollow.Living{}
	r.mu.Lock()
	for _, m := range members {
		m.living = living
		if living {
			change.Up = append(change.Up, hollow.Boot{Name: m.name, Boot: m.boot})
		} else {
			change.Down = append(change.Down, m.name)
		}
	}
	r.expected = r.plan.digest()
	r.mu.Unlock()
	_, err := r.all(ctx, hollow.Request{Living: &change})
	return err
}

// start starts members, one after another at each host.
func (r *run) start(ctx context.Context, members []*memberPlan, every time.Duration) error {
	if err := r.setLiving(ctx, members, true); err != nil {
		return err
	}
	return r.each(members, func(h *host, members []*memberPlan) error {
		ask := hollow.Start{Every: every}
		for _, m := range members {
			folder := ""
			if m.voter {
				folder = filepath.Join(r.folder, m.name)
			}
			ask.Members = append(ask.Members, m.spec(folder))
		}
		_, err := h.call(ctx, hollow.Request{Start: &ask})
		return err
	})
}

// cut cuts a region off, or heals that.
func (r *run) cut(ctx context.Context, c hollow.Cut) error {
	_, err := r.all(ctx, hollow.Request{Cut: &c})
	return err
}

// kill ends members at once, without a word to others.
func (r *run) kill(ctx context.Context, members []*memberPlan) error {
	if err := r.setLiving(ctx, members, false); err != nil {
		return err
	}
	return r.each(members, func(h *host, members []*memberPlan) error {
		ask := hollow.Stop{}
		for _, m := range members {
			ask.Names = append(ask.Names, m.name)
		}
		_, err := h.call(ctx, hollow.Request{Stop: &ask})
		return err
	})
}

// each does something at every host that has some of the members, at one time.
func (r *run) each(members []*memberPlan, do func(*host, []*memberPlan) error) error {
	by := map[*host][]*memberPlan{}
	for _, m := range members {
		by[m.host] = append(by[m.host], m)
	}
	var doing sync.WaitGroup
	errs := make(chan error, len(by))
	for h, members := range by {
		doing.Go(func() { errs <- do(h, members) })
	}
	doing.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// all asks all hosts at one time.
func (r *run) all(ctx context.Context, ask hollow.Request) ([]hollow.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	replies, errs := make([]hollow.Reply, len(r.hosts)), make([]error, len(r.hosts))
	var asking sync.WaitGroup
	for i, h := range r.hosts {
		asking.Go(func() { replies[i], errs[i] = h.call(ctx, ask) })
	}
	own := r.observers.Answer(ctx, ask)
	asking.Wait()
	return append(replies, own), errors.Join(errs...)
}
