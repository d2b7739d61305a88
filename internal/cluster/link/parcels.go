package link

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"brasswell/internal/cluster/codec"
)

const (
	// maxParcelStreams carry parcels that are too long for a datagram at one time. With a round trip of 150 ms between regions a
	// stream holds its place for more than 300 ms (connect, write, close), so 1,400 members that all need one, as after a cold start
	// of a fleet, take about 2 s. Each holds one descriptor.
	maxPayloadStreams = 256
	// maxQueuedParcels wait for a place: one for each member that a view keeps in mind.
	maxQueuedPayloads = 4096
	// maxQueuedParcelBytes is about 1,400 times 40 KB, the documents of a large fleet; what comes beyond is lost, and sent anew by who
	// sent it.
	maxQueuedPayloadBytes = 64 << 20
)

// parcelKey tells parcels apart of which a newer one takes the place of an older one.
type payloadKey struct {
	to    netip.AddrPort
	topic string
}

// parcel is a frame that waits for its stream.
type queuedPayload struct {
	key  payloadKey
	text []byte
}

// parcelQueue holds what waits for a stream, the oldest first. It is safe for concurrent use.
type payloadQueue struct {
	mu      sync.Mutex
	waiting []*queuedPayload
	byTopic map[payloadKey]*queuedPayload // those of waiting that have a topic
	bytes   int                           // of all that wait
	streams int                           // at work
	closed  bool
}

// push puts a parcel into the line, or in the place of one of its topic that waits, and says whether it has. start is called where
// another stream is to begin; never after close.
func (q *payloadQueue) push(p *queuedPayload, start func()) (queued bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	older := q.byTopic[p.key]
	replaced := 0
	if older != nil {
		replaced = len(older.text)
	}
	if q.closed || q.bytes-replaced+len(p.text) > maxQueuedPayloadBytes {
		return false
	}
	if older != nil {
		older.text = p.text
		q.bytes += len(p.text) - replaced
		return true
	}
	if len(q.waiting) >= maxQueuedPayloads {
		return false
	}
	q.waiting = append(q.waiting, p)
	q.bytes += len(p.text)
	if p.key.topic != "" {
		if q.byTopic == nil {
			q.byTopic = map[payloadKey]*queuedPayload{}
		}
		q.byTopic[p.key] = p
	}
	if q.streams < maxPayloadStreams {
		q.streams++
		start()
	}
	return true
}

// pop takes the oldest parcel out; nil, where none waits, ends the stream that asks.
func (q *payloadQueue) pop() *queuedPayload {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.waiting = nil // its array is let go of
		q.streams--
		return nil
	}
	p := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	q.bytes -= len(p.text)
	if q.byTopic[p.key] == p {
		delete(q.byTopic, p.key)
	}
	return p
}

// close has nothing more taken in, and returns how many parcels are lost by that.
func (q *payloadQueue) close() (lost int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lost = len(q.waiting)
	q.closed, q.waiting, q.byTopic, q.bytes = true, nil, nil, 0
	return lost
}

// Carry sends a parcel to an address: as a datagram if it fits one, by a stream otherwise. It does not block, and the parcel may be
// lost.
func (l *Link) SendPayload(to string, body []byte) { l.SendLatestPayload(to, "", body) }

// CarryLatest does the same for a parcel that makes older ones of its topic to the same address useless: one that still waits for
// its stream is not sent. Topic "" is that of parcels that take no other's place.
func (l *Link) SendLatestPayload(to, topic string, body []byte) {
	at, err := netip.ParseAddrPort(to)
	if err != nil || !l.allowed(at.Addr()) {
		l.counts.unsent.Add(1)
		return
	}
	text, err := l.codec.EncodePayload(body)
	if err != nil {
		l.counts.unsent.Add(1)
		return
	}
	if len(text) <= codec.MaxDatagramBytes {
		l.emit(at, text)
		return
	}
	start := func() { l.running.Go(l.sendPayloads) }
	if !l.payloads.push(&queuedPayload{payloadKey{at, topic}, text}, start) {
		l.counts.unsent.Add(1)
	}
}

// carryParcels carries what waits, one after another, until nothing does.
func (l *Link) sendPayloads() {
	for p := l.payloads.pop(); p != nil; p = l.payloads.pop() {
		if err := l.sendOne(p); err != nil {
			l.counts.unsent.Add(1)
			continue
		}
		l.countSent(len(p.text))
	}
}

func (l *Link) sendOne(p *queuedPayload) error {
	ctx, cancel := context.WithTimeout(l.ctx, streamTimeout)
	defer cancel()
	conn, err := l.dial(ctx, p.key.to)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })()
	return l.writeStream(ctx, conn, p.key.to, p.text)
}
