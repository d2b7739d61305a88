package cluster

import (
	"bytes"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"brasswell/internal/cluster/codec"
	"brasswell/internal/cluster/view"
)

// membersFile is the name of the file with the members that this process knew last.
const membersFile = "members"

const (
	// writeInterval is the minimum time between two writes of the file.
	writeInterval = 2 * time.Second
	// maxFolderAddresses bounds the addresses that are used from a folder.
	maxFolderAddresses = 64
)

// folder stores the members' addresses for the next start. They serve only as additional seeds and nothing in the file is trusted, so
// a folder that is lost, outdated, corrupt, or that of another proxy or fleet only means that fewer members are found.
type folder struct {
	path  string
	codec codec.Codec
	log   *slog.Logger

	pending   chan []view.Record // the latest table, not written yet
	ending    chan struct{}
	running   sync.WaitGroup
	closeOnce sync.Once
}

// newFolder returns the folder at a path; with an empty path nothing is stored.
func newFolder(path, fleet string, log *slog.Logger) *folder {
	f := &folder{codec: codec.New(fleet), log: log, pending: make(chan []view.Record, 1), ending: make(chan struct{})}
	if path == "" {
		return f
	}
	f.path = filepath.Join(path, membersFile)
	f.running.Go(f.write)
	return f
}

// enabled reports whether anything is stored.
func (f *folder) enabled() bool { return f.path != "" }

// addresses returns the stored addresses except this process's own.
func (f *folder) addresses(own string) []string {
	if !f.enabled() {
		return nil
	}
	text, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var table []view.Record
	if err == nil {
		table, err = f.codec.ReadTable(bytes.NewReader(text))
	}
	if err != nil {
		f.log.Warn(LogSelf, "what", "the members file cannot be used", "error", err)
		return nil
	}
	var addresses []string
	for _, r := range table {
		if r.Address != own && r.State != view.Left && len(addresses) < maxFolderAddresses {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}

// save queues a table to be written; the folder must be enabled. It does not block.
func (f *folder) save(table []view.Record) {
	select {
	case <-f.pending: // replaced by the newer table
	default:
	}
	select {
	case f.pending <- table:
	default:
	}
}

// write is the goroutine that writes the file.
func (f *folder) write() {
	failed := false
	for {
		var table []view.Record
		select {
		case <-f.ending:
			select {
			case table = <-f.pending:
				f.replace(table)
			default:
			}
			return
		case table = <-f.pending:
		}
		err := f.replace(table)
		if err != nil && !failed {
			f.log.Warn(LogSelf, "what", "the members file cannot be written; the next start has only the configured seeds", "error", err)
		}
		failed = err != nil
		select {
		case <-f.ending:
		case <-time.After(writeInterval):
		}
	}
}

// replace replaces the file atomically.
func (f *folder) replace(table []view.Record) error {
	text, err := f.codec.EncodeTable(table)
	if err != nil {
		return err
	}
	next := f.path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, f.path)
}

// close writes the pending table, if any, and ends the goroutine.
func (f *folder) close() {
	f.closeOnce.Do(func() { close(f.ending) })
	f.running.Wait()
}
