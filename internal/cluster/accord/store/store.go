// Package store stores a voter's log, and the rules that a proxy last applied, in one file of a folder. A write is
// durable once it has returned. A file that is truncated, damaged, or of another fleet or proxy is renamed and
// reported; it never prevents a process from starting.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3/raftpb"

	"brasswell/internal/clock"
	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
)

const (
	fileName = "rules.db"
	// fileForm is the form of the file. Files of other forms are not read.
	fileForm = 1
	// lockTimeout is the time to wait for the file lock of another process of this proxy, which is about to exit.
	lockTimeout = 200 * time.Millisecond
	// maxEntryBytes bounds the size of a stored entry.
	maxEntryBytes = 8 << 20
)

var (
	aboutBucket   = []byte("about")
	entriesBucket = []byte("entries")
	logBucket     = []byte("log")

	keyOwner    = []byte("owner")
	keyLogID    = []byte("store")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyRules    = []byte("acts")
)

// owner identifies the fleet and the proxy that a file belongs to.
type owner struct {
	Form  int    `cbor:"1,keyasint"`
	Fleet string `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"`
}

// Store is an open file. Its methods may be called at any time.
type Store struct {
	mu      sync.Mutex
	db      *bbolt.DB
	damaged bool
}

// Open opens a folder's file, or creates it. aside is the new name of a file that could not be used, "" if there was
// none, and why is the reason.
func Open(folder, fleet, name string) (s *Store, aside string, why error, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, "", nil, fmt.Errorf("store: %w", err)
	}
	path := filepath.Join(folder, fileName)
	own := owner{fileForm, fleet, name}
	db, why := open(path, own)
	if errors.Is(why, bolterrors.ErrTimeout) || errors.Is(why, os.ErrPermission) {
		return nil, "", nil, fmt.Errorf("store: %s: %w", path, why)
	}
	if why != nil {
		if aside, err = SetAside(folder); err != nil {
			return nil, "", why, err
		}
		if db, err = open(path, own); err != nil {
			return nil, aside, why, fmt.Errorf("store: %s: %w", path, err)
		}
	}
	return &Store{db: db}, aside, why, nil
}

// open opens a file and checks its content and its owner.
func open(path string, own owner) (db *bbolt.DB, err error) {
	err = recoverPanics(func() error {
		var err error
		if db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout}); err != nil {
			return err
		}
		return checkOwner(db, own)
	})
	if err != nil && db != nil {
		recoverPanics(db.Close) // the file is not used anymore, so an error does not matter
		db = nil
	}
	return db, err
}

// recoverPanics runs an operation on a file and turns a panic into an error. The library does not check what it reads,
// and reads from a memory mapping: an access beyond the end of a truncated file is a memory fault and not an error.
//
// This keeps a damaged disk from ending the process. A panic may leave a write incomplete, so the file is not used
// afterwards.
func recoverPanics(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("damaged: %v", r)
		}
	}()
	return f()
}

// checkOwner checks that an open file belongs to its owner, and records the owner in a new file. It reads the whole
// file, in this goroutine, because recoverPanics recovers from faults of its own goroutine only.
func checkOwner(db *bbolt.DB, own owner) error {
	return db.Update(func(tx *bbolt.Tx) error {
		err := tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return b.ForEach(func(_, _ []byte) error { return nil }) })
		if err != nil {
			return fmt.Errorf("damaged: %w", err)
		}
		b, err := tx.CreateBucketIfNotExists(aboutBucket)
		if err != nil {
			return err
		}
		for _, name := range [][]byte{entriesBucket, logBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		data := b.Get(keyOwner)
		if data == nil {
			data, err := cbor.Marshal(own)
			if err != nil {
				return err
			}
			return b.Put(keyOwner, data)
		}
		var stored owner
		if err := cbor.Unmarshal(data, &stored); err != nil {
			return fmt.Errorf("damaged: %w", err)
		}
		if stored != own {
			return fmt.Errorf("the file belongs to fleet %q, proxy %q, and has form %d", stored.Fleet, stored.Name, stored.Form)
		}
		return nil
	})
}

// Load returns all that is stored.
func (s *Store) Load() (accord.Stored, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored accord.Stored
	err := s.transact(s.db.View, func(tx *bbolt.Tx) error {
		l := tx.Bucket(logBucket)
		if b := l.Get(keyLogID); len(b) == 8 {
			stored.LogID = binary.BigEndian.Uint64(b)
		}
		if b := l.Get(keyHard); b != nil {
			stored.Hard = &raftpb.HardState{}
			if err := proto.Unmarshal(b, stored.Hard); err != nil {
				return fmt.Errorf("hard state: %w", err)
			}
		}
		if b := l.Get(keySnapshot); b != nil {
			stored.Snapshot = &raftpb.Snapshot{}
			if err := proto.Unmarshal(b, stored.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		if b := tx.Bucket(aboutBucket).Get(keyRules); b != nil {
			stored.Rules = &rules.Status{}
			if err := cbor.Unmarshal(b, stored.Rules); err != nil {
				return fmt.Errorf("rules: %w", err)
			}
			if err := stored.Rules.Validate(); err != nil {
				return err
			}
		}
		return tx.Bucket(entriesBucket).ForEach(func(key, b []byte) error {
			e := &raftpb.Entry{}
			if len(key) != 8 || len(b) > maxEntryBytes {
				return fmt.Errorf("entry %x: %d bytes", key, len(b))
			}
			if err := proto.Unmarshal(b, e); err != nil {
				return fmt.Errorf("entry %x: %w", key, err)
			}
			if n := len(stored.Entries); n > 0 && e.GetIndex() != stored.Entries[n-1].GetIndex()+1 || e.GetIndex() != binary.BigEndian.Uint64(key) {
				return fmt.Errorf("entry %d is out of order", e.GetIndex())
			}
			stored.Entries = append(stored.Entries, e)
			return nil
		})
	})
	if err != nil {
		return accord.Stored{}, fmt.Errorf("store: %w", err)
	}
	return stored, nil
}

// Save writes a record. All of it is on disk once Save has returned without an error.
func (s *Store) Save(r *accord.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.transact(s.db.Update, func(tx *bbolt.Tx) error {
		l := tx.Bucket(logBucket)
		id := binary.BigEndian.AppendUint64(nil, r.LogID)
		if string(l.Get(keyLogID)) != string(id) { // a new log
			for _, key := range [][]byte{keyHard, keySnapshot} {
				if err := l.Delete(key); err != nil {
					return err
				}
			}
			if err := clearEntries(tx); err != nil {
				return err
			}
			if err := l.Put(keyLogID, id); err != nil {
				return err
			}
		}
		if r.Hard != nil {
			if err := put(l, keyHard, r.Hard); err != nil {
				return err
			}
		}
		if r.Snapshot != nil {
			if err := put(l, keySnapshot, r.Snapshot); err != nil {
				return err
			}
			if r.Install {
				if err := clearEntries(tx); err != nil {
					return err
				}
			}
		}
		return saveEntries(tx.Bucket(entriesBucket), r)
	})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func clearEntries(tx *bbolt.Tx) error {
	if err := tx.DeleteBucket(entriesBucket); err != nil {
		return err
	}
	_, err := tx.CreateBucket(entriesBucket)
	return err
}

func saveEntries(b *bbolt.Bucket, r *accord.Record) error {
	if len(r.Entries) > 0 {
		// These entries replace all stored ones from the index of the first one on.
		first := entryKey(r.Entries[0].GetIndex())
		c := b.Cursor()
		for key, _ := c.Seek(first); key != nil; key, _ = c.Seek(first) { // after a Delete, Next may skip an entry
			if err := c.Delete(); err != nil {
				return err
			}
		}
		for _, e := range r.Entries {
			if err := put(b, entryKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
	}
	if r.Compact == 0 {
		return nil
	}
	c := b.Cursor()
	for key, _ := c.First(); key != nil && binary.BigEndian.Uint64(key) <= r.Compact; key, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func entryKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, data)
}

// SaveRules stores the rules that this proxy applies, for a start at which no voter can be reached. They give no lease.
func (s *Store) SaveRules(status *rules.Status) error {
	data, err := cbor.Marshal(status)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.transact(s.db.Update, func(tx *bbolt.Tx) error { return tx.Bucket(aboutBucket).Put(keyRules, data) }); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// transact runs a transaction, unless an earlier one panicked: the library's state is undefined after a panic.
func (s *Store) transact(in func(func(*bbolt.Tx) error) error, f func(*bbolt.Tx) error) error {
	if s.damaged {
		return errDamaged
	}
	s.damaged = true
	err := recoverPanics(func() error {
		err := in(f)
		s.damaged = false
		return err
	})
	return err
}

var errDamaged = errors.New("the file is damaged")

// Close closes the file.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.damaged {
		return errDamaged
	}
	return s.db.Close()
}

// SetAside renames a folder's file that must not be used, and returns its new name.
func SetAside(folder string) (aside string, err error) {
	path := filepath.Join(folder, fileName)
	aside = fmt.Sprintf("%s.aside-%d", path, int64(clock.Wall()/time.Second))
	if err := os.Rename(path, aside); err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	return aside, nil
}
