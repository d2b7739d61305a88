package ruling

import (
	"strconv"
	"testing"
	"time"

	"brasswell/internal/cluster/agreement"
	"brasswell/internal/host"
	"brasswell/internal/rig/history"
)

func fields(pairs ...string) map[string]string {
	m := map[string]string{}
	for i := 0; i < len(pairs); i += 2 {
		m[pairs[i]] = pairs[i+1]
	}
	return m
}

// told is a history in which a ban is version 2, on its way at both from 1 s on and in force at a from 2 s on.
func told(more ...history.Event) []history.Event {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	events := []history.Event{
		{At: at(9), What: Version, Fields: fields("version", "2", "id", "x", "out", "node-00")},
		{At: at(0.9), Who: "a", What: Proposed, Fields: fields("id", "x")},
		{At: at(1), Who: "a", What: Answered, Fields: fields("id", "x", "version", "2")},
	}
	for _, who := range []string{"a", "b"} {
		events = append(events, history.Event{At: 0, Who: who, What: history.Started},
			history.Event{At: 1, Who: who, What: agreement.LogMode, Fields: fields("mode", "leased")},
			history.Event{At: 1, Who: who, What: agreement.LogRules, Fields: fields("version", "1", "last", "1")},
			history.Event{At: at(1), Who: who, What: agreement.LogRules, Fields: fields("version", "1", "last", "2")})
	}
	events = append(events, history.Event{At: at(2), Who: "a", What: agreement.LogRules, Fields: fields("version", "2", "last", "2")})
	return append(events, more...)
}

func act(seconds float64, who, backend, leased string) history.Event {
	const zero = 100 * time.Second
	at := time.Duration(seconds * float64(time.Second))
	return history.Event{At: at, Who: who, What: host.TraceBasis, Fields: fields("backend", backend, "version", "1", "leased", leased,
		"at_us", strconv.FormatInt((zero+at).Microseconds(), 10))}
}

func TestJudge(t *testing.T) {
	const zero = 100 * time.Second
	for name, c := range map[string]struct {
		more            []history.Event
		leased, without time.Duration
		lost            int
	}{
		"while it is on its way":     {more: []history.Event{act(1.5, "b", "node-00", "true")}},
		"another backend":            {more: []history.Event{act(3, "b", "node-01", "true")}},
		"against it":                 {more: []history.Event{act(3, "b", "node-00", "true")}, leased: time.Second},
		"against it with no lease":   {more: []history.Event{act(2.5, "b", "node-00", "false")}, without: 500 * time.Millisecond},
		"itself":                     {more: []history.Event{act(3, "a", "node-00", "true")}},
		"who had it out has died":    {more: []history.Event{{At: 2500 * time.Millisecond, Who: "a", What: history.Ended}, act(3, "b", "node-00", "true")}},
		"who had it out has no word": {more: []history.Event{{At: 3050 * time.Millisecond, Who: "a", What: agreement.LogMode, Fields: fields("mode", "alone")}, act(3, "b", "node-00", "true")}},
		"its lifting is on its way": {more: []history.Event{{At: 9 * time.Second, What: Version, Fields: fields("version", "3", "id", "y", "out", "")},
			{At: 2500 * time.Millisecond, Who: "a", What: agreement.LogRules, Fields: fields("version", "2", "last", "3")}, act(3, "b", "node-00", "true")}},
		"lost": {more: []history.Event{{At: time.Second, Who: "a", What: Answered, Fields: fields("id", "z", "version", "7")}}, lost: 1},
	} {
		v := Judge(told(c.more...), zero)
		if v.Leased != c.leased || v.Unleased != c.without || len(v.Lost) != c.lost {
			t.Errorf("%s: %+v", name, v)
		}
		if len(v.InForce) != 1 || v.InForce[0] != 1100*time.Millisecond {
			t.Errorf("%s: in force after %v", name, v.InForce)
		}
	}
}
