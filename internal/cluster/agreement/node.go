// Package agreement is a proxy's part in what its fleet agrees on: it puts the decisions (package accord), the disk and the
// fleet's link together, and tells the rest of the process what it may act on. One goroutine owns the core; all others hand it
// events. Serving never waits for it: what acts rest on is read with one atomic load.
package agreement

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	bolterrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"brasswell/internal/clock"
	"brasswell/internal/cluster"
	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/accord/store"
	"brasswell/internal/cluster/numbering"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/cluster/view"
)

// The log's lines about rules, which package rig reads back.
const (
	LogRules = "rules: acted on" // another standing
	LogMode  = "rules: lease"    // on what this proxy acts has changed
	LogSelf  = "rules: self"     // what this process has found out about itself
)

const (
	// mostWaiting messages, and as many events, stand before the owner; those beyond are dropped, as the network would. After a change each of 1,400
	// holders of leases acknowledges within milliseconds, and a second step follows at once; renewals come beside both.
	mostWaiting = 4096
	// mostTogether messages that wait are taken in together: a voter writes its disk once for them. Between two such batches the owner
	// does what is due.
	mostTogether = 512
	// openEvery is between tries for a file that the process before this one still holds.
	openEvery = 100 * time.Millisecond
	// lookEvery is between two looks at on what this proxy acts, beside those after each event.
	lookEvery = 50 * time.Millisecond
	// planEvery is between two looks of a leader at the proxies' numbers. A look goes over all proxies, and with each event, of which a
	// leader has several a second from each proxy, its cost would grow with the square of their number.
	planEvery = 250 * time.Millisecond
)

// Config is what a node is told.
type Config struct {
	Options    Options
	Fleet      string // the fleet's name
	Name       string // this proxy's
	InstanceID uint64 // drawn at random at each start
	Seed       uint64
	// Volatile: this member keeps nothing on disk, and has no folder. A start that reaches no keeper then knows nothing. It is for
	// many members on one machine, in scale runs; a keeper cannot be one.
	Volatile bool
	Log      *slog.Logger
}

type event func(c *accord.Core, now time.Duration)

// Node is this process's part in the agreement. Its methods may be called at any time.
type Node struct {
	config  Config
	carrier cluster.Carrier
	core    *accord.Core // the owner's
	disk    atomic.Pointer[store.Store]
	// messages are those from other proxies, as they came.
	messages chan *accord.Message
	events   chan event
	asks     chan event   // from this process's own, never dropped
	late     atomic.Int64 // messages that found the owner's line full
	basis    atomic.Pointer[accord.Basis]
	// leaving: this process hands over to another of its proxy, and acts until its end on what it knows.
	leaving   atomic.Bool
	addresses atomic.Pointer[map[string]string] // of members, by name
	mode      accord.Mode                       // the owner's, as last logged
	told      bool
	unkept    bool                     // that it cannot be stored has been told
	planner   *numbering.Planner       // the owner's; nil where numbers do not follow who lives
	nextPlan  time.Duration            // the owner's; when it next looks at the numbers
	held      atomic.Pointer[[]string] // backends that this process goes on with though the newest list leaves them out

	mu        sync.Mutex
	followers []func(*accord.Basis)
	answers   map[string]chan rules.Answer

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	closing sync.Once
}

// Clock is time that goes on while the machine sleeps too: a lease must not outlast that.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("agreement: no clock: %v", err)) // every Linux that Go runs on has it
	}
	return time.Duration(t.Nano())
}

// Open begins a proxy's part.
func Open(c Config, carrier cluster.Carrier) (*Node, error) {
	if c.Volatile && c.Options.keeps(c.Name) {
		return nil, fmt.Errorf("rules: %s is a keeper, which needs a folder", c.Name)
	}
	n := &Node{
		config: c, carrier: carrier, messages: make(chan *accord.Message, mostWaiting), events: make(chan event, mostWaiting), asks: make(chan event),
		answers: map[string]chan rules.Answer{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if c.Options.AssignNumbers {
		n.planner = numbering.New(numbering.DefaultSettings())
	}
	none := map[string]string{}
	n.addresses.Store(&none)
	stored, later, err := n.openStore()
	if err != nil {
		n.cancel()
		return nil, err
	}
	n.core, err = accord.New(Clock(), accord.Settings{
		Name: c.Name, InstanceID: c.InstanceID, Voters: c.Options.Voters, Times: c.Options.Times(), RefuseWithoutLease: c.Options.WithoutLease == Refuse, DeferVoter: later,
	}, c.Seed^c.InstanceID, stored, host{n})
	if err != nil {
		n.cancel()
		n.closeStore()
		return nil, fmt.Errorf("rules: %w", err)
	}
	carrier.OnParcel(n.parcel)
	carrier.Follow(n.members)
	n.running.Go(n.own)
	if later {
		n.running.Go(n.openLater)
	}
	return n, nil
}

// openStore opens the folder. Nothing in it keeps the process from starting; later says that another process still holds it.
func (n *Node) openStore() (stored accord.Stored, later bool, err error) {
	c := &n.config
	if c.Volatile {
		return stored, false, nil
	}
	for range 2 {
		disk, aside, why, err := store.Open(c.Options.Folder, c.Fleet, c.Name)
		switch {
		case errors.Is(err, bolterrors.ErrTimeout):
			return stored, true, nil
		case err != nil:
			c.Log.Error(LogSelf, "what", "the folder cannot be used; this proxy keeps nothing", "error", err)
			return stored, true, nil
		case aside != "":
			c.Log.Error(LogSelf, "what", "the file in the folder is not used, and was set aside", "file", aside, "error", why)
		}
		if stored, err = disk.Load(); err == nil {
			n.disk.Store(disk)
			return stored, false, nil
		}
		c.Log.Error(LogSelf, "what", "the file in the folder cannot be read", "error", err)
		disk.Close()
		if _, err := store.SetAside(c.Options.Folder); err != nil {
			c.Log.Error(LogSelf, "what", "the file cannot be set aside", "error", err)
			break
		}
	}
	return accord.Stored{}, true, nil
}

// openLater makes this proxy a keeper once the process before it has let go of the folder.
func (n *Node) openLater() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(openEvery):
		}
		disk, _, _, err := store.Open(n.config.Options.Folder, n.config.Fleet, n.config.Name)
		if err != nil {
			continue
		}
		stored, err := disk.Load()
		if err != nil {
			disk.Close()
			n.config.Log.Error(LogSelf, "what", "the file in the folder cannot be read; this proxy keeps nothing", "error", err)
			return
		}
		n.disk.Store(disk)
		n.ask(n.ctx, func(c *accord.Core, now time.Duration) {
			if err := c.StartVoter(now, stored); err != nil {
				n.config.Log.Error(LogSelf, "what", "this proxy keeps nothing", "error", err)
			}
		})
		return
	}
}

func (n *Node) closeStore() {
	if d := n.disk.Load(); d != nil {
		d.Close()
	}
}

// own is the goroutine that the core belongs to.
func (n *Node) own() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(min(n.core.NextTick()-Clock(), lookEvery))
		select {
		case <-n.ctx.Done():
			return
		case m := <-n.messages:
			together := n.waiting(m)
			n.core.Receive(Clock(), together...) // the clock is read once all of them have come
		case e := <-n.events:
			e(n.core, Clock())
		case e := <-n.asks:
			e(n.core, Clock())
		case <-timer.C:
		}
		if now := Clock(); now >= n.core.NextTick() {
			n.core.Tick(now)
		}
		n.look()
		n.number()
	}
}

// Late is how many messages were dropped since the start, as too many stood before the owner.
func (n *Node) DroppedMessages() int64 { return n.late.Load() }

// waiting is a message with those that wait behind it, as many as are taken in together.
func (n *Node) waiting(first *accord.Message) []*accord.Message {
	together := []*accord.Message{first}
	for len(together) < mostTogether {
		select {
		case m := <-n.messages:
			together = append(together, m)
		default:
			return together
		}
	}
	return together
}

// number proposes other own numbers for the proxies, where this one leads and they are due.
func (n *Node) number() {
	now := Clock()
	b := n.basis.Load()
	if n.planner == nil || now < n.nextPlan || !n.core.IsLeader() || b.Settled == nil || b.Mode(now) != accord.Leased {
		return
	}
	n.nextPlan = now + planEvery
	numbers, due := n.planner.Plan(now, b.Settled.Numbers)
	if !due {
		return
	}
	c := rules.Change{
		ID: NewID(), Kind: rules.Renumber, Numbers: numbers, Who: n.config.Name, Why: fmt.Sprintf("%d proxies live", len(numbers)), BaseVersion: b.Last,
		At: clock.Wall(),
	}
	if err := n.core.Propose(now, c); err != nil {
		n.config.Log.Warn(LogSelf, "what", "numbers cannot be proposed", "error", err)
	}
}

// Number is this proxy's agreed own number, of how many, on a basis; ok is false where it has none, or the change that gives it is
// on its way.
func (n *Node) AgreedNumber(b *accord.Basis) (self, of int, ok bool) {
	if b.Settled == nil {
		return 0, 0, false
	}
	self, ok = b.Settled.Numbers[n.config.Name]
	return self, len(b.Settled.Numbers), ok && self < len(b.Settled.Numbers)
}

// ListDrop is the share of the backends that lists may leave out at once; 1 for any.
func (n *Node) MaxListDrop() float64 { return n.config.Options.MaxListDrop }

// Hold takes in which backends this process goes on with though the newest list leaves them out, for people.
func (n *Node) SetHeldBackends(ids []string) { n.held.Store(&ids) }

// look logs on what this proxy acts, if that has changed.
func (n *Node) look() {
	b := n.basis.Load()
	if mode := b.Mode(Clock()); mode != n.mode || !n.told {
		n.mode, n.told = mode, true
		level := slog.LevelInfo
		if mode != accord.Leased {
			level = slog.LevelWarn
		}
		n.config.Log.Log(context.Background(), level, LogMode, "mode", mode.String(), "version", b.Version, "last", b.Last)
	}
}

func (n *Node) ask(ctx context.Context, e event) bool {
	done := make(chan struct{})
	select {
	case n.asks <- func(c *accord.Core, now time.Duration) { defer close(done); e(c, now) }:
		<-done
		return true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return false
}

// parcel takes in what another proxy has sent.
func (n *Node) parcel(body []byte) {
	m, err := accord.Decode(body)
	if err != nil {
		n.config.Log.Debug("rules: a message is dropped", "error", err)
		return
	}
	select {
	case n.messages <- m:
	default:
		n.late.Add(1)
	}
}

// members takes in who of the fleet is there, and where.
func (n *Node) members(s view.Snapshot) {
	addresses, living := s.Addresses()
	n.addresses.Store(&addresses)
	select {
	case n.events <- func(c *accord.Core, now time.Duration) {
		c.SetPeers(living)
		if n.planner != nil {
			n.planner.SetLiving(now, living)
		}
	}:
	default: // the next change brings them
	}
}

// host is the core's side of a node; its methods run on the owner.
type host struct{ *Node }

// latestCarrier is a carrier that can leave out what a newer parcel of the same topic makes useless.
type latestCarrier interface {
	CarryLatest(to, topic string, body []byte)
}

var _ latestCarrier = cluster.Endpoint{}

func (h host) Send(to string, m *accord.Message) {
	address := (*h.addresses.Load())[to]
	if address == "" {
		return
	}
	body, err := m.Encode()
	if err != nil {
		return
	}
	latest, able := h.carrier.(latestCarrier)
	switch {
	case able && m.Kind == accord.Grant: // each brings all that its receiver lacks
		latest.CarryLatest(address, "grant "+m.To, body)
	case able && m.Kind == accord.Update:
		latest.CarryLatest(address, "tell "+m.To, body)
	default:
		h.carrier.Carry(address, body)
	}
}

func (h host) Save(r *accord.Record) error {
	d := h.disk.Load()
	if d == nil {
		return errors.New("no folder")
	}
	return d.Save(r)
}

func (h host) SaveRules(s *rules.Status) {
	var err error
	if d := h.disk.Load(); d != nil {
		err = d.SaveRules(s)
	}
	if err != nil && !h.unkept {
		h.config.Log.Warn(LogSelf, "what", "what is acted on cannot be stored; a start that reaches no keeper will not know it", "error", err)
	}
	h.unkept = err != nil
}

func (h host) SetBasis(b *accord.Basis) {
	if was := h.basis.Swap(b); was != nil && was.Doc == b.Doc {
		return // a lease renewed, several times a second: what is acted on is the same
	}
	h.mu.Lock()
	followers := slices.Clone(h.followers)
	h.mu.Unlock()
	for _, f := range followers {
		f(b)
	}
}

func (h host) ProposalDone(a rules.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.answers[a.ID]; c != nil {
		select {
		case c <- a:
		default: // it has one
		}
	}
}

func (h host) Notify(what accord.Event, of accord.Note) {
	log := h.config.Log
	switch what {
	case accord.RulesChanged:
		log.Info(LogRules, "version", of.InForce, "last", of.Last)
	case accord.LogOutdated, accord.DiskFailed:
		log.Error(LogSelf, "what", string(what), "error", of.Err)
	case accord.DigestMismatch:
		log.Warn(LogSelf, "what", string(what), "version", of.InForce, "last", of.Last)
	default:
		log.Info(LogSelf, "what", string(what), "of", of.Name)
	}
}

// Follow tells f on what acts rest, now and after every change of the rules, from one goroutine at a time. f must not block.
func (n *Node) Follow(f func(*accord.Basis)) {
	n.ask(n.ctx, func(*accord.Core, time.Duration) {
		n.mu.Lock()
		n.followers = append(n.followers, f)
		n.mu.Unlock()
		f(n.basis.Load())
	})
}

// Basis is on what acts rest now.
func (n *Node) Basis() *accord.Basis { return n.basis.Load() }

// Rule says whether an act is allowed now, and on what that rests. It is to be asked right before the act.
func (n *Node) Decide(s rules.Send) (rules.Decision, rules.DecisionBasis) {
	b := n.basis.Load()
	if n.leaving.Load() {
		return b.Unleased.Decide(s), rules.DecisionBasis{Version: b.Last}
	}
	now := Clock()
	return b.Decide(now, s), rules.DecisionBasis{Version: b.Last, Leased: b.Mode(now) == accord.Leased}
}

// Mode is on what this proxy acts.
func (n *Node) Mode() accord.Mode {
	if n.leaving.Load() {
		return accord.Alone
	}
	return n.basis.Load().Mode(Clock())
}

// ErrNoAnswer is that of a proposal of which nothing has been heard: it may still come.
var ErrNoAnswer = errors.New("no answer from the keepers yet; it may still come into force. The same id again is the same change")

// NewID draws the id of a change.
func NewID() string {
	var b [12]byte
	rand.Read(b[:]) // it does not fail
	return hex.EncodeToString(b[:])
}

// Propose has a change agreed, and returns what became of it. The version it names is on its way then, and not in force yet.
func (n *Node) Propose(ctx context.Context, c rules.Change) (rules.Answer, error) {
	if c.ID == "" {
		c.ID = NewID()
	}
	if c.Who == "" {
		c.Who = n.config.Name
	}
	c.At = clock.Wall()
	got := make(chan rules.Answer, 1)
	n.mu.Lock()
	if n.answers[c.ID] != nil {
		n.mu.Unlock()
		return rules.Answer{}, ErrNoAnswer
	}
	n.answers[c.ID] = got
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.answers, c.ID)
	}()
	var err error
	if !n.ask(ctx, func(core *accord.Core, now time.Duration) { err = core.Propose(now, c) }) {
		return rules.Answer{}, ErrNoAnswer
	}
	if err != nil {
		return rules.Answer{}, err
	}
	select {
	case a := <-got:
		return a, nil
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return rules.Answer{}, ErrNoAnswer
}

// Refound has this keeper go on alone, in place of a majority that is lost for good: see accord.Core.
func (n *Node) Refound(ctx context.Context) error {
	err := ErrNoAnswer
	n.ask(ctx, func(c *accord.Core, now time.Duration) { err = c.Refound(now) })
	return err
}

// Close ends this process's part. With handOver another process of this proxy goes on; this one acts until its end on what it
// knows, and repeats nothing.
func (n *Node) Close(handOver bool) {
	n.closing.Do(func() {
		n.leaving.Store(handOver)
		n.cancel()
		n.running.Wait()
		n.closeStore()
	})
}
