package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brasswell/internal/body"
	"brasswell/internal/front"
)

// echoBackend is a backend that answers a request with the request's body, or with the number of bytes that the path
// requests.
type echoBackend struct {
	address  string
	received atomic.Int64  // requests received whole
	broken   chan string   // the ids of requests that were cut off
	gate     chan struct{} // if set, the second half of each answer waits for a value
}

func newEchoBackend(t *testing.T) *echoBackend {
	t.Helper()
	e := &echoBackend{broken: make(chan string, 100)}
	s := httptest.NewServer(e)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	e.address = s.Listener.Addr().String()
	return e
}

func (e *echoBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		e.broken <- r.Header.Get(front.IDField)
		panic(http.ErrAbortHandler)
	}
	e.received.Add(1)
	if n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/bytes/")); err == nil {
		text = pattern(n)
	}
	if r.URL.Query().Get("chunks") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	half := len(text) / 2
	w.Write(text[:half])
	if e.gate != nil {
		http.NewResponseController(w).Flush()
		select {
		case <-e.gate:
		case <-r.Context().Done():
			return
		}
	}
	if r.URL.Query().Get("break") != "" {
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(text[half:])
}

// pattern returns n bytes in which missing, repeated or shifted bytes can be detected.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i ^ i>>8 ^ i>>16)
	}
	return b
}

// keyed returns the head of a POST with an idempotency key, without the framing fields and the blank line.
func keyed(id, path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: hold\r\nX-Remaining-Ms: 9000\r\nIdempotency-Key: k" + id + "\r\n"
}

func get(id, path string) string { return strings.Replace(head(id), "/api", path, 1) }

func TestLongBodiesGoThroughUnchanged(t *testing.T) {
	for _, size := range []int{body.MaxBufferedBytes, body.MaxBufferedBytes + 1, 1 << 20, 5 << 20, body.MaxBytes} {
		for _, how := range []string{"length", "chunks"} {
			t.Run(fmt.Sprint(how, " ", size), func(t *testing.T) {
				t.Parallel()
				e := newEchoBackend(t)
				text, want := pattern(size), string(pattern(size))
				c := newTestProxy(t, nil, entry("s1", e.address, "up")).dial() // dialed last, because a silent connection is closed
				go func() {
					if how == "length" {
						io.WriteString(c, keyed("a", "/")+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n")
						c.Write(text)
						return
					}
					io.WriteString(c, keyed("a", "/")+"Transfer-Encoding: chunked\r\n\r\n")
					for n := 1; len(text) > 0; n = n*3 + 1 {
						n = min(n, len(text))
						fmt.Fprintf(c, "%x;note=\"x\"\r\n", n) // an unknown chunk extension
						c.Write(text[:n])
						text = text[n:]
						io.WriteString(c, "\r\n")
					}
					io.WriteString(c, "0\r\nX-Trailer: y\r\n\r\n")
				}()
				status, got := c.answer()
				if status != 200 || got != want {
					t.Fatalf("%d, %d bytes of %d", status, len(got), size)
				}
				if n := e.received.Load(); n != 1 {
					t.Errorf("it ran %d times", n)
				}
			})
		}
	}
}

// TestLongAnswerIsPassedOnBeforeItsEnd has the backend wait in the middle of the answer until the caller has the first
// half.
func TestLongAnswerIsPassedOnBeforeItsEnd(t *testing.T) {
	for _, query := range []string{"", "?chunks=1"} {
		e := newEchoBackend(t)
		e.gate = make(chan struct{})
		c := newTestProxy(t, nil, entry("s1", e.address, "up")).dial()
		const size = 4 * body.MaxBufferedBytes
		c.send(get("a", "/bytes/"+strconv.Itoa(size)+query))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, size/2)
		if _, err := io.ReadFull(resp.Body, first); err != nil {
			t.Fatal(err)
		}
		e.gate <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		if err != nil || !bytes.Equal(append(first, rest...), pattern(size)) {
			t.Errorf("%q: %d bytes after the first half, %v", query, len(rest), err)
		}
	}
}

// TestAnswerThatBeginsBeforeTheEndOfTheBody guards against a body that is cut off because its answer has begun: the server
// answers each byte as it arrives.
func TestAnswerThatBeginsBeforeTheEndOfTheBody(t *testing.T) {
	const half = 300 << 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		for {
			if n, _ := io.CopyN(w, r.Body, 16<<10); n == 0 {
				return
			}
			http.NewResponseController(w).Flush()
		}
	}))
	defer server.Close()
	c := newTestProxy(t, nil, entry("s1", server.Listener.Addr().String(), "up")).dial()
	text := pattern(2 * half)
	io.WriteString(c, keyed("a", "/")+"Content-Length: "+strconv.Itoa(len(text))+"\r\n\r\n")
	c.Write(text[:half])
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		time.Sleep(50 * time.Millisecond) // until what was asked before the head no longer counts
		c.Write(text[half:])
	}()
	if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, text) {
		t.Errorf("%d bytes of %d, %v", len(got), len(text), err)
	}
}

// TestTruncatedAnswerIsNotComplete cuts answers off in the middle, both with a length and with chunks. The caller must
// detect that the answer is incomplete.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	for _, query := range []string{"?break=1", "?break=1&chunks=1"} {
		e := newEchoBackend(t)
		g := newTestProxy(t, nil, entry("s1", e.address, "up"))
		c := g.dial().send(get("a", "/bytes/1000000"+query))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%q: %d bytes and a clean end", query, len(text))
		}
		if n := e.received.Load(); n != 1 {
			t.Errorf("%q: it ran %d times", query, n)
		}
		if n := g.figures.Class(0); n.Errors != 1 || n.OK != 0 || n.Tries != 1 {
			t.Errorf("%q: counted %+v", query, n)
		}
	}
}

// TestDiscardedBodyIsNotResent has the first backend read most of a long body and die. The proxy has discarded the start
// of the body by then and cannot send the request again. The request never ran, so the caller may repeat it.
func TestDiscardedBodyIsNotResent(t *testing.T) {
	good := newEchoBackend(t)
	bad := newPartialReader(t, 2<<20)
	g := newTestProxy(t, nil, entry("s1", bad.address, "up"), entry("s2", good.address, "up"))
	for i := range 2 { // round robin, so one of them goes to the bad backend
		c := g.dial()
		go func() {
			io.WriteString(c, keyed(fmt.Sprint("r", i), "/")+"Content-Length: "+strconv.Itoa(8<<20)+"\r\n\r\n")
			c.Write(pattern(8 << 20))
		}()
		status, got := c.answer()
		if status != 503 && (status != 200 || got != string(pattern(8<<20))) {
			t.Errorf("request %d: %d, %d bytes", i, status, len(got))
		}
	}
	await(t, "the request that broke", bad.took)
	if n := good.received.Load(); n != 1 {
		t.Errorf("%d requests ran", n)
	}
}

// TestBufferedBodyIsResent has the backend die so early that the proxy still buffers the whole body.
func TestBufferedBodyIsResent(t *testing.T) {
	good := newEchoBackend(t)
	bad := newPartialReader(t, 100<<10)
	g := newTestProxy(t, nil, entry("s1", bad.address, "up"), entry("s2", good.address, "up"))
	for i := range 2 {
		c := g.dial()
		go func() {
			io.WriteString(c, keyed(fmt.Sprint("r", i), "/")+"Content-Length: "+strconv.Itoa(600<<10)+"\r\n\r\n")
			c.Write(pattern(600 << 10))
		}()
		if status, got := c.answer(); status != 200 || got != string(pattern(600<<10)) {
			t.Errorf("request %d: %d, %d bytes", i, status, len(got))
		}
	}
	await(t, "the request that broke", bad.took)
	if n := good.received.Load(); n != 2 {
		t.Errorf("%d requests ran", n)
	}
}

// partialReader is a backend that reads a fixed number of bytes of each request and then closes the connection.
type partialReader struct {
	address string
	took    chan struct{}
}

func newPartialReader(t *testing.T, bytes int64) *partialReader {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	k := &partialReader{l.Addr().String(), make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if n, _ := io.CopyN(io.Discard, bufio.NewReader(c), bytes); n == bytes {
					k.took <- struct{}{}
				}
			}()
		}
	}()
	return k
}

// TestCallerThatLeavesWithinItsBody checks that a caller that leaves in the middle of its body leaves no open request, and
// that the backend is not ejected for it.
func TestCallerThatLeavesWithinItsBody(t *testing.T) {
	e := newEchoBackend(t)
	g := newTestProxy(t, nil, entry("s1", e.address, "up"))
	for i := range 5 {
		c := g.dial()
		io.WriteString(c, keyed(fmt.Sprint("r", i), "/")+"Content-Length: 5000000\r\n\r\n")
		c.Write(pattern(200_000))
		c.Close()
		await(t, "the end of the request at the backend", e.broken)
	}
	if status, _ := g.dial().send(head("b")).answer(); status != 200 {
		t.Errorf("after callers that left: %d", status)
	}
	if _, avoided := g.host.CountServers(); avoided != 0 {
		t.Error("the backend was ejected because of callers that left")
	}
}

// TestSlowCallerThatMovesIsServed sends a body byte by byte. The whole body takes longer than the idle timeout, but no
// pause does. A caller that stops sending gets a 408.
func TestSlowCallerThatMovesIsServed(t *testing.T) {
	e := newEchoBackend(t)
	g := newTestProxy(t, func(c *Config) {
		c.Options.Callers.BodyTimeout, c.Options.Callers.BodyGrace = 300*time.Millisecond, time.Minute
	}, entry("s1", e.address, "up"))
	c := g.dial()
	text := pattern(40)
	io.WriteString(c, keyed("a", "/")+"Content-Length: 40\r\n\r\n")
	for i := range text {
		c.Write(text[i : i+1])
		time.Sleep(15 * time.Millisecond) // this rate is under test: 0.6 s in total
	}
	if status, got := c.answer(); status != 200 || got != string(text) {
		t.Errorf("%d %q", status, got)
	}
	c = g.dial().send(keyed("b", "/") + "Content-Length: 40\r\n\r\nab")
	if status, _ := c.answer(); status != 408 {
		t.Errorf("a caller that stopped sending: %d", status)
	}
}

// TestExpectIsAnsweredWhenTheBodyIsWanted sends a head with Expect: 100-continue. A request that is refused gets no 100.
func TestExpectIsAnsweredWhenTheBodyIsWanted(t *testing.T) {
	e := newEchoBackend(t)
	g := newTestProxy(t, nil, entry("s1", e.address, "up"))
	for _, size := range []int{10, 300_000} {
		c := g.dial().send(keyed(fmt.Sprint("a", size), "/") + fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", size))
		if line, err := c.r.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
			t.Fatalf("%d bytes: %q, %v", size, line, err)
		}
		c.r.ReadString('\n')
		go c.Write(pattern(size))
		if status, got := c.answer(); status != 200 || len(got) != size {
			t.Errorf("%d, %d bytes of %d", status, len(got), size)
		}
	}
	c := g.dial().send(strings.Replace(keyed("b", "/"), "hold", "nonsense", 1) + "Expect: 100-continue\r\nContent-Length: 10\r\n\r\n")
	if status, _ := c.answer(); status != 400 {
		t.Errorf("a refused request: answered %d first", status)
	}
}

// TestRefusedLongBodyIsReadToItsEnd refuses a request while the caller still writes its body. The caller must still get the
// whole answer.
func TestRefusedLongBodyIsReadToItsEnd(t *testing.T) {
	g := newTestProxy(t, nil) // no backends
	c := g.dial()
	wrote := make(chan error, 1)
	go func() {
		io.WriteString(c, strings.Replace(keyed("a", "/"), "9000", "300", 1)+"Content-Length: 3000000\r\n\r\n")
		_, err := c.Write(pattern(3_000_000))
		wrote <- err
	}()
	if status, _ := c.answer(); status != 503 {
		t.Errorf("%d", status)
	}
	if err := await(t, "the end of the body", wrote); err != nil {
		t.Errorf("the body was cut off: %v", err)
	}
}
