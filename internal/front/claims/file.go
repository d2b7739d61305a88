package claims

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"

	"brasswell/internal/clock"
)

const (
	// magic begins a table's file. It is changed with the format.
	magic       = "brasswell claims 1\n"
	headerBytes = 64 // magic, padding, and the seed at its end
	fileBytes   = headerBytes + slots*8
	// createTries bounds how often a file is created that another process damages or removes at the same time.
	createTries = 3
)

var errFormat = errors.New("not a table of this version")

// Open returns the table in a file, which is created if there is none. All processes that have opened the file share the
// table. A file that holds no table of this version is replaced.
func Open(path string) (*Table, error) {
	var err error
	for range createTries {
		if err = create(path); err != nil {
			break
		}
		var t *Table
		if t, err = open(path); err == nil {
			return t, nil
		}
		if errors.Is(err, errFormat) {
			os.Remove(path)
		}
	}
	return nil, fmt.Errorf("claims: %w", err)
}

// create creates the file of an empty table, unless there is a file already. It is complete before others can see it. All
// of its bytes are written, because a missing page would end the process that uses it on a full disk.
func create(path string) error {
	if _, err := os.Lstat(path); err == nil {
		return nil
	}
	content := make([]byte, fileBytes)
	copy(content, magic)
	rand.Read(content[headerBytes-seedBytes : headerBytes])
	temp := fmt.Sprintf("%s.%d", path, os.Getpid())
	defer os.Remove(temp)
	if err := os.WriteFile(temp, content, 0o600); err != nil {
		return err
	}
	if err := os.Link(temp, path); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return nil
}

func open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() != fileBytes {
		return nil, errFormat
	}
	mapping, err := unix.Mmap(int(file.Fd()), 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, os.NewSyscallError("mmap", err)
	}
	if string(mapping[:len(magic)]) != magic {
		unix.Munmap(mapping)
		return nil, errFormat
	}
	t := &Table{now: clock.Shared}
	copy(t.seed[:], mapping[headerBytes-seedBytes:])
	runtime.AddCleanup(t, func(mapping []byte) { unix.Munmap(mapping) }, mapping)
	t.slots = unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&mapping[headerBytes])), slots)
	return t, nil
}
