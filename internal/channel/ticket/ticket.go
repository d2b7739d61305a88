// Package ticket seals what a client that was turned away may show when it comes again: its place in the line.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"
)

// Field is the header that carries a ticket, both ways; Cookie is the name under which browsers bring it back, whose
// scripts cannot set a header on a handshake.
const (
	Field  = "X-Channel-Ticket"
	Cookie = "channel-ticket"
)

// Ticket is a client's place in the line.
type Ticket struct {
	Slot     time.Duration // Unix time from which it may come in; 0 for none yet
	Refusals int           // how often it has been turned away
	Nonce    uint64        // its own, so that it lets in once
}

const macBytes, bodyBytes = 16, 8 + 4 + 8

// ErrForged is that of a ticket that this key did not seal for this tenant.
var ErrInvalid = errors.New("ticket: not one of ours")

// Sealer seals and opens tickets. It is safe for concurrent use.
type Sealer struct{ key []byte }

// NewSealer returns a sealer with a key; an empty one stands for a key that is drawn now, and dies with the process.
func NewSealer(key []byte) *Sealer {
	if len(key) == 0 {
		key = make([]byte, sha256.Size)
		rand.Read(key)
	}
	return &Sealer{key}
}

func (s *Sealer) mac(body []byte, tenant string) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(body)
	h.Write([]byte(tenant))
	return h.Sum(nil)[:macBytes]
}

// Seal writes a ticket for a tenant's client.
func (s *Sealer) Seal(t Ticket, tenant string) string {
	body := binary.BigEndian.AppendUint64(make([]byte, 0, bodyBytes+macBytes), uint64(t.Slot))
	body = binary.BigEndian.AppendUint32(body, uint32(t.Refusals))
	body = binary.BigEndian.AppendUint64(body, t.Nonce)
	return base64.RawURLEncoding.EncodeToString(append(body, s.mac(body, tenant)...))
}

// Open reads a ticket that Seal wrote for the tenant.
func (s *Sealer) Open(text, tenant string) (Ticket, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) != bodyBytes+macBytes {
		return Ticket{}, ErrInvalid
	}
	body := raw[:bodyBytes]
	if !hmac.Equal(raw[bodyBytes:], s.mac(body, tenant)) {
		return Ticket{}, ErrInvalid
	}
	return Ticket{
		Slot:     time.Duration(binary.BigEndian.Uint64(body)),
		Refusals: int(binary.BigEndian.Uint32(body[8:])),
		Nonce:    binary.BigEndian.Uint64(body[12:]),
	}, nil
}
