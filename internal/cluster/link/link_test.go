package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/internal/cluster/codec"
	"brasswell/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a Handler that records received data.
type recorder struct {
	received chan *view.Message
	payloads chan []byte
	table    []view.Record
	hold     chan struct{} // if set, exchanges wait until it is closed
}

func (e *recorder) Datagram(_ string, m *view.Message) { e.received <- m }

func (e *recorder) Payload(body []byte) { e.payloads <- body }

func (e *recorder) Exchange(ctx context.Context, _ string, table []view.Record) ([]view.Record, error) {
	if e.hold != nil {
		select {
		case <-e.hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return append(e.table, table...), nil
}

func listen(t *testing.T, networks string) (*Link, *recorder) {
	t.Helper()
	return listenOn(t, networks, nil)
}

func listenOn(t *testing.T, networks string, path Path) (*Link, *recorder) {
	t.Helper()
	e := &recorder{received: make(chan *view.Message, 10_000), payloads: make(chan []byte, 100), table: []view.Record{record("held")}}
	l, err := Listen(Config{Fleet: "shelf", Listen: "127.0.0.1:0", Networks: []netip.Prefix{netip.MustParsePrefix(networks)}, Path: path}, e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, e
}

func record(name string) view.Record {
	return view.Record{Name: name, InstanceID: 1, Incarnation: 1, State: view.Alive, Address: "127.0.0.1:9"}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting until %s", what)
		}
	}
}

func TestDatagramsAndTablesPass(t *testing.T) {
	a, _ := listen(t, "127.0.0.0/8")
	b, ear := listen(t, "127.0.0.0/8")
	a.Send(b.Addr(), &view.Message{Kind: view.Ping, Seq: 5, From: record("a")})
	if m := <-ear.received; m.Seq != 5 || m.From.Name != "a" {
		t.Errorf("%+v", m)
	}
	got, err := a.Exchange(t.Context(), b.Addr(), []view.Record{record("mine")})
	if err != nil || len(got) != 2 || got[1].Name != "mine" {
		t.Errorf("%+v, %v", got, err)
	}
	a.Send("10.9.9.9:7946", &view.Message{Kind: view.Ping, From: record("a")})
	a.Send("nowhere", &view.Message{Kind: view.Ping, From: record("a")})
	if _, err := a.Exchange(t.Context(), "10.9.9.9:7946", nil); err == nil {
		t.Error("no error for an exchange with a network that is not listed")
	}
	if c := a.Counts(); c.Sent != 1 || c.Unsent != 2 || c.Exchanges != 1 {
		t.Errorf("%+v", c)
	}
}

// TestInvalidAndForeignDataIsDropped: each kind of dropped data has its own count, and none of it reaches the handler.
func TestInvalidAndForeignDataIsDropped(t *testing.T) {
	l, ear := listen(t, "127.0.0.0/8")
	conn, err := net.Dial("udp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	own, _ := codec.New("shelf").EncodeMessage(&view.Message{Kind: view.Ping, From: record("a")})
	other, _ := codec.New("other").EncodeMessage(&view.Message{Kind: view.Ping, From: record("a")})
	future := append([]byte(nil), own...)
	future[3] = 99
	for _, b := range [][]byte{other, future, own[:len(own)-2], []byte("hello"), make([]byte, 4000), {}} {
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "all datagrams are counted", func() bool {
		c := l.Counts()
		return c.Foreign == 1 && c.Version == 1 && c.Garbage == 4
	})
	if len(ear.received) > 0 {
		t.Errorf("%+v reached the handler", <-ear.received)
	}
	strict, ear := listen(t, "10.0.0.0/8")
	there, err := net.Dial("udp4", strict.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	there.Write(own)
	waitFor(t, "the datagram from the other network is counted", func() bool { return strict.Counts().Foreign == 1 })
	if stream, err := net.Dial("tcp4", strict.Addr()); err == nil {
		defer stream.Close()
		if _, err := stream.Read(make([]byte, 1)); err == nil {
			t.Error("a stream from a network that is not listed was answered")
		}
	}
	if len(ear.received) > 0 {
		t.Error("a datagram from a network that is not listed reached the handler")
	}
}

// TestFloodsAreBounded: the rate of datagrams is limited for each source, and the number of tracked sources is bounded.
func TestFloodsAreBounded(t *testing.T) {
	var s sources
	now := time.Now()
	one := netip.MustParseAddr("127.0.0.1")
	allowed := 0
	for range 10 * burstPerSource {
		if s.allow(one, now) {
			allowed++
		}
	}
	if allowed != burstPerSource || !s.allow(netip.MustParseAddr("127.0.0.2"), now) {
		t.Errorf("%d datagrams of one source were allowed at one time", allowed)
	}
	for i := range 10 * maxSources {
		s.allow(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), now)
	}
	if n := len(s.current) + len(s.previous); n > maxSources {
		t.Errorf("%d sources are tracked", n)
	}
}

// TestStreamsAreBounded: streams beyond the bound are closed at once, and streams without data end after a timeout.
func TestStreamsAreBounded(t *testing.T) {
	l, ear := listen(t, "127.0.0.0/8")
	ear.hold = make(chan struct{})
	type result struct {
		n   int
		err error
	}
	results := make(chan result, 3*maxStreams)
	for range 3 * maxStreams {
		go func() {
			got, err := l.Exchange(context.Background(), l.Addr(), nil)
			results <- result{len(got), err}
		}()
	}
	waitFor(t, "streams beyond the bound are closed", func() bool { return l.Counts().Flood >= maxStreams })
	close(ear.hold)
	whole := 0
	for range 3 * maxStreams {
		if r := <-results; r.err == nil && r.n == 1 {
			whole++
		}
	}
	if whole < maxStreams {
		t.Errorf("%d exchanges were answered, want at least %d", whole, maxStreams)
	}
	silent, err := net.Dial("tcp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("a stream without data was answered")
	}
}

func TestListenSaysWhatIsWrong(t *testing.T) {
	l, _ := listen(t, "127.0.0.0/8")
	for _, at := range []string{l.Addr(), "nowhere", "127.0.0.1"} {
		if other, err := Listen(Config{Fleet: "shelf", Listen: at}, &recorder{}); err == nil {
			other.Close()
			t.Errorf("Listen succeeded on %s", at)
		} else if fmt.Sprint(err) == "" {
			t.Error("the error has no text")
		}
	}
}

// TestPayloads: short payloads are sent as datagrams and long ones over streams, and arrive complete; a corrupt one is not decoded.
func TestPayloads(t *testing.T) {
	e := &recorder{payloads: make(chan []byte, 10)}
	listen := func(h Handler) *Link {
		l, err := Listen(Config{Fleet: "shelf", Listen: "127.0.0.1:0", Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}}, h)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		return l
	}
	to, from := listen(e), listen(&recorder{})
	for _, n := range []int{0, 1, 1100, 1200, 300_000} {
		sent := bytes.Repeat([]byte{7}, n)
		from.SendPayload(to.Addr(), sent)
		if got := <-e.payloads; !bytes.Equal(got, sent) {
			t.Errorf("received %d bytes of %d", len(got), n)
		}
	}
	from.SendPayload("192.0.2.1:7", []byte("to a network that is not listed"))
	if n := from.Counts().Unsent; n != 1 {
		t.Errorf("%d unsent", n)
	}
	text, err := codec.New("shelf").EncodePayload([]byte("bent"))
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)-1] ^= 1
	if _, err := codec.New("shelf").DecodePayload(text); !errors.Is(err, codec.ErrCorrupt) {
		t.Errorf("a corrupt payload: %v", err)
	}
	if _, err := codec.New("another").DecodePayload(text); !errors.Is(err, codec.ErrOtherFleet) {
		t.Errorf("a payload of another fleet: %v", err)
	}
}
