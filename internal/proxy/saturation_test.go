package proxy_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
)

var saturation = flag.Duration("saturation", 2*time.Second, "duration of the saturation test's load")

// logCount counts the log lines that contain one of the words.
type logCount struct {
	words []string
	count atomic.Int64
	mu    sync.Mutex
	lines []string
}

func (c *logCount) Write(b []byte) (int, error) {
	for _, w := range c.words {
		if bytes.Contains(b, []byte(w)) {
			c.count.Add(1)
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.lines) < 10 {
				c.lines = append(c.lines, string(b))
			}
			break
		}
	}
	return len(b), nil
}

// TestSaturationEjectsNobody loads the proxy with as many requests as the machine can serve, with 8 healthy backends that
// answer at once. Requests are then delayed by pauses, including the proxy's own. None of these is a backend failure, so
// no backend may be ejected.
func TestSaturationEjectsNobody(t *testing.T) {
	f, err := standin.NewFleet(standin.FleetConfig{
		Seed: 5, Rules: rules(), Slots: 64, Queue: 1000,
		Classes: []standin.Class{{Name: "search", Effect: audit.Safe, Aim: 10 * time.Second, GiveUp: 20 * time.Second, Worth: 1, Share: 1}},
		Visitor: "closed",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ejections := &logCount{words: []string{"ejected", "panic threshold"}}
	address, end := serveLogging(t, f, slog.New(slog.NewTextHandler(ejections, nil)))
	stop := time.Now().Add(*saturation)
	var served atomic.Int64
	var callers sync.WaitGroup
	for k := range 32 {
		callers.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			for i := 0; time.Now().Before(stop); i++ {
				fmt.Fprintf(c, "GET /api/item HTTP/1.1\r\nHost: x\r\nX-Txn: closed-%d-%d\r\nX-Lane: search\r\nX-Remaining-Ms: 20000\r\n\r\n", k, i)
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				if resp.StatusCode != http.StatusOK {
					t.Errorf("answered %d", resp.StatusCode)
					return
				}
				served.Add(1)
			}
		})
	}
	callers.Wait()
	end()
	if n := ejections.count.Load(); n > 0 {
		t.Errorf("%d ejections of healthy servers in %d requests, such as %q", n, served.Load(), ejections.lines)
	}
	t.Logf("%d requests", served.Load())
}
