package backends

import (
	"net/http"
	"net/url"

	"brasswell/internal/body"
	"brasswell/internal/channel/handshake"
)

// Message is what a request's attempts carry to backends. Attempts share it, so it is never written to.
type Message struct {
	Class             int
	Method, URI, Host string
	URL               *url.URL
	Header            http.Header
	Offer             *handshake.Offer // of a request for a channel; nil for all others
	Body              *body.Body       // a stream's readers follow one another, one for each attempt
}
