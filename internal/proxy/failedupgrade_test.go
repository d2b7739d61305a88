package proxy

import (
	"slices"
	"testing"

	"brasswell/internal/handover"
)

// kill ends a process without a planned shutdown.
func (s *process) kill() {
	s.t.Helper()
	s.Proxy.Close()
	await(s.t, "the end of the killed process", s.done) // with an error: it was not shut down
	s.done = nil
	s.term()
}

// call makes a console call that must succeed.
func (s *process) call(method, path string) {
	s.t.Helper()
	if status, text := s.console(method, path); status != 200 {
		s.t.Fatalf("%s: %d %s", path, status, text)
	}
}

func (s *process) checkBanned(name string, want ...string) {
	s.t.Helper()
	if got := s.host.Banned(); !slices.Equal(got, want) {
		s.t.Errorf("%s: %q are banned, want %q", name, got, want)
	}
}

// newIdlePlatform returns a platform whose backends nobody sends to.
func newIdlePlatform(t *testing.T) *platform {
	return newPlatform(t, entry("s1", "127.0.0.1:1", "up"), entry("s2", "127.0.0.1:2", "up"), entry("s3", "127.0.0.1:3", "up"))
}

// TestBanOutlastsAnUpgradeThatFailed guards against a ban that is lost: the new process of an upgrade is killed, the old
// one serves on, and the new process of the next upgrade must find it.
func TestBanOutlastsAnUpgradeThatFailed(t *testing.T) {
	p := newIdlePlatform(t)
	old := p.start()
	old.call("POST", "/v1/backends/s1/suspend")
	for range 3 {
		p.start().kill()
	}
	old.call("POST", "/v1/backends/s2/suspend")
	p.start().kill() // the next one follows at once, as early as possible
	next := p.start()
	next.checkBanned("the next process", "s1", "s2")
	next.call("POST", "/v1/backends/s3/suspend")
	old.checkBanned("the old process", "s1", "s2", "s3")
	old.stop()
	last := p.start()
	last.checkBanned("the last process", "s1", "s2", "s3")
	next.stop()
}

// TestHungNewProcessHidesNoState guards against a ban that is lost: a new process hangs before it serves clients, and the
// platform starts another one.
func TestHungNewProcessHidesNoState(t *testing.T) {
	p := newIdlePlatform(t)
	old := p.start()
	old.call("POST", "/v1/backends/s1/suspend")
	hung, _, err := handover.Connect(p.folder, "n1")
	if err != nil || hung == nil {
		t.Fatalf("%v, %v", hung, err)
	}
	defer hung.Close()
	next := p.start()
	next.checkBanned("the next process", "s1")
	hung.Close()
	next.call("POST", "/v1/backends/s2/suspend")
	old.checkBanned("the old process", "s1", "s2")
	if !old.upgrade.handOff() {
		t.Error("the old process takes the end of the hung one for that of its successor")
	}
}

// TestBanReachesAllProcessesOfOverlappingUpgrades guards against a ban that one of three processes does not hear of: only
// the second one is connected to both others.
func TestBanReachesAllProcessesOfOverlappingUpgrades(t *testing.T) {
	p := newIdlePlatform(t)
	all := []*process{p.start(), p.start(), p.start()}
	for n, name := range []string{"s1", "s2", "s3"} {
		all[n].call("POST", "/v1/backends/"+name+"/suspend")
	}
	for _, s := range all {
		s.checkBanned("a process", "s1", "s2", "s3")
	}
	all[1].call("POST", "/v1/backends/s2/resume")
	for _, s := range all {
		s.checkBanned("a process after the resume", "s1", "s3")
	}
}
