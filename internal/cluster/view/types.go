package view

import (
	"fmt"
	"time"
)

// State is a member's state in a view.
type State uint8

// The states. Of two records with the same instance ID and incarnation, the one with the later state in this order supersedes the other.
const (
	Alive   State = iota + 1
	Suspect       // it has not answered, and can refute the suspicion
	Dead          // the suspicion expired without a refutation
	Left          // it announced that it leaves
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the state's name.
func (s State) String() string {
	if !s.Known() {
		return fmt.Sprintf("state %d", uint8(s))
	}
	return stateNames[s]
}

// Known reports whether s is one of the defined states.
func (s State) Known() bool { return s >= Alive && s <= Left }

// MarshalText encodes a state as its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state from its name.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name != "" && name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("unknown state %q", text)
}

// present reports whether a member in this state counts as present in the fleet.
func (s State) present() bool { return s == Alive || s == Suspect }

// Record is one process's statement about a member. A member is identified by its name. InstanceID distinguishes starts of its
// process; it is random rather than a counter, so it needs neither persistent storage nor a clock. Incarnation grows with each
// start and each refutation.
type Record struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	InstanceID  uint64 `cbor:"2,keyasint" json:"boot"`
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"`
	State       State  `cbor:"4,keyasint" json:"state"`
	Address     string `cbor:"5,keyasint" json:"address"`
	// By is the name of the member that found this one suspect or dead; the member itself if it left.
	By string `cbor:"6,keyasint,omitempty" json:"by,omitempty"`
}

// supersedes reports whether r is a later record of its name than o. Two processes that claim one name with the same incarnation are
// ordered by their instance IDs, so that all processes decide alike.
func (r *Record) supersedes(o *Record) bool {
	switch {
	case r.Incarnation != o.Incarnation:
		return r.Incarnation > o.Incarnation
	case r.InstanceID != o.InstanceID:
		return r.InstanceID > o.InstanceID
	default:
		return r.State > o.State
	}
}

// Bounds of a record's fields; Validate rejects longer values.
const (
	MaxNameBytes    = 64 // bytes
	MaxAddressBytes = 64 // bytes
	// maxIncarnation is far above any number that refutations can reach. It guards against a sender that uses an incarnation near the
	// end of the integer range, which could not be refuted.
	maxIncarnation = 1 << 48
)

// Validate returns an error if a received record is invalid.
func (r *Record) Validate() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes:
		return fmt.Errorf("record: a name of %d bytes; 1 to %d are allowed", len(r.Name), MaxNameBytes)
	case r.Address == "" || len(r.Address) > MaxAddressBytes:
		return fmt.Errorf("record of %.64q: an address of %d bytes; 1 to %d are allowed", r.Name, len(r.Address), MaxAddressBytes)
	case len(r.By) > MaxNameBytes:
		return fmt.Errorf("record of %.64q: by %d bytes; %d at most are allowed", r.Name, len(r.By), MaxNameBytes)
	case !r.State.Known():
		return fmt.Errorf("record of %.64q: unknown state %d", r.Name, r.State)
	case r.Incarnation > maxIncarnation:
		return fmt.Errorf("record of %.64q: incarnation %d is over %d", r.Name, r.Incarnation, uint64(maxIncarnation))
	}
	return nil
}

// size returns an upper bound of a record's encoded size in bytes.
func (r *Record) size() int { return len(r.Name) + len(r.Address) + len(r.By) + 30 }

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping Kind = iota + 1 // requests an Ack with the same Seq
	Ack
	Request // requests a ping of Target, and that its Ack is relayed
	Gossip  // carries updates and requests nothing
	lastKind
)

// Known reports whether k is one of the defined kinds. Kinds that a newer version adds are not known.
func (k Kind) Known() bool { return k >= Ping && k < lastKind }

// Message is one datagram.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint,omitempty"`
	// From is the sender's record of itself; in a relayed Ack, that of the member that answered.
	From Record `cbor:"3,keyasint"`
	// Digest is the digest of the sender's view; see View.digest.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Target is the member that a Request asks to ping.
	Target  *Record  `cbor:"5,keyasint,omitempty"`
	Updates []Record `cbor:"6,keyasint,omitempty"`
	// Relayed marks an Ack that a third member passes on; the digest and the record in From are not those of the datagram's sender.
	Relayed bool `cbor:"7,keyasint,omitempty"`
}

// Validate returns an error if a received message is invalid.
func (m *Message) Validate() error {
	if !m.Kind.Known() {
		return fmt.Errorf("message: unknown kind %d", m.Kind)
	}
	if err := m.From.Validate(); err != nil {
		return fmt.Errorf("from: %w", err)
	}
	if m.Kind == Request && m.Target == nil {
		return fmt.Errorf("request without a target")
	}
	if m.Target != nil {
		if err := m.Target.Validate(); err != nil {
			return fmt.Errorf("target: %w", err)
		}
	}
	for i := range m.Updates {
		if err := m.Updates[i].Validate(); err != nil {
			return fmt.Errorf("update %d: %w", i, err)
		}
	}
	return nil
}

// Why is the reason for a change of the view. The texts appear in the log.
type Why string

// The reasons for a change.
const (
	Joined       Why = "joined"           // it was unknown before
	Returned     Why = "has started anew" // another instance of a known name
	Unresponsive Why = "did not answer"   // it did not answer this process
	Reported     Why = "told"             // Record.By names the member that reported it
	Expired      Why = "nobody refuted"   // a suspicion expired
	Refuted      Why = "refuted"          // it announced that it is alive
	Leaving      Why = "said that it goes"
	Displaced    Why = "its name is another's" // of this process: another process has its name
	Retaken      Why = "its name is free"      // of this process, after Displaced
	Duplicate    Why = "another process goes by this name"
	Paused       Why = "was away" // this process was delayed for so long that its view may be outdated
)

// Change is one change of the view.
type Change struct {
	Record
	Was State // 0 if it was unknown
	Why Why
}

// Host carries out a view's actions. Its methods are called from within the view's methods and must not call back.
type Host interface {
	// Send sends a datagram to an address; it may be lost. The host owns the message afterwards.
	Send(to string, m *Message)
	// Exchange sends Table to an address over a reliable transport and passes the reply to Merge; on an error it does not call Merge.
	Exchange(to string)
	// Changed reports changes of the view, in order.
	Changed(Change)
}

// Settings configure a view. The zero values of the switches at the end leave every defence on.
type Settings struct {
	Name       string // of this member
	Address    string // where other members reach it
	InstanceID uint64 // drawn at random at each start
	// Period is the time between two probes; all other times derive from it.
	Period     time.Duration
	Seeds      []string // addresses of some members
	MaxMembers int      // members in the view, gone ones included

	// Each switch disables one defence, so that its effect can be measured.
	NoIndirect            bool // no indirect probes
	NoSuspicion           bool // a member that does not answer is dead at once
	NoHealth              bool // no local health score
	NoSuspectPings        bool // suspects are not pinged and learn of the suspicion only from other messages
	NoDigest              bool // digests do not start exchanges
	NoDeadPings           bool // dead members are not pinged
	NoWidening            bool // one probe in a period, also after failures
	NoFalseSuspicionLimit bool // refuted suspicions do not reduce the probe width
	NoEarlyConfirmation   bool // suspicions always last the longest timeout, regardless of confirmations
}

// Validate returns an error if the settings are invalid.
func (s *Settings) Validate() error {
	self := Record{Name: s.Name, Address: s.Address, State: Alive}
	switch err := self.Validate(); {
	case err != nil:
		return fmt.Errorf("view: %w", err)
	case s.Period <= 0:
		return fmt.Errorf("view: period %v is not positive", s.Period)
	case s.MaxMembers < 2:
		return fmt.Errorf("view: a maximum of %d members leaves none but this process", s.MaxMembers)
	}
	return nil
}

// Member is one member in a Snapshot.
type Member struct {
	Record
	Since time.Duration // when it entered its state, on the clock that the view's methods are called with
	Self  bool
}

// Snapshot is a copy of a view's state at one time.
type Snapshot struct {
	Self    Record
	Members []Member // sorted by name; includes this process and gone members
	// Settled reports that no member is suspect, the view has not changed for stablePeriods, the digests last received match, and this
	// process is not displaced.
	Settled bool
	// Displaced reports that another process has this process's name, and that other members see that process.
	Displaced bool
	// Duplicate is the other process with this process's name, if one has sent a message recently.
	Duplicate *Record
	Health    int    // local health score; 0 is healthy
	Digest    uint64 // of the present members
	Rejected  int    // records that were rejected because the view was full
}

// Addresses returns the addresses of all members by name, dead ones included, since they may still be reachable, and the names of the
// present members.
func (s *Snapshot) Addresses() (all map[string]string, living []string) {
	all = make(map[string]string, len(s.Members))
	for i := range s.Members {
		m := &s.Members[i]
		all[m.Name] = m.Address
		if m.State.present() {
			living = append(living, m.Name)
		}
	}
	return all, living
}
