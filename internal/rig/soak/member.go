package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/internal/rig"
	"brasswell/internal/rig/loopback"
	"brasswell/internal/rig/slowclients"
	"brasswell/internal/rig/wallclock"
	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
)

const (
	proxyPort, consolePort = 17960, 17961
	// addressesOfDiscovery is how many addresses discovery has for each process; new configurations name them in turn.
	addressesOfDiscovery = 3
	// SIGKILL comes after a SIGTERM by the longest deadline and killSlack, as early as may be.
	killSlack = 700 * time.Millisecond
	// comingTime is for how long after a SIGTERM new connections go on coming.
	comingTime = 300 * time.Millisecond
	readyTime  = 10 * time.Second
)

// member is one process of the program with its files, its callers and its clock.
type member struct {
	name     string
	address  string
	platform string // its file
	text     map[string]any
	lists    []string // discovery's addresses
	at       int      // of lists
	process  *rig.Process
	callers  *standin.Callers
	clock    *wallclock.Clock // nil without
	longest  time.Duration    // deadline

	mu sync.Mutex // held while the process is ended and started again
}

// newMember writes a process's files.
func (r *run) newMember(number int) (*member, error) {
	m := &member{name: fmt.Sprintf("p%d", number)}
	folder := filepath.Join(r.folder, m.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	m.address = r.network.Address(number, proxyPort).String()
	console := r.network.Address(number, consolePort)
	if err := loopback.CheckFree([]netip.AddrPort{r.network.Address(number, proxyPort), console}); err != nil {
		return nil, err
	}
	m.callers = r.fleet.CallersOf(number, m.address)
	for range addressesOfDiscovery {
		list, err := r.fleet.Discovery.ServeProxy(m.callers.Name())
		if err != nil {
			return nil, err
		}
		m.lists = append(m.lists, list)
	}
	text, err := r.fleet.ConfigAt(number, r.plan.Processes, r.plan.memoryMB(), r.plan.Descriptors, standin.Place{
		Name: m.name, Listen: m.address, Console: console.String(), Discovery: m.lists[0], Told: func(h standin.Host) standin.Host { return h },
	})
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	if err := json.Unmarshal(text, &m.text); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	m.platform = filepath.Join(folder, "config.json")
	if err := m.write(); err != nil {
		return nil, err
	}
	operator := filepath.Join(folder, "operator.toml")
	if err := os.WriteFile(operator, []byte(rig.LogSection+"level = \"debug\"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	env := []string{"RELAY_CONFIG=" + m.platform}
	if r.library != nil {
		if m.clock, err = r.library.NewClock(filepath.Join(folder, "clock")); err != nil {
			return nil, err
		}
		env = append(env, m.clock.Env()...)
	}
	for _, c := range standin.Catalogue() {
		m.longest = max(m.longest, c.GiveUp)
	}
	m.process = rig.NewProcess(rig.ProcessConfig{
		Program: r.config.Program, Name: m.name, Folder: folder, Temporary: r.folder, Args: []string{"run", "-c", operator}, Env: env,
		Console: console.String(), Lines: r.line,
	})
	return m, nil
}

// write writes the platform's file, whole or not at all.
func (m *member) write() error {
	text, err := json.Marshal(m.text)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	next := m.platform + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return os.Rename(next, m.platform)
}

// reload gives the process a new configuration with another address of discovery; signalled is called once it has been told.
func (m *member) reload(signalled func(*member)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = (m.at + 1) % len(m.lists)
	m.text["discovery"] = m.lists[m.at]
	if err := m.write(); err != nil {
		return err
	}
	if err := m.process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	signalled(m)
	return nil
}

// restart asks the process to end, kills it as early as may be, and starts it again; it says how long the end took. Callers go on using their connections until the
// kill, and new ones go on coming for a while.
func (m *member) restart(ctx context.Context, known func(proxy string) (json.RawMessage, error)) (took time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	closed := time.AfterFunc(comingTime, func() { m.callers.NoNewConnections(true) })
	defer closed.Stop()
	told := time.Now()
	if err := m.process.End(m.longest + killSlack); err != nil {
		return 0, err
	}
	return time.Since(told), m.startAgain(ctx, known)
}

// kill kills the process, and starts it again a while later; what it had taken is excused.
func (m *member) kill(ctx context.Context, gone time.Duration, known func(proxy string) (json.RawMessage, error)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callers.Struck(true)
	if err := m.process.Kill(); err != nil {
		return err
	}
	sleep(ctx, gone)
	if err := m.startAgain(ctx, known); err != nil {
		return err
	}
	time.AfterFunc(m.longest+time.Second, func() { m.callers.Struck(false) })
	return nil
}

func (m *member) startAgain(ctx context.Context, known func(proxy string) (json.RawMessage, error)) error {
	list, err := known(m.callers.Name())
	if err != nil {
		return err
	}
	m.text["known"] = list
	if err := m.write(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := m.process.Start(ctx); err != nil {
		return err
	}
	m.callers.NoNewConnections(false)
	return nil
}

// takeDescriptors leaves the process none for a while.
func (m *member) takeDescriptors(ctx context.Context, d time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	pid := m.process.PID()
	if pid == 0 {
		return nil
	}
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		return fmt.Errorf("soak: %s: limit of descriptors: %w", m.name, err)
	}
	none := unix.Rlimit{Cur: 3, Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &none, nil); err != nil {
		return fmt.Errorf("soak: %s: limit of descriptors: %w", m.name, err)
	}
	sleep(ctx, d)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		return fmt.Errorf("soak: %s: limit of descriptors: %w", m.name, err)
	}
	return nil
}

// pause stops the process for a moment.
func (m *member) pause(ctx context.Context, d time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process.PID() == 0 {
		return nil
	}
	if err := m.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleep(ctx, d)
	return m.process.Signal(syscall.SIGCONT)
}

// halfRequests has callers send half a request and stay until ctx is done or they are ended.
func (m *member) halfRequests(ctx context.Context, many int) {
	m.connect(ctx, many, "POST /api/item HTTP/1.1\r\nHost: backend.local\r\nX-Txn: half\r\nContent-Le", 6*time.Second)
}

// slowClients has clients write slowly or stop within a request, again and again for a while.
func (m *member) slowClients(ctx context.Context, seed uint64, many int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	target := slowclients.Target{Address: m.address, Wait: m.longest}
	for _, c := range standin.Catalogue() {
		switch c.Effect {
		case audit.Safe:
			target.GetClass = c.Name
		case audit.Keyed:
			target.KeyedClass = c.Name
		}
	}
	slowclients.NewCrowd(target, seed).Run(ctx, many, slowclients.IncompleteKinds())
}

// idle has callers connect and say nothing for a while.
func (m *member) idle(ctx context.Context, many int, d time.Duration) { m.connect(ctx, many, "", d) }

func (m *member) connect(ctx context.Context, many int, text string, d time.Duration) {
	var conns []net.Conn
	for range many {
		c, err := net.DialTimeout("tcp", m.address, time.Second)
		if err != nil {
			break
		}
		c.Write([]byte(text))
		conns = append(conns, c)
	}
	sleep(ctx, d)
	for _, c := range conns {
		c.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
