// Package handover transfers the state of a running proxy process to a new one. The processes connect through a Unix socket
// and act as one proxy while both run. state.go decides what each of them does and when, and performs no I/O.
package handover

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brasswell/balance"
	"brasswell/internal/clock"
	"brasswell/internal/cluster/lists"
	"brasswell/internal/sealed"
	"brasswell/internal/strict"
)

// version is the version of the messages' meaning. Processes of different versions don't communicate: the new one starts
// without the state of the old one.
const version = 1

// maxBytes bounds the size of a message. The state of a fleet of thousands of servers is far smaller.
const maxBytes = 8 << 20

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	Hello        Kind = iota + 1 // from the new process: requests the state
	StateReply                   // from the old process: the response with its state
	Ready                        // from the new process: it accepts clients
	Ban                          // from either: the operator has taken a server out or put it back
	Done                         // confirms that a Ready or Ban has been carried out
	ShuttingDown                 // from the old process: it no longer accepts clients
)

// Message is a message between two processes of a proxy.
type Message struct {
	Version int    `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Number  uint64 `cbor:"3,keyasint,omitempty"` // of a Ready or Ban, repeated in the Done that confirms it
	Server  string `cbor:"4,keyasint,omitempty"` // of a Ban
	Banned  bool   `cbor:"5,keyasint,omitempty"` // of a Ban: the server is taken out; false if it is put back
	Known   bool   `cbor:"6,keyasint,omitempty"` // of a Done: a list has contained the server
	State   *State `cbor:"7,keyasint,omitempty"`
}

// State is the state of the old process. The json names are the keys in the files that `brasswell state export` writes.
type State struct {
	Balancer        balance.Snapshot  `cbor:"1,keyasint"`
	Addresses       map[string]string `cbor:"2,keyasint"`                // addresses of the servers in service
	Seq             int64             `cbor:"3,keyasint"`                // discovery's sequence number of the list
	OpenIDs         []string          `cbor:"4,keyasint" json:"Open"`    // ids of callers' requests without a response
	CallerConns     int               `cbor:"5,keyasint" json:"Callers"` // open connections of callers
	LongestDeadline time.Duration     `cbor:"6,keyasint" json:"Longest"` // the longest time that a caller was ready to wait
	LatencyP95      time.Duration     `cbor:"7,keyasint" json:"Usual"`   // 95th percentile of response times
	// BannedByOperator are the servers of Balancer.Banned that the operator took out, as opposed to those taken out
	// only by an agreement of the fleet. It is nil if the sender is an earlier version, which has no agreement; nil
	// means all of them.
	BannedByOperator []string `cbor:"8,keyasint" json:"ByHand"`
	// Clock is a reading of the clock that all times refer to. Earlier versions omit it.
	Clock clock.Reading `cbor:"9,keyasint"`
	// Lists are the servers of Balancer that the newest list omits and that are still kept. Earlier versions omit it.
	Lists lists.Snapshot `cbor:"10,keyasint"`
}

// Errors of reading a message.
var (
	ErrVersion  = errors.New("handover: message of another version")
	ErrChecksum = fmt.Errorf("handover: %w", sealed.ErrChecksum)
	ErrTooLong  = fmt.Errorf("handover: %w", sealed.ErrTooLong)
)

var decMode = strict.CBOR(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16})

// Write writes a message with a single write.
func Write(w io.Writer, m Message) error {
	m.Version = version
	payload, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(payload) > maxBytes {
		return ErrTooLong
	}
	return sealed.Write(w, payload)
}

// Read reads one message. It allocates memory as bytes arrive, not according to the announced size.
func Read(r io.Reader) (Message, error) {
	var m Message
	payload, err := sealed.Read(r, maxBytes)
	switch {
	case errors.Is(err, sealed.ErrChecksum):
		return m, ErrChecksum
	case errors.Is(err, sealed.ErrTooLong):
		return m, ErrTooLong
	case err != nil:
		return m, err
	}
	if err := decMode.Unmarshal(payload, &m); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	if m.Version != version {
		return m, ErrVersion
	}
	return m, nil
}
