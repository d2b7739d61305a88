package view

import (
	"fmt"
	"time"
)

// State is what is held of a member.
type State uint8

// The states. Of two records of one start and one incarnation the later state in this order stands.
const (
	Alive   State = iota + 1
	Suspect       // it has not answered, and may say that it lives
	Dead          // it has not answered for as long as a suspicion lasts
	Left          // it said that it goes
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

func (s State) String() string {
	if !s.Known() {
		return fmt.Sprintf("state %d", uint8(s))
	}
	return stateNames[s]
}

// Known says whether it is one of the states.
func (s State) Known() bool { return s >= Alive && s <= Left }

// MarshalText writes a state as people read it.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state as MarshalText writes it.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name != "" && name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("no state %q", text)
}

// present says whether a member in this state counts as one of the fleet.
func (s State) present() bool { return s == Alive || s == Suspect }

// Record is what one process says of a member. A member is known by its name; Boot tells one start of its process from
// another, and is drawn, not counted: neither a lasting folder nor a clock is needed for it. Incarnation grows with each
// start and each refutation.
type Record struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	InstanceID  uint64 `cbor:"2,keyasint" json:"boot"`
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"`
	State       State  `cbor:"4,keyasint" json:"state"`
	Address     string `cbor:"5,keyasint" json:"address"`
	// By is who found it suspect or dead, by name; itself where it left.
	By string `cbor:"6,keyasint,omitempty" json:"by,omitempty"`
}

// supersedes says whether r is later news of its name than o. Two processes that claim one name with one incarnation are
// told apart by their boots, in the same way everywhere.
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

// Bounds of what a record may hold; what is longer is no record.
const (
	MaxNameBytes    = 64 // bytes
	MaxAddressBytes = 64 // bytes
	// mostIncarnation is far more than refutations can reach. It guards against one who names a number near the end of
	// the range, after which nothing could be refuted.
	maxIncarnation = 1 << 48
)

// Sound says what is wrong with a record that has come from outside.
func (r *Record) Validate() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes:
		return fmt.Errorf("record: a name of %d bytes; 1 to %d are allowed", len(r.Name), MaxNameBytes)
	case r.Address == "" || len(r.Address) > MaxAddressBytes:
		return fmt.Errorf("record of %.64q: an address of %d bytes; 1 to %d are allowed", r.Name, len(r.Address), MaxAddressBytes)
	case len(r.By) > MaxNameBytes:
		return fmt.Errorf("record of %.64q: by %d bytes; %d at most are allowed", r.Name, len(r.By), MaxNameBytes)
	case !r.State.Known():
		return fmt.Errorf("record of %.64q: no state %d", r.Name, r.State)
	case r.Incarnation > maxIncarnation:
		return fmt.Errorf("record of %.64q: incarnation %d is over %d", r.Name, r.Incarnation, uint64(maxIncarnation))
	}
	return nil
}

// size is an upper bound of a record's bytes in a datagram.
func (r *Record) size() int { return len(r.Name) + len(r.Address) + len(r.By) + 30 }

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Ping Kind = iota + 1 // asks for an Ack with the same Seq
	Ack
	Request // asks to ping Target, and to pass its Ack on
	Gossip  // carries news and asks for nothing
	lastKind
)

// Known says whether it is one of the kinds. Of a newer version's further kinds nothing is understood.
func (k Kind) Known() bool { return k >= Ping && k < lastKind }

// Message is one datagram.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint,omitempty"`
	// From is the sender of itself; in an Ack that is passed on, the one that answered.
	From Record `cbor:"3,keyasint"`
	// Digest is that of the sender's view: see View.digest.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Target is whom a Request is about.
	Target  *Record  `cbor:"5,keyasint,omitempty"`
	Updates []Record `cbor:"6,keyasint,omitempty"`
	// Relayed marks an Ack that a third one passes on; its digest and address say nothing of who sent the datagram.
	Relayed bool `cbor:"7,keyasint,omitempty"`
}

// Sound says what is wrong with a message that has come from outside.
func (m *Message) Validate() error {
	if !m.Kind.Known() {
		return fmt.Errorf("message: no kind %d", m.Kind)
	}
	if err := m.From.Validate(); err != nil {
		return fmt.Errorf("from: %w", err)
	}
	if m.Kind == Request && m.Target == nil {
		return fmt.Errorf("request: no target")
	}
	if m.Target != nil {
		if err := m.Target.Validate(); err != nil {
			return fmt.Errorf("target: %w", err)
		}
	}
	for i := range m.Updates {
		if err := m.Updates[i].Validate(); err != nil {
			return fmt.Errorf("news %d: %w", i, err)
		}
	}
	return nil
}

// Why is why a view has changed.
type Why string

// The reasons for a change.
const (
	Joined       Why = "joined"           // unknown until now
	Returned     Why = "has started anew" // another start under a known name
	Unresponsive Why = "did not answer"   // found by this process itself
	Reported     Why = "told"             // by whom, says By
	Expired      Why = "nobody refuted"   // a suspicion ran out
	Refuted      Why = "refuted"          // it says that it lives
	Leaving      Why = "said that it goes"
	Displaced    Why = "its name is another's" // of this process: another one goes by its name
	Retaken      Why = "its name is free"      // of this process, after that
	Duplicate    Why = "another process goes by this name"
	Paused       Why = "was away" // this process, for so long that what it believed may be over
)

// Change is one change of the view.
type Change struct {
	Record
	Was State // 0 if it was unknown
	Why Why
}

// Host carries out what a view decides. Its methods are called from within the view's own and must not call back.
type Host interface {
	// Send sends a datagram to an address; it may be lost. The message is the host's from then on.
	Send(to string, m *Message)
	// Exchange sends Table to an address by a reliable way and gives Merge what comes back, or calls nothing.
	Exchange(to string)
	// Changed tells of a change of the view, in order.
	Changed(Change)
}

// Settings are what a view is told. The zero values of the switches at the end leave every defence on.
type Settings struct {
	Name       string // of this member
	Address    string // where others reach it
	InstanceID uint64 // drawn at random at each start
	// Period is between two probes; all other times follow from it.
	Period     time.Duration
	Seeds      []string // addresses of some members
	MaxMembers int      // members that are held, remembered ones included

	// Each takes one defence out, so that what it brings can be measured.
	NoIndirect            bool // no probes through others
	NoSuspicion           bool // who does not answer is dead at once
	NoHealth              bool // no doubt in oneself
	NoSuspectPings        bool // suspects are not asked by themselves; they hear of it by chance
	NoDigest              bool // views are not compared
	NoDeadPings           bool // the dead are not asked whether they live
	NoWidening            bool // one probe a period, also after failures
	NoFalseSuspicionLimit bool // refuted suspicions do not make it ask less widely
	NoEarlyConfirmation   bool // suspicions last their longest, whoever confirms them
}

// Validate says what is wrong with the settings.
func (s *Settings) Validate() error {
	self := Record{Name: s.Name, Address: s.Address, State: Alive}
	switch err := self.Validate(); {
	case err != nil:
		return fmt.Errorf("view: %w", err)
	case s.Period <= 0:
		return fmt.Errorf("view: a period of %v is not above 0", s.Period)
	case s.MaxMembers < 2:
		return fmt.Errorf("view: %d members at most are too few to see anybody", s.MaxMembers)
	}
	return nil
}

// Member is one member as a view holds it.
type Member struct {
	Record
	Since time.Duration // when it came into its state, of the clock that events are told with
	Self  bool
}

// Standing is how a view stands.
type Snapshot struct {
	Self    Record
	Members []Member // by name, this process among them; remembered ones too
	// Settled: nothing is in doubt, nothing has changed for some periods, and those last heard from hold the same.
	Settled bool
	// Displaced: another process goes by this one's name, and others see that one.
	Displaced bool
	// Duplicate is the other process that goes by this one's name, if one has been heard of lately.
	Duplicate *Record
	Health    int    // 0 for well; how much this process doubts itself
	Digest    uint64 // of who is there
	Rejected  int    // records that were not taken for want of room
}

// Addresses are those of all members by name, of the dead too, since they may be reached all the same; and living are the names of
// those that are there.
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
