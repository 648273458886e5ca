// Package fakediscovery is a stand-in for the platform's discovery service: one list,
// whole or watched, that a test changes, takes down or spoils.
package fakediscovery

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Document is a list in discovery's form.
type Document struct {
	Seq      uint64 `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []Host `json:"hosts"`
}

// Host is one of its entries.
type Host struct {
	Name      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Class     string  `json:"class"`
	Block     uint16  `json:"block"`
	Health    string  `json:"health"`
	Share     float32 `json:"share"`
	StartedMS int64   `json:"born_ms"`
}

// Directory is a discovery service with one list.
type Directory struct {
	Address string

	sync.Mutex          // guards all but Conns
	List       Document // these are to be altered within Change
	Down       bool
	Broken     string   // an answer to give in place of the list
	Calls      []string // queries, so far
	server     *http.Server
	changed    chan struct{} // closed and replaced with every change
	polls      []versionPoll // by those who call, each a newer version than the one before
	OpenConns  atomic.Int32  // open connections
}

// versionPoll is when a caller first said that it has a version.
type versionPoll struct {
	seq uint64
	at  time.Time
}

// Acknowledged says when a caller first asked for what is newer than a version, or than a newer one:
// it has been told then. False if none has.
func (d *Directory) Acknowledged(seq uint64) (time.Time, bool) {
	d.Lock()
	defer d.Unlock()
	for _, h := range d.polls {
		if h.seq >= seq {
			return h.at, true
		}
	}
	return time.Time{}, false
}

// New starts a service with a list of these entries, until the test ends.
func New(t *testing.T, hosts ...Host) *Directory {
	t.Helper()
	d, err := Start(hosts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// Start starts a service with a list of these entries.
func Start(hosts ...Host) (*Directory, error) {
	d := &Directory{List: Document{Complete: true, Hosts: hosts}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.Address = listener.Addr().String()
	d.server = &http.Server{Handler: d, ConnState: func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			d.OpenConns.Add(1)
		case http.StateClosed:
			d.OpenConns.Add(-1)
		}
	}}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Close ends the service.
func (d *Directory) Close() { d.server.Close() }

// ServeHTTP answers a call for the list. A caller that has gone by then gets nothing.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.Lock()
	d.Calls = append(d.Calls, r.URL.RawQuery)
	after, wait, changed := r.FormValue("after"), r.FormValue("wait_ms"), d.changed
	if seq, err := strconv.ParseUint(after, 10, 64); err == nil && (len(d.polls) == 0 || seq > d.polls[len(d.polls)-1].seq) {
		d.polls = append(d.polls, versionPoll{seq, time.Now()})
	}
	waits := after == fmt.Sprint(d.List.Seq) && wait != "0" && !d.Down && d.Broken == ""
	d.Unlock()
	if waits {
		ms, _ := strconv.Atoi(wait)
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
			d.Lock()
			silenced := changed != d.changed
			d.Unlock()
			if silenced {
				select {
				case <-changed: // it came just now
				case <-r.Context().Done():
					return
				}
			}
		case <-r.Context().Done():
			return
		}
	}
	d.Lock()
	defer d.Unlock()
	switch {
	case d.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(d.List) // which must not be believed
	case d.Broken != "":
		_, _ = io.WriteString(w, d.Broken)
	case after == fmt.Sprint(d.List.Seq):
		_ = json.NewEncoder(w).Encode(Document{Seq: d.List.Seq, Hosts: []Host{}})
	default:
		_ = json.NewEncoder(w).Encode(d.List)
	}
}

// Change alters the service and wakes the calls that wait.
func (d *Directory) Change(alter func()) {
	d.Lock()
	defer d.Unlock()
	alter()
	close(d.changed)
	d.changed = make(chan struct{})
}

// Silence has the calls that wait now never be answered, and their connections stay open.
func (d *Directory) Silence() {
	d.Lock()
	defer d.Unlock()
	d.changed = make(chan struct{})
}

// Count is how many calls came.
func (d *Directory) CallCount() int {
	d.Lock()
	defer d.Unlock()
	return len(d.Calls)
}

// Ready is discovery's entry for an endpoint.
func Ready(name, address string) Host {
	return Host{Name: name, Dial: address, Site: "a", Class: "m1", Health: "Ready", Share: 1}
}
