package front

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"brasswell/balance"
	"brasswell/internal/callers"
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
}

// readHead reads a request's head, or returns what is wrong with it. It guesses nothing: a deadline or class made up
// for an invalid request would reach the backends, and the balancer would learn from it.
func (s *Front) readHead(r *http.Request) (requestInfo, error) {
	info := requestInfo{class: -1}
	for _, field := range []string{IDField, ClassField, TenantField, RemainingField, KeyField} {
		if len(r.Header[field]) > 1 {
			return info, fmt.Errorf("%s: given more than once", field)
		}
	}
	if r.TransferEncoding != nil && !chunked(r) {
		return info, errors.New("both Content-Length and Transfer-Encoding")
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

// chunked reports whether the request's body has chunked framing and no length, as far as its connection shows.
func chunked(r *http.Request) bool {
	c := callers.ConnOf(r)
	return c != nil && c.Chunked()
}
