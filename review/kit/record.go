// Package kit holds the small stand-ins that the cases of the review share: discovery, backends, the start of the
// proxy with the deploy file's command, and the record of what was sent, answered and run. It knows nothing of the
// proxy's code.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is a case's record.txt. Its methods may be called at any time.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

// NewRecord creates the file and starts its clock.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file}, nil
}

// Now is the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Linef writes one line with its time.
func (r *Record) Linef(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// Trouble reports whether the case plays its disruption: always, but with TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
