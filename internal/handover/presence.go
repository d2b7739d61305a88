package handover

import (
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Presence shows other processes of the proxy that this one runs, until it ends in any way or Close is called. It is a
// shared lock on a file, which the kernel releases.
type Presence struct{ file *os.File }

// presencePath returns the path of the file that all processes of a proxy lock.
func presencePath(dir, name string) string { return filepath.Join(dir, "brasswell-"+name+".lock") }

// ShowPresence shows that this process runs.
func ShowPresence(dir, name string) (*Presence, error) {
	file, err := os.OpenFile(presencePath(dir, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_SH|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, fmt.Errorf("handover: lock: %w", err)
	}
	return &Presence{file}, nil
}

// Close ends the presence.
func (p *Presence) Close() { p.file.Close() }

// anyRunning reports whether a process shows its presence. Processes of earlier versions show none.
func anyRunning(dir, name string) bool {
	file, err := os.Open(presencePath(dir, name))
	if err != nil {
		return false
	}
	defer file.Close()
	return unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil
}
