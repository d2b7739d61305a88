package front

import (
	"net/http"
	"strconv"
	"time"

	"brasswell/internal/backends"
	"brasswell/internal/figures"
	"brasswell/internal/host"
)

// reject answers a request that is not accepted and closes its connection, because the remaining bytes on it may be
// a body that has not been read. net/http still reads some of them after the answer, and without a deadline it would
// wait for a body that may never arrive.
func (s *Front) reject(w http.ResponseWriter, info requestInfo, status int, err error) {
	switch {
	case info.class < 0: // no class to count it under
	case status == http.StatusServiceUnavailable:
		s.figures.CountOutcome(info.class, figures.Refused)
	default:
		s.figures.CountOutcome(info.class, figures.Failed)
	}
	s.unserved.add(info, status, err)
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(unreadBodyWait))
	control.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// answer writes the final answer to a request, and counts it.
func (s *Front) answer(w http.ResponseWriter, info requestInfo, f host.Final) {
	if f.Outcome == host.Served && f.Reply.Remainder != nil {
		s.streamAnswer(w, info, f.Reply)
		return
	}
	s.figures.CountOutcome(info.class, outcomes[f.Outcome])
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	header := w.Header()
	if s.restart.Closing() {
		header.Set("Connection", "close")
	}
	switch f.Outcome {
	case host.Refused:
		if f.RetryAfter > 0 {
			setRetryAfter(header, f.RetryAfter)
		}
		s.unserved.add(info, http.StatusServiceUnavailable, errRefused)
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
		return
	case host.Failed:
		s.unserved.add(info, http.StatusBadGateway, errFailed)
		http.Error(w, "failed", http.StatusBadGateway)
		return
	}
	defer f.Reply.Release()
	setAnswerHeader(header, f.Reply)
	w.WriteHeader(http.StatusOK)
	text := f.Reply.Body
	// Each chunk has its own deadline, so a caller that reads slowly but steadily gets the whole answer.
	for len(text) > chunkSize {
		if _, err := w.Write(text[:chunkSize]); err != nil {
			return
		}
		text = text[chunkSize:]
		control.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	}
	w.Write(text)
}

// setRetryAfter sets how long the caller should wait before it retries, in seconds with three decimals.
func setRetryAfter(header http.Header, wait time.Duration) {
	header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

// setAnswerHeader copies the header of a backend's answer to the caller's answer.
func setAnswerHeader(header http.Header, r *backends.Reply) {
	copyEndToEnd(header, r.Header)
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from guessing the type
	}
	if r.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
}
