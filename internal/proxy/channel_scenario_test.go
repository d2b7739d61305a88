package proxy_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"brasswell/internal/channel"
	"brasswell/internal/config"
	"brasswell/internal/proxy"
	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
)

var channelSeeds = flag.Int("channel-seeds", 2, "number of seeds for which the channel scenarios run")

// channelScenario is a fleet whose proxy has channels, with clients that keep channels open.
type channelScenario struct {
	t       *testing.T
	fleet   *standin.Fleet
	clients *standin.ChannelClients
	address string
	end     func() audit.Report
}

func newChannelScenario(t *testing.T, f standin.FleetConfig, load standin.ChannelLoad, change func(*channel.Options)) *channelScenario {
	t.Helper()
	if f.Rules == (audit.Rules{}) {
		f.Rules = rules()
	}
	fleet, err := standin.NewFleet(f)
	if err != nil {
		t.Fatal(err)
	}
	text, err := fleet.Config(256, 6000)
	if err != nil {
		t.Fatal(err)
	}
	platform, err := config.ParsePlatform(text)
	if err != nil {
		t.Fatal(err)
	}
	options := proxy.DefaultOptions()
	o := &options.Channels
	o.Enabled, o.Rate, o.NodeRate, o.MoveWindow, o.MaxWait = true, 1000, 200, time.Second, 5*time.Second
	if change != nil {
		change(o)
	}
	c, err := platform.ProxyConfig(options, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	p, err := proxy.New(c)
	if err != nil {
		t.Fatal(err)
	}
	fleet.OnMove = p.MoveDiscovery
	endProxy := serveProxy(t, p)
	s := &channelScenario{t: t, fleet: fleet, address: p.Addr().String()}
	s.clients = fleet.ChannelClients(s.address)
	coming, leave := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		s.clients.Run(coming, load)
	}()
	s.end = func() audit.Report {
		leave()
		<-gone
		endProxy()
		fleet.Books.Settle()
		fleet.Close()
		return fleet.Books.Report()
	}
	return s
}

// awaitOpen waits until n channels are open, and fails the test if that takes too long.
func (s *channelScenario) awaitOpen(n int, within time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(within); s.clients.Tally().Open != n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.end()
			s.t.Fatalf("%d channels are open, want %d: %+v", s.clients.Tally().Open, n, s.clients.Tally())
		}
	}
}

// finish ends the scenario and checks the rules.
func (s *channelScenario) finish() audit.Report {
	s.t.Helper()
	r := s.end()
	if !r.Kept() {
		s.t.Errorf("broken: %v of %v checks: %+v", r.Broken, r.Checks, r.Cases)
	}
	return r
}

// TestChannelsThroughFaults has clients that open and close channels continuously while servers drain, die and return
// cold, fail and stop responding. It counts what reaches a server after the notice that the server is out of service.
func TestChannelsThroughFaults(t *testing.T) {
	kinds := []string{"drain", "die", "silent", "spoil", "turn-away", "reset-after", "discovery-late", "surge"}
	for seed := range *channelSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newChannelScenario(t, standin.FleetConfig{Seed: uint64(seed)}, standin.ChannelLoad{
				Clients: 150, Impatient: 2, Within: 500 * time.Millisecond, Path: "/events", Hold: 400 * time.Millisecond,
			}, func(o *channel.Options) { o.MoveWindow = 500 * time.Millisecond })
			rng := rand.New(rand.NewPCG(uint64(seed), 5))
			script := standin.Script{Length: 4 * time.Second, Load: standin.Load{Rate: 80, Retries: 2, Backoff: 5 * time.Millisecond, Slack: rules().AnswerSlack}}
			for n := range 4 {
				for _, kind := range []string{"drain", kinds[rng.IntN(len(kinds))]} {
					fault := step(kind, 8, rng)
					fault.At += time.Duration(n) * 800 * time.Millisecond
					if kind == "drain" {
						fault.For = 700 * time.Millisecond // longer than the grace period
					}
					if kind == "discovery-late" {
						fault.Size = 0.1
					}
					script.Steps = append(script.Steps, fault)
				}
			}
			if err := s.fleet.Play(t.Context(), script, s.fleet.Callers(s.address), nil); err != nil {
				t.Error(err)
			}
			tally := s.clients.Tally()
			r := s.finish()
			if tally.Opened < 200 || r.Checks[audit.Drains] < 4 {
				t.Errorf("the scenario tests too little: %+v, %v checks", tally, r.Checks)
			}
			var begun []int
			for _, b := range s.fleet.Backends {
				begun = append(begun, len(b.Opened()))
			}
			t.Logf("%d upgrades, %d channels opened, %d refused, %d failed; ended with %v; %d notices, the latest after notice %v; opened at each server: %v",
				tally.Asked, tally.Opened, tally.Refused, tally.Failed, tally.Closed, r.Checks[audit.Drains], r.Latest, begun)
		})
	}
}

func TestZoneDrainsOneServerAfterAnother(t *testing.T) {
	t.Parallel()
	s := newChannelScenario(t, standin.FleetConfig{Seed: 1, Backends: 6}, standin.ChannelLoad{Clients: 180, Path: "/events"}, nil)
	s.awaitOpen(180, 20*time.Second)
	zone := []int{0, 2, 4}
	for _, i := range zone {
		s.fleet.List(i, "draining")
		time.Sleep(300 * time.Millisecond)
	}
	openAt := func(indexes []int) (n int) {
		for _, i := range indexes {
			n += s.fleet.Backends[i].State().Channels
		}
		return n
	}
	for end := time.Now().Add(20 * time.Second); openAt(zone) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d channels remain in the zone", openAt(zone))
		}
	}
	s.awaitOpen(180, 20*time.Second)
	if n := openAt([]int{1, 3, 5}); n != 180 {
		t.Errorf("%d channels are in the other zone", n)
	}
	tally := s.clients.Tally()
	if tally.Closed[1012] != sum(tally.Closed) || tally.Closed[1012] < 90 {
		t.Errorf("channels ended with %v", tally.Closed)
	}
	s.finish()
}

func sum(m map[int]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

func TestServerDiesWithItsChannelsAndReturnsCold(t *testing.T) {
	t.Parallel()
	s := newChannelScenario(t, standin.FleetConfig{Seed: 2, Backends: 2, Slots: 8, Queue: 200, WarmUp: 3 * time.Second},
		standin.ChannelLoad{Clients: 1000, Within: 2 * time.Second, Path: "/events"},
		func(o *channel.Options) {
			o.MaxChannels, o.NodeRate, o.Rate, o.MaxWait = 2000, 300, 600, 10*time.Second
		})
	s.awaitOpen(1000, 30*time.Second)
	before := s.fleet.Backends[0].State().Channels
	if before < 300 {
		t.Fatalf("%d of 1000 channels are at the server", before)
	}
	s.fleet.Backends[0].Die()
	s.fleet.List(0, "removed")
	time.Sleep(100 * time.Millisecond)
	if err := s.fleet.Backends[0].Return(); err != nil {
		t.Fatal(err)
	}
	born := len(s.fleet.Backends[0].Opened())
	s.fleet.List(0, "up")
	s.awaitOpen(1000, 30*time.Second)
	t.Logf("%d ended: %v; %d went to the cold server while all reconnected", before, s.clients.Tally().Closed, len(s.fleet.Backends[0].Opened())-born)
	s.finish()
}

func TestClientsThatReconnectImmediately(t *testing.T) {
	s := newChannelScenario(t, standin.FleetConfig{Seed: 3, Backends: 4}, standin.ChannelLoad{Clients: 60, Impatient: 10, Path: "/events"},
		func(o *channel.Options) { o.Rate, o.MaxChannels = 20, 55 })
	// There are 10 impatient and 50 patient clients and 55 places. The limit must hold, and every refused client must
	// get an answer.
	s.awaitOpen(55, 30*time.Second)
	before := s.clients.Tally()
	time.Sleep(500 * time.Millisecond)
	after := s.clients.Tally()
	if after.Refused-before.Refused < 20 || after.Failed > before.Failed || after.Open != 55 {
		t.Errorf("before %+v, after %+v", before, after)
	}
	s.finish()
}
