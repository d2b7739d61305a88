package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// QuietAgent is a discovery agent that has no news: it confirms whatever list a proxy has.
type QuietAgent struct {
	address string
	server  *http.Server
}

// NewQuietAgent starts an agent at a free address of loopback.
func NewQuietAgent() (*QuietAgent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &QuietAgent{address: l.Addr().String(), server: &http.Server{Handler: http.HandlerFunc(confirmList)}}
	go a.server.Serve(l)
	return a, nil
}

// Address returns the address at which the agent listens.
func (a *QuietAgent) Address() string { return a.address }

// Close ends the agent.
func (a *QuietAgent) Close() error { return a.server.Close() }

// confirmList answers a call for the list with no news, once its wait is over.
func confirmList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	hold, _ := strconv.Atoi(query.Get("hold_ms")) // 0 if there is none
	select {
	case <-time.After(time.Duration(hold) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, `{"seq":%s,"whole":false,"hosts":[]}`, query.Get("from"))
}
