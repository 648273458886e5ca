package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/replication"
)

// maxStatusBytes bounds a status that is fetched.
const maxStatusBytes = 64 << 20

// Status is the state of one instance's node. Instances of other builds and the operator's
// tools read it as JSON: its keys never change.
type Status struct {
	Name            string               `json:"name"`
	Epoch           uint64               `json:"epoch"` // of this instance's life
	Address         string               `json:"at"`    // host:port that it listens on
	Alive           []string             `json:"alive"` // instances that are alive, this one included
	RecoveringFor   string               `json:"quiet"` // for how long the acceptor will grant nothing
	AcceptorKeys    int                  `json:"keys"`  // keys that the acceptor remembers
	OpenLeases      int                  `json:"open"`  // lease requests of this instance without a decision
	RejectedEntries uint64               `json:"refused"`
	DroppedMessages uint64               `json:"dropped"` // messages from peers that found the queue full
	Counts          Counts               `json:"counts"`
	Vectors         []replication.Vector `json:"have"`        // up to which number each origin's entries are complete
	HeldBack        []string             `json:"held"`        // servers that others know to drain
	Records         []Record             `json:"told"`        // all entries, by topic, origin and subject
	Servers         []ServerTotal        `json:"servers"`     // sums of all origins' server entries
	Voters          []string             `json:"witnesses"`   // as configured
	LongestTurn     float64              `json:"longest_ms"`  // for which one event kept the goroutine busy, in ms
	Uptime          float64              `json:"uptime_secs"` // in seconds
}

// Record is one replicated entry.
type Record struct {
	Origin  replication.Origin `json:"origin"`
	Topic   replication.Topic  `json:"topic"`
	Subject string             `json:"subject"`
	Seq     uint64             `json:"seq"`
	Value   []byte             `json:"value"`
}

// ServerTotal sums what all instances have counted for one incarnation of a server. Each counts
// its own attempts alone, so the sum counts each attempt once.
type ServerTotal struct {
	Server    string `json:"server"` // name@start
	Origins   int    `json:"origins"`
	Attempts  uint64 `json:"attempts"`
	Failures  uint64 `json:"failures"`
	SlowStart uint64 `json:"cold"` // attempts while the server was warming up
}

// Status returns the present state.
func (n *Node) Status(ctx context.Context) (Status, error) {
	var status Status
	err := n.runTask(ctx, func() { status = n.snapshot() })
	status.HeldBack = n.drains.applied.Load().incarnations
	status.Alive = append(n.members.others(), n.cfg.Name)
	slices.Sort(status.Alive)
	return status, err
}

// snapshot returns the state that the node's goroutine owns. It is called there.
func (n *Node) snapshot() Status {
	now := n.now()
	status := Status{
		Name:            n.self.Name,
		Epoch:           n.self.Epoch,
		Address:         n.Addr(),
		RecoveringFor:   n.leases.acceptor.RecoveringFor(now).Round(time.Millisecond).String(),
		AcceptorKeys:    n.leases.acceptor.KeyCount(),
		OpenLeases:      len(n.leases.open),
		RejectedEntries: n.store.RejectedCount(),
		DroppedMessages: n.droppedMessages.Load(),
		Counts:          n.counts,
		Vectors:         n.store.Vectors(),
		Voters:          n.cfg.Voters,
		LongestTurn:     float64(n.longestTurn.Microseconds()) / 1000,
		Uptime:          now.Seconds(),
	}
	for _, topic := range []replication.Topic{topicInstance, topicServer, topicDrain} {
		for _, entry := range n.store.View(now, topic) {
			status.Records = append(status.Records, Record{
				Origin:  entry.Origin,
				Topic:   topic,
				Subject: entry.Subject,
				Seq:     entry.Seq,
				Value:   entry.Value,
			})
		}
	}
	status.Servers = serverTotals(status.Records)
	return status
}

// serverTotals sums the server entries of all origins, in the order of the servers' names.
func serverTotals(records []Record) []ServerTotal {
	totals := map[string]*ServerTotal{}
	for _, record := range records {
		if record.Topic != topicServer {
			continue
		}
		server := &peerspb.Server{}
		if proto.Unmarshal(record.Value, server) != nil {
			continue // the topic's check has rejected such values
		}
		total := totals[record.Subject]
		if total == nil {
			total = &ServerTotal{Server: record.Subject}
			totals[record.Subject] = total
		}
		total.Origins++
		total.Attempts += server.GetAttempts()
		total.Failures += server.GetFailures()
		total.SlowStart += server.GetCold()
	}
	var out []ServerTotal
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		out = append(out, *totals[name])
	}
	return out
}

// ServeHTTP serves the status as JSON.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, err := n.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // it fails only where the client has disconnected
}

// Fetch requests an instance's status at host:port.
func Fetch(ctx context.Context, address string) (Status, error) {
	var status Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("%s answered %s", address, response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}
