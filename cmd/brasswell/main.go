// Command brasswell is one real proxy: it takes callers' requests and sends them to the backends that its
// balancer picks.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"brasswell/internal/proxy"
	"brasswell/internal/settings"
)

// heapShare of the memory limit is where the collector stops saving work: what sockets hold in the kernel,
// thread stacks and the program itself need the rest.
const heapShare = 0.75

func main() {
	if err := run(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, "brasswell:", err)
		os.Exit(1)
	}
}

func run(getenv func(string) string) error {
	// From here on, for a SIGHUP that nobody waits for ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)

	c, err := readConfig(getenv)
	if err != nil {
		return err
	}
	memory := int64(c.Limits.MemoryMB * (1 << 20))
	debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))

	log := slog.New(newLimitedHandler(slog.NewTextHandler(os.Stderr, nil))).With("name", c.Name)
	slog.SetDefault(log) // for what net/http has to say too

	s, err := settings.Read(c.Settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	p, err := proxy.New(proxy.Config{
		Listen: c.Listen, Discovery: c.Discovery, Seed: c.seed, Settings: s, Known: c.Known,
		Memory: memory, Sockets: c.Limits.Sockets, Options: proxy.DefaultOptions(), Log: log,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloads(ctx, hangups, log, func() (string, error) { return c.reload(getenv) }, p.MoveDiscovery)
	return p.Serve(ctx)
}

// reloads answers each SIGHUP with a look at the configuration's file. One that cannot be read or makes no sense
// is logged, and all stays as it is.
func reloads(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger, reload func() (string, error), move func(string)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		switch discovery, err := reload(); {
		case err != nil:
			log.Error("reload: the new configuration is ignored", "error", err)
		case discovery == "":
			log.Info("reload: discovery stays where it is")
		default:
			log.Info("reload: discovery moves", "address", discovery)
			move(discovery)
		}
	}
}
