package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"brasswell/balance"
)

// whole and half are answers to one call: a list, and one whose connection ends within it. refused is discovery's word
// that it has no room.
var (
	text    = list(7, true, host("a", "127.0.0.1:1", "up"))
	whole   = answerOf(text)
	half    = whole[:len(whole)-20]
	noHead  = "HTTP/1"
	noList  = answerOf("{\"s")
	none    = ""
	refused = serviceUnavailable
)

// scripted answers one call after another as told, each on a connection of its own, and then takes no more.
func scripted(t *testing.T, answers ...string) (address string, calls func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	taken := 0
	var served sync.WaitGroup
	served.Go(func() {
		defer l.Close()
		for _, answer := range answers {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			taken++
			mu.Unlock()
			c.Read(make([]byte, 4096))
			c.Write([]byte(answer))
			c.Close()
		}
	})
	t.Cleanup(func() { l.Close(); served.Wait() })
	return l.Addr().String(), func() int { mu.Lock(); defer mu.Unlock(); return taken }
}

// TestCutOffAnswersAreAskedForAgain: what an answer that breaks off should have told counts as told, so it is asked for
// again at once, and once; a refusal or a break with no answer begun is for the balancer's back-off.
func TestCutOffAnswersAreAskedForAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, c := range []struct {
		name    string
		answers []string
		calls   int
		told    []balance.ListKind
	}{
		{"within the body", []string{half, whole, refused}, 3, []balance.ListKind{balance.Full, balance.ListFailed}},
		{"within the head", []string{noHead, whole, refused}, 3, []balance.ListKind{balance.Full, balance.ListFailed}},
		{"within the list", []string{noList, whole, refused}, 3, []balance.ListKind{balance.Full, balance.ListFailed}},
		{"twice", []string{half, half, whole}, 2, []balance.ListKind{balance.ListFailed}},
		{"again later", []string{half, whole, half, whole, refused}, 5, []balance.ListKind{balance.Full, balance.Full, balance.ListFailed}},
		{"refused", []string{refused, whole}, 1, []balance.ListKind{balance.ListFailed}},
		{"no answer begun", []string{none, whole}, 1, []balance.ListKind{balance.ListFailed}},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, calls := scripted(t, c.answers...)
			var told []balance.ListKind
			d := New(address, []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
				func(kind balance.ListKind, _ []balance.Entry, _ map[string]string) { told = append(told, kind) })
			d.client.Transport.(*http.Transport).DisableKeepAlives = true // each answer its own connection
			d.Watch(context.Background())
			d.CloseIdle()
			if !slices.Equal(told, c.told) || calls() != c.calls {
				t.Errorf("told %v in %d calls, want %v in %d", told, calls(), c.told, c.calls)
			}
		})
	}
}

// TestQuietWatchIsTold: an answer without news shows the balancer that discovery answers.
func TestQuietWatchIsTold(t *testing.T) {
	answer := answerOf(list(7, false))
	address, _ := scripted(t, answer, refused)
	var told []string
	d := New(address, nil, DefaultOptions(), slog.New(slog.DiscardHandler),
		func(kind balance.ListKind, entries []balance.Entry, _ map[string]string) {
			told = append(told, fmt.Sprint(kind, len(entries)))
		})
	d.client.Transport.(*http.Transport).DisableKeepAlives = true
	d.Resume(7)
	d.Watch(context.Background())
	if want := []string{"delta 0", "failed 0"}; !slices.Equal(told, want) {
		t.Errorf("told %q, want %q", told, want)
	}
}
