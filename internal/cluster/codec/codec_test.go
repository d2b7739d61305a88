package codec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"brasswell/internal/cluster/view"
)

func record(name string, s view.State) view.Record {
	return view.Record{Name: name, InstanceID: 1 << 63, Incarnation: 7, State: s, Address: "127.0.0.1:7946", By: "n9"}
}

func message() *view.Message {
	target := record("n3", view.Suspect)
	return &view.Message{
		Kind: view.Request, Seq: 1 << 62, From: record("n1", view.Alive), Digest: 99, Target: &target,
		Updates: []view.Record{record("n4", view.Dead), record("n5", view.Left)},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	c := New("shelf")
	text, err := c.EncodeMessage(message())
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.DecodeMessage(text)
	if err != nil || !reflect.DeepEqual(got, message()) {
		t.Errorf("%+v, %v", got, err)
	}
	t.Logf("%d bytes", len(text))
}

// TestDecodingErrorsAreDistinguished: each kind of invalid frame returns its own error, and each single flipped bit is detected.
func TestDecodingErrorsAreDistinguished(t *testing.T) {
	c := New("shelf")
	text, _ := c.EncodeMessage(message())
	for i := range 8 * len(text) {
		bent := bytes.Clone(text)
		bent[i/8] ^= 1 << (i % 8)
		if _, err := c.DecodeMessage(bent); err == nil {
			t.Errorf("no error with bit %d flipped", i)
		}
	}
	if _, err := New("other").DecodeMessage(text); !errors.Is(err, ErrOtherFleet) {
		t.Errorf("message of another fleet: %v", err)
	}
	if _, err := c.DecodeMessage(text[:len(text)-1]); !errors.Is(err, ErrCorrupt) {
		t.Errorf("truncated: %v", err)
	}
	if _, err := c.DecodeMessage(append(bytes.Clone(text), make([]byte, MaxDatagramBytes)...)); !errors.Is(err, ErrTooLong) {
		t.Errorf("too long: %v", err)
	}
	table, _ := c.EncodeTable([]view.Record{record("n1", view.Alive)})
	if _, err := c.DecodeMessage(table); !errors.Is(err, ErrMalformed) {
		t.Errorf("a table decoded as a message: %v", err)
	}
}

// encodeAsVersion encodes a datagram as another version of the program would.
func encodeAsVersion(c Codec, v byte, body any) []byte {
	text, _ := cbor.Marshal(body)
	f := c.frame(datagrams, text)
	f[3] = v
	binary.BigEndian.PutUint32(f[16:], checksum(f))
	return f
}

func TestNeighbouringVersionsAreReadAndOthersNot(t *testing.T) {
	c := New("shelf")
	from := map[int]any{1: "n1", 2: 5, 3: 1, 4: 1, 5: "127.0.0.1:1", 77: "what this version does not know"}
	for v, want := range map[byte]error{Version: nil, Version + 1: nil, Version + 2: ErrVersion, 0: ErrVersion, 255: ErrVersion} {
		m, err := c.DecodeMessage(encodeAsVersion(c, v, map[int]any{1: 1, 2: 9, 3: from, 99: []int{1}}))
		if !errors.Is(err, want) || want == nil && (m.From.Name != "n1" || m.Seq != 9) {
			t.Errorf("version %d: %+v, %v", v, m, err)
		}
	}
	if _, err := c.DecodeMessage(encodeAsVersion(c, Version+1, map[int]any{1: 50, 3: from})); !errors.Is(err, ErrMalformed) {
		t.Errorf("an unknown kind of message: %v", err)
	}
}

func TestUpdatesThatDoNotFitAreLeftOut(t *testing.T) {
	c := New("shelf")
	m := message()
	for i := range 100 {
		m.Updates = append(m.Updates, record(fmt.Sprintf("%s-%d", strings.Repeat("n", 50), i), view.Alive))
	}
	text, err := c.EncodeMessage(m)
	if err != nil || len(text) > MaxDatagramBytes {
		t.Fatalf("%d bytes, %v", len(text), err)
	}
	if got, err := c.DecodeMessage(text); err != nil || len(got.Updates) < 5 {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestTables(t *testing.T) {
	c := New("shelf")
	var want []view.Record
	for i := range 2000 {
		want = append(want, record(fmt.Sprintf("n%d", i), view.Alive))
	}
	text, err := c.EncodeTable(want)
	if err != nil {
		t.Fatal(err)
	}
	r := bytes.NewReader(append(bytes.Clone(text), "more"...))
	if got, err := c.ReadTable(r); err != nil || !reflect.DeepEqual(got, want) || r.Len() != len("more") {
		t.Errorf("%d records, %d bytes left, %v", len(got), r.Len(), err)
	}
	for _, n := range []int{0, 1, headerSize, headerSize + 1, len(text) / 2, len(text) - 1} {
		if _, err := c.ReadTable(bytes.NewReader(text[:n])); err == nil {
			t.Errorf("no error for a table cut to %d bytes", n)
		}
	}
	huge := bytes.Clone(text)
	binary.BigEndian.PutUint32(huge[12:], 1<<31)
	if _, err := c.ReadTable(bytes.NewReader(huge)); !errors.Is(err, ErrTooLong) {
		t.Errorf("a length of 2 GiB: %v", err)
	}
}

func FuzzReadMessage(f *testing.F) {
	c := New("shelf")
	text, _ := c.EncodeMessage(message())
	f.Add(text[headerSize:])
	f.Add([]byte{0xa1, 0x01, 0x9f})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		c.DecodeMessage(body)
		m, err := c.DecodeMessage(c.frame(datagrams, body)) // with a valid checksum, which an attacker can compute
		if err != nil {
			return
		}
		again, err := c.EncodeMessage(m)
		if err != nil {
			t.Fatalf("%+v was decoded but cannot be encoded: %v", m, err)
		}
		if _, err := c.DecodeMessage(again); err != nil {
			t.Fatalf("%+v cannot be decoded again: %v", m, err)
		}
	})
}

func FuzzReadTable(f *testing.F) {
	c := New("shelf")
	text, _ := c.EncodeTable([]view.Record{record("n1", view.Alive)})
	f.Add(text[headerSize:])
	f.Fuzz(func(t *testing.T, body []byte) {
		c.ReadTable(bytes.NewReader(body))
		c.ReadTable(bytes.NewReader(c.frame(tables, body)))
	})
}
