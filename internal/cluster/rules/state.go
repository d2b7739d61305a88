package rules

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind is what a change does.
type Kind uint8

// The kinds of changes.
const (
	Suspend   Kind = iota + 1 // takes Server out
	Resume                    // puts Server back
	Configure                 // replaces the settings
	Rollback                  // takes the settings and bans of version To again
	Renumber                  // replaces the proxies' own numbers alone
	AllowDrop                 // lets lists leave Servers out, and no others
)

// Change is one proposal.
type Change struct {
	// ID is drawn at random by who proposes; one that comes twice is one change.
	ID        string        `cbor:"1,keyasint" json:"id"`
	Kind      Kind          `cbor:"2,keyasint" json:"kind"`
	Server    string        `cbor:"3,keyasint,omitempty" json:"server,omitempty"`
	Settings  *Settings     `cbor:"4,keyasint,omitempty" json:"settings,omitempty"`
	ToVersion uint64        `cbor:"5,keyasint,omitempty" json:"to,omitempty"`
	Who       string        `cbor:"6,keyasint,omitempty" json:"who"`
	Why       string        `cbor:"7,keyasint,omitempty" json:"why"`
	At        time.Duration `cbor:"8,keyasint,omitempty" json:"at"` // Unix time by who proposed, for people only
	// Numbers are those of a Number, Servers those of a Drop.
	Numbers map[string]int `cbor:"10,keyasint,omitempty" json:"numbers,omitempty"`
	Servers []string       `cbor:"11,keyasint,omitempty" json:"servers,omitempty"`
	// Form is that of documents which is needed to understand the change; 0 stands for 1. See Form.
	Form uint8 `cbor:"12,keyasint,omitempty" json:"form,omitempty"`
	// On is the version that the change was made for; 0 for any. Where another came meanwhile it is turned away.
	BaseVersion uint64 `cbor:"9,keyasint,omitempty" json:"on,omitempty"`
}

// Form is the form of documents that this version of the program understands. A proxy acts on no document of a later one: what it
// does not understand forbids something. It grows with each kind of change, with each part of a document, and with each bound of
// one, as a replica must not turn away what others take. Form 2 has greater bounds than Form 1.
const CurrentForm = 2

// Needs is the form that is needed to understand a change: what its proposer says, or a later one for what goes beyond the bounds
// of Form 1.
func (c *Change) RequiredForm() uint8 {
	numbers, classes := len(c.Numbers), 0
	if c.Settings != nil {
		numbers, classes = max(numbers, len(c.Settings.Numbers)), len(c.Settings.Classes)
	}
	if numbers > form1Members || classes > form1Classes {
		return max(c.Form, 2)
	}
	return max(c.Form, 1)
}

// mostDocument is the bytes of texts that a document may hold under a form.
func mostDocument(form uint8) int {
	if form < 2 {
		return form1Document
	}
	return MaxDocumentBytes
}

// Check says what is wrong with a change before it is proposed.
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

// Version is a document with what made it.
type Version struct {
	Number uint64   `cbor:"1,keyasint" json:"version"`
	Doc    Document `cbor:"2,keyasint" json:"document"`
	Change Change   `cbor:"3,keyasint" json:"change"`

	digests partDigests // see computeDigests
	bytes   int         // the size of Doc, once the digests are computed
}

// size is about the bytes that a version's document takes.
func (v *Version) size() int {
	if v.digests.whole != 0 {
		return v.bytes
	}
	return v.Doc.size()
}

// Standing is what a proxy has to act on: the version in force, and those on their way, each made on the one before.
type Status struct {
	// Log is drawn when the keepers' log is founded. Versions of two logs have nothing to do with each other.
	Log uint64 `cbor:"5,keyasint,omitempty" json:"log"`
	// Reign counts how often operators had one keeper go on alone, in place of a majority that was lost for good.
	Term uint64 `cbor:"6,keyasint,omitempty" json:"reign,omitempty"`
	// Form is the latest that any change until now has needed; 0 stands for 1.
	Form    uint8     `cbor:"7,keyasint,omitempty" json:"form,omitempty"`
	InForce Version   `cbor:"1,keyasint" json:"in_force"`
	Pending []Version `cbor:"2,keyasint,omitempty" json:"pending,omitempty"`
}

// Last is the number of the newest version.
func (s *Status) Last() uint64 { return s.newest().Number }

// newest is the newest version.
func (s *Status) newest() *Version {
	if n := len(s.Pending); n > 0 {
		return &s.Pending[n-1]
	}
	return &s.InForce
}

// NewerThan says whether a standing has more than another of the same log: a version more, or one more of them in force.
func (s *Status) NewerThan(o *Status) bool {
	return (s.Log == o.Log || o.Log == 0) && (s.Last() > o.Last() || s.Last() == o.Last() && s.InForce.Number > o.InForce.Number)
}

// Share is a copy that may be handed on; documents are shared, as they do not change.
func (s *Status) Copy() *Status {
	return &Status{Log: s.Log, Term: s.Term, Form: s.Form, InForce: s.InForce, Pending: slices.Clone(s.Pending)}
}

// Meet is what is right under the version in force and all that are on their way.
func (s *Status) Meet() *Document {
	met := s.InForce.Doc // the standing itself may change
	before := &s.InForce.Doc
	for i := range s.Pending {
		doc := &s.Pending[i].Doc
		met.meet(doc, before)
		before = doc
	}
	return &met
}

// meet makes a document that of what is right under it and another one, of which the parts that it shares with the one before it are
// in there already.
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
		d.Droppable = meetDropped(d.Droppable, other.Droppable)
	}
	d.Quota = meetQuota(d, other)
}

// Sound says what is wrong with a standing that has come from outside.
func (s *Status) Validate() error {
	if err := s.soundNumbers(); err != nil {
		return err
	}
	if err := s.InForce.sound(&Version{}); err != nil {
		return err
	}
	before := &s.InForce
	for i := range s.Pending {
		v := &s.Pending[i]
		if err := v.sound(before); err != nil {
			return err
		}
		before = v
	}
	return nil
}

// soundNumbers says what is wrong with the order of a standing's versions.
func (s *Status) soundNumbers() error {
	if len(s.Pending) > MaxPending {
		return fmt.Errorf("standing: %d versions on their way; %d at most", len(s.Pending), MaxPending)
	}
	before := s.InForce.Number
	for i := range s.Pending {
		if number := s.Pending[i].Number; number != before+1 {
			return fmt.Errorf("standing: version %d after %d", number, before)
		}
		before++
	}
	return nil
}

// sound says what is wrong with a version. Numbers that it shares with another one, which is sound, are not looked at again.
func (v *Version) sound(other *Version) error {
	if len(v.Doc.Bans) > MaxBans || len(v.Doc.Droppable) > MaxDroppable {
		return fmt.Errorf("version %d: %d bans, %d dropped; %d and %d at most", v.Number, len(v.Doc.Bans), len(v.Doc.Droppable), MaxBans, MaxDroppable)
	}
	if !slices.IsSorted(v.Doc.Droppable) {
		return fmt.Errorf("version %d: dropped servers out of order", v.Number)
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

// Answer is what became of a proposal.
type Answer struct {
	ID        string `cbor:"1,keyasint" json:"id"`
	Version   uint64 `cbor:"2,keyasint,omitempty" json:"version,omitempty"` // 0 where it was turned away
	Rejection string `cbor:"3,keyasint,omitempty" json:"no,omitempty"`      // why
}

// State is what the keepers hold, each the same at the same place of their log. It changes by Propose and Enforce alone.
type State struct {
	Status
	// History holds the last versions that were in force, the oldest first, the one in force now included.
	History []Version `cbor:"3,keyasint,omitempty"`
	Answers []Answer  `cbor:"4,keyasint,omitempty"` // the last ones, the oldest first
}

// NewState is a fleet's before anything was agreed: version 1 forbids nothing.
func NewState() *State {
	first := Version{Number: 1}
	first.computeDigests(nil)
	return &State{Status: Status{InForce: first}, History: []Version{first}}
}

// Clone is a copy that may be changed; documents are shared, as they do not change.
func (s *State) Clone() *State {
	c := *s
	c.Pending, c.History, c.Answers = slices.Clone(s.Pending), slices.Clone(s.History), slices.Clone(s.Answers)
	return &c
}

// Propose makes a change a version on its way, or turns it away. A change that came before has its answer again.
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
		v.Change.Settings, v.Change.Numbers, v.Change.Servers = nil, nil, nil // they are the document's
		v.computeDigests(s.newest())
		s.Pending = append(s.Pending[:len(s.Pending):len(s.Pending)], v)
		a.Version = v.Number
		s.Form = max(s.Form, c.Form)
	}
	if s.Answers = append(s.Answers, a); len(s.Answers) > mostAnswers {
		s.Answers = slices.Clone(s.Answers[len(s.Answers)-mostAnswers:])
	}
	return a
}

// apply is the newest document with a change made.
func (s *State) apply(c *Change) (*Document, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if len(s.Pending) >= MaxPending {
		return nil, fmt.Errorf("%d changes are on their way; wait for them", len(s.Pending))
	}
	if c.RequiredForm() > max(c.Form, 1) {
		// An older replica turns it away for its bounds, and all must come to the same.
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
			doc.Numbers = was.Numbers // a file that names none leaves them as they are
		}
	case Renumber:
		if maps.Equal(was.Numbers, c.Numbers) {
			return nil, errors.New("these are the numbers already")
		}
		doc.Numbers = maps.Clone(c.Numbers)
	case AllowDrop:
		dropped := slices.Compact(slices.Sorted(slices.Values(c.Servers)))
		if slices.Equal(dropped, was.Droppable) {
			return nil, errors.New("lists may drop just these already")
		}
		doc.Droppable = dropped
	case Rollback:
		old, found := s.Version(c.ToVersion)
		if !found {
			return nil, fmt.Errorf("version %d is not kept; the oldest is %d", c.ToVersion, s.History[0].Number)
		}
		doc = old.Doc
	}
	if n, most := doc.size(), mostDocument(max(s.Form, c.Form)); n > most {
		return nil, fmt.Errorf("%d bytes of bans and settings; %d at most: lift bans that are over, or give shorter reasons", n, most)
	}
	return &doc, nil
}

// Version is one that was in force, or is on its way.
func (s *State) Version(number uint64) (Version, bool) {
	for _, of := range [][]Version{s.History, s.Pending} {
		if i, found := slices.BinarySearchFunc(of, number, compareVersions); found {
			return of[i], true
		}
	}
	return Version{}, false
}

// Enforce brings all versions up to a number into force. One that is no longer on its way changes nothing.
func (s *State) Enforce(number uint64) bool {
	i, found := slices.BinarySearchFunc(s.Pending, number, compareVersions)
	if !found {
		return false
	}
	s.InForce = s.Pending[i]
	s.History = append(s.History[:len(s.History):len(s.History)], s.Pending[:i+1]...)
	s.History = slices.Clone(s.History[max(0, len(s.History)-mostHistory):])
	kept := 0
	for i := len(s.History) - 1; i >= 0; i-- {
		if kept += s.History[i].size(); kept > mostKept {
			s.History = s.History[i+1:]
			break
		}
	}
	s.Pending = slices.Clone(s.Pending[i+1:])
	return true
}
