package figures

import (
	"strings"
	"sync"
	"testing"
)

func TestFormAndClassesFromTheStart(t *testing.T) {
	cs := NewCounters([]string{"search", "odd:name|x"})
	cs.RequestStarted()
	cs.CountOutcome(0, Served)
	cs.CountOutcome(0, Refused)
	cs.CountOutcome(0, Refused)
	cs.CountTry(0)
	want := `edge_relay.ok.search:1|c
edge_relay.shed.search:2|c
edge_relay.errors.search:0|c
edge_relay.tries.search:1|c
edge_relay.ok.odd_name_x:0|c
edge_relay.shed.odd_name_x:0|c
edge_relay.errors.odd_name_x:0|c
edge_relay.tries.odd_name_x:0|c
edge_relay.active:1|g
edge_relay.pool_size:8|g
edge_relay.pool_ejected:2|g
`
	if got := string(cs.Append([]byte("kept\n"), Pool{8, 2})); got != "kept\n"+want {
		t.Errorf("got\n%s", got)
	}
}

func TestCountsFromManyGoroutines(t *testing.T) {
	cs := NewCounters([]string{"a", "b"})
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() {
			for range 1000 {
				cs.RequestStarted()
				cs.CountTry(n % 2)
				cs.CountOutcome(n%2, Outcome(n)%numOutcomes)
				cs.Append(nil, Pool{})
				cs.RequestEnded()
			}
		})
	}
	all.Wait()
	sum := Counts{}
	for n := range 2 {
		c := cs.Class(n)
		sum.OK, sum.Shed, sum.Errors, sum.Tries = sum.OK+c.OK, sum.Shed+c.Shed, sum.Errors+c.Errors, sum.Tries+c.Tries
	}
	if sum != (Counts{3000, 3000, 2000, 8000}) || cs.Active() != 0 {
		t.Errorf("%+v, %d active", sum, cs.Active())
	}
}

func BenchmarkAppend(b *testing.B) {
	cs := NewCounters(strings.Fields("search hold record-add"))
	var text []byte
	for b.Loop() {
		text = cs.Append(text[:0], Pool{20, 1})
	}
}
