package scale

import (
	"context"
	"sync"
	"time"

	"brasswell/internal/rig/hollow"
)

const (
	// changesEverySecond is how many changes the change event proposes at one a second.
	changesEverySecond = 60
	// deadMachines die in the machine event, one after another.
	deadMachines = 5
	// settleLeases is for how many leases the end of the measured part waits until all is as it should be, beside settleTime.
	settleLeases, settleTime = 5, 20 * time.Second
)

// play does what happens in the measured part, until its length is over or ctx is done.
func (r *run) play(ctx context.Context) {
	switch r.config.Event {
	case Change:
		r.playChange(ctx)
	case Machine:
		r.playDeaths(ctx, deadMachines, r.config.Length/2/deadMachines)
	}
	wait(ctx, r.config.Length-time.Since(r.measured))
}

// settling is for how long the run waits at most until what has begun is over.
func (r *run) settling() time.Duration { return settleTime + settleLeases*r.config.Lease }

// playChange proposes one change alone, some at one a second, and some at once, each once those before are in force.
func (r *run) playChange(ctx context.Context) {
	one := r.newPhase("one")
	r.measure(ctx, one, hollow.Propose{Kind: hollow.Ban, Backend: backend("one", 0)})
	r.awaitInForce(ctx, one, r.settling())

	each := r.newPhase("one a second")
	r.everySecond(ctx, each, min(changesEverySecond, int(r.config.Length/time.Second)))
	r.awaitInForce(ctx, each, r.settling())

	many := r.newPhase("at once")
	var asking sync.WaitGroup
	for i := range mostAtOnce {
		asking.Go(func() { r.measure(ctx, many, hollow.Propose{Kind: hollow.Ban, Backend: backend("at-once", i)}) })
	}
	asking.Wait()
	r.awaitInForce(ctx, many, r.settling())
}

// meanwhile proposes a change each second until the function that it returns is called.
func (r *run) meanwhile(ctx context.Context, name string) (end func()) {
	p := r.newPhase(name)
	ctx, cancel := context.WithCancel(ctx)
	var proposing sync.WaitGroup
	proposing.Go(func() { r.everySecond(ctx, p, int(longestLength/time.Second)) })
	return func() {
		cancel()
		proposing.Wait()
	}
}

// playDeaths kills some hollow members, one after another, while changes are proposed.
func (r *run) playDeaths(ctx context.Context, deaths int, every time.Duration) {
	end := r.meanwhile(ctx, "meanwhile")
	defer end()
	for i, m := range r.drawHollow(deaths) {
		if i > 0 {
			wait(ctx, every)
		}
		if ctx.Err() != nil {
			return
		}
		if err := r.kill(ctx, []*memberPlan{m}); err != nil {
			r.trouble("%v", err)
			return
		}
	}
	r.eventOver()
	wait(ctx, r.config.Length-time.Since(r.measured))
}

// drawHollow draws living hollow members, so many at most that a few are left.
func (r *run) drawHollow(most int) []*memberPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.plan.hollowMembers()
	r.dice.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(most, len(members)/2)]
}
