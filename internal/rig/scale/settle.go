package scale

import (
	"context"
	"time"

	"brasswell/internal/rig/scale/result"
)

// joinTime, and joinPerMember for each, bound the wait until all members hold a lease and see each other.
const joinTime, joinPerMember = 30 * time.Second, 50 * time.Millisecond

// awaitJoined waits until all members hold a lease and see each other.
func (r *run) awaitJoined(ctx context.Context, out *result.Run) {
	r.expectRight(r.started)
	_, _, members := r.standing()
	within := joinTime + time.Duration(members)*joinPerMember
	leased := r.await(ctx, within, func(s *standing) bool { return s.Living == members && s.Joined == members })
	if leased {
		now, _, _ := r.standing()
		took := seconds(now.JoinedNS - r.started.UnixNano())
		out.Leases.AllAfterS = &took
	}
	right := r.await(ctx, within, r.allRight)
	if ctx.Err() != nil {
		return
	}
	// What is built next reaches all at once: not before who lost its lease while others came has it again.
	r.await(ctx, within, r.calm(members))
	now, expected, _ := r.standing()
	if !leased {
		r.trouble("%d of %d members had no lease within %v of their start; it goes on without", members-now.Joined, members, within)
	}
	if !right {
		r.trouble("%d of %d members did not see just the living ones within %v of their start", members-now.right(expected), members, within)
	}
}

// awaitCalm waits until all members hold a lease and nothing is on its way.
func (r *run) awaitCalm(ctx context.Context) {
	_, _, living := r.standing()
	if !r.await(ctx, r.settling(), r.calm(living)) && ctx.Err() == nil {
		now, _, _ := r.standing()
		r.trouble("as the measured part begins, %d of %d members hold a lease, and they act on versions %d to %d of %d", now.Leased, living, now.LowVersion, now.HighVersion, now.LastVersion)
	}
}

// awaitSettled waits until all members hold a lease, all views are right and all agreed changes in force.
func (r *run) awaitSettled(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.settling())
	defer cancel()
	_, _, living := r.standing()
	r.await(ctx, r.settling(), func(s *standing) bool { return s.allLeased(living) && r.allRight(s) })
	for _, p := range r.phases {
		r.awaitInForce(ctx, p, r.settling())
	}
}

// calm says of a sample whether so many members hold a lease and nothing is on its way.
func (r *run) calm(living int) func(*standing) bool {
	return func(s *standing) bool { return s.allLeased(living) && s.LowVersion == s.LastVersion }
}
