package balance

import (
	"math"
	"time"
)

const (
	// inFlightCap is the flow control of the Site Reliability Engineering book: a member is skipped while
	// this instance has this many requests in flight there.
	inFlightCap = 100
	// maxLoadRatio is the adaptive cap: a member is skipped while its in-flight requests, smoothed over
	// loadTimeConstant, exceed this multiple of the subset's mean. Slow members hold requests longer and so
	// get fewer.
	maxLoadRatio     = 1.1
	loadTimeConstant = 700 * time.Millisecond
)

// server is what this instance knows about one server.
type server struct {
	id           string
	entry        Entry
	reportedBoot time.Duration // start time that the list reported
	firstListed  time.Duration // when the list first contained it
	inFlight     int
	load         float64 // in-flight requests, smoothed over loadTimeConstant
	loadUpdated  time.Duration

	failStreak   int           // failures in a row
	failRate     float64       // smoothed share of failures
	ejectedUntil time.Duration // until when it is skipped; 0 if it is not ejected
	ejections    int           // consecutive, without a success in between
	unreachable  bool          // no answer since it was last found unreachable or silent
	probing      bool          // its trial request is outstanding
	banned       bool          // taken out by the operator
	resumedAt    time.Duration // when the operator last put it back
	lastAnswer   time.Duration
	lastStall    time.Duration // when a stall last counted as its failure
	slowness     float64       // ratio of its answer times to their classes' means, less 1, smoothed

	// The budget while cold: tokens are earned at the warm servers' rate times the cold share.
	coldTokens  float64
	coldUpdated time.Duration
}

// pick returns the server for a request, or nil. Ordinarily this is the next member of the subset in
// round-robin order that can take the request.
func (b *Balancer) pick(now time.Duration, q *request) *server {
	capped := b.loadLimit(now)
	for i := range b.active {
		s := b.active[(b.nextIndex+i)%len(b.active)]
		if s.load <= capped && b.canTake(now, q, s) {
			b.nextIndex = (b.nextIndex + i + 1) % len(b.active)
			return s
		}
	}
	for i := range b.active {
		// All remaining members are over their relative cap. The cap spreads load and must not cause a
		// refusal.
		if s := b.active[(b.nextIndex+i)%len(b.active)]; b.canTake(now, q, s) {
			return s
		}
	}
	if q.mayHaveRun() == nil {
		return nil
	}
	// A repeat that is bound to a zone or cell may find no member there, so the search continues outside the
	// subset.
	for _, s := range b.order {
		if b.canTake(now, q, s) {
			return s
		}
	}
	return nil
}

// loadLimit returns the smoothed in-flight load above which a member is skipped.
func (b *Balancer) loadLimit(now time.Duration) float64 {
	sum, n := 0.0, 0
	for _, s := range b.active {
		s.updateLoad(now)
		if !s.excluded() {
			sum += s.load
			n++
		}
	}
	return maxLoadRatio * sum / float64(max(n, 1))
}

// updateLoad updates the smoothed load to now. It must be called before inFlight changes.
func (s *server) updateLoad(now time.Duration) {
	keep := math.Exp(-float64(now-s.loadUpdated) / float64(loadTimeConstant))
	s.load = s.load*keep + float64(s.inFlight)*(1-keep)
	s.loadUpdated = now
}

// canTake reports whether a server can take the request now.
func (b *Balancer) canTake(now time.Duration, q *request, s *server) bool {
	return s.usable() && s.inFlight < inFlightCap && b.notEjected(now, s) && !q.tried(s) &&
		q.effectAllows(now, q.mayHaveRun(), s) && b.coldBudgetAllows(now, s)
}
