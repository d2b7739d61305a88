// Package accord decides how the proxies of a fleet come to act on the same rules, and when one may no longer act on what it
// has. It has no I/O and no clock: events with their time go in, actions come out, and equal settings, seed and events give
// equal actions. It is not safe for concurrent use, but for Basis, which does not change.
//
// A few proxies, the voters, hold the rules in a log that a majority of them agrees on (Raft, Ongaro and Ousterhout 2014; the
// library go.etcd.io/raft/v3, whose core is as pure as this one). Every proxy holds a lease (Gray and Cheriton 1989) from the
// voters' leader, which names the versions that it was granted with. A change takes two steps: it is on its way, when every proxy
// acts on the meet of old and new, and it is in force, once each proxy with a lease has said that it has the change, or its
// lease has run out. docs/design/accord.md says why, and what follows for clocks.
package accord

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3/raftpb"

	"brasswell/internal/cluster/rules"
	"brasswell/internal/strict"
)

// Times are those that a fleet's proxies agree on by having them alike.
type Times struct {
	Lease          time.Duration // how long a lease lasts from the moment that it was asked for
	Renew          time.Duration // between two renewals
	Heartbeat      time.Duration // between two messages of a leader
	Election       time.Duration // without a leader's message, up to twice that, before another tries
	RequestTimeout time.Duration // for an answer
	MaxDrift       float64       // the most by which the rate of a clock is off, as a share
}

// DefaultTimes fit one site.
func DefaultTimes() Times {
	return Times{
		Lease: time.Second, Renew: 250 * time.Millisecond, Heartbeat: 100 * time.Millisecond, Election: 500 * time.Millisecond,
		RequestTimeout: 150 * time.Millisecond, MaxDrift: 0.02,
	}
}

// Guard is how long, on the clock of who granted it, a lease may still hold on another's clock.
func (t Times) LeaseGuard() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + 2*t.MaxDrift))
}

// Awake is how long after a renewal that went unanswered a proxy knows that it has been running.
func (t Times) AliveWindow() time.Duration { return 4 * t.Renew }

// Bound is the stated time: once a change is agreed, no proxy that hears the voters or holds a lease acts against it after so
// long, with the leader lost meanwhile.
func (t Times) ConvergenceBound() time.Duration {
	// A leader is lost at once after the change was agreed; the next is elected within two tries' time, waits for the leases
	// of the one before, and tells within a renewal. The whole on the slowest clock.
	d := t.Election + t.LeaseGuard() + t.Renew + t.RequestTimeout
	return time.Duration(float64(d) * (1 + t.MaxDrift))
}

// Validate says what is wrong with the times.
func (t Times) Validate() error {
	switch {
	case t.Renew <= 0 || t.Lease < 3*t.Renew:
		return fmt.Errorf("accord: a lease of %v with renewals each %v would run out when one is lost; let it be three times as long", t.Lease, t.Renew)
	case t.Heartbeat <= 0 || t.Election < 3*t.Heartbeat:
		return fmt.Errorf("accord: an election after %v with messages each %v; let it be three times as long", t.Election, t.Heartbeat)
	case t.RequestTimeout <= 0 || t.RequestTimeout > t.Renew:
		return fmt.Errorf("accord: a patience of %v; above 0 and up to %v is allowed", t.RequestTimeout, t.Renew)
	case !(t.MaxDrift > 0 && t.MaxDrift <= 0.2):
		return fmt.Errorf("accord: a drift of %v; above 0 and up to 0.2 is allowed", t.MaxDrift)
	}
	return nil
}

// Settings are what a core is told. The zero values of the switches at the end leave every defence on.
type Settings struct {
	Name       string   // of this proxy
	InstanceID uint64   // drawn at each start: two processes of one proxy hold a lease each
	Voters     []string // by name, the same at all; the first founds
	Times      Times
	// Later: where this proxy is a voter, Keep is called once its disk can be had.
	DeferVoter bool
	// Refuse: without a lease nothing is served. Otherwise it goes on with what is known, and repeats nothing.
	RefuseWithoutLease bool

	// Form is the form of documents that this program understands; 0 stands for rules.Form.
	Form uint8

	// Each takes one defence out, so that a checker can be seen to find what it guards against.
	NoLeaseCheck     bool // acts rest on what was last heard, however long ago
	NoPreparePhase   bool // a change is in force at once
	NoLeaderWait     bool // a new leader does not wait for the leases of the one before
	NoQuorumCheck    bool // leases are granted without hearing from a majority
	NoDigestCheck    bool // what a proxy has is not compared with what is vouched for, but by its number
	NoEnforcingCheck bool // a lease may rest on what a proxy has though the leader has written into the log that more is in force

	// NoDeltas: whole standings alone are sent and taken, as by programs from before there were differences.
	NoDeltas bool
	// MostShort is the bytes of a difference that goes with a grant; 0 stands for what fits a datagram.
	MaxInlineDelta int
}

// form is that of documents which this program understands.
func (s *Settings) form() uint8 {
	if s.Form == 0 {
		return rules.CurrentForm
	}
	return s.Form
}

// Validate says what is wrong with the settings.
func (s *Settings) Validate() error {
	if n := len(s.Voters); n != 1 && n != 3 && n != 5 && n != 7 {
		return fmt.Errorf("accord: %d keepers; 3, 5 or 7 are right, and 1 for a try", n)
	}
	seen := map[string]bool{}
	for _, k := range s.Voters {
		if k == "" || len(k) > rules.MaxIDBytes || seen[k] {
			return fmt.Errorf("accord: keeper %.40q is empty, too long, or named twice", k)
		}
		seen[k] = true
	}
	if s.Name == "" {
		return fmt.Errorf("accord: a member needs a name")
	}
	return s.Times.Validate()
}

// MessageKind is what a message is for.
type MessageKind uint8

// The kinds of messages.
const (
	Renew       MessageKind = iota + 1 // asks the leader for a lease
	Grant                              // grants it
	Update                             // brings a standing, and no lease
	Acknowledge                        // says what the sender acts on
	Propose                            // asks the leader for a change
	Result                             // says what became of it
	Raft                               // is a message between voters' logs
	Hello                              // says who a voter is
	lastMessage
)

// Holds is what a proxy acts on, by number.
type HeldVersions struct {
	Log     uint64 `cbor:"3,keyasint,omitempty"` // see rules.Standing
	InForce uint64 `cbor:"1,keyasint"`
	Last    uint64 `cbor:"2,keyasint"`
}

// Message is what proxies say to each other about rules.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`           // who asks; of an answer, who answers
	To   string      `cbor:"3,keyasint,omitempty"` // who gets it at the end; "" for the leader
	Seq  uint64      `cbor:"4,keyasint,omitempty"`
	// Path are those who passed it on, the first one first; an answer goes back along it.
	Path       []string      `cbor:"5,keyasint,omitempty"`
	Held       HeldVersions  `cbor:"6,keyasint,omitempty"`
	Status     *rules.Status `cbor:"7,keyasint,omitempty"`
	Change     *rules.Change `cbor:"8,keyasint,omitempty"`
	Answer     *rules.Answer `cbor:"9,keyasint,omitempty"`
	Raft       []byte        `cbor:"10,keyasint,omitempty"`
	LogID      uint64        `cbor:"11,keyasint,omitempty"` // of a Hello: the id of the sender's log
	Empty      bool          `cbor:"12,keyasint,omitempty"` // of a Hello: the log holds nothing yet
	Reply      bool          `cbor:"13,keyasint,omitempty"` // of a Hello: it answers one
	Match      uint64        `cbor:"14,keyasint,omitempty"` // of a Hello: how much of the receiver's log the sender has seen
	InstanceID uint64        `cbor:"15,keyasint,omitempty"` // of who asks
	Term       uint64        `cbor:"16,keyasint,omitempty"` // of a Hello: that of the sender's log
	Form       uint8         `cbor:"17,keyasint,omitempty"` // of a Renew or Hello: which form of documents the sender understands; 0 stands for 1

	// Delta stands in a Grant or Tell in place of Standing, for those who have said that they understand it.
	Delta         *rules.Delta `cbor:"18,keyasint,omitempty"`
	AcceptsDeltas bool         `cbor:"19,keyasint,omitempty"` // of a Renew or Have: the sender understands differences and digests
	NeedsWhole    bool         `cbor:"20,keyasint,omitempty"` // of a Renew: the sender has found that it has something else than others, and needs the whole
	// Digest is of a Renew that of what the sender has, and of a Grant that of what is vouched for; 0 for none.
	Digest rules.Digest `cbor:"21,keyasint,omitempty"`
}

// mostHops bounds how often a message is passed on.
const mostHops = 3

// Sound says what is wrong with a message that has come from outside.
func (m *Message) Validate() error {
	if m.Kind == 0 || m.Kind >= lastMessage {
		return fmt.Errorf("accord: no kind of message %d", m.Kind)
	}
	for _, name := range append([]string{m.From}, m.Path...) {
		if name == "" || len(name) > rules.MaxIDBytes {
			return fmt.Errorf("accord: a name of %d bytes", len(name))
		}
	}
	if len(m.To) > rules.MaxIDBytes || len(m.Path) > mostHops {
		return fmt.Errorf("accord: passed on %d times to a name of %d bytes", len(m.Path), len(m.To))
	}
	if m.Status != nil {
		if err := m.Status.Validate(); err != nil {
			return fmt.Errorf("accord: %w", err)
		}
	}
	if m.Delta != nil {
		if err := m.Delta.Validate(); err != nil {
			return fmt.Errorf("accord: %w", err)
		}
	}
	switch {
	case m.Kind == Propose && m.Change == nil, m.Kind == Result && m.Answer == nil, m.Kind == Update && m.Status == nil && m.Delta == nil,
		m.Kind == Raft && len(m.Raft) == 0:
		return fmt.Errorf("accord: a message of kind %d with nothing in it", m.Kind)
	}
	if m.Change != nil {
		if err := m.Change.Validate(); err != nil {
			return fmt.Errorf("accord: %w", err)
		}
	}
	return nil
}

// MostMessage is the longest message, in bytes; what a standing of the greatest documents takes is far less.
const MaxMessageBytes = 4 << 20

var reading = strict.CBOR(cbor.DecOptions{
	TagsMd:          cbor.TagsForbidden,
	MaxNestedLevels: 16, MaxArrayElements: 1 << 13, MaxMapPairs: 1 << 12,
})

// Encode writes a message.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message; what it returns is Sound.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxMessageBytes {
		return nil, fmt.Errorf("accord: a message of %d bytes; %d at most", len(b), MaxMessageBytes)
	}
	m := &Message{}
	if err := reading.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("accord: %w", err)
	}
	if m.Status != nil {
		m.Status.Compact()
	}
	return m, m.Validate()
}

// Record is what a voter has to have on disk before anything that rests on it is said. A nil or empty part stays as it is.
type Record struct {
	LogID    uint64 // the id of the log; a record with another one begins a log anew
	Hard     *raftpb.HardState
	Entries  []*raftpb.Entry // replace all from the first one's index on
	Snapshot *raftpb.Snapshot
	Install  bool   // the snapshot comes from another voter, in place of all entries
	Compact  uint64 // entries up to this index are no longer needed; 0 for none
}

// Stored is what a disk holds of a voter. The zero value is that of an empty one.
type Stored struct {
	LogID    uint64
	Hard     *raftpb.HardState
	Entries  []*raftpb.Entry
	Snapshot *raftpb.Snapshot
	Rules    *rules.Status // what the proxy last acted on; also at one that is no voter
}

// Take makes a record part of what is stored, as a disk does.
func (s *Stored) Apply(r *Record) {
	if r.LogID != s.LogID {
		*s = Stored{LogID: r.LogID, Rules: s.Rules}
	}
	if r.Hard != nil {
		s.Hard = r.Hard
	}
	if r.Snapshot != nil {
		s.Snapshot = r.Snapshot
		if r.Install {
			s.Entries = nil
		}
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].GetIndex()
		keep := slices.IndexFunc(s.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		if keep < 0 {
			keep = len(s.Entries)
		}
		s.Entries = append(s.Entries[:keep:keep], r.Entries...)
	}
	if r.Compact > 0 {
		s.Entries = slices.Clone(slices.DeleteFunc(s.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= r.Compact }))
	}
}

// Basis is what a proxy may rest its acts on. It does not change; a new one takes its place.
type Basis struct {
	Log      uint64
	Version  uint64 // in force, as far as this proxy knows
	Last     uint64 // the newest that it knows
	Doc      *rules.Document
	Unleased *rules.Document // what it acts on without a lease
	// Settled is Doc where nothing is on its way, and nil otherwise: for what is not to be done twice, such as taking a number.
	Settled            *rules.Document
	Until              time.Duration // when the lease runs out
	LastUnanswered     time.Duration // when a renewal was asked for that went unanswered; below 0 for never
	AliveWindow        time.Duration // so long after Tested it is known to run
	RefuseWithoutLease bool
	NoLeaseCheck       bool // the lease is not looked at: a defence taken out
}

// Mode is on what a proxy acts.
type Mode uint8

// The modes.
const (
	Leased   Mode = iota // on rules that the voters vouch for
	Alone                // on what it knows, carefully: no voter has been heard for as long as a lease lasts
	Inactive             // on nothing: it was paused, has just started, or is to refuse
)

func (m Mode) String() string { return [...]string{"leased", "alone", "away"}[m] }

// Mode is on what a proxy acts at a moment.
func (b *Basis) Mode(now time.Duration) Mode {
	switch {
	case now <= b.Until || b.NoLeaseCheck:
		return Leased
	case !b.RefuseWithoutLease && b.LastUnanswered >= 0 && now-b.LastUnanswered <= b.AliveWindow:
		return Alone
	}
	return Inactive
}

// Rule says whether an act is allowed now. It is to be asked right before the act, whatever was decided before: a process that
// was paused in between has no lease any more.
func (b *Basis) Decide(now time.Duration, s rules.Send) rules.Decision {
	switch b.Mode(now) {
	case Leased:
		return b.Doc.Decide(s)
	case Alone:
		return b.Unleased.Decide(s)
	}
	return rules.NoLease
}

// raftMessage reads a message between logs.
func raftMessage(b []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("accord: %w", err)
	}
	return m, nil
}
