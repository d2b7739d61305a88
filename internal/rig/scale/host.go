package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"brasswell/internal/rig/hollow"
)

const (
	// HostVerb is the program's verb that runs a host of hollow members.
	HostVerb = "scale-host"
	// mostReply bounds a line that a host answers.
	mostReply = 64 << 20
	// endTime is how long a host has for its end once it is asked to, before it is killed.
	endTime = 10 * time.Second
)

// errEnded is that of a host whose process is gone.
var errEnded = errors.New("the host's process has ended")

// host is a process of hollow members. Its methods may be called at any time.
type host struct {
	name  string
	cmd   *exec.Cmd
	in    io.WriteCloser
	ended chan struct{} // closed once the process has been waited for

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan hollow.Reply
	said    string // its last line on stderr
}

// startHost starts a host's process.
func startHost(program, name string) (*host, error) {
	h := &host{name: name, cmd: exec.Command(program, HostVerb), ended: make(chan struct{}), waiting: map[uint64]chan hollow.Reply{}}
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // it ends with this process; a ^C is for this one
	in, err := h.cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: %s: %w", name, err)
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: %s: %w", name, err)
	}
	errOut, err := h.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: %s: %w", name, err)
	}
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", name, err)
	}
	h.in = in
	go h.read(out, errOut) // ends with the process
	return h, nil
}

// read takes in what the process says until it has ended.
func (h *host) read(out, errOut io.Reader) {
	defer close(h.ended)
	var reading sync.WaitGroup
	reading.Go(func() {
		lines := bufio.NewScanner(errOut)
		for lines.Scan() {
			h.mu.Lock()
			h.said = lines.Text()
			h.mu.Unlock()
		}
		io.Copy(io.Discard, errOut)
	})
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 0, 64<<10), mostReply)
	for lines.Scan() {
		var r hollow.Reply
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			break
		}
		h.mu.Lock()
		waiting := h.waiting[r.ID]
		delete(h.waiting, r.ID)
		h.mu.Unlock()
		if waiting != nil {
			waiting <- r
		}
	}
	io.Copy(io.Discard, out)
	reading.Wait()
	h.cmd.Wait()
}

// call asks the host and waits for its reply.
func (h *host) call(ctx context.Context, r hollow.Request) (hollow.Reply, error) {
	waiting := make(chan hollow.Reply, 1)
	h.mu.Lock()
	h.last++
	r.ID = h.last
	h.waiting[r.ID] = waiting
	text, err := json.Marshal(r)
	if err == nil {
		_, err = h.in.Write(append(text, '\n'))
	}
	h.mu.Unlock()
	if err != nil {
		return hollow.Reply{}, h.fault(err)
	}
	select {
	case reply := <-waiting:
		if reply.Error != "" {
			return reply, h.fault(errors.New(reply.Error))
		}
		return reply, nil
	case <-h.ended:
		return hollow.Reply{}, h.fault(errEnded)
	case <-ctx.Done():
		return hollow.Reply{}, h.fault(ctx.Err())
	}
}

// fault is an error of this host, with what its process said last.
func (h *host) fault(err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.said != "" {
		return fmt.Errorf("scale: %s: %w (it said: %s)", h.name, err, h.said)
	}
	return fmt.Errorf("scale: %s: %w", h.name, err)
}

// close ends the process.
func (h *host) close() {
	h.in.Close()
	late := time.AfterFunc(endTime, func() { h.cmd.Process.Kill() })
	defer late.Stop()
	<-h.ended
}

// gone says whether the process has ended.
func (h *host) gone() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}
