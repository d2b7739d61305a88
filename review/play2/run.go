// Package play2 has what the cases 6 to 10 of the review share: the record, the proxy's process, and small stand-ins for
// discovery, backends and clients. Every address is a loopback address.
package play2

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Run is one run of a case.
type Run struct {
	Trouble bool // the disruption is played; false with TROUBLE=0
	Temp    string

	start  time.Time
	mu     sync.Mutex
	record *os.File
	broken int
	procs  []*Process
	sent   map[string]bool

	finishing sync.Once
}

// longest bounds a run.
const longest = 110 * time.Second

// Begin starts a run. The environment names the folder of the case (CASE), the repository's root (ROOT) and the deploy
// file's command (RUN).
func Begin() *Run {
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), sent: map[string]bool{}}
	for _, name := range []string{"CASE", "ROOT", "RUN"} {
		if os.Getenv(name) == "" {
			fmt.Fprintln(os.Stderr, name+" is not set: start the case with run.sh")
			os.Exit(2)
		}
	}
	var err error
	if r.record, err = os.Create(filepath.Join(os.Getenv("CASE"), "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.Temp, err = os.MkdirTemp("", "review")
	r.Must(err)
	r.Note("run begins, trouble=%v", r.Trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-stop:
			r.Must(fmt.Errorf("stopped by %v", s))
		case <-time.After(longest):
			r.Must(fmt.Errorf("not done after %v", longest))
		}
	}()
	return r
}

// Since returns the time since the start of the run.
func (r *Run) Since() time.Duration { return time.Since(r.start) }

// Note writes a line to the record.
func (r *Run) Note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f %s\n", r.Since().Seconds(), fmt.Sprintf(format, a...))
}

// maxPrinted bounds the breaks that are printed; the record has all.
const maxPrinted = 5

// Break records that the rule was broken.
func (r *Run) Break(format string, a ...any) {
	text := "BROKEN: " + fmt.Sprintf(format, a...)
	r.Note("%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.broken++; r.broken <= maxPrinted {
		fmt.Println(text)
	}
}

// Must ends a run that cannot go on, with code 2.
func (r *Run) Must(err error) {
	if err != nil {
		r.Note("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		r.finish(2)
	}
}

// Check ends a run that cannot go on unless ok, with code 2.
func (r *Run) Check(ok bool, format string, a ...any) {
	if !ok {
		r.Must(fmt.Errorf(format, a...))
	}
}

// End ends the run: with code 1 if the rule was broken, and with 0 if it held.
func (r *Run) End() {
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	r.Note("run ends, %d breaks", broken)
	if broken > 0 {
		fmt.Printf("the rule was broken %d times\n", broken)
		r.finish(1)
	}
	fmt.Println("the rule held")
	r.finish(0)
}

func (r *Run) finish(code int) {
	r.finishing.Do(func() {
		r.mu.Lock()
		procs := r.procs
		r.mu.Unlock()
		for _, p := range procs {
			p.Kill()
		}
		os.RemoveAll(r.Temp)
		r.record.Close()
		os.Exit(code)
	})
}

// FreeAddress returns a loopback address at which nothing listens.
func (r *Run) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Config is the platform's file of a proxy.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Console   string         `json:"console,omitempty"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     any            `json:"known"`
	Settings  map[string]any `json:"settings"`

	OperatorFile string `json:"-"` // passed on with run -c; "" for none
}

// Class is a request class of the settings.
type Class map[string]any

// NewConfig returns the configuration of one proxy alone before its tier.
func NewConfig(listen, discovery string, known any, classes ...Class) *Config {
	return &Config{
		Name: "n1", Listen: listen, Discovery: discovery, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Known: known,
		Settings: map[string]any{
			"instances": 1, "me": 0, "layer": 0, "discovery": "push", "zones": []string{"a"}, "request_classes": classes,
			"limits": map[string]any{
				"max_attempts": 3, "connect_timeout_ms": 300, "conn_idle_ms": ConnIdle.Milliseconds(), "cancel": true, "retry_after": false,
			},
			"rules": map[string]any{
				"answer_slack_ms": 20, "ask_every_ms": 10000, "cold_from": 0.3, "drain_grace_ms": DrainGrace.Milliseconds(), "fall_ms": 1000,
				"fall_multiple": 3, "warm_up_ms": 8000,
			},
		},
	}
}

const (
	// ConnIdle is the time after which backends close an idle connection.
	ConnIdle = 10 * time.Second
	// DrainGrace is the grace of the settings, and DrainSlack what the protocol page adds.
	DrainGrace, DrainSlack = 500 * time.Millisecond, 50 * time.Millisecond
)

// Process is a process of the program.
type Process struct {
	Name  string
	run   *Run
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts the program as the platform does: with the deploy file's command, from the root. extra is passed on from
// descriptor 3.
func (r *Run) Start(name string, c *Config, env []string, extra ...*os.File) *Process {
	text, err := json.Marshal(c)
	r.Must(err)
	file := filepath.Join(r.Temp, name+".json")
	r.Must(os.WriteFile(file, text, 0o600))
	log, err := os.Create(filepath.Join(r.Temp, name+".log"))
	r.Must(err)
	command := os.Getenv("RUN")
	if c.OperatorFile != "" {
		command += " run -c " + c.OperatorFile
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = os.Getenv("ROOT")
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+file, "TMPDIR="+r.Temp)
	cmd.Env = append(cmd.Env, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = extra
	r.Must(cmd.Start())
	p := &Process{Name: name, run: r, cmd: cmd, ended: make(chan struct{})}
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.Note("process %s has ended: %v", name, err)
		close(p.ended)
	}()
	r.Note("process %s started", name)
	return p
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.run.Note("process %s gets %v", p.Name, s)
	p.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// WaitEnd waits for the end of the process and reports whether it came in time.
func (p *Process) WaitEnd(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	text, _ := os.ReadFile(filepath.Join(p.run.Temp, p.Name+".log"))
	return string(text)
}
