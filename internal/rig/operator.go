package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"brasswell/internal/cluster/agreement"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/rig/ruling"
)

const (
	// mostAsking changes wait for their answers at one time.
	mostAsking = 16
	// askTime is for how long a change is asked for, again and again with the same id, as operators do.
	askTime = 5 * time.Second
)

// operate proposes changes of the rules until ctx is done: backends that are taken out everywhere and put back, half of them at
// most at one time.
func (r *Rig) operate(ctx context.Context) {
	s := r.config.Story
	if s.Changes == 0 {
		return
	}
	dice := rand.New(rand.NewPCG(s.Seed, 32))
	out := map[string]bool{} // as it was asked for
	var asking sync.WaitGroup
	defer asking.Wait()
	room := make(chan struct{}, mostAsking)
	for ctx.Err() == nil {
		wait(ctx, time.Duration((0.5+dice.Float64())*float64(time.Second)/s.Changes))
		member := s.Names()[dice.IntN(s.Members)]
		b := r.fleet.Backends[dice.IntN(len(r.fleet.Backends))].State().ID
		c := rules.Change{ID: agreement.NewID(), Kind: rules.Suspend, Server: b, Who: "rig"}
		switch {
		case out[b]:
			c.Kind = rules.Resume
		case len(out)+1 > len(r.fleet.Backends)/2:
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			continue
		}
		if c.Kind == rules.Suspend {
			out[b] = true
		} else {
			delete(out, b)
		}
		asking.Go(func() {
			defer func() { <-room }()
			r.change(ctx, member, c)
		})
	}
}

// change asks a member for a change until there is an answer, or for askTime.
func (r *Rig) change(ctx context.Context, member string, c rules.Change) {
	text, err := json.Marshal(c)
	if err != nil {
		return // it is this package's own
	}
	r.note(member, ruling.Proposed, map[string]string{"id": c.ID, "kind": fmt.Sprint(c.Kind), "backend": c.Server})
	for end := time.Now().Add(askTime); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, 50*time.Millisecond) {
		once, cancel := context.WithTimeout(ctx, time.Second)
		code, said, err := r.Tell(once, member, "/v1/rules", string(text))
		cancel()
		var a rules.Answer
		if err == nil && code == http.StatusOK && json.Unmarshal([]byte(said), &a) == nil {
			r.note(member, ruling.Answered, map[string]string{"id": c.ID, "version": fmt.Sprint(a.Version)})
			return
		}
		if err == nil && code == http.StatusConflict {
			return // turned away
		}
	}
}

// versions notes what each version was, as a keeper has kept it.
func (r *Rig) versions(ctx context.Context) {
	known := map[uint64]bool{}
	for _, m := range r.config.Story.Names()[:r.config.Story.Keepers] {
		once, cancel := context.WithTimeout(ctx, time.Second)
		code, text, err := r.Ask(once, m, "/v1/rules")
		cancel()
		if err != nil || code != http.StatusOK {
			continue
		}
		report, err := agreement.ReadReport(text)
		if err != nil {
			continue
		}
		for _, v := range report.History {
			if known[v.Number] {
				continue
			}
			known[v.Number] = true
			var out []string
			for id := range v.Doc.Bans {
				out = append(out, id)
			}
			slices.Sort(out)
			r.note("", ruling.Version, map[string]string{"version": fmt.Sprint(v.Number), "id": v.Change.ID, "out": strings.Join(out, " ")})
		}
	}
}
