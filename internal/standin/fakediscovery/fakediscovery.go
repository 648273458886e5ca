// Package fakediscovery provides a discovery service for tests. It serves one endpoint list, complete or as changes,
// to calls that may wait for a change. A test can alter the list, make calls fail, or send an invalid response.
package fakediscovery

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Document is an endpoint list in discovery's form.
type Document struct {
	Seq      uint64 `json:"seq"`
	Complete bool   `json:"whole"`
	Hosts    []Host `json:"hosts"`
}

// Host is one entry of a [Document]. Fields are named as in engine.Host, and JSON keys as in discovery.
type Host struct {
	Name      string  `json:"host"`
	Address   string  `json:"dial"`
	Site      string  `json:"site"`
	Kind      string  `json:"class"`
	Cell      uint16  `json:"block"`
	State     string  `json:"health"`
	Weight    float32 `json:"share"`
	StartedMS int64   `json:"born_ms"`
}

// Values of Host.State.
const (
	StateReady       = "Ready"
	StateTerminating = "Terminating"
	StateGone        = "Gone" // in changes only
)

// Ready returns the entry of an endpoint that is ready.
func Ready(name, address string) Host {
	return Host{Name: name, Address: address, Site: "a", Kind: "m1", State: StateReady, Weight: 1}
}

// Draining returns the entry of an endpoint that drains.
func Draining(name, address string) Host {
	host := Ready(name, address)
	host.State = StateTerminating
	return host
}

// Directory is a discovery service with one list.
type Directory struct {
	Address   string       // host:port
	OpenConns atomic.Int32 // number of open connections
	ListBytes atomic.Int64 // of lists and changes written so far

	sync.Mutex // guards the fields below

	List            Document // to be altered within Change
	Down            bool     // makes every call fail; to be altered within Change
	InvalidResponse string   // sent in place of the list, if not empty; to be altered within Change
	Calls           []string // query strings so far

	deltas  []Document // made by ApplyChanges since the last SetHosts, with successive versions
	server  *http.Server
	serving sync.WaitGroup
	changed chan struct{}     // closed and replaced with every change
	acks    []acknowledgement // in ascending order of version
}

// acknowledgement records when a caller first reported that it has a version.
type acknowledgement struct {
	seq uint64
	at  time.Time
}

// New starts a service whose list has these hosts. It is closed when the test ends.
func New(t testing.TB, hosts ...Host) *Directory {
	t.Helper()
	d, err := Start(hosts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// Start starts a service whose list has these hosts.
func Start(hosts ...Host) (*Directory, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Directory{
		Address: listener.Addr().String(),
		List:    Document{Complete: true, Hosts: hosts},
		changed: make(chan struct{}),
	}
	d.server = &http.Server{Handler: d, ConnState: d.countConn}
	d.serving.Go(func() { _ = d.server.Serve(listener) }) // until Close
	return d, nil
}

// countConn updates OpenConns.
func (d *Directory) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		d.OpenConns.Add(1)
	case http.StateClosed:
		d.OpenConns.Add(-1)
	}
}

// Close ends the service and its connections.
func (d *Directory) Close() {
	d.server.Close()
	d.serving.Wait()
}

// ServeHTTP responds to a call for the list. A call for changes after the current version waits for one, for up to the
// time that it asks for. A caller that disconnects meanwhile gets no response.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := r.FormValue("after")
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms")) // 0 if it is absent
	changed, waits := d.recordCall(r.URL.RawQuery, after, waitMS)
	if waits && !d.waitForChange(r, changed, time.Duration(waitMS)*time.Millisecond) {
		return
	}
	d.respond(w, after)
}

// recordCall records a call, and returns the channel of the next change and whether the call waits for it.
func (d *Directory) recordCall(query, after string, waitMS int) (changed <-chan struct{}, waits bool) {
	d.Lock()
	defer d.Unlock()
	d.Calls = append(d.Calls, query)
	if seq, err := strconv.ParseUint(after, 10, 64); err == nil && d.isNewerThanAcknowledged(seq) {
		d.acks = append(d.acks, acknowledgement{seq: seq, at: time.Now()})
	}
	isCurrent := after == fmt.Sprint(d.List.Seq)
	return d.changed, isCurrent && waitMS != 0 && !d.Down && d.InvalidResponse == ""
}

// isNewerThanAcknowledged reports whether a version is newer than all acknowledged ones. The caller holds the lock.
func (d *Directory) isNewerThanAcknowledged(seq uint64) bool {
	return len(d.acks) == 0 || seq > d.acks[len(d.acks)-1].seq
}

// waitForChange waits for a change until timeout. It reports whether the call gets a response: it gets none if its
// caller disconnects, and none at the timeout if [Directory.Silence] has been called.
func (d *Directory) waitForChange(r *http.Request, changed <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-changed:
		return true
	case <-r.Context().Done():
		return false
	case <-time.After(timeout):
	}
	d.Lock()
	isCurrent := changed == d.changed
	d.Unlock()
	if isCurrent {
		return true
	}
	select {
	case <-changed: // the list changed at the moment of the timeout
		return true
	case <-r.Context().Done():
		return false
	}
}

// respond writes the list, or what replaces it, to a caller that has the version after.
func (d *Directory) respond(w http.ResponseWriter, after string) {
	d.Lock()
	defer d.Unlock()
	switch {
	case d.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(d.List) // which the caller must not use
	case d.InvalidResponse != "":
		_, _ = io.WriteString(w, d.InvalidResponse)
	case after == fmt.Sprint(d.List.Seq):
		_ = json.NewEncoder(w).Encode(Document{Seq: d.List.Seq, Hosts: []Host{}})
	default:
		d.writeList(w, d.newerThan(after))
	}
}

// writeList writes a list or changes, and counts its bytes.
func (d *Directory) writeList(w http.ResponseWriter, list Document) {
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	written, _ := w.Write(text) // the caller may have disconnected
	d.ListBytes.Add(int64(written))
}

// newerThan returns the changes since the version after, or the complete list if some of them are not known. The caller
// holds the lock.
func (d *Directory) newerThan(after string) Document {
	seq, err := strconv.ParseUint(after, 10, 64)
	if err != nil || len(d.deltas) == 0 || seq+1 < d.deltas[0].Seq || seq > d.List.Seq {
		return d.List
	}
	merged := Document{Seq: d.List.Seq, Hosts: []Host{}}
	for _, delta := range d.deltas {
		if delta.Seq > seq {
			merged.Hosts = append(merged.Hosts, delta.Hosts...)
		}
	}
	return merged
}

// ApplyChanges makes the next version of the list from changes. Callers that have the previous version receive only
// the changes.
func (d *Directory) ApplyChanges(changes ...Host) {
	d.Change(func() {
		d.List.Seq++
		d.deltas = append(d.deltas, Document{Seq: d.List.Seq, Hosts: changes})
		changed := map[string]Host{}
		for _, host := range changes {
			changed[host.Name] = host
		}
		var hosts []Host
		for _, host := range d.List.Hosts {
			if newer, ok := changed[host.Name]; ok {
				delete(changed, host.Name)
				host = newer
			}
			if host.State != StateGone {
				hosts = append(hosts, host)
			}
		}
		for _, host := range changes {
			if _, added := changed[host.Name]; added && host.State != StateGone {
				hosts = append(hosts, host)
			}
		}
		d.List.Hosts = hosts
	})
}

// Change calls alter under the lock and then responds to the calls that wait.
func (d *Directory) Change(alter func()) {
	d.Lock()
	defer d.Unlock()
	alter()
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetHosts replaces the list by a complete one of this version.
func (d *Directory) SetHosts(version uint64, hosts ...Host) {
	d.Change(func() {
		d.List = Document{Seq: version, Complete: true, Hosts: hosts}
		d.deltas = nil
	})
}

// SetDown makes every call fail, or succeed again.
func (d *Directory) SetDown(down bool) {
	d.Change(func() { d.Down = down })
}

// Silence permanently withholds responses from the calls that wait now, and keeps their connections open.
func (d *Directory) Silence() {
	d.Lock()
	defer d.Unlock()
	d.changed = make(chan struct{})
}

// CallCount returns the number of calls so far.
func (d *Directory) CallCount() int {
	d.Lock()
	defer d.Unlock()
	return len(d.Calls)
}

// Queries returns the query strings of all calls so far.
func (d *Directory) Queries() []string {
	d.Lock()
	defer d.Unlock()
	return slices.Clone(d.Calls)
}

// Acknowledged returns when a caller first called for changes after a version, and so reported that it has it, or after
// a newer one. It reports false if none has.
func (d *Directory) Acknowledged(seq uint64) (time.Time, bool) {
	d.Lock()
	defer d.Unlock()
	for _, ack := range d.acks {
		if ack.seq >= seq {
			return ack.at, true
		}
	}
	return time.Time{}, false
}
