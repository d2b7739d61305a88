// Package accord implements consensus on the rules of a fleet: it decides which rules each proxy applies, and when a
// proxy may no longer apply the rules that it has. It has no I/O and no clock: it takes events with their time and
// returns actions, and equal settings, seeds and events give equal actions. It is not safe for concurrent use, except
// for Basis, which is immutable.
//
// A few proxies, the voters, replicate the rules in a log that a majority of them agrees on (Raft, Ongaro and
// Ousterhout 2014; the library go.etcd.io/raft/v3, whose core does no I/O either). Every proxy holds a lease (Gray and
// Cheriton 1989) granted by the voters' leader, which names the versions that it was granted for. A change takes two
// steps: while it is pending, every proxy applies the meet of the old and the new document; it is in force once each
// proxy with a lease has acknowledged the change or its lease has expired. docs/design/accord.md gives the reasons, and
// the requirements on clocks.
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

// Times are the timeouts and intervals of the protocol. They must be the same at all proxies of a fleet.
type Times struct {
	Lease          time.Duration // duration of a lease, from the moment of the request
	Renew          time.Duration // interval between two renewals
	Heartbeat      time.Duration // interval between two messages of a leader
	Election       time.Duration // a voter starts an election after this to twice this time without a message from a leader
	RequestTimeout time.Duration // timeout of a renewal
	MaxDrift       float64       // maximum deviation of a clock's rate, as a fraction
}

// DefaultTimes returns the times for a fleet in one site.
func DefaultTimes() Times {
	return Times{
		Lease: time.Second, Renew: 250 * time.Millisecond, Heartbeat: 100 * time.Millisecond, Election: 500 * time.Millisecond,
		RequestTimeout: 150 * time.Millisecond, MaxDrift: 0.02,
	}
}

// LeaseGuard is the time, on the clock of the leader that granted a lease, after which the lease has expired on its
// holder's clock.
func (t Times) LeaseGuard() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + 2*t.MaxDrift))
}

// AliveWindow is the time after an unanswered renewal during which a proxy may assume that it has not been paused.
func (t Times) AliveWindow() time.Duration { return 4 * t.Renew }

// ConvergenceBound is the maximum time from the commit of a change until no proxy that reaches the voters or holds a
// lease acts against it, even if the leader is lost in between.
func (t Times) ConvergenceBound() time.Duration {
	// Worst case: the leader is lost right after the commit. The next one is elected within the time of two attempts,
	// waits for the leases of its predecessor to expire and reaches the proxies within one renewal, all on the slowest
	// clock.
	d := t.Election + t.LeaseGuard() + t.Renew + t.RequestTimeout
	return time.Duration(float64(d) * (1 + t.MaxDrift))
}

// Validate returns an error if the times contradict each other.
func (t Times) Validate() error {
	switch {
	case t.Renew <= 0 || t.Lease < 3*t.Renew:
		return fmt.Errorf("accord: a lease of %v with renewals every %v expires when one renewal is lost; it must be at least three times as long", t.Lease, t.Renew)
	case t.Heartbeat <= 0 || t.Election < 3*t.Heartbeat:
		return fmt.Errorf("accord: election timeout %v with heartbeats every %v; it must be at least three times as long", t.Election, t.Heartbeat)
	case t.RequestTimeout <= 0 || t.RequestTimeout > t.Renew:
		return fmt.Errorf("accord: request timeout %v; it must be above 0 and at most %v", t.RequestTimeout, t.Renew)
	case !(t.MaxDrift > 0 && t.MaxDrift <= 0.2):
		return fmt.Errorf("accord: clock drift %v; it must be above 0 and at most 0.2", t.MaxDrift)
	}
	return nil
}

// Settings configure a Core. The zero values of the switches at the end leave every safeguard on.
type Settings struct {
	Name       string   // name of this proxy
	InstanceID uint64   // drawn at random at each start: two processes of one proxy hold one lease each
	Voters     []string // names of the voters, the same at all proxies; the first one founds the log
	Times      Times
	// DeferVoter: if this proxy is a voter, StartVoter is called once its disk is available.
	DeferVoter bool
	// RefuseWithoutLease: without a lease nothing is served. Otherwise the proxy applies the rules that it knows, and
	// repeats no request.
	RefuseWithoutLease bool

	// Form is the newest form of documents that this program understands; 0 means rules.CurrentForm.
	Form uint8

	// Each switch disables one safeguard, so that a test can show that the checker finds the failure that it prevents.
	NoLeaseCheck     bool // rules are applied without a lease, however old they are
	NoPreparePhase   bool // a change is in force at once, without being pending first
	NoLeaderWait     bool // a new leader does not wait for the leases of its predecessor to expire
	NoQuorumCheck    bool // leases are granted without confirmation by a majority
	NoDigestCheck    bool // the rules of a proxy are compared with the granted ones by number alone
	NoEnforcingCheck bool // a lease may cover the versions that a proxy has although the leader has proposed to enforce later ones

	// NoDeltas: only whole statuses are sent and accepted, as by programs that predate deltas.
	NoDeltas bool
	// MaxInlineDelta is the maximum size in bytes of a delta that is sent in a grant; 0 means what fits into a
	// datagram.
	MaxInlineDelta int
}

// form is the newest form of documents that this program understands.
func (s *Settings) form() uint8 {
	if s.Form == 0 {
		return rules.CurrentForm
	}
	return s.Form
}

// Validate returns an error if the settings are invalid.
func (s *Settings) Validate() error {
	if n := len(s.Voters); n != 1 && n != 3 && n != 5 && n != 7 {
		return fmt.Errorf("accord: %d keepers; 3, 5 or 7 are allowed, and 1 for trials", n)
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

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of messages.
const (
	Renew       MessageKind = iota + 1 // requests a lease from the leader
	Grant                              // grants a lease
	Update                             // carries rules, without a lease
	Acknowledge                        // acknowledges the versions that the sender applies
	Propose                            // proposes a change to the leader
	Result                             // reports the result of a proposal
	Raft                               // carries a Raft message between two voters
	Hello                              // announces a voter and its log
	endOfKinds
)

// HeldVersions are the numbers of the versions that a proxy applies.
type HeldVersions struct {
	Log     uint64 `cbor:"3,keyasint,omitempty"` // see rules.Status
	InForce uint64 `cbor:"1,keyasint"`
	Last    uint64 `cbor:"2,keyasint"`
}

// Message is a message between proxies about rules.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`           // sender of the request or of the reply
	To   string      `cbor:"3,keyasint,omitempty"` // final recipient; "" for the leader
	Seq  uint64      `cbor:"4,keyasint,omitempty"`
	// Path lists the proxies that forwarded the request, in order; the reply takes the same path back.
	Path       []string      `cbor:"5,keyasint,omitempty"`
	Held       HeldVersions  `cbor:"6,keyasint,omitempty"`
	Status     *rules.Status `cbor:"7,keyasint,omitempty"`
	Change     *rules.Change `cbor:"8,keyasint,omitempty"`
	Answer     *rules.Answer `cbor:"9,keyasint,omitempty"`
	Raft       []byte        `cbor:"10,keyasint,omitempty"`
	LogID      uint64        `cbor:"11,keyasint,omitempty"` // in a Hello: the ID of the sender's log
	Empty      bool          `cbor:"12,keyasint,omitempty"` // in a Hello: the log is still empty
	Reply      bool          `cbor:"13,keyasint,omitempty"` // in a Hello: it replies to another Hello
	Match      uint64        `cbor:"14,keyasint,omitempty"` // in a Hello: the receiver's log index, as known to the sender
	InstanceID uint64        `cbor:"15,keyasint,omitempty"` // the requesting process
	Term       uint64        `cbor:"16,keyasint,omitempty"` // in a Hello: the term of the sender's rules, which counts refoundations
	Form       uint8         `cbor:"17,keyasint,omitempty"` // in a Renew or Hello: the newest form of documents that the sender understands; 0 means 1

	// Delta replaces Status in a Grant or Update for receivers that have announced that they understand it.
	Delta         *rules.Delta `cbor:"18,keyasint,omitempty"`
	AcceptsDeltas bool         `cbor:"19,keyasint,omitempty"` // in a Renew or Acknowledge: the sender understands deltas and digests
	NeedsWhole    bool         `cbor:"20,keyasint,omitempty"` // in a Renew: the sender found that its rules differ, and needs the whole status
	// Digest is the digest of the sender's rules in a Renew, and of the granted rules in a Grant; 0 for none.
	Digest rules.Digest `cbor:"21,keyasint,omitempty"`
}

// maxHops bounds how often a message is forwarded.
const maxHops = 3

// Validate returns an error if a message from the network is malformed.
func (m *Message) Validate() error {
	if m.Kind == 0 || m.Kind >= endOfKinds {
		return fmt.Errorf("accord: unknown message kind %d", m.Kind)
	}
	for _, name := range append([]string{m.From}, m.Path...) {
		if name == "" || len(name) > rules.MaxIDBytes {
			return fmt.Errorf("accord: a proxy name has %d bytes", len(name))
		}
	}
	if len(m.To) > rules.MaxIDBytes || len(m.Path) > maxHops {
		return fmt.Errorf("accord: message was forwarded %d times, to a name of %d bytes", len(m.Path), len(m.To))
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
		return fmt.Errorf("accord: a message of kind %d has no content", m.Kind)
	}
	if m.Change != nil {
		if err := m.Change.Validate(); err != nil {
			return fmt.Errorf("accord: %w", err)
		}
	}
	return nil
}

// MaxMessageBytes is the maximum size of a message. A status with documents of maximum size takes far less.
const MaxMessageBytes = 4 << 20

var decMode = strict.CBOR(cbor.DecOptions{
	TagsMd:          cbor.TagsForbidden,
	MaxNestedLevels: 16, MaxArrayElements: 1 << 13, MaxMapPairs: 1 << 12,
})

// Encode returns the encoding of a message.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes a message and validates it.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxMessageBytes {
		return nil, fmt.Errorf("accord: a message has %d bytes; at most %d are allowed", len(b), MaxMessageBytes)
	}
	m := &Message{}
	if err := decMode.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("accord: %w", err)
	}
	if m.Status != nil {
		m.Status.Compact()
	}
	return m, m.Validate()
}

// Record is what a voter has to write to disk before it sends anything that depends on it. A nil or empty part leaves
// the stored one unchanged.
type Record struct {
	LogID    uint64 // the ID of the log; a record with another ID starts a new log
	Hard     *raftpb.HardState
	Entries  []*raftpb.Entry // replace all stored entries from the index of the first one on
	Snapshot *raftpb.Snapshot
	Install  bool   // the snapshot comes from another voter and replaces all entries
	Compact  uint64 // entries up to this index are no longer needed; 0 for none
}

// Stored is the content of a voter's disk. The zero value is an empty disk.
type Stored struct {
	LogID    uint64
	Hard     *raftpb.HardState
	Entries  []*raftpb.Entry
	Snapshot *raftpb.Snapshot
	Rules    *rules.Status // the rules that the proxy last applied; also at proxies that are not voters
}

// Apply applies a record to the stored content, as a disk does.
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

// Basis is what a proxy's decisions are based on. It is immutable; a new Basis replaces it.
type Basis struct {
	Log      uint64
	Version  uint64 // version in force, as far as this proxy knows
	Last     uint64 // newest version that it knows
	Doc      *rules.Document
	Unleased *rules.Document // the document that applies without a lease
	// Settled is Doc if no change is pending, and nil otherwise. It serves decisions that must not be made twice, such
	// as taking a number.
	Settled            *rules.Document
	Until              time.Duration // when the lease expires
	LastUnanswered     time.Duration // when the last unanswered renewal was sent; below 0 for never
	AliveWindow        time.Duration // for this long after LastUnanswered the proxy assumes that it was not paused
	RefuseWithoutLease bool
	NoLeaseCheck       bool // the lease is ignored: a safeguard disabled for tests
}

// Mode says which rules a proxy applies.
type Mode uint8

// The modes.
const (
	Leased   Mode = iota // the rules that the lease covers
	Alone                // the known rules, restricted: no voter has renewed the lease in time
	Inactive             // none, all is refused: the proxy was paused, has just started, or is set to refuse without a lease
)

func (m Mode) String() string { return [...]string{"leased", "alone", "away"}[m] }

// Mode returns the mode at the given time.
func (b *Basis) Mode(now time.Duration) Mode {
	switch {
	case now <= b.Until || b.NoLeaseCheck:
		return Leased
	case !b.RefuseWithoutLease && b.LastUnanswered >= 0 && now-b.LastUnanswered <= b.AliveWindow:
		return Alone
	}
	return Inactive
}

// Decide decides whether a request may be sent now. It must be called immediately before the send, whatever was decided
// earlier: a process that was paused in between may have no lease anymore.
func (b *Basis) Decide(now time.Duration, s rules.Send) rules.Decision {
	switch b.Mode(now) {
	case Leased:
		return b.Doc.Decide(s)
	case Alone:
		return b.Unleased.Decide(s)
	}
	return rules.NoLease
}

// raftMessage decodes a Raft message.
func raftMessage(b []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("accord: %w", err)
	}
	return m, nil
}
