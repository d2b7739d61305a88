package state

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"
)

// LogDisk is the line about a folder.
const LogDisk = "state: folder"

const (
	// mostWaiting changes wait for the disk at one time.
	maxQueuedChanges = 64
	// retryAfter a failure learned things are tried again.
	retryDelay = 5 * time.Second
	// closeTime bounds the end.
	closeTimeout = time.Second
)

// ErrNotKept is that of a change by hand that holds in this process, and may be gone after a power loss.
var ErrNotPersisted = errors.New("it holds here, and is not on disk: after a power loss it would be gone. See the log for the folder")

// Keeper keeps a proxy's state from a goroutine of its own. What serves never waits for it. Its methods may be called at any time.
type Writer struct {
	every   time.Duration
	collect func(context.Context) *Learned // what is known now; nil for nothing new
	log     *slog.Logger
	changes chan banRequest
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu    sync.Mutex
	stats Stats
}

type banRequest struct {
	id     string
	banned bool
	done   chan error
}

// Figures are what a keeper has done.
type Stats struct {
	Saves    int64         `json:"saves"`
	Changes  int64         `json:"changes"`
	Failures int64         `json:"failures"`
	Slowest  time.Duration `json:"slowest_ns"` // the longest that the disk has taken for one thing
	Problem  string        `json:"trouble"`    // what is wrong with the folder now; "" for nothing
	SavedAt  time.Time     `json:"saved_at"`
}

// Keep begins to keep a folder. learn is called from the keeper's goroutine; it may take its time.
func StartWriter(s *Store, every time.Duration, learn func(context.Context) *Learned, log *slog.Logger) *Writer {
	w := &Writer{every: every, collect: learn, log: log, changes: make(chan banRequest, maxQueuedChanges)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.running.Go(func() {
		defer s.Close()
		w.run(s)
	})
	return w
}

// Ban makes a change by hand last. It returns without an error once that is on disk, and with one if that could not be, or not
// before ctx is done.
func (w *Writer) Ban(ctx context.Context, id string, banned bool) error {
	req := banRequest{id, banned, make(chan error, 1)}
	select {
	case w.changes <- req:
	default:
		return ErrNotPersisted // the disk stands
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
	timer := time.NewTimer(w.every)
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
			wait := w.every
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

// noted takes down what became of one thing, and tells people where that has changed.
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
		w.log.Error(LogDisk, "what", "cannot be written; this proxy serves on, and its next start will know less", "error", err)
	case previous != "" && err == nil:
		w.log.Info(LogDisk, "what", "is written again")
	}
}

// Figures are what has been done so far.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Close saves a last time and lets go of the folder. It does not wait for a disk that stands for longer than closeTime: a process
// that is to end must. The goroutine then ends with its call.
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
		w.log.Error(LogDisk, "what", "does not answer; what was learned last is not written")
	}
}
