// Package sealed writes pieces of bytes so that a reader can tell whole ones from torn or bent ones: a length and a CRC-32C
// (Castagnoli, RFC 3720 appendix B.4) before each, both of four bytes, big-endian. An empty piece is none: a row of zeros, as a file
// system leaves them at the end of a file after a power loss, would be many.
package sealed

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// HeadBytes stand before each piece.
const HeaderBytes = 8

// Why a piece cannot be read.
var (
	ErrChecksum = errors.New("checksum does not fit")
	ErrTooLong  = errors.New("too long")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append adds a piece to text.
func Append(text, piece []byte) []byte {
	var head [HeaderBytes]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(piece)))
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(piece, castagnoli))
	return append(append(text, head[:]...), piece...)
}

// Write writes a piece with one call.
func Write(w io.Writer, piece []byte) error {
	_, err := w.Write(Append(make([]byte, 0, HeaderBytes+len(piece)), piece))
	return err
}

// Read reads a piece of at most so many bytes. Memory is taken as the bytes come, not as they are announced. At a clean end the
// error is io.EOF, and within a piece io.ErrUnexpectedEOF.
func Read(r io.Reader, most int) ([]byte, error) {
	var head [HeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if uint64(length) > uint64(most) {
		return nil, ErrTooLong
	}
	piece, err := io.ReadAll(io.LimitReader(r, int64(length)))
	switch {
	case err != nil:
		return nil, err
	case uint32(len(piece)) < length:
		return nil, io.ErrUnexpectedEOF
	case length == 0 || crc32.Checksum(piece, castagnoli) != binary.BigEndian.Uint32(head[4:]):
		return nil, ErrChecksum
	}
	return piece, nil
}
