package bench

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const callerCount = 32

// BenchmarkProxy sends requests in a closed loop from 32 callers through each proxy to 8 backends that answer at
// once with 1 KiB. Beside the time it reports the proxy process's own CPU and allocations for each request.
//
//	go test ./bench -run - -bench Proxy -benchtime 50000x -count 5 -cpu 2
//
// BRASSWELL_BENCH_PROFILE=FILE has each proxy write a CPU profile to FILE.ROLE.
func BenchmarkProxy(b *testing.B) {
	backends := start(b, "backends", "")
	for _, role := range []string{"reverseproxy", "reverseproxy-pooled", "brasswell"} {
		b.Run(role, func(b *testing.B) {
			p := start(b, role, backends.first)
			drive(b, p.first, 2000) // connections are open and quantiles known
			before := p.usage(b)
			b.ResetTimer()
			latency := drive(b, p.first, b.N)
			b.StopTimer()
			after := p.usage(b)
			n := float64(b.N)
			b.ReportMetric((after.CPU-before.CPU)*1e6/n, "proxy-cpu-us/op")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/n, "proxy-allocs/op")
			b.ReportMetric(float64(after.Bytes-before.Bytes)/n, "proxy-B/op")
			b.ReportMetric(n/b.Elapsed().Seconds(), "req/s")
			b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}

// drive sends n requests and returns their latencies in microseconds. Every one must be served.
func drive(b *testing.B, address string, n int) *hdrhistogram.Histogram {
	b.Helper()
	var next atomic.Int64
	var mu sync.Mutex
	all := hdrhistogram.New(1, 10_000_000, 3)
	var callers sync.WaitGroup
	for k := range callerCount {
		callers.Go(func() {
			own := hdrhistogram.New(1, 10_000_000, 3)
			if err := ask(address, fmt.Sprintf("%d-%d-", n, k), own, func() bool { return next.Add(1) <= int64(n) }); err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		})
	}
	callers.Wait()
	return all
}

// ask is one caller: it sends a request as soon as the last is answered, for as long as more says so.
func ask(address, id string, latency *hdrhistogram.Histogram, more func() bool) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	var text []byte
	for i := 0; more(); i++ {
		text = fmt.Appendf(text[:0], "GET /api/item HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s%d\r\nX-Lane: search\r\nX-Remaining-Ms: 2000\r\n\r\n", id, i)
		start := time.Now()
		if _, err := c.Write(text); err != nil {
			return err
		}
		if err := readAnswer(r); err != nil {
			return fmt.Errorf("request %d: %w", i, err)
		}
		latency.RecordValue(max(time.Since(start).Microseconds(), 1))
	}
	return nil
}

// readAnswer reads one answer, which must be a whole 200 with a length.
func readAnswer(r *bufio.Reader) error {
	status, err := r.ReadString('\n')
	if err != nil {
		return err
	}
	length := -1
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 {
			break
		}
		if name, value, _ := strings.Cut(string(line), ":"); strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
				return err
			}
		}
	}
	if !strings.HasPrefix(status, "HTTP/1.1 200 ") || length != answerSize {
		return fmt.Errorf("%q with %d bytes", status, length)
	}
	_, err = io.CopyN(io.Discard, r, int64(length))
	return err
}
