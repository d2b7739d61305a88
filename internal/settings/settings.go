// Package settings reads the object that tells an instance all it may know of its deployment. The
// simulator's adapter and the proxy share it, so that both decide from the same figures.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"brasswell/balance"
)

// Settings is what the balancer decides from, and beside it what only sockets need.
type Settings struct {
	Balancer balance.Settings

	// Names, each at the position that stands for it in the balancer.
	Classes, Tenants, Zones []string

	ConnIdle       time.Duration // a backend closes a connection that idles for so long
	ConnectTimeout time.Duration // a connection not up by then counts as failed
}

// object is the part of the settings that anything here rests on; other keys are skipped.
type object struct {
	Instances int      `json:"instances"`
	Me        int      `json:"me"`
	Layer     int      `json:"layer"`
	Discovery string   `json:"discovery"`
	OverShare float64  `json:"over_share_worth"`
	Zones     []string `json:"zones"`
	Classes   []struct {
		Name      string  `json:"name"`
		Aim       float64 `json:"aim_ms"`
		GiveUp    float64 `json:"give_up_ms"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		Window    float64 `json:"window_ms"`
		Worth     float64 `json:"worth"`
		LateWorth float64 `json:"late_worth"`
	} `json:"request_classes"`
	Realms []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"realms"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		MaxAttempts    int     `json:"max_attempts"`
		RetryAfter     bool    `json:"retry_after"`
		MaxRetryAfter  float64 `json:"max_retry_after_ms"`
		ConnIdle       float64 `json:"conn_idle_ms"`
		ConnectTimeout float64 `json:"connect_timeout_ms"`
	} `json:"limits"`
	Rules struct {
		AskEvery     float64 `json:"ask_every_ms"`
		ColdFrom     float64 `json:"cold_from"`
		WarmUp       float64 `json:"warm_up_ms"`
		FallMultiple float64 `json:"fall_multiple"`
		FallTime     float64 `json:"fall_ms"`
	} `json:"rules"`
}

var effects = map[string]balance.Effect{
	"free": balance.Idempotent, "guarded": balance.Deduplicated, "single_shot": balance.AtMostOnce,
}

var groups = map[string]balance.DedupScope{
	"": balance.DedupAll, "all": balance.DedupAll, "zone": balance.DedupZone, "cell": balance.DedupCell,
}

// Read takes the settings object apart. Whether the balancer can work with it is for balance.New to say.
func Read(raw json.RawMessage) (*Settings, error) {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return nil, err
	}
	if o.Discovery != "push" && o.Discovery != "ask" {
		return nil, fmt.Errorf("unknown discovery %q", o.Discovery)
	}
	s := &Settings{
		Balancer: balance.Settings{
			Self: o.Me, Instances: o.Instances, Tier: o.Layer,
			OverQuotaValue:   o.OverShare,
			MaxAttempts:      o.Limits.MaxAttempts,
			CanCancel:        o.Limits.Cancel,
			AskForList:       o.Discovery == "ask",
			AskEvery:         Millis(o.Rules.AskEvery),
			RetryAfter:       o.Limits.RetryAfter,
			MaxRetryAfter:    Millis(o.Limits.MaxRetryAfter),
			ColdCapacity:     o.Rules.ColdFrom,
			WarmUp:           Millis(o.Rules.WarmUp),
			OverloadMultiple: o.Rules.FallMultiple,
			OverloadTime:     Millis(o.Rules.FallTime),
		},
		Zones:          o.Zones,
		ConnIdle:       Millis(o.Limits.ConnIdle),
		ConnectTimeout: Millis(o.Limits.ConnectTimeout),
	}
	for i, c := range o.Classes {
		effect, knownEffect := effects[c.Effect]
		group, knownGroup := groups[c.Group]
		if !knownEffect || !knownGroup {
			return nil, fmt.Errorf("class %d: unknown effect %q or group %q", i, c.Effect, c.Group)
		}
		s.Balancer.Classes = append(s.Balancer.Classes, balance.Class{
			Aim: Millis(c.Aim), ClientTimeout: Millis(c.GiveUp), Effect: effect, DedupScope: group,
			DedupWindow: Millis(c.Window), Value: c.Worth, LateValue: c.LateWorth,
		})
		s.Classes = append(s.Classes, c.Name)
	}
	for _, r := range o.Realms {
		s.Balancer.Tenants = append(s.Balancer.Tenants, balance.Tenant{QuotaPerSecond: r.Quota})
		s.Tenants = append(s.Tenants, r.Name)
	}
	return s, nil
}

// longest bounds a duration on its way in: past about 292 years a conversion would wrap round.
const longest = 100 * 365 * 24 * time.Hour

// Millis reads a figure in milliseconds, to the microsecond, as all figures come.
func Millis(ms float64) time.Duration {
	if limit := float64(longest / time.Millisecond); ms > limit || ms < -limit {
		return time.Duration(math.Copysign(float64(longest), ms))
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
