// Package slowclients plays HTTP/1.1 clients that make a proxy hold memory for a long time: they write slowly, stop within a
// request, send heads of very many short fields, or read long answers slowly. It also plays sound clients beside them, and
// reports what these were answered.
package slowclients

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Kind is how a slow client behaves.
type Kind string

// The kinds of slow clients.
const (
	Upload        Kind = "upload"         // a long body with a length, sent at slowRate
	ChunkedUpload Kind = "chunked-upload" // a long body in chunks, sent at slowRate
	HalfUpload    Kind = "half-upload"    // half of a long body, and then nothing
	HalfShort     Kind = "half-short"     // a short body without its last bytes
	ManyFields    Kind = "many-fields"    // a head of very many short fields, and no end
	HalfHead      Kind = "half-head"      // a large head within the limits, without its end
	SlowHead      Kind = "slow-head"      // a large head within the limits, of which the end comes late
	LongAnswer    Kind = "long-answer"    // a long answer, read at slowRate
	ShortAnswer   Kind = "short-answer"   // an answer that is just short enough not to be streamed, read at slowRate
	Unread        Kind = "unread"         // a long answer, of which nothing is read
	Idle          Kind = "idle"           // a short answer, and then nothing more
	Silent        Kind = "silent"         // nothing at all
	ChunkedAnswer Kind = "chunked-answer" // a long answer in chunks, read at slowRate
	ClosedAnswer  Kind = "closed-answer"  // a long answer that ends with its connection, read at slowRate
	AnswerHead    Kind = "answer-head"    // a long answer with a large head, read at slowRate
	Waiting       Kind = "waiting"        // a short body, which the server answers only after the client's wait
	TinyChunks    Kind = "tiny-chunks"    // a body in chunks of one byte, sent at slowRate
	Pipelined     Kind = "pipelined"      // a long answer, read at slowRate, and many requests sent behind the first
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		Upload, ChunkedUpload, HalfUpload, HalfShort, ManyFields, HalfHead, SlowHead, LongAnswer, ShortAnswer, Unread, Idle, Silent, Pipelined,
		ChunkedAnswer, ClosedAnswer, AnswerHead, Waiting, TinyChunks,
	}
}

// IncompleteKinds returns the kinds whose requests are never complete, so that no server runs them.
func IncompleteKinds() []Kind { return []Kind{HalfShort, ManyFields, HalfHead} }

const (
	slowRate         = 64 << 10 // bytes per second
	slowStep         = 50 * time.Millisecond
	longBody         = 960 << 10
	halfBody         = 400_000
	shortBody        = 60 << 10
	longAnswer       = 4 << 20
	answerPieces     = 256
	shortAnswer      = 64 << 10
	tinyChunk        = "1\r\nx\r\n"
	manyFields       = 2500
	allowedFields    = 100
	allowedFieldSize = 130
	pipelined        = 90
	headPause        = 1500 * time.Millisecond
	dialTimeout      = time.Second
	// clientBuffer is the size of a slow reader's socket buffer.
	clientBuffer = 8 << 10
	// reconnectPause is how long a client waits before it connects again.
	reconnectPause = 50 * time.Millisecond
)

// Target is the proxy that clients connect to, and the classes that their requests name.
type Target struct {
	Address    string
	GetClass   string // a class that is safe to repeat
	KeyedClass string
	OnceClass  string        // a class that must not run twice
	Wait       time.Duration // how long each client waits for its answer
}

// Crowd plays many slow clients. It is safe for concurrent use.
type Crowd struct {
	target Target
	seed   uint64
}

// NewCrowd returns a crowd whose choices are drawn from a seed.
func NewCrowd(t Target, seed uint64) *Crowd { return &Crowd{target: t, seed: seed} }

// Run plays count clients, of the given kinds in turn, until ctx is done. Clients whose connection ends connect again.
func (c *Crowd) Run(ctx context.Context, count int, kinds []Kind) {
	var clients sync.WaitGroup
	for n := range count {
		clients.Go(func() {
			dice := rand.New(rand.NewPCG(c.seed, uint64(n)))
			for ctx.Err() == nil {
				c.play(ctx, kinds[n%len(kinds)], dice)
				sleep(ctx, reconnectPause)
			}
		})
	}
	clients.Wait()
}

// play plays one connection of a client to its end.
func (c *Crowd) play(ctx context.Context, kind Kind, dice *rand.Rand) {
	dialer := net.Dialer{Timeout: dialTimeout}
	switch kind {
	case LongAnswer, ShortAnswer, Unread, Pipelined, ChunkedAnswer, ClosedAnswer, AnswerHead:
		dialer.Control = setReceiveBuffer
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.target.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	id := fmt.Sprintf("%016x", dice.Uint64())
	switch kind {
	case Upload:
		io.WriteString(conn, c.post(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody))
		writeSlowly(ctx, conn, longBody, func(n int) string { return strings.Repeat("x", n) })
	case ChunkedUpload:
		io.WriteString(conn, c.post(id)+"Transfer-Encoding: chunked\r\n\r\n")
		writeSlowly(ctx, conn, longBody, func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) })
		io.WriteString(conn, "0\r\n\r\n")
	case HalfUpload:
		io.WriteString(conn, c.post(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", halfBody, strings.Repeat("x", halfBody/2)))
	case HalfShort:
		io.WriteString(conn, c.post(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", shortBody, strings.Repeat("x", shortBody-100)))
	case ManyFields:
		io.WriteString(conn, c.get(id, "/api")+strings.Repeat("a: b\r\n", manyFields))
	case HalfHead:
		io.WriteString(conn, c.largeHead(id))
	case SlowHead:
		io.WriteString(conn, c.largeHead(id))
		sleep(ctx, headPause)
		io.WriteString(conn, "\r\n")
	case LongAnswer:
		io.WriteString(conn, c.get(id, fmt.Sprintf("/bytes/%d", longAnswer))+"\r\n")
	case ChunkedAnswer:
		io.WriteString(conn, c.get(id, PacedAnswer{Framing: ByChunks, Size: longAnswer, Pieces: answerPieces}.Path())+"\r\n")
	case ClosedAnswer:
		io.WriteString(conn, c.get(id, PacedAnswer{Framing: ByClose, Size: longAnswer, Pieces: answerPieces}.Path())+"\r\n")
	case AnswerHead:
		io.WriteString(conn, c.get(id, fmt.Sprintf("%s%d", largeHeadPath, longAnswer))+"\r\n")
	case Waiting:
		io.WriteString(conn, strings.Replace(c.post(id), "/api", latePath, 1)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", shortBody, strings.Repeat("x", shortBody)))
	case TinyChunks:
		io.WriteString(conn, c.post(id)+"Transfer-Encoding: chunked\r\n\r\n")
		writeSlowly(ctx, conn, longBody, func(n int) string { return strings.Repeat(tinyChunk, n/len(tinyChunk)) })
		io.WriteString(conn, "0\r\n\r\n")
	case Pipelined:
		text := strings.Replace(c.get(id, fmt.Sprintf("/bytes/%d", longAnswer)), "Connection: close\r\n", "", 1) + "\r\n"
		for n := range pipelined {
			io.WriteString(conn, strings.Replace(text, id, fmt.Sprintf("%s-%d", id, n), 1))
		}
	case Unread:
		io.WriteString(conn, c.get(id, fmt.Sprintf("/bytes/%d", longAnswer))+"\r\n")
		<-ctx.Done()
	case Idle:
		io.WriteString(conn, strings.Replace(c.get(id, "/bytes/100"), "Connection: close\r\n", "", 1)+"\r\n")
	case ShortAnswer:
		io.WriteString(conn, c.get(id, fmt.Sprintf("/bytes/%d", shortAnswer))+"\r\n")
	}
	readSlowly(ctx, conn)
}

// post returns the beginning of the head of a request with a body, and get that of one without.
func (c *Crowd) post(id string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nIdempotency-Key: k%s\r\n",
		id, c.target.KeyedClass, c.target.Wait.Milliseconds(), id)
}

func (c *Crowd) get(id, path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nConnection: close\r\n",
		path, id, c.target.GetClass, c.target.Wait.Milliseconds())
}

// largeHead returns a head within the limits, without the blank line.
func (c *Crowd) largeHead(id string) string {
	return c.get(id, "/api") + strings.Repeat("X-Pad: "+strings.Repeat("p", allowedFieldSize)+"\r\n", allowedFields)
}

// writeSlowly writes size bytes at slowRate, in the pieces that form makes of them.
func writeSlowly(ctx context.Context, w io.Writer, size int, form func(n int) string) {
	step := int(slowRate * slowStep / time.Second)
	for size > 0 && ctx.Err() == nil {
		n := min(step, size)
		if _, err := io.WriteString(w, form(n)); err != nil {
			return
		}
		size -= n
		sleep(ctx, slowStep)
	}
}

// readSlowly reads at slowRate until the connection ends.
func readSlowly(ctx context.Context, r io.Reader) {
	buffer := make([]byte, slowRate*slowStep/time.Second)
	for ctx.Err() == nil {
		if _, err := r.Read(buffer); err != nil {
			return
		}
		sleep(ctx, slowStep)
	}
}

// setReceiveBuffer limits what the client's system reads ahead of the client.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer)
	})
	if err != nil {
		return err
	}
	return failed
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
