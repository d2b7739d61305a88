package front

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"brasswell/balance"
	"brasswell/internal/callers"
	"brasswell/internal/framing"
	"brasswell/internal/settings"
)

// The header fields of the protocol that the proxy evaluates.
const (
	IDField        = "X-Txn"
	ClassField     = "X-Lane"
	TenantField    = "X-Org"
	RemainingField = "X-Remaining-Ms"
	KeyField       = "Idempotency-Key"
)

// requestInfo is what the proxy reads from a request's head.
type requestInfo struct {
	id            string
	class, tenant int
	remaining     time.Duration
	open          *openRequest // nil until the id is claimed
}

// readHead reads a request's head, or returns what is wrong with it. It guesses nothing: a deadline or class made up
// for an invalid request would reach the backends, and the balancer would learn from it.
func (s *Front) readHead(r *http.Request, kind framing.Kind) (requestInfo, error) {
	info := requestInfo{class: -1}
	for _, field := range []string{IDField, ClassField, TenantField, RemainingField, KeyField} {
		if len(r.Header[field]) > 1 {
			return info, fmt.Errorf("%s: given more than once", field)
		}
	}
	if err := checkFraming(r, kind); err != nil {
		return info, err
	}
	if c := callers.ConnOf(r); c != nil && c.Folded() {
		return info, errors.New("a header field over two lines")
	}
	if info.id = r.Header.Get(IDField); info.id == "" {
		return info, fmt.Errorf("%s: missing", IDField)
	}
	class, known := s.classIndex[r.Header.Get(ClassField)]
	if !known {
		return info, fmt.Errorf("%s: unknown class %q", ClassField, r.Header.Get(ClassField))
	}
	info.class = class
	if info.tenant, known = s.tenantIndex[r.Header.Get(TenantField)]; !known {
		info.tenant = -1 // the balancer has no quota for it
	}
	ms, err := strconv.ParseInt(r.Header.Get(RemainingField), 10, 64)
	if err != nil {
		return info, fmt.Errorf("%s: %q is no whole number", RemainingField, r.Header.Get(RemainingField))
	}
	info.remaining = min(settings.Millis(float64(ms)), s.classConfigs[info.class].ClientTimeout)
	if c := callers.ConnOf(r); c != nil {
		info.remaining -= c.TakeAcceptDelay()
	}
	return info, s.checkClass(r, s.classConfigs[info.class].Effect)
}

// checkClass checks that a request's method, key and body fit its class.
func (s *Front) checkClass(r *http.Request, effect balance.Effect) error {
	method, keyed := http.MethodPost, effect == balance.Deduplicated
	if effect == balance.Idempotent {
		method = http.MethodGet
	}
	switch {
	case r.Method != method:
		return fmt.Errorf("%s does not fit the class, %s does", r.Method, method)
	case keyed && r.Header.Get(KeyField) == "":
		return fmt.Errorf("%s: missing, though the class needs it", KeyField)
	case !keyed && r.Header[KeyField] != nil:
		return fmt.Errorf("%s: given, though the class has none", KeyField)
	case method == http.MethodGet && r.ContentLength != 0:
		return errors.New("a GET has no body")
	}
	return nil
}

// framingOf returns how a request is framed, as far as its connection shows. It must be called once for each request.
func framingOf(r *http.Request) framing.Kind {
	switch c := callers.ConnOf(r); {
	case c != nil:
		return c.BeginRequest()
	case r.TransferEncoding == nil:
		return framing.Plain
	}
	return framing.Unknown
}

// checkFraming returns an error unless net/http and the connection's tracker agree on where a request ends. net/http
// ignores a length beside a transfer coding, and a transfer coding in HTTP/1.0.
func checkFraming(r *http.Request, kind framing.Kind) error {
	switch kind {
	case framing.Ambiguous:
		return errors.New("both Content-Length and Transfer-Encoding")
	case framing.Unknown:
		return errors.New("a request behind a message with a transfer coding: send it on another connection")
	case framing.Chunked:
		if r.TransferEncoding == nil {
			return errors.New("Transfer-Encoding in " + r.Proto + ", which has none: send HTTP/1.1")
		}
	case framing.Plain:
		if r.TransferEncoding != nil {
			return errors.New("Transfer-Encoding in a form that can be read in two ways")
		}
	}
	return nil
}
