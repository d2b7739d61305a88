// Package sealed writes records so that a reader can detect torn or corrupt ones. Each record starts with its length and a CRC-32C
// (Castagnoli, RFC 3720 appendix B.4), both four bytes, big-endian. An empty record is invalid: otherwise a run of zeros, as a file system
// may leave at the end of a file after a power loss, would be read as many empty records.
package sealed

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// HeaderBytes is the length of the header before each record.
const HeaderBytes = 8

// Errors of Read, besides those of its reader.
var (
	ErrChecksum = errors.New("checksum mismatch")
	ErrTooLong  = errors.New("record too long")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends a record to dst.
func Append(dst, record []byte) []byte {
	var head [HeaderBytes]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(record)))
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(record, castagnoli))
	return append(append(dst, head[:]...), record...)
}

// Write writes a record with one call of w.Write.
func Write(w io.Writer, record []byte) error {
	_, err := w.Write(Append(make([]byte, 0, HeaderBytes+len(record)), record))
	return err
}

// Read reads a record of at most maxBytes bytes. It allocates memory as data arrives, not by the announced length. It returns io.EOF if
// the input ends between records, and io.ErrUnexpectedEOF if it ends within a record.
func Read(r io.Reader, maxBytes int) ([]byte, error) {
	var head [HeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if uint64(length) > uint64(maxBytes) {
		return nil, ErrTooLong
	}
	record, err := io.ReadAll(io.LimitReader(r, int64(length)))
	switch {
	case err != nil:
		return nil, err
	case uint32(len(record)) < length:
		return nil, io.ErrUnexpectedEOF
	case length == 0 || crc32.Checksum(record, castagnoli) != binary.BigEndian.Uint32(head[4:]):
		return nil, ErrChecksum
	}
	return record, nil
}
