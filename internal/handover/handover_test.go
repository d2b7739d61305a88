package handover

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/balance"
	"brasswell/internal/cluster/lists"
	"brasswell/internal/sealed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testState() *State {
	return &State{
		Balancer: balance.Snapshot{
			Servers: []balance.ServerSnapshot{{Entry: balance.Entry{ID: "s1", Zone: 1, Boot: time.Hour}, Slow: 0.25, Ejections: 2}},
			Slots:   []string{"s1"}, Banned: []string{"s1", "s9"}, Seen: []string{"s1", "s9"}, Limit: 40, Quota: []float64{1.5},
			Classes: []balance.ClassSnapshot{{Cost: 0.01, TailSeen: 12, Patience: time.Second, Votes: 3}},
		},
		Addresses: map[string]string{"s1": "127.0.0.1:7070"}, Seq: 41, OpenIDs: []string{"a", "b"}, CallerConns: 12,
		LongestDeadline: 2 * time.Second, LatencyP95: 80 * time.Millisecond,
		Lists: lists.Snapshot{Held: []string{"s1"}, LetGo: []time.Duration{time.Second}},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range []Message{
		{Kind: Hello}, {Kind: Ready, Number: 7}, {Kind: Ban, Number: 1 << 40, Server: "s/1 é", Banned: true},
		{Kind: Done, Number: 3, Known: true}, {Kind: StateReply, State: testState()},
	} {
		var b bytes.Buffer
		if err := Write(&b, m); err != nil {
			t.Fatal(err)
		}
		m.Version = version
		got, err := Read(&b)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v was read as %+v, %v", m, got, err)
		}
	}
}

// TestDamagedMessagesAreRejected flips each bit of a message, and truncates it at each position.
func TestDamagedMessagesAreRejected(t *testing.T) {
	var b bytes.Buffer
	if err := Write(&b, Message{Kind: StateReply, State: testState()}); err != nil {
		t.Fatal(err)
	}
	valid := b.Bytes()
	for i := range valid {
		if _, err := Read(bytes.NewReader(valid[:i])); err == nil {
			t.Fatalf("truncated after %d of %d bytes: accepted", i, len(valid))
		}
		for bit := range 8 {
			damaged := bytes.Clone(valid)
			damaged[i] ^= 1 << bit
			if _, err := Read(bytes.NewReader(damaged)); err == nil {
				t.Fatalf("byte %d, bit %d flipped: accepted", i, bit)
			}
		}
	}
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	Write(&b, Message{Kind: StateReply, State: testState()})
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, payload []byte) {
		m, err := Read(bytes.NewReader(payload))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := Write(&again, m); err != nil {
			t.Fatalf("%+v was read and cannot be written: %v", m, err)
		}
	})
}

// serveAsOldProcess acts as the running process at a socket: it handles the first connection with reply.
func serveAsOldProcess(t *testing.T, dir string, reply func(net.Conn)) {
	t.Helper()
	l, err := Listen(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		reply(c)
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
}

// TestAnyFailureMeansAFreshStart connects to running processes that have ended, don't respond, send damaged messages, have
// another version, or send something else. Each time, Connect must return no state, and an error, within its timeout.
func TestAnyFailureMeansAFreshStart(t *testing.T) {
	respondWith := func(kind Kind, version int) func(net.Conn) {
		return func(c net.Conn) {
			var b bytes.Buffer
			Write(&b, Message{Kind: kind, State: testState()})
			if version != 1 {
				// The version is the first field, encoded as key 1 and a small integer.
				payload := b.Bytes()[sealed.HeaderBytes:]
				at := bytes.Index(payload, []byte{1, 1})
				payload[at+1] = byte(version)
				b2 := frame(payload)
				c.Write(b2)
				return
			}
			c.Write(b.Bytes())
		}
	}
	for name, reply := range map[string]func(net.Conn){
		"closes at once":     func(c net.Conn) {},
		"closes after hello": func(c net.Conn) { Read(c) },
		"silent":             func(c net.Conn) { io.Copy(io.Discard, c) },
		"half a message": func(c net.Conn) {
			var b bytes.Buffer
			Write(&b, Message{Kind: StateReply, State: testState()})
			c.Write(b.Bytes()[:b.Len()/2])
		},
		"a wrong checksum": func(c net.Conn) {
			var b bytes.Buffer
			Write(&b, Message{Kind: StateReply, State: testState()})
			b.Bytes()[5] ^= 1
			c.Write(b.Bytes())
		},
		"endless":          func(c net.Conn) { c.Write([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0}); io.Copy(io.Discard, c) },
		"something else":   respondWith(Ready, 1),
		"an older version": respondWith(StateReply, 0),
		"a newer version":  respondWith(StateReply, 2),
		"not the protocol": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			serveAsOldProcess(t, dir, reply)
			peer, state, err := Connect(dir, "n1")
			if peer != nil || state != nil {
				peer.Close()
				t.Fatal("state was taken over")
			}
			if err == nil {
				t.Error("no error to log")
			}
		})
	}
}

func frame(payload []byte) []byte {
	b := make([]byte, sealed.HeaderBytes, sealed.HeaderBytes+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	binary.BigEndian.PutUint32(b[4:], crc(payload))
	return append(b, payload...)
}

func TestNoRunningProcessIsNoError(t *testing.T) {
	dir := t.TempDir()
	if peer, _, err := Connect(dir, "n1"); peer != nil || err != nil {
		t.Errorf("%v, %v", peer, err)
	}
	l, err := Listen(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	l.Close() // the socket's file remains, as after SIGKILL
	if _, err := os.Stat(filepath.Join(dir, "brasswell-n1.sock")); err != nil {
		t.Fatal(err)
	}
	if peer, _, err := Connect(dir, "n1"); peer != nil || err != nil {
		t.Errorf("at an abandoned socket: %v, %v", peer, err)
	}
	if l, err = Listen(dir, "n1"); err != nil {
		t.Fatalf("at an abandoned socket: %v", err)
	}
	l.Close()
}

// TestConnectReachesTheLatestListener replaces the first process's socket with that of a second one.
func TestConnectReachesTheLatestListener(t *testing.T) {
	dir := t.TempDir()
	first, err := Listen(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second := testState()
	second.Seq = 99
	serveAsOldProcess(t, dir, func(c net.Conn) {
		Read(c)
		Write(c, Message{Kind: StateReply, State: second})
		io.Copy(io.Discard, c)
	})
	peer, state, err := Connect(dir, "n1")
	if err != nil || state == nil || state.Seq != 99 {
		t.Fatalf("%+v, %v", state, err)
	}
	peer.Close()
}

func pair(t *testing.T) (*Peer, *Peer) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { a.Close(); b.Close() })
	return NewPeer(a), NewPeer(b)
}

func TestRequestGetsItsOwnDone(t *testing.T) {
	a, b := pair(t)
	var serving sync.WaitGroup
	serving.Go(func() { a.Serve(func(Message) {}) })
	serving.Go(func() {
		b.Serve(func(m Message) { b.Send(Message{Kind: Done, Number: m.Number, Known: m.Server == "s1"}) })
	})
	var requests sync.WaitGroup
	for i := range 20 {
		requests.Go(func() {
			server := []string{"s1", "s2"}[i%2]
			d, err := a.Request(context.Background(), Message{Kind: Ban, Server: server})
			if err != nil || d.Known != (server == "s1") {
				t.Errorf("%s: %+v, %v", server, d, err)
			}
		})
	}
	requests.Wait()
	a.Close()
	b.Close()
	serving.Wait()
	if len(a.pending) != 0 {
		t.Errorf("%d requests are still pending", len(a.pending))
	}
	if _, err := a.Request(context.Background(), Message{Kind: Ban}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("request to a closed peer: %v", err)
	}
}

// TestRequestEndsWithItsPeer sends requests to a peer that closes its connection, and to one that does not respond.
func TestRequestEndsWithItsPeer(t *testing.T) {
	a, b := pair(t)
	var serving sync.WaitGroup
	serving.Go(func() { a.Serve(func(Message) {}) })
	serving.Go(func() { b.Serve(func(Message) { b.Close() }) })
	if _, err := a.Request(context.Background(), Message{Kind: Ready}); err == nil {
		t.Error("a response from a closed peer")
	}
	serving.Wait()

	a, b = pair(t)
	serving.Go(func() { a.Serve(func(Message) {}) })
	serving.Go(func() { b.Serve(func(Message) {}) })
	if _, err := a.Request(context.Background(), Message{Kind: Ready}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("peer that does not respond: %v", err)
	}
	a.Close()
	b.Close()
	serving.Wait()
}

func crc(payload []byte) uint32 { return crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli)) }

// TestConnectWaitsForARunningProcess guards against a start without the state of a running process that listens for no
// successor at the moment, because the one it had has just ended.
func TestConnectWaitsForARunningProcess(t *testing.T) {
	dir := t.TempDir()
	ended, err := Listen(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	ended.Close()
	presence, err := ShowPresence(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	type result struct {
		state *State
		err   error
	}
	connected := make(chan result, 1)
	connect := func() {
		peer, state, err := Connect(dir, "n1")
		if peer != nil {
			peer.Close()
		}
		connected <- result{state, err}
	}
	go connect()
	time.Sleep(5 * dialInterval) // the other process takes some time
	serveAsOldProcess(t, dir, func(c net.Conn) {
		Read(c)
		Write(c, Message{Kind: StateReply, State: testState()})
	})
	if r := <-connected; r.err != nil || r.state == nil {
		t.Errorf("%+v", r)
	}
	presence.Close()
}

// TestProcessThatNeverListensIsAnError: the log must tell that there is a process whose state was not taken over.
func TestProcessThatNeverListensIsAnError(t *testing.T) {
	dir := t.TempDir()
	presence, err := ShowPresence(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	if peer, _, err := Connect(dir, "n1"); peer != nil || !errors.Is(err, errNotListening) {
		t.Errorf("%v, %v", peer, err)
	}
	presence.Close()
	if peer, _, err := Connect(dir, "n1"); peer != nil || err != nil {
		t.Errorf("after its end: %v, %v", peer, err)
	}
}
