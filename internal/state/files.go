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

// FS is the part of a file system that a Store uses: one folder. Package crashfs implements one that simulates power losses.
type FS interface {
	// ReadFile returns the contents of a file, or fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file to write at its end.
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	// Names returns the names of all files.
	Names() ([]string, error)
	// SyncDir makes the names of the files durable.
	SyncDir() error
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Sync makes the written data durable.
	Sync() error
	Close() error
}

// Folder is a folder on disk, which one process at a time holds locked.
type Folder struct {
	path string
	lock *os.File
}

const lockFile = "lock"

// ErrLocked is returned by OpenFolder if another process holds the folder.
var ErrLocked = errors.New("another process holds the folder: is a second proxy configured with it, or is an upgrade in progress?")

// OpenFolder creates a folder if it does not exist, and locks it until Close.
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

// Close releases the folder.
func (f *Folder) Close() error { return f.lock.Close() }

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }

// ReadFile returns at most maxLearnedBytes of a file, and 1 KiB for the record header: no file of a Store is longer.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	file, err := os.Open(f.filePath(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxLearnedBytes+1<<10))
	if err != nil {
		return nil, err
	}
	return text, nil
}

// Create creates a file, or truncates an existing one.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append opens an existing file to write at its end.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(f.filePath(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Truncate truncates a file and returns once that is durable.
func (f *Folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.filePath(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Rename renames a file, and replaces an existing file of the new name.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.filePath(from), f.filePath(to)) }

// Names returns the names of a Store's files.
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

// SyncDir makes the names of the files durable.
func (f *Folder) SyncDir() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Now returns the current time on all clocks.
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
