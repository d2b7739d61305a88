package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Build builds the program into a folder, as for a deployment.
func Build(folder string) (Program, error) {
	program := Program{Path: filepath.Join(folder, "brasswell")}
	build := exec.Command("go", "build", "-trimpath", "-ldflags=-linkmode=external", "-o", program.Path, "brasswell/cmd/brasswell")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		return Program{}, fmt.Errorf("build of the program: %w: %s", err, out)
	}
	return program, nil
}
