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

// withChannels turns channels on, with limits that fit tests.
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

// wsNode is a server of channels at whose raw sockets the test plays the other end.
type wsNode struct {
	t       *testing.T
	address string
	heads   chan *http.Request // those that came
	conns   chan *wsConn       // and were answered with 101
	answer  func(*http.Request) string
	listen  net.Listener
	mu      sync.Mutex
	open    []net.Conn
}

// wsConn is one raw end of a channel.
type wsConn struct {
	t *testing.T
	net.Conn
	r    *bufio.Reader
	mask bool // it is the client's end
}

// accept is an answer of 101 to a request, with further fields.
func accept(r *http.Request, fields ...string) string {
	return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + handshake.AcceptKey(r.Header.Get(handshake.KeyField)) + "\r\n" + strings.Join(fields, "") + "\r\n"
}

// newWSNode answers each request with what answer returns; nil for 101.
func newWSNode(t *testing.T, answer func(*http.Request) string) *wsNode {
	t.Helper()
	if answer == nil {
		answer = func(r *http.Request) string { return accept(r) }
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &wsNode{
		t: t, address: l.Addr().String(), answer: answer, listen: l,
		heads: make(chan *http.Request, 2000), conns: make(chan *wsConn, 2000),
	}
	t.Cleanup(n.die)
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

func (n *wsNode) serve(c net.Conn) {
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	n.heads <- req
	text := n.answer(req)
	io.WriteString(c, text)
	if strings.HasPrefix(text, "HTTP/1.1 101") {
		c.SetDeadline(time.Now().Add(patient))
		n.conns <- &wsConn{n.t, c, r, false}
		return
	}
	c.Close()
}

// die ends the process: its connections are reset, and new ones refused.
func (n *wsNode) die() {
	n.listen.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

const wsKey = "dGhlIHNhbXBsZSBub25jZQ=="

// shake is a request for a channel, with further fields.
func shake(id string, fields ...string) string {
	return "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: search\r\nX-Remaining-Ms: 9000\r\n" +
		"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + wsKey + "\r\n" +
		strings.Join(fields, "") + "\r\n"
}

// open opens a channel, and returns the client's end and the answer's head.
func (g *rig) open(id string, fields ...string) (*wsConn, *http.Response) {
	g.t.Helper()
	c := g.dial().send(shake(id, fields...))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: "GET"})
	if err != nil {
		g.t.Fatal(err)
	}
	return &wsConn{g.t, c.Conn, c.r, true}, resp
}

// pair opens a channel to a node, and returns both ends.
func (g *rig) pair(n *wsNode, id string, fields ...string) (client, server *wsConn) {
	g.t.Helper()
	client, resp := g.open(id, fields...)
	if resp.StatusCode != http.StatusSwitchingProtocols {
		g.t.Fatalf("answered %d", resp.StatusCode)
	}
	return client, await(g.t, "the server's end", n.conns)
}

// bytes is one frame as this end sends it.
func (c *wsConn) bytes(first byte, payload string) []byte {
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

func (c *wsConn) send(first byte, payload string) { c.Write(c.bytes(first, payload)) }

// eof stands for a frame's first byte at the connection's end: no frame begins with it.
const eof = 0x70

// frame reads one frame: its first byte and payload. first is eof at the end of the connection.
func (c *wsConn) frame() (first byte, payload string) {
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
		c.t.Error("masked to the wrong side")
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

// wants reads one frame and checks it.
func (c *wsConn) wants(first byte, payload string) {
	c.t.Helper()
	if f, p := c.frame(); f != first || p != payload {
		c.t.Fatalf("frame %#x %.60q, want %#x %.60q", f, p, first, payload)
	}
}

// code reads up to the next Close frame, and returns its code; 0 if the connection ends without one.
func (c *wsConn) code() frame.Code {
	c.t.Helper()
	for {
		switch f, p := c.frame(); {
		case f == eof:
			return 0
		case f == 0x88 && len(p) < 2:
			return frame.NoStatus
		case f == 0x88:
			return frame.Code(p[0])<<8 | frame.Code(p[1])
		}
	}
}

func closing(code frame.Code) string { return string([]byte{byte(code >> 8), byte(code)}) }

// ended waits for the connection's end.
func (c *wsConn) ended() {
	c.t.Helper()
	if f, p := c.frame(); f != eof {
		c.t.Fatalf("frame %#x %q where the end was due", f, p)
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
	g := newRig(t, withChannels(nil), entry("a", l.Addr().String(), "up"))
	ctx, cancel := context.WithTimeout(t.Context(), patient)
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
		t.Errorf("%d channels are left", n)
	}
}

func (c *wsConn) raw(text string) { io.WriteString(c, text) }

// takes reads frames until the connection ends, and returns the data and the code of the Close.
func (c *wsConn) takes() (data string, code frame.Code) {
	c.t.Helper()
	for {
		switch f, p := c.frame(); {
		case f == eof:
			return data, code
		case f == 0x88 && len(p) >= 2:
			code = frame.Code(p[0])<<8 | frame.Code(p[1])
			c.send(0x88, p) // an end that keeps the protocol answers
		case f == 0x88:
			code = frame.NoStatus
			c.send(0x88, "")
		case f == 0x89:
			c.send(0x8a, p)
		default:
			data += p
		}
	}
}

// drained waits for the proxy to hold no channel.
func (g *rig) drained() {
	g.t.Helper()
	g.holds(0)
}

func (g *rig) holds(n int) {
	g.t.Helper()
	for end := time.Now().Add(patient); g.channels.Len() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("%d channels, want %d", g.channels.Len(), n)
		}
	}
}

func TestFramesGoOnAsTheyCame(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
	client, server := g.pair(n, "1")
	for _, from := range []*wsConn{client, server} {
		to := client
		if from == client {
			to = server
		}
		from.send(0x01, "in ")
		from.send(0x89, "ping of an end")
		from.send(0x00, "three ")
		from.send(0x8a, "pong that nobody asked for")
		from.send(0x80, "parts")
		to.wants(0x01, "in ")
		to.wants(0x89, "ping of an end")
		to.wants(0x00, "three ")
		to.wants(0x8a, "pong that nobody asked for")
		to.wants(0x80, "parts")
	}
	client.send(0x88, closing(4001)+"done")
	server.wants(0x88, closing(4001)+"done")
	server.send(0x88, closing(4001))
	client.wants(0x88, closing(4001))
	client.ended()
	server.ended()
	g.drained()
}

func TestOffersAndChoicesAreTheEnds(t *testing.T) {
	n := newWSNode(t, func(r *http.Request) string {
		return accept(r, "Sec-WebSocket-Protocol: b\r\n", "Sec-WebSocket-Extensions: permessage-deflate; server_no_context_takeover\r\n", "X-Own: 1\r\n")
	})
	g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
	c, resp := g.open("1", "Sec-WebSocket-Protocol: a, b\r\n", "Sec-WebSocket-Extensions: permessage-deflate; client_max_window_bits, x; q=\"a,b\"\r\n", "Origin: https://x\r\n", "Cookie: k=v\r\n")
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
	c.send(0xc1, "deflated") // the reserved bit that was agreed on
	server.wants(0xc1, "deflated")
	c.send(0xa1, "another")
	if code := c.code(); code != frame.ProtocolError {
		t.Errorf("a bit that was not agreed on: code %d", code)
	}
	if code := server.code(); code != frame.GoingAway {
		t.Errorf("the server is told %d", code)
	}
}

func TestDrainWithChannelsInTheMidstOfMessages(t *testing.T) {
	const channels = 500
	a, b := newWSNode(t, nil), newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) {
		c.Options.Channels.MoveWindow = 2 * time.Second
	}), entry("a", a.address, "up"))
	type pair struct{ client, server *wsConn }
	var all []pair
	for i := range channels {
		client, server := g.pair(a, fmt.Sprint(i))
		all = append(all, pair{client, server})
		if i%2 == 0 {
			server.send(0x01, "first ")
			client.wants(0x01, "first ")
		}
	}
	g.registry.lists <- list(2, false, entry("a", a.address, "draining"), entry("b", b.address, "up"))
	var ends sync.WaitGroup
	codes := make([]frame.Code, channels)
	data := make([]string, channels)
	for i, p := range all {
		ends.Go(func() {
			if i%2 == 0 && i%4 == 0 { // half of those in a message go on with it
				time.Sleep(500 * time.Millisecond)
				p.server.send(0x80, "last")
			}
		})
		ends.Go(func() { data[i], codes[i] = p.client.takes() })
		ends.Go(func() {
			if _, code := p.server.takes(); code != frame.GoingAway {
				t.Errorf("server %d is told %d", i, code)
			}
		})
	}
	// New ones go to the other server meanwhile.
	g.pair(b, "new")
	ends.Wait()
	for i := range all {
		want := map[bool]string{true: "last", false: ""}[i%4 == 0]
		if codes[i] != frame.ServiceRestart || data[i] != want {
			t.Errorf("client %d: code %d, data %q; want %q", i, codes[i], data[i], want)
		}
	}
	g.holds(1)
	if len(a.heads) != channels {
		t.Errorf("%d upgrades reached the server that drains", len(a.heads)-channels)
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
			n := newWSNode(t, k.answer)
			g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
			c, resp := g.open("1")
			if resp.StatusCode/100 != 5 {
				t.Errorf("answered %d", resp.StatusCode)
			}
			if text, _ := io.ReadAll(resp.Body); len(text) > 100 {
				t.Errorf("%q", text)
			}
			if _, err := c.r.ReadByte(); err == nil {
				t.Error("the connection goes on")
			}
			if g.channels.Len() != 0 {
				t.Error("a channel is open")
			}
		})
	}
}

const failure500 = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"

func TestInterimAnswersBeforeThe101(t *testing.T) {
	n := newWSNode(t, func(r *http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + accept(r)
	})
	n.answer = func(r *http.Request) string { return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + accept(r) }
	g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
	if _, resp := g.open("1"); resp.StatusCode != http.StatusSwitchingProtocols {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

func TestBrokenHandshakesOfClients(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
	swap := func(old, new string) string { return strings.Replace(shake("1"), old, new, 1) }
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
			c.closed()
		})
	}
	if len(n.heads) != 0 {
		t.Errorf("%d reached the server", len(n.heads))
	}
}

func TestBytesBeforeThe101(t *testing.T) {
	hold := make(chan struct{})
	n := newWSNode(t, func(r *http.Request) string { <-hold; return accept(r) })
	g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
	c := g.dial().send(shake("1") + "\x81\x80\x00\x00\x00\x00" + strings.Replace(head("smuggled"), "search", "search", 1))
	await(t, "the request", n.heads)
	close(hold)
	if status, _ := c.answer(); status != 400 {
		t.Errorf("answered %d", status)
	}
	c.closed()
	server := await(t, "the server's end", n.conns)
	server.ended()
	if len(n.heads) != 0 || g.channels.Len() != 0 {
		t.Error("what stood behind the handshake was taken for a request")
	}
}

func TestRetriesOnlyBeforeThe101(t *testing.T) {
	t.Parallel()
	dead := newWSNode(t, nil)
	dead.die()
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(nil), entry("a", dead.address, "up"), entry("b", n.address, "up"))
	for i := range 4 { // turns go to both
		if _, resp := g.open(fmt.Sprint(i)); resp.StatusCode != http.StatusSwitchingProtocols {
			t.Errorf("answered %d", resp.StatusCode)
		}
	}
	if len(n.heads) != 4 {
		t.Errorf("%d upgrades", len(n.heads))
	}
	// A channel that breaks is not opened again by the proxy.
	n.die()
	g.drained()
}

func TestGarbageBehindThe101(t *testing.T) {
	n := newWSNode(t, func(r *http.Request) string { return accept(r) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
	client, server := g.pair(n, "1")
	if code := client.code(); code != frame.InternalError {
		t.Errorf("the client is told %d", code)
	}
	if code := server.code(); code != frame.ProtocolError {
		t.Errorf("the server is told %d", code)
	}
}

func TestFramesBehindThe101GoOn(t *testing.T) {
	n := newWSNode(t, func(r *http.Request) string { return accept(r) + "\x81\x05hello\x82" })
	g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
	client, server := g.pair(n, "1")
	client.wants(0x81, "hello")
	server.raw("\x01x")
	client.wants(0x82, "x")
}

func TestOneByteASecond(t *testing.T) {
	t.Parallel()
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) {
		c.Options.Channels.FrameGrace, c.Options.Channels.MinFrameRate = 300*time.Millisecond, 1000
	}), entry("a", n.address, "up"))
	for _, slow := range []string{"client", "server"} {
		client, server := g.pair(n, slow)
		from, to, told := client, server, frame.GoingAway
		if slow == "server" {
			from, to, told = server, client, frame.ServiceRestart
		}
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, b := range from.bytes(0x82, strings.Repeat("x", 100)) {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond): // a second, as this test goes
					from.Write([]byte{b})
				}
			}
		}()
		if code := from.code(); code != frame.PolicyViolation {
			t.Errorf("a slow %s is told %d", slow, code)
		}
		close(stop)
		<-done
		if code := to.code(); code != told && code != 0 {
			t.Errorf("the other end of a slow %s is told %d", slow, code)
		}
	}
	g.drained()
}

func TestCloseThatIsNeverAnswered(t *testing.T) {
	t.Parallel()
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) { c.Options.Channels.CloseTimeout = 200 * time.Millisecond }), entry("a", n.address, "up"))
	client, server := g.pair(n, "1")
	client.send(0x88, closing(1000))
	server.wants(0x88, closing(1000))
	if code := client.code(); code != frame.ServiceRestart && code != 0 {
		t.Errorf("the client is told %d", code)
	}
	server.ended()
	g.drained()
	// The same where the server closes first.
	client, server = g.pair(n, "2")
	server.send(0x88, "")
	client.wants(0x88, "")
	client.ended()
	server.code()
	g.drained()
}

func TestEndThatTakesNothingBoundsItsSender(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.WriteTimeout, o.PingEvery, o.PongTimeout = 800*time.Millisecond, 100*time.Millisecond, 400*time.Millisecond
	}), entry("a", n.address, "up"))
	client, _ := g.pair(n, "1") // the server's end is never read
	sent := 0
	one := client.bytes(0x82, strings.Repeat("x", 60_000))
	for {
		m, err := client.Write(one)
		if sent += m; err != nil {
			break
		}
	}
	// The kernel's buffers on the way, and one of ours, hold what a sender got rid of.
	if sent > 8<<20 {
		t.Errorf("%d bytes were taken for an end that reads nothing", sent)
	}
	g.drained()
}

func TestSlowReaderThatMovesIsKept(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.WriteTimeout, o.PingEvery, o.PongTimeout = time.Second, 100*time.Millisecond, 300*time.Millisecond
		o.FrameGrace = 300 * time.Millisecond
	}), entry("a", n.address, "up"))
	client, server := g.pair(n, "1")
	const total = 1 << 20
	go func() {
		one := client.bytes(0x82, strings.Repeat("x", 60_000))
		for sent := 0; sent < total; sent += len(one) {
			client.Write(one)
		}
		client.send(0x88, closing(1000))
	}()
	// The server's end takes 60 kB, rests, and so on; it answers pings as it comes to them.
	server.r = bufio.NewReaderSize(server.Conn, 1<<10)
	for got := 0; ; {
		f, p := server.frame()
		switch f {
		case 0x89:
			server.send(0x8a, p)
			continue
		case 0x88:
			if got < total {
				t.Errorf("%d of %d bytes came, and a Close", got, total)
			}
			return
		case eof:
			t.Fatalf("%d of %d bytes came", got, total)
		}
		got += len(p)
		time.Sleep(100 * time.Millisecond)
	}
}

// TestSlowReadersDoNotHoldAllBuffers has more readers stand still than there are buffers, each with more waiting for it
// than the kernel holds. Other channels go on as ever, and nothing of what waits is lost.
func TestSlowReadersDoNotHoldAllBuffers(t *testing.T) {
	const buffers, slow, messages, size = 8, 24, 50, 20_000
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.Memory = buffers * 32 << 10
		o.WriteTimeout, o.PingEvery = patient, time.Hour
	}), entry("a", n.address, "up"))
	quick, server := g.pair(n, "quick")
	var readers []*wsConn
	var senders sync.WaitGroup
	var standing atomic.Int64
	defer senders.Wait()
	for i := range slow {
		reader, sender := g.pair(n, fmt.Sprint("slow", i))
		reader.Conn.(*net.TCPConn).SetReadBuffer(32 << 10)
		sender.Conn.(*net.TCPConn).SetWriteBuffer(32 << 10)
		readers = append(readers, reader)
		senders.Go(func() {
			one := sender.bytes(0x82, strings.Repeat("x", size))
			for k := range messages {
				if k == messages/2 {
					standing.Add(1)
				}
				sender.Write(one)
			}
			sender.send(0x88, closing(1000))
		})
	}
	trip := func(i int) {
		text := fmt.Sprint("trip ", i)
		quick.send(0x81, text)
		server.wants(0x81, text)
		server.send(0x81, text)
		quick.wants(0x81, text)
	}
	for i := range 300 { // while the others come to a stand, and stand
		trip(i)
		time.Sleep(time.Millisecond)
	}
	if standing.Load() == slow {
		t.Fatal("what waits for the readers stands in the kernel; send more")
	}
	var done sync.WaitGroup
	for _, r := range readers {
		done.Go(func() {
			got := 0
			for {
				f, p := r.frame()
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
	for i := range 100 { // while all of it moves
		trip(i)
	}
	done.Wait()
}

func TestGiBAnnounced(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(nil), entry("a", n.address, "up"))
	client, server := g.pair(n, "1")
	client.raw("\x82\xff\x00\x00\x00\x00\x40\x00\x00\x00")
	if code := client.code(); code != frame.MessageTooBig {
		t.Errorf("told %d", code)
	}
	if code := server.code(); code != frame.GoingAway {
		t.Errorf("the server is told %d", code)
	}
	// Fragments add up.
	client, server = g.pair(n, "2")
	var sending sync.WaitGroup
	sending.Go(func() {
		server.send(0x02, strings.Repeat("x", 60_000))
		for range 20 {
			server.send(0x00, strings.Repeat("x", 60_000))
		}
	})
	if code := client.code(); code != frame.InternalError {
		t.Errorf("the client is told %d", code)
	}
	sending.Wait()
	if code := server.code(); code != frame.MessageTooBig {
		t.Errorf("told %d", code)
	}
}

func TestHalfOpenPeerIsFound(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.PingEvery, o.PongTimeout, o.WriteTimeout = 100*time.Millisecond, 300*time.Millisecond, time.Second
	}), entry("a", n.address, "up"))
	client, server := g.pair(n, "1")
	go func() { // this end answers pings, the client's says nothing more
		for {
			f, p := server.frame()
			if f == eof || f == 0x88 {
				return
			}
			if f == 0x89 {
				server.send(0x8a, p)
			}
		}
	}()
	f, p := client.frame()
	if f != 0x89 || len(p) != 8 {
		t.Fatalf("frame %#x %q, want a ping", f, p)
	}
	g.drained()
}

func TestOwnPongsGoNoFurther(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) { c.Options.Channels.PingEvery = 100 * time.Millisecond }), entry("a", n.address, "up"))
	client, server := g.pair(n, "1")
	_, p := client.frame()
	client.send(0x8a, p)
	client.send(0x81, "x")
	for {
		f, p := server.frame()
		if f == 0x89 {
			server.send(0x8a, p)
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
	n := newWSNode(t, nil)
	g := newRegistry(t)
	c := rigConfig(g.address, []byte(list(1, true, entry("a", n.address, "up"))))
	withChannels(func(c *Config) { c.Options.Channels.RestartWindow = time.Second })(&c)
	p, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Serve(ctx) }()
	confirmed(t, p)
	r := &rig{t, p, g, p.Addr().String()}
	var ends sync.WaitGroup
	for i := range 50 {
		client, server := r.pair(n, fmt.Sprint(i))
		ends.Go(func() {
			if _, code := client.takes(); code != frame.GoingAway {
				t.Errorf("told %d", code)
			}
		})
		ends.Go(func() {
			if _, code := server.takes(); code != frame.GoingAway {
				t.Errorf("the server is told %d", code)
			}
		})
	}
	stop()
	ends.Wait()
	if err := await(t, "the proxy's end", done); err != nil {
		t.Error(err)
	}
}

func TestTurnedAwayClientsComeBackWithTheirTicket(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) { c.Options.Channels.Rate = 4 }), entry("a", n.address, "up"))
	g.pair(n, "1")
	_, resp := g.open("2")
	wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if resp.StatusCode != 503 || err != nil || wait <= 0 || resp.Header.Get(ticket.Field) == "" {
		t.Fatalf("answered %d, %v", resp.StatusCode, resp.Header)
	}
	if c := resp.Cookies(); len(c) != 1 || c[0].Value != resp.Header.Get(ticket.Field) {
		t.Errorf("cookies %v", c)
	}
	time.Sleep(wait)
	if _, again := g.open("3", "Cookie: "+ticket.Cookie+"="+resp.Header.Get(ticket.Field)+"\r\n"); again.StatusCode != 101 {
		t.Errorf("answered %d when it came as told", again.StatusCode)
	}
	// Another's ticket, or a made up one, is none.
	if _, forged := g.open("4", ticket.Field+": "+strings.Repeat("A", 48)+"\r\n"); forged.StatusCode != 503 {
		t.Errorf("answered %d to a forged ticket", forged.StatusCode)
	}
	await(t, "the first", n.heads)
	await(t, "the second", n.heads)
	if len(n.heads) != 0 {
		t.Error("who was refused reached the server")
	}
}

// TestQuietChannelsNeitherShunNorLoad: a server that holds 300 quiet channels, three times what a balancer's requests may
// hold of it, gets its turns of requests and of new channels.
func TestQuietChannelsNeitherShunNorLoad(t *testing.T) {
	serves := func(r *http.Request) string {
		if r.Header.Get("Upgrade") == "" {
			return whole(r.Header.Get("X-Txn"))
		}
		return accept(r)
	}
	a, b := newWSNode(t, serves), newWSNode(t, serves)
	g := newRig(t, withChannels(nil), entry("a", a.address, "up"))
	for i := range 300 {
		g.pair(a, fmt.Sprint(i))
	}
	g.registry.lists <- list(2, false, entry("b", b.address, "up"))
	await(t, "the watch that follows", g.registry.calls)
	await(t, "the watch that follows", g.registry.calls)
	for range 300 {
		<-a.heads
	}
	time.Sleep(3 * time.Second) // the handshakes were work, which the balancer remembers for 0.7 s; the channels are none
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
		if _, resp := g.open(fmt.Sprint("channel", i)); resp.StatusCode != 101 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	if n := len(a.heads) - before; n < 40 || n > 60 {
		t.Errorf("%d of 100 channels went there", n)
	}
}

// TestEndsThatRestAreHeard: quiet ends are waited for in another way, and all that may come next still does.
func TestEndsThatRestAreHeard(t *testing.T) {
	t.Parallel()
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) {
		o := &c.Options.Channels
		o.FrameGrace, o.MoveWindow = 500*time.Millisecond, 100*time.Millisecond
	}), entry("a", n.address, "up"))
	rest := func(ends int) {
		t.Helper()
		for end := time.Now().Add(patient); g.channels.Parked() != ends; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d ends rest, want %d", g.channels.Parked(), ends)
			}
		}
	}
	type pair struct{ client, server *wsConn }
	var all []pair
	for i := range 6 {
		client, server := g.pair(n, fmt.Sprint(i))
		all = append(all, pair{client, server})
	}
	rest(12)
	for range 2 { // they carry again, and rest again
		for _, p := range all {
			p.client.send(0x81, strings.Repeat("x", 70_000))
			p.server.wants(0x81, strings.Repeat("x", 70_000))
			p.server.send(0x81, "hold ready")
			p.client.wants(0x81, "hold ready")
		}
		rest(12)
	}
	// Each of the ways in which a channel ends.
	all[0].client.send(0x88, closing(1000))
	all[0].server.wants(0x88, closing(1000))
	all[0].server.send(0x88, closing(1000))
	all[0].client.wants(0x88, closing(1000))
	all[1].server.Close()
	if code := all[1].client.code(); code != frame.ServiceRestart {
		t.Errorf("told %d", code)
	}
	all[2].client.Close()
	if code := all[2].server.code(); code != frame.GoingAway {
		t.Errorf("told %d", code)
	}
	all[3].client.raw("\xff\xff")
	if code := all[3].client.code(); code != frame.ProtocolError {
		t.Errorf("told %d", code)
	}
	g.host.SetBanned("a", true)
	for _, p := range all[4:] {
		if code := p.client.code(); code != frame.ServiceRestart {
			t.Errorf("told %d", code)
		}
	}
	all[4].client.send(0x88, closing(1012)) // the other one never answers
	if code := all[4].server.code(); code != frame.GoingAway {
		t.Errorf("told %d", code)
	}
	all[5].client.ended()
	g.drained()
}

func TestServerTakenOutByHandLosesItsChannels(t *testing.T) {
	t.Parallel()
	a, b := newWSNode(t, nil), newWSNode(t, nil)
	g := newRig(t, withChannels(func(c *Config) { c.Options.Channels.MoveWindow = 200 * time.Millisecond }),
		entry("a", a.address, "up"), entry("b", b.address, "up"))
	var ends sync.WaitGroup
	told := 0
	var mu sync.Mutex
	for i := range 20 {
		client, _ := g.open(fmt.Sprint(i))
		ends.Go(func() {
			if _, code := client.takes(); code == frame.ServiceRestart {
				mu.Lock()
				told++
				mu.Unlock()
			}
		})
	}
	on := len(a.heads) // which has come before its answer
	if !g.host.SetBanned("a", true) {
		t.Fatal("not known")
	}
	g.holds(20 - on)
	if _, resp := g.open("new"); resp.StatusCode != 101 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if len(a.heads) != on {
		t.Error("a channel was opened at a server that was taken out")
	}
	b.die()
	ends.Wait()
	if told != 20 {
		t.Errorf("%d of 20 clients were told to come again", told)
	}
}

// figure is a line of the figures that has to come, and the one that may stand in its place until then; "" for one that has to be there at
// once.
type figure struct{ line, earlier string }

// comesTo fails the test unless all figures come to their lines, and show nothing but the earlier ones until then. The program counts behind
// the write that a figure tells of, so that the other end may have heard of that first.
func (g *rig) comesTo(figures ...figure) {
	g.t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		text := string(desk{g.Proxy}.Figures(nil))
		late := ""
		for _, f := range figures {
			switch {
			case strings.Contains(text, f.line):
			case f.earlier == "" || !strings.Contains(text, f.earlier) || time.Now().After(end):
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

// TestFiguresOfChannels guards the figures of a channel: each comes to its one value, and what was carried stays counted behind the end.
func TestFiguresOfChannels(t *testing.T) {
	n := newWSNode(t, nil)
	g := newRig(t, withChannels(nil), entry("node-1", n.address, "up"))
	client, server := g.pair(n, "1")
	client.send(0x81, "hello")
	server.wants(0x81, "hello")
	server.send(0x81, "hold ready")
	client.wants(0x81, "hold ready")
	const toServers, toClients = "edge_relay.channels.bytes_to_servers:11|c\n", "edge_relay.channels.bytes_to_clients:12|c\n"
	g.comesTo(
		figure{line: "edge_relay.channels.open:1|g\n"}, figure{line: "edge_relay.channels.open.node-1:1|g\n"},
		figure{line: "edge_relay.channels.opened:1|c\n"}, figure{line: "edge_relay.channels.refused:0|c\n"},
		figure{line: "edge_relay.channels.moved:0|c\n"},
		figure{line: "edge_relay.ok.search:1|c\n", earlier: "edge_relay.ok.search:0|c\n"},
		figure{line: "edge_relay.active:0|g\n", earlier: "edge_relay.active:1|g\n"},
		figure{line: toServers, earlier: "edge_relay.channels.bytes_to_servers:0|c\n"},
		figure{line: toClients, earlier: "edge_relay.channels.bytes_to_clients:0|c\n"},
	)
	client.send(0x88, closing(1000))
	server.wants(0x88, closing(1000))
	server.send(0x88, closing(1000))
	client.wants(0x88, closing(1000))
	g.comesTo(
		figure{line: "edge_relay.channels.open:0|g\n", earlier: "edge_relay.channels.open:1|g\n"},
		figure{line: toServers}, figure{line: toClients},
	)
	if text := string(desk{newRig(t, nil).Proxy}.Figures(nil)); strings.Contains(text, "channels") {
		t.Error("figures of channels where there are none")
	}
}

func TestUpgradesAreOrdinaryRequestsWhereThereAreNoChannels(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", whole)
	g := newRig(t, nil, entry("a", b.address, "up"))
	if status, text := g.dial().send(shake("1")).answer(); status != 200 || text != "1" {
		t.Errorf("answered %d %q", status, text)
	}
}

func TestChannelsThatDoNotFitTheLimits(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Sockets = 300 },
		func(c *Config) { c.Memory = 32 << 20 },
		func(c *Config) { c.Options.Channels.KeyFile = "/nowhere/key" },
	} {
		c := rigConfig("127.0.0.1:1", nil)
		withChannels(change)(&c)
		if p, err := New(c); err == nil {
			p.Close()
			t.Error("started")
		} else if !strings.Contains(err.Error(), "channels: ") {
			t.Error(err)
		}
	}
}
