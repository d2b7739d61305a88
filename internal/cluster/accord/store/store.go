// Package store keeps a keeper's log, and what a proxy last acted on, in one file of a folder. A write holds once it has
// returned. What is torn, broken, another fleet's or another proxy's is set aside under another name and told; it never keeps a
// process from starting.
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
	file = "rules.db"
	// form is that of the file; another one is not read.
	form = 1
	// lockTime is how long another process of this proxy, which is about to end, is waited for.
	lockTime = 200 * time.Millisecond
	// mostEntry bounds what is read of one entry.
	mostEntry = 8 << 20
)

var (
	about   = []byte("about")
	entries = []byte("entries")
	log     = []byte("log")

	keyOwner    = []byte("owner")
	keyStore    = []byte("store")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyActs     = []byte("acts")
)

// owner says whose file it is.
type owner struct {
	Form  int    `cbor:"1,keyasint"`
	Fleet string `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"`
}

// Store is an open file. Its methods may be called at any time.
type Store struct {
	mu     sync.Mutex
	db     *bbolt.DB
	broken bool
}

// Open opens a folder's file, or makes one. aside is where a file that is not to be used was put, "" if there was none, and why
// says what is wrong with it.
func Open(folder, fleet, name string) (s *Store, aside string, why error, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, "", nil, fmt.Errorf("store: %w", err)
	}
	path := filepath.Join(folder, file)
	own := owner{form, fleet, name}
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

// open opens a file and looks whether it is sound and its owner's.
func open(path string, own owner) (db *bbolt.DB, err error) {
	err = guarded(func() error {
		var err error
		if db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTime}); err != nil {
			return err
		}
		return take(db, own)
	})
	if err != nil && db != nil {
		guarded(db.Close) // of no use any more, whatever it says
		db = nil
	}
	return db, err
}

// guarded runs what works on a file, and makes an error of a panic. The library takes what it reads for granted, and reads by a
// mapping: beyond the end of a file that is torn there is nothing, which is a fault and not an error.
//
// It guards against a disk that ends the process. It may harm where a write has been begun: the file is not used after it.
func guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("broken: %v", r)
		}
	}()
	return f()
}

// take looks whether an open file is its owner's, and makes it so if it is new. All that is there is read, in this goroutine.
func take(db *bbolt.DB, own owner) error {
	return db.Update(func(tx *bbolt.Tx) error {
		err := tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return b.ForEach(func(_, _ []byte) error { return nil }) })
		if err != nil {
			return fmt.Errorf("broken: %w", err)
		}
		b, err := tx.CreateBucketIfNotExists(about)
		if err != nil {
			return err
		}
		for _, name := range [][]byte{entries, log} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		text := b.Get(keyOwner)
		if text == nil {
			text, err := cbor.Marshal(own)
			if err != nil {
				return err
			}
			return b.Put(keyOwner, text)
		}
		var is owner
		if err := cbor.Unmarshal(text, &is); err != nil {
			return fmt.Errorf("broken: %w", err)
		}
		if is != own {
			return fmt.Errorf("it is of fleet %q, proxy %q, form %d", is.Fleet, is.Name, is.Form)
		}
		return nil
	})
}

// Load reads all that is stored.
func (s *Store) Load() (accord.Stored, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored accord.Stored
	err := s.work(s.db.View, func(tx *bbolt.Tx) error {
		l := tx.Bucket(log)
		if b := l.Get(keyStore); len(b) == 8 {
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
		if b := tx.Bucket(about).Get(keyActs); b != nil {
			stored.Rules = &rules.Status{}
			if err := cbor.Unmarshal(b, stored.Rules); err != nil {
				return fmt.Errorf("rules: %w", err)
			}
			if err := stored.Rules.Validate(); err != nil {
				return err
			}
		}
		return tx.Bucket(entries).ForEach(func(key, b []byte) error {
			e := &raftpb.Entry{}
			if len(key) != 8 || len(b) > mostEntry {
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

// Save makes a record last: it is on disk, whole, once this has returned.
func (s *Store) Save(r *accord.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.work(s.db.Update, func(tx *bbolt.Tx) error {
		l := tx.Bucket(log)
		id := binary.BigEndian.AppendUint64(nil, r.LogID)
		if string(l.Get(keyStore)) != string(id) { // a log begun anew
			for _, key := range [][]byte{keyHard, keySnapshot} {
				if err := l.Delete(key); err != nil {
					return err
				}
			}
			if err := clearEntries(tx); err != nil {
				return err
			}
			if err := l.Put(keyStore, id); err != nil {
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
		return saveEntries(tx.Bucket(entries), r)
	})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func clearEntries(tx *bbolt.Tx) error {
	if err := tx.DeleteBucket(entries); err != nil {
		return err
	}
	_, err := tx.CreateBucket(entries)
	return err
}

func saveEntries(b *bbolt.Bucket, r *accord.Record) error {
	if len(r.Entries) > 0 {
		// What is there from the first one's index on is replaced.
		first := index(r.Entries[0].GetIndex())
		c := b.Cursor()
		for key, _ := c.Seek(first); key != nil; key, _ = c.Seek(first) { // after a Delete, Next may pass one over
			if err := c.Delete(); err != nil {
				return err
			}
		}
		for _, e := range r.Entries {
			if err := put(b, index(e.GetIndex()), e); err != nil {
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

func index(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, text)
}

// SaveActs keeps what this proxy acts on, for a start at which no keeper is reached. It is no lease.
func (s *Store) SaveRules(acts *rules.Status) error {
	text, err := cbor.Marshal(acts)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.work(s.db.Update, func(tx *bbolt.Tx) error { return tx.Bucket(about).Put(keyActs, text) }); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// work reads or writes, unless a panic has shown the file to be broken before: the library is then in no state to be asked.
func (s *Store) work(in func(func(*bbolt.Tx) error) error, f func(*bbolt.Tx) error) error {
	if s.broken {
		return errBroken
	}
	s.broken = true
	err := guarded(func() error {
		err := in(f)
		s.broken = false
		return err
	})
	return err
}

var errBroken = errors.New("the file was found broken")

// Close closes the file.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return errBroken
	}
	return s.db.Close()
}

// SetAside puts a folder's file, which is not to be used, under another name, and returns that.
func SetAside(folder string) (aside string, err error) {
	path := filepath.Join(folder, file)
	aside = fmt.Sprintf("%s.aside-%d", path, int64(clock.Wall()/time.Second))
	if err := os.Rename(path, aside); err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	return aside, nil
}
