// Package crashfs is a folder in memory that loses power: what was not synced is then lost, torn or there, as it comes, and names
// that were not synced are the old or the new ones. It also fills up, fails and is slow where a test says so.
//
// It is a stand-in for a file system, stricter than most: POSIX promises no more (a file's sync says nothing of its name).
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

// ErrPower is that of every call once the power is gone.
var ErrPowerLost = errors.New("crashfs: the power is gone")

type inode struct {
	durable, now []byte
}

// step is a change of names that is not synced.
type step struct {
	name string
	node *inode // nil for a removal
	from string // of a rename
}

// FS is a folder. Its methods may be called at any time.
type FS struct {
	mu      sync.Mutex
	names   map[string]*inode // now
	durable map[string]*inode
	pending []step
	dice    *rand.Rand
	off     bool
	calls   int
	offAt   int   // the call that the power is lost in; 0 for none
	fail    error // of each write, sync and change of names
	syncs   int
	bytes   int64
}

// New returns an empty folder.
func New(seed uint64) *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, dice: rand.New(rand.NewPCG(seed, 0xc4a5))}
}

// Fail has each call that changes something fail from now on; nil ends that.
func (f *FS) Fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = err
}

// LosePowerIn has the power lost within the n-th call from now on that changes something.
func (f *FS) LosePowerIn(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offAt = f.calls + n
}

// Off says whether the power is gone.
func (f *FS) PoweredOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.off
}

// Counts are the calls that changed something, the syncs among them, and the bytes written.
func (f *FS) Counts() (calls, syncs int, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls, f.syncs, f.bytes
}

// Restore brings the power back: what is there is what has lasted.
func (f *FS) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.pending { // each may have lasted, in order
		if f.dice.IntN(2) == 0 {
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
		n.durable = f.lasted(n)
		n.now = slices.Clone(n.durable)
		names[name] = n
	}
	f.names, f.durable = names, maps.Clone(names)
	f.off, f.offAt, f.fail = false, 0, nil
}

// lasted is what is left of a file: all that was synced, and of the rest a part, maybe with bytes that nobody wrote.
func (f *FS) lasted(n *inode) []byte {
	if len(n.now) < len(n.durable) || !slices.Equal(n.now[:len(n.durable)], n.durable) {
		if f.dice.IntN(2) == 0 {
			return n.durable
		}
		return n.now
	}
	rest := n.now[len(n.durable):]
	kept := slices.Clone(n.now[:len(n.durable)+f.dice.IntN(len(rest)+1)])
	if more := len(kept) - len(n.durable); more > 0 {
		switch f.dice.IntN(4) {
		case 0: // zeros, as where the length lasted and the bytes did not
			clear(kept[len(n.durable)+f.dice.IntN(more):])
		case 1:
			kept[len(n.durable)+f.dice.IntN(more)] ^= byte(1 << f.dice.IntN(8))
		}
	}
	return kept
}

// begin counts a call that changes something; dying says that the power is lost within it.
func (f *FS) begin() (dying bool, err error) {
	if f.off {
		return false, ErrPowerLost
	}
	f.calls++
	if f.calls == f.offAt {
		f.off = true
		return true, ErrPowerLost
	}
	return false, f.fail
}

// ReadFile returns a file.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.off {
		return nil, ErrPowerLost
	}
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.now), nil
}

// Put sets a file as if it had lasted.
func (f *FS) Put(name string, text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &inode{slices.Clone(text), slices.Clone(text)}
	f.names[name], f.durable[name] = n, n
}

// Create makes a file.
func (f *FS) Create(name string) (state.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.begin(); err != nil {
		return nil, err
	}
	n := &inode{}
	f.names[name] = n
	f.pending = append(f.pending, step{name: name, node: n})
	return &file{f, n}, nil
}

// Append opens a file.
func (f *FS) Append(name string) (state.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.off {
		return nil, ErrPowerLost
	}
	n := f.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{f, n}, nil
}

// Truncate cuts a file, which lasts.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	dying, err := f.begin()
	n := f.names[name]
	switch {
	case n == nil || int64(len(n.now)) < size:
		return errors.Join(err, fs.ErrNotExist)
	case dying && f.dice.IntN(2) == 0, err == nil:
		n.now = n.now[:size:size]
		n.durable = slices.Clone(n.now)
	}
	return err
}

// Rename puts a file under another name.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	dying, err := f.begin()
	if err != nil && !dying {
		return err
	}
	n := f.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(f.names, from)
	f.names[to] = n
	f.pending = append(f.pending, step{name: to, node: n, from: from})
	return err
}

// Names are those of all files.
func (f *FS) Names() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names)), nil
}

// SyncDir makes the names last.
func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.begin(); err != nil {
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

func (o *file) Write(b []byte) (int, error) {
	f := o.folder
	f.mu.Lock()
	defer f.mu.Unlock()
	dying, err := f.begin()
	n := len(b)
	if err != nil {
		n = 0
		if dying || f.dice.IntN(2) == 0 { // a part of it may be there
			n = f.dice.IntN(len(b) + 1)
		}
	}
	o.node.now = append(o.node.now, b[:n]...)
	f.bytes += int64(n)
	return n, err
}

func (o *file) Sync() error {
	f := o.folder
	f.mu.Lock()
	defer f.mu.Unlock()
	dying, err := f.begin()
	if err == nil || dying && f.dice.IntN(2) == 0 {
		f.syncs++
		o.node.durable = slices.Clone(o.node.now)
	}
	return err
}

func (o *file) Close() error { return nil }
