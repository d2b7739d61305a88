package rig

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"brasswell/internal/rig/procfs"
)

// Server is one process of the program that serves alone, without a story, for measurements.
type Server struct{ at *process }

// StartServer starts `brasswell run` with a platform file, which names the console, and returns once it takes clients. Its files are
// kept in the folder, which must be its own.
func StartServer(ctx context.Context, program Program, name, folder, console string, platform []byte) (*Server, error) {
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, platform, 0o600); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	s := &Server{&process{
		program: program, name: name, folder: folder, temporary: folder, console: console, lines: func(_, _ string) {},
		args: []string{"run"}, env: []string{"RELAY_CONFIG=" + path},
	}}
	if err := s.at.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := s.at.ready(ctx); err != nil {
		s.at.kill()
		return nil, err
	}
	return s, nil
}

// Close ends the process at once.
func (s *Server) Close() error { return s.at.kill() }

// ProcessorTime is what the process has used so far.
func (s *Server) ProcessorTime() (time.Duration, error) { return procfs.ProcessorTime(s.at.pid()) }

// ResidentMemory is what the process holds in memory, in bytes.
func (s *Server) ResidentMemory() uint64 { return procfs.ResidentMemory(s.at.pid()) }

// Figure is one figure of the process's console, by its name there.
func (s *Server) Figure(ctx context.Context, name string) (int64, error) {
	code, text, err := s.at.get(ctx, "/v1/metrics")
	if err != nil {
		return 0, fmt.Errorf("rig: %s: %w", s.at.name, err)
	}
	if code != http.StatusOK {
		return 0, fmt.Errorf("rig: %s: metrics: status %d", s.at.name, code)
	}
	for line := range strings.Lines(text) {
		if rest, found := strings.CutPrefix(line, name+":"); found {
			value, _, _ := strings.Cut(rest, "|")
			return strconv.ParseInt(value, 10, 64)
		}
	}
	return 0, fmt.Errorf("rig: %s: no figure %s", s.at.name, name)
}
