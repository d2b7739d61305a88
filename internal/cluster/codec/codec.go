// Package codec encodes and decodes the messages between the proxies of one fleet, and the members file on disk. It opens no files or
// sockets. Nothing is encrypted or signed: the hash of the fleet's name protects against mistakes, not against attacks.
//
// A datagram is a header of 20 bytes and a message in CBOR (RFC 8949):
//
//	bytes 0 to 2    "bwf"
//	byte 3          version
//	bytes 4 to 11   hash of the fleet's name (FNV-1a, 64 bits)
//	bytes 12 to 15  length of the body after the header
//	bytes 16 to 19  CRC-32C of all other bytes
//
// A table, on a stream or in a file, has the same header with "bwt" and an array of records. A payload of another package has it with
// "bwp". Unknown fields of a newer version are ignored; a version that is neither this one nor adjacent to it is rejected.
package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"

	"github.com/fxamacker/cbor/v2"

	"brasswell/internal/cluster/view"
	"brasswell/internal/strict"
)

const (
	// Version is the version that this program writes. It also reads the version before and the version after.
	Version = 1
	// MaxDatagramBytes bounds a datagram, so that it fits one packet on common networks.
	MaxDatagramBytes = 1200
	// MaxPayloadBytes bounds a payload, which another package of the program sends and this package does not interpret.
	MaxPayloadBytes = 4 << 20
	// MaxTableBytes bounds a table: 4,096 records of maximum size.
	MaxTableBytes = 1 << 20

	oldestVersion = 1 // no version precedes it
	headerSize    = 20
	maxItems      = 1 << 13 // records in a table
)

// The errors of decoding.
var (
	ErrMalformed  = errors.New("malformed fleet message")
	ErrOtherFleet = errors.New("message of another fleet")
	ErrVersion    = errors.New("unsupported protocol version")
	ErrCorrupt    = errors.New("checksum mismatch")
	ErrTooLong    = errors.New("too long")
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	datagrams  = [3]byte{'b', 'w', 'f'}
	tables     = [3]byte{'b', 'w', 't'}
	payloads   = [3]byte{'b', 'w', 'p'}
	decMode    = strict.CBOR(cbor.DecOptions{
		TagsMd:          cbor.TagsForbidden,
		MaxNestedLevels: 8, MaxArrayElements: maxItems, MaxMapPairs: 64,
	})
)

// Codec encodes and decodes the frames of one fleet. It is safe for concurrent use.
type Codec struct{ fleet uint64 }

// New returns the codec of the fleet with a name.
func New(fleet string) Codec {
	h := fnv.New64a()
	h.Write([]byte(fleet))
	return Codec{h.Sum64()}
}

// frame returns a frame of a kind: the header and a body.
func (c Codec) frame(kind [3]byte, body []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(body))
	copy(b, kind[:])
	b[3] = Version
	binary.BigEndian.PutUint64(b[4:], c.fleet)
	binary.BigEndian.PutUint32(b[12:], uint32(len(body)))
	b = append(b, body...)
	binary.BigEndian.PutUint32(b[16:], checksum(b))
	return b
}

// checksum returns the checksum of a frame without the bytes that hold it.
func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[:16], castagnoli), castagnoli, frame[headerSize:])
}

// header checks a frame's header and returns the length of its body.
func (c Codec) header(kind [3]byte, h []byte) (int, error) {
	switch {
	case len(h) < headerSize || [3]byte(h[:3]) != kind:
		return 0, ErrMalformed
	case h[3] < max(Version-1, oldestVersion) || h[3] > Version+1:
		return 0, fmt.Errorf("%w %d; this program writes version %d", ErrVersion, h[3], Version)
	case binary.BigEndian.Uint64(h[4:]) != c.fleet:
		return 0, ErrOtherFleet
	}
	return int(binary.BigEndian.Uint32(h[12:])), nil
}

// body checks a complete frame and returns its body.
func (c Codec) body(kind [3]byte, frame []byte) ([]byte, error) {
	n, err := c.header(kind, frame)
	switch {
	case err != nil:
		return nil, err
	case n != len(frame)-headerSize || checksum(frame) != binary.BigEndian.Uint32(frame[16:]):
		return nil, ErrCorrupt
	}
	return frame[headerSize:], nil
}

// decode checks a complete frame and decodes its CBOR body.
func (c Codec) decode(kind [3]byte, frame []byte, into any) error {
	body, err := c.body(kind, frame)
	if err != nil {
		return err
	}
	if err := decMode.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// read reads the body of a frame whose header has been read, and returns the complete frame.
func (c Codec) read(kind [3]byte, h [headerSize]byte, r io.Reader, most int) ([]byte, error) {
	n, err := c.header(kind, h[:])
	switch {
	case err != nil:
		return nil, err
	case n > most:
		return nil, fmt.Errorf("%d bytes: %w", n, ErrTooLong)
	}
	// The length in the header is not verified yet, so memory is allocated only as bytes arrive.
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	return append(h[:], body...), nil
}

// EncodeMessage encodes a datagram. It removes updates that do not fit from m, the last ones first.
func (c Codec) EncodeMessage(m *view.Message) ([]byte, error) {
	for {
		body, err := cbor.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("message: %w", err)
		}
		if headerSize+len(body) <= MaxDatagramBytes {
			return c.frame(datagrams, body), nil
		}
		if len(m.Updates) == 0 {
			return nil, fmt.Errorf("message: %w", ErrTooLong)
		}
		m.Updates = m.Updates[:len(m.Updates)-1]
	}
}

// DecodeMessage decodes a datagram. The message has passed Validate.
func (c Codec) DecodeMessage(datagram []byte) (*view.Message, error) {
	if len(datagram) > MaxDatagramBytes {
		return nil, ErrTooLong
	}
	m := &view.Message{}
	if err := c.decode(datagrams, datagram, m); err != nil {
		return nil, err
	}
	if err := m.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return m, nil
}

// EncodeTable encodes a table.
func (c Codec) EncodeTable(t []view.Record) ([]byte, error) {
	body, err := cbor.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	if len(body) > MaxTableBytes {
		return nil, fmt.Errorf("table of %d records: %w", len(t), ErrTooLong)
	}
	return c.frame(tables, body), nil
}

// EncodePayload encodes a payload of another package of the program.
func (c Codec) EncodePayload(body []byte) ([]byte, error) {
	if len(body) > MaxPayloadBytes {
		return nil, fmt.Errorf("payload of %d bytes: %w", len(body), ErrTooLong)
	}
	return c.frame(payloads, body), nil
}

// IsPayload reports whether a frame with this beginning holds a payload.
func IsPayload(frame []byte) bool { return len(frame) >= headerSize && [3]byte(frame[:3]) == payloads }

// DecodePayload returns the payload of a frame.
func (c Codec) DecodePayload(frame []byte) ([]byte, error) { return c.body(payloads, frame) }

// ReadStream reads one frame from a stream, and nothing beyond it: a payload, or a table whose records have passed Validate.
func (c Codec) ReadStream(r io.Reader) (table []view.Record, payload []byte, err error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, nil, fmt.Errorf("stream: %w", err)
	}
	if !IsPayload(h[:]) {
		table, err = c.readTable(h, r)
		return table, nil, err
	}
	frame, err := c.read(payloads, h, r, MaxPayloadBytes)
	if err != nil {
		return nil, nil, fmt.Errorf("payload: %w", err)
	}
	payload, err = c.DecodePayload(frame)
	return nil, payload, err
}

// ReadTable reads a table from a stream, and nothing beyond it. Its records have passed Validate.
func (c Codec) ReadTable(r io.Reader) ([]view.Record, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	return c.readTable(h, r)
}

func (c Codec) readTable(h [headerSize]byte, r io.Reader) ([]view.Record, error) {
	frame, err := c.read(tables, h, r, MaxTableBytes)
	if err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	var t []view.Record
	if err := c.decode(tables, frame, &t); err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	for i := range t {
		if err := t[i].Validate(); err != nil {
			return nil, fmt.Errorf("table: %w: %d: %w", ErrMalformed, i, err)
		}
	}
	return t, nil
}
