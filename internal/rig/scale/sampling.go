package scale

import (
	"context"
	"fmt"
	"time"

	"brasswell/internal/rig/hollow"
)

const (
	// sampleEvery is between two samples of all members.
	sampleEvery = 250 * time.Millisecond
	// progressEvery is between two lines about a run that goes on.
	progressEvery = 5 * time.Second
)

// sample takes down how all members stand until ctx is done, and ends the run where it uses too much.
func (r *run) sample(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, sampleEvery)
		replies, err := r.all(ctx, hollow.Request{Sample: &hollow.SampleRequest{}})
		if err != nil {
			if ctx.Err() == nil {
				r.trouble("a sample failed: %v", err)
				for _, h := range r.hosts {
					if h.gone() {
						r.stop(h.fault(errEnded))
					}
				}
			}
			continue
		}
		var now standing
		for _, reply := range replies {
			now.add(reply.Sample)
		}
		r.take(now)
		if allowed := uint64(memoryShare * float64(r.memory)); now.MemoryB > allowed {
			r.stop(fmt.Errorf("scale: stopped: its processes use %d MiB, and %d MiB are allowed (half of the machine's memory)", now.MemoryB>>20, allowed>>20))
		}
	}
}

// take makes a sample the newest.
func (r *run) take(now standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = now
	close(r.sampled)
	r.sampled = make(chan struct{})
	if r.watchLeases && now.Living > 0 {
		r.leastShare = min(r.leastShare, float64(now.Leased)/float64(now.Living))
	}
	if living := len(r.plan.living()); r.rightFrom > 0 && r.rightAt == 0 && now.Living == living && now.right(r.expected) == living {
		r.rightAt = max(now.ViewChangedNS, r.rightFrom)
	}
}

// standing is the newest sample, what all views should show, and how many members should live.
func (r *run) standing() (now standing, expected uint64, living int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now.clone(), r.expected, len(r.plan.living())
}

// await waits until a sample is as it should be, for so long at most, and says whether one was.
func (r *run) await(ctx context.Context, within time.Duration, is func(*standing) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		r.mu.Lock()
		now, next := r.now.clone(), r.sampled
		r.mu.Unlock()
		if is(&now) {
			return true
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

// expectRight waits for all views to be right from a moment on.
func (r *run) expectRight(from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rightFrom, r.rightAt = from.UnixNano(), 0
}

// rightAfter is how long it took until all views were right; nil where they are not yet. The lock is held.
func (r *run) rightAfter() *float64 {
	if r.rightAt == 0 {
		return nil
	}
	took := seconds(r.rightAt - r.rightFrom)
	return &took
}

// eventOver notes that the event has happened: from here on the views are waited for.
func (r *run) eventOver() { r.expectRight(time.Now()) }

// allRight says whether all members that should live do, and see just each other.
func (r *run) allRight(s *standing) bool {
	_, expected, living := r.standing()
	return s.Living == living && s.right(expected) == living
}

// progress tells people how the run goes on.
func (r *run) progress(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, progressEvery)
		now, expected, living := r.standing()
		r.say("%d of %d live, %d with a lease, %d right views, leader %s, versions %d to %d of %d, %d MiB", now.Living, living, now.Leased,
			now.right(expected), now.Leader, now.LowVersion, now.HighVersion, now.LastVersion, now.MemoryB>>20)
	}
}
