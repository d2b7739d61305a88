package scale

import (
	"context"
	"slices"
	"sync"
	"time"

	"brasswell/internal/rig/hollow"
)

const (
	// changesEverySecond is how many changes the change event proposes at one a second.
	changesEverySecond = 60
	// deadMachines die in the machine event, one after another.
	deadMachines = 5
	// rackSize members die at once in the rack event.
	rackSize = 40
	// longestCut bounds how long the region event cuts a region off; otherwise it is half of the measured part.
	longestCut = time.Minute
	// restarts members restart in the restart event, within restartShare hundredths of the measured part, each down for longestDown at
	// most.
	restarts, restartShare, longestDown = 180, 80, time.Second
	// settleLeases is for how many leases the end of the measured part waits until all is as it should be, beside settleTime.
	settleLeases, settleTime = 5, 20 * time.Second
)

// play does what happens in the measured part, until its length is over or ctx is done.
func (r *run) play(ctx context.Context) {
	switch r.config.Event {
	case Change:
		r.playChange(ctx)
	case Machine:
		r.playDeaths(ctx, oneByOne(r.drawHollow(deadMachines)), r.config.Length/2/deadMachines)
	case Rack:
		r.playDeaths(ctx, [][]*memberPlan{r.drawRack()}, 0)
	case Zone:
		r.playZone(ctx)
	case Region:
		r.playRegion(ctx)
	case Restart:
		r.playRestart(ctx)
	}
	r.untilEnd(ctx)
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

// playDeaths has groups of members die, one after another, while changes are proposed.
func (r *run) playDeaths(ctx context.Context, groups [][]*memberPlan, every time.Duration) {
	end := r.meanwhile(ctx, "meanwhile")
	defer end()
	for i, group := range groups {
		if i > 0 {
			wait(ctx, every)
		}
		if !r.succeeds(ctx, r.kill(ctx, group)) {
			return
		}
	}
	r.eventOver()
	r.untilEnd(ctx)
}

// playZone has all of the last voter's zone die and, halfway, return.
func (r *run) playZone(ctx context.Context) {
	end := r.meanwhile(ctx, "meanwhile")
	defer end()
	zone := r.zoneMembers(r.plan.failingZone())
	if !r.succeeds(ctx, r.kill(ctx, zone)) {
		return
	}
	r.eventOver()
	wait(ctx, r.config.Length/2)
	r.mu.Lock()
	r.deadRightAfter = r.rightAfter()
	r.mu.Unlock()
	if !r.succeeds(ctx, r.restart(ctx, zone)) {
		return
	}
	r.eventOver()
	r.untilEnd(ctx)
}

// playRegion cuts a region off and heals that, while changes are proposed.
func (r *run) playRegion(ctx context.Context) {
	region := r.config.cutRegion()
	if !r.succeeds(ctx, r.cut(ctx, hollow.Cut{Region: region})) {
		return
	}
	p := r.newPhase("during the cut")
	proposing, end := context.WithTimeout(ctx, min(longestCut, r.config.Length/2))
	r.everySecond(proposing, p, int(longestCut/time.Second))
	<-proposing.Done()
	end()
	if !r.succeeds(ctx, r.cut(ctx, hollow.Cut{Region: region, Heal: true})) {
		return
	}
	p.setHealed(time.Now())
	r.eventOver()
	rest, end := context.WithDeadline(ctx, r.measured.Add(r.config.Length))
	defer end()
	r.everySecond(rest, r.newPhase("after the cut"), int(longestLength/time.Second))
}

// playRestart restarts members, one after another, while changes are proposed.
func (r *run) playRestart(ctx context.Context) {
	end := r.meanwhile(ctx, "meanwhile")
	defer end()
	members := r.drawHollow(restarts)
	every := r.config.Length * restartShare / 100 / time.Duration(len(members))
	for i, m := range members {
		begin := r.measured.Add(time.Duration(i) * every)
		wait(ctx, time.Until(begin))
		if !r.succeeds(ctx, r.kill(ctx, []*memberPlan{m})) {
			return
		}
		wait(ctx, min(every/2, longestDown))
		if !r.succeeds(ctx, r.restart(ctx, []*memberPlan{m})) {
			return
		}
	}
	r.eventOver()
	r.untilEnd(ctx)
}

// succeeds says whether the event goes on: where something could not be done, that is told.
func (r *run) succeeds(ctx context.Context, err error) bool {
	if err != nil && ctx.Err() == nil {
		r.trouble("the event could not go on: %v", err)
	}
	return err == nil && ctx.Err() == nil
}

// untilEnd waits for the end of the measured part.
func (r *run) untilEnd(ctx context.Context) { wait(ctx, r.config.Length-time.Since(r.measured)) }

// restart starts members anew that were killed.
func (r *run) restart(ctx context.Context, members []*memberPlan) error {
	r.mu.Lock()
	for _, m := range members {
		m.boot = drawBoot(r.random)
	}
	r.mu.Unlock()
	return r.start(ctx, members, 0)
}

// drawHollow draws living hollow members, half of all at most, and never the one that is measured alone.
func (r *run) drawHollow(most int) []*memberPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.plan.sharedMembers()
	r.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:max(1, min(most, len(members)/2))]
}

// zoneMembers are all members of a zone but real proxies.
func (r *run) zoneMembers(zone int) []*memberPlan {
	var members []*memberPlan
	for _, m := range r.plan.members {
		if m.place == (hollow.Place{Zone: zone}) {
			members = append(members, m)
		}
	}
	return members
}

// drawRack draws hollow members of one zone, and never the one that is measured alone.
func (r *run) drawRack() []*memberPlan {
	zone := r.drawHollow(1)[0].place.Zone
	rack := slices.DeleteFunc(r.zoneMembers(zone), func(m *memberPlan) bool { return m.voter || m == r.plan.solo })
	return rack[:min(rackSize, len(rack))]
}

// oneByOne are groups of one member each.
func oneByOne(members []*memberPlan) [][]*memberPlan {
	var groups [][]*memberPlan
	for _, m := range members {
		groups = append(groups, []*memberPlan{m})
	}
	return groups
}
