package state

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"
)

// LogDisk is the log message about the folder.
const LogDisk = "state: folder"

const (
	// maxQueuedChanges is how many changes may wait for the disk.
	maxQueuedChanges = 64
	// retryDelay is the minimum time from a failed save to the next attempt.
	retryDelay = 5 * time.Second
	// closeTimeout limits the duration of Close.
	closeTimeout = time.Second
)

// ErrNotPersisted is the error of an operator change that is in force in this process but may be lost in a power loss.
var ErrNotPersisted = errors.New("the change is in force but not on disk, so a power loss would undo it. See the log about the folder")

// Writer writes a proxy's state to disk in its own goroutine, so that request handling never waits for the disk. Its methods are safe
// for concurrent use.
type Writer struct {
	saveInterval time.Duration
	collect      func(context.Context) *Learned // returns the current state; nil if there is nothing to save
	log          *slog.Logger
	changes      chan banRequest
	ctx          context.Context
	cancel       context.CancelFunc
	running      sync.WaitGroup

	mu    sync.Mutex
	stats Stats
}

type banRequest struct {
	id     string
	banned bool
	done   chan error
}

// Stats are the statistics of a Writer.
type Stats struct {
	Saves    int64         `json:"saves"`
	Changes  int64         `json:"changes"`
	Failures int64         `json:"failures"`
	Slowest  time.Duration `json:"slowest_ns"` // the longest duration of one disk operation
	Problem  string        `json:"trouble"`    // current error of the folder; "" if none
	SavedAt  time.Time     `json:"saved_at"`
}

// StartWriter starts a Writer that saves the result of collect at each interval. collect is called from the Writer's goroutine and may
// be slow.
func StartWriter(s *Store, saveInterval time.Duration, collect func(context.Context) *Learned, log *slog.Logger) *Writer {
	w := &Writer{saveInterval: saveInterval, collect: collect, log: log, changes: make(chan banRequest, maxQueuedChanges)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.running.Go(func() {
		defer s.Close()
		w.run(s)
	})
	return w
}

// Ban writes an operator change to disk. It returns nil once the change is durable, and an error if the write failed or did not finish
// before ctx was done.
func (w *Writer) Ban(ctx context.Context, id string, banned bool) error {
	req := banRequest{id, banned, make(chan error, 1)}
	select {
	case w.changes <- req:
	default:
		return ErrNotPersisted // the disk does not respond
	}
	select {
	case err := <-req.done:
		if err != nil {
			return errors.Join(ErrNotPersisted, err)
		}
		return nil
	case <-ctx.Done():
	case <-w.ctx.Done():
	}
	return ErrNotPersisted
}

func (w *Writer) run(s *Store) {
	timer := time.NewTimer(w.saveInterval)
	defer timer.Stop()
	for {
		select {
		case <-w.ctx.Done():
			w.save(s)
			return
		case req := <-w.changes:
			start := time.Now()
			err := s.Ban(req.id, req.banned)
			w.recordResult(start, err, func(f *Stats) { f.Changes++ })
			req.done <- err
		case <-timer.C:
			wait := w.saveInterval
			if !w.save(s) {
				wait = max(wait, retryDelay)
			}
			timer.Reset(wait)
		}
	}
}

func (w *Writer) save(s *Store) bool {
	l := w.collect(w.ctx)
	if l == nil {
		return true
	}
	start := time.Now()
	err := s.Save(l)
	w.recordResult(start, err, func(f *Stats) { f.Saves++; f.SavedAt = time.Now() })
	return err == nil
}

// recordResult counts the result of one disk operation, and logs when the folder becomes faulty or recovers.
func (w *Writer) recordResult(start time.Time, err error, count func(*Stats)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := &w.stats
	f.Slowest = max(f.Slowest, time.Since(start))
	previous := f.Problem
	if err != nil {
		f.Failures++
		f.Problem = err.Error()
	} else {
		count(f)
		f.Problem = ""
	}
	switch {
	case previous == "" && err != nil:
		w.log.Error(LogDisk, "what", "cannot be written; this proxy continues to serve, but its next start will have older saved state", "error", err)
	case previous != "" && err == nil:
		w.log.Info(LogDisk, "what", "can be written again")
	}
}

// Stats returns the statistics so far.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Close saves the state a last time and closes the files. It waits for a disk that does not respond for at most closeTimeout, because
// the process must be able to exit. The goroutine then ends when its disk operation returns.
func (w *Writer) Close() {
	w.cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.running.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
		w.log.Error(LogDisk, "what", "does not respond; the latest learned state is not saved")
	}
}
