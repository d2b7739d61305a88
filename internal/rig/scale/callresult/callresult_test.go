package callresult

import (
	"reflect"
	"strings"
	"testing"
)

// side is a side of ten calls with a 99th percentile.
func side(p99 float64) Side {
	return Side{Sent: 12, Answered: 12, Recorded: 10, MedianMS: 1, P99MS: p99, WorstMS: p99 + 1, LateP99MS: 0.1}
}

func sound() *Run {
	pair := func(direct, proxied, cpu float64) Pair {
		return Pair{Direct: side(direct), Proxied: side(proxied), HopCalls: []int64{12, 12}, HopCPUUS: []float64{cpu, cpu + 20}}
	}
	return &Run{
		Version: Version, Settings: Settings{Rates: []float64{100}, Depths: []int{2}, Pairs: 3, LengthS: 1},
		Cases: []Case{{Rate: 100, Depth: 2, Pairs: []Pair{pair(2, 3, 50), pair(2, 8, 60), pair(3, 4.5, 10)}}},
	}
}

func written(t *testing.T, r *Run) string {
	t.Helper()
	var text strings.Builder
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	got, err := Read(strings.NewReader(written(t, sound())))
	if err != nil || !reflect.DeepEqual(got, sound()) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestSummary(t *testing.T) {
	r := sound()
	r.Cases[0].Pairs[1].Proxied.Answered = 11
	r.Cases[0].Pairs[2].Direct.LateP99MS = 0.4
	want := Summary{
		Direct: Times{1, 2}, Proxied: Times{1, 4.5}, Added: 1.5, AddedLeast: 1, AddedMost: 6, CPUUS: 60, Unanswered: 1, LateP99MS: 0.4,
	}
	if got := r.Cases[0].Summary(); got != want || r.Unanswered() != 1 {
		t.Errorf("%+v, want %+v", got, want)
	}
	for i, ms := range []float64{0.5, 2, 1} {
		r.Cases[0].Pairs[i].Direct.FromSendP99MS, r.Cases[0].Pairs[i].Proxied.FromSendP99MS = ms, 2*ms
	}
	if direct, proxied := r.Cases[0].FromSendP99MS(); direct != 1 || proxied != 2 {
		t.Errorf("from the sending on: %v, %v", direct, proxied)
	}
	even := Case{Pairs: r.Cases[0].Pairs[:2]}
	if got := even.Summary().Proxied.P99; got != 5.5 {
		t.Errorf("median of two: %v", got)
	}
}

// TestHowCallsEndedIsRead: a file tells it by side and proxy; in one of an older program it is not there.
func TestHowCallsEndedIsRead(t *testing.T) {
	r := sound()
	first, second := &r.Cases[0].Pairs[0], &r.Cases[0].Pairs[1]
	first.Proxied.Answered, first.Proxied.Recorded = 8, 8
	first.Proxied.Unanswered = &Unanswered{Refused: 2, TimedOut: 1, ConnectionErrors: 1, DuringWarmUp: 2}
	first.HopRefused, first.HopFailed = []int64{2, 0}, []int64{0, 0}
	second.Direct.Answered = 10
	second.Direct.Unanswered = &Unanswered{Failed: 1, NotSent: 1}
	got, err := Read(strings.NewReader(written(t, r)))
	if err != nil || !reflect.DeepEqual(got, r) {
		t.Fatalf("%+v, %v", got, err)
	}
	want := Unanswered{Refused: 2, Failed: 1, TimedOut: 1, ConnectionErrors: 1, NotSent: 1, DuringWarmUp: 2}
	if sum := got.UnansweredByEnd(); sum != want || sum.Total() != got.Unanswered() {
		t.Errorf("%+v of %d, want %+v", sum, got.Unanswered(), want)
	}

	older := sound()
	older.Cases[0].Pairs[0].Proxied.Answered = 11
	text := written(t, older)
	if strings.Contains(text, "unanswered") || strings.Contains(text, "hop_refused") {
		t.Error("an older program could not read it: ", text)
	}
	if got, err := Read(strings.NewReader(text)); err != nil || got.Unanswered() != 1 || got.UnansweredByEnd() != (Unanswered{}) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestBadFiles(t *testing.T) {
	whole := written(t, sound())
	changed := func(change func(*Run)) string {
		r := sound()
		change(r)
		return written(t, r)
	}
	for name, text := range map[string]string{
		"cut":                        whole[:len(whole)/2],
		"two values":                 whole + whole,
		"another version":            strings.Replace(whole, `"version": 1`, `"version": 2`, 1),
		"another field":              strings.Replace(whole, `"version"`, `"x": 1, "version"`, 1),
		"no cases":                   changed(func(r *Run) { r.Cases = nil }),
		"no pairs":                   changed(func(r *Run) { r.Cases[0].Pairs = nil }),
		"no rate":                    changed(func(r *Run) { r.Cases[0].Rate = 0 }),
		"another depth":              changed(func(r *Run) { r.Cases[0].Depth = 3 }),
		"negative CPU":               changed(func(r *Run) { r.Cases[0].Pairs[0].HopCPUUS[0] = -1 }),
		"negative calls":             changed(func(r *Run) { r.Cases[0].Pairs[0].HopCalls[1] = -1 }),
		"more answered":              changed(func(r *Run) { r.Cases[0].Pairs[0].Direct.Answered = 13 }),
		"more recorded":              changed(func(r *Run) { r.Cases[0].Pairs[0].Proxied.Recorded = 13 }),
		"nothing sent":               changed(func(r *Run) { r.Cases[0].Pairs[0].Proxied = Side{} }),
		"from send over worst":       changed(func(r *Run) { r.Cases[0].Pairs[0].Direct.FromSendP99MS = 100 }),
		"negative from send":         changed(func(r *Run) { r.Cases[0].Pairs[0].Direct.FromSendP99MS = -1 }),
		"negative median":            changed(func(r *Run) { r.Cases[0].Pairs[0].Direct.MedianMS = -1 }),
		"99th above worst":           changed(func(r *Run) { r.Cases[0].Pairs[0].Direct.P99MS = 100 }),
		"refused by a proxy too few": changed(func(r *Run) { r.Cases[0].Pairs[0].HopRefused = []int64{1} }),
		"negative failed":            changed(func(r *Run) { r.Cases[0].Pairs[0].HopFailed = []int64{0, -1} }),
		"more ends than calls":       changed(func(r *Run) { r.Cases[0].Pairs[0].Direct.Unanswered = &Unanswered{Refused: 1} }),
		"ends of some only": changed(func(r *Run) {
			r.Cases[0].Pairs[0].Direct.Answered = 10
			r.Cases[0].Pairs[0].Direct.Unanswered = &Unanswered{TimedOut: 1}
		}),
		"negative ends":     changed(func(r *Run) { r.Cases[0].Pairs[0].Direct.Unanswered = &Unanswered{Failed: 1, NotSent: -1} }),
		"more of a warm-up": changed(func(r *Run) { r.Cases[0].Pairs[0].Direct.Unanswered = &Unanswered{DuringWarmUp: 1} }),
		"no object":         `[]`,
	} {
		if _, err := Read(strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), "calls: ") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Read(strings.NewReader(changed(func(r *Run) { r.Cases, r.Interrupted = nil, true }))); err != nil {
		t.Errorf("interrupted before the first case: %v", err)
	}
}
