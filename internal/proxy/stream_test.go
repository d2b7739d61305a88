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

// echo is a backend that answers a request with its own body, or with as many bytes as the path asks for.
type echo struct {
	address string
	began   atomic.Int64  // requests whose last byte has come
	broken  chan string   // the ids of requests that broke off
	gate    chan struct{} // an answer's second half waits for one, if set
}

func newEcho(t *testing.T) *echo {
	t.Helper()
	e := &echo{broken: make(chan string, 100)}
	s := httptest.NewServer(e)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	e.address = s.Listener.Addr().String()
	return e
}

func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		e.broken <- r.Header.Get(front.IDField)
		panic(http.ErrAbortHandler)
	}
	e.began.Add(1)
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

// pattern is n bytes in which a shift shows.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i ^ i>>8 ^ i>>16)
	}
	return b
}

// keyed is the head of a keyed POST but for what frames its body.
func keyed(id, path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: hold\r\nX-Remaining-Ms: 9000\r\nIdempotency-Key: k" + id + "\r\n"
}

func get(id, path string) string { return strings.Replace(head(id), "/api", path, 1) }

func TestLongBodiesGoThroughUnchanged(t *testing.T) {
	for _, size := range []int{body.MaxBufferedBytes, body.MaxBufferedBytes + 1, 1 << 20, 5 << 20, body.MaxBytes} {
		for _, how := range []string{"length", "chunks"} {
			t.Run(fmt.Sprint(how, " ", size), func(t *testing.T) {
				t.Parallel()
				e := newEcho(t)
				text, want := pattern(size), string(pattern(size))
				c := newRig(t, nil, entry("s1", e.address, "up")).dial() // last: a connection that stays silent is closed
				go func() {
					if how == "length" {
						io.WriteString(c, keyed("a", "/")+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n")
						c.Write(text)
						return
					}
					io.WriteString(c, keyed("a", "/")+"Transfer-Encoding: chunked\r\n\r\n")
					for n := 1; len(text) > 0; n = n*3 + 1 {
						n = min(n, len(text))
						fmt.Fprintf(c, "%x;note=\"x\"\r\n", n) // an extension that nobody knows
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
				if n := e.began.Load(); n != 1 {
					t.Errorf("it ran %d times", n)
				}
			})
		}
	}
}

// TestLongAnswerIsPassedOnBeforeItsEnd has the backend wait in the middle until the caller has the first half.
func TestLongAnswerIsPassedOnBeforeItsEnd(t *testing.T) {
	for _, query := range []string{"", "?chunks=1"} {
		e := newEcho(t)
		e.gate = make(chan struct{})
		c := newRig(t, nil, entry("s1", e.address, "up")).dial()
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
			t.Errorf("%q: %d bytes behind the first half, %v", query, len(rest), err)
		}
	}
}

// TestBrokenAnswerDoesNotPassForWhole breaks answers in the middle, framed by a length and by chunks.
func TestBrokenAnswerDoesNotPassForWhole(t *testing.T) {
	for _, query := range []string{"?break=1", "?break=1&chunks=1"} {
		e := newEcho(t)
		g := newRig(t, nil, entry("s1", e.address, "up"))
		c := g.dial().send(get("a", "/bytes/1000000"+query))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%q: %d bytes and a clean end", query, len(text))
		}
		if n := e.began.Load(); n != 1 {
			t.Errorf("%q: it ran %d times", query, n)
		}
		if n := g.figures.Class(0); n.Errors != 1 || n.OK != 0 || n.Tries != 1 {
			t.Errorf("%q: counted %+v", query, n)
		}
	}
}

// TestSpentBodyIsNotSentAgain has the first backend take most of a long body and die; what is left here is no request
// any more. It never ran, so trying again is harmless.
func TestSpentBodyIsNotSentAgain(t *testing.T) {
	good := newEcho(t)
	bad := newTaker(t, 2<<20)
	g := newRig(t, nil, entry("s1", bad.address, "up"), entry("s2", good.address, "up"))
	for i := range 2 { // in turn, so one of them meets the bad one
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
	if n := good.began.Load(); n != 1 {
		t.Errorf("%d requests ran", n)
	}
}

// TestKeptBodyIsSentAgain has it die early enough that the body is still whole here.
func TestKeptBodyIsSentAgain(t *testing.T) {
	good := newEcho(t)
	bad := newTaker(t, 100<<10)
	g := newRig(t, nil, entry("s1", bad.address, "up"), entry("s2", good.address, "up"))
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
	if n := good.began.Load(); n != 2 {
		t.Errorf("%d requests ran", n)
	}
}

// taker is a backend that takes so much of each request and then dies.
type taker struct {
	address string
	took    chan struct{}
}

func newTaker(t *testing.T, bytes int64) *taker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	k := &taker{l.Addr().String(), make(chan struct{}, 100)}
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

// TestCallerThatLeavesWithinItsBody must leave nothing behind, and no blame on the backend.
func TestCallerThatLeavesWithinItsBody(t *testing.T) {
	e := newEcho(t)
	g := newRig(t, nil, entry("s1", e.address, "up"))
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
		t.Error("the backend is blamed for callers that left")
	}
}

// TestSlowCallerThatMovesIsServed sends a body and a head byte by byte, slower than any silence allows in the whole.
func TestSlowCallerThatMovesIsServed(t *testing.T) {
	e := newEcho(t)
	g := newRig(t, func(c *Config) {
		c.Options.Callers.BodyTimeout, c.Options.Callers.BodyGrace = 300*time.Millisecond, time.Minute
	}, entry("s1", e.address, "up"))
	c := g.dial()
	text := pattern(40)
	io.WriteString(c, keyed("a", "/")+"Content-Length: 40\r\n\r\n")
	for i := range text {
		c.Write(text[i : i+1])
		time.Sleep(15 * time.Millisecond) // the pace is what is tested: 0.6 s in all
	}
	if status, got := c.answer(); status != 200 || got != string(text) {
		t.Errorf("%d %q", status, got)
	}
	c = g.dial().send(keyed("b", "/") + "Content-Length: 40\r\n\r\nab")
	if status, _ := c.answer(); status != 408 {
		t.Errorf("a caller that fell silent: %d", status)
	}
}

// TestExpectIsAnsweredWhenTheBodyIsWanted sends a head that asks first; a request that is turned away hears no 100.
func TestExpectIsAnsweredWhenTheBodyIsWanted(t *testing.T) {
	e := newEcho(t)
	g := newRig(t, nil, entry("s1", e.address, "up"))
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
		t.Errorf("a request that is turned away: %d first", status)
	}
}

// TestRefusedLongBodyIsReadToItsEnd refuses while the caller still writes: the answer comes whole all the same.
func TestRefusedLongBodyIsReadToItsEnd(t *testing.T) {
	g := newRig(t, nil) // no backends
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
