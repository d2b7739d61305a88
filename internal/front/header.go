package front

import (
	"net/http"
	"slices"
	"strings"

	"brasswell/internal/backends"
	"brasswell/internal/body"
)

// hopByHop lists the headers that apply to a single connection, and those that the proxy writes itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length",
}

func newMessage(r *http.Request, class int, buffered *body.Body) *backends.Message {
	header := make(http.Header, len(r.Header)+1)
	copyEndToEnd(header, r.Header)
	if header["User-Agent"] == nil {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return &backends.Message{
		ID:    r.Header.Get(IDField),
		Class: class, Method: r.Method, URI: r.RequestURI, URL: r.URL, Host: r.Host, Header: header, Body: buffered,
	}
}

// copyEndToEnd adds to dst the headers of src that do not apply to a single connection only (RFC 9110, section
// 7.6.1). The values are shared, so neither header's values may be changed in place afterwards.
func copyEndToEnd(dst, src http.Header) {
	named := src["Connection"]
	for name, values := range src {
		if !slices.Contains(hopByHop, name) && !hasToken(named, name) {
			dst[name] = values
		}
	}
}

// hasToken reports whether one of the fields, which are comma-separated lists, contains name.
func hasToken(fields []string, name string) bool {
	for _, field := range fields {
		for item := range strings.SplitSeq(field, ",") {
			if strings.EqualFold(strings.TrimSpace(item), name) {
				return true
			}
		}
	}
	return false
}
