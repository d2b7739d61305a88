package rig

import (
	"context"
	"time"

	"brasswell/internal/rig/comeback"
	"brasswell/internal/rig/history"
)

// frontEvery is between two looks of the front.
const frontEvery = 50 * time.Millisecond

// front deals the load out among the members that work, as the platform's does: it takes one in that answers, and notices
// after some time that one does not.
func (r *Rig) front(ctx context.Context) {
	for ctx.Err() == nil {
		in := make([]bool, len(r.members))
		n := 0
		for i, m := range r.members {
			m.mu.Lock()
			working := m.down.IsZero()
			in[i] = !working && time.Since(m.down) < noticeTime
			back := m.back
			m.mu.Unlock()
			if working {
				probe, cancel := context.WithTimeout(ctx, frontEvery)
				code, _, err := m.process().get(probe, "/v1/readyz")
				cancel()
				in[i] = err == nil && code == 200 || time.Since(back) > noticeTime
				m.excused()
			}
			if in[i] {
				n++
			}
		}
		for i, m := range r.members {
			if in[i] {
				m.callers.Surge(float64(len(r.members)) / float64(n))
			} else {
				m.callers.Surge(0)
			}
		}
		wait(ctx, frontEvery)
	}
}

// sample takes each second down.
func (r *Rig) sample(ctx context.Context) []Sample {
	var samples []Sample
	var before Sample
	earned := map[string]float64{}
	for second := 1; r.until(ctx, time.Duration(second)*time.Second); second++ {
		now := Sample{At: second}
		all := map[string]float64{}
		for _, m := range r.members {
			t := m.callers.Tally()
			for class, worth := range t.EarnedBy {
				all[class] += worth
			}
			now.Served, now.Refused, now.Failed = now.Served+t.Served, now.Refused+t.Refused, now.Failed+t.Failed
		}
		one := Sample{At: second, Served: now.Served - before.Served, Refused: now.Refused - before.Refused, Failed: now.Failed - before.Failed}
		one.Worth = comeback.Second{}
		for class, worth := range all {
			one.Worth[class] = worth - earned[class]
		}
		earned = all
		one.Views = history.Present(r.config.Story, r.Events())
		before = now
		samples = append(samples, one)
		if r.config.Told != nil {
			r.config.Told(one)
		}
	}
	return samples
}
