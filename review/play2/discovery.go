package play2

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
}

// List is a list of discovery.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is the agent that lists are pushed to. It answers with what it has; a watch waits for changes.
type Discovery struct {
	Address string

	mu      sync.Mutex
	seq     int64
	hosts   []Host
	changed chan struct{}
	log     []change
}

type change struct {
	seq  int64
	host Host
}

// StartDiscovery starts an agent that has a list.
func (r *Run) StartDiscovery(hosts []Host) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	d := &Discovery{Address: l.Addr().String(), seq: 1, hosts: hosts, changed: make(chan struct{})}
	go http.Serve(l, d)
	return d
}

// Known returns the whole list.
func (d *Discovery) Known() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{d.seq, true, append([]Host(nil), d.hosts...)}
}

// Change changes an entry.
func (d *Discovery) Change(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.log = append(d.log, change{d.seq, h})
	for i := range d.hosts {
		if d.hosts[i].Host == h.Host {
			d.hosts[i] = h
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) since(from int64) (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Seq: d.seq, Hosts: []Host{}}
	for _, c := range d.log {
		if c.seq > from {
			list.Hosts = append(list.Hosts, c.host)
		}
	}
	return list, d.changed
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		json.NewEncoder(w).Encode(d.Known())
		return
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	list, changed := d.since(from)
	if len(list.Hosts) == 0 {
		select {
		case <-changed:
			list, _ = d.since(from)
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	json.NewEncoder(w).Encode(list)
}
