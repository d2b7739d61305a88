// Package handshake checks both halves of a WebSocket handshake (RFC 6455, section 4) as an intermediary sees them. It
// does no I/O and does not change the handshake: the offer and the choice are up to the two ends.
package handshake

import (
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"brasswell/internal/channel/frame"
)

// Version is the only supported version of the protocol.
const Version = "13"

// The header fields of the handshake.
const (
	KeyField       = "Sec-Websocket-Key"
	AcceptField    = "Sec-Websocket-Accept"
	VersionField   = "Sec-Websocket-Version"
	ProtocolField  = "Sec-Websocket-Protocol"
	ExtensionField = "Sec-Websocket-Extensions"
	// CheckField, set to "utf8" by either end, makes the proxy check that text messages are valid UTF-8.
	CheckField = "X-Channel-Check"

	upgradeField    = "Upgrade"
	connectionField = "Connection"
)

// ErrVersion is the error for a request for another version. It is answered with 426 and the supported version.
var ErrVersion = errors.New(VersionField + ": only " + Version + " is spoken")

// IsUpgrade reports whether a request asks for a channel, whether it is valid or not.
func IsUpgrade(r *http.Request) bool {
	return hasToken(r.Header[upgradeField], "websocket")
}

// hasToken reports whether one of the fields, which are lists of tokens (RFC 9110, section 5.6.1), contains token.
func hasToken(fields []string, token string) bool {
	return slices.ContainsFunc(tokens(fields), func(t string) bool { return strings.EqualFold(t, token) })
}

// tokens returns all elements of fields that are comma-separated lists.
func tokens(fields []string) []string {
	var all []string
	for _, field := range fields {
		for t := range strings.SplitSeq(field, ",") {
			if t = strings.TrimSpace(t); t != "" {
				all = append(all, t)
			}
		}
	}
	return all
}

// Offer is the client's half of a handshake.
type Offer struct {
	key        string
	protocols  []string
	extensions []string // their names
	UTF8       bool     // the client asks for text to be checked
}

// ParseOffer parses and checks a request for a channel.
func ParseOffer(r *http.Request) (*Offer, error) {
	h := r.Header
	switch {
	case r.Method != http.MethodGet:
		return nil, fmt.Errorf("%s: a channel begins with GET", r.Method)
	case !r.ProtoAtLeast(1, 1):
		return nil, errors.New("a channel needs HTTP/1.1")
	case !hasToken(h[connectionField], "upgrade"):
		return nil, fmt.Errorf("%s: lacks the option upgrade", connectionField)
	case len(tokens(h[upgradeField])) != 1:
		return nil, fmt.Errorf("%s: names more than websocket", upgradeField)
	case r.ContentLength != 0 || r.TransferEncoding != nil:
		return nil, errors.New("a request for a channel has no body")
	case len(h[VersionField]) != 1 || h.Get(VersionField) != Version:
		return nil, ErrVersion
	case len(h[KeyField]) != 1:
		return nil, fmt.Errorf("%s: must be given once", KeyField)
	}
	o := &Offer{key: h.Get(KeyField), UTF8: h.Get(CheckField) == "utf8"}
	if nonce, err := base64.StdEncoding.Strict().DecodeString(o.key); err != nil || len(nonce) != 16 {
		return nil, fmt.Errorf("%s: not 16 bytes in base64", KeyField)
	}
	o.protocols = tokens(h[ProtocolField])
	for i, p := range o.protocols {
		if !isToken(p) {
			return nil, fmt.Errorf("%s: %q is no token", ProtocolField, p)
		}
		if slices.Contains(o.protocols[:i], p) {
			return nil, fmt.Errorf("%s: %q is offered twice", ProtocolField, p)
		}
	}
	var err error
	if o.extensions, err = extensions(h[ExtensionField]); err != nil {
		return nil, err
	}
	return o, nil
}

// AcceptKey returns the value of AcceptField that answers a key.
func AcceptKey(key string) string {
	const magic = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
	sum := sha1.Sum([]byte(key + magic))
	return base64.StdEncoding.EncodeToString(sum[:])
}

// Agreement is the result of a handshake.
type Agreement struct {
	ReservedBits byte // the reserved bits that may be set
	UTF8         bool // one of the ends asks for text to be checked
}

// Check checks a server's 101 response against the client's offer.
func (o *Offer) Check(h http.Header) (Agreement, error) {
	a := Agreement{UTF8: o.UTF8 || h.Get(CheckField) == "utf8"}
	switch {
	case len(tokens(h[upgradeField])) != 1 || !hasToken(h[upgradeField], "websocket"):
		return a, fmt.Errorf("%s: the server switched to a protocol other than websocket", upgradeField)
	case !hasToken(h[connectionField], "upgrade"):
		return a, fmt.Errorf("%s: the server's response lacks the option upgrade", connectionField)
	case len(h[AcceptField]) != 1 || h.Get(AcceptField) != AcceptKey(o.key):
		return a, fmt.Errorf("%s: does not match the client's key", AcceptField)
	case len(h[ProtocolField]) > 1:
		return a, fmt.Errorf("%s: the server sent it more than once", ProtocolField)
	case h["Content-Length"] != nil || h["Transfer-Encoding"] != nil:
		return a, errors.New("a 101 response must not have Content-Length or Transfer-Encoding")
	}
	if chosen := h.Get(ProtocolField); len(h[ProtocolField]) == 1 && !slices.Contains(o.protocols, chosen) {
		return a, fmt.Errorf("%s: the server chose %q, which was not offered", ProtocolField, chosen)
	}
	agreed, err := extensions(h[ExtensionField])
	if err != nil {
		return a, err
	}
	for _, e := range agreed {
		if !slices.Contains(o.extensions, e) {
			return a, fmt.Errorf("%s: the server chose %q, which was not offered", ExtensionField, e)
		}
		if e == "permessage-deflate" {
			a.ReservedBits |= frame.CompressedBit
		} else {
			a.ReservedBits = 0x70 // only the ends know which bits the extension uses
		}
	}
	return a, nil
}

// extensions returns the names in lists of extensions with parameters, whose values may be quoted (section 9.1).
func extensions(fields []string) ([]string, error) {
	var names []string
	for _, field := range fields {
		for item, rest := "", field; rest != ""; {
			item, rest = cutListItem(rest)
			if item = strings.TrimSpace(item); item == "" {
				continue
			}
			name, _, _ := strings.Cut(item, ";")
			if name = strings.TrimSpace(name); !isToken(name) {
				return nil, fmt.Errorf("%s: %q is no extension", ExtensionField, item)
			}
			names = append(names, strings.ToLower(name))
		}
	}
	return names, nil
}

// cutListItem splits a list at its first comma that is not quoted.
func cutListItem(s string) (item, rest string) {
	quoted := false
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '"':
			quoted = !quoted
		case s[i] == '\\' && quoted:
			i++
		case s[i] == ',' && !quoted:
			return s[:i], s[i+1:]
		}
	}
	return s, ""
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`()<>@,;:\"/[]?={}`, r)
	})
}
