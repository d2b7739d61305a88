package rig

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"brasswell/internal/rig/faults"
	"brasswell/internal/rig/history"
	"brasswell/internal/rig/story"
)

// Ask calls a member's console.
func (r *Rig) Ask(ctx context.Context, name, path string) (int, string, error) {
	m := r.byName[name]
	if m == nil {
		return 0, "", fmt.Errorf("rig: no member %q", name)
	}
	return m.process().get(ctx, path)
}

// Tell posts to a member's console.
func (r *Rig) Tell(ctx context.Context, name, path, body string) (int, string, error) {
	m := r.byName[name]
	if m == nil {
		return 0, "", fmt.Errorf("rig: no member %q", name)
	}
	return m.process().call(ctx, http.MethodPost, path, strings.NewReader(body))
}

// Sent is how many requests a stand-in backend has been sent by now.
func (r *Rig) Sent(backend string) int64 {
	for _, b := range r.fleet.Backends {
		if s := b.State(); s.ID == backend {
			return s.Arrived
		}
	}
	return 0
}

// Folder is a member's own folder.
func (r *Rig) Folder(name string) string { return r.byName[name].process().folder }

// Real is where a member's fleet messages are taken in; a stranger may send there, past the switchboard.
func (r *Rig) Real(name string) string { return r.byName[name].real }

// Address is where callers connect to a member.
func (r *Rig) Address(name string) string { return r.byName[name].address }

// Console is where operators ask a member.
func (r *Rig) Console(name string) string { return r.byName[name].process().console }

// Public is where others send a member's fleet messages: on the switchboard.
func (r *Rig) Public(name string) string { return r.byName[name].public }

// PID is the process id of a member; 0 while it is not there.
func (r *Rig) PID(name string) int { return r.byName[name].process().pid() }

// Boot is the boot by which one member knows another, from the history; 0 if it does not.
func (r *Rig) Boot(of, about string) (boot uint64) {
	for _, e := range r.Events() {
		if e.Who == of && e.What == history.MemberLine && e.Fields["member"] == about {
			boot, _ = strconv.ParseUint(e.Fields["boot"], 16, 64)
		}
	}
	return boot
}

// Signal sends a signal to a member's process, as an operator does.
func (r *Rig) Signal(name string, s syscall.Signal) error { return r.byName[name].process().signal(s) }

// Rewrite changes a member's operator file; a reload takes it in.
func (r *Rig) Rewrite(name string, change func(text string) string) error {
	path := filepath.Join(r.config.Folder, name, "operator.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return os.WriteFile(path, []byte(change(string(text))), 0o600)
}

// Banned tells the auditor that an operator has had the yes to a ban everywhere, or to its end: from here on what goes to that
// backend breaks a rule.
func (r *Rig) Banned(backend string, out bool) { r.fleet.Books.ByHand(backend, out) }

// LeaveOut has discovery leave backends off its list that are still there, until the function that it returns is called.
func (r *Rig) LeaveOut(backends ...string) (restore func()) {
	return r.fleet.Discovery.LeaveOut(backends...)
}

// Kill kills a member's process, as a story's kill does.
func (r *Rig) Kill(name string) error {
	return r.one(r.byName[name], story.Act{}, story.Event{Do: story.Kill})
}

// Restart starts a member's process that was killed; its own folder is emptied before, if it is lost.
func (r *Rig) Restart(name string, lost bool) error {
	e := story.Event{Do: story.Start}
	if lost {
		e.Folder = "lost"
	}
	return r.one(r.byName[name], story.Act{}, e)
}

// Pause stops a member's process until the function that it returns is called.
func (r *Rig) Pause(name string) (resume func() error, err error) {
	m := r.byName[name]
	err = r.one(m, story.Act{}, story.Event{Do: story.Pause})
	return func() error { return r.one(m, story.Act{End: true}, story.Event{Do: story.Pause}) }, err
}

// Cut lets nothing pass between members until the function that it returns is called.
func (r *Rig) Cut(who, with []string) (heal func()) {
	layer := r.board.Add(r.config.Story.Paths(story.Event{Do: story.Cut, Who: who, With: with}), faults.Condition{Cut: true})
	return func() { r.board.Remove(layer) }
}
