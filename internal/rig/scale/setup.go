package scale

import (
	"errors"
	"fmt"
	"os"

	"brasswell/internal/cluster/rules"
	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/loopback"
)

// prepare checks the machine's bounds, and places the members.
func (r *run) prepare() error {
	c := &r.config
	var err error
	if r.memory, err = machineMemory(); err != nil {
		return err
	}
	if err := errors.Join(checkMemory(c.Members, r.memory), checkDescriptors(r.perHost())); err != nil {
		return err
	}
	parent := c.Folder
	if parent != "" {
		if err := os.MkdirAll(parent, 0o700); err != nil {
			return fmt.Errorf("scale: --folder: %w", err)
		}
	}
	if err := r.place(); err != nil {
		return err
	}
	if r.folder, err = os.MkdirTemp(parent, "brasswell-scale-"); err != nil {
		r.claim.Release()
		return fmt.Errorf("scale: the voters' folders: %w; give another --folder", err)
	}
	return nil
}

// place finds addresses that are free, and holds them for this run.
func (r *run) place() error {
	if base := r.config.Base; base != 0 {
		return r.placeAt(base)
	}
	return loopback.UntilFree(func() error { return r.placeAt(drawBase(r.config.Zones)) })
}

func (r *run) placeAt(base int) error {
	r.plan = newPlan(&r.config, base, r.random)
	held, err := claim(r.plan.layout)
	if err != nil {
		return err
	}
	if err := free(r.plan.addresses()); err != nil {
		return errors.Join(err, held.Release())
	}
	r.claim = held
	return nil
}

// sharedHosts is how many processes the hollow members share; the solo member's is not counted.
func (r *run) sharedHosts() int {
	most := mostProcesses - Voters - r.config.Real - 1
	return min((r.config.shared()+perHost-1)/perHost, most)
}

// perHost is how many hollow members a process has at most.
func (r *run) perHost() int { return (r.config.shared() + r.sharedHosts() - 1) / r.sharedHosts() }

// openHosts starts the processes, without members.
func (r *run) openHosts() error {
	fleet := hollow.Fleet{
		Name: fleetName, Layout: r.plan.layout, Seeds: r.plan.seeds(), Voters: r.plan.voterNames(), Lease: r.config.Lease,
		Period: r.config.Period, Numbers: r.numbers(), Seed: r.config.Seed,
	}
	if err := r.startHosts(); err != nil {
		return err
	}
	r.observers = hollow.NewHost(fleet)
	for _, h := range r.hosts {
		if _, err := h.call(r.ctx, hollow.Request{Configure: &fleet}); err != nil {
			return err
		}
	}
	return nil
}

// startHosts starts the processes and tells which members each hosts: a voter each, then the shared ones, then the solo member's.
func (r *run) startHosts() error {
	for _, m := range r.plan.members[:Voters] {
		host, err := r.startHost("voter " + m.name)
		if err != nil {
			return err
		}
		m.host = host
	}
	for i := range r.sharedHosts() {
		if _, err := r.startHost(fmt.Sprintf("host %d", i+1)); err != nil {
			return err
		}
	}
	for i, m := range r.plan.sharedMembers() {
		m.host = r.hosts[Voters+i%r.sharedHosts()]
	}
	solo := r.plan.solo
	if solo == nil {
		return nil
	}
	host, err := r.startHost("host of " + solo.name + " alone")
	solo.host = host
	return err
}

// startHost starts one process.
func (r *run) startHost(name string) (*host, error) {
	h, err := startHost(r.config.Program, name)
	if err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	return h, nil
}

// numbers says whether the leader deals out the members' own numbers, which it does only to so many.
func (r *run) numbers() bool { return r.config.Numbers && r.config.Members <= rules.MaxMembers }
