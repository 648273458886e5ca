package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of the list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`

	seq uint64 // of its last change
}

// document is a list or changes, as discovery sends them.
type document struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is the service that tells the list.
type discovery struct {
	w *world

	mu        sync.Mutex
	seq       uint64
	hosts     []host
	changed   chan struct{}                       // closed at the next change
	told      func(sidecar string, list document) // called when an answer has been written
	listeners []*cutListener
}

// newDiscovery returns the service with a list.
func newDiscovery(w *world, hosts []host) *discovery {
	d := &discovery{w: w, seq: 41, hosts: hosts, changed: make(chan struct{})}
	for i := range d.hosts {
		d.hosts[i].seq = d.seq
	}
	return d
}

// addressFor returns an address of the service at which one sidecar calls it.
func (d *discovery) addressFor(sidecar string) (string, error) {
	l, err := listenCut()
	if err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, l)
	go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { d.serve(sidecar, rw, r) }))
	return l.Addr().String(), nil
}

// list returns the whole list, or the changes after a version.
func (d *discovery) list(after uint64, whole bool) document {
	doc := document{Seq: d.seq, Whole: whole, Hosts: []host{}}
	for _, h := range d.hosts {
		if whole && h.Health != "Gone" || !whole && h.seq > after {
			doc.Hosts = append(doc.Hosts, h)
		}
	}
	return doc
}

// whole returns the whole list.
func (d *discovery) whole() document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(0, true)
}

// setHealth changes the state of an endpoint.
func (d *discovery) setHealth(name, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for i := range d.hosts {
		if d.hosts[i].Host == name {
			d.hosts[i].Health = health
			d.hosts[i].seq = d.seq
		}
	}
	d.w.logf("discovery: %s is %s from version %d on", name, health, d.seq)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) serve(sidecar string, rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	query := r.URL.Query()
	afterText := query.Get("after")
	after, _ := strconv.ParseUint(afterText, 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	d.w.logf("discovery: call %s from %s", r.URL.RequestURI(), sidecar)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	d.mu.Lock()
	for waiting := waitMS > 0; waiting && afterText != "" && d.seq <= after; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	doc := d.list(after, afterText == "")
	d.mu.Unlock()
	text, _ := json.Marshal(doc)
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err := rw.Write(text)
	if err == nil {
		err = http.NewResponseController(rw).Flush()
	}
	if err != nil {
		d.w.logf("discovery: the answer to %s from %s could not be written", r.URL.RequestURI(), sidecar)
		return
	}
	d.w.logf("discovery: answered %s from %s with version %d, %d entries", r.URL.RequestURI(), sidecar, doc.Seq,
		len(doc.Hosts))
	if d.told != nil {
		d.told(sidecar, doc)
	}
}
