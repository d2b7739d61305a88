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

// agreement is one whose rules the test sets.
type agreement struct {
	basis  atomic.Pointer[accord.Basis]
	follow func(*accord.Basis)
	drop   float64
	held   atomic.Pointer[[]string]
}

func agreeOn(d *rules.Document) *agreement {
	a := &agreement{}
	a.basis.Store(basisOf(d, time.Hour))
	return a
}

// basisOf is a lease until a moment; the clock stands at 1 s.
func basisOf(d *rules.Document, until time.Duration) *accord.Basis {
	return &accord.Basis{Version: 2, Last: 2, Doc: d, Unleased: rules.Unleased(d), Until: until, LastUnanswered: -1}
}

func (a *agreement) Decide(s rules.Send) (rules.Decision, rules.DecisionBasis) {
	b := a.basis.Load()
	return b.Decide(time.Second, s), rules.DecisionBasis{Version: b.Last, Leased: b.Mode(time.Second) == accord.Leased}
}
func (a *agreement) AgreedNumber(*accord.Basis) (int, int, bool) { return 0, 0, false }
func (a *agreement) MaxListDrop() float64                        { return cmp.Or(a.drop, 1) }
func (a *agreement) SetHeldBackends(ids []string)                { a.held.Store(&ids) }
func (a *agreement) Mode() accord.Mode                           { return a.basis.Load().Mode(time.Second) }
func (a *agreement) Follow(f func(*accord.Basis))                { a.follow = f; f(a.basis.Load()) }
func (a *agreement) Status(context.Context) ([]byte, error)      { return []byte("{}"), nil }
func (a *agreement) Figures(text []byte) []byte                  { return text }
func (a *agreement) Refound(context.Context) error               { return nil }
func (a *agreement) Propose(context.Context, rules.Change) (rules.Answer, error) {
	return rules.Answer{}, nil
}

// TestAgreedBans: what is out by agreement gets nothing, also where no list has named it before, until it is not any more.
func TestAgreedBans(t *testing.T) {
	one, two := newBackend(t, "127.0.0.1:0", whole), newBackend(t, "127.0.0.1:0", whole)
	ban := &rules.Document{Bans: map[string]rules.Ban{"s1": {}, "not listed": {}}}
	a := agreeOn(ban)
	g := newRig(t, func(c *Config) { c.Rules = a }, entry("s1", one.address, "up"), entry("s2", two.address, "up"))
	c := g.dial()
	for range 20 {
		if status, _ := c.send(head("a")).answer(); status != 200 {
			t.Fatal(status)
		}
	}
	if n := len(one.requests); n > 0 {
		t.Errorf("%d requests to a server that is out", n)
	}
	if err := g.SetBanned(t.Context(), "s1", false); err != nil {
		t.Error(err)
	}
	c.send(head("a")).answer()
	if n := len(one.requests); n > 0 {
		t.Errorf("%d requests after one proxy put it back", n)
	}
	lifted := basisOf(&rules.Document{}, time.Hour)
	a.basis.Store(lifted)
	a.follow(lifted)
	for end := time.Now().Add(patient); len(one.requests) == 0; {
		if time.Now().After(end) {
			t.Fatal("nothing goes to a server that is back")
		}
		if status, _ := c.send(head("a")).answer(); status != 200 {
			t.Fatal(status)
		}
	}
}

// TestNoLeaseNoSend: without a lease, after a pause, a request is refused at once and nothing is sent for it.
func TestNoLeaseNoSend(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", whole)
	a := agreeOn(&rules.Document{})
	g := newRig(t, func(c *Config) {
		c.Rules = a
		c.Settings.Balancer.RetryAfter, c.Settings.Balancer.MaxRetryAfter = true, 2*time.Second
	}, entry("s1", b.address, "up"))
	c := g.dial()
	if status, _ := c.send(head("a")).answer(); status != 200 {
		t.Fatal(status)
	}
	<-b.requests
	a.basis.Store(basisOf(&rules.Document{}, 0))
	c.send(head("b"))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("%v, %+v", err, resp)
	}
	if n := len(b.requests); n > 0 {
		t.Errorf("%d requests without a lease", n)
	}
}

// TestClosedClass: one class is closed, and the others go on.
func TestClosedClass(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", whole)
	a := agreeOn(&rules.Document{Settings: rules.Settings{Classes: map[string]rules.Class{"search": {Closed: true}}}})
	g := newRig(t, func(c *Config) { c.Rules = a }, entry("s1", b.address, "up"))
	if status, _ := g.dial().send(head("a")).answer(); status != 503 {
		t.Errorf("closed: %d", status)
	}
	if status, _ := g.dial().send(strings.NewReplacer("search", "once", "GET", "POST", "Host:", "Content-Length: 0\r\nHost:").Replace(head("b"))).answer(); status != 200 {
		t.Errorf("another class: %d", status)
	}
}

// TestNoRepeatOfWhatMayHaveRun: a request that a server took and broke off is sent again as the platform's file allows, and fails
// where the agreed rules allow no repeat.
func TestNoRepeatOfWhatMayHaveRun(t *testing.T) {
	for name, d := range map[string]*rules.Document{
		"allowed":   {},
		"forbidden": {Settings: rules.Settings{Classes: map[string]rules.Class{"search": {NoRepeat: true}}}},
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			reply := func(id string) string {
				if asked.Add(1) == 1 {
					return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nand no m" // of a server that dies while it answers
				}
				return whole(id)
			}
			one, two := newBackend(t, "127.0.0.1:0", reply), newBackend(t, "127.0.0.1:0", reply)
			a := agreeOn(d)
			g := newRig(t, func(c *Config) {
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
