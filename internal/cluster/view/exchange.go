package view

import "time"

const (
	// stablePeriods is how many periods without a change of the view show that dissemination alone does not resolve a difference of
	// digests. If the view keeps changing, a difference that has lasted for maxDifferPeriods counts as unresolved too.
	stablePeriods, maxDifferPeriods = 4, 12
	// exchangePeriods is the minimum number of periods between two full exchanges that this process starts because of differing digests.
	exchangePeriods = 6
)

// compareDigests detects views that still differ although no update is being disseminated, and starts a full exchange, in which each
// process receives the other's records.
func (v *View) compareDigests(now time.Duration, m *Message) {
	if m.Digest == v.digest {
		v.digestsDifferSince = 0
		v.matchingDigests = min(v.matchingDigests+1, 3)
		return
	}
	v.matchingDigests = 0
	if v.digestsDifferSince == 0 {
		v.digestsDifferSince = now
		v.exchangeForcedAt = now + maxDifferPeriods*v.settings.Period + v.exchangeJitter()
	}
	p := v.settings.Period
	stable := now-v.changedAt > stablePeriods*p || now > v.exchangeForcedAt
	switch {
	case !v.merged:
		v.startExchange(now, p, m.From.Address) // no exchange has brought any records yet
	case stable && !v.settings.NoDigest:
		v.startExchange(now, exchangePeriods*p, m.From.Address)
	}
}

// exchangeJitter is the extra delay of this process's forced exchanges. When many members join at the same time, all views start to
// differ at that time, and without the jitter all processes would send their whole tables in the same period. It is derived from the
// hash of the process's own record and therefore uses no random number.
func (v *View) exchangeJitter() time.Duration {
	return time.Duration(hash(&v.self) % uint64(exchangePeriods*v.settings.Period))
}

// startExchange starts a full exchange unless the last one started less than spacing ago.
func (v *View) startExchange(now, spacing time.Duration, with string) {
	if now-v.exchangedAt >= spacing {
		v.exchangedAt = now
		v.host.Exchange(with)
	}
}

// Table returns all records of the view for a full exchange. It includes dead members, for processes that hold them alive.
func (v *View) Table() []Record {
	t := make([]Record, 0, len(v.members)+1)
	if !v.displaced {
		t = append(t, v.self)
	}
	for _, m := range v.present {
		t = append(t, m.Record)
	}
	for _, m := range v.gone {
		t = append(t, m.Record)
	}
	return t
}

// Merge applies another process's Table; each record must have passed Validate.
func (v *View) Merge(now time.Duration, table []Record, from string) {
	v.detectPause(now)
	if v.leaving {
		return
	}
	v.lastReceivedAt, v.merged = now, true
	for i := range table {
		v.apply(now, &table[i], from)
	}
}
