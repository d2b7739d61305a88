// Package result is what one scale run has measured, as the file that `brasswell scale --format json` writes and `brasswell scale
// fit` reads. It has no I/O but for reading and writing such files.
package result

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Version of the files that this program writes and reads.
const Version = 1

// Run is one scale run.
type Run struct {
	Version  int      `json:"version"`
	Settings Settings `json:"settings"`
	Host     Host     `json:"host"`
	Roles    []Usage  `json:"roles"`
	// HostCost is nil in files from before it was measured; where the other hosts have one hollow member each, or none; and where the
	// member that is measured alone has not lived through the measured part.
	HostCost *HostCost `json:"host_cost,omitempty"`
	Changes  []Phase   `json:"changes"`
	Views    Views     `json:"views"`
	Leases   Leases    `json:"leases"`
	Service  *Service  `json:"service,omitempty"` // nil without real proxies
	// Trouble is what went wrong with the run itself, for people. Interrupted: it was ended before its time.
	Trouble     []string `json:"trouble,omitempty"`
	Interrupted bool     `json:"interrupted,omitempty"`
}

// Settings are what the run was asked for.
type Settings struct {
	Members   int     `json:"members"` // in all: voters, hollow members and real proxies
	Real      int     `json:"real"`    // of these, processes of the whole program
	Voters    int     `json:"voters"`  // of these, in processes of their own
	Regions   int     `json:"regions"`
	Zones     int     `json:"zones"`
	RTTMS     float64 `json:"rtt_ms"` // round trip between regions
	Event     string  `json:"event"`
	LengthS   float64 `json:"length_s"` // of the measured part
	LeaseS    float64 `json:"lease_s"`
	PeriodMS  float64 `json:"period_ms"`
	Seed      uint64  `json:"seed"`
	Bans      int     `json:"bans"`    // in the document
	Classes   int     `json:"classes"` // in the document
	Numbers   int     `json:"numbers"` // in the document, as the measured part began
	DocumentB int     `json:"document_bytes"`
}

// Host is the machine and the program that measured.
type Host struct {
	Cores   int     `json:"cores"`
	MemoryB uint64  `json:"memory_bytes"`
	Go      string  `json:"go"`
	Commit  string  `json:"commit,omitempty"`
	Load    float64 `json:"load"` // processor time of all processes of the run, in cores, over the measured part
}

// Quantiles are those of a sample; all are 0 where Count is.
type Quantiles struct {
	Count  int     `json:"count"`
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Worst  float64 `json:"worst"`
}

// Role is what a process or a member does in the run.
type Role string

// The roles.
const (
	Member Role = "member" // hollow: the view and the agreement of a proxy, no requests
	Proxy  Role = "proxy"  // a process of the whole program under load
	Leader Role = "leader" // the voter that leads, a process of its own
	Voter  Role = "voter"  // the other voters, each a process of its own
)

// Usage is what the members of one role have used over the measured part; rates are by second and member.
type Usage struct {
	Role             Role      `json:"role"`
	Members          int       `json:"members"`
	Processes        int       `json:"processes"` // of hollow members without the host of HostCost
	CPU              Quantiles `json:"cpu_cores"` // processor time a second; of hollow members the host's over its members, without the host of HostCost
	Memory           Quantiles `json:"rss_bytes"` // resident; as CPU
	MessagesSent     Quantiles `json:"messages_sent"`
	MessagesReceived Quantiles `json:"messages_received"`
	BytesSent        Quantiles `json:"bytes_sent"`
	BytesReceived    Quantiles `json:"bytes_received"`
	Dropped          int64     `json:"dropped"` // by all, over a bound of the program's own
}

// HostCost is what a process that hosts hollow members costs. One member of the run has a host of its own, and shares none with
// others. A host of n members is taken to use Fixed + n times Member, so Fixed and Member follow from that host and from the mean of
// the others. As differences of measurements either may be below 0 in a run that is short or small.
type HostCost struct {
	OneMember Cost `json:"one_member"` // of the host with one member, as measured
	Fixed     Cost `json:"fixed"`      // of a host without its members
	Member    Cost `json:"member"`     // of each member that a host has
}

// Cost is what a process, or a part of one, uses over the measured part.
type Cost struct {
	CPU    float64 `json:"cpu_cores"` // processor time a second
	Memory float64 `json:"rss_bytes"` // resident, at the end of the measured part
}

// Phase is a set of changes that were proposed in one manner, such as one alone or 60 at one a second.
type Phase struct {
	Name     string `json:"name"`
	Proposed int    `json:"proposed"`
	Agreed   int    `json:"agreed"`
	Never    int    `json:"never"` // agreed, and not in force at all reachable members when the run ended
	// InForceS is from the proposal until the last member that lives and can be reached acts on it alone; KnownS until the last one knows it.
	InForceS Quantiles `json:"in_force_s"`
	KnownS   Quantiles `json:"known_s"`
	// HealedS is from the end of a cut until the last member that was cut off acts on all changes.
	HealedS *float64 `json:"healed_s,omitempty"`
}

// Views is how the members' views of who is there have fared.
type Views struct {
	FalseDeaths int      `json:"false_deaths"` // a living member that can be reached was held dead, by how many in all
	RightS      *float64 `json:"right_s"`      // from the event until all views are right; nil if never
	// DeadRightS is the same from the deaths, in runs in which the dead return; RightS is then from their return.
	DeadRightS *float64 `json:"dead_right_s,omitempty"`
	Wrong      int      `json:"wrong"` // members whose view is wrong at the end
}

// Leases is how many members held one.
type Leases struct {
	Members    int      `json:"members"`    // that live at the end
	Held       int      `json:"held"`       // of these, who hold one at the end
	LeastShare float64  `json:"least"`      // the smallest share of living members with one at any sample after the start
	LostAwake  int      `json:"lost"`       // how often a living, reachable member lost its lease over the measured part
	AllAfterS  *float64 `json:"all_held_s"` // from the start of all until all hold one; nil if never
	Elections  int      `json:"elections"`  // over the measured part
}

// Service is what the real proxies served meanwhile.
type Service struct {
	Asked      int64   `json:"asked"`
	Served     int64   `json:"served"`
	Share      float64 `json:"share"`
	RulesKept  bool    `json:"rules_kept"`
	RulesBroke string  `json:"rules_broke,omitempty"`
}

// Read reads a run's file.
func Read(r io.Reader) (*Run, error) {
	run := &Run{}
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(run); err != nil {
		return nil, fmt.Errorf("scale run: %w", err)
	}
	if run.Version != Version {
		return nil, fmt.Errorf("scale run: version %d; this program reads %d: measure it again", run.Version, Version)
	}
	return run, nil
}

// Write writes a run's file.
func (r *Run) Write(w io.Writer) error {
	var text bytes.Buffer
	e := json.NewEncoder(&text)
	e.SetIndent("", " ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("scale run: %w", err)
	}
	_, err := w.Write(text.Bytes())
	return err
}
