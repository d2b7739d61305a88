// Package rules defines the rules that the proxies of a fleet enforce together: a document with one version number, the
// changes to it, the contradictions between two documents, and what both of them allow. The package has no I/O, no clock
// and no consensus protocol; package accord provides the consensus.
//
// Every entry of a document forbids something, so a proxy that knows more entries forbids more. Any two documents
// therefore have a meet (greatest lower bound): whatever the meet allows, both documents allow. A proxy acts on the
// meet while a change is pending.
package rules

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a document and of a change. A change that exceeds them is rejected.
const (
	MaxBans        = 1000
	MaxClasses     = 512  // under form 2
	MaxMembers     = 4096 // under form 2; the default bound of a view of the fleet
	MaxDroppable   = 1000 // servers that discovery lists may omit
	MaxIDBytes     = 256  // of a backend's ID, a class name or a member name
	MaxReasonBytes = 200  // of a reason
	// MaxDocumentBytes bounds the texts in a document, under form 2. A status with 17 such documents and a history fits
	// into a message of 4 MiB, and 4,096 numbers for names of 24 bytes fit into a document.
	MaxDocumentBytes = 160 << 10
	MaxPending       = 16      // changes pending at one time
	maxHistory       = 64      // versions that a rollback can restore
	maxHistoryBytes  = 1 << 20 // of the texts in the history
	maxAnswers       = 256     // proposals whose answers are kept, to recognize repeated proposals
)

// The bounds of documents of form 1.
const (
	maxClassesForm1       = 64
	maxMembersForm1       = 1000
	maxDocumentBytesForm1 = 96 << 10
)

// Ban removes a backend from use at every proxy.
type Ban struct {
	Who string `cbor:"1,keyasint" json:"who"`
	Why string `cbor:"2,keyasint" json:"why"`
}

// Class holds the rules for the requests of one class. The zero value forbids nothing.
type Class struct {
	// NoRepeat forbids sending a request again that may have run, even where the platform's file allows it.
	NoRepeat bool `cbor:"1,keyasint,omitempty" json:"no_repeat,omitempty"`
	// Closed makes a proxy reject all requests of the class immediately.
	Closed bool `cbor:"2,keyasint,omitempty" json:"closed,omitempty"`
}

// AllClasses applies to all classes; the entry of a single class cannot allow what it forbids.
const AllClasses = "*"

// Settings is the part of a document that a Configure change replaces as a whole.
type Settings struct {
	Classes map[string]Class `cbor:"1,keyasint,omitempty" json:"classes,omitempty"`
	// Quota is the share of their configured quotas that tenants get, above 0 and up to 1; 0 means 1.
	Quota float64 `cbor:"2,keyasint,omitempty" json:"quota,omitempty"`
	// Numbers assigns a number to each proxy, by name. A proxy that is absent keeps the number of its own file.
	Numbers map[string]int `cbor:"3,keyasint,omitempty" json:"numbers,omitempty"`
}

// Document is the complete set of agreed rules. It is immutable once it has been passed on.
type Document struct {
	Bans     map[string]Ban `cbor:"1,keyasint,omitempty" json:"bans,omitempty"`
	Settings `cbor:"2,keyasint"`
	// Droppable holds, sorted, the servers that lists may omit because an operator allowed it. A proxy that still uses
	// such a server, although a list held for confirmation omits it, stops using it.
	Droppable []string `cbor:"3,keyasint,omitempty" json:"dropped,omitempty"`
}

// size returns the approximate encoded size of the document in bytes.
func (d *Document) size() (n int) {
	const each = 16
	for id, b := range d.Bans {
		n += len(id) + len(b.Who) + len(b.Why) + each
	}
	for name := range d.Classes {
		n += len(name) + each
	}
	for name := range d.Numbers {
		n += len(name) + each
	}
	for _, id := range d.Droppable {
		n += len(id) + each
	}
	return n
}

// Decision is the result of checking one send against a document or a proxy's lease.
type Decision uint8

// The possible decisions.
const (
	Allowed  Decision = iota
	Banned            // the backend is banned
	NoRepeat          // the request may have run
	Closed            // the class is closed to requests
	NoLease           // there is no lease, and the process has just started, was paused or is set to refuse
)

// String returns the decision in words.
func (r Decision) String() string {
	return [...]string{"allowed", "banned", "no repeat", "closed", "no lease"}[r]
}

// Send describes the action that rules apply to: sending one request to one backend.
type Send struct {
	Server, Class string
	MayHaveRun    bool // an earlier attempt of the request may have run
	DropHeld      bool // the newest list omits the backend and is held for confirmation (package lists)
}

// DecisionBasis says which rules a decision is based on.
type DecisionBasis struct {
	Version uint64 // the newest known version
	Leased  bool   // the proxy held a lease from the voters
}

// Decide reports whether a send is allowed.
func (d *Document) Decide(s Send) Decision {
	if _, out := d.Bans[s.Server]; out || s.DropHeld && d.MayDrop(s.Server) {
		return Banned
	}
	class, all := d.Classes[s.Class], d.Classes[AllClasses]
	switch {
	case class.Closed || all.Closed:
		return Closed
	case s.MayHaveRun && (class.NoRepeat || all.NoRepeat):
		return NoRepeat
	}
	return Allowed
}

// MayDrop reports whether a list may omit a server.
func (d *Document) MayDrop(id string) bool {
	_, found := slices.BinarySearch(d.Droppable, id)
	return found
}

// QuotaShare returns the share of their configured quotas that tenants get.
func (s *Settings) QuotaShare() float64 {
	if s.Quota == 0 {
		return 1
	}
	return s.Quota
}

// Meet returns the document that forbids what either document forbids: it holds the bans of both, allows repeated sends
// only if both allow them, and has the smaller quota. It assigns no number where the two differ: the present holder
// keeps its number, and no other proxy takes it.
func Meet(a, b *Document) *Document {
	if a == b {
		return a
	}
	m := &Document{Bans: meetBans(a.Bans, b.Bans), Droppable: meetDroppable(a.Droppable, b.Droppable)}
	m.Classes, m.Numbers, m.Quota = meetClasses(a.Classes, b.Classes), meetNumbers(a.Numbers, b.Numbers), meetQuota(a, b)
	return m
}

// meetQuota returns the smaller quota share, with 0 for 1.
func meetQuota(a, b *Document) float64 {
	if q := min(a.QuotaShare(), b.QuotaShare()); q < 1 {
		return q
	}
	return 0
}

// meetBans returns the union of two maps. If one map contains all keys of the other, it is returned itself, without a
// copy.
func meetBans(a, b map[string]Ban) map[string]Ban {
	if len(a) < len(b) {
		a, b = b, a
	}
	met, copied := a, false
	for id, ban := range b {
		if _, known := met[id]; known {
			continue
		}
		if !copied {
			met, copied = maps.Clone(met), true
		}
		met[id] = ban
	}
	return met
}

// meetClasses returns, for each class, a rule that forbids what either of the maps forbids.
func meetClasses(a, b map[string]Class) map[string]Class {
	if maps.Equal(a, b) {
		return a
	}
	met := maps.Clone(a)
	if met == nil {
		met = map[string]Class{}
	}
	for name, c := range b {
		o := met[name]
		met[name] = Class{NoRepeat: c.NoRepeat || o.NoRepeat, Closed: c.Closed || o.Closed}
	}
	return met
}

// meetNumbers returns the entries that are equal in both maps. If the maps are equal, a is returned without a copy.
func meetNumbers(a, b map[string]int) map[string]int {
	if sameMap(a, b) || maps.Equal(a, b) {
		return a
	}
	var met map[string]int
	for name, n := range a {
		if other, known := b[name]; known && other == n {
			if met == nil {
				met = make(map[string]int, len(a))
			}
			met[name] = n
		}
	}
	return met
}

// meetDroppable returns the union of two sorted lists.
func meetDroppable(a, b []string) []string {
	if slices.Equal(a, b) {
		return a
	}
	return slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(a), b...))))
}

// Unleased returns the rules for a proxy without a lease, which may not know the newest document: the rules that it
// knows, with no repeated sends, because a newer document may forbid them for any class.
func Unleased(d *Document) *Document {
	return Meet(d, &Document{Settings: Settings{Classes: map[string]Class{AllClasses: {NoRepeat: true}}}})
}

// Breaches describes the actions that one document allows and the other forbids; there are none if the first is at
// least as strict. A proxy that acts on the first document contradicts a proxy that acts on the second by these actions
// only.
func Breaches(acts, forbids *Document) []string {
	var found []string
	for _, id := range slices.Sorted(maps.Keys(forbids.Bans)) {
		if _, out := acts.Bans[id]; !out {
			found = append(found, "sends to "+id)
		}
	}
	for _, id := range forbids.Droppable {
		if _, out := acts.Bans[id]; !out && !acts.MayDrop(id) {
			found = append(found, "holds "+id)
		}
	}
	all, strict := acts.Classes[AllClasses], forbids.Classes[AllClasses]
	if all.Closed {
		return found[:0] // the proxy sends nothing
	}
	if strict.NoRepeat && !all.NoRepeat {
		found = append(found, "repeats")
	}
	if strict.Closed {
		found = append(found, "serves every class")
	}
	for _, name := range slices.Sorted(maps.Keys(forbids.Classes)) {
		a, f := acts.Classes[name], forbids.Classes[name]
		if name == AllClasses || a.Closed {
			continue
		}
		if f.NoRepeat && !a.NoRepeat && !all.NoRepeat {
			found = append(found, "repeats "+name)
		}
		if f.Closed {
			found = append(found, "serves "+name)
		}
	}
	if acts.QuotaShare() > forbids.QuotaShare() {
		found = append(found, fmt.Sprintf("gives quotas of %v", acts.QuotaShare()))
	}
	holders := map[int]string{}
	for name, n := range forbids.Numbers {
		holders[n] = name
	}
	for _, name := range slices.Sorted(maps.Keys(acts.Numbers)) {
		if h, taken := holders[acts.Numbers[name]]; taken && h != name {
			found = append(found, fmt.Sprintf("%s has %s's number %d", name, h, acts.Numbers[name]))
		}
	}
	return found
}

// Diff describes the differences from a to b for operators.
func Diff(a, b *Document) []string {
	var d []string
	for _, id := range slices.Sorted(maps.Keys(b.Bans)) {
		if _, was := a.Bans[id]; !was {
			d = append(d, fmt.Sprintf("+ %s is out (%s: %s)", id, b.Bans[id].Who, b.Bans[id].Why))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(a.Bans)) {
		if _, is := b.Bans[id]; !is {
			d = append(d, "- "+id+" is out")
		}
	}
	for _, id := range b.Droppable {
		if !a.MayDrop(id) {
			d = append(d, "+ lists may drop "+id)
		}
	}
	for _, id := range a.Droppable {
		if !b.MayDrop(id) {
			d = append(d, "- lists may drop "+id)
		}
	}
	names := maps.Clone(a.Classes)
	if names == nil {
		names = map[string]Class{}
	}
	maps.Copy(names, b.Classes)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if was, is := a.Classes[name], b.Classes[name]; was != is {
			d = append(d, fmt.Sprintf("~ class %s: %s, was %s", name, is, was))
		}
	}
	if a.QuotaShare() != b.QuotaShare() {
		d = append(d, fmt.Sprintf("~ quota: %v, was %v", b.QuotaShare(), a.QuotaShare()))
	}
	numbers := maps.Clone(a.Numbers)
	if numbers == nil {
		numbers = map[string]int{}
	}
	maps.Copy(numbers, b.Numbers)
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		was, had := a.Numbers[name]
		is, has := b.Numbers[name]
		switch {
		case !has:
			d = append(d, fmt.Sprintf("- number %d of %s", was, name))
		case !had:
			d = append(d, fmt.Sprintf("+ number %d of %s", is, name))
		case was != is:
			d = append(d, fmt.Sprintf("~ number %d of %s, was %d", is, name, was))
		}
	}
	return d
}

// String returns the rules of the class in words.
func (c Class) String() string {
	switch {
	case c.Closed:
		return "closed"
	case c.NoRepeat:
		return "no repeat"
	}
	return "free"
}

// Validate returns all errors in the settings. Each error names the faulty entry and the allowed values.
func (s *Settings) Validate() error {
	var errs []error
	bad := func(format string, a ...any) { errs = append(errs, fmt.Errorf(format, a...)) }
	if len(s.Classes) > MaxClasses {
		bad("class: %d of them; %d at most", len(s.Classes), MaxClasses)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		if err := checkText(name, MaxIDBytes, false); err != nil {
			bad("class %.40q: %w", name, err)
		}
	}
	if !(s.Quota >= 0 && s.Quota <= 1) { // this form rejects NaN too
		bad("quota: %v; above 0 and up to 1 is allowed (leave it out for 1)", s.Quota)
	}
	if err := checkNumbers(s.Numbers); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// checkNumbers returns all errors in the proxies' assigned numbers.
func checkNumbers(numbers map[string]int) error {
	var errs []error
	bad := func(format string, a ...any) { errs = append(errs, fmt.Errorf(format, a...)) }
	if len(numbers) > MaxMembers {
		bad("number: %d of them; %d at most", len(numbers), MaxMembers)
	}
	holder := make(map[int]string, len(numbers)) // by number; the first name in alphabetical order
	for name, n := range numbers {
		if other, taken := holder[n]; !taken || name < other {
			holder[n] = name
		}
	}
	var faulty []string // usually empty, so only the faulty names are sorted
	for name, n := range numbers {
		if n < 0 || holder[n] != name || checkText(name, MaxIDBytes, false) != nil {
			faulty = append(faulty, name)
		}
	}
	slices.Sort(faulty)
	for _, name := range faulty {
		n := numbers[name]
		if err := checkText(name, MaxIDBytes, false); err != nil {
			bad("number of %.40q: %w", name, err)
		}
		if n < 0 {
			bad("number of %s: %d is below 0", name, n)
		}
		if other := holder[n]; other != name {
			bad("number of %s: %d is %s's; no two may have one", name, n, other)
		}
	}
	return errors.Join(errs...)
}

func checkText(text string, maxBytes int, mayBeEmpty bool) error {
	switch {
	case text == "" && !mayBeEmpty:
		return errors.New("empty")
	case len(text) > maxBytes:
		return fmt.Errorf("over %d bytes", maxBytes)
	case !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl):
		return errors.New("not plain text")
	}
	return nil
}

// compareVersions compares a version's number, for a binary search.
func compareVersions(a Version, number uint64) int { return cmp.Compare(a.Number, number) }
