// Package state saves the state of one proxy for its next start: the backends that the operator took out, and what the proxy has
// learned. The state is two files in a folder of this proxy alone.
//
//	bans      a log: first all bans, then each change. A change is durable once the call that makes it has returned.
//	learned   a snapshot of what the proxy knew some seconds ago, replaced atomically.
//
// No file prevents a proxy from starting: a torn end is cut off, and a file that is corrupt, of another proxy or of a later version is
// renamed and reported. The limits on file sizes limit the memory. A Store accesses its files within its calls; a Writer does so in its
// own goroutine, so that request handling never waits for a disk.
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
	tempSuffix  = ".next" // suffix of a file that will replace another

	// formatVersion is the format of both files. Later formats are not read; there is no earlier one.
	formatVersion = 1
	// MaxBans is how many bans are kept.
	MaxBans = 4096
	// MaxIDBytes is the maximum length of an id.
	MaxIDBytes = 256
	// maxLearnedBytes and maxRecordBytes limit the records in the two files.
	maxLearnedBytes = 64 << 20
	maxRecordBytes  = 4 << 20
	// maxLogChanges is how many changes are appended before the log is rewritten.
	maxLogChanges = 1024
	// maxSetAside is how many unusable files of one name are kept; a further one replaces the last of them.
	maxSetAside = 3
)

// Owner identifies the proxy and the format of a file.
type Owner struct {
	Form int    `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"` // name of the proxy
}

// Stamp is the time of a write on all available clocks. None of them is trusted alone: see AgeOf.
type Stamp struct {
	Wall    time.Duration `cbor:"1,keyasint"` // Unix time
	Machine string        `cbor:"2,keyasint"` // the kernel's boot id
	Running time.Duration `cbor:"3,keyasint"` // time since the boot, including suspend
}

// Age is the time since a write.
type Age struct {
	// Min and Max are its bounds. Max is UnknownAge if no clock can be trusted: after a power loss a machine's clock may be years off.
	Min, Max time.Duration
}

// UnknownAge is longer than any age.
const UnknownAge = time.Duration(1<<63 - 1)

// AgeOf returns the age of a write. Within one boot of the machine it is exact. Across boots, the minimum is the time since the current
// boot, and the wall clock gives the maximum only if it does not contradict that minimum.
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

// Learned is a snapshot of what a proxy knows: the same state that a process hands over to its successor at an upgrade.
type Learned struct {
	Owner     Owner          `cbor:"1,keyasint"`
	Written   Stamp          `cbor:"2,keyasint"`
	Knowledge handover.State `cbor:"3,keyasint"`
	// Demand is the rate of requests from callers, in requests a second, by class name.
	Demand map[string]float64 `cbor:"4,keyasint,omitempty"`
}

// logRecord is a record of the bans log.
type logRecord struct {
	Owner  *Owner   `cbor:"1,keyasint,omitempty"` // only in the first record
	Bans   []string `cbor:"2,keyasint,omitempty"` // only in the first record: all banned backends
	ID     string   `cbor:"3,keyasint,omitempty"`
	Banned bool     `cbor:"4,keyasint,omitempty"`
}

// Contents is what Open found in a folder.
type Contents struct {
	Bans    []string // sorted
	Learned *Learned // nil if there is none
	// Problems describes faults of the folder for operators, and names the files that were renamed.
	Problems []string
}

var decMode = strict.CBOR(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16})

// Store accesses the files of a folder. It is not safe for concurrent use.
type Store struct {
	files   FS
	owner   Owner
	bans    map[string]bool
	log     File // nil if the next change must rewrite the log
	changes int  // number of changes in the log
}

// Open reads the files of a folder and repairs what it can. It does not fail: if the folder cannot be read or written, Contents.Problems
// says so, and each later write returns an error.
func Open(files FS, name string) (*Store, *Contents) {
	s := &Store{files: files, owner: Owner{formatVersion, name}, bans: map[string]bool{}}
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
	if err != nil { // the next change rewrites the log, and must not overwrite a file that may be readable later
		s.setAside(f, bansFile, fmt.Errorf("it cannot be read, so earlier operator bans are unknown: %w", err))
		return
	}
	bans, validLen, remaining, err := readBans(text, s.owner)
	switch {
	case errors.Is(err, errForeign):
		s.setAside(f, bansFile, err)
	case err != nil:
		// Changes after the corrupt part were acknowledged too, and are kept. The log is rewritten at once, or else by the next change.
		s.bans = bans
		s.setAside(f, bansFile, fmt.Errorf("%w; %d bans were saved from it", err, len(bans)))
		if err := s.rewriteLog(); err != nil {
			f.addProblem("the recovered bans cannot be written: %v", err)
		}
	default:
		s.bans = bans
		if remaining > 0 { // a torn end: the change was not acknowledged
			f.addProblem("the end of the bans log was torn: %d bytes of a change that was not acknowledged are cut off", remaining)
			err = s.files.Truncate(bansFile, int64(validLen))
		}
		if err == nil && validLen > 0 {
			s.log, err = s.files.Append(bansFile)
		}
		if err != nil {
			s.log = nil // the next change rewrites the log
		}
	}
}

var errForeign = errors.New("it belongs to another proxy or another version of the program")

// readBans reads a log. validLen is the length of its valid beginning, and remaining the number of bytes after that. An error is
// errForeign, or says that the log is corrupt before its end; bans are then those that could be recovered.
func readBans(data []byte, owner Owner) (bans map[string]bool, validLen, remaining int, err error) {
	bans = map[string]bool{}
	first, corrupt, budget := true, false, maxHashedBytes
	apply := func(record []byte) error {
		var c logRecord
		if err := decMode.Unmarshal(record, &c); err != nil {
			return err
		}
		if c.Owner != nil {
			if *c.Owner != owner {
				return fmt.Errorf("%w: it is %q's, of form %d", errForeign, c.Owner.Name, c.Owner.Form)
			}
			clear(bans)
			for _, id := range c.Bans {
				bans[id] = true
			}
		} else if first && !corrupt { // after a corrupt first record, changes are still recovered: banning too many backends is the smaller harm
			return errors.New("the first record is missing")
		} else if c.Banned {
			bans[c.ID] = true
		} else {
			delete(bans, c.ID)
		}
		first = false
		return nil
	}
	for at := 0; at < len(data); {
		record, err := sealed.Read(bytes.NewReader(data[at:]), maxRecordBytes)
		if err == nil {
			err = apply(record)
			if errors.Is(err, errForeign) {
				return nil, 0, len(data), err
			}
		}
		if err == nil {
			at += sealed.HeaderBytes + len(record)
			if !corrupt {
				validLen = at
			}
			continue
		}
		// If a valid record follows, the log is corrupt in the middle; if not, its end is torn.
		at = nextRecord(data, at+1, &budget)
		if at < len(data) {
			corrupt = true
		}
	}
	if corrupt || first && len(data) > 0 {
		return bans, validLen, len(data) - validLen, fmt.Errorf("corrupt at byte %d", validLen)
	}
	return bans, validLen, len(data) - validLen, nil
}

// After a corrupt part of the log, records of up to maxSalvagedBytes are searched for, which is enough for changes. The search hashes at
// most maxHashedBytes, so that a file full of apparent record headers cannot block a start.
const (
	maxSalvagedBytes = 1 << 10
	maxHashedBytes   = 16 << 20
)

// nextRecord returns the offset of the next valid record, or len(text) if there is none. budget is how many bytes may still be hashed.
func nextRecord(text []byte, from int, budget *int) int {
	for ; from+sealed.HeaderBytes < len(text) && *budget > 0; from++ {
		length := int(binary.BigEndian.Uint32(text[from:]))
		if length == 0 || length > maxSalvagedBytes || length > len(text)-from-sealed.HeaderBytes {
			continue
		}
		*budget -= length
		if _, err := sealed.Read(bytes.NewReader(text[from:]), maxSalvagedBytes); err == nil {
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
		f.addProblem("the learned state cannot be read: %v", err)
		return
	}
	l, err := readLearned(text)
	if err == nil && l.Owner != s.owner {
		err = fmt.Errorf("%w: it is %q's, of form %d", errForeign, l.Owner.Name, l.Owner.Form)
	}
	if err != nil {
		s.setAside(f, learnedFile, err)
		return
	}
	f.Learned = l
}

func readLearned(text []byte) (*Learned, error) {
	r := bytes.NewReader(text)
	record, err := sealed.Read(r, maxLearnedBytes)
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
	if err := decMode.Unmarshal(record, l); err != nil {
		return nil, err
	}
	return l, nil
}

func (f *Contents) addProblem(format string, a ...any) {
	f.Problems = append(f.Problems, fmt.Sprintf(format, a...))
}

// setAside renames a file that cannot be used.
func (s *Store) setAside(f *Contents, name string, reason error) {
	names, err := s.files.Names()
	if err != nil {
		f.addProblem("%s is not used (%v), and cannot be put aside: %v", name, reason, err)
		return
	}
	to := ""
	for i := 1; i <= maxSetAside && to == ""; i++ {
		if candidate := fmt.Sprintf("%s.aside-%d", name, i); !slices.Contains(names, candidate) {
			to = candidate
		}
	}
	if to == "" { // the first file shows the original fault and tells most, so the last one is replaced
		to = fmt.Sprintf("%s.aside-%d", name, maxSetAside)
	}
	if err := s.files.Rename(name, to); err != nil {
		f.addProblem("%s is not used (%v), and cannot be put aside: %v", name, reason, err)
		return
	}
	f.addProblem("%s is not used, and was put aside as %s: %v", name, to, reason)
}

// Ban makes an operator change durable. If it returns nil, the change survives a power loss. After an error the change may be on disk or
// not, and the next change rewrites the log.
func (s *Store) Ban(id string, banned bool) error {
	if len(id) > MaxIDBytes {
		return fmt.Errorf("state: id has %d bytes, the maximum is %d", len(id), MaxIDBytes)
	}
	if banned && !s.bans[id] && len(s.bans) >= MaxBans {
		return fmt.Errorf("state: %d backends are banned already, which is the maximum", len(s.bans))
	}
	wasBanned := s.bans[id]
	if banned {
		s.bans[id] = true
	} else {
		delete(s.bans, id)
	}
	if s.log == nil || s.changes >= maxLogChanges {
		return s.rewriteLog()
	}
	if wasBanned == banned {
		return nil // durable already: while s.log is open, all earlier writes have succeeded
	}
	text, err := encodeRecord(logRecord{ID: id, Banned: banned})
	if err == nil {
		if _, err = s.log.Write(text); err == nil {
			err = s.log.Sync()
		}
	}
	if err != nil {
		// The contents of the file are unknown now, even if a later sync succeeds, as the kernel reports a write error only once.
		s.closeLog()
		return fmt.Errorf("state: %w", err)
	}
	s.changes++
	return nil
}

func encodeRecord(c logRecord) ([]byte, error) {
	text, err := cbor.Marshal(c)
	if err != nil {
		return nil, err
	}
	return sealed.Append(nil, text), nil
}

func (s *Store) closeLog() {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
}

// rewriteLog replaces the log by one with all current bans.
func (s *Store) rewriteLog() error {
	s.closeLog()
	text, err := encodeRecord(logRecord{Owner: &s.owner, Bans: slices.Sorted(maps.Keys(s.bans))})
	if err == nil {
		err = s.replace(bansFile, text)
	}
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if s.log, err = s.files.Append(bansFile); err != nil {
		s.log = nil // the change is durable; the next one rewrites the log
	}
	s.changes = 0
	return nil
}

// replace replaces a file atomically.
func (s *Store) replace(name string, text []byte) error {
	f, err := s.files.Create(name + tempSuffix)
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
		err = s.files.Rename(name+tempSuffix, name)
	}
	if err == nil {
		err = s.files.SyncDir()
	}
	return err
}

// Save makes the learned state durable and replaces the earlier one.
func (s *Store) Save(l *Learned) error {
	owned := *l
	owned.Owner = s.owner
	text, err := cbor.Marshal(&owned)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if len(text) > maxLearnedBytes {
		return fmt.Errorf("state: the learned state has %d bytes, the maximum is %d", len(text), maxLearnedBytes)
	}
	if err := s.replace(learnedFile, sealed.Append(make([]byte, 0, sealed.HeaderBytes+len(text)), text)); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

// Bans returns the banned backends, sorted.
func (s *Store) Bans() []string { return slices.Sorted(maps.Keys(s.bans)) }

// Close closes the files.
func (s *Store) Close() { s.closeLog() }
