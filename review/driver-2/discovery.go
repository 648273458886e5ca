package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// document is an answer of discovery.
type document struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// change is an entry that changed with a version.
type change struct {
	seq  int
	host host
}

// fleetList is what all addresses of discovery know.
type fleetList struct {
	mu      sync.Mutex
	seq     int
	hosts   []host
	changes []change
	changed chan struct{}
}

func newFleetList(hosts []host) *fleetList {
	return &fleetList{seq: 1, hosts: hosts, changed: make(chan struct{})}
}

// whole returns the complete list.
func (f *fleetList) whole() document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return document{Seq: f.seq, Whole: true, Hosts: append([]host{}, f.hosts...)}
}

// after returns the changes since a version, and a channel that is closed with the next change.
func (f *fleetList) after(seq int) (document, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := document{Seq: f.seq, Hosts: []host{}}
	for _, c := range f.changes {
		if c.seq > seq {
			d.Hosts = append(d.Hosts, c.host)
		}
	}
	return d, f.changed
}

// setHealth changes an entry.
func (f *fleetList) setHealth(name, health string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	for i := range f.hosts {
		if f.hosts[i].Host == name {
			f.hosts[i].Health = health
			f.changes = append(f.changes, change{f.seq, f.hosts[i]})
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// discovery is one address of discovery.
type discovery struct {
	address  string
	list     *fleetList
	record   *record
	server   *http.Server
	listener net.Listener
	served   chan struct{}

	mu     sync.Mutex
	delay  time.Duration // of every answer but those of watches that are waiting
	silent chan struct{} // closed once the watches that are open fall silent
	opened chan time.Time
}

func startDiscovery(list *fleetList, r *record) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return serveDiscovery(listener, list, r), nil
}

// serveDiscovery serves discovery on a listener.
func serveDiscovery(listener net.Listener, list *fleetList, r *record) *discovery {
	d := &discovery{
		address: listener.Addr().String(), list: list, record: r, listener: listener,
		served: make(chan struct{}), silent: make(chan struct{}), opened: make(chan time.Time, 1),
	}
	d.server = &http.Server{Handler: d}
	go func() {
		defer close(d.served)
		_ = d.server.Serve(listener)
	}()
	return d
}

// close ends the service and its connections.
func (d *discovery) close() {
	d.server.Close()
	<-d.served
}

// retire takes no new connection, and closes the open ones after 1.5 s, as the old address after SIGHUP.
func (d *discovery) retire() {
	d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() { d.server.Close() })
}

// setDelay makes every call wait for its turn for a time.
func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// silence makes the watches that are open fall silent. Later calls are answered.
func (d *discovery) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silent)
	d.silent = make(chan struct{})
}

// awaitWatch waits until a watch with nothing to tell is opened.
func (d *discovery) awaitWatch(timeout time.Duration) (time.Time, bool) {
	select {
	case <-d.opened:
	default:
	}
	select {
	case at := <-d.opened:
		return at, true
	case <-time.After(timeout):
		return time.Time{}, false
	}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	began := time.Now()
	d.mu.Lock()
	delay, silent := d.delay, d.silent
	d.mu.Unlock()
	d.record.add("discovery %s: call %q", d.address, r.URL.RawQuery)
	after, err := strconv.Atoi(r.FormValue("after"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	if err == nil && wait > 0 {
		if answer, changed := d.list.after(after); len(answer.Hosts) == 0 {
			select {
			case d.opened <- began:
			default:
			}
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				d.record.add("discovery %s: the caller closed a call after %v", d.address, since(began))
				return
			case <-silent:
				<-r.Context().Done()
				d.record.add("discovery %s: the caller closed a silent watch after %v", d.address, since(began))
				return
			}
			d.write(w, after, err, began)
			return
		}
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			d.record.add("discovery %s: the caller closed a call after %v", d.address, since(began))
			return
		}
	}
	d.write(w, after, err, began)
}

// write answers a call: changes, or the whole list for a call without a version.
func (d *discovery) write(w http.ResponseWriter, after int, noVersion error, began time.Time) {
	answer := d.list.whole()
	if noVersion == nil {
		answer, _ = d.list.after(after)
	}
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, string(text))
	d.record.add("discovery %s: answered after %v: seq %d whole %v, %d hosts", d.address, since(began), answer.Seq,
		answer.Whole, len(answer.Hosts))
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }
