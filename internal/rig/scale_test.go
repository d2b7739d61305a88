package rig_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"brasswell/internal/rig/scale"
	"brasswell/internal/rig/scale/result"
)

// TestScaleShortForm plays two events of a scale run with few members, and looks at counts, not times.
func TestScaleShortForm(t *testing.T) {
	t.Parallel()
	for _, event := range []scale.Event{scale.Change, scale.Machine} {
		t.Run(string(event), func(t *testing.T) {
			t.Parallel()
			c := scale.DefaultConfig()
			c.Members, c.Event, c.Length, c.Numbers = 60, event, 4*time.Second, false
			c.Period = 500 * time.Millisecond // on a machine that is busy with other tests nobody is to be held dead
			c.Lease = 3 * time.Second
			c.Bans, c.Classes = 4, 2
			c.Program, c.Folder = program.Path, t.TempDir()
			run, err := scale.Run(t.Context(), c)
			if err != nil {
				t.Fatal(err)
			}
			checkScaleRun(t, run, event)
		})
	}
}

// checkScaleRun looks for all that must be so where nothing is lost but what the event kills.
func checkScaleRun(t *testing.T, run *result.Run, event scale.Event) {
	t.Helper()
	living, phases := run.Settings.Members, 3
	if event == scale.Machine {
		living, phases = living-5, 1
	}
	if run.Interrupted || len(run.Trouble) > 0 {
		t.Errorf("interrupted %v, trouble %q", run.Interrupted, run.Trouble)
	}
	if len(run.Changes) != phases {
		t.Errorf("%d phases: %+v", len(run.Changes), run.Changes)
	}
	for _, p := range run.Changes {
		if p.Proposed == 0 || p.Agreed != p.Proposed || p.Never != 0 || p.InForceS.Count != p.Agreed {
			t.Errorf("%s: %d proposed, %d agreed, %d never in force, %d in force everywhere", p.Name, p.Proposed, p.Agreed, p.Never, p.InForceS.Count)
		}
	}
	if v := run.Views; v.FalseDeaths != 0 || v.Wrong != 0 || v.RightS == nil {
		t.Errorf("views: %d false deaths, %d wrong at the end, right after %v", v.FalseDeaths, v.Wrong, v.RightS)
	}
	if l := run.Leases; l.Members != living || l.Held != living || l.AllAfterS == nil {
		t.Errorf("leases: %d of %d held at the end, and %d should live; all held after %v", l.Held, l.Members, living, l.AllAfterS)
	}
	if c := run.HostCost; c == nil || c.OneMember.CPU <= 0 || c.OneMember.Memory <= 0 {
		t.Errorf("a host with one member: %+v", c)
	}
	if hollow := run.Roles[0]; hollow.Role != result.Member || hollow.Processes != 1 || hollow.CPU.Count != 1 || hollow.Members != living-scale.Voters {
		t.Errorf("hollow members, whose host with one is not in their processes: %+v", hollow)
	}
	if len(run.Roles) != 3 || run.Settings.Bans != 4 || run.Settings.Classes != 2 {
		t.Errorf("roles %+v, settings %+v", run.Roles, run.Settings)
	}
}

// children are the processes that a process has started, by their ids.
func children(t *testing.T, parent int) []int {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	var found []int
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		var state string
		var of int
		_, rest, _ := strings.Cut(string(text), ") ")
		if _, err := fmt.Sscan(rest, &state, &of); err == nil && of == parent {
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
			found = append(found, pid)
		}
	}
	return found
}

// TestScaleInterrupted: a run that is interrupted prints what it had, and leaves no process, folder or file behind.
func TestScaleInterrupted(t *testing.T) {
	t.Parallel()
	folder, out := t.TempDir(), filepath.Join(t.TempDir(), "run.json")
	cmd := exec.Command(program.Path, "scale", "--members", "12", "--event", "rest", "--length", "10m", "--lease", "3s", "--bans", "2", "--classes", "1",
		"--numbers=false", "--format", "json", "--folder", folder, "--out", out)
	var printed bytes.Buffer
	cmd.Stdout = &printed
	lines, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	said := bufio.NewScanner(lines)
	for said.Scan() && !strings.Contains(said.Text(), "measuring") {
	}
	hosts := children(t, cmd.Process.Pid)
	if len(hosts) != scale.Voters+2 { // the shared host, and that of one member
		t.Errorf("%d processes", len(hosts))
	}
	cmd.Process.Signal(os.Interrupt)
	for said.Scan() {
	}
	var ended *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &ended) || ended.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
	run, err := result.Read(&printed)
	if err != nil {
		t.Fatal(err)
	}
	if !run.Interrupted || run.Settings.Members != 12 || run.Settings.Bans != 2 || run.Leases.AllAfterS == nil || len(run.Roles) == 0 {
		t.Errorf("%+v", run)
	}
	for _, pid := range hosts {
		if _, err := os.Stat(fmt.Sprintf("/proc/%d", pid)); err == nil {
			t.Errorf("process %d is left", pid)
		}
	}
	if left, _ := os.ReadDir(folder); len(left) > 0 {
		t.Errorf("left %v", left)
	}
	file, err := os.Open(out)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if same, err := result.Read(file); err != nil || !reflect.DeepEqual(same, run) {
		t.Errorf("the file holds %+v, %v", same, err)
	}
	if left, _ := os.ReadDir(filepath.Dir(out)); len(left) != 1 {
		t.Errorf("beside the file: %v", left)
	}
}

// TestScaleHostEndsWithItsParent: a host ends once nobody asks it any more.
func TestScaleHostEndsWithItsParent(t *testing.T) {
	t.Parallel()
	cmd := exec.Command(program.Path, scale.HostVerb)
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	in.Close()
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}
