// Package state keeps what one proxy knows for its next start: backends that were taken out by hand, and what it has learned. It is
// two files in a folder of this proxy alone.
//
//	bans      a log: what is out as a whole, then each change. A change holds once it has returned.
//	learned   what the proxy knew some seconds ago, replaced whole or not at all.
//
// No file keeps a proxy from starting: a torn end is cut, and what is broken, another proxy's or a later version's is put aside
// under another name and told. Memory is bounded by the files' bounds. A Store works on its files while it is called; a Keeper
// does so from a goroutine of its own, so that no disk is ever waited for by what serves.
package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brasswell/internal/handover"
	"brasswell/internal/sealed"
	"brasswell/internal/strict"
)

const (
	bansFile    = "bans"
	learnedFile = "learned"
	next        = ".next" // of a file that is to take another's place

	// form is that of both files. A later one is not read; there is no earlier one.
	form = 1
	// MostBans ids are kept.
	MaxBans = 4096
	// MostID is the longest, in bytes.
	MaxIDBytes = 256
	// mostLearned and mostChange bound a file's pieces, in bytes.
	mostLearned = 64 << 20
	mostChange  = 4 << 20
	// mostChanges are appended before the log is begun anew.
	mostChanges = 1024
	// mostAside files of one name are kept aside; the oldest makes room.
	mostAside = 3
)

// Owner says whose files they are.
type Owner struct {
	Form int    `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"` // of the proxy
}

// Stamp is when something was written, by all the clocks that there are. None of them is trusted alone: see Age.
type Stamp struct {
	Wall    time.Duration `cbor:"1,keyasint"` // Unix time
	Machine string        `cbor:"2,keyasint"` // the id of the machine's start
	Running time.Duration `cbor:"3,keyasint"` // since then, sleep included
}

// Age is how long ago something was written.
type Age struct {
	// Least and Most bound it. Most is Unknown where no clock can be believed: after a power loss a machine's clock may be years off.
	Min, Max time.Duration
}

// Unknown is longer than any age.
const UnknownAge = time.Duration(1<<63 - 1)

// Since is how old something is now. Within one start of the machine that is exact. Across starts at least the time since this
// start has passed; the wall clock's word is taken for the most only where it is possible.
func AgeOf(written, now Stamp) Age {
	if written.Machine != "" && written.Machine == now.Machine && now.Running >= written.Running {
		d := now.Running - written.Running
		return Age{d, d}
	}
	a := Age{Min: now.Running, Max: UnknownAge}
	if wall := now.Wall - written.Wall; wall >= a.Min && written.Wall > 0 {
		a.Max = wall
	}
	return a
}

// Learned is what a proxy knew at a moment: the same as what a process hands over to the next at an upgrade.
type Learned struct {
	Owner     Owner          `cbor:"1,keyasint"`
	Written   Stamp          `cbor:"2,keyasint"`
	Knowledge handover.State `cbor:"3,keyasint"`
	// Demand is what callers asked for, in requests a second, by class name.
	Demand map[string]float64 `cbor:"4,keyasint,omitempty"`
}

// change is a piece of the bans' log.
type change struct {
	Owner *Owner   `cbor:"1,keyasint,omitempty"` // of the first piece alone
	All   []string `cbor:"2,keyasint,omitempty"` // of the first piece: all that are out
	ID    string   `cbor:"3,keyasint,omitempty"`
	Out   bool     `cbor:"4,keyasint,omitempty"`
}

// Found is what a folder held at a start.
type Contents struct {
	Bans    []string // in order
	Learned *Learned // nil for none
	// Trouble is what was not as it should be, for people; what was put aside is named.
	Problems []string
}

var reading = strict.CBOR(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16})

// Store is a folder's files. It is not safe for concurrent use.
type Store struct {
	files FS
	own   Owner
	bans  map[string]bool
	log   File // nil where the next change begins the log anew
	count int  // of changes in it
}

// Open reads a folder's files and mends what it can. It does not fail: where the folder cannot be read or written, Found says so
// and each write does.
func Open(files FS, name string) (*Store, *Contents) {
	s := &Store{files: files, own: Owner{form, name}, bans: map[string]bool{}}
	f := &Contents{}
	s.openBans(f)
	f.Bans = slices.Sorted(maps.Keys(s.bans))
	s.openLearned(f)
	return s, f
}

func (s *Store) openBans(f *Contents) {
	text, err := s.files.ReadFile(bansFile)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil { // the next change begins the log anew, and must not take the place of what may be read another day
		s.aside(f, bansFile, fmt.Errorf("it cannot be read, so bans by hand from before are not known: %w", err))
		return
	}
	bans, whole, rest, err := readBans(text, s.own)
	switch {
	case errors.Is(err, errNotMine):
		s.aside(f, bansFile, err)
	case err != nil:
		// What stands behind the broken place was acknowledged too, and is kept; the next change writes all anew.
		s.bans = bans
		s.aside(f, bansFile, fmt.Errorf("%w; %d bans were saved from it", err, len(bans)))
		if err := s.begin(); err != nil {
			f.tell("the bans that were saved cannot be written: %v", err)
		}
	default:
		s.bans = bans
		if rest > 0 { // an end that was torn: nobody was told that it holds
			f.tell("the end of the bans' log was torn: %d bytes of a change that nobody was told of are cut off", rest)
			err = s.files.Truncate(bansFile, int64(whole))
		}
		if err == nil && whole > 0 {
			s.log, err = s.files.Append(bansFile)
		}
		if err != nil {
			s.log = nil // the next change begins it anew
		}
	}
}

var errNotMine = errors.New("another proxy's, or of another version of the program")

// readBans reads a log. whole is how many bytes of it make sense from its beginning on, and rest what stands behind them. An error
// is errNotMine, or says that something in the middle is broken; bans are then all that could be made out.
func readBans(text []byte, own Owner) (bans map[string]bool, whole, rest int, err error) {
	bans = map[string]bool{}
	first, broken, budget := true, false, hashMost
	take := func(piece []byte) error {
		var c change
		if err := reading.Unmarshal(piece, &c); err != nil {
			return err
		}
		if c.Owner != nil {
			if *c.Owner != own {
				return fmt.Errorf("%w: it is %q's, of form %d", errNotMine, c.Owner.Name, c.Owner.Form)
			}
			clear(bans)
			for _, id := range c.All {
				bans[id] = true
			}
		} else if first && !broken { // behind a broken beginning a change is worth saving: to ban too much is the smaller harm
			return errors.New("no beginning")
		} else if c.Out {
			bans[c.ID] = true
		} else {
			delete(bans, c.ID)
		}
		first = false
		return nil
	}
	for at := 0; at < len(text); {
		piece, err := sealed.Read(bytes.NewReader(text[at:]), mostChange)
		if err == nil {
			err = take(piece)
			if errors.Is(err, errNotMine) {
				return nil, 0, len(text), err
			}
		}
		if err == nil {
			at += sealed.HeaderBytes + len(piece)
			if !broken {
				whole = at
			}
			continue
		}
		// Whether this is a torn end or a broken middle shows in whether a whole piece stands behind it.
		at = nextPiece(text, at+1, &budget)
		if at < len(text) {
			broken = true
		}
	}
	if broken || first && len(text) > 0 {
		return bans, whole, len(text) - whole, fmt.Errorf("broken at byte %d", whole)
	}
	return bans, whole, len(text) - whole, nil
}

// Behind a broken place pieces of up to mostSaved bytes are looked for, which changes are, and no more than hashMost bytes are hashed
// for that: a start must not hang on a file that somebody has filled with what looks like beginnings of pieces.
const (
	mostSaved = 1 << 10
	hashMost  = 16 << 20
)

// nextPiece looks for a whole piece from a place on; the end of text if there is none. budget is how much may still be hashed.
func nextPiece(text []byte, from int, budget *int) int {
	for ; from+sealed.HeaderBytes < len(text) && *budget > 0; from++ {
		length := int(binary.BigEndian.Uint32(text[from:]))
		if length == 0 || length > mostSaved || length > len(text)-from-sealed.HeaderBytes {
			continue
		}
		*budget -= length
		if _, err := sealed.Read(bytes.NewReader(text[from:]), mostSaved); err == nil {
			return from
		}
	}
	return len(text)
}

func (s *Store) openLearned(f *Contents) {
	text, err := s.files.ReadFile(learnedFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return
	case err != nil:
		f.tell("what was learned before cannot be read: %v", err)
		return
	}
	l, err := readLearned(text)
	if err == nil && l.Owner != s.own {
		err = fmt.Errorf("%w: it is %q's, of form %d", errNotMine, l.Owner.Name, l.Owner.Form)
	}
	if err != nil {
		s.aside(f, learnedFile, err)
		return
	}
	f.Learned = l
}

func readLearned(text []byte) (*Learned, error) {
	r := bytes.NewReader(text)
	piece, err := sealed.Read(r, mostLearned)
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("torn: %w", err)
	}
	if r.Len() > 0 {
		return nil, fmt.Errorf("%d bytes too many", r.Len())
	}
	l := &Learned{}
	if err := reading.Unmarshal(piece, l); err != nil {
		return nil, err
	}
	return l, nil
}

func (f *Contents) tell(format string, a ...any) {
	f.Problems = append(f.Problems, fmt.Sprintf(format, a...))
}

// aside puts a file that is not to be used under another name.
func (s *Store) aside(f *Contents, name string, why error) {
	names, err := s.files.Names()
	if err != nil {
		f.tell("%s is not used (%v), and cannot be put aside: %v", name, why, err)
		return
	}
	to := ""
	for i := 1; i <= mostAside && to == ""; i++ {
		if candidate := fmt.Sprintf("%s.aside-%d", name, i); !slices.Contains(names, candidate) {
			to = candidate
		}
	}
	if to == "" { // the first of them was the first trouble, and tells most; the last makes room
		to = fmt.Sprintf("%s.aside-%d", name, mostAside)
	}
	if err := s.files.Rename(name, to); err != nil {
		f.tell("%s is not used (%v), and cannot be put aside: %v", name, why, err)
		return
	}
	f.tell("%s is not used, and was put aside as %s: %v", name, to, why)
}

// Ban makes a change by hand last. Once it has returned without an error it is there after a power loss. After an error it may be or
// not, and the next change writes all anew.
func (s *Store) Ban(id string, out bool) error {
	if len(id) > MaxIDBytes {
		return fmt.Errorf("state: an id of %d bytes; %d at most", len(id), MaxIDBytes)
	}
	if out && !s.bans[id] && len(s.bans) >= MaxBans {
		return fmt.Errorf("state: %d backends are out; no more are kept", len(s.bans))
	}
	was := s.bans[id]
	if out {
		s.bans[id] = true
	} else {
		delete(s.bans, id)
	}
	if s.log == nil || s.count >= mostChanges {
		return s.begin()
	}
	if was == out {
		return nil // it is there already: whoever began the log or appended has had a yes, or the log is begun anew
	}
	text, err := piece(change{ID: id, Out: out})
	if err == nil {
		if _, err = s.log.Write(text); err == nil {
			err = s.log.Sync()
		}
	}
	if err != nil {
		// What stands in the file now nobody knows, also after a later sync that works (an error is told once).
		s.drop()
		return fmt.Errorf("state: %w", err)
	}
	s.count++
	return nil
}

func piece(c change) ([]byte, error) {
	text, err := cbor.Marshal(c)
	if err != nil {
		return nil, err
	}
	return sealed.Append(nil, text), nil
}

func (s *Store) drop() {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
}

// begin begins the log anew with all that is out.
func (s *Store) begin() error {
	s.drop()
	text, err := piece(change{Owner: &s.own, All: slices.Sorted(maps.Keys(s.bans))})
	if err == nil {
		err = s.replace(bansFile, text)
	}
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if s.log, err = s.files.Append(bansFile); err != nil {
		s.log = nil // it holds; the next change begins it anew
	}
	s.count = 0
	return nil
}

// replace writes a file whole or not at all.
func (s *Store) replace(name string, text []byte) error {
	f, err := s.files.Create(name + next)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = s.files.Rename(name+next, name)
	}
	if err == nil {
		err = s.files.SyncDir()
	}
	return err
}

// Save makes what was learned last, in place of what was there.
func (s *Store) Save(l *Learned) error {
	own := *l
	own.Owner = s.own
	text, err := cbor.Marshal(&own)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if len(text) > mostLearned {
		return fmt.Errorf("state: %d bytes of what was learned; %d at most", len(text), mostLearned)
	}
	if err := s.replace(learnedFile, sealed.Append(make([]byte, 0, sealed.HeaderBytes+len(text)), text)); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// Bans are the backends that are out, in order.
func (s *Store) Bans() []string { return slices.Sorted(maps.Keys(s.bans)) }

// Close lets go of the files.
func (s *Store) Close() { s.drop() }
