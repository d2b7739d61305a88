package hollow

import "time"

// Request is what a host is asked by the process that started it: one JSON object a line. Just one part beside the ID is set.
type Request struct {
	ID        uint64         `json:"id"`
	Configure *Fleet         `json:"configure,omitempty"` // once, before all others
	Start     *Start         `json:"start,omitempty"`
	Stop      *Stop          `json:"stop,omitempty"`
	Living    *Living        `json:"living,omitempty"`
	Cut       *Cut           `json:"cut,omitempty"`
	Propose   *Propose       `json:"propose,omitempty"`
	Sample    *SampleRequest `json:"sample,omitempty"`
	Spread    *SpreadRequest `json:"spread,omitempty"`
	Usage     *UsageRequest  `json:"usage,omitempty"`
	Document  *MemberName    `json:"document,omitempty"`
}

// Reply is a host's answer to the request with its ID. Error is set where that could not be done.
type Reply struct {
	ID       uint64    `json:"id"`
	Error    string    `json:"error,omitempty"`
	Proposal *Proposal `json:"proposal,omitempty"`
	Sample   *Sample   `json:"sample,omitempty"`
	Spread   []Spread  `json:"spread,omitempty"`
	Usage    *Usage    `json:"usage,omitempty"`
	Document *Document `json:"document,omitempty"`
}

// Fleet is what all members of a run have in common.
type Fleet struct {
	Name    string        `json:"name"`
	Layout  Layout        `json:"layout"`
	Seeds   []string      `json:"seeds"` // addresses that members ask first
	Voters  []string      `json:"voters"`
	Lease   time.Duration `json:"lease"`
	Period  time.Duration `json:"period"`
	Numbers bool          `json:"numbers"` // the leader deals out the members' own numbers
	Seed    uint64        `json:"seed"`
}

// Spec is one member to be started.
type Spec struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    int    `json:"zone"`
	Boot    uint64 `json:"boot"`
	Folder  string `json:"folder,omitempty"` // of a voter; other members keep nothing on disk
}

// Start starts members, one after another.
type Start struct {
	Members []Spec        `json:"members"`
	Every   time.Duration `json:"every"` // between two; 0 for all at once
}

// Stop ends members at once; they say nothing to others.
type Stop struct {
	Names []string `json:"names"`
}

// Boot is one start of a member.
type Boot struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"` // 0 for any
}

// Living says which members of the run live, and which do no more, so that a host can tell a false death.
type Living struct {
	Up   []Boot   `json:"up,omitempty"`
	Down []string `json:"down,omitempty"`
}

// Cut cuts a region off, or heals that.
type Cut struct {
	Region int  `json:"region"`
	Heal   bool `json:"heal,omitempty"`
}

// ChangeKind is what a proposed change does.
type ChangeKind string

// The kinds of changes.
const (
	Ban       ChangeKind = "ban"       // takes a backend out
	Configure ChangeKind = "configure" // replaces the classes' settings
)

// Propose has a member propose a change.
type Propose struct {
	At      string        `json:"at"` // the member
	Kind    ChangeKind    `json:"kind"`
	Backend string        `json:"backend,omitempty"`
	Classes []string      `json:"classes,omitempty"`
	Within  time.Duration `json:"within"` // for so long an answer is waited for
}

// Proposal is what became of a proposed change. Version is 0 where it was not agreed, and No says why.
type Proposal struct {
	ProposedNS int64  `json:"proposed_ns"` // Unix time, as all times that end in NS
	Version    uint64 `json:"version"`
	No         string `json:"no,omitempty"`
}

// SampleRequest asks how a host's members stand.
type SampleRequest struct{}

// Sample is how a host's members stand. Counts go up from the host's start, with those of members that are stopped.
type Sample struct {
	Living        int            `json:"living"`
	Leased        int            `json:"leased"`
	Joined        int            `json:"joined"`          // living ones that have had a lease since their start
	JoinedNS      int64          `json:"joined_ns"`       // when the last of them had its first
	Lost          int            `json:"lost"`            // leases of members that live and can be reached
	FalseDeaths   int            `json:"false_deaths"`    // of living members that can be reached, by how many members
	Views         map[uint64]int `json:"views"`           // how many members hold a set of present members, by the set's Digest
	ViewChangedNS int64          `json:"view_changed_ns"` // when the last of them changed
	Leader        string         `json:"leader,omitempty"`
	Elected       []int64        `json:"elected,omitempty"` // when members here came to lead
	// Versions are the lowest and the highest number that living members act on, and the highest that is known.
	LowVersion  uint64 `json:"low_version"`
	HighVersion uint64 `json:"high_version"`
	LastVersion uint64 `json:"last_version"`
	MemoryB     uint64 `json:"rss_bytes"`
}

// Change is a change whose spread is asked for.
type Change struct {
	Version    uint64 `json:"version"`
	ProposedNS int64  `json:"proposed_ns"`
}

// SpreadRequest asks for how changes have spread among the members that have been there since before the proposal: that have had a
// lease in this start. CutOff asks for those members that were cut off when it was proposed or before they acted on it; otherwise
// for the rest.
type SpreadRequest struct {
	Changes []Change `json:"changes"`
	CutOff  bool     `json:"cut_off,omitempty"`
}

// Spread is how a change has spread among a host's members.
type Spread struct {
	Version  uint64 `json:"version"`
	Members  int    `json:"members"` // that count
	Known    int    `json:"known"`
	Acting   int    `json:"acting"`    // that act on it alone
	KnownNS  int64  `json:"known_ns"`  // when the last knew it
	ActingNS int64  `json:"acting_ns"` // when the last acted on it alone
}

// UsageRequest asks for what the process and each member have used.
type UsageRequest struct{}

// Usage is what a host has used since its start.
type Usage struct {
	CPU     time.Duration `json:"cpu"`
	MemoryB uint64        `json:"rss_bytes"`
	Members []MemberUsage `json:"members"`
}

// MemberUsage is what a member has sent and received since its start.
type MemberUsage struct {
	Name          string `json:"name"`
	Boot          uint64 `json:"boot"`
	Leads         bool   `json:"leads,omitempty"`
	Sent          int64  `json:"sent"`
	SentBytes     int64  `json:"sent_bytes"`
	Received      int64  `json:"received"`
	ReceivedBytes int64  `json:"received_bytes"`
	Dropped       int64  `json:"dropped"`
}

// MemberName names a member.
type MemberName struct {
	Name string `json:"name"`
}

// Document is the size of what a member acts on.
type Document struct {
	Version uint64 `json:"version"`
	Bans    int    `json:"bans"`
	Classes int    `json:"classes"`
	Numbers int    `json:"numbers"`
	SizeB   int    `json:"size_bytes"`
}
