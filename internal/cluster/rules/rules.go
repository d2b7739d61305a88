// Package rules is what the proxies of a fleet act on together: a document with one version number, how it changes, which
// two documents contradict each other, and what is right under both. It has no I/O, no clock and no agreement; package
// accord brings the agreement.
//
// Everything in a document forbids. A proxy that knows more forbids more, so any two documents have a meet: what is
// allowed under it is allowed under each. That is what a proxy acts on while a change is on its way.
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

// Bounds of what is agreed. What is over them is not proposed.
const (
	MaxBans        = 1000
	MaxClasses     = 512  // with Form 2
	MaxMembers     = 4096 // with Form 2; as many as a view of the fleet keeps in mind by default
	MaxDroppable   = 1000 // servers that lists may leave out
	MaxIDBytes     = 256  // bytes of a backend's id, a class's or a member's name
	MaxReasonBytes = 200  // bytes of a reason
	// MostDocument is the bytes of texts in a document, with Form 2: a standing of 17 of those and a history fit a message of 4 MiB,
	// and 4,096 numbers for names of 24 bytes fit a document.
	MaxDocumentBytes = 160 << 10
	MaxPending       = 16      // changes on their way at one time
	mostHistory      = 64      // versions that can be gone back to
	mostKept         = 1 << 20 // bytes of texts in those
	mostAnswers      = 256     // proposals whose answers are remembered
)

// The bounds of documents of Form 1.
const (
	form1Classes  = 64
	form1Members  = 1000
	form1Document = 96 << 10
)

// Ban takes a backend out at every proxy.
type Ban struct {
	Who string `cbor:"1,keyasint" json:"who"`
	Why string `cbor:"2,keyasint" json:"why"`
}

// Class is what holds for the requests of one class. The zero value forbids nothing.
type Class struct {
	// NoRepeat: a request that may have run is not sent again, whatever the platform's file allows.
	NoRepeat bool `cbor:"1,keyasint,omitempty" json:"no_repeat,omitempty"`
	// Closed: requests are refused at once.
	Closed bool `cbor:"2,keyasint,omitempty" json:"closed,omitempty"`
}

// Every stands for all classes. What it forbids no class allows.
const AllClasses = "*"

// Settings are the part of a document that is replaced as a whole.
type Settings struct {
	Classes map[string]Class `cbor:"1,keyasint,omitempty" json:"classes,omitempty"`
	// Quota is the share of their quotas that tenants have, above 0 and up to 1; 0 stands for 1.
	Quota float64 `cbor:"2,keyasint,omitempty" json:"quota,omitempty"`
	// Numbers are the proxies' own numbers, by name. One that is not there keeps what its own file says.
	Numbers map[string]int `cbor:"3,keyasint,omitempty" json:"numbers,omitempty"`
}

// Document is all that is agreed. It is not changed once it has been handed on.
type Document struct {
	Bans     map[string]Ban `cbor:"1,keyasint,omitempty" json:"bans,omitempty"`
	Settings `cbor:"2,keyasint"`
	// Dropped are servers that lists may leave out, in order, by the word of an operator: who has held them back lets go of them.
	Droppable []string `cbor:"3,keyasint,omitempty" json:"dropped,omitempty"`
}

// size is about the bytes that a document takes.
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

// Ruling is what a document, or a proxy's lease, says of one send.
type Decision uint8

// The rulings.
const (
	Allowed  Decision = iota
	Banned            // the backend is out
	NoRepeat          // the request may have run
	Closed            // the class is closed
	NoLease           // nobody has vouched for these rules since the process was away
)

func (r Decision) String() string {
	return [...]string{"allowed", "banned", "no repeat", "closed", "no lease"}[r]
}

// Send is an act about which there are rules: one request to one backend.
type Send struct {
	Server, Class string
	MayHaveRun    bool // an earlier try of it may have run
	DropHeld      bool // the newest list leaves the backend out, and that list is held back (package lists)
}

// Ground is what a ruling rests on.
type DecisionBasis struct {
	Version uint64 // the newest that was known
	Leased  bool   // keepers vouch for it
}

// Rule says whether an act is allowed.
func (d *Document) Decide(s Send) Decision {
	if _, out := d.Bans[s.Server]; out || s.DropHeld && d.MayDrop(s.Server) {
		return Banned
	}
	of, all := d.Classes[s.Class], d.Classes[AllClasses]
	switch {
	case of.Closed || all.Closed:
		return Closed
	case s.MayHaveRun && (of.NoRepeat || all.NoRepeat):
		return NoRepeat
	}
	return Allowed
}

// MayDrop says whether a list may leave a server out.
func (d *Document) MayDrop(id string) bool {
	_, found := slices.BinarySearch(d.Droppable, id)
	return found
}

// Share is the share of their quotas that tenants have.
func (s *Settings) QuotaShare() float64 {
	if s.Quota == 0 {
		return 1
	}
	return s.Quota
}

// Meet is what is right under both: banned by either is banned, repeated only if both allow it, the smaller quota. A number
// on which they differ belongs to nobody; its holder keeps what it has and nobody else takes it.
func Meet(a, b *Document) *Document {
	if a == b {
		return a
	}
	m := &Document{Bans: meetBans(a.Bans, b.Bans), Droppable: meetDropped(a.Droppable, b.Droppable)}
	m.Classes, m.Numbers, m.Quota = meetClasses(a.Classes, b.Classes), meetNumbers(a.Numbers, b.Numbers), meetQuota(a, b)
	return m
}

// meetQuota is the smaller share, with 0 for 1.
func meetQuota(a, b *Document) float64 {
	if q := min(a.QuotaShare(), b.QuotaShare()); q < 1 {
		return q
	}
	return 0
}

// meetBans is the union of two maps; one of them itself where it holds the other.
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

// meetClasses forbids for each class what either forbids.
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

// meetNumbers are those on which both agree; one of the maps itself where it holds no others.
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

// meetDropped is the union of two ordered lists.
func meetDropped(a, b []string) []string {
	if slices.Equal(a, b) {
		return a
	}
	return slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(a), b...))))
}

// Unknowing is what a proxy acts on of which nobody vouches that it knows the latest: what it knows, and no repeat, since any
// class may have been forbidden one.
func Unleased(d *Document) *Document {
	return Meet(d, &Document{Settings: Settings{Classes: map[string]Class{AllClasses: {NoRepeat: true}}}})
}

// Breaches are the acts that one document allows and another forbids, in words; none if the first is as strict. A proxy that
// acts on the first contradicts one that acts on the second by these and no others.
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
		return found[:0] // it sends nothing
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

// Diff is what is different, in words, for people: from a to b.
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

func (c Class) String() string {
	switch {
	case c.Closed:
		return "closed"
	case c.NoRepeat:
		return "no repeat"
	}
	return "free"
}

// Check says all that is wrong with settings; each finding names its place and what may stand there.
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
	if !(s.Quota >= 0 && s.Quota <= 1) { // which is so for no NaN
		bad("quota: %v; above 0 and up to 1 is allowed (leave it out for 1)", s.Quota)
	}
	if err := checkNumbers(s.Numbers); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// checkNumbers says all that is wrong with proxies' own numbers.
func checkNumbers(numbers map[string]int) error {
	var errs []error
	bad := func(format string, a ...any) { errs = append(errs, fmt.Errorf(format, a...)) }
	if len(numbers) > MaxMembers {
		bad("number: %d of them; %d at most", len(numbers), MaxMembers)
	}
	holder := make(map[int]string, len(numbers)) // the first by name
	for name, n := range numbers {
		if other, taken := holder[n]; !taken || name < other {
			holder[n] = name
		}
	}
	var faulty []string // most have none, and are not put in order for that
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

func checkText(text string, most int, mayBeEmpty bool) error {
	switch {
	case text == "" && !mayBeEmpty:
		return errors.New("empty")
	case len(text) > most:
		return fmt.Errorf("over %d bytes", most)
	case !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl):
		return errors.New("not plain text")
	}
	return nil
}

// compareVersions orders versions by number.
func compareVersions(a Version, number uint64) int { return cmp.Compare(a.Number, number) }
