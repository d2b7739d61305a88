// Command 6 plays bad clients that hide a request in the body of another one: a request with both Content-Length and
// Transfer-Encoding.
package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"brasswell/review/play2"
)

const (
	repeats = 10
	// The ids of the requests that must not reach a backend begin with these words.
	outer, hidden = "outer", "hidden"
)

// form is one way to send a request with both fields.
type form struct {
	name    string
	lead    string // sent first on the connection
	version string
	fields  string
}

var forms = []form{
	{"HTTP/1.0, kept open", "", "HTTP/1.0", "Connection: keep-alive\r\n"},
	{"after a health check in chunks", "GET /_health HTTP/1.1\r\nHost: p\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1", ""},
}

func main() {
	r := play2.Begin()
	var hosts []play2.Host
	for i := range 3 {
		hosts = append(hosts, r.StartBackend(fmt.Sprintf("b%d", i), func(b *play2.Backend, q *play2.Request) bool {
			if strings.HasPrefix(q.ID, outer) {
				r.Break("%s got %s, which has both a length and a transfer coding", b.Host.Host, q.ID)
			}
			return q.Reply(b.Answer(q))
		}).Host)
	}
	d := r.StartDiscovery(hosts)
	listen := r.FreeAddress()
	p := r.Start("n1", play2.NewConfig(listen, d.Address, d.Known(), play2.Class{
		"name": "a", "aim_ms": 1000, "give_up_ms": 2000, "effect": "free", "worth": 1,
	}, play2.Class{
		"name": "k", "aim_ms": 1000, "give_up_ms": 2000, "effect": "guarded", "group": "all", "window_ms": 5000, "worth": 1,
	}), nil)
	r.WaitHealthy(listen, p)
	for _, f := range forms {
		for n := range repeats {
			play(r, listen, f, n)
		}
	}
	r.Check(!p.Ended(), "the proxy has ended")
	r.End()
}

// play sends one request, and with trouble one that hides another, and reads all answers.
func play(r *play2.Run, listen string, f form, n int) {
	c, err := play2.Dial(listen)
	r.Must(err)
	defer c.Close()
	if f.lead != "" {
		status, _, _, err := c.Do(f.lead, time.Second)
		r.Note("client got for its health check: %d %v", status, err)
	}
	// By its length the body is the line with the chunk's size, and what follows is another request. By its coding that
	// other request is the body.
	inner := fmt.Sprintf("GET /api/x HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s%d\r\nX-Lane: a\r\nX-Remaining-Ms: 1500\r\n\r\n", hidden, n)
	size := fmt.Sprintf("%x\r\n", len(inner))
	id, coding, rest := play2.NewID(), "", ""
	if r.Trouble {
		id, coding, rest = outer+id, "Transfer-Encoding: chunked\r\n", inner+"\r\n0\r\n\r\n"
	}
	r.WillSend(id)
	text := fmt.Sprintf("POST /api/x %s\r\nHost: backend.local\r\n%sX-Txn: %s\r\nX-Lane: k\r\nIdempotency-Key: %s\r\nX-Remaining-Ms: 1500\r\n%sContent-Length: %d\r\n\r\n%s%s",
		f.version, f.fields, id, id, coding, len(size), size, rest)
	r.Note("%s: client sends %q", f.name, text)
	io.WriteString(c, text)
	for {
		status, body, _, err := c.Answer(time.Second)
		r.Note("client got %d %q %v", status, body, err)
		if err != nil {
			return
		}
	}
}
