package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"brasswell/internal/front"
)

// TestTheTimeOfARequestRunsWhileItStandsInItsSocket guards deadlines behind a hold-up: a process that was stopped as a request came takes it for a new
// one, answers late, and tells its server more time than its caller waits.
func TestDeadlineIncludesTimeInSocketBuffer(t *testing.T) {
	const (
		delay = 600 * time.Millisecond
		slack = 150 * time.Millisecond // of the protocol
	)
	for method, request := range map[string]string{
		http.MethodGet:  head("a"),
		http.MethodPost: keyed("a", "/") + "Content-Length: 4\r\n\r\nbody",
	} {
		t.Run(method, func(t *testing.T) {
			received := make(chan string, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received <- r.Header.Get(front.RemainingField)
				fmt.Fprint(w, "ok")
			}))
			defer server.Close()
			var caller net.Conn
			var sent time.Time
			newTestProxyWith(t, nil, func(p *Proxy) {
				awaitConfirmed(t, p)
				var err error
				if caller, err = net.Dial("tcp", p.Addr().String()); err != nil {
					t.Fatal(err)
				}
				sent = time.Now()
				fmt.Fprint(caller, request)
				time.Sleep(delay) // nobody accepts
			}, entry("s1", server.Listener.Addr().String(), "up"))
			defer caller.Close()
			text := <-received
			left := 9*time.Second - time.Since(sent)
			ms, err := strconv.Atoi(text)
			if err != nil || time.Duration(ms)*time.Millisecond > left+slack {
				t.Errorf("the server is told %s ms, and the caller waits for %v", text, left)
			}
		})
	}
}
