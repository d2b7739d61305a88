package scale

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/scale/result"
)

const (
	// mostAtOnce changes are proposed at one time.
	mostAtOnce = 16
	// answerLeases is for how many leases an answer to a proposal is waited for.
	answerLeases = 8
	// retryEvery is between two tries of a change of the document that was turned away.
	retryEvery = 200 * time.Millisecond
)

// change is one that was proposed in the measured part.
type change struct {
	proposedNS int64
	version    uint64 // 0 where it was not agreed
}

// phase is changes that were proposed in one manner.
type phase struct {
	name    string
	mu      sync.Mutex
	changes []change
	healed  time.Time // when a cut ended during which they were proposed; zero for none
}

func (p *phase) setHealed(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = at
}

func (p *phase) add(c change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, c)
}

// agreed are those changes that were agreed, as hosts are asked for them.
func (p *phase) agreed() []hollow.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	var agreed []hollow.Change
	for _, c := range p.changes {
		if c.version > 0 {
			agreed = append(agreed, hollow.Change{Version: c.version, ProposedNS: c.proposedNS})
		}
	}
	return agreed
}

// propose has a member propose a change and waits for the answer.
func (r *run) propose(ctx context.Context, at *memberPlan, p hollow.Propose) (*hollow.Proposal, error) {
	p.At, p.Within = at.name, answerLeases*r.config.Lease
	reply, err := at.host.call(ctx, hollow.Request{Propose: &p})
	if err != nil {
		return nil, err
	}
	return reply.Proposal, nil
}

// measure proposes a change at some living member, as part of a phase.
func (r *run) measure(ctx context.Context, p *phase, what hollow.Propose) {
	at := r.proposer()
	proposed := time.Now().UnixNano()
	got, err := r.propose(ctx, at, what)
	if err != nil {
		if ctx.Err() == nil {
			r.trouble("a change could not be proposed: %v", err)
		}
		p.add(change{proposedNS: proposed})
		return
	}
	p.add(change{proposedNS: got.ProposedNS, version: got.Version})
}

// proposer is some living hollow member of the first region, which no event cuts off.
func (r *run) proposer() *memberPlan {
	var can []*memberPlan
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.plan.members {
		if m.living && m.host != nil && r.plan.layout.Region(m.place.Zone) == 0 {
			can = append(can, m)
		}
	}
	return can[r.random.IntN(len(can))]
}

// backend is the id of a backend that no proxy has.
func backend(kind string, number int) string { return fmt.Sprintf("%s-backend-%d", kind, number) }

// newPhase begins a phase.
func (r *run) newPhase(name string) *phase {
	p := &phase{name: name}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phases = append(r.phases, p)
	return p
}

// everySecond proposes changes, one a second, until ctx is done or there were so many.
func (r *run) everySecond(ctx context.Context, p *phase, most int) {
	var asking sync.WaitGroup
	defer asking.Wait()
	room := make(chan struct{}, mostAtOnce)
	ticks := time.NewTicker(time.Second)
	defer ticks.Stop()
	for i := range most {
		select {
		case room <- struct{}{}:
			// A ban is agreed whatever came before it, in any order; one that is there already is replaced.
			what := hollow.Propose{Kind: hollow.Ban, Backend: backend("second", i%mostAtOnce)}
			asking.Go(func() {
				defer func() { <-room }()
				r.measure(context.WithoutCancel(ctx), p, what)
			})
		default: // so many wait for their answers already
			p.add(change{proposedNS: time.Now().UnixNano()})
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// spread asks all hosts how changes have spread.
func (r *run) spread(ctx context.Context, ask hollow.SpreadRequest) ([]hollow.Spread, error) {
	replies, err := r.all(ctx, hollow.Request{Spread: &ask})
	if err != nil {
		return nil, err
	}
	total := make([]hollow.Spread, len(ask.Changes))
	for i, c := range ask.Changes {
		total[i].Version = c.Version
	}
	for _, reply := range replies {
		for i, s := range reply.Spread {
			t := &total[i]
			t.Members, t.Known, t.Acting = t.Members+s.Members, t.Known+s.Known, t.Acting+s.Acting
			t.KnownNS, t.ActingNS = max(t.KnownNS, s.KnownNS), max(t.ActingNS, s.ActingNS)
		}
	}
	return total, nil
}

// awaitInForce waits until all agreed changes of a phase are in force at all members that can be reached, for so long at most.
func (r *run) awaitInForce(ctx context.Context, p *phase, within time.Duration) bool {
	ask := hollow.SpreadRequest{Changes: p.agreed()}
	for end := time.Now().Add(within); ; {
		spreads, err := r.spread(ctx, ask)
		late := func(s hollow.Spread) bool { return s.Acting < s.Members }
		if err == nil && !slices.ContainsFunc(spreads, late) {
			return true
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
		wait(ctx, retryEvery)
	}
}

// phaseResult is what a phase has come to by now.
func (r *run) phaseResult(ctx context.Context, p *phase) (result.Phase, error) {
	ask := hollow.SpreadRequest{Changes: p.agreed()}
	one := result.Phase{Name: p.name, Proposed: len(p.changes), Agreed: len(ask.Changes)}
	spreads, err := r.spread(ctx, ask)
	if err != nil {
		return one, err
	}
	var inForce, known []float64
	for i, s := range spreads {
		since := ask.Changes[i].ProposedNS
		if s.Acting < s.Members {
			one.Never++
		} else if s.Members > 0 {
			inForce = append(inForce, seconds(s.ActingNS-since))
		}
		if s.Known == s.Members && s.Members > 0 {
			known = append(known, seconds(s.KnownNS-since))
		}
	}
	one.InForceS, one.KnownS = quantiles(inForce), quantiles(known)
	if p.healed.IsZero() {
		return one, nil
	}
	return one, r.healedResult(ctx, p, &one)
}

// healedResult adds to a phase how its changes have reached the members that were cut off.
func (r *run) healedResult(ctx context.Context, p *phase, one *result.Phase) error {
	spreads, err := r.spread(ctx, hollow.SpreadRequest{Changes: p.agreed(), CutOff: true})
	if err != nil {
		return err
	}
	last, missing := p.healed.UnixNano(), 0
	for _, s := range spreads {
		if s.Acting < s.Members {
			missing++
		}
		last = max(last, s.ActingNS)
	}
	one.Never = max(one.Never, missing)
	if missing == 0 && len(spreads) > 0 {
		took := seconds(last - p.healed.UnixNano())
		one.HealedS = &took
	}
	return nil
}

func seconds(ns int64) float64 { return time.Duration(ns).Seconds() }
