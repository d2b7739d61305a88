package view

import "time"

const (
	// maxHealthScore bounds the local health score: it extends a probe's timeout up to 1 + maxHealthScore times.
	maxHealthScore = 4
	// pausePeriods is the delay, in periods, after which probes and suspicions from before the delay are no longer valid.
	pausePeriods = 4
)

// detectPause detects that this process itself was delayed: paused, or short of processor time. Acks that are missing from that time
// are no evidence against other members.
//
// This guards against a process that resumes and declares all others dead. Its cost: on a machine that is constantly late, suspicions
// take longer, in proportion to the health score up to maxHealthScore, and other members have to detect failures for it.
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

// degradeHealth worsens the local health score, as in Lifeguard.
func (v *View) degradeHealth(by int) {
	if !v.settings.NoHealth {
		v.health = min(v.health+by, maxHealthScore)
	}
}

// scaledByHealth returns a timeout extended in proportion to the local health score.
func (v *View) scaledByHealth(d time.Duration) time.Duration { return d * time.Duration(1+v.health) }
