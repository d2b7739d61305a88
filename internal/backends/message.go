package backends

import (
	"net/http"
	"net/url"

	"brasswell/internal/body"
	"brasswell/internal/channel/handshake"
)

// Message is the request that its attempts send to backends. Attempts share it, so it must not be modified.
type Message struct {
	ID                string // of the caller's
	Class             int
	Method, URI, Host string
	URL               *url.URL
	Header            http.Header
	Offer             *handshake.Offer // set for a WebSocket upgrade only
	Body              *body.Body       // each attempt reads a stream with a reader of its own, one after another
}
