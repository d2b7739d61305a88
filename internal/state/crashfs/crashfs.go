// Package crashfs is an in-memory folder that simulates power losses: data that was not synced is then lost, torn or kept at random, and
// names that were not synced are the old or the new ones. A test can also make its calls fail, for example with ENOSPC.
//
// It is stricter than most file systems, and guarantees no more than POSIX does: syncing a file does not make its name durable.
package crashfs

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"brasswell/internal/state"
)

// ErrPowerLost is returned by the call in which power is lost, and by later ones until Restore.
var ErrPowerLost = errors.New("crashfs: power lost")

type inode struct {
	durable, now []byte
}

// nameChange is a change of names that is not synced.
type nameChange struct {
	name string
	node *inode // nil for a removal
	from string // old name, for a rename
}

// FS is a folder. Its methods are safe for concurrent use.
type FS struct {
	mu         sync.Mutex
	names      map[string]*inode // current names
	durable    map[string]*inode
	pending    []nameChange
	rng        *rand.Rand
	poweredOff bool
	calls      int
	powerOffAt int   // the number of the call in which power is lost; 0 for none
	fail       error // error of each write, sync and change of names
	syncs      int
	bytes      int64
}

// New returns an empty folder.
func New(seed uint64) *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, rng: rand.New(rand.NewPCG(seed, 0xc4a5))}
}

// Fail makes each call that changes something fail with err; nil ends that.
func (f *FS) Fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = err
}

// LosePowerIn simulates a power loss within the n-th call from now that changes something.
func (f *FS) LosePowerIn(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.powerOffAt = f.calls + n
}

// PoweredOff reports whether power is lost.
func (f *FS) PoweredOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poweredOff
}

// Counts returns the number of calls that changed something, the number of completed syncs among them, and the bytes written.
func (f *FS) Counts() (calls, syncs int, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls, f.syncs, f.bytes
}

// Restore ends the power loss. Only data that survived it remains.
func (f *FS) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.pending { // each may have survived, in order
		if f.rng.IntN(2) == 0 {
			continue
		}
		if s.from != "" && f.durable[s.from] == s.node {
			delete(f.durable, s.from)
		}
		f.durable[s.name] = s.node
	}
	f.pending = nil
	names := map[string]*inode{}
	for name, n := range f.durable {
		n.durable = f.survivingBytes(n)
		n.now = slices.Clone(n.durable)
		names[name] = n
	}
	f.names, f.durable = names, maps.Clone(names)
	f.poweredOff, f.powerOffAt, f.fail = false, 0, nil
}

// survivingBytes returns what is left of a file: all synced bytes, and a random part of the others, possibly corrupted.
func (f *FS) survivingBytes(n *inode) []byte {
	if len(n.now) < len(n.durable) || !slices.Equal(n.now[:len(n.durable)], n.durable) {
		if f.rng.IntN(2) == 0 {
			return n.durable
		}
		return n.now
	}
	rest := n.now[len(n.durable):]
	kept := slices.Clone(n.now[:len(n.durable)+f.rng.IntN(len(rest)+1)])
	if more := len(kept) - len(n.durable); more > 0 {
		switch f.rng.IntN(4) {
		case 0: // zeros, as when the length was durable but the data was not
			clear(kept[len(n.durable)+f.rng.IntN(more):])
		case 1:
			kept[len(n.durable)+f.rng.IntN(more)] ^= byte(1 << f.rng.IntN(8))
		}
	}
	return kept
}

// startCall counts a call that changes something. powerLost says that power is lost within it.
func (f *FS) startCall() (powerLost bool, err error) {
	if f.poweredOff {
		return false, ErrPowerLost
	}
	f.calls++
	if f.calls == f.powerOffAt {
		f.poweredOff = true
		return true, ErrPowerLost
	}
	return false, f.fail
}

// ReadFile returns the contents of a file.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poweredOff {
		return nil, ErrPowerLost
	}
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.now), nil
}

// Put creates a file whose name and contents are durable.
func (f *FS) Put(name string, text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &inode{slices.Clone(text), slices.Clone(text)}
	f.names[name], f.durable[name] = n, n
}

// Create creates a file, or replaces an existing one by an empty one.
func (f *FS) Create(name string) (state.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.startCall(); err != nil {
		return nil, err
	}
	n := &inode{}
	f.names[name] = n
	f.pending = append(f.pending, nameChange{name: name, node: n})
	return &file{f, n}, nil
}

// Append opens an existing file to write at its end.
func (f *FS) Append(name string) (state.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poweredOff {
		return nil, ErrPowerLost
	}
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{f, n}, nil
}

// Truncate truncates a file durably.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	powerLost, err := f.startCall()
	n := f.names[name]
	switch {
	case n == nil || int64(len(n.now)) < size:
		return errors.Join(err, fs.ErrNotExist)
	case powerLost && f.rng.IntN(2) == 0, err == nil:
		n.now = n.now[:size:size]
		n.durable = slices.Clone(n.now)
	}
	return err
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	powerLost, err := f.startCall()
	if err != nil && !powerLost {
		return err
	}
	n := f.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(f.names, from)
	f.names[to] = n
	f.pending = append(f.pending, nameChange{name: to, node: n, from: from})
	return err
}

// Names returns the names of all files.
func (f *FS) Names() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names)), nil
}

// SyncDir makes the names of the files durable.
func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.startCall(); err != nil {
		return err
	}
	f.syncs++
	f.durable, f.pending = maps.Clone(f.names), nil
	return nil
}

type file struct {
	folder *FS
	node   *inode
}

func (w *file) Write(b []byte) (int, error) {
	f := w.folder
	f.mu.Lock()
	defer f.mu.Unlock()
	powerLost, err := f.startCall()
	n := len(b)
	if err != nil {
		n = 0
		if powerLost || f.rng.IntN(2) == 0 { // a part of the data may be written
			n = f.rng.IntN(len(b) + 1)
		}
	}
	w.node.now = append(w.node.now, b[:n]...)
	f.bytes += int64(n)
	return n, err
}

func (w *file) Sync() error {
	f := w.folder
	f.mu.Lock()
	defer f.mu.Unlock()
	powerLost, err := f.startCall()
	if err == nil || powerLost && f.rng.IntN(2) == 0 {
		f.syncs++
		w.node.durable = slices.Clone(w.node.now)
	}
	return err
}

func (w *file) Close() error { return nil }
