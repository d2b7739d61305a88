// Package config reads what a proxy is told: the platform's JSON with its environment variables, and the operator
// file.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"

	"brasswell/internal/memory"
	"brasswell/internal/proxy"
	"brasswell/internal/settings"
)

// Platform is what a proxy is told: the file that RELAY_CONFIG names, with the other variables over it.
type Platform struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Console  string          `json:"console"` // where operators call; "" for nowhere
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	SeedNumber    uint64 `json:"-"` // Seed, read
	SocketFD      int    `json:"-"` // the descriptor of the platform's listening socket; 0 if it holds none
	fileDiscovery string // discovery as the file names it
}

// Reload reads the file again and returns where discovery is now, or "" if the file names no other place than it
// did. The variables no longer count: they are from before the file was replaced. All else in the file holds
// from the next start on.
func (c *Platform) Reload(getenv func(string) string) (string, error) {
	next, err := readFile(getenv)
	if err != nil {
		return "", err
	}
	if _, _, err := net.SplitHostPort(next.Discovery); err != nil {
		return "", fmt.Errorf("discovery: %q: %w", next.Discovery, err)
	}
	if next.Discovery == c.fileDiscovery {
		return "", nil
	}
	c.fileDiscovery = next.Discovery
	return next.Discovery, nil
}

// Figures for a limit that the configuration does not state.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// readFile reads the file that RELAY_CONFIG names.
func readFile(getenv func(string) string) (*Platform, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	return parsePlatform(text)
}

// parsePlatform takes the JSON text apart.
func parsePlatform(text []byte) (*Platform, error) {
	c := &Platform{}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = defaultCores, defaultMemoryMB, defaultSockets
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	c.fileDiscovery = c.Discovery
	return c, nil
}

// ReadPlatform reads the file and the variables, and names the variable or field of whatever it cannot
// take.
func ReadPlatform(getenv func(string) string) (*Platform, error) {
	c, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	for name, field := range map[string]*string{
		"RELAY_NAME": &c.Name, "RELAY_LISTEN": &c.Listen, "RELAY_DISCOVERY": &c.Discovery,
		"RELAY_CONSOLE": &c.Console,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if v := getenv("RELAY_SOCKET_FD"); v != "" {
		if c.SocketFD, err = strconv.Atoi(v); err != nil || c.SocketFD < 3 {
			return nil, fmt.Errorf("RELAY_SOCKET_FD: %q is no descriptor that a program inherits", v)
		}
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// ParsePlatform reads a file's text as a proxy would at its start, with no variables over it.
func ParsePlatform(text []byte) (*Platform, error) {
	c, err := parsePlatform(text)
	if err != nil {
		return nil, err
	}
	return c, c.validate()
}

// CheckPlatform returns the first thing that is wrong with a file's text.
func CheckPlatform(text []byte) error {
	c, err := ParsePlatform(text)
	if err != nil {
		return err
	}
	p, err := c.ProxyConfig(proxy.DefaultOptions(), nil)
	if err != nil {
		return err
	}
	return p.Settings.Balancer.Validate()
}

// ProxyConfig is that of the proxy which the file describes, with all of the memory and the sockets.
func (c *Platform) ProxyConfig(o proxy.Options, log *slog.Logger) (proxy.Config, error) {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return proxy.Config{}, fmt.Errorf("settings: %w", err)
	}
	return proxy.Config{
		Listen: c.Listen, Console: c.Console, Discovery: c.Discovery, Seed: c.SeedNumber, Settings: s, CachedList: c.Known,
		Memory: int64(c.Limits.MemoryMB * (1 << 20)), Files: memory.MappedFiles(), Sockets: c.Limits.Sockets, Options: o, Log: log,
	}, nil
}

// NewProxy opens the proxy that a file's text describes, at the default options. It must be served or closed.
func NewProxy(text []byte, log *slog.Logger) (*proxy.Proxy, error) {
	platform, err := ParsePlatform(text)
	if err != nil {
		return nil, err
	}
	c, err := platform.ProxyConfig(proxy.DefaultOptions(), log)
	if err != nil {
		return nil, err
	}
	return proxy.New(c)
}

func (c *Platform) validate() (err error) {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("RELAY_LISTEN: %q: %w", c.Listen, err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("RELAY_DISCOVERY: %q: %w", c.Discovery, err)
	}
	if _, _, err := net.SplitHostPort(c.Console); c.Console != "" && err != nil {
		return fmt.Errorf("RELAY_CONSOLE: %q: %w", c.Console, err)
	}
	if c.SeedNumber, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	switch {
	case len(c.Settings) == 0:
		return errors.New("settings: missing")
	case c.Limits.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case c.Limits.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb: %v is below %d", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.MemoryMB > mostMemoryMB:
		return fmt.Errorf("limits.memory_mb: %v is over %d", c.Limits.MemoryMB, mostMemoryMB)
	case c.Limits.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is below %d", c.Limits.Sockets, minSockets)
	}
	return nil
}

// Below these no useful proxy fits.
const (
	minMemoryMB = 32
	minSockets  = 64
	// mostMemoryMB keeps the figure in bytes within 63 bits.
	mostMemoryMB = 1 << 30
)
