package bench

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// TestDeployedProgramIsLinkedDynamically builds by the deploy file's own line. The operators' bench loads a library into
// the process to lead its clocks and sockets, which a static program would not see.
func TestDeployedProgramIsLinkedDynamically(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if words := strings.Fields(deploy.Run); len(words) != 2 || words[0] != "exec" {
		t.Errorf("run = %q: it has to end by exec in one process, with nothing switched on by flags", deploy.Run)
	}
	out := filepath.Join(t.TempDir(), "bin")
	if !strings.Contains(deploy.Build, "mkdir -p bin") || !strings.Contains(deploy.Build, "-o bin/") {
		t.Fatalf("build = %q: this test knows how to lead only `mkdir -p bin` and `-o bin/` elsewhere", deploy.Build)
	}
	line := strings.NewReplacer("mkdir -p bin", "mkdir -p "+out, "-o bin/", "-o "+out+"/").Replace(deploy.Build)
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = ".."
	if said, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", line, err, said)
	}
	f, err := elf.Open(filepath.Join(out, "brasswell"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no interpreter, so nothing can be loaded into it")
	}
	libraries, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("linked against %q, not the C library", libraries)
	}
}
