package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
)

// config is what a proxy is told: the file that RELAY_CONFIG names, with the other variables over it.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	seed uint64
}

// Figures for a limit that the configuration does not state.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// readConfig names the variable or field of whatever it cannot take.
func readConfig(getenv func(string) string) (*config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	c := &config{}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = defaultCores, defaultMemoryMB, defaultSockets
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	for name, field := range map[string]*string{
		"RELAY_NAME": &c.Name, "RELAY_LISTEN": &c.Listen, "RELAY_DISCOVERY": &c.Discovery,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("RELAY_LISTEN: %q: %w", c.Listen, err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("RELAY_DISCOVERY: %q: %w", c.Discovery, err)
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	switch {
	case len(c.Settings) == 0:
		return nil, errors.New("settings: missing")
	case c.Limits.Cores <= 0:
		return nil, fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case c.Limits.MemoryMB < minMemoryMB:
		return nil, fmt.Errorf("limits.memory_mb: %v is below %d", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets: %d is below %d", c.Limits.Sockets, minSockets)
	}
	return c, nil
}

// Below these no useful proxy fits.
const (
	minMemoryMB = 32
	minSockets  = 64
)
