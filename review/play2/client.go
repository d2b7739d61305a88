package play2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// NewID returns an id that no request has had.
func NewID() string { return fmt.Sprintf("t%08x", lastID.Add(1)) }

// Get returns the text of a GET request of the class "a".
func (r *Run) Get(id string, remaining time.Duration) string {
	r.WillSend(id)
	return fmt.Sprintf("GET /api/%s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: a\r\nX-Remaining-Ms: %d\r\n\r\n", id, id, remaining.Milliseconds())
}

// Client is a client's connection.
type Client struct {
	net.Conn
	Read *bufio.Reader
}

// Dial opens a connection.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Answer reads an answer. body is what arrived, also with an error.
func (c *Client) Answer(within time.Duration) (status int, body []byte, resp *http.Response, err error) {
	c.SetReadDeadline(time.Now().Add(within))
	resp, err = http.ReadResponse(c.Read, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, resp, err
}

// Do sends a request and reads its answer.
func (c *Client) Do(text string, within time.Duration) (status int, body []byte, resp *http.Response, err error) {
	if _, err := io.WriteString(c, text); err != nil {
		return 0, nil, nil, err
	}
	return c.Answer(within)
}

// WaitHealthy waits until a proxy takes clients.
func (r *Run) WaitHealthy(address string, p *Process) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.Check(!p.Ended(), "%s has ended at its start:\n%s", p.Name, p.Log())
		if c, err := Dial(address); err == nil {
			status, _, _, err := c.Do("GET /_health HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n", time.Second)
			c.Close()
			if err == nil && status == http.StatusOK {
				r.Note("%s is ready", p.Name)
				return
			}
		}
	}
	r.Must(errors.New(p.Name + " is not ready within 30 s"))
}

// Console makes an operators' call and returns the status.
func Console(address, method, path string) (int, error) {
	c, err := Dial(address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	status, _, _, err := c.Do(method+" "+path+" HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n", time.Second)
	return status, err
}
