package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/internal/standin/audit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// plainProxy forwards each request once, to the backends in turn; breaks names one thing that it does wrong.
type plainProxy struct {
	t        *testing.T
	fleet    *Fleet
	breaks   string
	listener net.Listener

	mu      sync.Mutex
	turn    int
	conns   []net.Conn
	running sync.WaitGroup
}

func newPlainProxy(t *testing.T, f *Fleet, breaks string) *plainProxy {
	t.Helper()
	l, err := listen("")
	if err != nil {
		t.Fatal(err)
	}
	p := &plainProxy{t: t, fleet: f, breaks: breaks, listener: l}
	p.running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			p.running.Go(func() { p.serve(c) })
		}
	})
	return p
}

func (p *plainProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// next is the next backend that the list has up, or any for a proxy that does not look.
func (p *plainProxy) next() *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 2 * len(p.fleet.Backends) {
		b := p.fleet.Backends[p.turn%len(p.fleet.Backends)]
		p.turn++
		p.fleet.Discovery.mu.Lock()
		h := p.fleet.Discovery.hosts[b.config.ID]
		p.fleet.Discovery.mu.Unlock()
		switch {
		case p.breaks == "sends to a draining server" && h.Health == "draining":
			return b
		case p.breaks == "pushes a cold server over" && h.BornMS > 0:
			p.turn-- // this one again and again
			return b
		case p.breaks == "" && h.BornMS > 0: // not without a budget
		case h.Health == "up" && p.breaks != "sends to a draining server":
			return b
		}
	}
	return p.fleet.Backends[0]
}

// forward sends a request to a backend and returns the answer, or nil.
func (p *plainProxy) forward(text string) (status int, body string) {
	c, err := net.Dial("tcp", p.next().Address())
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func (p *plainProxy) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		var text strings.Builder
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", req.Method, req.RequestURI, len(body))
		for _, name := range []string{"X-Txn", "X-Lane", "Idempotency-Key"} {
			if v := req.Header.Get(name); v != "" {
				fmt.Fprintf(&text, "%s: %s\r\n", name, v)
			}
		}
		fmt.Fprintf(&text, "\r\n%s", body)
		const failed = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
		if p.breaks == "answers before it sends" {
			io.WriteString(c, failed)
			time.Sleep(p.fleet.config.Rules.AnswerSlack + 50*time.Millisecond)
			p.forward(text.String())
			continue
		}
		status, answer := p.forward(text.String())
		switch {
		case p.breaks == "loses requests":
			return
		case p.breaks == "never answers":
			io.Copy(io.Discard, r)
			return
		case p.breaks == "answers twice":
			io.WriteString(c, whole(answer)+whole(answer))
		case p.breaks == "makes answers up":
			io.WriteString(c, whole("nothing found"))
		case p.breaks == "refuses what ran":
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		case p.breaks == "sends all twice":
			p.forward(text.String())
			io.WriteString(c, whole(answer))
		case status == http.StatusOK:
			io.WriteString(c, whole(answer))
		default:
			io.WriteString(c, failed)
		}
	}
}

// patientGiveUp is a time for an answer within which a machine that runs late breaks nothing.
const patientGiveUp = 5 * time.Second

// classesWith are all classes, with the same time for an answer.
func classesWith(giveUp time.Duration) []Class {
	classes := Catalogue()
	for i := range classes {
		classes[i].GiveUp = giveUp
	}
	return classes
}

// TestABreakingProxyIsCaught plays a proxy that breaks a rule on purpose; the auditor must name that rule, and find
// nothing where none is broken.
func TestABreakingProxyIsCaught(t *testing.T) {
	const none = audit.Rule(-1)
	for breaks, c := range map[string]struct {
		want  audit.Rule
		steps []Step
	}{
		"":                           {none, nil},
		"loses requests":             {audit.OneAnswer, nil},
		"never answers":              {audit.OneAnswer, nil},
		"answers twice":              {audit.OneAnswer, nil},
		"makes answers up":           {audit.OneAnswer, nil},
		"answers before it sends":    {audit.OneAnswer, nil},
		"sends all twice":            {audit.Effects, nil},
		"refuses what ran":           {audit.Effects, nil},
		"sends to a draining server": {audit.Drains, []Step{{Do: "drain", Who: []int{0}}}},
		"pushes a cold server over":  {audit.Cold, []Step{{Do: "die", Who: []int{0}, For: 50 * time.Millisecond}}},
	} {
		t.Run(breaks, func(t *testing.T) {
			t.Parallel()
			giveUp := patientGiveUp
			if breaks == "never answers" {
				giveUp = 500 * time.Millisecond // so that it is soon done
			}
			classes := classesWith(giveUp)
			// So cold that it bears a sixth of what is sent to it: a machine that runs late pushes it over too.
			f, err := NewFleet(FleetConfig{Seed: 7, Classes: classes, Slots: 1, ColdFrom: 0.05, WarmUp: time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			// The proxy is told what the list says.
			get, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+f.Discovery.Address()+"/catalog/members", nil)
			if err != nil {
				t.Fatal(err)
			}
			get.Close = true
			p := newPlainProxy(t, f, breaks)
			defer p.close()
			told := func(Step, bool) {
				if resp, err := http.DefaultClient.Do(get); err != nil {
					t.Error(err)
				} else {
					resp.Body.Close()
				}
			}
			script := Script{Length: 900 * time.Millisecond, Load: Load{Rate: 300, Slack: 100 * time.Millisecond}, Steps: c.steps}
			if err := f.Play(t.Context(), script, f.Callers(p.listener.Addr().String()), told); err != nil {
				t.Fatal(err)
			}
			f.Books.Settle()
			r := f.Books.Report()
			if c.want == none {
				if !r.Kept() || r.Served == 0 {
					t.Errorf("a proxy that breaks nothing: %+v", r)
				}
				return
			}
			if r.Broken[c.want] == 0 {
				t.Errorf("not caught: %+v", r)
			}
		})
	}
}

// TestAStandInThatBreaksARuleIsNotTheProxy: the backends run everything twice because the script says so.
func TestAStandInThatBreaksARuleIsNotTheProxy(t *testing.T) {
	f, err := NewFleet(FleetConfig{Seed: 7, Classes: classesWith(patientGiveUp)})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, b := range f.Backends {
		b.Set(Faults{RunsTwice: true})
	}
	p := newPlainProxy(t, f, "")
	defer p.close()
	script := Script{Length: 300 * time.Millisecond, Load: Load{Rate: 200, Slack: time.Second}}
	if err := f.Play(t.Context(), script, f.Callers(p.listener.Addr().String()), nil); err != nil {
		t.Fatal(err)
	}
	f.Books.Settle()
	if r := f.Books.Report(); !r.Kept() || r.Scripted == 0 {
		t.Errorf("%+v", r)
	}
}

// TestEqualSeedsGiveEqualFaults: which requests fail depends on the seed and the id alone.
func TestEqualSeedsGiveEqualFaults(t *testing.T) {
	outcomes := func(seed uint64) string {
		f, err := NewFleet(FleetConfig{Seed: seed, Backends: 1})
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		f.Backends[0].Set(Faults{FailUnrun: 0.5})
		p := newPlainProxy(t, f, "")
		defer p.close()
		var all strings.Builder
		for i := range 40 {
			status, _ := p.forward(fmt.Sprintf("GET /api/item HTTP/1.1\r\nHost: x\r\nX-Txn: r%d\r\nX-Lane: search\r\n\r\n", i))
			fmt.Fprint(&all, status, " ")
		}
		return all.String()
	}
	one, again, other := outcomes(1), outcomes(1), outcomes(2)
	if one != again {
		t.Errorf("seed 1 gave\n%s\nand\n%s", one, again)
	}
	if one == other || !strings.Contains(one, "500") || !strings.Contains(one, "200") {
		t.Errorf("seed 2 gave\n%s\nseed 1\n%s", other, one)
	}
}

func TestScriptsThatCannotBe(t *testing.T) {
	f, err := NewFleet(FleetConfig{Backends: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for want, s := range map[string]Script{
		"must be above 0":  {Length: time.Second},
		"no such fault":    {Length: 1, Load: Load{Rate: 1}, Steps: []Step{{Do: "explode"}}},
		"outside 0..1":     {Length: 1, Load: Load{Rate: 1}, Steps: []Step{{Do: "slow", Who: []int{2}}}},
		"outside the scri": {Length: 1, Load: Load{Rate: 1}, Steps: []Step{{Do: "slow", At: 2}}},
	} {
		if err := f.Play(context.Background(), s, f.Callers("127.0.0.1:1"), nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want one with %q", err, want)
		}
	}
}

// TestADeadBackendsPortMayBeTaken: it comes back at another, and the list says so.
func TestADeadBackendsPortMayBeTaken(t *testing.T) {
	f, err := NewFleet(FleetConfig{Backends: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	b := f.Backends[0]
	b.Die()
	taken, err := listen(b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if err := b.Return(); err != nil {
		t.Fatal(err)
	}
	f.List(0, "up")
	if b.Address() == taken.Addr().String() || !strings.Contains(string(f.Discovery.Whole()), b.Address()) {
		t.Errorf("back at %s, listed as %s", b.Address(), f.Discovery.Whole())
	}
}
