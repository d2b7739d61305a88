// Package wallclock gives a process of this program a wall clock of its own that can be stepped while it runs. Its monotonic clock and
// those of all other processes stay as they are, and no privileges are needed. It needs a C compiler, and a process that is linked
// dynamically.
package wallclock

import (
	_ "embed"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

//go:embed library/shift.c
var source []byte

// offsetFileVariable names the file of the offset to the library.
const offsetFileVariable = "WALLCLOCK_OFFSET_FILE"

// Library is the library that processes preload.
type Library struct{ path string }

// Build compiles the library into a folder.
func Build(folder string) (*Library, error) {
	code, library := filepath.Join(folder, "wallclock.c"), filepath.Join(folder, "wallclock.so")
	if err := os.WriteFile(code, source, 0o600); err != nil {
		return nil, fmt.Errorf("wall clock: %w", err)
	}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-Werror", "-Wl,-z,now", "-o", library, code).CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("wall clock: cc: %w: %s", err, out)
	}
	return &Library{path: library}, nil
}

// Clock is the wall clock of one process, or of several.
type Clock struct {
	library string
	file    *os.File
}

// NewClock returns a clock that is right, and keeps its offset in a file of that path.
func (l *Library) NewClock(path string) (*Clock, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("wall clock: %w", err)
	}
	c := &Clock{library: l.path, file: file}
	if err := c.Set(0); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return c, nil
}

// Env is what a process has to be started with to go by this clock.
func (c *Clock) Env() []string {
	return []string{"LD_PRELOAD=" + c.library, offsetFileVariable + "=" + c.file.Name()}
}

// Set steps the clock to so far from the machine's.
func (c *Clock) Set(offset time.Duration) error {
	var text [8]byte
	binary.NativeEndian.PutUint64(text[:], uint64(offset))
	if _, err := c.file.WriteAt(text[:], 0); err != nil {
		return fmt.Errorf("wall clock: %w", err)
	}
	return nil
}

// Close closes the file; processes go on by its last offset.
func (c *Clock) Close() error { return c.file.Close() }
