package proxy

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
)

// fakeRules implements Rules with rules that the test sets.
type fakeRules struct {
	basis    atomic.Pointer[accord.Basis]
	onChange func(*accord.Basis)
	maxDrop  float64
	reported atomic.Pointer[[]string]
}

func newFakeRules(d *rules.Document) *fakeRules {
	a := &fakeRules{}
	a.basis.Store(leaseUntil(d, time.Hour))
	return a
}

// leaseUntil returns a basis with a lease that ends at until; the clock is fixed at 1 s.
func leaseUntil(d *rules.Document, until time.Duration) *accord.Basis {
	return &accord.Basis{Version: 2, Last: 2, Doc: d, Unleased: rules.Unleased(d), Until: until, LastUnanswered: -1}
}

func (a *fakeRules) Decide(s rules.Send) (rules.Decision, rules.DecisionBasis) {
	b := a.basis.Load()
	return b.Decide(time.Second, s), rules.DecisionBasis{Version: b.Last, Leased: b.Mode(time.Second) == accord.Leased}
}
func (a *fakeRules) AgreedNumber(*accord.Basis) (int, int, bool) { return 0, 0, false }
func (a *fakeRules) MaxListDrop() float64                        { return cmp.Or(a.maxDrop, 1) }
func (a *fakeRules) SetHeldBackends(ids []string)                { a.reported.Store(&ids) }
func (a *fakeRules) Mode() accord.Mode                           { return a.basis.Load().Mode(time.Second) }
func (a *fakeRules) Follow(f func(*accord.Basis))                { a.onChange = f; f(a.basis.Load()) }
func (a *fakeRules) Status(context.Context) ([]byte, error)      { return []byte("{}"), nil }
func (a *fakeRules) Figures(text []byte) []byte                  { return text }
func (a *fakeRules) Refound(context.Context) error               { return nil }
func (a *fakeRules) Propose(context.Context, rules.Change) (rules.Answer, error) {
	return rules.Answer{}, nil
}

// TestAgreedBans: a server that the agreed rules ban gets no requests until the ban is lifted, also if no list has named it
// before.
func TestAgreedBans(t *testing.T) {
	one, two := newBackend(t, "127.0.0.1:0", idAnswer), newBackend(t, "127.0.0.1:0", idAnswer)
	ban := &rules.Document{Bans: map[string]rules.Ban{"s1": {}, "not listed": {}}}
	a := newFakeRules(ban)
	g := newTestProxy(t, func(c *Config) { c.Rules = a }, entry("s1", one.address, "up"), entry("s2", two.address, "up"))
	c := g.dial()
	for range 20 {
		if status, _ := c.send(head("a")).answer(); status != 200 {
			t.Fatal(status)
		}
	}
	if n := len(one.requests); n > 0 {
		t.Errorf("%d requests to a banned server", n)
	}
	if err := g.SetBanned(t.Context(), "s1", false); err != nil {
		t.Error(err)
	}
	c.send(head("a")).answer()
	if n := len(one.requests); n > 0 {
		t.Errorf("%d requests after one proxy lifted its own ban", n)
	}
	lifted := leaseUntil(&rules.Document{}, time.Hour)
	a.basis.Store(lifted)
	a.onChange(lifted)
	for end := time.Now().Add(eventTimeout); len(one.requests) == 0; {
		if time.Now().After(end) {
			t.Fatal("a server gets no requests after its ban is lifted")
		}
		if status, _ := c.send(head("a")).answer(); status != 200 {
			t.Fatal(status)
		}
	}
}

// TestNoLeaseNoSend: once the lease has expired, as after a pause of the process, a request is refused at once and
// nothing is sent for it.
func TestNoLeaseNoSend(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	a := newFakeRules(&rules.Document{})
	g := newTestProxy(t, func(c *Config) {
		c.Rules = a
		c.Settings.Balancer.RetryAfter, c.Settings.Balancer.MaxRetryAfter = true, 2*time.Second
	}, entry("s1", b.address, "up"))
	c := g.dial()
	if status, _ := c.send(head("a")).answer(); status != 200 {
		t.Fatal(status)
	}
	<-b.requests
	a.basis.Store(leaseUntil(&rules.Document{}, 0))
	c.send(head("b"))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("%v, %+v", err, resp)
	}
	if n := len(b.requests); n > 0 {
		t.Errorf("%d requests without a lease", n)
	}
}

// TestClosedClass: requests of a closed class are refused, and those of other classes are served.
func TestClosedClass(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", idAnswer)
	a := newFakeRules(&rules.Document{Settings: rules.Settings{Classes: map[string]rules.Class{"search": {Closed: true}}}})
	g := newTestProxy(t, func(c *Config) { c.Rules = a }, entry("s1", b.address, "up"))
	if status, _ := g.dial().send(head("a")).answer(); status != 503 {
		t.Errorf("closed: %d", status)
	}
	if status, _ := g.dial().send(strings.NewReplacer("search", "once", "GET", "POST", "Host:", "Content-Length: 0\r\nHost:").Replace(head("b"))).answer(); status != 200 {
		t.Errorf("another class: %d", status)
	}
}

// TestNoRepeatOfWhatMayHaveRun: a request whose server broke off its answer is sent again if the platform's file allows it,
// and fails if the agreed rules forbid repeats.
func TestNoRepeatOfWhatMayHaveRun(t *testing.T) {
	for name, d := range map[string]*rules.Document{
		"allowed":   {},
		"forbidden": {Settings: rules.Settings{Classes: map[string]rules.Class{"search": {NoRepeat: true}}}},
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			reply := func(id string) string {
				if asked.Add(1) == 1 {
					return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nand no m" // as from a server that dies while it answers
				}
				return idAnswer(id)
			}
			one, two := newBackend(t, "127.0.0.1:0", reply), newBackend(t, "127.0.0.1:0", reply)
			a := newFakeRules(d)
			g := newTestProxy(t, func(c *Config) {
				c.Rules = a
				c.Options.Backends.AnswerTimeout = 50 * time.Millisecond
			}, entry("s1", one.address, "up"), entry("s2", two.address, "up"))
			status, _ := g.dial().send(head("a")).answer()
			if name == "allowed" && (status != 200 || asked.Load() != 2) {
				t.Errorf("%d after %d sends", status, asked.Load())
			}
			if name == "forbidden" && (status < 500 || asked.Load() != 1) {
				t.Errorf("%d after %d sends", status, asked.Load())
			}
		})
	}
}
