// Package ticket seals the tickets that refused clients present when they retry, and that hold their slots.
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

// Field is the header field that carries a ticket in requests and responses. Cookie is the name of the cookie with which
// browsers return it, because their scripts cannot set a header field on a handshake.
const (
	Field  = "X-Channel-Ticket"
	Cookie = "channel-ticket"
)

// Ticket is the state of a refused client.
type Ticket struct {
	Slot     time.Duration // Unix time from which the client may be admitted; 0 if it has no slot yet
	Refusals int           // how often the client has been refused
	Nonce    uint64        // identifies the ticket, so that it admits only once
}

const macBytes, bodyBytes = 16, 8 + 4 + 8

// ErrInvalid is the error for a ticket that was not sealed with this key for this tenant.
var ErrInvalid = errors.New("ticket: not sealed with this key for this tenant")

// Sealer seals and opens tickets. It is safe for concurrent use.
type Sealer struct{ key []byte }

// NewSealer returns a Sealer with the given key. If key is empty, it uses a random key, which is lost when the process
// ends.
func NewSealer(key []byte) *Sealer {
	if len(key) == 0 {
		key = make([]byte, sha256.Size)
		rand.Read(key)
	}
	return &Sealer{key}
}

// mac returns the authentication code of a ticket and its tenant.
func (s *Sealer) mac(body []byte, tenant string) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(body)
	h.Write([]byte(tenant))
	return h.Sum(nil)[:macBytes]
}

// Seal encodes and authenticates a ticket for a client of the tenant.
func (s *Sealer) Seal(t Ticket, tenant string) string {
	body := binary.BigEndian.AppendUint64(make([]byte, 0, bodyBytes+macBytes), uint64(t.Slot))
	body = binary.BigEndian.AppendUint32(body, uint32(t.Refusals))
	body = binary.BigEndian.AppendUint64(body, t.Nonce)
	return base64.RawURLEncoding.EncodeToString(append(body, s.mac(body, tenant)...))
}

// Open decodes a ticket that Seal has returned for the tenant.
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
