package settings

import (
	"strings"
	"testing"
	"time"

	"brasswell/balance"
)

const whole = `{"instances":8,"me":3,"layer":1,"zone":0,"discovery":"ask","over_share_worth":0.05,"some_new_key":{"a":[1]},
"zones":["kita","higashi"],"realms":[{"name":"city","quota_per_s":187,"share":0.7},{"name":"district","quota_per_s":80}],
"request_classes":[{"name":"search","aim_ms":750,"give_up_ms":2000,"effect":"free","worth":3},
 {"name":"hold","aim_ms":2000,"give_up_ms":5000,"effect":"guarded","group":"zone","window_ms":7500,"worth":5}],
"limits":{"cancel":true,"max_attempts":5,"conn_idle_ms":5000,"connect_timeout_ms":150.5},
"rules":{"ask_every_ms":10000,"cold_from":0.32,"warm_up_ms":8199.999,"fall_multiple":3,"fall_ms":1000}}`

func TestRead(t *testing.T) {
	s, err := Read([]byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Balancer.Validate(); err != nil {
		t.Fatal(err)
	}
	b := s.Balancer
	if b.Self != 3 || b.Instances != 8 || b.Tier != 1 || !b.AskForList || b.AskEvery != 10*time.Second || !b.CanCancel {
		t.Errorf("instance figures: %+v", b)
	}
	if got := b.Classes[1]; got.Effect != balance.Deduplicated || got.DedupScope != balance.DedupZone || got.DedupWindow != 7500*time.Millisecond {
		t.Errorf("class hold: %+v", got)
	}
	if strings.Join(s.Classes, " ") != "search hold" || strings.Join(s.Tenants, " ") != "city district" ||
		strings.Join(s.Zones, " ") != "kita higashi" {
		t.Errorf("names: %v %v %v", s.Classes, s.Tenants, s.Zones)
	}
	if s.ConnIdle != 5*time.Second || s.ConnectTimeout != 150500*time.Microsecond {
		t.Errorf("sockets: %v %v", s.ConnIdle, s.ConnectTimeout)
	}
}

func TestMalformed(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"not JSON":          {`{`, "JSON"},
		"wrong type":        {`{"instances":"many"}`, "instances"},
		"unknown discovery": {`{"discovery":"guess"}`, `"guess"`},
		"unknown effect":    {`{"discovery":"ask","request_classes":[{"effect":"odd"}]}`, `"odd"`},
		"unknown group":     {`{"discovery":"ask","request_classes":[{"effect":"free","group":"moon"}]}`, `"moon"`},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Read([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want one with %q", err, c.want)
			}
		})
	}
}

func TestMillisStaysInRange(t *testing.T) {
	for ms, want := range map[float64]time.Duration{
		0.25: 250 * time.Microsecond, -3: -3 * time.Millisecond, 1e300: longest, -1e300: -longest,
	} {
		if got := Millis(ms); got != want {
			t.Errorf("Millis(%v) = %v, want %v", ms, got, want)
		}
	}
}
