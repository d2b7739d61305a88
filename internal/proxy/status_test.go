package proxy

import (
	"fmt"
	"testing"
	"time"

	"brasswell/internal/status"
)

func TestStatusShowsAvoidedServersAndOpenRequests(t *testing.T) {
	b := newBackend(t, "127.0.0.1:0", func(id string) string {
		if id == "never" {
			return ""
		}
		return idAnswer(id)
	})
	var hosts []string
	for _, id := range []string{"s1", "s2", "s3"} {
		hosts = append(hosts, entry(id, b.address, "up"))
	}
	g := newTestProxy(t, nil, hosts...)
	read := func() *status.Status {
		t.Helper()
		text, err := consoleHandler{g.Proxy}.Status()
		if err != nil {
			t.Fatal(err)
		}
		s, err := status.Parse(string(text))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	if s := read(); len(s.Avoided) != 0 || s.Listed != 3 || s.InRoundRobin != 3 || s.OpenRequests["search"] != 0 || s.MemoryMB <= 0 || s.Descriptors <= 0 {
		t.Errorf("%+v", s)
	}
	await(t, "the watch", g.registry.calls)
	g.registry.lists <- list(2, false, entry("s2", b.address, "draining"))
	await(t, "the next watch", g.registry.calls)
	g.host.SetBanned("s1", true)
	waits, idles := g.dial().send(head("never")), g.dial()
	idles.send(head("a")).answer()
	for range 2 {
		await(t, "the requests", b.requests)
	}
	s := read()
	if got := fmt.Sprint(s.Avoided); got != "[{s1 by hand 0 0 } {s2 drains 0 0 }]" && got != "[{s1 by hand 1 0 } {s2 drains 1 0 }]" {
		t.Errorf("avoided %s", got)
	}
	// Connections become idle slightly after their answer has been sent.
	for end := time.Now().Add(eventTimeout); s.OpenRequests["search"] != 1 || s.Callers["busy"] != 1 || s.Callers["once"] != 1 || s.Backends["busy"] != 1; s = read() {
		if time.Now().After(end) {
			t.Fatalf("%+v", s)
		}
		time.Sleep(time.Millisecond)
	}
	g.host.SetBanned("s1", false)
	if s := read(); len(s.Avoided) != 1 && len(s.Avoided) != 2 { // s1 is back in service, and may be listed as cold, depending on the settings
		t.Errorf("%+v", s.Avoided)
	}
	waits.Close()
}
