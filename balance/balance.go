// Package balance makes a load balancer's decisions for services that call services.
//
// This file holds every decision; the interface (settings, events, actions) is in types.go. A server is
// picked by subset, pick and canTake: the subset comes from the instance's own number through a shuffle
// seeded by its round, turns rotate inside it, and members that cannot take a request are skipped.
package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// inFlightCap is the book's flow control: a member with so many of our requests is passed over.
	inFlightCap = 100
	// subsetBase is the smallest subset wanted. Few members keep connections few and let an instance
	// with little traffic learn about each; the size is then raised, at most to double, to where the
	// instances' slices cover all servers most evenly.
	subsetBase = 8
	// shuffleStream keeps the rounds' generator apart from the instances' own.
	shuffleStream = 0x6c656d6f6e666c6f
	// retryRatio is how much of the first attempts' number may be sent again: retries multiply from tier
	// to tier, so each instance earns them. retryBurst is the most that can be saved up.
	retryRatio, retryBurst = 0.1, 10.0
	// holdStep is how often held requests look again for a server that can take them.
	holdStep = 20 * time.Millisecond
	// loadCap is the adaptive cap: a member misses its turn while its in-flight requests, smoothed over
	// loadMemory, are so many times the subset's mean. Slow members hold requests longer and so get fewer.
	loadCap    = 1.1
	loadMemory = 700 * time.Millisecond
	// The admission limit on requests in flight follows how long answers take. Each answer moves it by
	// limitStep times how far it stays under its class's target, or is over it, where up to overMost targets
	// count. The target is targetShare of the aim, or baseGain times what the class takes without a crowd if
	// that is more: under that, no limit is low enough, and it would be cut for nothing. While little of it
	// is used, each answer takes unusedStep off it, down to limitIdle: no surge must find one never tried.
	limitFirst, limitLeast, limitIdle = 64.0, 4.0, 16.0
	limitStep, unusedStep, overMost   = 0.5, 0.1, 3.0
	targetShare, baseGain             = 0.44, 1.4
	// baseShare of the active servers' number in flight is no crowd, whatever the limit says.
	baseShare = 0.5
	// A server's slowness is its answers' time over their classes' means, counted up to slowMost. Of a server
	// over its peers' by sickMargin, late answers do not move the limit, and those over overdueMost means do
	// not clear it.
	slowMost, slowStep, sickMargin = 4.0, 0.1, 0.5
	overdueMost                    = 2.0
	// meanStep smooths a class's means.
	meanStep = 0.02
	// holdShare of its aim is how long a request may be held before it is refused; holdFree where refusing is
	// always harmless: its client comes again while an answer can still be in time, and of a last try it is
	// known how old it is. Held for long, a try comes too late and so does the one after it.
	holdShare, holdFree = 0.5, 0.05
	// A class's cost is costQuantile of its answers' times, its tail tailQuantile; both are followed by
	// quantileStep. minCost, in seconds, keeps them above 0.
	costQuantile, tailQuantile, quantileStep, minCost = 0.25, 0.95, 0.1, 0.001
	// tailSeen attempts are needed to tell the tail.
	tailSeen = 12
	// Tries whose patience is within patienceSlack of their class's usual one may be of any age; votesMost is
	// how many tries with another patience it takes to unseat the usual one.
	patienceSlack, votesMost = 5 * time.Millisecond, 50
	// nearLimit of the admission limit is where late repeats are turned away.
	nearLimit = 0.9
	// stayLeast is the shortest wait that a refused client is told, less chance.
	stayLeast = 100 * time.Millisecond
	// vacantShare of the places may be empty before the list is sorted anew.
	vacantShare = 0.5
	// watchWarn failed watches in a row are told to people.
	watchWarn = 4
	// quotaBurst is how long a tenant's unused quota is saved up.
	quotaBurst = 2 * time.Second
	// A member is ejected after ejectRun failures in a row, or when failMemory-smoothed failures pass
	// ejectShare; for ejectBase at first, doubling to ejectMost. A single trial request lets it back.
	ejectRun   = 3
	ejectShare = 0.5
	failMemory = 0.15
	ejectBase  = 2 * time.Second
	ejectMost  = 16 * time.Second
	// stallStep is how long apart attempts that stay out too long count against their server.
	stallStep = 50 * time.Millisecond
	// panicShare of the slice stays whatever its members' failures: if so many look bad, the cause is shared.
	panicShare = 0.5
)

// server is what this instance knows of one server.
type server struct {
	id       string
	entry    Entry
	listed   time.Duration // when the list first named it
	inFlight int
	load     float64       // in-flight requests, smoothed over loadMemory
	loadAt   time.Duration // when load was brought up to date

	failRun   int           // failures in a row
	failRate  float64       // smoothed share of failures
	ejected   time.Duration // until when it is passed over; 0 if it is not
	ejections int           // in a row, without a success between
	trial     bool          // the request that tries an ejected server is out
	banned    bool          // taken out by hand
	resumed   time.Duration // when it was last put back by hand
	answered  time.Duration // when it last answered anything
	stalledAt time.Duration // when its silence last counted against it
	slow      float64       // its answers' time over their classes' means, less 1, smoothed

	// The budget while cold: tokens earned at the warm members' rate times the cold share.
	coldTokens float64
	coldAt     time.Duration
}

// attempt is one send of a request.
type attempt struct {
	s        *server
	at       time.Duration
	over     bool
	canceled bool
	unrun    bool // proven never to have run
	unsent   bool // never sent, for want of something of ours
}

// request is one accepted request until its last attempt has ended.
type request struct {
	Request
	class    *Class
	end      time.Duration // by when the final answer must be given
	attempts []attempt
	out      int
	answered bool
	started  bool // its answer streams: it belongs to the client
	held     bool
	worth    float64
	timers   []uint64  // set for it alone
	few      [4]uint64 // room for most requests' timers
}

// Balancer makes the decisions of one instance. It is not safe for concurrent use.
type Balancer struct {
	set  Settings
	host Host
	rng  *rand.PCG

	servers  map[string]*server
	banned   map[string]bool // the ids taken out by hand, listed or not
	seen     seen
	slots    []*server // the list that is shuffled: sorted by id, places kept by keepSlots
	order    []*server // the round's shuffle, turned so that the own slice stands first
	slice    int       // how many of order are the own slice
	panicked bool      // the panic threshold is reached
	active   []*server // the slice, with a spare for each lost member
	turn     int

	requests map[string]*request
	held     []*request // by worth for the time they take, then by age
	holding  bool
	inFlight int        // requests with an attempt out
	limit    float64    // how many of them are admitted
	tail     []tail     // by class, the time after which an attempt is late for its class
	cost     []quantile // by class, a low quantile of its answers' seconds, which waiting distorts least
	mean     []mean     // by class, its answers' mean seconds
	base     []mean     // by class, the same of attempts that met no crowd
	patience []patience // by class, how long a client's try may take
	quota    []bucket   // by tenant
	retries  float64
	served   rate          // requests answered in time by servers
	newest   time.Duration // when the youngest of the attempts that were answered was sent

	timers    map[uint64]func(now time.Duration)
	lastTimer uint64
	watchFail int
}

// New returns an instance that knows no servers yet. Equal settings, seed and events give equal actions.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Balancer{
		set: settings, host: host, rng: rand.NewPCG(seed, 0),
		servers: map[string]*server{}, banned: map[string]bool{}, requests: map[string]*request{},
		timers: map[uint64]func(time.Duration){}, retries: retryBurst / 2, limit: limitFirst,
		cost: make([]quantile, len(settings.Classes)), tail: make([]tail, len(settings.Classes)),
		mean: make([]mean, len(settings.Classes)), base: make([]mean, len(settings.Classes)),
		patience: make([]patience, len(settings.Classes)),
		quota:    make([]bucket, len(settings.Tenants)),
	}, nil
}

// Submit takes a request on.
func (b *Balancer) Submit(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.set.Classes) {
		b.host.Refuse(r.ID, 0) // no effect to fear, and no request may be lost
		return
	}
	c := &b.set.Classes[r.Class]
	q := &request{Request: r, class: c, end: now + r.Left}
	b.requests[r.ID] = q
	useful := b.useful(now, q)
	if r.Left <= 0 || useful <= 0 && float64(b.inFlight+1) > nearLimit*b.limit {
		// Its time is over, or it is a client's repeat that comes too late to earn anything where others
		// want the room: sending it on would be waste.
		b.answer(now, q)
		return
	}
	q.worth = c.Worth * b.tenantWorth(now, r.Tenant)
	b.retries = min(b.retries+retryRatio, retryBurst)
	b.afterFor(q, q.end-now, func(now time.Duration) { b.giveUp(now, q) })
	b.hold(q)
	b.retryHeld(now)
	if q.held {
		share := holdShare
		if c.Effect == Free {
			share = holdFree
		}
		b.afterFor(q, min(time.Duration(share*float64(c.Aim)), r.Left/2), func(now time.Duration) {
			if q.held && !q.answered {
				b.answer(now, q)
			}
		})
		b.keepHolding()
	}
}

// useful is how long a fresh request may wait and still be answered while that earns something. It shortens
// the request's end to when that is over where its failure makes no client repeat it. (A free request that
// fails is sent again and costs more than the rest of its late run; at the lower tiers a failure costs the
// upper tier's work.)
func (b *Balancer) useful(now time.Duration, q *request) time.Duration {
	c := q.class
	if b.set.Layer > 0 || c.LateWorth > 0 {
		return q.Left
	}
	// A try with the usual patience may be the first. Any other is its client's last: it has all that is left
	// of the client's patience, which tells how much has passed.
	aim := c.Aim
	if !b.patience[q.Class].usual(q.Left) {
		aim -= c.GiveUp - q.Left
	}
	if aim > 0 && (c.Effect == SingleShot || c.Effect == Guarded && c.Group != GroupAll) {
		q.end = min(q.end, now+aim)
	}
	return min(aim, q.Left) - time.Duration(float64(b.cost[q.Class])*float64(time.Second))
}

// tenantWorth is what a tenant's next request is worth: less beyond its quota, of which each instance
// counts its own part. It orders requests only while there is no room for all.
func (b *Balancer) tenantWorth(now time.Duration, tenant int) float64 {
	if len(b.quota) == 0 {
		return 1
	}
	if tenant < 0 || tenant >= len(b.quota) {
		return b.set.OverShareWorth // nobody's quota
	}
	perSecond := b.set.Tenants[tenant].QuotaPerSecond / float64(b.set.Instances)
	if b.quota[tenant].take(now, perSecond, perSecond*quotaBurst.Seconds()) {
		return 1
	}
	return b.set.OverShareWorth
}

// hold puts a request in the queue that all requests pass; it is empty again at once while there is room.
func (b *Balancer) hold(q *request) {
	q.held = true
	density := func(q *request) float64 { return q.worth / max(float64(b.cost[q.Class]), minCost) }
	at := len(b.held)
	for at > 0 && density(b.held[at-1]) < density(q) {
		at--
	}
	b.held = slices.Insert(b.held, at, q)
}

// admitted says whether there is room for one more request. Only the first tier refuses for want of room:
// a refusal further down would waste what the tiers above have done.
func (b *Balancer) admitted() bool {
	return b.set.Layer > 0 || float64(b.inFlight+1) <= b.limit
}

// pressed says whether the admission limit is made use of; if not, what happens says nothing about it.
func (b *Balancer) pressed() bool { return 2*float64(b.inFlight) > b.limit }

// learn takes in what an attempt's outcome tells of its class and of its server.
func (b *Balancer) learn(q *request, s *server, r Result) {
	took := r.Latency.Seconds()
	if r.Outcome == OK {
		b.cost[q.Class].observe(r.Latency, costQuantile)
		b.patience[q.Class].observe(q.Left)
		b.mean[q.Class].observe(took)
	}
	if t := &b.tail[q.Class]; r.Outcome == OK || t.known() && took > float64(t.quantile) {
		t.observe(r.Latency, tailQuantile)
		t.seen++
	}
	target := max(targetShare*q.class.Aim.Seconds(), baseGain*float64(b.base[q.Class]))
	over := min(took/target, overMost)
	switch r.Outcome {
	case Canceled, Ignored, Rejected:
		return // says nothing of how long the servers take
	case QueueFull:
		over = overMost
	case OK:
	default:
		if over < 1 {
			return // nor does a quick failure
		}
	}
	if mean := float64(b.mean[q.Class]); mean > 0 && r.Outcome != QueueFull {
		s.slow += slowStep * (min(took/mean, slowMost) - 1 - s.slow)
	}
	if !b.pressed() || float64(b.inFlight) <= baseShare*float64(len(b.active)) {
		b.base[q.Class].observe(took)
	}
	b.adapt(s, over)
}

// adapt moves the admission limit by an attempt's time over its target.
func (b *Balancer) adapt(s *server, over float64) {
	switch {
	case !b.pressed():
		if b.limit > limitIdle {
			b.limit -= unusedStep
		}
	case over > 1 && b.sick(s):
	default:
		b.limit = max(b.limit+limitStep*(1-over), limitLeast)
	}
}

// sick says whether a server takes much longer than its peers: then the cause is its own, and no crowd.
func (b *Balancer) sick(s *server) bool {
	sum := 0.0
	for _, m := range b.active {
		sum += m.slow
	}
	return s.slow > sum/float64(max(len(b.active), 1))+sickMargin
}

func (b *Balancer) send(now time.Duration, q *request, s *server) {
	q.held = false
	if q.out == 0 {
		b.inFlight++
	}
	q.attempts = append(q.attempts, attempt{s: s, at: now})
	q.out++
	s.track(now)
	s.inFlight++
	s.trial = s.ejected > 0
	b.spendCold(now, s)
	b.host.Send(q.ID, s.id, q.end-now)
	if t := b.tail[q.Class]; t.known() {
		index := len(q.attempts) - 1
		wait := time.Duration(float64(t.quantile) * float64(time.Second))
		b.afterFor(q, wait, func(now time.Duration) { b.stalled(now, q, index) })
	}
}

// pick is the ordinary path: the next member of the subset in turn that can take the request.
func (b *Balancer) pick(now time.Duration, q *request) *server {
	capped := b.loadLimit(now)
	for i := range b.active {
		s := b.active[(b.turn+i)%len(b.active)]
		if s.load <= capped && b.canTake(now, q, s) {
			b.turn = (b.turn + i + 1) % len(b.active)
			return s
		}
	}
	for i := range b.active {
		// All that is left is over its relative cap; the cap spreads load and must not refuse it.
		if s := b.active[(b.turn+i)%len(b.active)]; b.canTake(now, q, s) {
			return s
		}
	}
	if q.mayHaveRun() == nil {
		return nil
	}
	// A repeat bound to a zone or cell may find no member there: it walks on outside the subset.
	for _, s := range b.order {
		if b.canTake(now, q, s) {
			return s
		}
	}
	return nil
}

// loadLimit is the smoothed in-flight load above which a member misses its turn.
func (b *Balancer) loadLimit(now time.Duration) float64 {
	sum, n := 0.0, 0
	for _, s := range b.active {
		s.track(now)
		if !s.out() {
			sum += s.load
			n++
		}
	}
	return loadCap * sum / float64(max(n, 1))
}

// track brings the smoothed load up to now; call it before inFlight changes.
func (s *server) track(now time.Duration) {
	keep := math.Exp(-float64(now-s.loadAt) / float64(loadMemory))
	s.load = s.load*keep + float64(s.inFlight)*(1-keep)
	s.loadAt = now
}

// refresh makes the active list: the slice, and for each member that is gone, draining or ejected the next
// sound server along the round's shuffle, so that every round spreads a loss over others. Lost members stay
// in the list, where turns pass over them until they are sound again.
func (b *Balancer) refresh() {
	b.active = append(b.active[:0], b.order[:b.slice]...)
	lost := 0
	for _, s := range b.active {
		if s.out() {
			lost++
		}
	}
	for _, s := range b.order[b.slice:] {
		if lost == 0 {
			break
		}
		if !s.out() {
			b.active = append(b.active, s)
			lost--
		}
	}
	b.turn %= max(len(b.active), 1)
}

// canTake says whether a server can take the request now.
func (b *Balancer) canTake(now time.Duration, q *request, s *server) bool {
	return s.usable() && s.inFlight < inFlightCap && b.sound(now, s) && !q.tried(s) &&
		q.allows(now, s) && b.coldAllows(now, s)
}

// mayHaveRun is the first attempt that may have run, or nil.
func (q *request) mayHaveRun() *attempt {
	for i := range q.attempts {
		if !q.attempts[i].unrun {
			return &q.attempts[i]
		}
	}
	return nil
}

// tried says whether an attempt of the request has gone to s: what went wrong there may do so again.
func (q *request) tried(s *server) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.s == s && !a.unsent })
}

// allows keeps the rule on effects for a further send: it may go to s only if no attempt may have run, or
// the class is free, or s is in the group that drops the repeat and still remembers it.
func (q *request) allows(now time.Duration, s *server) bool {
	first := q.mayHaveRun()
	if first == nil || q.class.Effect == Free {
		return true
	}
	if q.class.Effect == SingleShot || now >= first.at+q.class.Window {
		return false
	}
	switch q.class.Group {
	case GroupZone:
		return s.entry.Zone == first.s.entry.Zone
	case GroupCell:
		return s.entry.Cell == first.s.entry.Cell
	}
	return true
}

// refusable says whether the client may be told that trying again is harmless.
func (q *request) refusable() bool {
	return q.mayHaveRun() == nil || q.class.Effect == Free ||
		q.class.Effect == Guarded && q.class.Group == GroupAll
}

// Result takes in how an attempt ended.
func (b *Balancer) Result(now time.Duration, r Result) {
	q := b.requests[r.ID]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || q.attempts[r.Attempt].over {
		return
	}
	a := &q.attempts[r.Attempt]
	a.over, a.unrun, a.unsent = true, r.Outcome.ProvesUnrun(), r.Outcome == Ignored
	a.s.track(now)
	a.s.inFlight--
	q.out--
	b.learn(q, a.s, r)
	if q.out == 0 {
		b.inFlight--
	}
	switch r.Outcome {
	case OK, Failed, QueueFull, Rejected:
		a.s.answered, b.newest = now, max(b.newest, a.at)
	}
	b.judge(now, a.s, r.Outcome, b.overdue(q, a.s, r))
	if r.Finished {
		q.answered = true
	}
	if !q.answered && !q.started && q.out == 0 {
		switch r.Outcome {
		case Ignored:
			b.tryLater(now, q)
		case Rejected:
			b.finish(now, q, false) // it would be turned away elsewhere too
		default:
			b.tryAgain(now, q)
		}
	} else if r.Finished {
		b.cancelOut(q)
	}
	b.forget(q)
	b.retryHeld(now)
}

// tryAgain follows an attempt that did not serve the request: another send where the class, the time and
// the retry budget allow it, or else the final answer.
func (b *Balancer) tryAgain(now time.Duration, q *request) {
	if now < q.end && len(q.attempts) < b.set.MaxAttempts && b.retries >= 1 {
		if s := b.pick(now, q); s != nil {
			b.retries--
			b.send(now, q, s)
			return
		}
	}
	b.answer(now, q)
}

// tryLater follows an attempt that was never sent because this instance was short of something, sockets
// mostly. It says nothing about the server and spends no retry; at once it would only fail again.
func (b *Balancer) tryLater(now time.Duration, q *request) {
	if now+holdStep >= q.end || len(q.attempts) >= b.set.MaxAttempts {
		b.answer(now, q)
		return
	}
	b.afterFor(q, holdStep, func(now time.Duration) {
		if !q.answered {
			b.hold(q)
			b.retryHeld(now)
			b.keepHolding()
		}
	})
}

// answer ends a request unserved: refused where that promise can be kept, failed otherwise.
func (b *Balancer) answer(now time.Duration, q *request) { b.finish(now, q, q.refusable()) }

func (b *Balancer) finish(now time.Duration, q *request, refuse bool) {
	q.answered = true
	if refuse {
		b.host.Refuse(q.ID, b.stayAway(now))
	} else {
		b.host.Fail(q.ID)
	}
	b.cancelOut(q)
	b.forget(q)
}

// cancelOut calls off what is still out for a request that is over: its work would be waste.
func (b *Balancer) cancelOut(q *request) {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.over && !a.canceled && b.set.CanCancel {
			a.canceled = true
			b.host.Cancel(q.ID, i)
		}
	}
}

// forget drops the record of a request that is over, once no attempt is out that must still be counted.
func (b *Balancer) forget(q *request) {
	if q.answered && q.out == 0 {
		delete(b.requests, q.ID)
		for _, token := range q.timers {
			delete(b.timers, token) // which would hold its record until then
		}
	}
}

// sound says whether a server is not ejected, or may now have its single trial request.
func (b *Balancer) sound(now time.Duration, s *server) bool {
	return s.ejected == 0 || now >= s.ejected && !s.trial
}

// overdue says whether a server answered far too late for the request's class, and is slower than its peers:
// such an answer does not clear it.
func (b *Balancer) overdue(q *request, s *server, r Result) bool {
	return r.Outcome == OK && r.Latency.Seconds() > overdueMost*float64(b.mean[q.Class]) && b.sick(s)
}

// judge learns a server's health from an outcome: errors, time-outs and refusals count as failures.
func (b *Balancer) judge(now time.Duration, s *server, o Outcome, overdue bool) {
	failed := 0.0
	switch o {
	case Canceled, Ignored, Rejected:
		s.trial = false
		return
	case OK:
		b.served.add(now)
		if overdue {
			s.trial = false
			if s.ejected > 0 {
				b.considerEjection(now, s, true) // its trial shows that it is as slow as before
			}
			return
		}
		s.failRun = 0
		if s.ejected > 0 {
			s.ejected, s.failRate, b.panicked = 0, 0, false
			b.refresh()
		}
		s.ejections = 0
	default:
		failed = 1
		s.failRun++
	}
	s.trial = false
	s.failRate += failMemory * (failed - s.failRate)
	if failed > 0 {
		b.considerEjection(now, s, o == ConnectError)
	}
}

// considerEjection ejects a server that looks dead, for longer each time in a row.
func (b *Balancer) considerEjection(now time.Duration, s *server, dead bool) {
	dead = dead || s.failRun >= ejectRun || s.failRate > ejectShare
	if dead && now >= s.ejected && b.mayEject(s) {
		s.ejected = now + min(ejectBase<<min(s.ejections, 4), ejectMost)
		s.ejections++
		if s.ejections == 1 {
			b.host.Log("ejected " + s.id)
		}
		b.refresh()
	}
}

// mayEject is the panic threshold: failures that most of the slice shares do not come from its members, and
// ejecting these would pile the load onto the last few.
func (b *Balancer) mayEject(s *server) bool {
	if s.ejected > 0 {
		return true // it is out already: the trial has failed
	}
	out := 0
	for _, m := range b.order[:b.slice] {
		if m.ejected > 0 || m.banned {
			out++
		}
	}
	if float64(out+1) <= panicShare*float64(b.slice) {
		return true
	}
	if !b.panicked {
		b.panicked = true
		b.host.Log("panic threshold: no further ejections, too much of the subset is out")
	}
	return false
}

// stalled notes that an attempt is out for longer than nearly all of its class take. A silent server shows
// in nothing else, so it counts as a failure until an answer comes. It counts only where others are answered
// meanwhile and this server says nothing at all, or is slower than its peers: a server that has answered
// since the attempt was sent is not dead, and where nobody has answered anything as young, the silence is the
// network's or our own. At a
// high rate many attempts meet one short pause; they count once in stallStep. No second copy is sent: copies
// took the retry budget from real failures and multiplied from tier to tier, which cost more than they saved.
func (b *Balancer) stalled(now time.Duration, q *request, index int) {
	a := &q.attempts[index]
	if a.over || q.answered || a.s.answered > a.at && !b.sick(a.s) {
		return
	}
	if b.newest < a.at || now < a.s.stalledAt+stallStep {
		b.afterFor(q, stallStep, func(now time.Duration) { b.stalled(now, q, index) })
		return
	}
	a.s.stalledAt = now
	a.s.failRun++
	b.considerEjection(now, a.s, false)
}

// Started takes in that the answer to a request has begun to stream: no further send, no deadline.
func (b *Balancer) Started(now time.Duration, id string, attempt int) {
	if q := b.requests[id]; q != nil {
		q.started = true
	}
}

// Dropped takes in that the client has gone. What is out for it would run for nobody.
func (b *Balancer) Dropped(now time.Duration, id string) {
	if q := b.requests[id]; q != nil {
		q.answered = true
		b.cancelOut(q)
		b.forget(q)
	}
}

// retryHeld looks for room for the held requests, the most worth first.
func (b *Balancer) retryHeld(now time.Duration) {
	kept := b.held[:0]
	for _, q := range b.held {
		if q.answered {
			continue
		}
		if b.admitted() {
			if s := b.pick(now, q); s != nil {
				b.send(now, q, s)
				continue
			}
		}
		kept = append(kept, q)
	}
	clear(b.held[len(kept):])
	b.held = kept
}

// keepHolding lets held requests look again soon, for as long as there are any.
func (b *Balancer) keepHolding() {
	if b.holding || len(b.held) == 0 {
		return
	}
	b.holding = true
	b.after(holdStep, func(now time.Duration) {
		b.holding = false
		b.retryHeld(now)
		b.keepHolding()
	})
}

// Update takes in what the list service says.
func (b *Balancer) Update(now time.Duration, kind ListKind, entries []Entry) {
	if kind == ListFailed {
		if b.watchFail++; b.watchFail == watchWarn {
			b.host.Log("list: no answer to several watches in a row; going on with the list held")
		}
		b.watchSoon()
		return
	}
	if kind == Cached {
		b.watchSoon()
	} else {
		b.watchFail = 0
	}
	if kind != Delta {
		for _, s := range b.servers {
			s.entry.State = Gone
		}
	}
	for _, e := range entries {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{id: e.ID, listed: now, banned: b.banned[e.ID]}
			b.servers[e.ID] = s
			b.seen.add(e.ID)
		}
		if s.entry.Boot != e.Boot {
			// The first sends of all instances must not meet: each begins with a random debt.
			s.coldAt, s.coldTokens = now, 1-2*b.random()
			s.forgive()
		}
		s.entry = e
	}
	b.cut(now)
	b.retryHeld(now)
}

// watchSoon subscribes where the list must be asked. The wait is random and grows with each failure, so
// that a whole tier started at once does not swamp the list service; it stays under AskEvery, after which
// an instance counts as told of what it has not heard.
func (b *Balancer) watchSoon() {
	if !b.set.AskForList {
		return
	}
	wait := min(b.set.AskEvery/16<<min(b.watchFail, 3), b.set.AskEvery/2)
	b.after(time.Duration(b.random()*float64(wait)), func(time.Duration) { b.host.Watch() })
}

// cut takes this instance's slice of the full list, as the book has it: sorted by id, draining members
// included, shuffled by the round's seed, cut by the own number; leftovers go one each to the first slices.
func (b *Balancer) cut(now time.Duration) {
	if !b.keepSlots(now) {
		b.slots = b.slots[:0]
		for _, s := range b.servers {
			if s.entry.State != Gone {
				b.slots = append(b.slots, s)
			}
		}
		slices.SortFunc(b.slots, byID)
	}
	for id, s := range b.servers {
		if s.entry.State == Gone && s.inFlight == 0 && !slices.Contains(b.slots, s) {
			delete(b.servers, id)
		}
	}
	from, to, round := subset(b.set.Self, b.set.Instances, len(b.slots))
	order := shuffled(b.slots, round)
	b.order = append(slices.Clone(order[from:]), order[:from]...)
	b.slice = to - from
	b.refresh()
}

// keepSlots keeps the order that the shuffle starts from while servers come and go, and reports whether that
// could be done. Sorting anew would shift every later server and reshuffle nearly all subsets at each step of
// a release or crash, at each instance at another time. So who is gone keeps its place, empty; a new id takes
// the place of one that is gone or draining; and a new server that replaces nobody waits, for as long as it
// would be cold at most, for a place to come free.
func (b *Balancer) keepSlots(now time.Duration) bool {
	var joining []*server
	for _, s := range b.servers {
		if s.entry.State != Gone && !slices.Contains(b.slots, s) {
			joining = append(joining, s)
		}
	}
	slices.SortFunc(joining, byID)
	vacant := 0
	for i, s := range b.slots {
		switch {
		case s.entry.State == InService:
		case len(joining) > 0:
			b.slots[i], joining = joining[0], joining[1:]
		case s.entry.State == Gone:
			vacant++
		}
	}
	for _, s := range joining {
		if now >= s.listed+b.set.WarmUp {
			return false
		}
	}
	if len(joining) > 0 && len(b.slots) > 0 {
		b.after(b.set.WarmUp, b.cut)
	}
	return len(b.slots) > 0 && float64(vacant) <= vacantShare*float64(len(b.slots))
}

func byID(x, y *server) int { return cmp.Compare(x.id, y.id) }

// subset says which slice of which round's shuffle an instance takes.
func subset(self, instances, servers int) (from, to, round int) {
	count := subsetCount(instances, servers)
	slice := self % count
	size, left := servers/count, servers%count
	from = slice*size + min(slice, left)
	to = from + size
	if slice < left {
		to++
	}
	return from, to, self / count
}

// subsetCount says into how many slices a round cuts the list: among the counts that give subsetBase to
// twice as many members, the one whose last, unfinished round leaves the coverage most even.
func subsetCount(instances, servers int) int {
	best, bestUneven := 1, 2.0
	for count := max(servers/subsetBase, 1); count >= max(servers/(2*subsetBase), 1); count-- {
		rounds, rest := instances/count, instances%count
		share := float64(rest) / float64(count)
		uneven := share * (1 - share) / max(float64(rounds*rounds), share*share)
		if uneven < bestUneven {
			best, bestUneven = count, uneven
		}
	}
	return best
}

// shuffled is a Fisher-Yates shuffle over PCG seeded by the round alone, so that all instances agree on it.
func shuffled(list []*server, round int) []*server {
	order := slices.Clone(list)
	rng := rand.NewPCG(uint64(round), shuffleStream)
	for i := len(order) - 1; i > 0; i-- {
		j := int(rng.Uint64() % uint64(i+1))
		order[i], order[j] = order[j], order[i]
	}
	return order
}

// coldShare is the part of its full capacity that a server can be counted on to have.
func (b *Balancer) coldShare(now time.Duration, s *server) float64 {
	boot := max(s.entry.Boot, s.resumed)
	age := now - boot
	if boot <= 0 || age >= b.set.WarmUp {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*float64(max(age, 0))/float64(b.set.WarmUp)
}

// coldAllows keeps a cold server standing. All instances together may send it FallMultiple times its present
// capacity; each keeps to its own part of once that: what a member serves it on average, times the cold
// share. What is sent would be no guide: under overload it is a multiple of what servers can do. Only the
// slice's own members are warmed up: as a spare, a cold server would hear from instances that its budget
// does not count on.
func (b *Balancer) coldAllows(now time.Duration, s *server) bool {
	share := b.coldShare(now, s)
	if share >= 1 {
		return true
	}
	if !slices.Contains(b.order[:b.slice], s) {
		return false
	}
	perMember := b.served.at(now) / float64(b.slice)
	s.coldTokens = min(s.coldTokens+perMember*share*(now-s.coldAt).Seconds(), 1)
	s.coldAt = now
	return s.coldTokens >= 1
}

func (b *Balancer) spendCold(now time.Duration, s *server) {
	if b.coldShare(now, s) < 1 {
		s.coldTokens--
	}
}

// stayAway is how long a refused client should wait: until what is held now has had its turn, at random so
// that those refused together do not come back together. 0 where clients are not told.
func (b *Balancer) stayAway(now time.Duration) time.Duration {
	if !b.set.RetryAfter {
		return 0
	}
	wait := b.set.MaxRetryAfter // nothing gets served, so nothing tells when that will change
	if perSecond := b.served.at(now); perSecond > 0 {
		turn := float64(len(b.held)+b.inFlight+1) / perSecond
		wait = time.Duration(min(turn*float64(time.Second), float64(wait)))
	}
	wait = max(wait, min(stayLeast, b.set.MaxRetryAfter))
	return time.Duration((0.5 + 0.5*b.random()) * float64(wait))
}

// patience holds the usual patience of a class's tries, found by a majority vote (Boyer and Moore) over those
// served. A client gives each try but its last the same patience, and the last what is left. What bad callers
// claim is never served, so it does not count.
type patience struct {
	left  time.Duration
	votes int
}

func (p *patience) observe(left time.Duration) {
	switch {
	case p.votes == 0:
		p.left, p.votes = left, 1
	case p.usual(left):
		p.votes = min(p.votes+1, votesMost)
	default:
		p.votes--
	}
}

// usual says whether a try's patience tells nothing of its age; none does before any is known.
func (p *patience) usual(left time.Duration) bool {
	return p.votes == 0 || (left-p.left).Abs() <= patienceSlack
}

// rate is a smoothed count of events a second.
type rate struct {
	per  float64
	last time.Duration
}

// rateMemory is the time over which a rate is smoothed.
const rateMemory = 4 * time.Second

func (r *rate) add(now time.Duration) {
	r.per = r.at(now) + 1/rateMemory.Seconds()
	r.last = now
}

func (r *rate) at(now time.Duration) float64 {
	return r.per * math.Exp(-float64(now-r.last)/float64(rateMemory))
}

// quantile follows a quantile of durations, in seconds, by small steps; 0 until the first.
type quantile float64

func (e *quantile) observe(d time.Duration, q float64) {
	switch x := quantile(max(d.Seconds(), minCost)); {
	case *e == 0:
		*e = x
	case x < *e:
		*e *= quantile(1 - quantileStep*(1-q))
	default:
		*e *= quantile(1 + quantileStep*q)
	}
}

// mean is a smoothed mean of seconds; 0 until the first.
type mean float64

func (m *mean) observe(seconds float64) {
	if *m == 0 {
		*m = mean(seconds)
	}
	*m += meanStep * (mean(seconds) - *m)
}

// tail is the time that nearly all of a class's attempts take. From the first few it cannot be told: an
// instance that has just started would take the first one's time for it and eject whoever takes longer.
type tail struct {
	quantile
	seen int
}

func (t *tail) known() bool { return t.seen >= tailSeen }

// bucket is a token bucket that starts full.
type bucket struct {
	tokens float64
	last   time.Duration
	known  bool
}

func (t *bucket) take(now time.Duration, perSecond, most float64) bool {
	if !t.known {
		t.known, t.tokens = true, most
	}
	t.tokens = min(t.tokens+perSecond*(now-t.last).Seconds(), most)
	t.last = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// after calls f once the delay has passed.
func (b *Balancer) after(delay time.Duration, f func(now time.Duration)) {
	b.lastTimer++
	b.timers[b.lastTimer] = f
	b.host.SetTimer(max(delay, 0), b.lastTimer)
}

// afterFor is after for what concerns one request alone: nothing is called once its record is forgotten.
func (b *Balancer) afterFor(q *request, delay time.Duration, f func(now time.Duration)) {
	b.after(delay, f)
	if q.timers == nil {
		q.timers = q.few[:0]
	}
	q.timers = append(q.timers, b.lastTimer)
}

// Timer takes in that a timer has come due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if f := b.timers[token]; f != nil {
		delete(b.timers, token)
		f(now)
	}
}

// giveUp gives the final answer that is due when the client stops waiting.
func (b *Balancer) giveUp(now time.Duration, q *request) {
	if !q.answered && !q.started {
		// Too late to be of use: a refusal would invite the client to spend more on it.
		b.finish(now, q, false)
	}
}

// random is uniform in [0, 1) from the instance's own seed.
func (b *Balancer) random() float64 { return float64(b.rng.Uint64()>>11) / (1 << 53) }
