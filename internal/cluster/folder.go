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

// membersFile holds addresses of the fleet as this process last knew it.
const membersFile = "members"

const (
	// keepEvery is between two writes of the folder.
	writeInterval = 2 * time.Second
	// mostKept addresses are used from a folder.
	maxFolderAddresses = 64
)

// folder keeps the members' addresses for the next start. They are only where to ask: nothing in it is believed, so a
// folder that is lost, old, torn, another proxy's or another fleet's does no harm but to find fewer.
type folder struct {
	path  string
	codec codec.Codec
	log   *slog.Logger

	pending   chan []view.Record // the latest, not written yet
	ending    chan struct{}
	running   sync.WaitGroup
	closeOnce sync.Once
}

// newFolder returns the folder at a path; "" keeps nothing.
func newFolder(path, fleet string, log *slog.Logger) *folder {
	f := &folder{codec: codec.New(fleet), log: log, pending: make(chan []view.Record, 1), ending: make(chan struct{})}
	if path == "" {
		return f
	}
	f.path = filepath.Join(path, membersFile)
	f.running.Go(f.write)
	return f
}

// used says whether anything is kept.
func (f *folder) enabled() bool { return f.path != "" }

// addresses are those that the folder holds, but for one's own.
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
		f.log.Warn(LogSelf, "what", "the folder is not used", "error", err)
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

// keep has a table written before long, by a folder that is used. It does not block.
func (f *folder) save(table []view.Record) {
	select {
	case <-f.pending: // overtaken
	default:
	}
	select {
	case f.pending <- table:
	default:
	}
}

// write is the goroutine that the file belongs to.
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
			f.log.Warn(LogSelf, "what", "the folder cannot be written; the next start has only seeds", "error", err)
		}
		failed = err != nil
		select {
		case <-f.ending:
		case <-time.After(writeInterval):
		}
	}
}

// replace writes the file whole or not at all.
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

// close writes what has not been written, and ends.
func (f *folder) close() {
	f.closeOnce.Do(func() { close(f.ending) })
	f.running.Wait()
}
