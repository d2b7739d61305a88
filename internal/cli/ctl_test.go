package cli

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestCtl calls a console that knows one backend, one that says nothing sensible, and none.
func TestCtl(t *testing.T) {
	var calls []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.URL.EscapedPath())
		switch {
		case r.URL.Path == "/v1/readyz":
			io.WriteString(w, "ready\n")
		case r.URL.Path == "/v1/metrics":
			io.WriteString(w, "edge_relay.ok.search:812|c\nnonsense\nedge_relay.active:14|g\n")
		case r.URL.Path == "/v1/status":
			w.Header().Set("Content-Type", "application/json")
			io.WriteString(w, `{"ready":true,"listed":2,"avoided":[{"id":"node-03","why":"by hand","for_s":90}]}`)
		case strings.Contains(r.URL.Path, "node/03"):
			io.WriteString(w, "done\n")
		default:
			http.Error(w, "no list has ever named it", http.StatusNotFound)
		}
	}))
	defer s.Close()
	at := s.Listener.Addr().String()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := l.Addr().String()
	l.Close()
	for _, c := range []struct {
		args           []string
		code           int
		out, err, call string
	}{
		{[]string{"ctl", "ready", "--console", at}, 0, "ready", "", "GET /v1/readyz"},
		{[]string{"ctl", "ready", "--console", at, "--format", "json"}, 0, `{"answer":"ready"}`, "", "GET /v1/readyz"},
		{[]string{"ctl", "figures", "--console", at}, 0, "edge_relay.active:14|g", "", "GET /v1/metrics"},
		{[]string{"ctl", "figures", "--console", at, "--format", "json"}, 0, `{"edge_relay.active":14,"edge_relay.ok.search":812}`, "", "GET /v1/metrics"},
		{[]string{"ctl", "status", "--console", at}, 0, "node-03                  by hand  for 90 s", "", "GET /v1/status"},
		{[]string{"ctl", "status", "--console", at, "--format", "json"}, 0, `"avoided":[{"id":"node-03"`, "", "GET /v1/status"},
		{[]string{"ctl", "suspend", "node/03", "--console", at}, 0, "done", "", "POST /v1/backends/node%2F03/suspend"},
		{[]string{"ctl", "resume", "node/03", "--console", at}, 0, "done", "", "POST /v1/backends/node%2F03/resume"},
		{[]string{"ctl", "suspend", "nobody", "--console", at}, 1, "", "no list has ever", "POST /v1/backends/nobody/suspend"},
		{[]string{"ctl", "ready", "--console", nobody}, 2, "", "no answer", ""},
		{[]string{"ctl", "ready"}, 2, "", "RELAY_CONSOLE", ""},
		{[]string{"ctl", "suspend", "--console", at}, 2, "", "arg", ""},
		{[]string{"ctl", "ready", "--console", at, "--format", "xml"}, 2, "", "format", ""},
	} {
		calls = nil
		var out, errOut bytes.Buffer
		code := Main(t.Context(), c.args, func(string) string { return "" }, &out, &errOut)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) {
			t.Errorf("%v: %d, %q, %q", c.args, code, out.String(), errOut.String())
		}
		if got := strings.Join(calls, "; "); got != c.call {
			t.Errorf("%v: called %q", c.args, got)
		}
	}
}
