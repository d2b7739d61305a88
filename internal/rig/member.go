package rig

import (
	"fmt"
	"net"
	"sync"
	"time"

	"brasswell/internal/standin"
)

type member struct {
	name    string
	callers *standin.Callers
	address string // where callers connect
	real    string // where the fleet's messages are taken in
	public  string // where others send them

	mu   sync.Mutex
	at   *process
	down time.Time // since when it does not work; zero if it does
	back time.Time // when it last came back
}

// process is the member's present process.
func (m *member) process() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

// hold opens the member's socket in the platform's stead.
func (m *member) hold() error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	defer l.Close()
	if m.at.held, err = l.(*net.TCPListener).File(); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// strike notes that a script keeps the member from its work.
func (m *member) strike() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callers.Struck(true)
	m.down = time.Now()
}

// excused notes that what it could not answer is over, if it has worked for long enough.
func (m *member) excused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down.IsZero() && time.Since(m.back) > excuseTime {
		m.callers.Struck(false)
	}
}

// quiet keeps new callers from a member that is about to end.
func (m *member) quiet() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = time.Now().Add(-noticeTime)
}

// well notes that it goes on.
func (m *member) well() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.back = time.Time{}, time.Now()
}
