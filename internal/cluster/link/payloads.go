package link

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"brasswell/internal/cluster/codec"
)

const (
	// maxPayloadStreams bounds the concurrent streams for payloads that are too long for a datagram. With a round trip of 150 ms between
	// regions a stream lasts more than 300 ms (connect, write, close), so 1,400 members that all need one, as after a cold start of a
	// fleet, take about 2 s. Each stream holds one file descriptor.
	maxPayloadStreams = 256
	// maxQueuedPayloads bounds the payloads that wait for a stream: one for each member that a view holds by default.
	maxQueuedPayloads = 4096
	// maxQueuedPayloadBytes is about 1,400 times 40 KB, the documents of a large fleet; payloads beyond it are dropped, and their
	// senders send them again.
	maxQueuedPayloadBytes = 64 << 20
)

// payloadKey identifies payloads of which a newer one replaces an older one that is still queued.
type payloadKey struct {
	to    netip.AddrPort
	topic string
}

// queuedPayload is a frame that waits for a stream.
type queuedPayload struct {
	key  payloadKey
	text []byte
}

// payloadQueue holds the payloads that wait for a stream, the oldest first. It is safe for concurrent use.
type payloadQueue struct {
	mu      sync.Mutex
	waiting []*queuedPayload
	byTopic map[payloadKey]*queuedPayload // the elements of waiting that have a topic
	bytes   int                           // total size of waiting
	streams int                           // running streams
	closed  bool
}

// push appends a payload to the queue, or replaces a queued one with the same key, and reports whether it did. It calls start if another
// stream should begin; never after close.
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

// pop removes the oldest payload. If there is none, it returns nil and the calling stream has to end.
func (q *payloadQueue) pop() *queuedPayload {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.waiting = nil // release the array
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

// close makes the queue reject further payloads, and returns how many queued ones are lost.
func (q *payloadQueue) close() (lost int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lost = len(q.waiting)
	q.closed, q.waiting, q.byTopic, q.bytes = true, nil, nil, 0
	return lost
}

// SendPayload sends a payload to an address: as a datagram if it fits, over a stream otherwise. It does not block, and the payload may
// be lost.
func (l *Link) SendPayload(to string, body []byte) { l.SendLatestPayload(to, "", body) }

// SendLatestPayload is like SendPayload for a payload that supersedes older ones of its topic to the same address: it replaces one that
// still waits for a stream. Payloads with topic "" replace no others.
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

// sendPayloads sends queued payloads one after another until none is left.
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
