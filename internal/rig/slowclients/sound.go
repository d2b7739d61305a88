package slowclients

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Answers counts what sound clients got.
type Answers struct {
	Served, Refused, Failed int
	Late                    int           // answered after the client's wait and lateSlack
	Dropped                 int           // never answered, or not to the end
	NotConnected            int           // the proxy took no connection, or closed a new one before it answered anything
	Slowest                 time.Duration // of all answers
}

const (
	// lateSlack is how much later than the client waits an answer may come.
	lateSlack = 500 * time.Millisecond
	// soundPause is the time between two requests of a sound client.
	soundPause = 50 * time.Millisecond
	// soundStream separates the random numbers of sound clients from those of slow ones.
	soundStream = 1 << 32
	// giveUpTime is how long a client that counts late answers waits for one.
	giveUpTime = 10 * time.Second
)

// RunSound plays count sound clients until ctx is done. Each sends one short request after another on a connection that it
// keeps, and waits for each answer.
func RunSound(ctx context.Context, t Target, count int, seed uint64) Answers {
	var (
		mu      sync.Mutex
		total   Answers
		clients sync.WaitGroup
	)
	for n := range count {
		clients.Go(func() {
			c := soundClient{target: t, dice: rand.New(rand.NewPCG(seed, soundStream+uint64(n)))}
			c.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			total.add(c.answers)
		})
	}
	clients.Wait()
	return total
}

func (a *Answers) add(b Answers) {
	a.Served += b.Served
	a.Refused += b.Refused
	a.Failed += b.Failed
	a.Late += b.Late
	a.Dropped += b.Dropped
	a.NotConnected += b.NotConnected
	a.Slowest = max(a.Slowest, b.Slowest)
}

// soundClient is one client, and its connection.
type soundClient struct {
	target  Target
	dice    *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	used    bool // the connection has carried a request
	answers Answers
}

func (c *soundClient) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		c.ask()
		sleep(ctx, soundPause)
	}
}

// ask sends a request. One that meets the end of a connection at rest is sent once more on a new one.
func (c *soundClient) ask() {
	for range 2 {
		reused := c.used
		if c.conn == nil && !c.connect() {
			c.answers.NotConnected++
			return
		}
		if c.send() || !reused {
			return
		}
	}
}

func (c *soundClient) connect() bool {
	conn, err := net.DialTimeout("tcp", c.target.Address, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return true
}

func (c *soundClient) hangUp() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.used = nil, false
}

// send sends one request on the open connection, and reports whether it is over.
func (c *soundClient) send() (over bool) {
	reused := c.used
	c.used = true
	begun := time.Now()
	c.conn.SetDeadline(begun.Add(giveUpTime))
	_, err := fmt.Fprintf(c.conn, "GET /bytes/1024 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %016x\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n\r\n",
		c.dice.Uint64(), c.target.GetClass, c.target.Wait.Milliseconds())
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		c.hangUp()
		if !reused {
			c.countEnd(err)
		}
		return false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		c.hangUp()
		c.answers.Dropped++
		return true
	}
	if resp.Close {
		c.hangUp()
	}
	c.count(resp.StatusCode, time.Since(begun))
	return true
}

// countEnd counts a request whose new connection gave no byte of an answer.
func (c *soundClient) countEnd(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.answers.Dropped++
		return
	}
	c.answers.NotConnected++
}

func (c *soundClient) count(status int, took time.Duration) {
	switch status {
	case http.StatusOK:
		c.answers.Served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.answers.Refused++
	default:
		c.answers.Failed++
	}
	c.answers.Slowest = max(c.answers.Slowest, took)
	if took > c.target.Wait+lateSlack {
		c.answers.Late++
	}
}
