package proxy_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"brasswell/internal/config"
	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
)

var banSeeds = flag.Int("ban-seeds", 2, "number of operator ban scenarios to run, each with its own seed")

// inUseTimeout is the time within which a backend must get a request after its ban is lifted.
const inUseTimeout = 5 * time.Second

// TestOperatorBans bans random backends through the console and lifts the bans, under load and while other backends
// fail. The auditor looks for requests that reach a banned backend later than the grace period after the console's
// confirmation.
func TestOperatorBans(t *testing.T) {
	for seed := range *banSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runBans(t, uint64(seed))
		})
	}
}

func runBans(t *testing.T, seed uint64) {
	f, err := standin.NewFleet(standin.FleetConfig{Seed: seed, Backends: 6, Rules: rules()})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	text, err := f.Config(64, 1024)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	fields["console"] = "127.0.0.1:0"
	if text, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	p, err := config.NewProxy(text, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	console := p.ConsoleAddr()
	endProxy := serveProxy(t, p)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	call := func(id, verb string) {
		resp, err := client.Post("http://"+console+"/v1/backends/"+id+"/"+verb, "", nil)
		if err != nil {
			t.Errorf("%s %s: %v", verb, id, err)
			return
		}
		defer resp.Body.Close()
		if answer, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 {
			t.Errorf("%s %s: %d %s", verb, id, resp.StatusCode, answer)
		}
	}

	rng := rand.New(rand.NewPCG(seed, 17))
	var script standin.Script
	script.Length = time.Minute // at most: the load ends with the scenario
	script.Load = standin.Load{Rate: 100, Retries: 2, Backoff: 5 * time.Millisecond, Slack: rules().AnswerSlack}
	for _, kind := range []string{"fail", "slow", "reset-after"}[:rng.IntN(3)+1] {
		script.Steps = append(script.Steps, step(kind, 6, rng))
	}
	ctx, end := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		if err := f.Play(ctx, script, f.Callers(p.Addr().String()), nil); err != nil {
			t.Error(err)
		}
	})
	bans, slowest := 0, time.Duration(0)
	for range 2 + rng.IntN(3) {
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		indexes := rng.Perm(6)[:1+rng.IntN(3)]
		for _, i := range indexes {
			id := f.Backends[i].State().ID
			call(id, "suspend")
			f.Books.ByHand(id, true)
			bans++
		}
		time.Sleep(rules().DrainGrace + time.Duration(rng.IntN(300))*time.Millisecond)
		for _, i := range indexes {
			id := f.Backends[i].State().ID
			if rng.IntN(4) == 0 {
				call(id, "suspend") // a repeated ban has no effect
			}
			before := f.Backends[i].State().Arrived
			f.Books.ByHand(id, false)
			liftedAt := time.Now()
			call(id, "resume")
			for f.Backends[i].State().Arrived == before {
				if time.Since(liftedAt) > inUseTimeout {
					t.Errorf("%s got no request after its ban was lifted", id)
					break
				}
				time.Sleep(time.Millisecond)
			}
			slowest = max(slowest, time.Since(liftedAt))
		}
	}
	end()
	running.Wait()
	endProxy()
	f.Books.Settle()
	r := f.Books.Report()
	if !r.Kept() {
		t.Errorf("%v of %v checks: %+v", r.Broken, r.Checks, r.Cases)
	}
	if r.Latest > rules().DrainGrace { // the auditor's slack is longer than most bans here
		t.Errorf("a request arrived %v after the confirmation", r.Latest)
	}
	if r.Checks[audit.Drains] < bans {
		t.Errorf("%d bans, and %d notices to check", bans, r.Checks[audit.Drains])
	}
	t.Logf("%d bans, %d requests, %d served; the latest arrived %v after a confirmation, the slowest backend was in use again after %v", bans, r.Asked, r.Served, r.Latest, slowest)
}
