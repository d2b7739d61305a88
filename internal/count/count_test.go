package count

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// logLine formats a line as in a proxy's text log, preceded by the timestamp of a log collector.
func logLine(proxy string, at float64, rest string) string {
	t := time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC).Add(time.Duration(at * float64(time.Second)))
	return fmt.Sprintf("%.3f time=%s level=DEBUG %s name=%s\n", at, t.Format(time.RFC3339Nano), rest, proxy)
}

func attempt(backend, outcome string, n, took int) string {
	return fmt.Sprintf("msg=attempt id=1 n=%d class=0 backend=%s outcome=%s took_ms=%d", n, backend, outcome, took)
}

func report(t *testing.T, text string) Report {
	t.Helper()
	var f Aggregator
	if skipped, err := Read(strings.NewReader(text), f.Add); err != nil || skipped > 0 {
		t.Fatalf("skipped %d lines, %v", skipped, err)
	}
	return f.Report()
}

// TestReportAddsUpAllProxies: two proxies lose one backend at different times and receive the list update one after the
// other.
func TestReportAddsUpAllProxies(t *testing.T) {
	r := report(t, logLine("p1", 0, "msg=call took_ms=10 seq=1 error=<nil>")+
		logLine("p1", 0.5, attempt("a", "ok", 0, 100))+
		logLine("p2", 0.6, attempt("b", "ok", 0, 100))+
		logLine("p1", 1.4, attempt("a", "connect_error", 0, 150))+
		logLine("p1", 1.5, attempt("b", "ok", 1, 100))+
		logLine("p2", 2.9, attempt("a", "timed_out", 0, 900))+ // sent at 2.0
		logLine("p2", 2.9, "msg=unserved id=2 class=0 refused=false attempts=1")+
		logLine("p1", 3.0, "msg=call took_ms=900 seq=2 error=<nil>")+
		logLine("p2", 3.2, `msg=call took_ms=0 seq=1 error="discovery turned the call away: 503 Service Unavailable"`)+
		logLine("p2", 3.9, "msg=call took_ms=20 seq=2 error=<nil>")+
		logLine("p2", 3.95, "msg=whatever"))
	if r.Proxies != 2 || len(r.Seconds) != 4 || r.Malformed != 0 {
		t.Fatalf("%d proxies, %d seconds, %d malformed lines", r.Proxies, len(r.Seconds), r.Malformed)
	}
	one := r.Seconds[1]
	if one.First != 1 || one.Retries != 1 || one.Outcomes["connect_error"] != 1 || one.MaxOverMean != 1 {
		t.Errorf("second 1: %+v", one)
	}
	if two := r.Seconds[2]; two.First != 1 || two.Failed != 1 || two.Refused != 0 {
		t.Errorf("second 2: %+v", two)
	}
	if three := r.Seconds[3]; three.Calls != 3 || three.FailedCalls != 1 {
		t.Errorf("second 3: %+v", three)
	}
	a := r.Backends[0]
	if a.ID != "a" || a.Proxies != 2 || a.Attempts != 3 || a.Served != 1 || a.FirstUnreachable != 1.25 || a.LastUnreachable != 2 || a.MaxPerSecond != 1 {
		t.Errorf("backend a: %+v", a)
	}
	if b := r.Backends[1]; b.FirstUnreachable != -1 || b.Served != 2 {
		t.Errorf("backend b: %+v", b)
	}
	if len(r.ListUpdates) != 2 || r.ListUpdates[1] != (ListUpdate{Seq: 2, Proxies: 2, First: 3, Last: 3.9}) || r.ListUpdates[0].Proxies != 2 {
		t.Errorf("list updates: %+v", r.ListUpdates)
	}
}

// TestJSONAndTextForms: the JSON form of a log is counted like the text form.
func TestJSONAndTextForms(t *testing.T) {
	r := report(t, `{"time":"2026-12-01T14:00:00Z","level":"DEBUG","msg":"attempt","name":"p1","n":0,"backend":"a","outcome":"ok","took_ms":5}
{"time":"2026-12-01T14:00:01Z","level":"DEBUG","msg":"call","name":"p1","took_ms":2500,"seq":4,"error":null}
`)
	if len(r.Backends) != 1 || r.Backends[0].Served != 1 || r.Seconds[1].FailedCalls != 0 || len(r.ListUpdates) != 1 {
		t.Errorf("%+v", r)
	}
}

// TestMalformedLines: text that is not a log line is skipped, and a line with invalid fields or a date that is days off
// counts as malformed.
func TestMalformedLines(t *testing.T) {
	var f Aggregator
	text := "panic: something\n\n{half\n" + logLine("p1", 0, attempt("a", "ok", 0, 1)) +
		logLine("p1", 1, "msg=attempt backend=a outcome=ok n=x took_ms=1") +
		logLine("p1", 1, "msg=call seq= error=<nil>") + logLine("p1", 3e5, attempt("a", "ok", 0, 1))
	skipped, err := Read(strings.NewReader(text), f.Add)
	if err != nil || skipped != 3 {
		t.Fatalf("skipped %d, %v", skipped, err)
	}
	if r := f.Report(); r.Malformed != 3 || r.Backends[0].Attempts != 1 || len(r.Seconds) != 2 {
		t.Errorf("%+v", r)
	}
	if r := new(Aggregator).Report(); r.Proxies != 0 || r.Seconds != nil {
		t.Errorf("report without lines: %+v", r)
	}
	if _, err := Read(strings.NewReader(strings.Repeat("x", maxLine+1)), f.Add); err == nil {
		t.Error("a line longer than maxLine is accepted")
	}
}

func FuzzRead(f *testing.F) {
	f.Add(logLine("p1", 0, attempt("a", "ok", 0, 1)))
	f.Add(`{"time":"2026-12-01T14:00:00Z","msg":"call","seq":1e300,"error":{}}`)
	f.Fuzz(func(t *testing.T, text string) {
		var fleet Aggregator
		Read(strings.NewReader(text), fleet.Add)
		if r := fleet.Report(); len(r.Seconds) > maxSeconds {
			t.Errorf("%d seconds, more than maxSeconds", len(r.Seconds))
		}
	})
}
