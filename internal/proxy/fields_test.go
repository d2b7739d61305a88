package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"brasswell/internal/framing"
)

// withFields returns the head of a GET that has the given number of fields in all.
func withFields(id string, fields int) string {
	lines := strings.TrimSuffix(head(id), "\r\n")
	var more strings.Builder
	for n := range fields - (strings.Count(lines, "\r\n") - 1) {
		fmt.Fprintf(&more, "%x:\r\n", n)
	}
	return lines + more.String() + "\r\n"
}

// TestHeadsWithTooManyFieldsAreAnswered guards against callers without an answer, and against the loss of the requests
// before such a head on the same connection.
func TestHeadsWithTooManyFieldsAreAnswered(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	g := newTestProxy(t, nil, entry("s1", b.address, "up"))
	for _, fields := range []int{framing.MaxFields + 1, 1000, 2500} {
		for _, first := range []bool{false, true} {
			c := g.dial()
			if first {
				c.send(withFields("first", framing.MaxFields) + withFields("second", fields))
				if status, text := c.answer(); status != http.StatusOK || text != "first" {
					t.Errorf("%d fields: the request before is answered %d %q", fields, status, text)
				}
			} else {
				c.send(withFields("second", fields))
			}
			if status, _ := c.answer(); status != http.StatusRequestHeaderFieldsTooLarge {
				t.Errorf("%d fields: answered %d", fields, status)
			}
			if rest, _ := io.ReadAll(c.r); len(rest) > 0 {
				t.Errorf("%d fields: %q after the answer", fields, rest)
			}
		}
	}
	for len(b.requests) > 0 {
		if id := <-b.requests; id != "first" {
			t.Errorf("%s reached the backend", id)
		}
	}
}

// TestMemoryOfHeadsWithManyFields guards against a process that is killed for its memory: hundreds of callers send heads
// of very many short fields, all but their end, and stay.
func TestMemoryOfHeadsWithManyFields(t *testing.T) {
	const (
		callers   = 90
		perCaller = 64 << 10               // bytes: head, buffers and the caller's own side in this process
		readTime  = 300 * time.Millisecond // for the proxy to read what its sockets have; far less than a head may take
	)
	g := newTestProxy(t, nil, entry("s1", "127.0.0.1:1", "up"))
	text := strings.TrimSuffix(withFields("a", 2500), "\r\n")
	before := heapAfterGC()
	var all []*testCaller
	for range callers {
		all = append(all, g.dial().send(text))
	}
	for _, c := range all {
		for unsentBytes(c.Conn.(*net.TCPConn)) > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(readTime)
	held := heapAfterGC() - before
	t.Logf("%d KiB for %d callers", held>>10, callers)
	if held > callers*perCaller {
		t.Errorf("%d bytes are held for each caller, want at most %d", held/callers, perCaller)
	}
	runtime.KeepAlive(all)
}

func heapAfterGC() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestAnswerWithTooManyFieldsIsAFailedAttempt guards against answers that cost far more memory than they have bytes.
func TestAnswerWithTooManyFieldsIsAFailedAttempt(t *testing.T) {
	fields := strings.Repeat("X:\r\n", framing.MaxFields)
	b := newBackend(t, "127.0.0.1:0", func(id string) string {
		answer := idAnswer(id)
		if id == "many" {
			answer = strings.Replace(answer, "\r\n", "\r\n"+fields, 1)
		}
		return answer
	})
	g := newTestProxy(t, func(c *Config) { c.Settings.Balancer.MaxAttempts = 1 }, entry("s1", b.address, "up"))
	for id, want := range map[string]int{"many": http.StatusBadGateway, "few": http.StatusOK} {
		if status, _ := g.dial().send(once(id)).answer(); status != want {
			t.Errorf("%s: answered %d, want %d", id, status, want)
		}
	}
}
