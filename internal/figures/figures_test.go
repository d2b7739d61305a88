package figures

import (
	"strings"
	"sync"
	"testing"
)

func TestFormAndClassesFromTheStart(t *testing.T) {
	b := NewCounters([]string{"search", "odd:name|x"})
	b.RequestStarted()
	b.CountOutcome(0, Served)
	b.CountOutcome(0, Refused)
	b.CountOutcome(0, Refused)
	b.CountTry(0)
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
	if got := string(b.Append([]byte("kept\n"), Pool{8, 2})); got != "kept\n"+want {
		t.Errorf("got\n%s", got)
	}
}

func TestCountsFromManyGoroutines(t *testing.T) {
	b := NewCounters([]string{"a", "b"})
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() {
			for range 1000 {
				b.RequestStarted()
				b.CountTry(n % 2)
				b.CountOutcome(n%2, Outcome(n)%outcomes)
				b.Append(nil, Pool{})
				b.RequestEnded()
			}
		})
	}
	all.Wait()
	sum := Counts{}
	for n := range 2 {
		c := b.Class(n)
		sum.OK, sum.Shed, sum.Errors, sum.Tries = sum.OK+c.OK, sum.Shed+c.Shed, sum.Errors+c.Errors, sum.Tries+c.Tries
	}
	if sum != (Counts{3000, 3000, 2000, 8000}) || b.Active() != 0 {
		t.Errorf("%+v, %d active", sum, b.Active())
	}
}

func BenchmarkAppend(b *testing.B) {
	book := NewCounters(strings.Fields("search hold record-add"))
	var text []byte
	for b.Loop() {
		text = book.Append(text[:0], Pool{20, 1})
	}
}
