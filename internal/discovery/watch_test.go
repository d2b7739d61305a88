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

// wholeAnswer and halfAnswer are answers to one call: a list, and one whose connection ends within it. refused is the
// response of a discovery without capacity.
var (
	wholeList   = list(7, true, host("a", "127.0.0.1:1", "up"))
	wholeAnswer = answerOf(wholeList)
	halfAnswer  = wholeAnswer[:len(wholeAnswer)-20]
	cutHead     = "HTTP/1"
	cutList     = answerOf("{\"s")
	noAnswer    = ""
	refused     = serviceUnavailable
)

// scripted serves one answer after another, each on its own connection, and then accepts no more.
func scripted(t *testing.T, answers ...string) (address string, calls func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	accepted := 0
	var served sync.WaitGroup
	served.Go(func() {
		defer l.Close()
		for _, answer := range answers {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted++
			mu.Unlock()
			c.Read(make([]byte, 4096))
			c.Write([]byte(answer))
			c.Close()
		}
	})
	t.Cleanup(func() { l.Close(); served.Wait() })
	return l.Addr().String(), func() int { mu.Lock(); defer mu.Unlock(); return accepted }
}

// TestCutOffAnswerIsRequestedAgain: the changes in an answer that is cut off count as notified, so it is requested
// again immediately, and once. A refusal, or a connection that ends before an answer, is left to the backoff of the
// balancer.
func TestCutOffAnswerIsRequestedAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, c := range []struct {
		name    string
		answers []string
		calls   int
		want    []balance.ListKind
	}{
		{"within the body", []string{halfAnswer, wholeAnswer, refused}, 3, []balance.ListKind{balance.Full, balance.ListFailed}},
		{"within the head", []string{cutHead, wholeAnswer, refused}, 3, []balance.ListKind{balance.Full, balance.ListFailed}},
		{"within the list", []string{cutList, wholeAnswer, refused}, 3, []balance.ListKind{balance.Full, balance.ListFailed}},
		{"twice", []string{halfAnswer, halfAnswer, wholeAnswer}, 2, []balance.ListKind{balance.ListFailed}},
		{"again later", []string{halfAnswer, wholeAnswer, halfAnswer, wholeAnswer, refused}, 5, []balance.ListKind{balance.Full, balance.Full, balance.ListFailed}},
		{"refused", []string{refused, wholeAnswer}, 1, []balance.ListKind{balance.ListFailed}},
		{"no answer", []string{noAnswer, wholeAnswer}, 1, []balance.ListKind{balance.ListFailed}},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, calls := scripted(t, c.answers...)
			var got []balance.ListKind
			d := New(address, []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
				func(kind balance.ListKind, _ []balance.Entry, _ map[string]string) { got = append(got, kind) })
			d.client.Transport.(*http.Transport).DisableKeepAlives = true // a connection for each answer
			d.Watch(context.Background())
			d.CloseIdle()
			if !slices.Equal(got, c.want) || calls() != c.calls {
				t.Errorf("reported %v in %d calls, want %v in %d", got, calls(), c.want, c.calls)
			}
		})
	}
}

// TestAnswerWithoutChangesIsReported: an answer without changes shows the balancer that discovery answers.
func TestAnswerWithoutChangesIsReported(t *testing.T) {
	answer := answerOf(list(7, false))
	address, _ := scripted(t, answer, refused)
	var got []string
	d := New(address, nil, DefaultOptions(), slog.New(slog.DiscardHandler),
		func(kind balance.ListKind, entries []balance.Entry, _ map[string]string) {
			got = append(got, fmt.Sprint(kind, len(entries)))
		})
	d.client.Transport.(*http.Transport).DisableKeepAlives = true
	d.Resume(7)
	d.Watch(context.Background())
	if want := []string{"delta 0", "failed 0"}; !slices.Equal(got, want) {
		t.Errorf("reported %q, want %q", got, want)
	}
}
