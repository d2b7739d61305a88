package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestLocalAnswersOnOneConnectionArePaced guards against one client that takes the processor from all others: it sends
// health checks, or requests that are refused at once, as fast as it can.
func TestLocalAnswersOnOneConnectionArePaced(t *testing.T) {
	const (
		burst    = 200
		requests = burst + 40
		interval = 10 * time.Millisecond
	)
	backend := newBackend(t, "127.0.0.1:0", idAnswer)
	go backend.drain(t.Context().Done())
	healthy := entry("s1", backend.address, "up")
	draining := entry("s1", backend.address, "draining")
	for name, c := range map[string]struct {
		host   string
		text   string
		status int
		paced  bool
	}{
		"health checks":    {healthy, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusOK, true},
		"refused requests": {draining, strings.Replace(head("a"), "9000", "1", 1), http.StatusServiceUnavailable, true},
		"served requests":  {healthy, head("a"), http.StatusOK, false},
	} {
		t.Run(name, func(t *testing.T) {
			caller := dialAt(t, newTestProxy(t, nil, c.host).address)
			begun := time.Now()
			caller.send(strings.Repeat(c.text, requests))
			for n := range requests {
				if status, _ := caller.answer(); status != c.status {
					t.Fatalf("%d: answered %d", n, status)
				}
			}
			if took := time.Since(begun); c.paced && took < (requests-burst-1)*interval {
				t.Errorf("%d answers within %v", requests, took)
			}
		})
	}
}
