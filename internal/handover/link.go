package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// connectTimeout bounds how long the new process tries to connect to the old one and waits for its state. Its whole
	// start must take at most 6 s.
	connectTimeout = 1500 * time.Millisecond
	// requestTimeout bounds the wait for a Done, because operators must get a response within 1 s.
	requestTimeout = 500 * time.Millisecond
	// writeTimeout bounds the write of one message to a peer that does not read.
	writeTimeout = 500 * time.Millisecond
	// dialInterval is the pause between two attempts to connect to the old process.
	dialInterval = 10 * time.Millisecond
)

// Peer is a connection to the other process. Its methods may be called at any time.
type Peer struct {
	conn net.Conn

	writeMu sync.Mutex // separate from mu: if reads had to wait for writes, two peers could deadlock

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan Message // requests that wait for the Done with this number
	closed     bool
}

// NewPeer returns the peer at the other end of a connection. Serve closes the connection when it returns.
func NewPeer(c net.Conn) *Peer {
	return &Peer{conn: c, pending: map[uint64]chan Message{}}
}

// Send sends a message that has no response.
func (p *Peer) Send(m Message) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return Write(p.conn, m)
}

// Request sends a message and waits for its Done, for at most requestTimeout.
func (p *Peer) Request(ctx context.Context, m Message) (Message, error) {
	done := make(chan Message, 1)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return Message{}, net.ErrClosed
	}
	p.lastNumber++
	m.Number = p.lastNumber
	p.pending[m.Number] = done
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pending, m.Number)
	}()
	if err := p.Send(m); err != nil {
		return Message{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	select {
	case d, open := <-done:
		if !open {
			return Message{}, net.ErrClosed
		}
		return d, nil
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
}

// Serve reads messages until the connection ends, and returns the reason. It passes all messages except Done to handle.
func (p *Peer) Serve(handle func(Message)) error {
	defer func() {
		p.conn.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed = true
		for n, done := range p.pending {
			close(done)
			delete(p.pending, n)
		}
	}()
	for {
		m, err := Read(p.conn)
		if err != nil {
			return err
		}
		if m.Kind != Done {
			handle(m)
			continue
		}
		p.mu.Lock()
		done := p.pending[m.Number]
		delete(p.pending, m.Number)
		p.mu.Unlock()
		if done != nil {
			done <- m
		}
	}
}

// Close closes the connection.
func (p *Peer) Close() { p.conn.Close() }

// socketPath returns the path of the socket of a proxy's processes. Processes of other users have another TMPDIR or cannot
// write there.
func socketPath(dir, name string) string { return filepath.Join(dir, "brasswell-"+name+".sock") }

// Connect connects to the running process of the proxy and gets its state. It returns nil and no error if there is none.
func Connect(dir, name string) (*Peer, *State, error) {
	deadline := time.Now().Add(connectTimeout)
	conn, err := dial(dir, name, deadline)
	if conn == nil {
		return nil, nil, err
	}
	conn.SetDeadline(deadline)
	if err = Write(conn, Message{Kind: Hello}); err == nil {
		var m Message
		if m, err = Read(conn); err == nil && (m.Kind != StateReply || m.State == nil) {
			err = errors.New("handover: unexpected message instead of the state")
		}
		if err == nil {
			conn.SetDeadline(time.Time{})
			return NewPeer(conn), m.State, nil
		}
	}
	conn.Close()
	return nil, nil, fmt.Errorf("the running process: %w", err)
}

// errNotListening means that a process of the proxy runs and listens for no successor.
var errNotListening = errors.New("the running process: listens for no successor")

// dial connects to the process that listens for its successor. While none does although processes of the proxy run, it
// tries again: a process listens anew after the end of its successor, which has replaced its socket. dial returns nil and
// no error if no process runs.
func dial(dir, name string, deadline time.Time) (net.Conn, error) {
	for {
		conn, err := net.DialTimeout("unix", socketPath(dir, name), time.Until(deadline))
		if err == nil {
			return conn, nil
		}
		if !anyRunning(dir, name) {
			return nil, nil // no socket, or one left by a process that has ended
		}
		if time.Until(deadline) <= dialInterval {
			return nil, errNotListening
		}
		time.Sleep(dialInterval)
	}
}

// Reachable reports whether a process listens for its successor.
func Reachable(dir, name string) bool {
	conn, err := net.DialTimeout("unix", socketPath(dir, name), requestTimeout)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// Listen listens for the successor of this process. It replaces the socket of a process that listened there before, which
// keeps its existing peers.
func Listen(dir, name string) (*net.UnixListener, error) {
	socket := socketPath(dir, name)
	temp := fmt.Sprintf("%s.%d", socket, os.Getpid())
	os.Remove(temp)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: temp, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false)
	if err := os.Rename(temp, socket); err != nil {
		l.Close()
		os.Remove(temp)
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}
