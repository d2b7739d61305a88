package memory

import (
	"os"
	"strconv"
	"strings"
)

const (
	mebibyte = 1 << 20
	// goShare is the most of the limit that the Go runtime may use. Sockets hold memory in the kernel, which it does not see.
	goShare = 0.75
	// outsideBytes is what a process holds besides the Go runtime's memory and its files: thread stacks, the C library's heap,
	// and what the runtime exceeds its limit by for a moment.
	outsideBytes = 2 * mebibyte
	// idleBytes is what the Go runtime holds in a process without callers.
	idleBytes = 3 * mebibyte
	// accountShare is the part of the remaining memory that the account gives out. The charges below include the garbage that
	// comes with what they are for; the rest is for bursts of it.
	accountShare = 0.85
	// minAccountBytes is the size of the smallest account, with which a process serves some callers.
	minAccountBytes = 2 * mebibyte
)

// What callers make the process hold besides the bytes that they send.
const (
	// ConnectionBytes is charged for a caller's connection: the server's goroutine and its buffers.
	ConnectionBytes = 18 << 10
	// RequestBytes is charged for an open request: its parsed head and the handler.
	RequestBytes = 12 << 10
	// AttemptBytes is charged in addition once the request may be sent: a connection to a backend with its goroutines and
	// buffers, and the beginning of an answer.
	AttemptBytes = 28 << 10
	// IdleBackendBytes is charged for a connection to a backend that carries no request.
	IdleBackendBytes = 14 << 10
	// StreamedBodyBytes is charged for a body that is passed on while it arrives: another goroutine, and net/http's buffer for
	// sending it.
	StreamedBodyBytes = 40 << 10
	// SmallAnswer is how many bytes of an answer are covered by AttemptBytes.
	SmallAnswer = 4 << 10

	// smallHead and smallFields are how many bytes and fields of a head are covered by ConnectionBytes, or AttemptBytes for the head
	// of an answer.
	smallHead, smallFields = 1 << 10, 16
	// bytesPerHeadByte and bytesPerField are what a parsed head holds for each byte and field, with its copy for the other side.
	bytesPerHeadByte, bytesPerField = 2, 130
)

// HeadBytes returns what is charged for the head of a request or an answer, of which this much has been read.
func HeadBytes(bytes, fields int) int64 {
	return int64(max(bytes-smallHead, 0)*bytesPerHeadByte + max(fields-smallFields, 0)*bytesPerField)
}

// ReadAheadBytes returns what is charged for bytes that are buffered behind an open request. The buffer grows by copying.
func ReadAheadBytes(bytes int) int64 {
	const copies = 2
	return int64(copies * bytes)
}

// Plan is how the memory limit of a process is divided.
type Plan struct {
	GoLimit int64 // soft limit of the Go runtime
	Account int64 // what callers may make the process hold
}

// Divide divides a limit in bytes, for a process whose mapped files hold the given number of bytes.
func Divide(limit, files int64) Plan {
	goLimit := min(int64(goShare*float64(limit)), limit-files-outsideBytes)
	return Plan{
		GoLimit: max(goLimit, idleBytes+minAccountBytes),
		Account: max(int64(accountShare*float64(goLimit-idleBytes)), minAccountBytes),
	}
}

// MappedFiles returns how many bytes of its program and libraries this process has mapped, or 0 if the system does not tell. All of
// them may become resident, and count toward the limit then. Linkers place constants beside the code or apart from it, so all
// mappings count.
func MappedFiles() int64 {
	text, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return 0
	}
	bytes := int64(0)
	for line := range strings.Lines(string(text)) {
		bytes += fileMappingBytes(line)
	}
	return bytes
}

// fileMappingBytes returns the size of the mapping that a line of maps describes (see proc_pid_maps(5)), or 0 if no accessible
// file is mapped.
func fileMappingBytes(line string) int64 {
	const minFields = 6 // address, permissions, offset, device, inode, path
	fields := strings.Fields(line)
	if len(fields) < minFields || fields[4] == "0" || strings.HasPrefix(fields[1], "---") {
		return 0
	}
	from, to, _ := strings.Cut(fields[0], "-")
	start, startErr := strconv.ParseInt(from, 16, 64)
	end, endErr := strconv.ParseInt(to, 16, 64)
	if startErr != nil || endErr != nil {
		return 0
	}
	return end - start
}
