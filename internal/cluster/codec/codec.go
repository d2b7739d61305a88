// Package codec writes and reads what the proxies of one fleet say to each other, and what one of them keeps on disk. It
// has no I/O. Nothing here is secret and nothing is signed: a fleet's name keeps fleets apart by mistake, not by intent.
//
// A datagram is a header of 20 bytes and a message in CBOR (RFC 8949):
//
//	bytes 0 to 2    "bwf"
//	byte 3          version
//	bytes 4 to 11   hash of the fleet's name (FNV-1a, 64 bits)
//	bytes 12 to 15  length of what follows the header
//	bytes 16 to 19  CRC-32C of all other bytes
//
// A table, on a stream or in a file, has the same header with "bwt" and an array of records. Fields that a newer version
// adds are passed over; a version that is neither this one nor a neighbour is not read.
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
	// Version of what this program writes. It reads its neighbours, older and newer, too.
	Version = 1
	// MostDatagram is the longest datagram: it fits one packet on the usual networks.
	MaxDatagramBytes = 1200
	// MostParcel is the longest parcel: what another part of the program wants carried, unread.
	MaxPayloadBytes = 4 << 20
	// MostTable is the longest table: 4,096 records of the longest kind.
	MaxTableBytes = 1 << 20

	oldestVersion = 1 // there is none before
	headerSize    = 20
	maxItems      = 1 << 13 // records in a table
)

// What can be wrong with what has come.
var (
	ErrMalformed  = errors.New("not a fleet's message")
	ErrOtherFleet = errors.New("another fleet's")
	ErrVersion    = errors.New("of a version that this program does not read")
	ErrCorrupt    = errors.New("damaged on the way: its checksum is wrong")
	ErrTooLong    = errors.New("longer than allowed")
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

// Codec is one fleet's. It may be used from many goroutines.
type Codec struct{ fleet uint64 }

// New returns the codec of a fleet by its name.
func New(fleet string) Codec {
	h := fnv.New64a()
	h.Write([]byte(fleet))
	return Codec{h.Sum64()}
}

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

// sum is the checksum of a frame but for the bytes that hold it.
func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[:16], castagnoli), castagnoli, frame[headerSize:])
}

// header reads a frame's header and says how long its body is.
func (c Codec) header(kind [3]byte, h []byte) (int, error) {
	switch {
	case len(h) < headerSize || [3]byte(h[:3]) != kind:
		return 0, ErrMalformed
	case h[3] < max(Version-1, oldestVersion) || h[3] > Version+1:
		return 0, fmt.Errorf("%w (%d; this is %d)", ErrVersion, h[3], Version)
	case binary.BigEndian.Uint64(h[4:]) != c.fleet:
		return 0, ErrOtherFleet
	}
	return int(binary.BigEndian.Uint32(h[12:])), nil
}

// body is what a whole frame holds.
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

// read reads the rest of a frame whose header has been read.
func (c Codec) read(kind [3]byte, h [headerSize]byte, r io.Reader, most int) ([]byte, error) {
	n, err := c.header(kind, h[:])
	switch {
	case err != nil:
		return nil, err
	case n > most:
		return nil, fmt.Errorf("%d bytes: %w", n, ErrTooLong)
	}
	// The length is only said so far, so room is made as bytes come.
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	return append(h[:], body...), nil
}

// Message writes a datagram. News that do not fit are left out, the last ones first.
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

// ReadMessage reads a datagram. What it returns is Sound.
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

// Table writes a table.
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

// Parcel writes what another part of the program wants carried.
func (c Codec) EncodePayload(body []byte) ([]byte, error) {
	if len(body) > MaxPayloadBytes {
		return nil, fmt.Errorf("parcel of %d bytes: %w", len(body), ErrTooLong)
	}
	return c.frame(payloads, body), nil
}

// IsParcel says whether a frame that begins so is a parcel.
func IsPayload(frame []byte) bool { return len(frame) >= headerSize && [3]byte(frame[:3]) == payloads }

// ReadParcel reads a frame that holds a parcel.
func (c Codec) DecodePayload(frame []byte) ([]byte, error) { return c.body(payloads, frame) }

// ReadStream reads one frame from a stream, and nothing beyond it: a parcel, or a table, whose records are Sound.
func (c Codec) ReadStream(r io.Reader) (table []view.Record, parcel []byte, err error) {
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
		return nil, nil, fmt.Errorf("parcel: %w", err)
	}
	parcel, err = c.DecodePayload(frame)
	return nil, parcel, err
}

// ReadTable reads a table from a stream, and nothing beyond it. Its records are Sound.
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
