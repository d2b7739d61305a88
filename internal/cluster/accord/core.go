package accord

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brasswell/internal/cluster/rules"
)

// Host carries out what a core decides. Its methods are called from within the core's own and must not call back.
type Host interface {
	// Send sends a message to a proxy by its name; it may be lost. The message is the host's from then on.
	Send(to string, m *Message)
	// Save makes a record last. Nothing that rests on it has been said before; after an error nothing will be.
	Save(r *Record) error
	// Keep makes what this proxy knows last: it is about to say that it has it, and a start that reaches no voter must know it too.
	// Where it fails that is the host's to tell; the proxy goes on.
	SaveRules(s *rules.Status)
	// Acts replaces what this proxy's acts rest on.
	SetBasis(b *Basis)
	// Answered brings what became of a proposal of this proxy's own.
	ProposalDone(a rules.Answer)
	// Told tells what has happened, for people.
	Notify(what Event, of Note)
}

// Event is what has happened, for people.
type Event string

// The events.
const (
	RulesChanged   Event = "rules" // another standing is acted on
	Elected        Event = "leads" // this keeper leads
	Deposed        Event = "leads no more"
	Founded        Event = "founded the keepers' log"
	Joined         Event = "joins the keepers' log"
	LogOutdated    Event = "its log is older than what it has said; it begins anew"
	DiskFailed     Event = "keeps no longer: the folder cannot be written"
	VotersChanged  Event = "keepers changed"
	Refounded      Event = "goes on alone, in place of the other keepers"
	NewerForm      Event = "the agreed rules are of a later version of the program; this one acts carefully and holds no lease until it is upgraded"
	DigestMismatch Event = "what is acted on here is not what the voters have under the same number; the whole is asked for"
	Superseded     Event = "was given up for good while it was away; begins anew"
)

// Note goes with an event.
type Note struct {
	InForce, Last uint64
	Name          string
	Err           error
}

const (
	// mostProposals of this proxy's own wait at one time.
	mostProposals = 64
	// proposalTime is how long a proposal is tried.
	proposalTime = 30 * time.Second
	// mostSent renewals are remembered.
	mostSent = 32
)

// asked is a renewal that has not been answered.
type asked struct {
	seq uint64
	at  time.Duration
	to  string
}

// proposal is one of this proxy's own.
type proposal struct {
	change rules.Change
	next   time.Duration
	until  time.Duration
}

// Core is one proxy's part in the agreement.
type Core struct {
	set  Settings
	host Host
	rng  *rand.Rand
	now  time.Duration

	// As a holder of a lease:
	standing rules.Status // version 0 while nothing is known
	digest   rules.Digest // of the standing
	verified bool         // the standing has come from voters since the start, whole or proven by its digest
	// needsWhole: what is known here was found to differ from what others know by the same number.
	needsWhole bool
	until      time.Duration
	tested     time.Duration
	renew      time.Duration // when it is next asked for
	sent       []asked       // the oldest first
	later      bool          // a standing was of a form that is not understood, and that has been told
	seq        uint64
	route      string // to whom a renewal went that was answered; "" for none
	missed     int    // renewals in a row that were not
	peers      []string
	waiting    []*proposal
	basis      Basis

	voter *voter // nil where it is none
}

// New returns the core of a proxy that starts now. Stored is what its disk holds of a voter's log.
func New(now time.Duration, s Settings, seed uint64, disk Stored, host Host) (*Core, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	c := &Core{set: s, host: host, rng: rand.New(rand.NewPCG(seed, 0xacc0)), now: now, until: now - 1, tested: -1, renew: now}
	c.seq = c.rng.Uint64() >> 1
	if disk.Rules != nil {
		c.standing = *disk.Rules.Copy() // as what is known without a lease
		c.standing.Compact()
		c.digest = c.standing.Digest()
	}
	if slices.Contains(s.Voters, s.Name) && !s.DeferVoter {
		if err := c.startVoter(now, disk); err != nil {
			return nil, err
		}
	}
	c.publish()
	return c, nil
}

// Keep makes a proxy that the settings name a voter one, where its disk could not be had at the start.
func (c *Core) StartVoter(now time.Duration, disk Stored) error {
	c.now = now
	if c.voter != nil || !slices.Contains(c.set.Voters, c.set.Name) {
		return nil
	}
	return c.startVoter(now, disk)
}

// Keeps says whether this proxy holds the log now.
func (c *Core) IsVoter() bool { return c.voter != nil && !c.voter.halted }

// Leads says whether this proxy leads the voters, and has since its log says so.
func (c *Core) IsLeader() bool { return c.IsVoter() && c.voter.ownTermApplied }

// Next is when Wake is to be called at the latest.
func (c *Core) NextTick() time.Duration {
	next := c.renew
	if len(c.sent) > 0 {
		next = min(next, c.sent[0].at+c.set.Times.RequestTimeout)
	}
	for _, p := range c.waiting {
		next = min(next, p.next)
	}
	if c.voter != nil {
		next = min(next, c.voter.nextWake())
	}
	return next
}

// Wake does what is due.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	defer c.guard()
	c.unanswered()
	if now >= c.renew {
		c.askLease()
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(p *proposal) bool { return now >= p.until })
	for _, p := range slices.Clone(c.waiting) { // an answer may come at once, where this proxy leads
		if now >= p.next {
			p.next = now + c.set.Times.Renew
			c.toLeader(&Message{Kind: Propose, From: c.set.Name, Change: &p.change})
		}
	}
	if c.voter != nil {
		c.voter.wake()
	}
}

// guard ends this proxy's part as a voter where the log's library finds what it holds to be impossible, and panics.
//
// It guards serving against a folder that is older than what it has said, and against whoever sends what no voter would. It costs
// a voter, until that is restarted, where the fault was the network's; and it must not hide faults of this package, so what was
// found is told.
func (c *Core) guard() {
	if r := recover(); r != nil {
		if c.voter == nil || c.voter.halted {
			panic(r) // not the log's
		}
		c.voter.halt(fmt.Errorf("accord: the log: %v", r))
	}
}

// unanswered notes renewals whose answer has not come in time.
func (c *Core) unanswered() {
	n := 0
	for n < len(c.sent) && c.now-c.sent[n].at >= c.set.Times.RequestTimeout {
		n++
	}
	if n == 0 {
		return
	}
	// Only the moment at which it was asked counts: between that and now the process may have been paused.
	c.tested = c.sent[n-1].at
	c.missed += n
	c.route = ""
	c.sent = slices.Delete(c.sent, 0, n)
	c.publish()
}

// askLease asks for the next lease.
func (c *Core) askLease() {
	t := &c.set.Times
	c.renew = c.now + t.Renew - time.Duration(c.rng.Float64()*float64(t.Renew)/8)
	c.seq++
	to := c.first()
	if to == "" {
		return
	}
	if c.sent = append(c.sent, asked{c.seq, c.now, to}); len(c.sent) > mostSent {
		c.sent = c.sent[1:]
	}
	m := &Message{Kind: Renew, From: c.set.Name, InstanceID: c.set.InstanceID, Seq: c.seq, Held: c.holds(), Form: c.set.form()}
	if !c.set.NoDeltas {
		m.AcceptsDeltas, m.NeedsWhole, m.Digest = true, c.needsWhole, c.digest
	}
	c.send(to, m)
}

// understands says whether a standing is of a form that this program knows. What it does not know forbids something, so it must not
// act on the rest as if that were all.
func (c *Core) understands(form uint8, at rules.Position) bool {
	if form <= c.set.form() {
		c.later = false
		return true
	}
	if !c.later {
		c.later = true
		c.host.Notify(NewerForm, Note{InForce: at.InForce, Last: at.Last})
	}
	return false
}

// first is to whom something for the leader goes first: where that worked, or the leader that this voter knows, or any
// voter; and after some misses through another proxy, which may reach them.
func (c *Core) first() string {
	if c.route != "" {
		return c.route
	}
	if v := c.voter; v != nil {
		// Who leads asks itself: others would pass its request back to it, and drop it for that.
		if name := v.leader(); name == c.set.Name || name != "" && c.missed%2 == 0 {
			return name
		}
	}
	if c.missed%3 == 2 && len(c.peers) > 0 {
		return c.peers[c.rng.IntN(len(c.peers))]
	}
	return c.set.Voters[c.rng.IntN(len(c.set.Voters))]
}

// toLeader sends something that the leader is to have.
func (c *Core) toLeader(m *Message) {
	if to := c.first(); to != "" {
		c.send(to, m)
	}
}

// send sends to a proxy by name, which may be this one.
func (c *Core) send(to string, m *Message) {
	if to == c.set.Name {
		c.handle(m)
		return
	}
	c.host.Send(to, m)
}

func (c *Core) holds() HeldVersions { return holdsOf(&c.standing) }

func holdsOf(s *rules.Status) HeldVersions {
	return HeldVersions{Log: s.Log, InForce: s.InForce.Number, Last: s.Last()}
}

// SetPeers says who else is there, by name.
func (c *Core) SetPeers(names []string) {
	c.peers = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == c.set.Name })
}

// Propose has a change proposed. Its answer comes by Answered, or none within proposalTime.
func (c *Core) Propose(now time.Duration, change rules.Change) error {
	c.now = now
	defer c.guard()
	if err := change.Validate(); err != nil {
		return err
	}
	if len(c.waiting) >= mostProposals {
		return fmt.Errorf("accord: %d proposals wait for their answers", len(c.waiting))
	}
	if needs := change.RequiredForm(); needs > 1 {
		change.Form = needs
	}
	p := &proposal{change: change, next: now + c.set.Times.Renew, until: now + proposalTime}
	c.waiting = append(c.waiting, p)
	c.toLeader(&Message{Kind: Propose, From: c.set.Name, Change: &p.change})
	if c.voter != nil {
		c.voter.processReady()
	}
	return nil
}

// Refound has this voter go on alone with what it holds, in place of a majority that is lost for good. What the others had
// agreed on without it is lost, and what it had heard of and they had not agreed on stands. Keepers of before that come back begin
// anew once they hear of it; until then they could grant leases on the old rules.
func (c *Core) Refound(now time.Duration) error {
	c.now = now
	if c.voter == nil || c.voter.halted || c.voter.empty {
		return errors.New("accord: this proxy is no keeper, or holds nothing that could be gone on from")
	}
	err := c.voter.refound()
	if err == nil {
		c.voter.processReady()
	}
	return err
}

// Receive takes in messages, which must be Sound, in their order. What a voter has to write to its disk for all of them it writes at
// once, so whoever has several at hand hands them over together. None of them may have come after now.
func (c *Core) Receive(now time.Duration, messages ...*Message) {
	c.now = now
	defer c.guard()
	for _, m := range messages {
		c.handle(m)
	}
	if c.voter != nil {
		c.voter.processReady()
	}
}

func (c *Core) handle(m *Message) {
	switch m.Kind {
	case Renew, Propose, Acknowledge:
		if c.voter != nil && c.voter.handleRequest(m) {
			return
		}
		c.passOn(m)
	case Grant, Update, Result:
		if m.To != c.set.Name {
			c.passBack(m)
			return
		}
		switch m.Kind {
		case Grant:
			c.granted(m)
		case Update:
			c.told(m)
		case Result:
			c.result(m.Answer)
		}
	case Raft, Hello:
		if c.voter != nil {
			c.voter.receive(m)
		}
	}
}

// passOn passes a request on towards the leader.
func (c *Core) passOn(m *Message) {
	if len(m.Path) >= mostHops || m.From == c.set.Name && len(m.Path) > 0 || slices.Contains(m.Path, c.set.Name) {
		return
	}
	to := c.route
	if c.voter != nil {
		to = c.voter.leader()
	} else if to == "" {
		to = c.set.Voters[c.rng.IntN(len(c.set.Voters))]
	}
	if to == "" || to == c.set.Name || to == m.From || slices.Contains(m.Path, to) {
		return
	}
	next := *m
	if m.From != c.set.Name {
		next.Path = append(slices.Clone(m.Path), c.set.Name)
	}
	c.host.Send(to, &next)
}

// answer sends an answer back along the way of its request.
func (c *Core) answer(request *Message, m *Message) {
	m.From, m.To, m.Path = c.set.Name, request.From, slices.Clone(request.Path)
	c.passBack(m)
}

func (c *Core) passBack(m *Message) {
	next := *m
	to := m.To
	// Whoever comes last on the path is next; this one may be that.
	path := slices.Clone(m.Path)
	if n := len(path); n > 0 && path[n-1] == c.set.Name {
		path = path[:n-1]
	}
	if n := len(path); n > 0 {
		to = path[n-1]
	}
	next.Path = path
	c.send(to, &next)
}

// granted takes a lease. It counts from when it was asked for, on this proxy's own clock, so that no way of the answer can make
// it longer.
func (c *Core) granted(m *Message) {
	i := slices.IndexFunc(c.sent, func(a asked) bool { return a.seq == m.Seq })
	if i < 0 {
		c.told(m) // too late for a lease, or never asked; what it brings is as good as if it came by itself
		return
	}
	a := c.sent[i]
	if m.Digest != 0 && m.Held == c.holds() && m.Digest != c.digest && !c.set.NoDigestCheck {
		c.differs()
	}
	switch {
	case m.Status != nil:
		if m.Status.Term < c.standing.Term {
			return // from voters that do not know yet that they were given up for good
		}
		if !c.understands(m.Status.Form, m.Status.Position()) {
			return
		}
		if m.Status.Log != c.standing.Log {
			c.take(m.Status) // a majority vouches for it, and what is here is of another log
		}
		c.adopt(m.Status)
	case m.Delta != nil:
		c.applyDelta(m.Delta)
	}
	if h := c.holds(); h.Log != m.Held.Log || h.Last < m.Held.Last || h.InForce < m.Held.InForce && h.Last == m.Held.Last {
		return // it vouches for what this proxy does not have
	}
	if !c.vouchedFor(m) {
		return
	}
	c.sent = slices.Delete(c.sent, 0, i+1)
	c.route, c.missed = a.to, 0
	if until := a.at + c.set.Times.Lease; until > c.until {
		c.until = until
		c.publish()
	}
}

// vouchedFor says whether a grant vouches for the content of what this proxy has, and not by its number alone: a disk may hold
// another document under that.
func (c *Core) vouchedFor(m *Message) bool {
	switch {
	case m.Digest == 0 || c.set.NoDigestCheck || c.set.NoDeltas:
		return true // the leader knows of no digests
	case m.Held != c.holds():
		return c.verified // more has come since, by others' word
	case m.Status != nil && m.Status.Position() == c.standing.Position():
		return true // what is here is what the grant has brought
	}
	return m.Digest == c.digest
}

// told takes in what a leader has brought, without a lease.
func (c *Core) told(m *Message) {
	switch {
	case m.Status != nil:
		c.adopt(m.Status)
	case m.Delta != nil:
		c.applyDelta(m.Delta)
	}
}

// adopt acts on a standing that is newer, or that mends what is here, and says so.
func (c *Core) adopt(s *rules.Status) {
	mends := c.needsWhole && s.Position() == c.standing.Position()
	if !mends && !s.NewerThan(&c.standing) || !c.understands(s.Form, s.Position()) {
		return
	}
	c.take(s)
}

// applyDelta acts on what a delta leads to, if that is newer. Where its base is not here nothing is taken: the next renewal says what
// is here. Where what results is not what the leader has, the next renewal asks for the whole.
func (c *Core) applyDelta(d *rules.Delta) {
	if c.set.NoDeltas || d.Log != c.standing.Log || !d.NewerThan(&c.standing) || !c.understands(d.Form, d.Position()) {
		return
	}
	next, err := rules.Apply(&c.standing, d)
	if errors.Is(err, rules.ErrDigestMismatch) && c.set.NoDigestCheck {
		err = nil
	}
	switch {
	case err == nil:
		c.take(next)
	case !errors.Is(err, rules.ErrUnknownBase):
		c.differs()
	}
}

// differs notes that what is here is not what the leader has by the same numbers.
func (c *Core) differs() {
	if !c.needsWhole {
		c.needsWhole = true
		c.host.Notify(DigestMismatch, Note{InForce: c.standing.InForce.Number, Last: c.standing.Last()})
	}
}

func (c *Core) take(s *rules.Status) {
	c.standing, c.digest = *s, s.Digest()
	c.verified, c.needsWhole = true, false
	c.basis.Doc = nil // also where the numbers are the same, the content may be another
	c.publish()
	c.host.SaveRules(s)
	c.host.Notify(RulesChanged, Note{InForce: s.InForce.Number, Last: s.Last()})
	c.toLeader(&Message{Kind: Acknowledge, From: c.set.Name, InstanceID: c.set.InstanceID, Held: c.holds(), AcceptsDeltas: !c.set.NoDeltas})
}

// result takes in what became of a proposal.
func (c *Core) result(a *rules.Answer) {
	i := slices.IndexFunc(c.waiting, func(p *proposal) bool { return p.change.ID == a.ID })
	if i < 0 {
		return
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	c.host.ProposalDone(*a)
}

// publish hands on what acts rest on.
func (c *Core) publish() {
	b := Basis{
		Log: c.standing.Log, Version: c.standing.InForce.Number, Last: c.standing.Last(), Until: c.until, LastUnanswered: c.tested,
		AliveWindow: c.set.Times.AliveWindow(), RefuseWithoutLease: c.set.RefuseWithoutLease, NoLeaseCheck: c.set.NoLeaseCheck && c.standing.Last() > 0,
	}
	if c.basis.Doc != nil && b.Log == c.basis.Log && b.Version == c.basis.Version && b.Last == c.basis.Last {
		b.Doc, b.Unleased, b.Settled = c.basis.Doc, c.basis.Unleased, c.basis.Settled
	} else {
		b.Doc = c.standing.Meet()
		b.Unleased = rules.Unleased(b.Doc)
		if len(c.standing.Pending) == 0 {
			b.Settled = b.Doc
		}
	}
	c.basis = b
	c.host.SetBasis(&b)
}

// Report is how a proxy stands in the agreement, for people.
type Report struct {
	Status   rules.Status
	Basis    Basis
	Leader   string // as this proxy knows; "" for none
	IsLeader bool
	Voters   map[string]bool // those that the log names, and whether each votes; nil at a proxy that holds no log
	Halted   bool
	Holders  []Holder        // at the leader, by name
	History  []rules.Version // at a voter
}

// Holder is a proxy as the leader sees it.
type Holder struct {
	Name      string
	Held      HeldVersions
	LeaseLeft time.Duration // of its lease, as the leader counts it
}

// Report says how this proxy stands.
func (c *Core) Report(now time.Duration) Report {
	r := Report{Status: c.standing, Basis: c.basis, Leader: c.route}
	if c.voter != nil {
		c.voter.report(now, &r)
	}
	return r
}
