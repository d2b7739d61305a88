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

func knowledge() *State {
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

func TestMessagesGoThroughWhole(t *testing.T) {
	for _, m := range []Message{
		{Kind: Hello}, {Kind: Ready, Number: 7}, {Kind: Ban, Number: 1 << 40, Server: "s/1 é", Banned: true},
		{Kind: Done, Number: 3, Known: true}, {Kind: StateReply, State: knowledge()},
	} {
		var b bytes.Buffer
		if err := Write(&b, m); err != nil {
			t.Fatal(err)
		}
		m.Version = version
		got, err := Read(&b)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v came as %+v, %v", m, got, err)
		}
	}
}

// TestDamagedMessagesAreToldFromSound flips each bit of a message, and cuts it at each place.
func TestDamagedMessagesAreToldFromSound(t *testing.T) {
	var b bytes.Buffer
	if err := Write(&b, Message{Kind: StateReply, State: knowledge()}); err != nil {
		t.Fatal(err)
	}
	sound := b.Bytes()
	for i := range sound {
		if _, err := Read(bytes.NewReader(sound[:i])); err == nil {
			t.Fatalf("cut after %d of %d bytes: taken", i, len(sound))
		}
		for bit := range 8 {
			damaged := bytes.Clone(sound)
			damaged[i] ^= 1 << bit
			if _, err := Read(bytes.NewReader(damaged)); err == nil {
				t.Fatalf("byte %d, bit %d flipped: taken", i, bit)
			}
		}
	}
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	Write(&b, Message{Kind: StateReply, State: knowledge()})
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Read(bytes.NewReader(text))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := Write(&again, m); err != nil {
			t.Fatalf("%+v was read and cannot be written: %v", m, err)
		}
	})
}

// elder plays the running process at a socket: it answers the first connection with what reply writes.
func elder(t *testing.T, dir string, reply func(net.Conn)) {
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

// TestAnyTroubleIsAPlainStart meets running processes that are dead, silent, broken, of another version, or say
// something else. Each must end as a start with nothing taken over, and within the time for it.
func TestAnyTroubleIsAPlainStart(t *testing.T) {
	other := func(kind Kind, version int) func(net.Conn) {
		return func(c net.Conn) {
			var b bytes.Buffer
			Write(&b, Message{Kind: kind, State: knowledge()})
			if version != 1 {
				// The version is the first field: key 1, and a small number as itself.
				text := b.Bytes()[sealed.HeaderBytes:]
				at := bytes.Index(text, []byte{1, 1})
				text[at+1] = byte(version)
				b2 := frame(text)
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
			Write(&b, Message{Kind: StateReply, State: knowledge()})
			c.Write(b.Bytes()[:b.Len()/2])
		},
		"a wrong checksum": func(c net.Conn) {
			var b bytes.Buffer
			Write(&b, Message{Kind: StateReply, State: knowledge()})
			b.Bytes()[5] ^= 1
			c.Write(b.Bytes())
		},
		"endless":          func(c net.Conn) { c.Write([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0}); io.Copy(io.Discard, c) },
		"something else":   other(Ready, 1),
		"an older version": other(StateReply, 0),
		"a newer version":  other(StateReply, 2),
		"no such language": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			elder(t, dir, reply)
			peer, k, err := Connect(dir, "n1")
			if peer != nil || k != nil {
				peer.Close()
				t.Fatal("taken over")
			}
			if err == nil {
				t.Error("nothing to log")
			}
		})
	}
}

func frame(text []byte) []byte {
	b := make([]byte, sealed.HeaderBytes, sealed.HeaderBytes+len(text))
	binary.BigEndian.PutUint32(b, uint32(len(text)))
	binary.BigEndian.PutUint32(b[4:], crc(text))
	return append(b, text...)
}

func TestNobodyThereIsNoTrouble(t *testing.T) {
	dir := t.TempDir()
	if peer, _, err := Connect(dir, "n1"); peer != nil || err != nil {
		t.Errorf("%v, %v", peer, err)
	}
	l, err := Listen(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	l.Close() // the socket's file stays, as after a kill
	if _, err := os.Stat(filepath.Join(dir, "brasswell-n1.sock")); err != nil {
		t.Fatal(err)
	}
	if peer, _, err := Connect(dir, "n1"); peer != nil || err != nil {
		t.Errorf("at a socket left behind: %v, %v", peer, err)
	}
	if l, err = Listen(dir, "n1"); err != nil {
		t.Fatalf("at a socket left behind: %v", err)
	}
	l.Close()
}

// TestTheLatestIsMet has a second process take the place of the first.
func TestTheLatestIsMet(t *testing.T) {
	dir := t.TempDir()
	first, err := Listen(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second := knowledge()
	second.Seq = 99
	elder(t, dir, func(c net.Conn) {
		Read(c)
		Write(c, Message{Kind: StateReply, State: second})
		io.Copy(io.Discard, c)
	})
	peer, k, err := Connect(dir, "n1")
	if err != nil || k == nil || k.Seq != 99 {
		t.Fatalf("%+v, %v", k, err)
	}
	peer.Close()
}

func pair(t *testing.T) (*Peer, *Peer) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { a.Close(); b.Close() })
	return NewPeer(a), NewPeer(b)
}

func TestAskIsAnsweredByItsOwnDone(t *testing.T) {
	a, b := pair(t)
	var following sync.WaitGroup
	following.Go(func() { a.Serve(func(Message) {}) })
	following.Go(func() {
		b.Serve(func(m Message) { b.Send(Message{Kind: Done, Number: m.Number, Known: m.Server == "s1"}) })
	})
	var asking sync.WaitGroup
	for i := range 20 {
		asking.Go(func() {
			server := []string{"s1", "s2"}[i%2]
			d, err := a.Request(context.Background(), Message{Kind: Ban, Server: server})
			if err != nil || d.Known != (server == "s1") {
				t.Errorf("%s: %+v, %v", server, d, err)
			}
		})
	}
	asking.Wait()
	a.Close()
	b.Close()
	following.Wait()
	if len(a.waiting) != 0 {
		t.Errorf("%d are still waited for", len(a.waiting))
	}
	if _, err := a.Request(context.Background(), Message{Kind: Ban}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("asked one that has gone: %v", err)
	}
}

// TestAskEndsWithItsPeer has the other die, and fall silent, while it is asked.
func TestAskEndsWithItsPeer(t *testing.T) {
	a, b := pair(t)
	var following sync.WaitGroup
	following.Go(func() { a.Serve(func(Message) {}) })
	following.Go(func() { b.Serve(func(Message) { b.Close() }) })
	if _, err := a.Request(context.Background(), Message{Kind: Ready}); err == nil {
		t.Error("an answer from the dead")
	}
	following.Wait()

	a, b = pair(t)
	following.Go(func() { a.Serve(func(Message) {}) })
	following.Go(func() { b.Serve(func(Message) {}) })
	if _, err := a.Request(context.Background(), Message{Kind: Ready}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("of a silent one: %v", err)
	}
	a.Close()
	b.Close()
	following.Wait()
}

func crc(text []byte) uint32 { return crc32.Checksum(text, crc32.MakeTable(crc32.Castagnoli)) }
