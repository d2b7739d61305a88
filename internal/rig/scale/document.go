package scale

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"brasswell/internal/cluster/rules"
	"brasswell/internal/rig/hollow"
)

const (
	// buildTime bounds how long the document is built, before the measured part.
	buildTime = 90 * time.Second
	// numberTime bounds how long the members' own numbers are waited for: the leader deals them out 10 s after nobody came or went.
	numberTime = 30 * time.Second
)

// build has the document agreed that the run is measured with.
func (r *run) build(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, buildTime)
	defer cancel()
	if r.config.Classes > 0 {
		var classes []string
		for i := range r.config.Classes {
			classes = append(classes, fmt.Sprintf("class-%d", i))
		}
		if !r.agree(ctx, hollow.Propose{Kind: hollow.Configure, Classes: classes}) {
			r.trouble("the settings of %d classes were not agreed", len(classes))
		}
	}
	var asking sync.WaitGroup
	var missing atomic.Int64
	room := make(chan struct{}, mostAtOnce)
	for i := range r.config.Bans {
		room <- struct{}{}
		asking.Go(func() {
			defer func() { <-room }()
			if !r.agree(ctx, hollow.Propose{Kind: hollow.Ban, Backend: backend("out", i)}) {
				missing.Add(1)
			}
		})
	}
	asking.Wait()
	if n := missing.Load(); n > 0 && r.ctx.Err() == nil {
		r.trouble("%d of %d bans of the document were not agreed within %v", n, r.config.Bans, buildTime)
	}
	r.awaitNumbers(ctx)
}

// agree has a change agreed, and tries again until ctx is done.
func (r *run) agree(ctx context.Context, what hollow.Propose) bool {
	for ctx.Err() == nil {
		if got, err := r.propose(ctx, r.proposer(), what); err == nil && got.Version > 0 {
			return true
		}
		wait(ctx, retryEvery)
	}
	return false
}

// awaitNumbers waits until all members have numbers in the document.
func (r *run) awaitNumbers(ctx context.Context) {
	if !r.config.Numbers {
		return
	}
	if r.config.Members > rules.MaxMembers {
		r.trouble("%d members have no numbers: the program deals them out to %d at most", r.config.Members, rules.MaxMembers)
		return
	}
	numbered := func(*standing) bool {
		d := r.document(ctx)
		return d != nil && d.Numbers == r.config.Members
	}
	if !r.await(ctx, numberTime, numbered) && r.ctx.Err() == nil {
		r.trouble("the members were not numbered within %v", numberTime)
	}
}

// document is the size of the document at the first voter; nil where that is not known.
func (r *run) document(ctx context.Context) *hollow.Document {
	first := r.plan.members[0]
	reply, err := first.host.call(ctx, hollow.Request{Document: &hollow.MemberName{Name: first.name}})
	if err != nil {
		return nil
	}
	return reply.Document
}
