package rig

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"brasswell/internal/rig/loopback"
	"brasswell/internal/rig/story"
	"brasswell/internal/standin"
)

// settle draws networks until the members can be placed in one.
func (r *Rig) settle(draw func() network) error {
	return loopback.UntilFree(func() error {
		err := r.place(draw())
		if err != nil {
			r.board.Close()
			r.letGo()
			r.board = NewSwitchboard(r.config.Story.Seed)
		}
		return err
	})
}

// letGo closes the sockets that are held in the platform's stead.
func (r *Rig) letGo() {
	for _, m := range r.members {
		if held := m.process().held; held != nil {
			held.Close()
		}
	}
}

// network is that of a rig's members; their public addresses have the next third byte.
type network struct{ loopback.Network }

// drawNetwork is one that another rig may have by a rare chance, which place finds.
func drawNetwork() network {
	return network{loopback.Network{Second: loopback.Rigs.Draw(), Third: byte(2 * rand.IntN(125))}}
}

// public is where others send a member's fleet messages.
func (n network) public(member int) netip.AddrPort {
	return loopback.Network{Second: n.Second, Third: n.Third + 1}.Address(member, fleetPort)
}

// checkFree says whether a member can listen at all of its addresses.
func (n network) checkFree(member int) error {
	var addresses []netip.AddrPort
	for _, port := range []uint16{fleetPort, consolePort, proxyPort, oddConsolePort, evenConsolePort} {
		addresses = append(addresses, n.Address(member, port))
	}
	if err := loopback.CheckFree(addresses); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// place gives the members their addresses in a network, and writes their files. The switchboard holds all public addresses from then on,
// so that no other rig takes the network; the members' own are looked at after that.
func (r *Rig) place(n network) error {
	if r.config.Story.Members > mostMembers {
		return fmt.Errorf("rig: %d members; %d processes at most", r.config.Story.Members, mostMembers)
	}
	r.members, r.byName = nil, map[string]*member{}
	for i, name := range r.config.Story.Names() {
		m, err := r.placeMember(n, i, name)
		if err != nil {
			return err
		}
		r.members = append(r.members, m)
		r.byName[name] = m
	}
	return nil
}

// placeMember gives one member its addresses, and writes its files.
func (r *Rig) placeMember(n network, i int, name string) (*member, error) {
	real, public := n.Address(i, fleetPort), n.public(i)
	if err := r.board.Member(name, public, real); err != nil {
		return nil, err
	}
	if err := n.checkFree(i); err != nil {
		return nil, err
	}
	folder := filepath.Join(r.config.Folder, name)
	operatorFile, platformFile := filepath.Join(folder, "operator.toml"), filepath.Join(folder, "config.json")
	own := filepath.Join(folder, "own")
	if err := os.MkdirAll(own, 0o700); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	m := &member{name: name, address: n.Address(i, proxyPort).String(), real: real.String(), public: public.String()}
	m.at = &process{
		program: r.config.Program, name: name, folder: own, console: n.Address(i, consolePort).String(), lines: r.line,
		temporary: r.temporary, args: []string{"run", "-c", operatorFile}, env: []string{"RELAY_CONFIG=" + platformFile},
	}
	if err := r.writePlatformFile(i, m, platformFile); err != nil {
		return nil, err
	}
	if err := os.WriteFile(operatorFile, []byte(r.operatorText(n, m)), 0o600); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	if r.config.Story.Upgrades(name) {
		if err := m.hold(); err != nil {
			return nil, err
		}
	}
	m.callers = r.fleet.CallersOf(i, m.address)
	return m, nil
}

// operatorText is a member's operator file.
func (r *Rig) operatorText(n network, m *member) string {
	own := m.at.folder
	text := LogSection
	if r.config.Story.Changes > 0 {
		text += "level = \"debug\"\n" // each act, and on what it rested
	}
	text += r.config.Settings
	if !r.config.Off {
		text += FleetSection("rig", m.real, m.public, time.Duration(r.config.Story.Period), own, r.seedsOf(n, m))
	}
	if r.config.Story.Keepers > 0 {
		withoutLease := "serve"
		if r.config.Refuse {
			withoutLease = "refuse"
		}
		text += RulesSection(r.config.Story.Names()[:r.config.Story.Keepers], own, withoutLease)
	}
	if r.config.Story.Recover {
		text += fmt.Sprintf("\n[recovery]\nfolder = %q\nevery = \"1s\"\nyoung = %q\n", own, youngTime)
	}
	return text
}

// seedsOf are the addresses that a member asks first.
func (r *Rig) seedsOf(n network, m *member) []string {
	var seeds []string
	for _, seed := range r.config.Seeds {
		seeds = append(seeds, strings.ReplaceAll(seed, "%s", m.public))
	}
	if r.config.Seeds != nil {
		return seeds
	}
	for i := range min(mostSeeds, r.config.Story.Members) {
		seeds = append(seeds, n.public(i).String())
	}
	return seeds
}

// writePlatformFile writes a member's file for the platform, in which discovery and every backend are behind the switchboard.
func (r *Rig) writePlatformFile(i int, m *member, path string) error {
	behind := map[string]string{} // the tunnel to each backend, by its id
	for _, b := range r.fleet.Backends {
		id := b.State().ID
		at, err := r.board.Tunnel(m.name, id, r.fleet.Origins, b.Address)
		if err != nil {
			return err
		}
		behind[id] = at
	}
	told := func(h standin.Host) standin.Host { h.Dial = behind[h.Host]; return h }
	list, err := r.fleet.Discovery.ServeAs(told)
	if err != nil {
		return err
	}
	discovery, err := r.board.Tunnel(m.name, story.Discovery, nil, func() string { return list })
	if err != nil {
		return err
	}
	text, err := r.fleet.ConfigAt(i, r.config.Story.Members, memoryMB, sockets, standin.Place{
		Name: cmp.Or(r.config.Names[m.name], m.name), Listen: m.address, Console: m.at.console, Discovery: discovery, Told: told,
	})
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}
