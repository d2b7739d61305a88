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

// The protocol's fields that the proxy goes by.
const (
	IDField        = "X-Txn"
	ClassField     = "X-Lane"
	TenantField    = "X-Org"
	RemainingField = "X-Remaining-Ms"
	KeyField       = "Idempotency-Key"
)

// ask is what a request's head asks for.
type requestInfo struct {
	id            string
	class, tenant int
	remaining     time.Duration
}

// read takes a request's head, or says what is wrong with it. Nothing in it is guessed: a deadline or class made
// up for a caller that sends nonsense would reach the backends, and the balancer would learn from it.
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
	info.remaining = min(settings.Millis(float64(ms)), s.classConfigs[info.class].GiveUp)
	if c := callers.ConnOf(r); c != nil {
		info.remaining -= c.TakeAcceptDelay()
	}
	return info, s.checkClass(r, s.classConfigs[info.class].Effect)
}

// fits says whether a request's method, key and body are those of its class.
func (s *Front) checkClass(r *http.Request, effect balance.Effect) error {
	method, keyed := http.MethodPost, effect == balance.Guarded
	if effect == balance.Free {
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

// chunked says whether the request's body is framed by chunks and no length, as far as its connection shows.
func chunked(r *http.Request) bool {
	c := callers.ConnOf(r)
	return c != nil && c.Chunked()
}
