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

// TestDeadlineIncludesTimeInSocketBuffer guards deadlines after a pause: a process that was stopped while a request
// arrived would treat it as new, answer late, and send its server a longer deadline than its caller has.
func TestDeadlineIncludesTimeInSocketBuffer(t *testing.T) {
	const (
		delay = 600 * time.Millisecond
		slack = 150 * time.Millisecond // allowed by the protocol
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
				time.Sleep(delay) // no process accepts the connection
			}, entry("s1", server.Listener.Addr().String(), "up"))
			defer caller.Close()
			text := <-received
			left := 9*time.Second - time.Since(sent)
			ms, err := strconv.Atoi(text)
			if err != nil || time.Duration(ms)*time.Millisecond > left+slack {
				t.Errorf("the server got a deadline of %s ms, and the caller waits for %v", text, left)
			}
		})
	}
}
