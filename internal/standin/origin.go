package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Origins tell backends when what a relay passes on to them came to the relay. A sender is judged by that: what the relay takes, be it held up or
// told to be slow, is no doing of the sender's.
type Origins struct {
	mu   sync.Mutex
	open map[string]*Origin // by the address from which the relay calls the backend
}

// Origin is the sender's connection to a relay. It notes when each of its bytes came.
type Origin struct {
	*timedConn
	end func()

	mu     sync.Mutex
	read   int64
	pieces []piece // that no backend has asked for, in order
}

// piece is what one read has brought.
type piece struct {
	end  int64 // how many bytes had been read by then
	came time.Time
}

// Open takes in a sender's connection whose bytes go on from an address. It is called before any does, and the connection is read by what is
// returned.
func (o *Origins) Open(conn *net.TCPConn, onward net.Addr) (*Origin, error) {
	timed, err := newTimedConn(conn)
	if err != nil {
		return nil, err
	}
	from := onward.String()
	origin := &Origin{timedConn: timed, end: func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, from)
	}}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = map[string]*Origin{}
	}
	o.open[from] = origin
	return origin, nil
}

// of is the connection whose bytes a backend gets from an address; nil where no relay stands between.
func (o *Origins) of(from net.Addr) *Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open[from.String()]
}

// Read reads, and notes when the last of the bytes had come.
func (o *Origin) Read(b []byte) (int, error) {
	n, err := o.timedConn.Read(b)
	if n > 0 {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.read += int64(n)
		o.pieces = append(o.pieces, piece{o.read, o.received})
	}
	return n, err
}

// WriteTo passes what Read reads on, in place of the TCP connection's own way, which reads past it.
func (o *Origin) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{o}) }

// End forgets the connection, once nothing more of it goes on.
func (o *Origin) End() { o.end() }

// came is when so many bytes had come. Pieces that lie before are forgotten.
func (o *Origin) came(bytes int64) (at time.Time, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.pieces) > 0 && o.pieces[0].end < bytes {
		o.pieces = o.pieces[1:]
	}
	if len(o.pieces) == 0 {
		return time.Time{}, false
	}
	return o.pieces[0].came, true
}
