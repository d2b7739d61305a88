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
	meetTime = 1500 * time.Millisecond
	// doneTime bounds the wait for what the other is asked to do; operators are owed an answer within 1 s.
	doneTime = 500 * time.Millisecond
	// writeTime bounds one message to a peer that does not read.
	writeTime = 500 * time.Millisecond
)

// Peer is a connection to the other process. Its methods may be called at any time.
type Peer struct {
	conn net.Conn

	writing sync.Mutex // apart from mu: who reads must not wait for who writes, or two peers could wait for each other

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan Message // for the Done of this number
	gone    bool
}

// NewPeer returns a peer at the other end of a connection, which Follow or Close ends.
func NewPeer(c net.Conn) *Peer {
	return &Peer{conn: c, waiting: map[uint64]chan Message{}}
}

// Tell sends a message that nobody answers.
func (p *Peer) Send(m Message) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(writeTime))
	return Write(p.conn, m)
}

// Ask sends a message and waits for its Done, for doneTime at most.
func (p *Peer) Request(ctx context.Context, m Message) (Message, error) {
	done := make(chan Message, 1)
	p.mu.Lock()
	if p.gone {
		p.mu.Unlock()
		return Message{}, net.ErrClosed
	}
	p.last++
	m.Number = p.last
	p.waiting[m.Number] = done
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waiting, m.Number)
	}()
	if err := p.Send(m); err != nil {
		return Message{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, doneTime)
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
func (p *Peer) Serve(handle func(Message)) error {
	defer func() {
		p.conn.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.gone = true
		for n, done := range p.waiting {
			close(done)
			delete(p.waiting, n)
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
		done := p.waiting[m.Number]
		delete(p.waiting, m.Number)
		p.mu.Unlock()
		if done != nil {
			done <- m
		}
	}
}

// Close ends the connection.
func (p *Peer) Close() { p.conn.Close() }

// path is where the processes of one proxy meet. Other users' processes have another TMPDIR or cannot write there.
func path(dir, name string) string { return filepath.Join(dir, "brasswell-"+name+".sock") }

// Meet looks for a running process of the proxy and gets what it knows. It returns nil and no error if there is none.
func Connect(dir, name string) (*Peer, *State, error) {
	until := time.Now().Add(meetTime)
	conn, err := net.DialTimeout("unix", path(dir, name), meetTime)
	if err != nil {
		return nil, nil, nil // no socket, or one that a process has left behind
	}
	conn.SetDeadline(until)
	if err = Write(conn, Message{Kind: Hello}); err == nil {
		var m Message
		if m, err = Read(conn); err == nil && (m.Kind != StateReply || m.State == nil) {
			err = errors.New("handover: something else where a snapshot was due")
		}
		if err == nil {
			conn.SetDeadline(time.Time{})
			return NewPeer(conn), m.State, nil
		}
	}
	conn.Close()
	return nil, nil, fmt.Errorf("the running process: %w", err)
}

// Listen waits for the process that is to follow this one. It takes the place of whoever listened there before, who
// goes on with the peers that it has.
func Listen(dir, name string) (*net.UnixListener, error) {
	at := path(dir, name)
	own := fmt.Sprintf("%s.%d", at, os.Getpid())
	os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false)
	if err := os.Rename(own, at); err != nil {
		l.Close()
		os.Remove(own)
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}
