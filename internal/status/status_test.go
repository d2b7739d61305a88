package status

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"brasswell/balance"
)

func TestAvoidedServersAndReasons(t *testing.T) {
	const now, warmUp = 1000 * time.Second, 20 * time.Second
	server := func(id string, change func(*balance.ServerSnapshot)) balance.ServerSnapshot {
		s := balance.ServerSnapshot{Entry: balance.Entry{ID: id}}
		if change != nil {
			change(&s)
		}
		return s
	}
	c := balance.Snapshot{
		Banned: []string{"hand", "hand-failing", "gone-by-hand", "unlisted"},
		Servers: []balance.ServerSnapshot{
			server("sound", nil),
			server("hand", nil),
			server("hand-failing", func(s *balance.ServerSnapshot) { s.Ejected = now + time.Second }),
			server("gone-by-hand", func(s *balance.ServerSnapshot) { s.Entry.State = balance.Gone }),
			server("gone", func(s *balance.ServerSnapshot) { s.Entry.State = balance.Gone }),
			server("drains", func(s *balance.ServerSnapshot) { s.Entry.State = balance.Draining }),
			server("fails", func(s *balance.ServerSnapshot) {
				s.Ejected, s.Ejections, s.FailRate = now+3500*time.Millisecond, 2, 0.75
			}),
			server("due", func(s *balance.ServerSnapshot) { s.Ejected, s.Ejections = now-time.Second, 1 }),
			server("cold", func(s *balance.ServerSnapshot) { s.Entry.Boot = now - 5*time.Second }),
			server("resumed", func(s *balance.ServerSnapshot) { s.Entry.Boot, s.Resumed = now-time.Hour, now-time.Second }),
			server("warm", func(s *balance.ServerSnapshot) { s.Entry.Boot = now - warmUp }),
		},
	}
	since := map[string]time.Duration{"hand": now - 90*time.Second, "drains": now - 1500*time.Millisecond}
	want := []Avoided{
		{ID: "cold", Reason: Cold, ForSeconds: 5, SecondsLeft: 15},
		{ID: "drains", Reason: Draining, ForSeconds: 2},
		{ID: "due", Reason: Failing, ForSeconds: -1, Note: "1 times in a row; 0% of its last answers failed"},
		{ID: "fails", Reason: Failing, ForSeconds: -1, SecondsLeft: 4, Note: "2 times in a row; 75% of its last answers failed"},
		{ID: "gone-by-hand", Reason: ByOperator, ForSeconds: -1},
		{ID: "hand", Reason: ByOperator, ForSeconds: 90},
		{ID: "hand-failing", Reason: ByOperator, ForSeconds: -1},
		{ID: "resumed", Reason: Cold, ForSeconds: 1, SecondsLeft: 19},
		{ID: "unlisted", Reason: ByOperator, ForSeconds: -1, Note: "not listed now"},
	}
	if got := AvoidedServers(now, warmUp, c, since); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwant %+v", got, want)
	}
}

func TestTextFitsAScreen(t *testing.T) {
	s := &Status{Ready: true, Listed: 100, InRoundRobin: 12, Limit: 63.6, OpenRequests: map[string]int{"search": 3, "hold": 1}, Callers: map[string]int{"busy": 4}, Descriptors: 40, MemoryMB: 12.25}
	for i := range 100 {
		s.Avoided = append(s.Avoided, Avoided{ID: fmt.Sprint("node-", i), Reason: Failing, ForSeconds: -1, SecondsLeft: 3})
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	back, err := Parse(string(encoded))
	if err != nil || !reflect.DeepEqual(back.Avoided, s.Avoided) || back.Limit != s.Limit {
		t.Errorf("%+v, %v", back, err)
	}
	text := s.Text()
	if n := strings.Count(text, "\n"); n > 40 {
		t.Errorf("%d lines", n)
	}
	for _, want := range []string{"takes clients; 100 backends listed, 12 in turns, 100 avoided", "node-7 ", "fails", "3 s to go", "and 70 more", "limit     64", "hold 1  search 3", "12.2 MB, 40 descriptors"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if _, err := Parse("no status"); err == nil {
		t.Error("invalid text is parsed")
	}
}
