package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"brasswell/internal/cluster"
	"brasswell/internal/rig"
	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/procfs"
	"brasswell/internal/rig/scale/result"
	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
)

const (
	// consolePort and proxyPort are a real proxy's beside hollow.Port, on the same address.
	consolePort, proxyPort = hollow.Port + 1, hollow.Port + 2
	// realLoad is what callers ask of each real proxy, in requests a second.
	realLoad = 100
	// realBackends serve all real proxies.
	realBackends = 8
	// realMemoryMB and realSockets are the limits that the platform's file gives a real proxy.
	realMemoryMB, realSockets = 256, 2048
	// realStartTime bounds the start of all real proxies, and realEndTime the end of each.
	realStartTime, realEndTime = 60 * time.Second, 6 * time.Second
)

// service is the run's real proxies, with stand-ins for backends, discovery and callers round them.
type service struct {
	fleet     *standin.Fleet
	proxies   []*rig.Process
	callers   []*standin.Callers
	temporary string // where processes of one proxy look for each other; a socket's path has to be short
	unload    context.CancelFunc
	loading   sync.WaitGroup
}

// openService starts the real proxies, and returns once they take clients.
func (r *run) openService(ctx context.Context, members []*memberPlan) (err error) {
	s := &service{unload: func() {}}
	r.service = s
	if s.temporary, err = os.MkdirTemp("", "scale"); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	books := audit.DefaultRules()
	books.Slack, books.AnswerSlack = 250*time.Millisecond, 500*time.Millisecond
	if s.fleet, err = standin.NewFleet(standin.FleetConfig{Seed: r.config.Seed, Backends: realBackends, Rules: books}); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, realStartTime)
	defer cancel()
	for i, m := range members {
		p, err := r.newProxy(i, m)
		if err != nil {
			return err
		}
		s.proxies = append(s.proxies, p)
		s.callers = append(s.callers, s.fleet.CallersOf(i, portOf(m.address, proxyPort)))
	}
	for _, p := range s.proxies {
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func portOf(at netip.AddrPort, port uint16) string {
	return netip.AddrPortFrom(at.Addr(), port).String()
}

// newProxy writes a real proxy's files.
func (r *run) newProxy(number int, m *memberPlan) (*rig.Process, error) {
	folder := filepath.Join(r.folder, m.name)
	own := filepath.Join(folder, "own")
	if err := os.MkdirAll(own, 0o700); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	platform, operator := filepath.Join(folder, "config.json"), filepath.Join(folder, "operator.toml")
	if err := r.writePlatformFile(platform, number, m); err != nil {
		return nil, err
	}
	text := rig.LogSection + rig.FleetSection(fleetName, m.address.String(), "", r.config.Period, own, r.plan.seeds()) +
		rig.RulesSection(r.plan.voterNames(), own, "serve") + fmt.Sprintf("lease = %q\nnumbers = %v\n", r.config.Lease, r.numbers())
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	observe := r.observers.Observe(m.spec(""))
	return rig.NewProcess(rig.ProcessConfig{
		Program: rig.Program{Path: r.config.Program}, Name: m.name, Folder: own, Temporary: r.service.temporary,
		Args: []string{"run", "-c", operator}, Env: []string{"RELAY_CONFIG=" + platform}, Console: portOf(m.address, consolePort),
		Lines: func(_, line string) { observe(line) },
	}), nil
}

// writePlatformFile writes a real proxy's file for the platform. It is one of as many instances as there are members.
func (r *run) writePlatformFile(path string, number int, m *memberPlan) error {
	text, err := r.service.fleet.ConfigOf(number, r.config.Members, realMemoryMB, realSockets)
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	var file map[string]any
	if err := json.Unmarshal(text, &file); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	file["name"], file["listen"], file["console"] = m.name, portOf(m.address, proxyPort), portOf(m.address, consolePort)
	if text, err = json.Marshal(file); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	return nil
}

// load has callers ask all real proxies until unload is called.
func (s *service) load(ctx context.Context) {
	ctx, s.unload = context.WithCancel(ctx)
	for _, c := range s.callers {
		s.loading.Go(func() {
			c.Run(ctx, standin.Load{Rate: realLoad, Retries: 1, Backoff: 100 * time.Millisecond, Slack: 500 * time.Millisecond})
		})
	}
}

// report is what the auditor has found by now; settled closes the books first.
func (s *service) report(settled bool) audit.Report {
	if settled {
		s.unload()
		s.loading.Wait()
		s.fleet.Books.Settle()
	}
	return s.fleet.Books.Report()
}

// served is what was served between two reports, of what had no answer before the first.
func served(before, after audit.Report) *result.Service {
	asked := after.Asked - after.Open - (before.Asked - before.Open)
	v := &result.Service{Asked: int64(asked), Served: int64(after.Served - before.Served), RulesKept: after.Kept()}
	if v.Asked > 0 {
		v.Share = float64(v.Served) / float64(v.Asked)
	}
	if !v.RulesKept {
		v.RulesBroke = fmt.Sprintf("%v", after.Broken)
		if len(after.Cases) > 0 {
			v.RulesBroke += fmt.Sprintf(", the first: %s: %s", after.Cases[0].Rule, after.Cases[0].Text)
		}
	}
	return v
}

// usage is what each real proxy has used, as a host of one member.
func (s *service) usage(ctx context.Context) []*hollow.Usage {
	var all []*hollow.Usage
	for _, p := range s.proxies {
		u := &hollow.Usage{MemoryB: procfs.ResidentMemory(p.PID())}
		u.CPU, _ = procfs.ProcessorTime(p.PID()) // 0 for one that has ended
		if _, text, err := p.Get(ctx, "/v1/fleet"); err == nil {
			if report, err := cluster.ReadReport(text); err == nil {
				u.Members = append(u.Members, memberUsage(report))
			}
		}
		all = append(all, u)
	}
	return all
}

// memberUsage is what a real proxy has sent and received, as its console tells it.
func memberUsage(r *cluster.Report) hollow.MemberUsage {
	counts := map[string]int64{}
	for _, c := range r.Counts {
		counts[c.Name] = c.Value
	}
	return hollow.MemberUsage{
		Name: r.Self.Name, Sent: counts["sent"], SentBytes: counts["sent_bytes"], Received: counts["received"],
		ReceivedBytes: counts["received_bytes"], Dropped: counts["flood"] + counts["unsent"] + counts["late"],
	}
}

// close ends the real proxies and all stand-ins.
func (s *service) close() {
	s.unload()
	s.loading.Wait()
	var ending sync.WaitGroup
	for _, p := range s.proxies {
		ending.Go(func() { p.End(realEndTime) })
	}
	ending.Wait()
	if s.fleet != nil {
		s.fleet.Close()
	}
	os.RemoveAll(s.temporary)
}
