package link

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// TestManyPayloadsAtOnce: with more receivers than concurrent streams, each receiver gets its payload over a slow network.
func TestManyPayloadsAtOnce(t *testing.T) {
	const (
		receivers = maxPayloadStreams + 64
		oneWay    = 20 * time.Millisecond
		size      = 40_000
	)
	from, _ := listenOn(t, "127.0.0.0/8", &fixedPath{after: oneWay})
	e := &recorder{payloads: make(chan []byte, receivers)}
	var to []string
	for range receivers {
		l, err := Listen(Config{Fleet: "shelf", Listen: "127.0.0.1:0", Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}}, e)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		to = append(to, l.Addr())
	}
	for i, address := range to {
		from.SendLatestPayload(address, "standing", bytes.Repeat([]byte{byte(i)}, size))
	}
	seen := map[byte]int{}
	for range receivers {
		select {
		case body := <-e.payloads:
			if len(body) != size {
				t.Errorf("received %d bytes of %d", len(body), size)
			}
			seen[body[0]]++
		case <-time.After(20 * time.Second):
			t.Fatalf("timeout: received %d different payloads", len(seen))
		}
	}
	waitFor(t, "all payloads are counted as sent", func() bool { return from.Counts().Sent == receivers })
	if n := from.Counts().Unsent; n != 0 || len(seen) != 256 {
		t.Errorf("%d unsent, %d different payloads", n, len(seen))
	}
}

// silentServer accepts connections and never reads from them.
func silentServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
		for _, conn := range conns {
			conn.Close()
		}
	})
	return l.Addr().String()
}

// TestAReceiverThatDoesNotRead: a receiver that does not read occupies a stream only until the timeout and does not delay payloads to
// other receivers.
func TestAReceiverThatDoesNotRead(t *testing.T) {
	silent := silentServer(t)
	from, _ := listen(t, "127.0.0.0/8")
	to, ear := listen(t, "127.0.0.0/8")
	const stuck = 4
	long := make([]byte, 4<<20) // more than the sockets' buffers hold
	for range stuck {
		from.SendPayload(silent, long[:len(long)-1])
	}
	from.SendPayload(to.Addr(), long[:40_000])
	body, givenUp := <-ear.payloads, from.Counts().Unsent
	if len(body) != 40_000 || givenUp > 0 {
		t.Errorf("received %d bytes after %d payloads were dropped", len(body), givenUp)
	}
	waitFor(t, "the stuck payloads are dropped", func() bool { return from.Counts().Unsent == stuck })
}

// TestCloseWithQueuedPayloads: Close ends the streams at once, queued payloads are counted as unsent, and later ones are rejected.
func TestCloseWithQueuedPayloads(t *testing.T) {
	silent := silentServer(t)
	from, _ := listen(t, "127.0.0.0/8")
	const count = maxPayloadStreams + 44
	body := make([]byte, 190_000)
	for range count {
		from.SendPayload(silent, body)
	}
	var senders sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					from.SendLatestPayload(silent, fmt.Sprint(i), body)
				}
			}
		})
	}
	began := time.Now()
	from.Close()
	if took := time.Since(began); took >= streamTimeout {
		t.Errorf("Close took %v, as long as the timeout of streams", took)
	}
	close(stop)
	senders.Wait()
	before := from.Counts().Unsent
	from.SendPayload(silent, body)
	if after := from.Counts().Unsent; after != before+1 {
		t.Errorf("%d unsent before, %d after one more payload", before, after)
	}
}

// TestTheLatestOfATopic: a payload replaces a queued one of its topic and address, and no other.
func TestTheLatestOfATopic(t *testing.T) {
	q := &payloadQueue{streams: maxPayloadStreams}
	never := func() { t.Error("a stream started beyond the bound") }
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	for i, key := range []payloadKey{{at(1), "a"}, {at(1), ""}, {at(2), "a"}, {at(1), "b"}, {at(1), "a"}, {at(1), ""}, {at(1), "a"}} {
		if !q.push(&queuedPayload{key, bytes.Repeat([]byte{byte(i)}, i+1)}, never) {
			t.Errorf("payload %d was rejected", i)
		}
	}
	want := []byte{6, 1, 2, 3, 5}
	if q.bytes != 7+2+3+4+6 || len(q.waiting) != len(want) {
		t.Errorf("%d queued payloads with %d bytes", len(q.waiting), q.bytes)
	}
	for _, n := range want {
		if p := q.pop(); p == nil || p.text[0] != n {
			t.Errorf("got %+v, want %d", p, n)
		}
	}
	if q.pop() != nil || q.bytes != 0 || len(q.byTopic) != 0 || q.streams != maxPayloadStreams-1 {
		t.Errorf("at the end: %d bytes, %d topics, %d streams", q.bytes, len(q.byTopic), q.streams)
	}
	// A payload that is being sent is no longer replaced.
	key := payloadKey{at(1), "a"}
	q.push(&queuedPayload{key, []byte{1}}, func() {})
	first := q.pop()
	q.push(&queuedPayload{key, []byte{2}}, func() {})
	if second := q.pop(); first.text[0] != 1 || second == nil || second.text[0] != 2 {
		t.Errorf("%+v, %+v", first, second)
	}
}

// TestPayloadQueueIsBounded: the queue is bounded by the number of payloads and by their bytes.
func TestPayloadQueueIsBounded(t *testing.T) {
	key := func(i int) payloadKey {
		return payloadKey{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1), "a"}
	}
	q, started := &payloadQueue{}, 0
	for i := range maxQueuedPayloads + 10 {
		if taken := q.push(&queuedPayload{key(i), []byte{1}}, func() { started++ }); taken != (i < maxQueuedPayloads) {
			t.Fatalf("push of payload %d returned %v", i, taken)
		}
	}
	if started != maxPayloadStreams {
		t.Errorf("%d streams", started)
	}
	if lost := q.close(); lost != maxQueuedPayloads || q.push(&queuedPayload{key(0), []byte{1}}, func() { t.Error("a stream started after close") }) {
		t.Errorf("%d lost at close", lost)
	}
	q = &payloadQueue{}
	half := make([]byte, maxQueuedPayloadBytes/2)
	start := func() {}
	if !q.push(&queuedPayload{key(0), half}, start) || !q.push(&queuedPayload{key(1), half}, start) || q.push(&queuedPayload{key(2), []byte{1}}, start) {
		t.Error("wrong bound of queued bytes")
	}
	if !q.push(&queuedPayload{key(1), half[1:]}, start) || !q.push(&queuedPayload{key(2), []byte{1}}, start) || q.push(&queuedPayload{key(1), half}, start) {
		t.Error("wrong count of bytes after a replacement")
	}
}
