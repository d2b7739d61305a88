package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"brasswell/internal/body"
)

// newPausingServer starts a server that answers each request with pieces of one answer, and pauses before each of them but
// the head. It returns the server's address.
func newPausingServer(t *testing.T, form string, size, pieces int, pauseBefore func(piece int) time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if form == "length" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		flush := http.NewResponseController(w)
		w.WriteHeader(http.StatusOK)
		flush.Flush()
		text := pattern(size)
		for n := range pieces {
			select {
			case <-time.After(pauseBefore(n)):
			case <-r.Context().Done():
				return
			}
			w.Write(text[n*size/pieces : (n+1)*size/pieces])
			flush.Flush()
		}
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// TestLongAnswerWrittenSlowlyIsNotCutOff guards against the loss of a good answer: its server pauses for longer than
// answer_timeout before any of it is passed on. A request that must not run twice has no other attempt.
func TestLongAnswerWrittenSlowlyIsNotCutOff(t *testing.T) {
	const (
		size   = body.MaxBufferedBytes * 3 / 2
		pieces = 6
		pause  = 600 * time.Millisecond
	)
	moments := map[string]func(int) time.Duration{
		"between the first pieces": func(n int) time.Duration {
			if n == 1 || n == 2 {
				return pause
			}
			return 0
		},
		"before the first piece": func(n int) time.Duration {
			if n == 0 {
				return pause
			}
			return 0
		},
	}
	for _, form := range []string{"length", "chunks"} {
		for moment, pauseBefore := range moments {
			if form != "length" && moment == "before the first piece" {
				continue // nothing shows yet that the answer is long: answer_timeout applies
			}
			t.Run(fmt.Sprint(form, " ", moment), func(t *testing.T) {
				t.Parallel()
				g := newTestProxy(t, nil, entry("s1", newPausingServer(t, form, size, pieces, pauseBefore), "up"))
				status, text := dialAt(t, g.address).send(once("a")).answer()
				if status != http.StatusOK || text != string(pattern(size)) {
					t.Errorf("answered %d with %d bytes, want %d", status, len(text), size)
				}
			})
		}
	}
}

// TestLongAnswerThatStopsEndsWithItsDeadline guards against a request without a final answer: a server stops within a long
// answer of which nothing has been passed on.
func TestLongAnswerThatStopsEndsWithItsDeadline(t *testing.T) {
	const patience, late = time.Second, 500 * time.Millisecond
	for _, form := range []string{"length", "chunks"} {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			stop := func(n int) time.Duration {
				if n == 0 && form != "length" {
					return 0
				}
				return 10 * patience
			}
			g := newTestProxy(t, func(c *Config) { c.Settings.Balancer.Classes[2].ClientTimeout = patience },
				entry("s1", newPausingServer(t, form, body.MaxBufferedBytes*2, 64, stop), "up"))
			c := dialAt(t, g.address).send(once("a"))
			sent := time.Now()
			if status, _ := c.answer(); status != http.StatusBadGateway {
				t.Errorf("answered %d", status)
			}
			if took := time.Since(sent); took > patience+late {
				t.Errorf("answered after %v", took)
			}
		})
	}
}
