// Package view decides, for one proxy, who else of its fleet is there. It has no I/O and no clock: events with their time
// go in, actions come out, and equal settings, seed and events give equal actions. It is not safe for concurrent use.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with what has been found to mend it: suspicions that the suspect
// refutes, doubt in oneself first and shorter suspicions where several accuse (Lifeguard, Dadgar, Phillips, Currey 2018),
// a digest of the view on each message, by which differences are found and settled at no cost while there are none, and
// questions to the dead, by which halves of a cut fleet find each other again. docs/design/view.md weighs them.
package view

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// helpers are asked to probe who does not answer.
	helpers = 3
	// ackShare of the period is waited for an answer before others are asked to try.
	ackShare = 0.34
	// suspicionPeriods, times the logarithm of the fleet's size, is the shortest suspicion, and suspicionRange times that
	// the longest: it holds where nobody else confirms it.
	suspicionPeriods, suspicionRange = 4.0, 3.0
	// confirmers beside the first accuser make a suspicion its shortest.
	confirmers = 2
	// mostHealth bounds the doubt in oneself: probes may take 1 + mostHealth times as long.
	mostHealth = 4
	// mostWidth probes begin in one period after failures.
	mostWidth = 8
	// mostAlarms bounds what is remembered of suspicions that were refuted. Each halves how widely is asked after a
	// failure, down to mostWidth >> mostAlarms = 1; one is forgotten each alarmPeriods.
	mostAlarms, alarmPeriods = 3, 16
	// fresh messages are sent in a period while there is news, beside those that are sent anyway.
	freshNews = 2
	// fleetAsks is about how many members, of all, ask a dead one, a seed or a suspect in one period.
	fleetAsks = 4.0
	// newsRoom is the bytes of news in a message; a datagram holds 1,200 with its other fields at their longest.
	newsRoom = 700
	// joinPeriods after a start this process claims its name from whoever has it; later it asks first.
	joinPeriods = 10
	// quietPeriods without a change let a difference of digests be one that news do not settle.
	quietPeriods = 4
	// exchangePeriods are between two full exchanges that this process begins.
	exchangePeriods = 6
	// awayPeriods late, what was believed may be over.
	awayPeriods = 4
	// remembered is how many periods the dead are kept in mind, and asked whether they live; the left ones a tenth of it.
	// It is a day at 300 ms. Whoever is cut off for longer comes back by the seeds.
	remembered = 288_000
	// mostAsked questions that nobody waits for are open at one time.
	mostAsked = 256
	// duplicatePeriods is how long another process under this name is told of after it was last heard.
	duplicatePeriods = 200
	// mostBackoff is up to how many periods double between two claims of a name that somebody else claims too.
	mostBackoff = 4096
)

type member struct {
	Record
	since time.Duration
	place int // in View.present; -1 if it is not there

	// While it is suspect:
	begun    time.Duration
	due      time.Duration
	accusers []string
	sure     bool // somebody holds it dead
	own      bool // this process has found it so

	hope bool // held dead here, and somebody holds it alive
}

// probe is one question on whose answer something depends.
type probe struct {
	seq     uint64
	name    string
	boot    uint64
	since   uint64        // the incarnation that was asked
	ask     time.Duration // when others are asked; 0 once they are
	end     time.Duration
	silence time.Duration // when anybody was last heard as it began
	claim   string        // who said that it is dead, if that is what is looked into
}

// relay is a question that was asked for somebody else.
type relay struct {
	seq uint64 // the asker's
	to  string
}

// asked is a question whose missing answer tells nothing.
type asked struct {
	relay *relay
	until time.Duration
	claim uint64 // the boot of who claims our name, if it asks whether that one lives
	over  uint64 // the incarnation that it claims with
}

// View is one process's view of its fleet.
type View struct {
	set  Settings
	host Host
	rng  *rand.Rand

	self    Record
	members map[string]*member
	present []*member // alive and suspect ones, in no order
	suspect map[string]*member
	gone    []*member // dead and left ones, the oldest first; some of them may be present again
	order   []*member // the rest of this round's probes, the next one last
	begun   bool      // the first round has
	digest  uint64

	news news

	started time.Duration
	period  time.Duration // when the next begins
	probes  []probe
	width   int
	failed  bool          // a probe failed since the period began
	alarms  int           // suspicions of this process's own that were refuted lately
	forgave time.Duration // when one of them was last forgotten, or the first one came
	seq     uint64
	asked   map[uint64]asked
	health  int
	heard   time.Duration // when anybody was last heard
	changed time.Duration // when the view last changed
	differs time.Duration // since when digests differ; 0 if they agree
	agreed  int           // how many in a row have shown the same digest
	synced  time.Duration // when the last exchange was begun here
	met     bool          // an exchange has brought something
	patient time.Duration // until when nobody is accused

	displaced bool
	duplicate *Record
	dupSeen   time.Duration
	claimed   time.Duration // when the name was last claimed from another
	backoff   int           // periods until it may be again
	forgotten int
	leaving   bool
}

// New returns the view of a process that starts now and knows nobody.
func New(now time.Duration, s Settings, seed uint64, host Host) (*View, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	v := &View{
		set: s, host: host, rng: rand.New(rand.NewPCG(seed, s.Boot)),
		self:    Record{Name: s.Name, Boot: s.Boot, Incarnation: 1, State: Alive, Address: s.Address},
		members: map[string]*member{}, suspect: map[string]*member{}, asked: map[uint64]asked{},
		started: now, width: 1, heard: now, changed: now, backoff: 1, synced: now - exchangePeriods*s.Period,
	}
	v.seq = v.rng.Uint64() >> 1
	// Processes that are started together do not all probe at one time.
	v.period = now + time.Duration(v.rng.Float64()*float64(s.Period)/2)
	v.digest = hash(&v.self)
	v.news.tell(v.self.Name)
	for _, seed := range s.Seeds {
		v.askWho(now, seed)
	}
	return v, nil
}

// hash is a record's part of the digest: who is there, and since which start and refutation.
func hash(r *Record) uint64 {
	h := fnv.New64a()
	h.Write([]byte(r.Name))
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(r.Boot>>(8*i)), byte(r.Incarnation>>(8*i))
	}
	h.Write(b[:])
	// The parts are put together by exclusive or, under which the last steps of FNV alone would be too alike.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Next is when Wake is to be called at the latest.
func (v *View) Next() time.Duration {
	next := v.period
	for i := range v.probes {
		p := &v.probes[i]
		next = min(next, p.end)
		if p.ask > 0 {
			next = min(next, p.ask)
		}
	}
	for _, m := range v.suspect {
		next = min(next, m.due)
	}
	return next
}

// Wake does what is due.
func (v *View) Wake(now time.Duration) {
	v.notice(now)
	if v.leaving {
		return
	}
	for i := 0; i < len(v.probes); {
		p := &v.probes[i]
		if p.ask > 0 && now >= p.ask {
			p.ask = 0
			v.askOthers(now, p)
		}
		if now < p.end {
			i++
			continue
		}
		ended := *p
		v.probes = slices.Delete(v.probes, i, i+1)
		v.unanswered(now, &ended)
	}
	for _, name := range v.overdue(now) {
		if m := v.suspect[name]; m != nil {
			v.bury(now, m)
		}
	}
	if now >= v.period {
		v.beginPeriod(now)
	}
}

// overdue are the suspects whose time is over, in an order that does not depend on a map's.
func (v *View) overdue(now time.Duration) []string {
	var names []string
	for name, m := range v.suspect {
		if now >= m.due {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// notice finds out that this process itself was kept from its work: paused, or short of processor time. What others did
// not answer in that time says nothing of them.
//
// It guards against a process that wakes and believes everybody else dead. It might harm where a machine is late all the
// time: its suspicions then take longer, up to mostHealth times, and others, who are well, find the dead for it.
func (v *View) notice(now time.Duration) {
	late := now - v.Next()
	if late <= v.set.Period/2 || v.set.NoHealth {
		return
	}
	v.ill(1 + int(late/v.set.Period))
	for i := range v.probes {
		v.probes[i].end = max(v.probes[i].end, now+v.set.Period)
	}
	if late < awayPeriods*v.set.Period {
		return
	}
	v.probes = v.probes[:0]
	for _, m := range v.suspect {
		m.begun, m.sure = now, false
		v.setDue(now, m)
	}
	v.heard = now
	v.patient = now + 2*v.set.Period
	v.period = now
	v.host.Changed(Change{Record: v.self, Was: Alive, Why: Away})
}

func (v *View) ill(by int) {
	if !v.set.NoHealth {
		v.health = min(v.health+by, mostHealth)
	}
}

// stretched is a time that gets longer the less this process trusts itself.
func (v *View) stretched(d time.Duration) time.Duration { return d * time.Duration(1+v.health) }

// beginPeriod asks the next members of the round, and some others whose answer would be news.
func (v *View) beginPeriod(now time.Duration) {
	p := v.set.Period
	v.period += p
	if v.period <= now { // the clock has run ahead
		v.period = now + p
	}
	switch {
	case v.set.NoWidening:
	case v.failed:
		v.width = min(2*v.width, mostWidth>>v.alarms)
	case v.width > 1:
		v.width--
	}
	v.failed = false
	if v.alarms > 0 && now-v.forgave >= alarmPeriods*p {
		v.alarms, v.forgave = v.alarms-1, now
	}
	for range v.width {
		v.probeNext(now)
	}
	all := float64(len(v.present) + 1)
	if !v.set.NoPrompt {
		v.askSuspects(now, all)
	}
	if !v.set.NoReach {
		v.reach(now, all)
	}
	if len(v.set.Seeds) > 0 && v.chance(fleetAsks/all) {
		seed := v.set.Seeds[v.rng.IntN(len(v.set.Seeds))]
		if seed != v.self.Address && !slices.ContainsFunc(v.present, func(m *member) bool { return m.Address == seed }) {
			v.askWho(now, seed)
		}
	}
	for range freshNews {
		if v.news.empty() || len(v.present) == 0 {
			break
		}
		if m := v.present[v.rng.IntN(len(v.present))]; m.State == Alive || v.chance(0.5) {
			v.send(m.Address, &m.Record, &Message{Kind: News})
		}
	}
	v.forget(now)
	if v.duplicate != nil && now-v.dupSeen > duplicatePeriods*p {
		v.duplicate = nil
	}
	claimed, over := false, uint64(0)
	for seq, a := range v.asked {
		if now >= a.until {
			delete(v.asked, seq)
			claimed, over = claimed || a.claim != 0, max(over, a.over)
		}
	}
	if claimed && v.duplicate == nil {
		v.claim(now, over) // who had claimed our name does not answer
	}
}

func (v *View) chance(p float64) bool { return p >= 1 || v.rng.Float64() < p }

// probeNext asks the next one of the round. A round takes each member once, in an order of its own.
func (v *View) probeNext(now time.Duration) {
	for {
		if len(v.order) == 0 {
			if len(v.present) == 0 {
				return
			}
			v.order = append(v.order, v.present...)
			slices.SortFunc(v.order, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
			v.rng.Shuffle(len(v.order), func(i, j int) { v.order[i], v.order[j] = v.order[j], v.order[i] })
			if !v.begun {
				// Rounds that begin together leave the same gaps everywhere; a first one of any length sets them apart.
				v.begun = len(v.order) > 1
				v.order = v.order[:1+v.rng.IntN(len(v.order))]
			}
		}
		m := v.order[len(v.order)-1]
		v.order = v.order[:len(v.order)-1]
		if m.place < 0 {
			continue
		}
		if slices.ContainsFunc(v.probes, func(p probe) bool { return p.name == m.Name }) {
			return // a round is over and its last answers are out
		}
		v.probe(now, m, &m.Record, "")
		return
	}
}

// probe asks a member something on which depends whether it is suspect, and tells it what is held of it, or is said.
func (v *View) probe(now time.Duration, m *member, of *Record, claim string) {
	v.seq++
	p := probe{
		seq: v.seq, name: m.Name, boot: m.Boot, since: m.Incarnation, end: now + v.stretched(v.set.Period), silence: v.heard, claim: claim,
	}
	if !v.set.NoIndirect {
		p.ask = now + time.Duration(ackShare*float64(v.stretched(v.set.Period)))
	}
	v.probes = append(v.probes, p)
	v.send(m.Address, of, &Message{Kind: Ping, Seq: p.seq})
}

// askOthers asks some members to probe one that has not answered: the way between may be at fault, not the one.
func (v *View) askOthers(now time.Duration, p *probe) {
	m := v.members[p.name]
	if m == nil || m.place < 0 {
		return
	}
	target := m.Record
	for i, tries := 0, 0; i < helpers && tries < 4*helpers && len(v.present) > 1; tries++ {
		h := v.present[v.rng.IntN(len(v.present))]
		if h == m || h.State != Alive {
			continue
		}
		i++
		v.send(h.Address, &h.Record, &Message{Kind: Request, Seq: p.seq, Target: &target})
	}
}

// unanswered takes in that nobody had an answer from one in time.
func (v *View) unanswered(now time.Duration, p *probe) {
	v.failed = true
	if v.heard == p.silence && now-v.heard > v.set.Period {
		v.ill(1) // nobody at all has been heard: it may be us
	}
	m := v.members[p.name]
	if m == nil || m.Boot != p.boot || m.place < 0 || now < v.patient {
		return
	}
	if m.Incarnation > p.since && !v.set.NoCalm {
		return // it has refuted since: it lives, and what was lost is the answer
	}
	v.accuse(now, m, v.self.Name, Silent)
	if p.claim != "" && m.State == Suspect {
		m.sure = true
		v.accuse(now, m, p.claim, Told)
	}
}

// accuse begins a suspicion, or adds an accuser to one.
func (v *View) accuse(now time.Duration, m *member, by string, why Why) {
	own := by == v.self.Name
	switch m.State {
	case Alive:
		m.begun, m.accusers, m.sure, m.own = now, append(m.accusers[:0], by), false, own
		r := m.Record
		r.State, r.By = Suspect, by
		v.become(now, m, r, why)
		v.suspect[m.Name] = m
		if !own && !v.set.NoPrompt && len(v.probes) < 2*mostWidth && v.chance(2*fleetAsks/float64(len(v.present)+1)) {
			// Some look for themselves at once: it hears of the suspicion, and if they get no answer either, it is short.
			v.probe(now, m, &m.Record, "")
		}
	case Suspect:
		if own && !m.own {
			m.own = true
			v.setDue(now, m)
		}
		if len(m.accusers) > confirmers || slices.Contains(m.accusers, by) {
			return
		}
		m.accusers = append(m.accusers, by)
		if own {
			m.By = by // that another one accuses it counts, so it is passed on
			v.news.tell(m.Name)
		}
	default:
		return
	}
	if v.set.NoSuspicion {
		v.bury(now, m)
		return
	}
	v.setDue(now, m)
}

// alarm notes that a suspicion of this process's own was refuted: what it could not reach lives, so answers get lost. Asking
// ever more of the others then finds nobody dead, and loses ever more answers.
//
// It guards against suspicions that feed each other where datagrams are lost: at 30% of them each suspicion brought more than
// one further one. It might harm where some really die meanwhile: several that die at once are then found one after another.
func (v *View) alarm(now time.Duration) {
	if v.set.NoCalm {
		return
	}
	if v.alarms == 0 {
		v.forgave = now
	}
	v.alarms = min(v.alarms+1, mostAlarms)
}

// shortest is how long a suspicion lasts at least: as long as news takes to the suspect and back.
func (v *View) shortest() time.Duration {
	scale := max(1, math.Log10(float64(len(v.present)+1)))
	return time.Duration(suspicionPeriods * scale * float64(v.set.Period))
}

// setDue sets the end of a suspicion. One that nobody confirms lasts longest: who accuses alone may be the one at fault.
// Where fewer are left to confirm than it takes, the fewer do.
func (v *View) setDue(now time.Duration, m *member) {
	least := v.shortest()
	most := time.Duration(suspicionRange * float64(least))
	others := len(v.present) - len(v.suspect) // that are well, beside this process
	needed := min(confirmers, others)
	d := most
	switch have := len(m.accusers) - 1; {
	case v.set.NoCorrection:
	case m.sure && m.own && have > 0:
		d = least / 2 // another one's suspicion has run out, and it does not answer here either
	case m.sure || have >= needed:
		d = least
	default:
		// Lifeguard's: each further accuser takes off less than the one before.
		d -= time.Duration(float64(most-least) * math.Log(float64(have+1)) / math.Log(float64(needed+1)))
	}
	if m.own && v.health > 0 {
		d = max(d, time.Duration(float64(least)*(1+float64(v.health)/2)))
	}
	m.due = max(m.begun+d, now) // one that is over by now is no work that was done late
}

// bury ends a suspicion that nobody has refuted.
func (v *View) bury(now time.Duration, m *member) {
	if now < v.patient {
		m.due = v.patient
		return
	}
	r := m.Record
	r.State = Dead
	v.become(now, m, r, Expired)
}

// askSuspects gives suspects a chance to hear of it and to refute it: those who accuse ask themselves, of the others as
// many as are enough.
func (v *View) askSuspects(now time.Duration, all float64) {
	n := 0
	for _, name := range sortedKeys(v.suspect) {
		m := v.suspect[name]
		if n == mostWidth {
			return
		}
		if m.own || v.chance(2*fleetAsks/all) {
			n++
			v.ask(now, m.Address, &m.Record, asked{until: now + 2*v.set.Period})
		}
	}
}

func sortedKeys(m map[string]*member) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// reach asks one of the dead whether it lives after all: two halves that were cut apart hold each other dead, and nothing
// else would bring them together. Those that somebody holds alive are asked first.
func (v *View) reach(now time.Duration, all float64) {
	n := 0
	for _, m := range v.gone {
		if m.hope && m.State == Dead && n < mostWidth {
			n++
			m.hope = false
			v.ask(now, m.Address, &m.Record, asked{until: now + 4*v.set.Period})
		}
	}
	if n > 0 || len(v.gone) == 0 || !v.chance(fleetAsks/all) {
		return
	}
	if m := v.gone[v.rng.IntN(len(v.gone))]; m.State == Dead && m.Name != v.self.Name {
		v.ask(now, m.Address, &m.Record, asked{until: now + 4*v.set.Period})
	}
}

// ask sends a ping whose missing answer tells nothing; m is what is held of the one asked, if anything.
func (v *View) ask(now time.Duration, to string, m *Record, a asked) {
	if len(v.asked) >= mostAsked {
		return
	}
	v.seq++
	v.asked[v.seq] = a
	v.send(to, m, &Message{Kind: Ping, Seq: v.seq})
}

// askWho asks whoever is at an address.
func (v *View) askWho(now time.Duration, to string) {
	if to != v.self.Address {
		v.ask(now, to, nil, asked{until: now + 4*v.set.Period})
	}
}

// send completes a message and sends it. It tells the receiver first what is held of itself where that is not what it
// would say, so that it can refute it in the answer.
func (v *View) send(to string, of *Record, m *Message) {
	if !m.Relayed {
		m.From, m.Digest = v.self, v.digest
	}
	room := newsRoom
	if of != nil && of.State != Alive {
		m.News = append(m.News, *of)
		room -= of.size()
	}
	if of == nil || of.State != Dead || m.Kind == Ack { // a dead one that does not answer would use the news up
		m.News = v.takeNews(m.News, room)
	}
	v.host.Send(to, m)
}

// Receive takes a datagram in that has come from an address; it must be Sound.
func (v *View) Receive(now time.Duration, from string, m *Message) {
	v.notice(now)
	if v.leaving {
		return
	}
	v.heard = now
	said := v.self.Incarnation
	v.hear(now, from, m)
	for i := range m.News {
		v.take(now, &m.News[i], m.From.Name)
	}
	if v.self.Incarnation != said && m.Kind != Ping && !m.Relayed {
		v.send(from, nil, &Message{Kind: News}) // who told of us what is not so hears it first
	}
	switch m.Kind {
	case Ping:
		v.send(from, v.held(&m.From), &Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		v.answered(now, m)
	case Request:
		v.ask(now, m.Target.Address, v.held(m.Target), asked{relay: &relay{m.Seq, from}, until: now + 2*v.set.Period})
	}
	if !m.Relayed {
		v.compare(now, m)
	}
}

// held is what this process holds of the sender of a record, if that is the same start.
func (v *View) held(r *Record) *Record {
	if h := v.record(r.Name); h != nil && (h.Boot == r.Boot || h.supersedes(r)) {
		return h
	}
	return nil
}

// hear takes in what a sender says of itself.
func (v *View) hear(now time.Duration, from string, m *Message) {
	r := m.From
	if r.Name != v.self.Name {
		v.take(now, &r, r.Name)
		return
	}
	if r.Boot == v.self.Boot {
		return // our own, come back
	}
	// There is no doubt: this name has another living process.
	if v.duplicate == nil || v.duplicate.Boot != r.Boot {
		v.host.Changed(Change{Record: r, Was: Alive, Why: Duplicate})
	}
	v.duplicate, v.dupSeen = &r, now
	if v.displaced {
		v.take(now, &r, r.Name)
		return
	}
	if r.supersedes(&v.self) && r.State == Alive {
		v.yield(now, r)
	}
}

// answered takes in an Ack.
func (v *View) answered(now time.Duration, m *Message) {
	if i := slices.IndexFunc(v.probes, func(p probe) bool { return p.seq == m.Seq }); i >= 0 {
		if p := v.probes[i]; p.name == m.From.Name {
			v.probes = slices.Delete(v.probes, i, i+1)
			v.health = max(v.health-1, 0)
		}
		return
	}
	a, known := v.asked[m.Seq]
	if !known {
		return
	}
	delete(v.asked, m.Seq)
	if a.relay != nil {
		v.send(a.relay.to, nil, &Message{Kind: Ack, Seq: a.relay.seq, From: m.From, Relayed: true})
	}
}

// compare settles views that differ although nothing is new: a full exchange tells each what the other knows.
func (v *View) compare(now time.Duration, m *Message) {
	if m.Digest == v.digest {
		v.differs = 0
		v.agreed = min(v.agreed+1, 3)
		return
	}
	v.agreed = 0
	if v.differs == 0 {
		v.differs = now
	}
	p := v.set.Period
	quiet := now-v.changed > quietPeriods*p || now-v.differs > 3*quietPeriods*p
	switch {
	case !v.met:
		v.exchange(now, p, m.From.Address) // it knows nobody yet, or nobody had the time to tell
	case quiet && !v.set.NoDigest:
		v.exchange(now, exchangePeriods*p, m.From.Address)
	}
}

// exchange begins a full exchange, unless the last one is shorter ago than that.
func (v *View) exchange(now, spacing time.Duration, with string) {
	if now-v.synced >= spacing {
		v.synced = now
		v.host.Exchange(with)
	}
}

// Table is all that this process holds, for a full exchange. The dead are in it for whoever holds them alive.
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

// Merge takes in another's Table; each record must be Sound.
func (v *View) Merge(now time.Duration, table []Record, from string) {
	v.notice(now)
	if v.leaving {
		return
	}
	v.heard, v.met = now, true
	for i := range table {
		v.take(now, &table[i], from)
	}
}

// take takes in what somebody says of a member.
func (v *View) take(now time.Duration, r *Record, from string) {
	if r.Name == v.self.Name {
		v.ofMyself(now, r)
		if !v.displaced || r.Boot == v.self.Boot {
			return
		}
	}
	m := v.members[r.Name]
	if m == nil {
		v.meet(now, r)
		return
	}
	same := r.Boot == m.Boot && r.Incarnation == m.Incarnation
	switch {
	case !same && !r.supersedes(&m.Record):
	case r.State == Alive:
		if same {
			m.hope = m.hope || m.State == Dead && from != m.Name
			return
		}
		why, was := Refuted, m.State
		if r.Boot != m.Boot {
			why = Returned
		} else if was == Suspect && m.own {
			v.alarm(now)
		}
		v.become(now, m, *r, why)
		if was == Dead && from == r.Name && !v.set.NoReach {
			v.exchange(now, v.set.Period, r.Address) // it may not be the only one that is back
		}
	case r.State == Left:
		if m.State != Left {
			v.become(now, m, *r, Leaving)
		}
	case m.State == Dead || m.State == Left:
		if !same { // it has gone once more, meanwhile
			v.become(now, m, *r, Told)
		}
	case r.State == Dead && m.State == Alive:
		v.lookInto(now, m, r, from)
	default:
		if !same {
			alive := *r
			alive.State, alive.By = Alive, ""
			v.become(now, m, alive, Told)
		}
		v.accuse(now, m, accuser(r, from), Told)
		if m.State == Suspect && r.State == Dead && !m.sure {
			m.sure = true
			v.setDue(now, m)
		}
	}
}

// accuser is who found a member suspect or dead.
func accuser(r *Record, from string) string {
	if r.By == "" || r.By == r.Name {
		return from
	}
	return r.By
}

// lookInto asks a member that is alive here and dead for somebody else. Nobody is held dead here on another's word: who
// lives says so, and only one that does not answer here either becomes suspect.
//
// It guards against a liar, and against old records that come back from behind a cut. It costs a question for each; those
// beyond mostWidth at one time are not asked, and come again with the next exchange.
func (v *View) lookInto(now time.Duration, m *member, r *Record, from string) {
	if len(v.probes) >= 2*mostWidth || slices.ContainsFunc(v.probes, func(p probe) bool { return p.name == m.Name }) {
		return
	}
	claim := *r
	v.probe(now, m, &claim, accuser(r, from))
}

// meet takes in a member that was unknown.
func (v *View) meet(now time.Duration, r *Record) {
	if len(v.members) >= v.set.Most-1 && !v.makeRoom() {
		v.forgotten++
		return
	}
	m := &member{Record: *r, since: now, place: -1}
	v.members[r.Name] = m
	if !r.State.present() {
		v.gone = append(v.gone, m) // not news: it may be long ago
		return
	}
	was := *r
	m.Record.State, m.Record.By = Alive, ""
	v.enter(m)
	v.touch(now, m.Name)
	v.host.Changed(Change{Record: m.Record, Why: Joined})
	v.join(m)
	if was.State == Suspect {
		v.accuse(now, m, was.By, Told)
	}
}

// makeRoom forgets the member that has been gone longest, and says whether there was one.
func (v *View) makeRoom() bool {
	for len(v.gone) > 0 {
		m := v.gone[0]
		v.gone = v.gone[1:]
		if m.place < 0 && v.members[m.Name] == m {
			delete(v.members, m.Name)
			return true
		}
	}
	return false
}

// forget drops who has been gone for as long as it is remembered.
func (v *View) forget(now time.Duration) {
	for len(v.gone) > 0 {
		m := v.gone[0]
		if m.place < 0 && now-m.since < remembered*v.set.Period {
			return
		}
		v.gone = v.gone[1:]
		if m.place < 0 && v.members[m.Name] == m {
			delete(v.members, m.Name)
		}
	}
}

// enter puts a member among those that are there.
func (v *View) enter(m *member) {
	m.place = len(v.present)
	v.present = append(v.present, m)
	v.digest ^= hash(&m.Record)
}

// join gives one that has just come a place in this round: what has been told of it may be long over.
func (v *View) join(m *member) {
	if len(v.order) > 0 {
		v.order = slices.Insert(v.order, v.rng.IntN(len(v.order)+1), m)
	}
}

// leave takes a member out of them.
func (v *View) leave(m *member) {
	last := v.present[len(v.present)-1]
	v.present[m.place], last.place = last, m.place
	v.present = v.present[:len(v.present)-1]
	m.place = -1
	v.digest ^= hash(&m.Record)
}

// touch notes that what is held of a name is new.
func (v *View) touch(now time.Duration, name string) {
	v.changed = now
	v.news.tell(name)
}

// become makes a record what is held of a member, and tells of it.
func (v *View) become(now time.Duration, m *member, r Record, why Why) {
	was, boot := m.State, m.Boot
	if m.place >= 0 {
		v.leave(m)
	}
	m.Record, m.hope = r, false
	if r.State != Suspect {
		delete(v.suspect, m.Name)
		m.accusers = m.accusers[:0]
	}
	if r.State.present() {
		v.gone = slices.DeleteFunc(v.gone, func(g *member) bool { return g == m })
		v.enter(m)
		if !was.present() {
			v.join(m)
		}
	} else if was.present() {
		v.gone = append(v.gone, m)
	}
	v.touch(now, m.Name)
	if was == r.State && boot == r.Boot {
		return
	}
	m.since = now
	v.host.Changed(Change{Record: r, Was: was, Why: why})
	if m.Name == v.self.Name && v.displaced && !r.State.present() {
		v.retake(now)
	}
}

// Leave tells some members that this process goes. Nothing is done after it.
func (v *View) Leave(now time.Duration) {
	if v.leaving || v.displaced {
		v.leaving = true
		return
	}
	v.self.State, v.self.By = Left, v.self.Name
	v.news.tell(v.self.Name)
	order := slices.Clone(v.present)
	v.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, m := range order[:min(len(order), 4*helpers)] {
		v.news.tell(v.self.Name)
		v.send(m.Address, nil, &Message{Kind: News})
	}
	v.leaving = true
}

// Standing is how the view stands.
func (v *View) Standing(now time.Duration) Standing {
	s := Standing{
		Self: v.self, Displaced: v.displaced, Health: v.health, Digest: v.digest, Forgotten: v.forgotten,
		Settled: len(v.suspect) == 0 && now-v.changed > quietPeriods*v.set.Period && v.differs == 0 &&
			(len(v.present) == 0 || v.agreed > 0) && !v.displaced,
	}
	if v.duplicate != nil {
		d := *v.duplicate
		s.Duplicate = &d
	}
	s.Members = make([]Member, 0, len(v.members)+1)
	if !v.displaced {
		s.Members = append(s.Members, Member{Record: v.self, Since: v.started, Self: true})
	}
	for _, m := range v.members {
		s.Members = append(s.Members, Member{Record: m.Record, Since: m.since})
	}
	slices.SortFunc(s.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// Present is how many members are there, this process included.
func (v *View) Present() int {
	if v.displaced {
		return len(v.present)
	}
	return len(v.present) + 1
}

// Holds is the state in which a name is held; 0 if it is unknown.
func (v *View) Holds(name string) State {
	if r := v.record(name); r != nil {
		return r.State
	}
	return 0
}

// At is the name of the member that is reached at an address; "" if none is known.
func (v *View) At(address string) string {
	for _, m := range v.present {
		if m.Address == address {
			return m.Name
		}
	}
	return ""
}

// SetSeeds replaces the addresses by which the fleet is found, and asks at the new ones.
func (v *View) SetSeeds(now time.Duration, seeds []string) {
	for _, seed := range seeds {
		if !slices.Contains(v.set.Seeds, seed) {
			v.askWho(now, seed)
		}
	}
	v.set.Seeds = slices.Clone(seeds)
}
