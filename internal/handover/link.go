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
	// meetTime bounds the new process's search for the old one, and what it waits for its answer: it has 6 s in all.
	connectTimeout = 1500 * time.Millisecond
	// doneTime bounds the wait for what the other is asked to do; operators are owed an answer within 1 s.
	requestTimeout = 500 * time.Millisecond
	// writeTime bounds one message to a peer that does not read.
	writeTimeout = 500 * time.Millisecond
)

// Peer is a connection to the other process. Its methods may be called at any time.
type Peer struct {
	conn net.Conn

	writeMu sync.Mutex // apart from mu: who reads must not wait for who writes, or two peers could wait for each other

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan Message // for the Done of this number
	closed     bool
}

// NewPeer returns a peer at the other end of a connection, which Follow or Close ends.
func NewPeer(c net.Conn) *Peer {
	return &Peer{conn: c, pending: map[uint64]chan Message{}}
}

// Tell sends a message that nobody answers.
func (p *Peer) Tell(m Message) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return Write(p.conn, m)
}

// Ask sends a message and waits for its Done, for doneTime at most.
func (p *Peer) Ask(ctx context.Context, m Message) (Message, error) {
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
	if err := p.Tell(m); err != nil {
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

// Follow reads messages until the peer has gone; handle gets all but Done. It returns why it ended.
func (p *Peer) Follow(handle func(Message)) error {
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

// Close ends the connection.
func (p *Peer) Close() { p.conn.Close() }

// path is where the processes of one proxy meet. Other users' processes have another TMPDIR or cannot write there.
func socketPath(dir, name string) string { return filepath.Join(dir, "brasswell-"+name+".sock") }

// Meet looks for a running process of the proxy and gets what it knows. It returns nil and no error if there is none.
func Meet(dir, name string) (*Peer, *Knowledge, error) {
	deadline := time.Now().Add(connectTimeout)
	conn, err := net.DialTimeout("unix", socketPath(dir, name), connectTimeout)
	if err != nil {
		return nil, nil, nil // no socket, or one that a process has left behind
	}
	conn.SetDeadline(deadline)
	if err = Write(conn, Message{Kind: Hello}); err == nil {
		var m Message
		if m, err = Read(conn); err == nil && (m.Kind != Snapshot || m.Snapshot == nil) {
			err = errors.New("handover: something else where a snapshot was due")
		}
		if err == nil {
			conn.SetDeadline(time.Time{})
			return NewPeer(conn), m.Snapshot, nil
		}
	}
	conn.Close()
	return nil, nil, fmt.Errorf("the running process: %w", err)
}

// Listen waits for the process that is to follow this one. It takes the place of whoever listened there before, who
// goes on with the peers that it has.
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
