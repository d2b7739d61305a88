package state

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/internal/clock"
)

// FS is what a store needs of a file system: one folder. Package crashfs has one that loses power.
type FS interface {
	// ReadFile returns a file; fs.ErrNotExist where there is none.
	ReadFile(name string) ([]byte, error)
	// Create makes a file anew, or an empty one of one that is there.
	Create(name string) (File, error)
	// Append opens a file to write behind its end.
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	// Names are those of all files.
	Names() ([]string, error)
	// SyncDir makes last which names there are, and of which files.
	SyncDir() error
}

// File is one that is written.
type File interface {
	io.Writer
	// Sync makes last what was written.
	Sync() error
	Close() error
}

// Folder is a folder of the machine's, held by one process at a time.
type Folder struct {
	path string
	lock *os.File
}

const lockFile = "lock"

// ErrHeld is that of a folder which another process holds.
var ErrLocked = errors.New("another process holds the folder: is a second proxy set to it, or an upgrade under way?")

// OpenFolder makes a folder if it is not there, and holds it until Close.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("state: %s: %w", path, err)
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close lets go of the folder.
func (f *Folder) Close() error { return f.lock.Close() }

func (f *Folder) at(name string) string { return filepath.Join(f.path, name) }

// ReadFile returns a file of at most mostLearned bytes and their head: a longer one is none of a store's.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	file, err := os.Open(f.at(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, mostLearned+1<<10))
	if err != nil {
		return nil, err
	}
	return text, nil
}

// Create makes a file.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append opens a file to write behind its end.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Truncate cuts a file, and returns once that lasts.
func (f *Folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.at(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Rename puts a file under another name, in place of what has that.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

// Names are those of a store's files.
func (f *Folder) Names() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), bansFile) || strings.HasPrefix(e.Name(), learnedFile) {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir makes the names last.
func (f *Folder) SyncDir() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Now is the moment by all clocks.
func Now() Stamp {
	s := Stamp{Wall: clock.Wall()}
	if id, err := os.ReadFile("/proc/sys/kernel/random/boot_id"); err == nil {
		s.Machine = strings.TrimSpace(string(id))
	}
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil {
		s.Running = time.Duration(t.Nano())
	}
	return s
}
