package proxy

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/handshake"
	"brasswell/internal/channel/ticket"
)

// withChannels enables channels, with limits that fit tests.
func withChannels(change func(*Config)) func(*Config) {
	return func(c *Config) {
		c.Memory, c.Sockets = 256<<20, 4096
		o := &c.Options.Channels
		o.Enabled, o.MaxChannels, o.Rate, o.NodeRate = true, 1000, 1e5, 1e5
		o.CloseTimeout = time.Second
		if change != nil {
			change(c)
		}
	}
}

// wsServer is a server of channels. The test reads and writes its raw sockets.
type wsServer struct {
	t       *testing.T
	address string
	heads   chan *http.Request // requests received
	conns   chan *wsConn       // connections answered with 101
	answer  func(*http.Request) string
	listen  net.Listener
	mu      sync.Mutex
	open    []net.Conn
}

// wsConn is the raw connection at one end of a channel.
type wsConn struct {
	t *testing.T
	net.Conn
	r    *bufio.Reader
	mask bool // set for the client's end
}

// accept returns a 101 answer to a request, with additional fields.
func accept(r *http.Request, fields ...string) string {
	return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + handshake.AcceptKey(r.Header.Get(handshake.KeyField)) + "\r\n" + strings.Join(fields, "") + "\r\n"
}

// newWSServer starts a server that answers each request with the result of answer; nil for 101.
func newWSServer(t *testing.T, answer func(*http.Request) string) *wsServer {
	t.Helper()
	if answer == nil {
		answer = func(r *http.Request) string { return accept(r) }
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &wsServer{
		t: t, address: l.Addr().String(), answer: answer, listen: l,
		heads: make(chan *http.Request, 2000), conns: make(chan *wsConn, 2000),
	}
	t.Cleanup(n.kill)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.open = append(n.open, c)
			n.mu.Unlock()
			go n.serve(c)
		}
	}()
	return n
}

func (n *wsServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	n.heads <- req
	text := n.answer(req)
	io.WriteString(c, text)
	if strings.HasPrefix(text, "HTTP/1.1 101") {
		c.SetDeadline(time.Now().Add(eventTimeout))
		n.conns <- &wsConn{n.t, c, r, false}
		return
	}
	c.Close()
}

// kill acts like the end of the process: it resets all connections, and new ones are refused.
func (n *wsServer) kill() {
	n.listen.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

const wsKey = "dGhlIHNhbXBsZSBub25jZQ=="

// upgradeRequest returns a request for a channel, with additional fields.
func upgradeRequest(id string, fields ...string) string {
	return "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: search\r\nX-Remaining-Ms: 9000\r\n" +
		"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + wsKey + "\r\n" +
		strings.Join(fields, "") + "\r\n"
}

// openChannel requests a channel, and returns the client's end and the head of the answer.
func (g *testProxy) openChannel(id string, fields ...string) (*wsConn, *http.Response) {
	g.t.Helper()
	c := g.dial().send(upgradeRequest(id, fields...))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: "GET"})
	if err != nil {
		g.t.Fatal(err)
	}
	return &wsConn{g.t, c.Conn, c.r, true}, resp
}

// openPair opens a channel to a server, and returns both ends.
func (g *testProxy) openPair(n *wsServer, id string, fields ...string) (client, server *wsConn) {
	g.t.Helper()
	client, resp := g.openChannel(id, fields...)
	if resp.StatusCode != http.StatusSwitchingProtocols {
		g.t.Fatalf("answered %d", resp.StatusCode)
	}
	return client, await(g.t, "the server's end", n.conns)
}

// encodeFrame returns one frame as this end sends it.
func (c *wsConn) encodeFrame(first byte, payload string) []byte {
	b := []byte{first}
	bit := byte(0)
	if c.mask {
		bit = 0x80
	}
	switch n := len(payload); {
	case n < 126:
		b = append(b, bit|byte(n))
	case n < 1<<16:
		b = append(b, bit|126, byte(n>>8), byte(n))
	default:
		b = append(b, bit|127, 0, 0, 0, 0, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	}
	if !c.mask {
		return append(b, payload...)
	}
	mask := [4]byte{1, 2, 3, 4}
	b = append(b, mask[:]...)
	for i := range len(payload) {
		b = append(b, payload[i]^mask[i&3])
	}
	return b
}

func (c *wsConn) sendFrame(first byte, payload string) { c.Write(c.encodeFrame(first, payload)) }

// eof is the first byte that readFrame returns at the end of the connection. No frame begins with it.
const eof = 0x70

// readFrame reads one frame and returns its first byte and payload. first is eof at the end of the connection.
func (c *wsConn) readFrame() (first byte, payload string) {
	c.t.Helper()
	head := make([]byte, 2)
	if _, err := io.ReadFull(c.r, head); err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			c.t.Fatal("neither a frame nor a close")
		}
		return eof, ""
	}
	n := int(head[1] & 0x7f)
	if n >= 126 {
		long := make([]byte, 2+(n-126)*6)
		io.ReadFull(c.r, long)
		n = 0
		for _, b := range long {
			n = n<<8 | int(b)
		}
	}
	var mask [4]byte
	if head[1]&0x80 != 0 {
		io.ReadFull(c.r, mask[:])
	}
	if (head[1]&0x80 != 0) == c.mask {
		c.t.Error("wrong masking for this direction")
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(c.r, text); err != nil {
		return eof, ""
	}
	for i := range text {
		text[i] ^= mask[i&3]
	}
	return head[0], string(text)
}

// expectFrame reads one frame and fails the test if it differs from the arguments.
func (c *wsConn) expectFrame(first byte, payload string) {
	c.t.Helper()
	if f, p := c.readFrame(); f != first || p != payload {
		c.t.Fatalf("frame %#x %.60q, want %#x %.60q", f, p, first, payload)
	}
}

// closeCode reads up to the next Close frame and returns its code, or 0 if the connection ends without one.
func (c *wsConn) closeCode() frame.Code {
	c.t.Helper()
	for {
		switch f, p := c.readFrame(); {
		case f == eof:
			return 0
		case f == 0x88 && len(p) < 2:
			return frame.NoStatus
		case f == 0x88:
			return frame.Code(p[0])<<8 | frame.Code(p[1])
		}
	}
}

func closePayload(code frame.Code) string { return string([]byte{byte(code >> 8), byte(code)}) }

// expectEOF waits for the end of the connection.
func (c *wsConn) expectEOF() {
	c.t.Helper()
	if f, p := c.readFrame(); f != eof {
		c.t.Fatalf("frame %#x %q instead of the end of the connection", f, p)
	}
}

func TestChannelThroughALibrary(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{"holds"}, CompressionMode: websocket.CompressionNoContextTakeover})
		if err != nil {
			return
		}
		c.SetReadLimit(1 << 20)
		for {
			kind, text, err := c.Read(r.Context())
			if err != nil {
				return
			}
			c.Write(r.Context(), kind, text)
		}
	})}
	go s.Serve(l)
	defer s.Close()
	g := newTestProxy(t, withChannels(nil), entry("a", l.Addr().String(), "up"))
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	for _, mode := range []websocket.CompressionMode{websocket.CompressionDisabled, websocket.CompressionNoContextTakeover, websocket.CompressionContextTakeover} {
		c, _, err := websocket.Dial(ctx, "ws://"+g.address+"/api", &websocket.DialOptions{
			HTTPHeader:   http.Header{"X-Txn": {fmt.Sprint("a", mode)}, "X-Lane": {"search"}, "X-Remaining-Ms": {"9000"}},
			Subprotocols: []string{"other", "holds"}, CompressionMode: mode,
		})
		if err != nil {
			t.Fatal(err)
		}
		if c.Subprotocol() != "holds" {
			t.Errorf("subprotocol %q", c.Subprotocol())
		}
		c.SetReadLimit(1 << 20)
		for _, size := range []int{0, 1, 125, 126, 1000, 65535, 65536, 300_000} {
			text := strings.Repeat("hold ready ", size/11+1)[:size]
			if err := c.Write(ctx, websocket.MessageText, []byte(text)); err != nil {
				t.Fatal(err)
			}
			kind, back, err := c.Read(ctx)
			if err != nil || kind != websocket.MessageText || string(back) != text {
				t.Fatalf("%d bytes came back as %d, kind %v: %v", size, len(back), kind, err)
			}
		}
		if err := c.Close(websocket.StatusNormalClosure, "bye"); err != nil {
			t.Errorf("close: %v", err)
		}
	}
	if n := g.channels.Len(); n > 1 {
		t.Errorf("%d channels remain", n)
	}
}

func (c *wsConn) sendRaw(text string) { io.WriteString(c, text) }

// readUntilEOF reads frames until the connection ends, and returns the data and the code of the Close frame.
func (c *wsConn) readUntilEOF() (data string, code frame.Code) {
	c.t.Helper()
	for {
		switch f, p := c.readFrame(); {
		case f == eof:
			return data, code
		case f == 0x88 && len(p) >= 2:
			code = frame.Code(p[0])<<8 | frame.Code(p[1])
			c.sendFrame(0x88, p) // the protocol requires an answer
		case f == 0x88:
			code = frame.NoStatus
			c.sendFrame(0x88, "")
		case f == 0x89:
			c.sendFrame(0x8a, p)
		default:
			data += p
		}
	}
}

// awaitNoChannels waits until the proxy has no open channel.
func (g *testProxy) awaitNoChannels() {
	g.t.Helper()
	g.awaitChannels(0)
}

func (g *testProxy) awaitChannels(n int) {
	g.t.Helper()
	for end := time.Now().Add(eventTimeout); g.channels.Len() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("%d channels, want %d", g.channels.Len(), n)
		}
	}
}

func TestFramesAreForwardedUnchanged(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	client, server := g.openPair(n, "1")
	for _, from := range []*wsConn{client, server} {
		to := client
		if from == client {
			to = server
		}
		from.sendFrame(0x01, "in ")
		from.sendFrame(0x89, "ping of an end")
		from.sendFrame(0x00, "three ")
		from.sendFrame(0x8a, "pong that nobody asked for")
		from.sendFrame(0x80, "parts")
		to.expectFrame(0x01, "in ")
		to.expectFrame(0x89, "ping of an end")
		to.expectFrame(0x00, "three ")
		to.expectFrame(0x8a, "pong that nobody asked for")
		to.expectFrame(0x80, "parts")
	}
	client.sendFrame(0x88, closePayload(4001)+"done")
	server.expectFrame(0x88, closePayload(4001)+"done")
	server.sendFrame(0x88, closePayload(4001))
	client.expectFrame(0x88, closePayload(4001))
	client.expectEOF()
	server.expectEOF()
	g.awaitNoChannels()
}

func TestNegotiationIsBetweenTheEndpoints(t *testing.T) {
	n := newWSServer(t, func(r *http.Request) string {
		return accept(r, "Sec-WebSocket-Protocol: b\r\n", "Sec-WebSocket-Extensions: permessage-deflate; server_no_context_takeover\r\n", "X-Own: 1\r\n")
	})
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	c, resp := g.openChannel("1", "Sec-WebSocket-Protocol: a, b\r\n", "Sec-WebSocket-Extensions: permessage-deflate; client_max_window_bits, x; q=\"a,b\"\r\n", "Origin: https://x\r\n", "Cookie: k=v\r\n")
	for field, want := range map[string]string{
		"Sec-Websocket-Protocol": "b", "Sec-Websocket-Extensions": "permessage-deflate; server_no_context_takeover", "X-Own": "1",
		"Sec-Websocket-Accept": handshake.AcceptKey(wsKey),
	} {
		if got := resp.Header.Get(field); got != want {
			t.Errorf("%s: %q, want %q", field, got, want)
		}
	}
	head := await(t, "the request", n.heads)
	for field, want := range map[string]string{
		"Sec-Websocket-Protocol": "a, b", "Sec-Websocket-Extensions": "permessage-deflate; client_max_window_bits, x; q=\"a,b\"",
		"Origin": "https://x", "Cookie": "k=v", "Sec-Websocket-Version": "13", "X-Txn": "1",
	} {
		if got := head.Header.Get(field); got != want {
			t.Errorf("%s: %q, want %q", field, got, want)
		}
	}
	server := await(t, "the server's end", n.conns)
	c.sendFrame(0xc1, "deflated") // the reserved bit that was negotiated
	server.expectFrame(0xc1, "deflated")
	c.sendFrame(0xa1, "another")
	if code := c.closeCode(); code != frame.ProtocolError {
		t.Errorf("a reserved bit that was not negotiated: code %d", code)
	}
	if code := server.closeCode(); code != frame.GoingAway {
		t.Errorf("the server got code %d", code)
	}
}

func TestDrainWithChannelsMidMessage(t *testing.T) {
	const channels = 500
	a, b := newWSServer(t, nil), newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) {
		c.Options.Channels.MoveWindow = 2 * time.Second
	}), entry("a", a.address, "up"))
	type pair struct{ client, server *wsConn }
	var all []pair
	for i := range channels {
		client, server := g.openPair(a, fmt.Sprint(i))
		all = append(all, pair{client, server})
		if i%2 == 0 {
			server.sendFrame(0x01, "first ")
			client.expectFrame(0x01, "first ")
		}
	}
	g.registry.lists <- list(2, false, entry("a", a.address, "draining"), entry("b", b.address, "up"))
	var ends sync.WaitGroup
	codes := make([]frame.Code, channels)
	data := make([]string, channels)
	for i, p := range all {
		ends.Go(func() {
			if i%2 == 0 && i%4 == 0 { // half of the channels with an open message finish it
				time.Sleep(500 * time.Millisecond)
				p.server.sendFrame(0x80, "last")
			}
		})
		ends.Go(func() { data[i], codes[i] = p.client.readUntilEOF() })
		ends.Go(func() {
			if _, code := p.server.readUntilEOF(); code != frame.GoingAway {
				t.Errorf("server %d got code %d", i, code)
			}
		})
	}
	// New channels go to the other server in the meantime.
	g.openPair(b, "new")
	ends.Wait()
	for i := range all {
		want := map[bool]string{true: "last", false: ""}[i%4 == 0]
		if codes[i] != frame.ServiceRestart || data[i] != want {
			t.Errorf("client %d: code %d, data %q; want %q", i, codes[i], data[i], want)
		}
	}
	g.awaitChannels(1)
	if len(a.heads) != channels {
		t.Errorf("%d upgrades reached the draining server", len(a.heads)-channels)
	}
}

func TestBrokenHandshakesOfServers(t *testing.T) {
	swap := func(old, new string) func(*http.Request) string {
		return func(r *http.Request) string { return strings.Replace(accept(r), old, new, 1) }
	}
	for _, k := range []struct {
		name   string
		answer func(*http.Request) string
	}{
		{"answered 200", func(*http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }},
		{"answered 204", func(*http.Request) string { return "HTTP/1.1 204 No Content\r\n\r\n" }},
		{"answered 302", func(*http.Request) string {
			return "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"
		}},
		{"answered 403", func(*http.Request) string { return "HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n" }},
		{"answered 500", func(*http.Request) string { return failure500 }},
		{"wrong accept", swap(handshake.AcceptKey(wsKey), "AAAAAAAAAAAAAAAAAAAAAAAAAAA=")},
		{"no accept", swap("Sec-WebSocket-Accept", "X-Accept")},
		{"two accepts", func(r *http.Request) string {
			return accept(r, "Sec-WebSocket-Accept: "+handshake.AcceptKey(wsKey)+"\r\n")
		}},
		{"no upgrade", swap("Upgrade: websocket", "X: y")},
		{"another upgrade", swap("Upgrade: websocket", "Upgrade: h2c")},
		{"two upgrades", swap("Upgrade: websocket", "Upgrade: websocket, h2c")},
		{"no connection", swap("Connection: Upgrade", "X: y")},
		{"protocol not offered", func(r *http.Request) string { return accept(r, "Sec-WebSocket-Protocol: b\r\n") }},
		{"extension not offered", func(r *http.Request) string { return accept(r, "Sec-WebSocket-Extensions: x\r\n") }},
		{"extension without a name", func(r *http.Request) string { return accept(r, "Sec-WebSocket-Extensions: ;a\r\n") }},
		{"a length", func(r *http.Request) string { return accept(r, "Content-Length: 5\r\n") }},
		{"chunks", func(r *http.Request) string { return accept(r, "Transfer-Encoding: chunked\r\n") }},
		{"no HTTP", func(*http.Request) string { return "\x81\x02ok" }},
		{"a head without end", func(r *http.Request) string {
			return strings.TrimSuffix(accept(r), "\r\n") + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 40)
		}},
		{"1xx without end", func(*http.Request) string { return strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 40) }},
	} {
		t.Run(k.name, func(t *testing.T) {
			n := newWSServer(t, k.answer)
			g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
			c, resp := g.openChannel("1")
			if resp.StatusCode/100 != 5 {
				t.Errorf("answered %d", resp.StatusCode)
			}
			if text, _ := io.ReadAll(resp.Body); len(text) > 100 {
				t.Errorf("%q", text)
			}
			if _, err := c.r.ReadByte(); err == nil {
				t.Error("the connection stays open")
			}
			if g.channels.Len() != 0 {
				t.Error("a channel is open")
			}
		})
	}
}

const failure500 = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"

func TestInterimAnswersBeforeThe101(t *testing.T) {
	n := newWSServer(t, func(r *http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + accept(r)
	})
	n.answer = func(r *http.Request) string { return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + accept(r) }
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	if _, resp := g.openChannel("1"); resp.StatusCode != http.StatusSwitchingProtocols {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

func TestBrokenHandshakesOfClients(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	swap := func(old, new string) string { return strings.Replace(upgradeRequest("1"), old, new, 1) }
	for _, k := range []struct {
		name, text string
		status     int
	}{
		{"POST", swap("GET /api", "POST /api"), 400},
		{"HTTP/1.0", swap("HTTP/1.1", "HTTP/1.0"), 400},
		{"no connection option", swap("Connection: Upgrade", "Connection: keep-alive"), 400},
		{"two protocols to change to", swap("Upgrade: websocket", "Upgrade: websocket, h2c"), 400},
		{"a body", swap("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc"), 400},
		{"chunks", swap("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400},
		{"no version", swap("Sec-WebSocket-Version: 13\r\n", ""), 426},
		{"version 8", swap("Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 8"), 426},
		{"two versions", swap("Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Version: 8"), 426},
		{"no key", swap("Sec-WebSocket-Key", "X-Key"), 400},
		{"a short key", swap(wsKey, base64.StdEncoding.EncodeToString(make([]byte, 15))), 400},
		{"a long key", swap(wsKey, base64.StdEncoding.EncodeToString(make([]byte, 17))), 400},
		{"no base64", swap(wsKey, strings.Repeat("*", 24)), 400},
		{"two keys", swap("Sec-WebSocket-Key", "Sec-WebSocket-Key: "+wsKey+"\r\nSec-WebSocket-Key"), 400},
		{"a subprotocol that is no token", swap("Upgrade: w", "Sec-WebSocket-Protocol: a b\r\nUpgrade: w"), 400},
		{"a subprotocol twice", swap("Upgrade: w", "Sec-WebSocket-Protocol: a, a\r\nUpgrade: w"), 400},
		{"an extension without a name", swap("Upgrade: w", "Sec-WebSocket-Extensions: ;x\r\nUpgrade: w"), 400},
		{"no class", swap("X-Lane: search\r\n", ""), 400},
		{"a class that is not free", swap("X-Lane: search", "X-Lane: hold"), 400},
		{"no id", swap("X-Txn: 1\r\n", ""), 400},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := dialAt(t, g.address).send(k.text)
			if status, _ := c.answer(); status != k.status {
				t.Errorf("answered %d, want %d", status, k.status)
			}
			c.expectClosed()
		})
	}
	if len(n.heads) != 0 {
		t.Errorf("%d reached the server", len(n.heads))
	}
}

func TestBytesBeforeThe101(t *testing.T) {
	hold := make(chan struct{})
	n := newWSServer(t, func(r *http.Request) string { <-hold; return accept(r) })
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	c := g.dial().send(upgradeRequest("1") + "\x81\x80\x00\x00\x00\x00" + strings.Replace(head("smuggled"), "search", "search", 1))
	await(t, "the request", n.heads)
	close(hold)
	if status, _ := c.answer(); status != 400 {
		t.Errorf("answered %d", status)
	}
	c.expectClosed()
	server := await(t, "the server's end", n.conns)
	server.expectEOF()
	if len(n.heads) != 0 || g.channels.Len() != 0 {
		t.Error("the bytes after the handshake were treated as a request")
	}
}

func TestRetriesOnlyBeforeThe101(t *testing.T) {
	t.Parallel()
	dead := newWSServer(t, nil)
	dead.kill()
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(nil), entry("a", dead.address, "up"), entry("b", n.address, "up"))
	for i := range 4 { // the round robin uses both servers
		if _, resp := g.openChannel(fmt.Sprint(i)); resp.StatusCode != http.StatusSwitchingProtocols {
			t.Errorf("answered %d", resp.StatusCode)
		}
	}
	if len(n.heads) != 4 {
		t.Errorf("%d upgrades", len(n.heads))
	}
	// The proxy does not reopen a channel that breaks.
	n.kill()
	g.awaitNoChannels()
}

func TestGarbageAfterThe101(t *testing.T) {
	n := newWSServer(t, func(r *http.Request) string { return accept(r) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	client, server := g.openPair(n, "1")
	if code := client.closeCode(); code != frame.InternalError {
		t.Errorf("the client got code %d", code)
	}
	if code := server.closeCode(); code != frame.ProtocolError {
		t.Errorf("the server got code %d", code)
	}
}

func TestFramesAfterThe101AreForwarded(t *testing.T) {
	n := newWSServer(t, func(r *http.Request) string { return accept(r) + "\x81\x05hello\x82" })
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	client, server := g.openPair(n, "1")
	client.expectFrame(0x81, "hello")
	server.sendRaw("\x01x")
	client.expectFrame(0x82, "x")
}

func TestOneByteASecond(t *testing.T) {
	t.Parallel()
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) {
		c.Options.Channels.FrameGrace, c.Options.Channels.MinFrameRate = 300*time.Millisecond, 1000
	}), entry("a", n.address, "up"))
	for _, slow := range []string{"client", "server"} {
		client, server := g.openPair(n, slow)
		from, to, wantOther := client, server, frame.GoingAway
		if slow == "server" {
			from, to, wantOther = server, client, frame.ServiceRestart
		}
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, b := range from.encodeFrame(0x82, strings.Repeat("x", 100)) {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond): // represents a second in this test
					from.Write([]byte{b})
				}
			}
		}()
		if code := from.closeCode(); code != frame.PolicyViolation {
			t.Errorf("a slow %s got code %d", slow, code)
		}
		close(stop)
		<-done
		if code := to.closeCode(); code != wantOther && code != 0 {
			t.Errorf("the other end of a slow %s got code %d", slow, code)
		}
	}
	g.awaitNoChannels()
}

func TestCloseThatIsNeverAnswered(t *testing.T) {
	t.Parallel()
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) { c.Options.Channels.CloseTimeout = 200 * time.Millisecond }), entry("a", n.address, "up"))
	client, server := g.openPair(n, "1")
	client.sendFrame(0x88, closePayload(1000))
	server.expectFrame(0x88, closePayload(1000))
	if code := client.closeCode(); code != frame.ServiceRestart && code != 0 {
		t.Errorf("the client got code %d", code)
	}
	server.expectEOF()
	g.awaitNoChannels()
	// The same if the server closes first.
	client, server = g.openPair(n, "2")
	server.sendFrame(0x88, "")
	client.expectFrame(0x88, "")
	client.expectEOF()
	server.closeCode()
	g.awaitNoChannels()
}

func TestEndpointThatReadsNothingLimitsItsSender(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.WriteTimeout, o.PingEvery, o.PongTimeout = 800*time.Millisecond, 100*time.Millisecond, 400*time.Millisecond
	}), entry("a", n.address, "up"))
	client, _ := g.openPair(n, "1") // the test never reads the server's end
	sent := 0
	one := client.encodeFrame(0x82, strings.Repeat("x", 60_000))
	for {
		m, err := client.Write(one)
		if sent += m; err != nil {
			break
		}
	}
	// The kernel's buffers on the path and one of the proxy's hold what the sender could write.
	if sent > 8<<20 {
		t.Errorf("%d bytes were accepted for an endpoint that reads nothing", sent)
	}
	g.awaitNoChannels()
}

func TestSlowReaderThatMovesIsKept(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.WriteTimeout, o.PingEvery, o.PongTimeout = time.Second, 100*time.Millisecond, 300*time.Millisecond
		o.FrameGrace = 300 * time.Millisecond
	}), entry("a", n.address, "up"))
	client, server := g.openPair(n, "1")
	const total = 1 << 20
	go func() {
		one := client.encodeFrame(0x82, strings.Repeat("x", 60_000))
		for sent := 0; sent < total; sent += len(one) {
			client.Write(one)
		}
		client.sendFrame(0x88, closePayload(1000))
	}()
	// The server's end reads 60 kB, pauses, and repeats that; it answers pings as it reaches them.
	server.r = bufio.NewReaderSize(server.Conn, 1<<10)
	for got := 0; ; {
		f, p := server.readFrame()
		switch f {
		case 0x89:
			server.sendFrame(0x8a, p)
			continue
		case 0x88:
			if got < total {
				t.Errorf("%d of %d bytes arrived, and then a Close", got, total)
			}
			return
		case eof:
			t.Fatalf("%d of %d bytes arrived", got, total)
		}
		got += len(p)
		time.Sleep(100 * time.Millisecond)
	}
}

// TestSlowReadersDoNotHoldAllBuffers has more stalled readers than there are buffers, each with more pending data than
// the kernel buffers. Other channels must work as usual, and no pending data may be lost.
func TestSlowReadersDoNotHoldAllBuffers(t *testing.T) {
	const buffers, slow, messages, size = 8, 24, 50, 20_000
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.Memory = buffers * 32 << 10
		o.WriteTimeout, o.PingEvery = eventTimeout, time.Hour
	}), entry("a", n.address, "up"))
	fast, server := g.openPair(n, "quick")
	var readers []*wsConn
	var senders sync.WaitGroup
	var halfSent atomic.Int64
	defer senders.Wait()
	for i := range slow {
		reader, sender := g.openPair(n, fmt.Sprint("slow", i))
		reader.Conn.(*net.TCPConn).SetReadBuffer(32 << 10)
		sender.Conn.(*net.TCPConn).SetWriteBuffer(32 << 10)
		readers = append(readers, reader)
		senders.Go(func() {
			one := sender.encodeFrame(0x82, strings.Repeat("x", size))
			for k := range messages {
				if k == messages/2 {
					halfSent.Add(1)
				}
				sender.Write(one)
			}
			sender.sendFrame(0x88, closePayload(1000))
		})
	}
	roundTrip := func(i int) {
		text := fmt.Sprint("trip ", i)
		fast.sendFrame(0x81, text)
		server.expectFrame(0x81, text)
		server.sendFrame(0x81, text)
		fast.expectFrame(0x81, text)
	}
	for i := range 300 { // while the other channels stall, and after that
		roundTrip(i)
		time.Sleep(time.Millisecond)
	}
	if halfSent.Load() == slow {
		t.Fatal("the kernel buffers all pending data, so no sender stalls; send more")
	}
	var done sync.WaitGroup
	for _, r := range readers {
		done.Go(func() {
			got := 0
			for {
				f, p := r.readFrame()
				if f != 0x82 {
					if f != 0x88 || got != messages*size {
						t.Errorf("%d of %d bytes, then %#x", got, messages*size, f)
					}
					return
				}
				got += len(p)
			}
		})
	}
	for i := range 100 { // while all pending data is transferred
		roundTrip(i)
	}
	done.Wait()
}

func TestGiBAnnounced(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	client, server := g.openPair(n, "1")
	client.sendRaw("\x82\xff\x00\x00\x00\x00\x40\x00\x00\x00")
	if code := client.closeCode(); code != frame.MessageTooBig {
		t.Errorf("got code %d", code)
	}
	if code := server.closeCode(); code != frame.GoingAway {
		t.Errorf("the server got code %d", code)
	}
	// The size of a message is the sum of its fragments.
	client, server = g.openPair(n, "2")
	var sending sync.WaitGroup
	sending.Go(func() {
		server.sendFrame(0x02, strings.Repeat("x", 60_000))
		for range 20 {
			server.sendFrame(0x00, strings.Repeat("x", 60_000))
		}
	})
	if code := client.closeCode(); code != frame.InternalError {
		t.Errorf("the client got code %d", code)
	}
	sending.Wait()
	if code := server.closeCode(); code != frame.MessageTooBig {
		t.Errorf("got code %d", code)
	}
}

func TestHalfOpenPeerIsDetected(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.PingEvery, o.PongTimeout, o.WriteTimeout = 100*time.Millisecond, 300*time.Millisecond, time.Second
	}), entry("a", n.address, "up"))
	client, server := g.openPair(n, "1")
	go func() { // this end answers pings, and the client's end sends nothing more
		for {
			f, p := server.readFrame()
			if f == eof || f == 0x88 {
				return
			}
			if f == 0x89 {
				server.sendFrame(0x8a, p)
			}
		}
	}()
	f, p := client.readFrame()
	if f != 0x89 || len(p) != 8 {
		t.Fatalf("frame %#x %q, want a ping", f, p)
	}
	g.awaitNoChannels()
}

func TestPongsToProxyPingsAreNotForwarded(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) { c.Options.Channels.PingEvery = 100 * time.Millisecond }), entry("a", n.address, "up"))
	client, server := g.openPair(n, "1")
	_, p := client.readFrame()
	client.sendFrame(0x8a, p)
	client.sendFrame(0x81, "x")
	for {
		f, p := server.readFrame()
		if f == 0x89 {
			server.sendFrame(0x8a, p)
			continue
		}
		if f != 0x81 || p != "x" {
			t.Errorf("frame %#x %q", f, p)
		}
		return
	}
}

func TestRestartMovesChannels(t *testing.T) {
	t.Parallel()
	n := newWSServer(t, nil)
	g := newRegistry(t)
	c := testConfig(g.address, []byte(list(1, true, entry("a", n.address, "up"))))
	withChannels(func(c *Config) { c.Options.Channels.RestartWindow = time.Second })(&c)
	p, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Serve(ctx) }()
	awaitConfirmed(t, p)
	r := &testProxy{t, p, g, p.Addr().String()}
	var ends sync.WaitGroup
	for i := range 50 {
		client, server := r.openPair(n, fmt.Sprint(i))
		ends.Go(func() {
			if _, code := client.readUntilEOF(); code != frame.GoingAway {
				t.Errorf("got code %d", code)
			}
		})
		ends.Go(func() {
			if _, code := server.readUntilEOF(); code != frame.GoingAway {
				t.Errorf("the server got code %d", code)
			}
		})
	}
	stop()
	ends.Wait()
	if err := await(t, "the proxy's end", done); err != nil {
		t.Error(err)
	}
}

func TestRefusedClientsReturnWithTheirTicket(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) { c.Options.Channels.Rate = 4 }), entry("a", n.address, "up"))
	g.openPair(n, "1")
	_, resp := g.openChannel("2")
	wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if resp.StatusCode != 503 || err != nil || wait <= 0 || resp.Header.Get(ticket.Field) == "" {
		t.Fatalf("answered %d, %v", resp.StatusCode, resp.Header)
	}
	if c := resp.Cookies(); len(c) != 1 || c[0].Value != resp.Header.Get(ticket.Field) {
		t.Errorf("cookies %v", c)
	}
	time.Sleep(wait)
	if _, again := g.openChannel("3", "Cookie: "+ticket.Cookie+"="+resp.Header.Get(ticket.Field)+"\r\n"); again.StatusCode != 101 {
		t.Errorf("answered %d to a client that returned with its ticket after the requested time", again.StatusCode)
	}
	// A forged ticket is not accepted.
	if _, forged := g.openChannel("4", ticket.Field+": "+strings.Repeat("A", 48)+"\r\n"); forged.StatusCode != 503 {
		t.Errorf("answered %d to a forged ticket", forged.StatusCode)
	}
	await(t, "the first", n.heads)
	await(t, "the second", n.heads)
	if len(n.heads) != 0 {
		t.Error("a refused client reached the server")
	}
}

// TestQuietChannelsNeitherShunNorLoad checks that a server with 300 idle channels, three times the requests that the
// balancer may have open there, gets its share of requests and of new channels.
func TestQuietChannelsNeitherShunNorLoad(t *testing.T) {
	serves := func(r *http.Request) string {
		if r.Header.Get("Upgrade") == "" {
			return idAnswer(r.Header.Get("X-Txn"))
		}
		return accept(r)
	}
	a, b := newWSServer(t, serves), newWSServer(t, serves)
	g := newTestProxy(t, withChannels(nil), entry("a", a.address, "up"))
	for i := range 300 {
		g.openPair(a, fmt.Sprint(i))
	}
	g.registry.lists <- list(2, false, entry("b", b.address, "up"))
	await(t, "the watch that follows", g.registry.calls)
	await(t, "the watch that follows", g.registry.calls)
	for range 300 {
		<-a.heads
	}
	time.Sleep(3 * time.Second) // the balancer counts the handshakes as load for 0.7 s; idle channels are no load
	for i := range 100 {
		if status, _ := g.dial().send(head(fmt.Sprint("request", i))).answer(); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if n := len(a.heads); n < 40 || n > 60 {
		t.Errorf("%d of 100 requests went to the server with the channels", n)
	}
	before := len(a.heads)
	for i := range 100 {
		if _, resp := g.openChannel(fmt.Sprint("channel", i)); resp.StatusCode != 101 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	if n := len(a.heads) - before; n < 40 || n > 60 {
		t.Errorf("%d of 100 new channels went to the server with the channels", n)
	}
}

// TestParkedChannelsStillReceive checks parked channels: the proxy polls them in another way, and must still handle
// every message, end of connection and ban that can come next.
func TestParkedChannelsStillReceive(t *testing.T) {
	t.Parallel()
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.FrameGrace, o.MoveWindow = 500*time.Millisecond, 100*time.Millisecond
	}), entry("a", n.address, "up"))
	awaitParked := func(ends int) {
		t.Helper()
		for end := time.Now().Add(eventTimeout); g.channels.Parked() != ends; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d ends are parked, want %d", g.channels.Parked(), ends)
			}
		}
	}
	type pair struct{ client, server *wsConn }
	var all []pair
	for i := range 6 {
		client, server := g.openPair(n, fmt.Sprint(i))
		all = append(all, pair{client, server})
	}
	awaitParked(12)
	for range 2 { // they carry data again, and are parked again
		for _, p := range all {
			p.client.sendFrame(0x81, strings.Repeat("x", 70_000))
			p.server.expectFrame(0x81, strings.Repeat("x", 70_000))
			p.server.sendFrame(0x81, "hold ready")
			p.client.expectFrame(0x81, "hold ready")
		}
		awaitParked(12)
	}
	// Each way in which a channel can end.
	all[0].client.sendFrame(0x88, closePayload(1000))
	all[0].server.expectFrame(0x88, closePayload(1000))
	all[0].server.sendFrame(0x88, closePayload(1000))
	all[0].client.expectFrame(0x88, closePayload(1000))
	all[1].server.Close()
	if code := all[1].client.closeCode(); code != frame.ServiceRestart {
		t.Errorf("got code %d", code)
	}
	all[2].client.Close()
	if code := all[2].server.closeCode(); code != frame.GoingAway {
		t.Errorf("got code %d", code)
	}
	all[3].client.sendRaw("\xff\xff")
	if code := all[3].client.closeCode(); code != frame.ProtocolError {
		t.Errorf("got code %d", code)
	}
	g.host.SetBanned("a", true)
	for _, p := range all[4:] {
		if code := p.client.closeCode(); code != frame.ServiceRestart {
			t.Errorf("got code %d", code)
		}
	}
	all[4].client.sendFrame(0x88, closePayload(1012)) // the other client never answers
	if code := all[4].server.closeCode(); code != frame.GoingAway {
		t.Errorf("got code %d", code)
	}
	all[5].client.expectEOF()
	g.awaitNoChannels()
}

func TestServerTakenOutByOperatorLosesItsChannels(t *testing.T) {
	t.Parallel()
	a, b := newWSServer(t, nil), newWSServer(t, nil)
	g := newTestProxy(t, withChannels(func(c *Config) { c.Options.Channels.MoveWindow = 200 * time.Millisecond }),
		entry("a", a.address, "up"), entry("b", b.address, "up"))
	var ends sync.WaitGroup
	moved := 0
	var mu sync.Mutex
	for i := range 20 {
		client, _ := g.openChannel(fmt.Sprint(i))
		ends.Go(func() {
			if _, code := client.readUntilEOF(); code == frame.ServiceRestart {
				mu.Lock()
				moved++
				mu.Unlock()
			}
		})
	}
	atBanned := len(a.heads) // each upgrade reached its server before the client got the answer
	if !g.host.SetBanned("a", true) {
		t.Fatal("not known")
	}
	g.awaitChannels(20 - atBanned)
	if _, resp := g.openChannel("new"); resp.StatusCode != 101 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if len(a.heads) != atBanned {
		t.Error("a channel was opened at a banned server")
	}
	b.kill()
	ends.Wait()
	if moved != 20 {
		t.Errorf("%d of 20 clients got the code to reconnect", moved)
	}
}

// metric is an expected line of the metrics, and the line that may be there in its place until then. If before is "", the
// expected line must be there at once.
type metric struct{ line, before string }

// awaitMetrics waits until all metrics have their expected lines, and fails the test if one shows anything but its earlier
// line until then. The proxy counts after the write that a metric is about, so the other end may see the write first.
func (g *testProxy) awaitMetrics(figures ...metric) {
	g.t.Helper()
	for end := time.Now().Add(eventTimeout); ; time.Sleep(time.Millisecond) {
		text := string(consoleHandler{g.Proxy}.Figures(nil))
		late := ""
		for _, f := range figures {
			switch {
			case strings.Contains(text, f.line):
			case f.before == "" || !strings.Contains(text, f.before) || time.Now().After(end):
				g.t.Fatalf("%q is missing in\n%s", f.line, text)
			default:
				late = f.line
			}
		}
		if late == "" {
			return
		}
	}
}

// TestChannelMetrics checks the metrics of a channel: each reaches one exact value, and the bytes carried remain counted
// after the channel has ended.
func TestChannelMetrics(t *testing.T) {
	n := newWSServer(t, nil)
	g := newTestProxy(t, withChannels(nil), entry("node-1", n.address, "up"))
	client, server := g.openPair(n, "1")
	client.sendFrame(0x81, "hello")
	server.expectFrame(0x81, "hello")
	server.sendFrame(0x81, "hold ready")
	client.expectFrame(0x81, "hold ready")
	const toServers, toClients = "edge_relay.channels.bytes_to_servers:11|c\n", "edge_relay.channels.bytes_to_clients:12|c\n"
	g.awaitMetrics(
		metric{line: "edge_relay.channels.open:1|g\n"}, metric{line: "edge_relay.channels.open.node-1:1|g\n"},
		metric{line: "edge_relay.channels.opened:1|c\n"}, metric{line: "edge_relay.channels.refused:0|c\n"},
		metric{line: "edge_relay.channels.moved:0|c\n"},
		metric{line: "edge_relay.ok.search:1|c\n", before: "edge_relay.ok.search:0|c\n"},
		metric{line: "edge_relay.active:0|g\n", before: "edge_relay.active:1|g\n"},
		metric{line: toServers, before: "edge_relay.channels.bytes_to_servers:0|c\n"},
		metric{line: toClients, before: "edge_relay.channels.bytes_to_clients:0|c\n"},
	)
	client.sendFrame(0x88, closePayload(1000))
	server.expectFrame(0x88, closePayload(1000))
	server.sendFrame(0x88, closePayload(1000))
	client.expectFrame(0x88, closePayload(1000))
	g.awaitMetrics(
		metric{line: "edge_relay.channels.open:0|g\n", before: "edge_relay.channels.open:1|g\n"},
		metric{line: toServers}, metric{line: toClients},
	)
	if text := string(consoleHandler{newTestProxy(t, nil).Proxy}.Figures(nil)); strings.Contains(text, "channels") {
		t.Error("metrics of channels although channels are disabled")
	}
}

func TestUpgradesAreOrdinaryRequestsWhereThereAreNoChannels(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	g := newTestProxy(t, nil, entry("a", b.address, "up"))
	if status, text := g.dial().send(upgradeRequest("1")).answer(); status != 200 || text != "1" {
		t.Errorf("answered %d %q", status, text)
	}
}

func TestChannelsThatDoNotFitTheLimits(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Sockets = 300 },
		func(c *Config) { c.Memory = 32 << 20 },
		func(c *Config) { c.Options.Channels.KeyFile = "/nowhere/key" },
	} {
		c := testConfig("127.0.0.1:1", nil)
		withChannels(change)(&c)
		if p, err := New(c); err == nil {
			p.Close()
			t.Error("started")
		} else if !strings.Contains(err.Error(), "channels: ") {
			t.Error(err)
		}
	}
}
