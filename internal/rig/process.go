package rig

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program is how a rig starts one process of the program.
type Program struct {
	Path string   // of the executable
	Args []string // before those of a process
	Env  []string // beside those of a process
}

// starveSlice is the shortest time for which a starved process runs.
const starveSlice = 10 * time.Millisecond

// mostSaid is how many lines of a process are kept for the error of a start that fails.
const mostSaid = 20

// process is one member's process, through all its starts. Its methods may be called at any time.
type process struct {
	program Program
	name    string
	folder  string // of its own
	// temporary is where processes of this member look for each other.
	temporary string
	args      []string
	env       []string
	console   string
	lines     func(name, line string)
	held      *os.File // the socket that the platform would hold; nil where the process opens its own

	mu      sync.Mutex
	cmd     *exec.Cmd     // nil while it is not there
	ended   chan struct{} // closed once cmd has been waited for
	said    []string      // the last lines of the present start, mostSaid at most
	status  string        // how the last start ended
	starve  context.CancelFunc
	feeding sync.WaitGroup
	starts  int
}

// pid is the process's id; 0 while it is not there.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// start starts the process; it does not wait until it answers.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("rig: %s: it runs already", p.name)
	}
	cmd := exec.Command(p.program.Path, append(append([]string(nil), p.program.Args...), p.args...)...)
	cmd.Env = append(append([]string{"TMPDIR=" + p.temporary, "HOME=" + p.folder}, p.program.Env...), p.env...)
	if p.held != nil {
		cmd.ExtraFiles = []*os.File{p.held}
		cmd.Env = append(cmd.Env, "RELAY_SOCKET_FD=3")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the rig, however that ends
	out, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("rig: %s: %w", p.name, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("rig: %s: %w", p.name, err)
	}
	p.starts++
	ended := make(chan struct{})
	p.cmd, p.ended, p.said, p.status = cmd, ended, nil, ""
	go func() { // ends with the process
		defer close(ended)
		s := bufio.NewScanner(out)
		s.Buffer(make([]byte, 0, 64<<10), 1<<20)
		for s.Scan() {
			p.remember(s.Text())
			p.lines(p.name, s.Text())
		}
		io.Copy(io.Discard, out)
		cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.status = cmd.ProcessState.String()
	}()
	return nil
}

// remember keeps a line for the error of a start that fails.
func (p *process) remember(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.said) == mostSaid {
		p.said = slices.Delete(p.said, 0, 1)
	}
	p.said = append(p.said, line)
}

// endedEarly is the error of a process that has ended before it was ready: how it ended, and what it said last.
func (p *process) endedEarly() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Errorf("rig: %s ended before it was ready: %s; it said: %s", p.name, p.status, strings.Join(p.said, " | "))
}

// notReady is the error of a process that runs and does not take clients: why it is not waited for, and what it said last.
func (p *process) notReady(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Errorf("rig: %s is not ready: %w; it said: %s", p.name, err, strings.Join(p.said, " | "))
}

// signal sends a signal to the process, if it is there.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("rig: %s: %w", p.name, err)
	}
	return nil
}

// gone waits until the process has ended.
func (p *process) gone() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == ended {
		p.cmd = nil
	}
}

// kill ends the process at once, stopped or not.
func (p *process) kill() error {
	p.feed()
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	p.gone()
	return nil
}

// terminate asks the process to end, and kills it if it has not after so long.
func (p *process) terminate(patience time.Duration) error {
	p.feed()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	late := time.AfterFunc(patience, func() { p.signal(syscall.SIGKILL) })
	defer late.Stop()
	p.gone()
	return nil
}

// starved gives the process a share of its time until feed.
func (p *process) starved(share float64) {
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	p.starve = cancel
	p.mu.Unlock()
	p.feeding.Go(func() {
		rest := time.Duration(float64(starveSlice) * (1 - share) / share)
		for ctx.Err() == nil {
			p.signal(syscall.SIGSTOP)
			wait(ctx, rest)
			p.signal(syscall.SIGCONT)
			wait(ctx, starveSlice)
		}
	})
}

// stop stops the process, and returns once it stands: until then its threads run on.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	path := fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid)
	for range 1000 {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("rig: %s: %w", p.name, err)
		}
		// The state of proc(5) comes after the name, which may hold blanks: T is stopped, Z and X are no more.
		if _, rest, _ := strings.Cut(string(text), ") "); strings.HasPrefix(rest, "T") || strings.HasPrefix(rest, "Z") || strings.HasPrefix(rest, "X") {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("rig: %s: does not stop", p.name)
}

// feed ends starved.
func (p *process) feed() {
	p.mu.Lock()
	cancel := p.starve
	p.starve = nil
	p.mu.Unlock()
	if cancel != nil {
		cancel()
		p.feeding.Wait()
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// lose empties the process's own folder.
func (p *process) lose() error {
	entries, err := os.ReadDir(p.folder)
	if err != nil {
		return fmt.Errorf("rig: %s: %w", p.name, err)
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(p.folder, e.Name())); err != nil {
			return fmt.Errorf("rig: %s: %w", p.name, err)
		}
	}
	return nil
}

// get calls the process's console.
func (p *process) get(ctx context.Context, path string) (int, string, error) {
	return p.call(ctx, http.MethodGet, path, nil)
}

func (p *process) call(ctx context.Context, method, path string, body io.Reader) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.console+path, body)
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// ready waits until the process takes clients. A call that waits for its answer is given up once the process has ended: at its
// console's address something else may listen.
func (p *process) ready(ctx context.Context) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // ends with this call
		select {
		case <-ended:
			cancel()
		case <-asking.Done():
		}
	}()
	for {
		code, _, err := p.get(asking, "/v1/readyz")
		if err == nil && code == http.StatusOK {
			return nil
		}
		select {
		case <-ended:
			return p.endedEarly()
		case <-ctx.Done():
			return p.notReady(ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// ProcessConfig describes a process of the program that serves, for who runs some without a rig.
type ProcessConfig struct {
	Program   Program
	Name      string
	Folder    string // of its own
	Temporary string // where processes of one proxy look for each other
	Args, Env []string
	Console   string                  // the address of its console
	Lines     func(name, line string) // is called with each line of its log
}

// Process is one that serves. Its methods may be called at any time.
type Process struct{ process *process }

// NewProcess returns a process that is not started yet.
func NewProcess(c ProcessConfig) *Process {
	return &Process{&process{
		program: c.Program, name: c.Name, folder: c.Folder, temporary: c.Temporary, args: c.Args, env: c.Env, console: c.Console, lines: c.Lines,
	}}
}

// Start starts it, and returns once it takes clients.
func (p *Process) Start(ctx context.Context) error {
	if err := p.process.start(); err != nil {
		return err
	}
	return p.process.ready(ctx)
}

// End asks it to end, and kills it where it has not after so long.
func (p *Process) End(patience time.Duration) error { return p.process.terminate(patience) }

// Get calls its console.
func (p *Process) Get(ctx context.Context, path string) (code int, text string, err error) {
	return p.process.get(ctx, path)
}

// Kill ends it at once.
func (p *Process) Kill() error { return p.process.kill() }

// Ended returns how the process ended, or "" while it runs and before its first start.
func (p *Process) Ended() string {
	p.process.mu.Lock()
	defer p.process.mu.Unlock()
	return p.process.status
}

// Signal sends it a signal, if it is there.
func (p *Process) Signal(s syscall.Signal) error { return p.process.signal(s) }

// PID is its process id; 0 while it is not there.
func (p *Process) PID() int { return p.process.pid() }
