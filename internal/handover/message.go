// Package handover lets a new process of a proxy go on where the running one is: they meet at a Unix socket, and while
// both run they are one proxy. What each of them does when is decided in state.go, without I/O.
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

// version is of the messages' meaning. Processes of different versions do not talk: the new one starts plainly.
const version = 1

// mostBytes bounds a message; a fleet of thousands stays far below.
const mostBytes = 8 << 20

// Kind says what a message is for.
type Kind uint8

// The kinds of message.
const (
	Hello        Kind = iota + 1 // from the new process: who is there?
	StateReply                   // the answer: all that the old one knows
	Ready                        // from the new process: it takes clients
	Ban                          // from either: a server was taken out or put back by hand
	Done                         // the other has done what Ready or Ban asked for
	ShuttingDown                 // from the old process: it takes no clients any more
)

// Message is what two processes tell each other.
type Message struct {
	Version int    `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Number  uint64 `cbor:"3,keyasint,omitempty"` // of a Ready or Ban, and of the Done that answers it
	Server  string `cbor:"4,keyasint,omitempty"` // of a Ban
	Banned  bool   `cbor:"5,keyasint,omitempty"` // of a Ban: taken out, and not put back
	Known   bool   `cbor:"6,keyasint,omitempty"` // of a Done: a list has named the server
	State   *State `cbor:"7,keyasint,omitempty"`
}

// Knowledge is what the old process knows.
type State struct {
	Balancer        balance.Snapshot  `cbor:"1,keyasint"`
	Addresses       map[string]string `cbor:"2,keyasint"` // where to dial the servers that are in service
	Seq             int64             `cbor:"3,keyasint"` // of the list, as discovery counts
	OpenIDs         []string          `cbor:"4,keyasint"` // ids of callers' requests that are not answered yet
	CallerConns     int               `cbor:"5,keyasint"` // connections held
	LongestDeadline time.Duration     `cbor:"6,keyasint"` // the longest that a caller was ready to wait
	LatencyP95      time.Duration     `cbor:"7,keyasint"` // what nearly all answers take
	// ByHand are the servers of Balancer.Banned that were taken out by hand, and not by agreement alone. An earlier version does not
	// say, and has no agreement: nil stands for all.
	BannedByOperator []string `cbor:"8,keyasint"`
	// Clock is a reading of the clock that times are of. An earlier version does not say.
	Clock clock.Reading `cbor:"9,keyasint"`
	// Lists are the servers of Balancer that the newest list leaves out and that are held. An earlier version does not say.
	Lists lists.Snapshot `cbor:"10,keyasint"`
}

// Why a message cannot be read.
var (
	ErrVersion  = errors.New("handover: another version's message")
	ErrChecksum = fmt.Errorf("handover: %w", sealed.ErrChecksum)
	ErrTooLong  = fmt.Errorf("handover: %w", sealed.ErrTooLong)
)

var decoding = strict.CBOR(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16})

// Write writes a message in one piece.
func Write(w io.Writer, m Message) error {
	m.Version = version
	text, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(text) > mostBytes {
		return ErrTooLong
	}
	return sealed.Write(w, text)
}

// Read reads one message. Memory is taken as the bytes come, not as they are announced.
func Read(r io.Reader) (Message, error) {
	var m Message
	text, err := sealed.Read(r, mostBytes)
	switch {
	case errors.Is(err, sealed.ErrChecksum):
		return m, ErrChecksum
	case errors.Is(err, sealed.ErrTooLong):
		return m, ErrTooLong
	case err != nil:
		return m, err
	}
	if err := decoding.Unmarshal(text, &m); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	if m.Version != version {
		return m, ErrVersion
	}
	return m, nil
}
