package accord

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brasswell/internal/cluster/rules"
)

// Host carries out the actions of a Core. The Core calls its methods from within its own, so they must not call the
// Core.
type Host interface {
	// Send sends a message to the named proxy; it may be lost. The host owns the message from then on.
	Send(to string, m *Message)
	// Save writes a record to durable storage. Nothing that depends on it has been sent before; after an error nothing
	// will be.
	Save(r *Record) error
	// SaveRules writes the rules that this proxy knows to durable storage: it is about to acknowledge them, and a start
	// that reaches no voter must know them too. The host reports a failure; the proxy continues.
	SaveRules(s *rules.Status)
	// SetBasis replaces the basis of this proxy's decisions.
	SetBasis(b *Basis)
	// ProposalDone reports the result of one of this proxy's own proposals.
	ProposalDone(a rules.Answer)
	// Notify reports an event, for the operators.
	Notify(what Event, of Note)
}

// Event is an event for the operators. Its value is the text that is logged.
type Event string

// The events.
const (
	RulesChanged   Event = "rules" // other rules are applied
	Elected        Event = "leads" // this voter has become the leader
	Deposed        Event = "leads no more"
	Founded        Event = "founded the keepers' log"
	Joined         Event = "joins the keepers' log"
	LogOutdated    Event = "its log is older than the messages that it has sent; it starts with an empty log"
	DiskFailed     Event = "no longer votes: its log cannot be stored or applied"
	VotersChanged  Event = "keepers changed"
	Refounded      Event = "refounded the log alone, in place of the other keepers"
	NewerForm      Event = "the agreed rules need a newer version of the program; this one is restricted and gets no lease until it is upgraded"
	DigestMismatch Event = "the rules here differ from the voters' rules under the same number; all of them are requested"
	Superseded     Event = "another keeper refounded the log while this one was unreachable; it starts with an empty log"
)

// Note contains the details of an event.
type Note struct {
	InForce, Last uint64
	Name          string
	Err           error
}

const (
	// maxProposals bounds this proxy's own proposals that wait for a result.
	maxProposals = 64
	// proposalTimeout is the time after which a proposal is no longer retried.
	proposalTimeout = 30 * time.Second
	// maxRenewals bounds the unanswered renewals that are remembered.
	maxRenewals = 32
)

// sentRenewal is a renewal that has not been answered.
type sentRenewal struct {
	seq uint64
	at  time.Duration
	to  string
}

// proposal is one of this proxy's own proposals.
type proposal struct {
	change rules.Change
	next   time.Duration
	until  time.Duration
}

// Core is one proxy's participant in the consensus: a holder of leases, and a voter if the settings name it one.
type Core struct {
	settings Settings
	host     Host
	rng      *rand.Rand
	now      time.Duration

	// State as a holder of a lease:
	status   rules.Status // version 0 if no rules are known
	digest   rules.Digest // digest of the status
	verified bool         // the status has come from voters since the start, either whole or confirmed by its digest
	// needsWhole: the rules known here were found to differ from those that others know under the same numbers.
	needsWhole     bool
	leaseUntil     time.Duration
	lastUnanswered time.Duration
	nextRenewal    time.Duration // when the next renewal is due
	renewals       []sentRenewal // unanswered, oldest first
	newerFormSeen  bool          // a status had a form that this program does not understand, and the event was reported
	seq            uint64
	nextHop        string // the proxy through which the last renewal was answered; "" for none
	missedRenewals int    // number of unanswered renewals in a row
	peers          []string
	proposals      []*proposal
	basis          Basis

	voter *voter // nil if this proxy is not a voter
}

// New returns the core of a proxy that starts now. disk is the content of its disk.
func New(now time.Duration, s Settings, seed uint64, disk Stored, host Host) (*Core, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	c := &Core{settings: s, host: host, rng: rand.New(rand.NewPCG(seed, 0xacc0)), now: now, leaseUntil: now - 1, lastUnanswered: -1, nextRenewal: now}
	c.seq = c.rng.Uint64() >> 1
	if disk.Rules != nil {
		c.status = *disk.Rules.Copy() // known rules, without a lease
		c.status.Compact()
		c.digest = c.status.Digest()
	}
	if slices.Contains(s.Voters, s.Name) && !s.DeferVoter {
		if err := c.startVoter(now, disk); err != nil {
			return nil, err
		}
	}
	c.publish()
	return c, nil
}

// StartVoter starts the voter of a proxy that the settings name a voter, if its disk was not available at the start.
func (c *Core) StartVoter(now time.Duration, disk Stored) error {
	c.now = now
	if c.voter != nil || !slices.Contains(c.settings.Voters, c.settings.Name) {
		return nil
	}
	return c.startVoter(now, disk)
}

// IsVoter reports whether this proxy holds the log now.
func (c *Core) IsVoter() bool { return c.voter != nil && !c.voter.halted }

// IsLeader reports whether this proxy leads the voters and has applied an entry of its own term.
func (c *Core) IsLeader() bool { return c.IsVoter() && c.voter.ownTermApplied }

// NextTick returns the time at which Tick must be called at the latest.
func (c *Core) NextTick() time.Duration {
	next := c.nextRenewal
	if len(c.renewals) > 0 {
		next = min(next, c.renewals[0].at+c.settings.Times.RequestTimeout)
	}
	for _, p := range c.proposals {
		next = min(next, p.next)
	}
	if c.voter != nil {
		next = min(next, c.voter.nextTick())
	}
	return next
}

// Tick does the work that is due.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	defer c.recoverVoter()
	c.expireRenewals()
	if now >= c.nextRenewal {
		c.requestLease()
	}
	c.proposals = slices.DeleteFunc(c.proposals, func(p *proposal) bool { return now >= p.until })
	for _, p := range slices.Clone(c.proposals) { // the result may arrive synchronously if this proxy leads
		if now >= p.next {
			p.next = now + c.settings.Times.Renew
			c.sendToLeader(&Message{Kind: Propose, From: c.settings.Name, Change: &p.change})
		}
	}
	if c.voter != nil {
		c.voter.tick()
	}
}

// recoverVoter stops this proxy's voter if the Raft library panics because it finds a state that it considers
// impossible.
//
// This keeps the proxy serving if its folder is older than the messages that it has sent, and if a peer sends messages
// that no correct voter sends. If the fault was in the network, it costs one voter until that is restarted. The panic's
// text is reported as an event, so that this does not hide faults of this package.
func (c *Core) recoverVoter() {
	if r := recover(); r != nil {
		if c.voter == nil || c.voter.halted {
			panic(r) // not a panic of the Raft log
		}
		c.voter.halt(fmt.Errorf("accord: the log: %v", r))
	}
}

// expireRenewals removes renewals that were not answered in time and counts them as missed.
func (c *Core) expireRenewals() {
	n := 0
	for n < len(c.renewals) && c.now-c.renewals[n].at >= c.settings.Times.RequestTimeout {
		n++
	}
	if n == 0 {
		return
	}
	// Only the time at which it was sent counts: the process may have been paused between then and now.
	c.lastUnanswered = c.renewals[n-1].at
	c.missedRenewals += n
	c.nextHop = ""
	c.renewals = slices.Delete(c.renewals, 0, n)
	c.publish()
}

// requestLease requests the next lease.
func (c *Core) requestLease() {
	t := &c.settings.Times
	c.nextRenewal = c.now + t.Renew - time.Duration(c.rng.Float64()*float64(t.Renew)/8)
	c.seq++
	to := c.firstHop()
	if to == "" {
		return
	}
	if c.renewals = append(c.renewals, sentRenewal{c.seq, c.now, to}); len(c.renewals) > maxRenewals {
		c.renewals = c.renewals[1:]
	}
	m := &Message{Kind: Renew, From: c.settings.Name, InstanceID: c.settings.InstanceID, Seq: c.seq, Held: c.held(), Form: c.settings.form()}
	if !c.settings.NoDeltas {
		m.AcceptsDeltas, m.NeedsWhole, m.Digest = true, c.needsWhole, c.digest
	}
	c.send(to, m)
}

// understands reports whether this program understands a form of rules. The parts of a newer form forbid something, so
// the program must not apply the other parts as if they were all.
func (c *Core) understands(form uint8, at rules.Position) bool {
	if form <= c.settings.form() {
		c.newerFormSeen = false
		return true
	}
	if !c.newerFormSeen {
		c.newerFormSeen = true
		c.host.Notify(NewerForm, Note{InForce: at.InForce, Last: at.Last})
	}
	return false
}

// firstHop returns the proxy to which a message for the leader is sent first: the one that worked last, the leader that
// this voter knows, or any voter. After some missed renewals it is another proxy, which may reach the voters.
func (c *Core) firstHop() string {
	if c.nextHop != "" {
		return c.nextHop
	}
	if v := c.voter; v != nil {
		// A leader sends its requests to itself: others would forward them back to it, and drop them because of the
		// loop.
		if name := v.leaderName(); name == c.settings.Name || name != "" && c.missedRenewals%2 == 0 {
			return name
		}
	}
	if c.missedRenewals%3 == 2 && len(c.peers) > 0 {
		return c.peers[c.rng.IntN(len(c.peers))]
	}
	return c.settings.Voters[c.rng.IntN(len(c.settings.Voters))]
}

// sendToLeader sends a message towards the leader.
func (c *Core) sendToLeader(m *Message) {
	if to := c.firstHop(); to != "" {
		c.send(to, m)
	}
}

// send sends a message to the named proxy, which may be this one.
func (c *Core) send(to string, m *Message) {
	if to == c.settings.Name {
		c.handle(m)
		return
	}
	c.host.Send(to, m)
}

func (c *Core) held() HeldVersions { return versionsOf(&c.status) }

func versionsOf(s *rules.Status) HeldVersions {
	return HeldVersions{Log: s.Log, InForce: s.InForce.Number, Last: s.Last()}
}

// SetPeers sets the names of the other proxies of the fleet.
func (c *Core) SetPeers(names []string) {
	c.peers = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == c.settings.Name })
}

// Propose proposes a change. The result is reported through ProposalDone, or never if there is none within
// proposalTimeout.
func (c *Core) Propose(now time.Duration, change rules.Change) error {
	c.now = now
	defer c.recoverVoter()
	if err := change.Validate(); err != nil {
		return err
	}
	if len(c.proposals) >= maxProposals {
		return fmt.Errorf("accord: %d proposals are already waiting for their results", len(c.proposals))
	}
	if needs := change.RequiredForm(); needs > 1 {
		change.Form = needs
	}
	p := &proposal{change: change, next: now + c.settings.Times.Renew, until: now + proposalTimeout}
	c.proposals = append(c.proposals, p)
	c.sendToLeader(&Message{Kind: Propose, From: c.settings.Name, Change: &p.change})
	if c.voter != nil {
		c.voter.processReady()
	}
	return nil
}

// Refound makes this voter the only one, with the log that it has, after a majority was lost permanently. Changes that
// the others committed without it are lost, and entries of its log that were not committed become part of the rules.
// Former voters that return start with an empty log once they hear from it; until then they could grant leases on the
// old rules.
func (c *Core) Refound(now time.Duration) error {
	c.now = now
	if c.voter == nil || c.voter.halted || c.voter.empty {
		return errors.New("accord: this proxy is not a keeper, or its log is empty")
	}
	err := c.voter.refound()
	if err == nil {
		c.voter.processReady()
	}
	return err
}

// Receive handles messages in order. The messages must be valid and must not have arrived after now. A voter writes to
// its disk once for all of them, so a caller that has several messages should pass them together.
func (c *Core) Receive(now time.Duration, messages ...*Message) {
	c.now = now
	defer c.recoverVoter()
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
		c.forward(m)
	case Grant, Update, Result:
		if m.To != c.settings.Name {
			c.forwardBack(m)
			return
		}
		switch m.Kind {
		case Grant:
			c.handleGrant(m)
		case Update:
			c.handleUpdate(m)
		case Result:
			c.handleResult(m.Answer)
		}
	case Raft, Hello:
		if c.voter != nil {
			c.voter.receive(m)
		}
	}
}

// forward forwards a request towards the leader.
func (c *Core) forward(m *Message) {
	if len(m.Path) >= maxHops || m.From == c.settings.Name && len(m.Path) > 0 || slices.Contains(m.Path, c.settings.Name) {
		return
	}
	to := c.nextHop
	if c.voter != nil {
		to = c.voter.leaderName()
	} else if to == "" {
		to = c.settings.Voters[c.rng.IntN(len(c.settings.Voters))]
	}
	if to == "" || to == c.settings.Name || to == m.From || slices.Contains(m.Path, to) {
		return
	}
	next := *m
	if m.From != c.settings.Name {
		next.Path = append(slices.Clone(m.Path), c.settings.Name)
	}
	c.host.Send(to, &next)
}

// reply sends a reply back along the path of its request.
func (c *Core) reply(request *Message, m *Message) {
	m.From, m.To, m.Path = c.settings.Name, request.From, slices.Clone(request.Path)
	c.forwardBack(m)
}

func (c *Core) forwardBack(m *Message) {
	next := *m
	to := m.To
	// The next hop is the last proxy of the path, after this proxy itself is removed.
	path := slices.Clone(m.Path)
	if n := len(path); n > 0 && path[n-1] == c.settings.Name {
		path = path[:n-1]
	}
	if n := len(path); n > 0 {
		to = path[n-1]
	}
	next.Path = path
	c.send(to, &next)
}

// handleGrant accepts a lease. Its duration counts from the time of the request on this proxy's own clock, so that a
// delayed reply cannot extend it.
func (c *Core) handleGrant(m *Message) {
	i := slices.IndexFunc(c.renewals, func(a sentRenewal) bool { return a.seq == m.Seq })
	if i < 0 {
		c.handleUpdate(m) // too late for a lease, or never requested; its rules are as valid as those of an Update
		return
	}
	a := c.renewals[i]
	if m.Digest != 0 && m.Held == c.held() && m.Digest != c.digest && !c.settings.NoDigestCheck {
		c.noteMismatch()
	}
	switch {
	case m.Status != nil:
		if m.Status.Term < c.status.Term {
			return // from former voters that do not know yet that another voter has refounded the log
		}
		if !c.understands(m.Status.Form, m.Status.Position()) {
			return
		}
		if m.Status.Log != c.status.Log {
			c.setStatus(m.Status) // a majority has confirmed it, and the rules here are of another log
		}
		c.adopt(m.Status)
	case m.Delta != nil:
		c.applyDelta(m.Delta)
	}
	if h := c.held(); h.Log != m.Held.Log || h.Last < m.Held.Last || h.InForce < m.Held.InForce && h.Last == m.Held.Last {
		return // the grant covers versions that this proxy does not have
	}
	if !c.confirmsContent(m) {
		return
	}
	c.renewals = slices.Delete(c.renewals, 0, i+1)
	c.nextHop, c.missedRenewals = a.to, 0
	if until := a.at + c.settings.Times.Lease; until > c.leaseUntil {
		c.leaseUntil = until
		c.publish()
	}
}

// confirmsContent reports whether a grant covers the content of the rules that this proxy has. Their numbers alone are
// not enough, because a corrupted disk may hold another document under the same number.
func (c *Core) confirmsContent(m *Message) bool {
	switch {
	case m.Digest == 0 || c.settings.NoDigestCheck || c.settings.NoDeltas:
		return true // the leader does not support digests
	case m.Held != c.held():
		return c.verified // newer rules have arrived since from elsewhere
	case m.Status != nil && m.Status.Position() == c.status.Position():
		return true // the rules here are those of the grant
	}
	return m.Digest == c.digest
}

// handleUpdate applies the rules in a leader's message that carries no lease.
func (c *Core) handleUpdate(m *Message) {
	switch {
	case m.Status != nil:
		c.adopt(m.Status)
	case m.Delta != nil:
		c.applyDelta(m.Delta)
	}
}

// adopt applies and acknowledges a status that is newer, or that replaces a wrong one with the same numbers.
func (c *Core) adopt(s *rules.Status) {
	mends := c.needsWhole && s.Position() == c.status.Position()
	if !mends && !s.NewerThan(&c.status) || !c.understands(s.Form, s.Position()) {
		return
	}
	c.setStatus(s)
}

// applyDelta applies a delta if it leads to a newer status. If its base is not present, nothing changes, and the next
// renewal names the versions that are present. If the result differs from the leader's rules, the next renewal requests
// the whole status.
func (c *Core) applyDelta(d *rules.Delta) {
	if c.settings.NoDeltas || d.Log != c.status.Log || !d.NewerThan(&c.status) || !c.understands(d.Form, d.Position()) {
		return
	}
	next, err := rules.Apply(&c.status, d)
	if errors.Is(err, rules.ErrDigestMismatch) && c.settings.NoDigestCheck {
		err = nil
	}
	switch {
	case err == nil:
		c.setStatus(next)
	case !errors.Is(err, rules.ErrUnknownBase):
		c.noteMismatch()
	}
}

// noteMismatch records that the rules here differ from the leader's under the same numbers.
func (c *Core) noteMismatch() {
	if !c.needsWhole {
		c.needsWhole = true
		c.host.Notify(DigestMismatch, Note{InForce: c.status.InForce.Number, Last: c.status.Last()})
	}
}

func (c *Core) setStatus(s *rules.Status) {
	c.status, c.digest = *s, s.Digest()
	c.verified, c.needsWhole = true, false
	c.basis.Doc = nil // the content may differ even if the numbers are the same
	c.publish()
	c.host.SaveRules(s)
	c.host.Notify(RulesChanged, Note{InForce: s.InForce.Number, Last: s.Last()})
	c.sendToLeader(&Message{Kind: Acknowledge, From: c.settings.Name, InstanceID: c.settings.InstanceID, Held: c.held(), AcceptsDeltas: !c.settings.NoDeltas})
}

// handleResult handles the result of a proposal.
func (c *Core) handleResult(a *rules.Answer) {
	i := slices.IndexFunc(c.proposals, func(p *proposal) bool { return p.change.ID == a.ID })
	if i < 0 {
		return
	}
	c.proposals = slices.Delete(c.proposals, i, i+1)
	c.host.ProposalDone(*a)
}

// publish passes a new Basis to the host.
func (c *Core) publish() {
	b := Basis{
		Log: c.status.Log, Version: c.status.InForce.Number, Last: c.status.Last(), Until: c.leaseUntil, LastUnanswered: c.lastUnanswered,
		AliveWindow: c.settings.Times.AliveWindow(), RefuseWithoutLease: c.settings.RefuseWithoutLease, NoLeaseCheck: c.settings.NoLeaseCheck && c.status.Last() > 0,
	}
	if c.basis.Doc != nil && b.Log == c.basis.Log && b.Version == c.basis.Version && b.Last == c.basis.Last {
		b.Doc, b.Unleased, b.Settled = c.basis.Doc, c.basis.Unleased, c.basis.Settled
	} else {
		b.Doc = c.status.Meet()
		b.Unleased = rules.Unleased(b.Doc)
		if len(c.status.Pending) == 0 {
			b.Settled = b.Doc
		}
	}
	c.basis = b
	c.host.SetBasis(&b)
}

// Report describes the state of a proxy's consensus for operators.
type Report struct {
	Status   rules.Status
	Basis    Basis
	Leader   string // as far as this proxy knows; "" for none
	IsLeader bool
	Voters   map[string]bool // the voters that the log names, and whether each votes; nil at a proxy without a log
	Halted   bool
	Holders  []Holder        // at the leader, sorted by name
	History  []rules.Version // at a voter only
}

// Holder is a proxy as the leader sees it.
type Holder struct {
	Name      string
	Held      HeldVersions
	LeaseLeft time.Duration // time until its lease expires on the leader's clock
}

// Report returns a report on this proxy.
func (c *Core) Report(now time.Duration) Report {
	r := Report{Status: c.status, Basis: c.basis, Leader: c.nextHop}
	if c.voter != nil {
		c.voter.report(now, &r)
	}
	return r
}
