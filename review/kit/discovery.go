package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of the list, in discovery's form.
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

// List is a whole list or its changes.
type List struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery answers GET /catalog/members: the whole list, or, as a watch, the changes since a version.
type Discovery struct {
	record   *Record
	listener net.Listener

	mu      sync.Mutex
	seq     int
	hosts   []Host
	changed map[string]int // version of the last change, by host
	waiting chan struct{}  // closed at each change

	// pause, if above 0, is a pause within the body of the next answer that is written, which onPause is told of.
	pause   time.Duration
	onPause func()
}

// NewDiscovery starts a discovery with a first list, on a free port.
func NewDiscovery(record *Record, hosts []Host) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{record: record, listener: l, seq: 1, hosts: hosts, changed: map[string]int{}, waiting: make(chan struct{})}
	go http.Serve(l, d)
	return d, nil
}

// Addr is discovery's address.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Known is the list as a proxy's configuration has it.
func (d *Discovery) Known() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{d.seq, true, d.hosts}
}

// SetPause makes the next answer come in two pieces, with a pause between them, and calls onPause after the first.
func (d *Discovery) SetPause(pause time.Duration, onPause func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pause, d.onPause = pause, onPause
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	deadline := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		seq, waiting := d.seq, d.waiting
		list := List{seq, from < 0, []Host{}}
		for _, h := range d.hosts {
			if from < 0 || d.changed[h.Host] > from {
				list.Hosts = append(list.Hosts, h)
			}
		}
		d.mu.Unlock()
		if from < 0 || seq > from || hold <= 0 {
			d.write(w, list)
			return
		}
		select {
		case <-waiting:
		case <-deadline:
			hold = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (d *Discovery) write(w http.ResponseWriter, list List) {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	d.mu.Lock()
	pause, onPause := d.pause, d.onPause
	d.pause, d.onPause = 0, nil
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	half := len(text) / 2
	w.Write(text[:half])
	if pause > 0 {
		http.NewResponseController(w).Flush()
		d.record.Linef("discovery: version %d, the first %d of %d bytes are written; the rest follows in %v", list.Seq, half, len(text), pause)
		if onPause != nil {
			onPause()
		}
		time.Sleep(pause)
	}
	w.Write(text[half:])
}

// Close ends discovery.
func (d *Discovery) Close() { d.listener.Close() }
