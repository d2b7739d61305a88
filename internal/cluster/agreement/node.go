// Package agreement runs a proxy's part of the fleet's consensus on rules. It connects the protocol (package accord),
// the disk and the fleet's network link, and provides the rules in effect to the rest of the process. One goroutine
// owns the core, and all others send it events. Request handling never waits for that goroutine: it reads the rules
// with one atomic load.
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

// The messages of log lines about rules, which package rig reads back.
const (
	LogRules = "rules: acted on" // the rules in effect have changed
	LogMode  = "rules: lease"    // the mode has changed: whether this proxy holds a lease
	LogSelf  = "rules: self"     // what this process has found out about its own state
)

const (
	// maxQueued bounds the messages and the events that are queued for the owner goroutine; more are dropped, as the
	// network may drop them. After a change each of 1,400 lease holders acknowledges within milliseconds, a second step
	// follows immediately, and renewals arrive during both.
	maxQueued = 4096
	// maxBatch bounds the queued messages that are processed as one batch, for which a voter writes to its disk
	// once. Timed work is done between two batches.
	maxBatch = 512
	// reopenInterval is the time between attempts to open a file that the previous process still has open.
	reopenInterval = 100 * time.Millisecond
	// modeCheckInterval is the longest time between two checks for a changed mode; each event is followed by a check too.
	modeCheckInterval = 50 * time.Millisecond
	// planInterval is the time between two checks of the proxies' numbers by a leader. A check visits all proxies, and a
	// leader receives several events a second from each proxy, so the cost of a check with each event would grow with
	// the square of their number.
	planInterval = 250 * time.Millisecond
)

// Config configures a node.
type Config struct {
	Options    Options
	Fleet      string // the fleet's name
	Name       string // this proxy's name
	InstanceID uint64 // drawn at random at each start
	Seed       uint64
	// Volatile makes this member store nothing on disk; it has no folder. After a restart that reaches no voter it
	// knows no rules. It is meant for scale runs with many members on one machine. A voter cannot be volatile.
	Volatile bool
	Log      *slog.Logger
}

type event func(c *accord.Core, now time.Duration)

// Node takes part in the consensus on behalf of this process. Its methods are safe for concurrent use.
type Node struct {
	config  Config
	carrier cluster.Carrier
	core    *accord.Core // used by the owner goroutine only
	disk    atomic.Pointer[store.Store]
	// messages holds the messages received from other proxies, in the order of arrival.
	messages chan *accord.Message
	events   chan event
	requests chan event   // from this process itself; never dropped
	dropped  atomic.Int64 // messages dropped because the queue was full
	basis    atomic.Pointer[accord.Basis]
	// handedOver is set once another process of this proxy has taken over: this one acts until its end on the rules
	// that it knows.
	handedOver   atomic.Bool
	addresses    atomic.Pointer[map[string]string] // addresses of members, by name
	mode         accord.Mode                       // used by the owner only: the mode that was last logged
	modeLogged   bool
	saveFailed   bool                     // used by the owner only: the last attempt to store the rules failed, and was logged
	planner      *numbering.Planner       // used by the owner only; nil if numbers are not assigned by membership
	nextPlan     time.Duration            // used by the owner only: the time of the next check of the numbers
	heldBackends atomic.Pointer[[]string] // backends still in use although the newest list omits them

	mu        sync.Mutex
	followers []func(*accord.Basis)
	answers   map[string]chan rules.Answer

	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	closeOnce sync.Once
}

// Clock returns the time since boot, including the time that the machine was suspended: a lease must expire during a
// suspension too.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("agreement: cannot read CLOCK_BOOTTIME: %v", err)) // every Linux version that Go supports has this clock
	}
	return time.Duration(t.Nano())
}

// Open starts a node and its goroutines.
func Open(c Config, carrier cluster.Carrier) (*Node, error) {
	if c.Volatile && c.Options.isVoter(c.Name) {
		return nil, fmt.Errorf("rules: %s is a keeper, which needs a folder", c.Name)
	}
	n := &Node{
		config: c, carrier: carrier, messages: make(chan *accord.Message, maxQueued), events: make(chan event, maxQueued), requests: make(chan event),
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
	carrier.OnPayload(n.onPayload)
	carrier.Follow(n.onMembers)
	n.running.Go(n.run)
	if later {
		n.running.Go(n.retryOpenStore)
	}
	return n, nil
}

// openStore opens the store in the folder and loads it. No fault of the folder prevents the process from starting.
// later means that the store could not be opened, for example because another process has it open, and that the caller
// is to retry in the background.
func (n *Node) openStore() (stored accord.Stored, later bool, err error) {
	c := &n.config
	if c.Volatile {
		return stored, false, nil
	}
	for range 2 {
		disk, setAside, reason, err := store.Open(c.Options.Folder, c.Fleet, c.Name)
		switch {
		case errors.Is(err, bolterrors.ErrTimeout):
			return stored, true, nil
		case err != nil:
			c.Log.Error(LogSelf, "what", "the folder cannot be used; this proxy stores nothing until it can be opened", "error", err)
			return stored, true, nil
		case setAside != "":
			c.Log.Error(LogSelf, "what", "the file in the folder is not used and was set aside", "file", setAside, "error", reason)
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

// retryOpenStore waits until the folder's store can be opened, for example after the previous process has closed it,
// and lets the core use it: a voter starts to vote then.
func (n *Node) retryOpenStore() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(reopenInterval):
		}
		disk, _, _, err := store.Open(n.config.Options.Folder, n.config.Fleet, n.config.Name)
		if err != nil {
			continue
		}
		stored, err := disk.Load()
		if err != nil {
			disk.Close()
			n.config.Log.Error(LogSelf, "what", "the file in the folder cannot be read; this proxy stores nothing", "error", err)
			return
		}
		n.disk.Store(disk)
		n.do(n.ctx, func(c *accord.Core, now time.Duration) {
			if err := c.StartVoter(now, stored); err != nil {
				n.config.Log.Error(LogSelf, "what", "this proxy cannot start as a keeper", "error", err)
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

// run is the owner goroutine: the only one that uses the core.
func (n *Node) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(min(n.core.NextTick()-Clock(), modeCheckInterval))
		select {
		case <-n.ctx.Done():
			return
		case m := <-n.messages:
			messages := n.batch(m)
			n.core.Receive(Clock(), messages...) // the clock is read after all of them have been received
		case e := <-n.events:
			e(n.core, Clock())
		case e := <-n.requests:
			e(n.core, Clock())
		case <-timer.C:
		}
		if now := Clock(); now >= n.core.NextTick() {
			n.core.Tick(now)
		}
		n.logMode()
		n.proposeNumbers()
	}
}

// DroppedMessages returns how many messages were dropped since the start because the queue was full.
func (n *Node) DroppedMessages() int64 { return n.dropped.Load() }

// batch returns a message and the messages queued after it, maxBatch at most.
func (n *Node) batch(first *accord.Message) []*accord.Message {
	messages := []*accord.Message{first}
	for len(messages) < maxBatch {
		select {
		case m := <-n.messages:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

// proposeNumbers proposes new numbers for the proxies if this proxy is the leader with a lease, no change is pending
// and the planner asks for them.
func (n *Node) proposeNumbers() {
	now := Clock()
	b := n.basis.Load()
	if n.planner == nil || now < n.nextPlan || !n.core.IsLeader() || b.Settled == nil || b.Mode(now) != accord.Leased {
		return
	}
	n.nextPlan = now + planInterval
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

// AgreedNumber returns this proxy's assigned number and the total of assigned numbers under a basis. ok is false if the
// proxy has no valid number, or if any change is pending.
func (n *Node) AgreedNumber(b *accord.Basis) (index, total int, ok bool) {
	if b.Settled == nil {
		return 0, 0, false
	}
	index, ok = b.Settled.Numbers[n.config.Name]
	return index, len(b.Settled.Numbers), ok && index < len(b.Settled.Numbers)
}

// MaxListDrop returns the share of the backends that lists may omit at once; 1 means any number.
func (n *Node) MaxListDrop() float64 { return n.config.Options.MaxListDrop }

// SetHeldBackends sets the backends that are still in use although the newest list omits them, for the report.
func (n *Node) SetHeldBackends(ids []string) { n.heldBackends.Store(&ids) }

// logMode logs the mode if it has changed.
func (n *Node) logMode() {
	b := n.basis.Load()
	if mode := b.Mode(Clock()); mode != n.mode || !n.modeLogged {
		n.mode, n.modeLogged = mode, true
		level := slog.LevelInfo
		if mode != accord.Leased {
			level = slog.LevelWarn
		}
		n.config.Log.Log(context.Background(), level, LogMode, "mode", mode.String(), "version", b.Version, "last", b.Last)
	}
}

func (n *Node) do(ctx context.Context, e event) bool {
	done := make(chan struct{})
	select {
	case n.requests <- func(c *accord.Core, now time.Duration) { defer close(done); e(c, now) }:
		<-done
		return true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return false
}

// onPayload handles the payload of a message from another proxy.
func (n *Node) onPayload(body []byte) {
	m, err := accord.Decode(body)
	if err != nil {
		n.config.Log.Debug("rules: a message is dropped", "error", err)
		return
	}
	select {
	case n.messages <- m:
	default:
		n.dropped.Add(1)
	}
}

// onMembers handles a change of the fleet's members and their addresses.
func (n *Node) onMembers(s view.Snapshot) {
	addresses, living := s.Addresses()
	n.addresses.Store(&addresses)
	select {
	case n.events <- func(c *accord.Core, now time.Duration) {
		c.SetPeers(living)
		if n.planner != nil {
			n.planner.SetLiving(now, living)
		}
	}:
	default: // the next membership change delivers them
	}
}

// host implements accord.Host for a node. Its methods run on the owner goroutine.
type host struct{ *Node }

// latestCarrier is a carrier that discards a queued payload when a newer one of the same topic replaces it.
type latestCarrier interface {
	SendLatestPayload(to, topic string, body []byte)
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
	case able && m.Kind == accord.Grant: // each contains everything that its receiver lacks
		latest.SendLatestPayload(address, "grant "+m.To, body)
	case able && m.Kind == accord.Update:
		latest.SendLatestPayload(address, "tell "+m.To, body)
	default:
		h.carrier.SendPayload(address, body)
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
	if err != nil && !h.saveFailed {
		h.config.Log.Warn(LogSelf, "what", "the rules in effect cannot be stored; after a restart that reaches no keeper this proxy will not know them", "error", err)
	}
	h.saveFailed = err != nil
}

func (h host) SetBasis(b *accord.Basis) {
	if was := h.basis.Swap(b); was != nil && was.Doc == b.Doc {
		return // only the lease was renewed, which happens several times a second; the rules are the same
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
		default: // an answer was delivered already
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

// Follow calls f with the current basis, now and after every change of the rules, from one goroutine at a time. f must
// not block.
func (n *Node) Follow(f func(*accord.Basis)) {
	n.do(n.ctx, func(*accord.Core, time.Duration) {
		n.mu.Lock()
		n.followers = append(n.followers, f)
		n.mu.Unlock()
		f(n.basis.Load())
	})
}

// Basis returns the basis that decisions use now.
func (n *Node) Basis() *accord.Basis { return n.basis.Load() }

// Decide reports whether a send is allowed now, and the basis of that decision. Call it immediately before the send,
// because the lease may expire after an earlier call.
func (n *Node) Decide(s rules.Send) (rules.Decision, rules.DecisionBasis) {
	b := n.basis.Load()
	if n.handedOver.Load() {
		return b.Unleased.Decide(s), rules.DecisionBasis{Version: b.Last}
	}
	now := Clock()
	return b.Decide(now, s), rules.DecisionBasis{Version: b.Last, Leased: b.Mode(now) == accord.Leased}
}

// Mode returns whether this proxy acts on a lease, on the rules that it knows, or not at all.
func (n *Node) Mode() accord.Mode {
	if n.handedOver.Load() {
		return accord.Alone
	}
	return n.basis.Load().Mode(Clock())
}

// ErrNoAnswer means that the outcome of a proposal is unknown: the change may still come into force.
var ErrNoAnswer = errors.New("no answer from the keepers yet; the change may still come into force. A retry with the same id is the same change")

// NewID returns a random ID for a change.
func NewID() string {
	var b [12]byte
	rand.Read(b[:]) // it never returns an error
	return hex.EncodeToString(b[:])
}

// Propose proposes a change to the voters and returns the outcome. The version in the answer is pending then, and not
// yet in force.
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
	if !n.do(ctx, func(core *accord.Core, now time.Duration) { err = core.Propose(now, c) }) {
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

// Refound makes this voter continue alone, in place of a majority that is permanently lost; see accord.Core.Refound.
func (n *Node) Refound(ctx context.Context) error {
	err := ErrNoAnswer
	n.do(ctx, func(c *accord.Core, now time.Duration) { err = c.Refound(now) })
	return err
}

// Close stops the node. With handOver, another process of this proxy takes over; until its end, this process acts on
// the rules that it knows as if it had no lease, and never repeats a request that may have run.
func (n *Node) Close(handOver bool) {
	n.closeOnce.Do(func() {
		n.handedOver.Store(handOver)
		n.cancel()
		n.running.Wait()
		n.closeStore()
	})
}
