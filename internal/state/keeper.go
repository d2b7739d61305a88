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
	mostWaiting = 64
	// retryAfter a failure learned things are tried again.
	retryAfter = 5 * time.Second
	// closeTime bounds the end.
	closeTime = time.Second
)

// ErrNotKept is that of a change by hand that holds in this process, and may be gone after a power loss.
var ErrNotPersisted = errors.New("it holds here, and is not on disk: after a power loss it would be gone. See the log for the folder")

// Keeper keeps a proxy's state from a goroutine of its own. What serves never waits for it. Its methods may be called at any time.
type Writer struct {
	every   time.Duration
	learn   func(context.Context) *Learned // what is known now; nil for nothing new
	log     *slog.Logger
	changes chan ask
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	figures Stats
}

type ask struct {
	id   string
	out  bool
	done chan error
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
	k := &Writer{every: every, learn: learn, log: log, changes: make(chan ask, mostWaiting)}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.running.Go(func() {
		defer s.Close()
		k.own(s)
	})
	return k
}

// Ban makes a change by hand last. It returns without an error once that is on disk, and with one if that could not be, or not
// before ctx is done.
func (k *Writer) Ban(ctx context.Context, id string, out bool) error {
	a := ask{id, out, make(chan error, 1)}
	select {
	case k.changes <- a:
	default:
		return ErrNotPersisted // the disk stands
	}
	select {
	case err := <-a.done:
		if err != nil {
			return errors.Join(ErrNotPersisted, err)
		}
		return nil
	case <-ctx.Done():
	case <-k.ctx.Done():
	}
	return ErrNotPersisted
}

func (k *Writer) own(s *Store) {
	timer := time.NewTimer(k.every)
	defer timer.Stop()
	for {
		select {
		case <-k.ctx.Done():
			k.save(s)
			return
		case a := <-k.changes:
			begun := time.Now()
			err := s.Ban(a.id, a.out)
			k.noted(begun, err, func(f *Stats) { f.Changes++ })
			a.done <- err
		case <-timer.C:
			wait := k.every
			if !k.save(s) {
				wait = max(wait, retryAfter)
			}
			timer.Reset(wait)
		}
	}
}

func (k *Writer) save(s *Store) bool {
	l := k.learn(k.ctx)
	if l == nil {
		return true
	}
	begun := time.Now()
	err := s.Save(l)
	k.noted(begun, err, func(f *Stats) { f.Saves++; f.SavedAt = time.Now() })
	return err == nil
}

// noted takes down what became of one thing, and tells people where that has changed.
func (k *Writer) noted(begun time.Time, err error, count func(*Stats)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := &k.figures
	f.Slowest = max(f.Slowest, time.Since(begun))
	was := f.Problem
	if err != nil {
		f.Failures++
		f.Problem = err.Error()
	} else {
		count(f)
		f.Problem = ""
	}
	switch {
	case was == "" && err != nil:
		k.log.Error(LogDisk, "what", "cannot be written; this proxy serves on, and its next start will know less", "error", err)
	case was != "" && err == nil:
		k.log.Info(LogDisk, "what", "is written again")
	}
}

// Figures are what has been done so far.
func (k *Writer) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.figures
}

// Close saves a last time and lets go of the folder. It does not wait for a disk that stands for longer than closeTime: a process
// that is to end must. The goroutine then ends with its call.
func (k *Writer) Close() {
	k.cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.running.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(closeTime):
		k.log.Error(LogDisk, "what", "does not answer; what was learned last is not written")
	}
}
