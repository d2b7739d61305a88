package front

import (
	"net/http"
	"time"

	"brasswell/internal/callers"
	"brasswell/internal/figures"
	"brasswell/internal/memory"
)

// heldRequest is what is charged for one open request, without its body and its answer.
type heldRequest struct {
	front *Front
	use   memory.Use
	bytes int64
}

// newHeldRequest returns a request for which nothing is charged yet.
func (s *Front) newHeldRequest(r *http.Request) heldRequest {
	h := heldRequest{front: s, use: memory.Requests}
	if c := callers.ConnOf(r); c != nil && c.First() {
		h.use = memory.FirstRequests
	}
	return h
}

// grow charges more bytes. It closes connections that have no open request if that makes room, and returns an error for the
// caller if it does not.
func (h *heldRequest) grow(bytes int64) error {
	account := h.front.memory
	granted := account.Reserve(h.use, bytes)
	if !granted && account.Crowded(h.use, bytes) {
		h.front.callers.MakeRoom(int(bytes/memory.ConnectionBytes) + 1)
		granted = account.Reserve(h.use, bytes)
	}
	if !granted {
		return account.Exhausted(h.use)
	}
	h.bytes += bytes
	return nil
}

// refuseForMemory answers a request for which the account has no room. Its connection stays usable if nothing else has come on it:
// neither a body nor further requests, which would have to be refused, too.
func (s *Front) refuseForMemory(w http.ResponseWriter, r *http.Request, info requestInfo, reason error) {
	c := callers.ConnOf(r)
	if r.ContentLength != 0 || c == nil || c.HasMore() {
		s.reject(w, info, http.StatusServiceUnavailable, reason)
		return
	}
	paceLocalAnswer(r)
	s.figures.CountOutcome(info.class, figures.Refused)
	s.unserved.add(info, http.StatusServiceUnavailable, reason)
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	http.Error(w, reason.Error(), http.StatusServiceUnavailable)
}

func (h *heldRequest) release() {
	h.front.memory.Release(h.use, h.bytes)
	h.bytes = 0
}
