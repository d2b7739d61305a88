package view

import "time"

const (
	// quietPeriods without a change make a difference of digests one that dissemination does not settle. Where the view changes on and
	// on, one that has lasted for longPeriods is.
	stablePeriods, maxDifferPeriods = 4, 12
	// exchangePeriods are between two full exchanges that this process begins.
	exchangePeriods = 6
)

// compareDigests settles views that differ although nothing is being disseminated: in a full exchange each process learns what the other
// one holds.
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
		v.startExchange(now, p, m.From.Address) // it knows nobody yet, or nobody had the time to tell
	case stable && !v.settings.NoDigest:
		v.startExchange(now, exchangePeriods*p, m.From.Address)
	}
}

// exchangeJitter is how much later than others this process begins its exchanges. When many members come at one moment, all views
// begin to differ then, and without it all would send their whole tables in the same period. It is drawn by the process's own record,
// so that it costs no draw from the seed.
func (v *View) exchangeJitter() time.Duration {
	return time.Duration(hash(&v.self) % uint64(exchangePeriods*v.settings.Period))
}

// startExchange begins a full exchange, unless the last one is less than spacing ago.
func (v *View) startExchange(now, spacing time.Duration, with string) {
	if now-v.exchangedAt >= spacing {
		v.exchangedAt = now
		v.host.Exchange(with)
	}
}

// Table is all records that this process holds, for a full exchange. It includes the dead, for processes that hold them alive.
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

// Merge applies another process's Table; each record must be Sound.
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
