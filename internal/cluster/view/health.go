package view

import "time"

const (
	// mostHealth bounds the local health score: a probe may take 1 + mostHealth times as long.
	maxHealthScore = 4
	// pausePeriods is the delay, in periods, after which what was believed before it no longer counts.
	pausePeriods = 4
)

// detectPause finds out that this process itself was delayed: paused, or short of processor time. Answers that are missing from that
// time are no evidence against other members.
//
// It guards against a process that resumes and believes all others dead. It might harm where a machine is late all the time: its
// suspicions then take longer, up to mostHealth times, and other members detect failures for it.
func (v *View) detectPause(now time.Duration) {
	late := now - v.Next()
	if late <= v.settings.Period/2 || v.settings.NoHealth {
		return
	}
	v.degradeHealth(1 + int(late/v.settings.Period))
	for i := range v.probes {
		v.probes[i].deadline = max(v.probes[i].deadline, now+v.settings.Period)
	}
	if late < pausePeriods*v.settings.Period {
		return
	}
	v.probes = v.probes[:0]
	for _, m := range v.suspect {
		m.suspectedAt, m.deadElsewhere = now, false
		v.setSuspicionDeadline(now, m)
	}
	v.scheduleSuspicions()
	v.lastReceivedAt = now
	v.noSuspicionUntil = now + 2*v.settings.Period
	v.nextPeriod = now
	v.host.Changed(Change{Record: v.self, Was: Alive, Why: Paused})
}

// degradeHealth worsens the local health score of Lifeguard.
func (v *View) degradeHealth(by int) {
	if !v.settings.NoHealth {
		v.health = min(v.health+by, maxHealthScore)
	}
}

// scaledByHealth is a timeout that grows as the local health gets worse.
func (v *View) scaledByHealth(d time.Duration) time.Duration { return d * time.Duration(1+v.health) }
