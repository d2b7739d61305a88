package demo

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// output is what the demo prints, which a test reads while it runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
	news chan struct{}
}

func newOutput() *output { return &output{news: make(chan struct{}, 1)} }

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.news <- struct{}{}:
	default:
	}
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestWholeStory plays a short story on one core, with output that is no terminal, and follows the advice that it
// prints.
func TestWholeStory(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	out := newOutput()
	asked := make(chan int, 1)
	go func() {
		<-out.news
		asked <- follow(out.String())
	}()
	s, err := Run(t.Context(), Options{For: 3 * time.Second, Seed: 7, Out: out})
	if err != nil {
		t.Fatal(err)
	}
	if status := <-asked; status != http.StatusOK {
		t.Errorf("the line that it prints is answered %d", status)
	}
	if !s.Whole || !s.Kept || s.Tally.Served == 0 || len(s.Rules) != 4 {
		t.Errorf("%+v", s)
	}
	for _, r := range s.Rules {
		if r.Checks == 0 {
			t.Errorf("%s was not put to the test", r.Rule)
		}
	}
	if text := out.String(); strings.Contains(text, "\x1b") || !strings.Contains(text, "asked") {
		t.Errorf("piped output: %q", text)
	}
	var summary bytes.Buffer
	s.Print(&summary)
	if !strings.Contains(summary.String(), "cold servers stand   kept") {
		t.Error(summary.String())
	}
}

// follow asks what a printed curl line asks, and returns the answer's status.
func follow(text string) int {
	line := regexp.MustCompile(`curl .*`).FindString(text)
	req, err := http.NewRequest("GET", regexp.MustCompile(`http://\S+`).FindString(line), nil)
	if err != nil {
		return 0
	}
	for _, h := range regexp.MustCompile(`'([^:']+): ([^']+)'`).FindAllStringSubmatch(line, -1) {
		req.Header.Set(h[1], h[2])
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestEndedInTheMidst: what was asked is answered, and nothing is left running.
func TestEndedInTheMidst(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	out := newOutput()
	go func() {
		<-out.news
		stop()
	}()
	s, err := Run(ctx, Options{For: time.Hour, Seed: 7, Out: out, Live: true})
	if err != nil {
		t.Fatal(err)
	}
	if s.Whole || !s.Kept || s.Played > 60 {
		t.Errorf("%+v", s)
	}
}

func TestPortTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := Run(t.Context(), Options{For: time.Hour, Listen: l.Addr().String()}); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("error %v", err)
	}
}

func TestStoryIsPlayable(t *testing.T) {
	s := script(time.Minute)
	if err := s.Validate(8); err != nil {
		t.Error(err)
	}
	at := 0.0
	for _, p := range story() {
		if p.from != at || p.to <= p.from {
			t.Errorf("%s goes from %v to %v, after %v", p.name, p.from, p.to, at)
		}
		at = p.to
	}
	if at != 1 {
		t.Errorf("the story ends at %v", at)
	}
}
