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

// maxStatusBytes bounds the JSON of a status that Fetch reads.
const maxStatusBytes = 64 << 20

// Status is the state of one instance's node. The operator's tools and instances of other builds
// read it as JSON. Its keys never change.
type Status struct {
	Name            string               `json:"name"`
	Epoch           uint64               `json:"epoch"`   // incarnation of the instance
	Address         string               `json:"at"`      // host:port at which others reach it
	Alive           []string             `json:"alive"`   // instances that are alive, this one included
	RecoveringFor   string               `json:"quiet"`   // how long the acceptor will grant nothing
	AcceptorKeys    int                  `json:"keys"`    // keys for which the acceptor holds state
	OpenLeases      int                  `json:"open"`    // lease requests of this instance without a decision
	RejectedEntries uint64               `json:"refused"` // replicated entries that were invalid or exceeded a limit
	DroppedMessages uint64               `json:"dropped"` // messages from peers that did not fit into the queue
	Counts          Counts               `json:"counts"`
	Vectors         []replication.Vector `json:"have"`       // up to where each origin's entries are complete
	Withheld        []string             `json:"held"`       // incarnations of servers that get no new requests
	Records         []Record             `json:"told"`       // all entries, by topic, origin and subject
	Servers         []ServerTotal        `json:"servers"`    // sums of all origins' server entries
	Voters          []string             `json:"witnesses"`  // as configured
	LongestEventMS  float64              `json:"longest_ms"` // longest time that the handling of one event took
	UptimeSeconds   float64              `json:"uptime_secs"`
}

// Record is one replicated entry.
type Record struct {
	Origin  replication.Origin `json:"origin"`
	Topic   replication.Topic  `json:"topic"`
	Subject string             `json:"subject"`
	Seq     uint64             `json:"seq"`
	Value   []byte             `json:"value"`
}

// ServerTotal is the sum of all instances' tallies for one incarnation of a server. Each instance
// counts only its own attempts, so that each attempt is counted once.
type ServerTotal struct {
	Server    string `json:"server"`  // incarnation in the form name@start
	Origins   int    `json:"origins"` // number of instances
	Attempts  uint64 `json:"attempts"`
	Failures  uint64 `json:"failures"`
	SlowStart uint64 `json:"cold"` // attempts while the server was warming up
}

// Status returns the current state, or an error if ctx ends or the node is closed.
func (n *Node) Status(ctx context.Context) (Status, error) {
	var status Status
	err := n.runTask(ctx, func() { status = n.snapshot() })
	status.Withheld = n.drains.applied.Load().incarnations
	status.Alive = append(n.members.others(), n.cfg.Name)
	slices.Sort(status.Alive)
	return status, err
}

// snapshot returns the state that the node's goroutine owns. It must be called on that goroutine.
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
		LongestEventMS:  float64(n.longestEvent.Microseconds()) / 1000,
		UptimeSeconds:   now.Seconds(),
	}
	status.Records = n.records(now)
	status.Servers = serverTotals(status.Records)
	return status
}

// records returns all replicated entries.
func (n *Node) records(now time.Duration) (records []Record) {
	for _, topic := range []replication.Topic{topicInstance, topicServer, topicDrain} {
		for _, entry := range n.store.View(now, topic) {
			records = append(records, Record{
				Origin:  entry.Origin,
				Topic:   topic,
				Subject: entry.Subject,
				Seq:     entry.Seq,
				Value:   entry.Value,
			})
		}
	}
	return records
}

// serverTotals sums the server entries of all origins. The result is sorted by incarnation.
func serverTotals(records []Record) []ServerTotal {
	byServer := map[string]*ServerTotal{}
	for _, record := range records {
		if record.Topic != topicServer {
			continue
		}
		server := &peerspb.Server{}
		if proto.Unmarshal(record.Value, server) != nil {
			continue // the check of the topic rejects such values
		}
		total := byServer[record.Subject]
		if total == nil {
			total = &ServerTotal{Server: record.Subject}
			byServer[record.Subject] = total
		}
		total.Origins++
		total.Attempts += server.GetAttempts()
		total.Failures += server.GetFailures()
		total.SlowStart += server.GetCold()
	}
	var totals []ServerTotal
	for _, server := range slices.Sorted(maps.Keys(byServer)) {
		totals = append(totals, *byServer[server])
	}
	return totals
}

// ServeHTTP serves the status as JSON.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, err := n.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // fails only if the client has disconnected
}

// Fetch requests the status that an instance serves at address, which has the form host:port.
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
		return status, fmt.Errorf("status request to %s failed: HTTP status %s", address, response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}
