package backends

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"brasswell/balance"
)

// scriptedAttempt says in turn what the test has it say, and its last word from then on.
type scriptedAttempt struct {
	left  []time.Duration // 0 where it is not wanted
	calls atomic.Int32
}

func (a *scriptedAttempt) Begin() (time.Duration, bool) {
	n := int(a.calls.Add(1)) - 1
	left := a.left[min(n, len(a.left)-1)]
	return left, left > 0
}

func (a *scriptedAttempt) Started(*Reply) bool { return false }

// holdUp is a context whose first request is not written for a while once the attempt has been asked.
func stallFirstWrite(t *testing.T, length time.Duration) context.Context {
	var stalled atomic.Bool
	return httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{WroteHeaderField: func(string, []string) {
		if stalled.CompareAndSwap(false, true) {
			time.Sleep(length)
		}
	}})
}

// exchangeBehindAHoldUp has an attempt exchanged with a server, and returns what came of it and what the server was told, per request.
func exchangeAfterStall(t *testing.T, a *scriptedAttempt) (outcome balance.Outcome, sent []string) {
	t.Helper()
	const length = 300 * time.Millisecond // stops of this length are beyond what the protocol's slack covers
	received := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get("X-Remaining-Ms")
		fmt.Fprint(w, "ok")
	}))
	pool := NewPool(Limits{Conns: 4, ConnectTimeout: time.Second, ConnIdle: time.Minute, Options: DefaultOptions()})
	to := Endpoint{Server: "s", Address: server.Listener.Addr().String()}
	message := &Message{Method: http.MethodGet, URI: "/api", URL: &url.URL{Path: "/api"}, Host: "x", Header: http.Header{}}
	outcome, _ = pool.Exchange(stallFirstWrite(t, length), to, message, a)
	pool.Close()
	server.Close() // waits for its requests
	close(received)
	for text := range received {
		sent = append(sent, text)
	}
	return outcome, sent
}

// TestNothingIsWrittenBehindAHoldUpUnlessStillWanted guards against a send to a server that drains, or for a caller that has left, by a process
// that was stopped between its last look and the write.
func TestNothingIsWrittenAfterAStallUnlessStillWanted(t *testing.T) {
	a := &scriptedAttempt{left: []time.Duration{5 * time.Second, 0}}
	outcome, sent := exchangeAfterStall(t, a)
	if len(sent) > 0 || outcome != balance.Ignored {
		t.Errorf("outcome %v, sent %v", outcome, sent)
	}
}

// TestServersAreToldTheTimeThatIsLeftBehindAHoldUp guards against work that goes on behind the caller's deadline.
func TestRemainingTimeIsRecomputedAfterAStall(t *testing.T) {
	const left = 700 * time.Millisecond
	a := &scriptedAttempt{left: []time.Duration{time.Second, left}}
	outcome, sent := exchangeAfterStall(t, a)
	if want := strconv.FormatInt(left.Milliseconds(), 10); outcome != balance.OK || len(sent) != 1 || sent[0] != want {
		t.Errorf("outcome %v, told %v, want %s once", outcome, sent, want)
	}
}
