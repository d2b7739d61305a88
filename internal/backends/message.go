package backends

import (
	"net/http"
	"net/url"

	"brasswell/internal/body"
)

// Message is what a request's attempts carry to backends. Attempts share it, so it is never written to.
type Message struct {
	Class             int
	Method, URI, Host string
	URL               *url.URL
	Header            http.Header
	Body              *body.Body // a stream's readers follow one another, one for each attempt
}
