package rules

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind is the kind of a change.
type Kind uint8

// The kinds of changes.
const (
	Suspend   Kind = iota + 1 // bans Server
	Resume                    // lifts the ban of Server
	Configure                 // replaces the settings; the numbers only if it has any
	Rollback                  // restores the document of version ToVersion
	Renumber                  // replaces only the proxies' assigned numbers
	AllowDrop                 // allows lists to omit exactly the servers in Servers
)

// Change is a proposed change of the document.
type Change struct {
	// ID is drawn at random by the proposer. Two proposals with the same ID are the same change.
	ID        string        `cbor:"1,keyasint" json:"id"`
	Kind      Kind          `cbor:"2,keyasint" json:"kind"`
	Server    string        `cbor:"3,keyasint,omitempty" json:"server,omitempty"`
	Settings  *Settings     `cbor:"4,keyasint,omitempty" json:"settings,omitempty"`
	ToVersion uint64        `cbor:"5,keyasint,omitempty" json:"to,omitempty"`
	Who       string        `cbor:"6,keyasint,omitempty" json:"who"`
	Why       string        `cbor:"7,keyasint,omitempty" json:"why"`
	At        time.Duration `cbor:"8,keyasint,omitempty" json:"at"` // Unix time on the proposer's clock; informational only
	// Numbers belongs to a Renumber change, Servers to an AllowDrop change.
	Numbers map[string]int `cbor:"10,keyasint,omitempty" json:"numbers,omitempty"`
	Servers []string       `cbor:"11,keyasint,omitempty" json:"servers,omitempty"`
	// Form is the document form that a proxy must support to understand the change; 0 means 1. See CurrentForm.
	Form uint8 `cbor:"12,keyasint,omitempty" json:"form,omitempty"`
	// BaseVersion is the version that the change was made for; 0 for any. The change is rejected if it is no longer the
	// newest.
	BaseVersion uint64 `cbor:"9,keyasint,omitempty" json:"on,omitempty"`
}

// CurrentForm is the latest document form that this version of the program supports. A proxy doesn't act on a document
// of a later form, because the part that it doesn't understand forbids something. The form increases with each new kind
// of change, each new part of a document and each raised bound, as a replica must not reject what others accept. Form 2
// has higher bounds than form 1.
const CurrentForm = 2

// RequiredForm returns the form that is needed to understand the change: the form that its proposer states, or at least
// form 2 if the change exceeds the bounds of form 1.
func (c *Change) RequiredForm() uint8 {
	numbers, classes := len(c.Numbers), 0
	if c.Settings != nil {
		numbers, classes = max(numbers, len(c.Settings.Numbers)), len(c.Settings.Classes)
	}
	if numbers > maxMembersForm1 || classes > maxClassesForm1 {
		return max(c.Form, 2)
	}
	return max(c.Form, 1)
}

// maxDocumentBytes returns the bound of the size of a document under a form.
func maxDocumentBytes(form uint8) int {
	if form < 2 {
		return maxDocumentBytesForm1
	}
	return MaxDocumentBytes
}

// Validate checks a change on its own, without the state that it applies to.
func (c *Change) Validate() error {
	if err := checkText(c.ID, 64, false); err != nil {
		return fmt.Errorf("change: id: %w", err)
	}
	if err := checkText(c.Who, MaxIDBytes, true); err != nil {
		return fmt.Errorf("change: who: %w", err)
	}
	if err := checkText(c.Why, MaxReasonBytes, true); err != nil {
		return fmt.Errorf("change: why: %w", err)
	}
	switch c.Kind {
	case Suspend, Resume:
		if err := checkText(c.Server, MaxIDBytes, false); err != nil {
			return fmt.Errorf("change: backend: %w", err)
		}
	case Configure:
		if c.Settings == nil {
			return errors.New("change: no settings")
		}
		return c.Settings.Validate()
	case Rollback:
		if c.ToVersion == 0 {
			return errors.New("change: no version to go back to")
		}
	case Renumber:
		if err := checkNumbers(c.Numbers); err != nil {
			return fmt.Errorf("change: %w", err)
		}
	case AllowDrop:
		if len(c.Servers) > MaxDroppable {
			return fmt.Errorf("change: %d servers; %d at most: let go of them in parts, each once the one before is in force", len(c.Servers), MaxDroppable)
		}
		for _, id := range c.Servers {
			if err := checkText(id, MaxIDBytes, false); err != nil {
				return fmt.Errorf("change: backend %.40q: %w", id, err)
			}
		}
	default:
		return fmt.Errorf("change: no kind %d", c.Kind)
	}
	return nil
}

// Version is a numbered document together with the change that produced it.
type Version struct {
	Number uint64   `cbor:"1,keyasint" json:"version"`
	Doc    Document `cbor:"2,keyasint" json:"document"`
	Change Change   `cbor:"3,keyasint" json:"change"`

	digests partDigests // see computeDigests
	bytes   int         // the size of Doc, set when the digests are computed
}

// size returns the approximate encoded size of the version's document in bytes.
func (v *Version) size() int {
	if v.digests.whole != 0 {
		return v.bytes
	}
	return v.Doc.size()
}

// Status holds the versions that a proxy acts on: the version in force and the pending ones, each based on its
// predecessor.
type Status struct {
	// Log is an ID drawn at random when the voters' log is created. Versions of different logs are unrelated.
	Log uint64 `cbor:"5,keyasint,omitempty" json:"log"`
	// Term counts how often an operator had a single voter refound the log because the majority was permanently lost.
	Term uint64 `cbor:"6,keyasint,omitempty" json:"reign,omitempty"`
	// Form is the highest form that any change so far has required; 0 means 1.
	Form    uint8     `cbor:"7,keyasint,omitempty" json:"form,omitempty"`
	InForce Version   `cbor:"1,keyasint" json:"in_force"`
	Pending []Version `cbor:"2,keyasint,omitempty" json:"pending,omitempty"`
}

// Last returns the number of the newest version.
func (s *Status) Last() uint64 { return s.newest().Number }

// newest returns the newest version.
func (s *Status) newest() *Version {
	if n := len(s.Pending); n > 0 {
		return &s.Pending[n-1]
	}
	return &s.InForce
}

// NewerThan reports whether the status is newer than another of the same log: its newest version is later, or that is
// equal and a later version is in force.
func (s *Status) NewerThan(o *Status) bool {
	return (s.Log == o.Log || o.Log == 0) && (s.Last() > o.Last() || s.Last() == o.Last() && s.InForce.Number > o.InForce.Number)
}

// Copy returns a copy that may be passed on. The copy shares the documents, which are immutable.
func (s *Status) Copy() *Status {
	return &Status{Log: s.Log, Term: s.Term, Form: s.Form, InForce: s.InForce, Pending: slices.Clone(s.Pending)}
}

// Meet returns the meet of the version in force and all pending versions.
func (s *Status) Meet() *Document {
	met := s.InForce.Doc // a copy, as the status itself may change later
	before := &s.InForce.Doc
	for i := range s.Pending {
		doc := &s.Pending[i].Doc
		met.meet(doc, before)
		before = doc
	}
	return &met
}

// meet replaces the document by its meet with another one. Parts that other shares with its predecessor are skipped,
// because the document includes them already.
func (d *Document) meet(other, before *Document) {
	if !sameMap(other.Bans, before.Bans) {
		d.Bans = meetBans(d.Bans, other.Bans)
	}
	if !sameMap(other.Classes, before.Classes) {
		d.Classes = meetClasses(d.Classes, other.Classes)
	}
	if !sameMap(other.Numbers, before.Numbers) {
		d.Numbers = meetNumbers(d.Numbers, other.Numbers)
	}
	if !sameSlice(other.Droppable, before.Droppable) {
		d.Droppable = meetDroppable(d.Droppable, other.Droppable)
	}
	d.Quota = meetQuota(d, other)
}

// Validate checks a status that was received from another process or read from disk.
func (s *Status) Validate() error {
	if err := s.validateNumbers(); err != nil {
		return err
	}
	if err := s.InForce.validate(&Version{}); err != nil {
		return err
	}
	before := &s.InForce
	for i := range s.Pending {
		v := &s.Pending[i]
		if err := v.validate(before); err != nil {
			return err
		}
		before = v
	}
	return nil
}

// validateNumbers checks the order and the number of the versions.
func (s *Status) validateNumbers() error {
	if len(s.Pending) > MaxPending {
		return fmt.Errorf("status: %d pending versions; %d at most", len(s.Pending), MaxPending)
	}
	before := s.InForce.Number
	for i := range s.Pending {
		if number := s.Pending[i].Number; number != before+1 {
			return fmt.Errorf("status: version %d follows version %d", number, before)
		}
		before++
	}
	return nil
}

// validate checks a version. Numbers that it shares with another version, which is valid, are not checked again.
func (v *Version) validate(other *Version) error {
	if len(v.Doc.Bans) > MaxBans || len(v.Doc.Droppable) > MaxDroppable {
		return fmt.Errorf("version %d: %d bans and %d droppable servers; %d and %d at most", v.Number, len(v.Doc.Bans), len(v.Doc.Droppable), MaxBans, MaxDroppable)
	}
	if !slices.IsSorted(v.Doc.Droppable) {
		return fmt.Errorf("version %d: the droppable servers are not sorted", v.Number)
	}
	settings := v.Doc.Settings
	if sameMap(settings.Numbers, other.Doc.Numbers) {
		settings.Numbers = nil
	}
	if err := settings.Validate(); err != nil {
		return fmt.Errorf("version %d: %w", v.Number, err)
	}
	return nil
}

// Answer is the outcome of a proposal.
type Answer struct {
	ID        string `cbor:"1,keyasint" json:"id"`
	Version   uint64 `cbor:"2,keyasint,omitempty" json:"version,omitempty"` // 0 if the proposal was rejected
	Rejection string `cbor:"3,keyasint,omitempty" json:"no,omitempty"`      // the reason for a rejection
}

// State is the replicated state machine of the voters: it is the same at each voter at the same index of their log.
// Only Propose and Enforce change it.
type State struct {
	Status
	// History holds the latest versions that were in force, the oldest first, including the version in force now.
	History []Version `cbor:"3,keyasint,omitempty"`
	Answers []Answer  `cbor:"4,keyasint,omitempty"` // the latest ones, the oldest first
}

// NewState returns the state of a fleet that has agreed on nothing yet: version 1 forbids nothing.
func NewState() *State {
	first := Version{Number: 1}
	first.computeDigests(nil)
	return &State{Status: Status{InForce: first}, History: []Version{first}}
}

// Clone returns a copy that may be changed. The copy shares the documents, which are immutable.
func (s *State) Clone() *State {
	c := *s
	c.Pending, c.History, c.Answers = slices.Clone(s.Pending), slices.Clone(s.History), slices.Clone(s.Answers)
	return &c
}

// Propose adds a pending version for a change, or rejects the change. A change that was proposed before gets its
// earlier answer.
func (s *State) Propose(c *Change) Answer {
	for i := len(s.Answers) - 1; i >= 0; i-- {
		if s.Answers[i].ID == c.ID {
			return s.Answers[i]
		}
	}
	a := Answer{ID: c.ID}
	doc, err := s.apply(c)
	if err != nil {
		a.Rejection = err.Error()
	} else {
		v := Version{Number: s.Last() + 1, Doc: *doc, Change: *c}
		v.Change.Settings, v.Change.Numbers, v.Change.Servers = nil, nil, nil // the document holds them
		v.computeDigests(s.newest())
		s.Pending = append(s.Pending[:len(s.Pending):len(s.Pending)], v)
		a.Version = v.Number
		s.Form = max(s.Form, c.Form)
	}
	if s.Answers = append(s.Answers, a); len(s.Answers) > maxAnswers {
		s.Answers = slices.Clone(s.Answers[len(s.Answers)-maxAnswers:])
	}
	return a
}

// apply returns the newest document with a change applied.
//
// Its error texts, including those of Change.Validate, become part of the replicated state and must be the same at all
// voters.
func (s *State) apply(c *Change) (*Document, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if len(s.Pending) >= MaxPending {
		return nil, fmt.Errorf("%d changes are on their way; wait for them", len(s.Pending))
	}
	if c.RequiredForm() > max(c.Form, 1) {
		// An older replica rejects the change because of its bounds, and all replicas must reach the same result.
		return nil, fmt.Errorf("the change needs form %d of documents, and says that %d is enough", c.RequiredForm(), max(c.Form, 1))
	}
	if c.BaseVersion != 0 && c.BaseVersion != s.Last() {
		return nil, fmt.Errorf("made for version %d, and the newest is %d; look at it and propose again", c.BaseVersion, s.Last())
	}
	was := s.newest().Doc
	doc := was
	_, out := was.Bans[c.Server]
	switch c.Kind {
	case Suspend:
		if !out && len(was.Bans) >= MaxBans {
			return nil, fmt.Errorf("%d backends are out; no more can be", len(was.Bans))
		}
		doc.Bans = maps.Clone(was.Bans)
		if doc.Bans == nil {
			doc.Bans = map[string]Ban{}
		}
		doc.Bans[c.Server] = Ban{Who: c.Who, Why: c.Why}
	case Resume:
		if !out {
			return nil, fmt.Errorf("%q is not out", c.Server)
		}
		doc.Bans = maps.Clone(was.Bans)
		delete(doc.Bans, c.Server)
	case Configure:
		doc.Settings = *c.Settings
		if doc.Numbers == nil {
			doc.Numbers = was.Numbers // settings without numbers leave the numbers unchanged
		}
	case Renumber:
		if maps.Equal(was.Numbers, c.Numbers) {
			return nil, errors.New("these are the numbers already")
		}
		doc.Numbers = maps.Clone(c.Numbers)
	case AllowDrop:
		droppable := slices.Compact(slices.Sorted(slices.Values(c.Servers)))
		if slices.Equal(droppable, was.Droppable) {
			return nil, errors.New("lists may drop just these already")
		}
		doc.Droppable = droppable
	case Rollback:
		old, found := s.Version(c.ToVersion)
		if !found {
			return nil, fmt.Errorf("version %d is not kept; the oldest is %d", c.ToVersion, s.History[0].Number)
		}
		doc = old.Doc
	}
	if n, limit := doc.size(), maxDocumentBytes(max(s.Form, c.Form)); n > limit {
		return nil, fmt.Errorf("%d bytes of bans and settings; %d at most: lift bans that are over, or give shorter reasons", n, limit)
	}
	return &doc, nil
}

// Version returns a version by its number, from the history or the pending versions.
func (s *State) Version(number uint64) (Version, bool) {
	for _, versions := range [][]Version{s.History, s.Pending} {
		if i, found := slices.BinarySearchFunc(versions, number, compareVersions); found {
			return versions[i], true
		}
	}
	return Version{}, false
}

// Enforce brings all pending versions up to a number into force. It changes nothing and returns false if the numbered
// version is not pending.
func (s *State) Enforce(number uint64) bool {
	i, found := slices.BinarySearchFunc(s.Pending, number, compareVersions)
	if !found {
		return false
	}
	s.InForce = s.Pending[i]
	s.History = append(s.History[:len(s.History):len(s.History)], s.Pending[:i+1]...)
	s.History = slices.Clone(s.History[max(0, len(s.History)-maxHistory):])
	size := 0
	for i := len(s.History) - 1; i >= 0; i-- {
		if size += s.History[i].size(); size > maxHistoryBytes {
			s.History = s.History[i+1:]
			break
		}
	}
	s.Pending = slices.Clone(s.Pending[i+1:])
	return true
}
