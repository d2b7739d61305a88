package front

import (
	"net/http"
	"strconv"
	"time"

	"brasswell/internal/backends"
	"brasswell/internal/figures"
	"brasswell/internal/host"
)

// turnAway answers a request that is not taken on, and ends its connection: what else stands on it may be a body
// that nobody has read. net/http still reads some of that, and would wait for a body that never comes.
func (s *Front) turnAway(w http.ResponseWriter, a ask, status int, err error) {
	switch {
	case a.class < 0: // no class to count it under
	case status == http.StatusServiceUnavailable:
		s.figures.CountOutcome(a.class, figures.Refused)
	default:
		s.figures.CountOutcome(a.class, figures.Failed)
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(leftoverWait))
	control.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// answer writes the one final answer, and counts it.
func (s *Front) answer(w http.ResponseWriter, a ask, f host.Final) {
	if f.Verdict == host.Served && f.Reply.Remainder != nil {
		s.passOn(w, a, f.Reply)
		return
	}
	s.figures.CountOutcome(a.class, outcomes[f.Verdict])
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	header := w.Header()
	if s.restart.Closing() {
		header.Set("Connection", "close")
	}
	switch f.Verdict {
	case host.Refused:
		if f.RetryAfter > 0 {
			setRetryAfter(header, f.RetryAfter)
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
		return
	case host.Failed:
		http.Error(w, "failed", http.StatusBadGateway)
		return
	}
	answerHeader(header, f.Reply)
	w.WriteHeader(http.StatusOK)
	text := f.Reply.Body
	for len(text) > pieceBytes { // who reads slowly and moves is waited for
		if _, err := w.Write(text[:pieceBytes]); err != nil {
			return
		}
		text = text[pieceBytes:]
		control.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	}
	w.Write(text)
}

// setRetryAfter says how long to stay away, in seconds with three decimals.
func setRetryAfter(header http.Header, wait time.Duration) {
	header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

// answerHeader makes the header of a backend's answer that of the caller's.
func answerHeader(header http.Header, r *backends.Reply) {
	copyEndToEnd(header, r.Header)
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from guessing
	}
	if r.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
}
