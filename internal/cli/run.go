package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"brasswell/internal/cluster"
	"brasswell/internal/cluster/agreement"
	"brasswell/internal/cluster/parts"
	"brasswell/internal/cluster/view"
	"brasswell/internal/config"
	"brasswell/internal/logging"
	"brasswell/internal/memory"
	"brasswell/internal/operator"
	"brasswell/internal/proxy"
	"brasswell/internal/recovery"
	"brasswell/internal/settings"
	"io"
	"time"
)

func (e *env) runVerb() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the proxy",
		Long: "Runs the proxy that RELAY_CONFIG describes (RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY override it at the\n" +
			"start). SIGHUP reads that file and the operator file again, each whole or not at all. SIGTERM ends the proxy\n" +
			"once what it has taken is answered.",
		Example: "  RELAY_CONFIG=config.json brasswell run -c deploy/operator.toml",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return e.run(c.Context(), file) },
	}
	c.Flags().StringVarP(&file, "config", "c", "", "the operator file; without it all is at its defaults")
	c.MarkFlagFilename("config", "toml")
	return c
}

// running is the proxies of one process.
type running struct {
	platform *config.Platform
	operator *config.Operator
	file     string // the operator file's, or ""
	getenv   func(string) string
	log      *logging.Log
	proxies  []*proxy.Proxy  // the first is the one that the platform knows
	fleet    *cluster.Node   // nil without [fleet]
	rules    *agreement.Node // nil without [rules]
	plan     memory.Plan     // of the memory limit
	files    int64           // bytes of the mapped files
}

func (e *env) run(ctx context.Context, file string) error {
	// From here on, for a signal that nobody waits for ends the process, and with it what stands in the listener's queue.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may end before this process
	defer signal.Reset(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	out := logging.NewAsync(e.errOut)
	defer out.Close(lastLinesTime)
	r, err := e.start(file, out)
	if err != nil {
		return err
	}
	var background sync.WaitGroup
	defer background.Wait()
	reloading, endReloading := context.WithCancel(ctx)
	defer endReloading()
	background.Go(func() { r.reloads(reloading, hangups) })
	r.log.Info("proxy started", "pid", os.Getpid(), "limits", r.platform.Limits, "go_limit_bytes", r.plan.GoLimit, "callers_bytes", r.plan.Account, "files_bytes", r.files)
	err = r.serve(ctx)
	r.log.Info("proxy ended", "told_to", ctx.Err() != nil, "error", err)
	r.closeFleet(true) // all that this process has taken is answered, so others may count it out
	if err != nil {
		return answerNo{err}
	}
	return nil
}

// lastLinesTime is how long the end of a process waits for the reader of its log.
const lastLinesTime = 50 * time.Millisecond

// start reads all configuration and opens every listener. The log is written to out.
func (e *env) start(file string, out io.Writer) (*running, error) {
	r := &running{file: file, getenv: e.getenv}
	var err error
	if r.operator, err = config.ReadOperator(file); err != nil {
		return nil, fmt.Errorf("operator file:\n%w", readable(file, err))
	}
	if r.platform, err = config.ReadPlatform(e.getenv); err != nil {
		return nil, err
	}
	c := r.platform
	r.files = memory.MappedFiles()
	r.plan = memory.Divide(int64(c.Limits.MemoryMB*(1<<20)), r.files)
	ownMemory := func(part float64) { debug.SetMemoryLimit(int64(part * float64(r.plan.GoLimit))) }
	ownMemory(1)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	r.log = logging.New(out, r.operator.Log)
	r.log.Logger = r.log.With("name", c.Name)
	slog.SetDefault(r.log.Logger) // for what net/http has to say too

	first, err := c.ProxyConfig(r.operator.Proxy, r.log.Logger)
	if err != nil {
		return nil, err
	}
	if c.SocketFD > 0 {
		first.Name, first.HandoverDir = c.Name, e.getenv("TMPDIR")
		first.OnMemoryShare = ownMemory
		first.Inherited = os.NewFile(uintptr(c.SocketFD), "RELAY_SOCKET_FD")
	}
	if r.operator.Fleet.Enabled {
		if r.fleet, err = r.join(c, first.HandoverDir != ""); err != nil {
			return nil, err
		}
		first.Fleet = r.fleet
	}
	if r.operator.Rules.Enabled {
		o := &r.operator.Fleet
		r.rules, err = agreement.Open(agreement.Config{
			Options: r.operator.Rules, Fleet: o.Name, Name: c.Name, InstanceID: rand.Uint64(), Seed: c.SeedNumber, Log: r.log.Logger,
		}, r.fleet.Endpoint(cluster.AgreementKind))
		if err != nil {
			r.fleet.Close(false)
			return nil, err
		}
		first.Rules = r.rules
		first.Fleet = place{r.fleet, r.rules}
	}
	if r.operator.Recovery.Enabled {
		first.Recovery = r.revive(c, first)
	}
	left := 1.0
	for _, l := range r.operator.Listeners {
		left -= l.Share
	}
	err = r.open(first, left)
	for _, l := range r.operator.Listeners {
		if err != nil {
			break
		}
		own := first
		own.Listen, own.Discovery, own.CachedList, own.Log = l.Listen, l.Discovery, nil, r.log.With("listener", l.Name)
		own.Inherited, own.Console, own.HandoverDir, own.OnMemoryShare, own.Fleet, own.Rules, own.Recovery = nil, "", "", nil, nil, nil, nil
		if l.Settings != "" {
			own.Settings, err = readSettings(l.Settings)
		}
		if err == nil {
			err = r.open(own, l.Share)
		}
		if err != nil {
			err = fmt.Errorf("listener %s: %w", l.Name, err)
		}
	}
	if err != nil {
		for _, p := range r.proxies {
			p.Close()
		}
		r.closeFleet(false)
		return nil, err
	}
	if r.fleet != nil {
		r.fleet.Follow(func(s view.Snapshot) {
			c := parts.CountMembers(&s)
			for _, p := range r.proxies {
				p.SetFleet(c)
			}
		})
	}
	return r, nil
}

// closeFleet ends this process's part in the fleet, and in what that agrees on.
func (r *running) closeFleet(leave bool) {
	if r.rules != nil {
		r.rules.Close(false)
	}
	if r.fleet != nil {
		r.fleet.Close(leave)
	}
}

// place is this process's place in the fleet, with its part in the agreement.
type place struct {
	*cluster.Node
	rules *agreement.Node
}

// HandOver lets go of both for another process of this proxy.
func (p place) HandOver() {
	p.rules.Close(true)
	p.Node.HandOver()
}

// join begins this process's part in the fleet. Where an upgrade may be under way, the process before it may still hold
// the place.
func (r *running) join(c *config.Platform, upgrade bool) (*cluster.Node, error) {
	if c.Name == "" {
		return nil, errors.New("[fleet]: a member needs a name; set RELAY_NAME, or name in the platform's file")
	}
	return cluster.Open(cluster.Config{
		Options: r.operator.Fleet, Name: c.Name, Seed: c.SeedNumber, InstanceID: rand.Uint64(), ReplacesProcess: upgrade, Log: r.log.Logger,
	})
}

// revive begins the way back of the proxy that the platform knows.
func (r *running) revive(c *config.Platform, first proxy.Config) *recovery.Node {
	var carrier cluster.Carrier
	if r.fleet != nil {
		carrier = r.fleet.Endpoint(cluster.RecoveryKind)
	}
	return recovery.Open(recovery.Config{
		Options: r.operator.Recovery, Name: c.Name, InstanceID: rand.Uint64(), Seed: c.SeedNumber, Instances: first.Settings.Balancer.Instances,
		UsesRules: r.rules != nil, Classes: first.Settings.Classes, Balancer: first.Settings.Balancer, Log: r.log.Logger,
	}, carrier)
}

func readSettings(path string) (*settings.Settings, error) {
	text, err := config.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := settings.Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// open adds one proxy with a share of the memory and the sockets.
func (r *running) open(c proxy.Config, share float64) error {
	c.Memory = int64(share * float64(c.Memory))
	c.Files = int64(share * float64(c.Files))
	c.Sockets = int(share * float64(c.Sockets))
	c.Seed += uint64(len(r.proxies))
	p, err := proxy.New(c)
	if err != nil {
		return err
	}
	r.proxies = append(r.proxies, p)
	return nil
}

// serve runs every proxy until ctx is done and all have ended. One that ends by itself ends the others.
func (r *running) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make([]error, len(r.proxies))
	var all sync.WaitGroup
	for i, p := range r.proxies {
		all.Go(func() {
			defer cancel()
			errs[i] = p.Serve(ctx)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// reloads answers each SIGHUP with a look at both files. One that cannot be read or makes no sense is logged, and
// all that it sets stays as it is.
func (r *running) reloads(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		r.reloadPlatform()
		if r.file != "" {
			r.reloadOperator()
		}
	}
}

func (r *running) reloadPlatform() {
	switch discovery, err := r.platform.Reload(r.getenv); {
	case err != nil:
		r.log.Error("reload: the new configuration is ignored", "error", err)
	case discovery == "":
		r.log.Info("reload: discovery stays where it is")
	default:
		r.log.Info("reload: discovery moves", "address", discovery)
		r.proxies[0].MoveDiscovery(discovery)
	}
}

// reloadOperator takes the new operator file whole, or not at all.
func (r *running) reloadOperator() {
	next, err := config.ReadOperator(r.file)
	var findings operator.Error
	switch {
	case errors.As(err, &findings):
		for _, f := range findings {
			r.log.Error("reload: operator file ignored, nothing has changed", "finding", f.String())
		}
		return
	case err != nil:
		r.log.Error("reload: operator file ignored, nothing has changed", "error", err)
		return
	}
	if fixed := operator.Fixed(r.operator.Values, next.Values); len(fixed) > 0 {
		r.log.Error("reload: operator file ignored, nothing has changed: these settings change only at a restart", "settings", fixed)
		return
	}
	r.operator = next
	r.log.SetOptions(next.Log)
	for _, p := range r.proxies {
		p.SetOptions(next.Proxy)
	}
	if r.fleet != nil {
		r.fleet.SetSeeds(next.Fleet.Seeds)
	}
	r.log.Info("reload: operator file taken", "settings", len(next.Values))
}
