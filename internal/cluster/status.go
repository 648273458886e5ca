package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/replication"
)

// Status is what an instance holds, as it tells whoever asks.
type Status struct {
	Name      string               `json:"name"`
	Epoch     uint64               `json:"epoch"`
	At        string               `json:"at"`
	Alive     []string             `json:"alive"`       // that it takes to be there, itself included
	Quiet     string               `json:"quiet"`       // for which it will not yet answer as a witness
	Keys      int                  `json:"keys"`        // that it holds as a witness
	Open      int                  `json:"open"`        // own claims without a verdict
	Refused   uint64               `json:"refused"`     // entries and deltas left out
	Dropped   uint64               `json:"dropped"`     // messages that found no room
	Counts    Counts               `json:"counts"`      // since its start
	Have      []replication.Vector `json:"have"`        // up to which number it has all that each tells
	Held      []string             `json:"held"`        // servers held back, since others know that they drain
	Told      []Record             `json:"told"`        // entries, by who tells them and about what
	Servers   []ServerSum          `json:"servers"`     // what all tell of servers, added up
	Witnesses []string             `json:"witnesses"`   // as its file names them
	Round     float64              `json:"longest_ms"`  // the longest that its goroutine was at work at once
	Uptime    float64              `json:"uptime_secs"` // of this life
}

// Record is one entry.
type Record struct {
	Origin  replication.Origin `json:"origin"`
	Topic   replication.Topic  `json:"topic"`
	Subject string             `json:"subject"`
	Seq     uint64             `json:"seq"`
	Value   []byte             `json:"value"`
}

// ServerSum is what all instances together tell of one life of a server. Each counts its own
// attempts alone, so that the sum counts each once.
type ServerSum struct {
	Server   string `json:"server"`
	Origins  int    `json:"origins"`
	Attempts uint64 `json:"attempts"`
	Failures uint64 `json:"failures"`
	Cold     uint64 `json:"cold"`
}

// Status returns what is held now.
func (h *Node) Status(ctx context.Context) (s Status, err error) {
	err = h.do(ctx, func() {
		now := h.now()
		s = Status{Name: h.life.Name, Epoch: h.life.Epoch, At: h.Addr(), Quiet: h.witness.RecoveringFor(now).Round(time.Millisecond).String(),
			Keys: h.witness.KeyCount(), Open: len(h.open), Refused: h.store.RejectedCount(), Dropped: h.dropped.Load(), Counts: h.counts,
			Have: h.store.Vectors(), Witnesses: h.cfg.Voters, Round: float64(h.longest.Microseconds()) / 1000, Uptime: now.Seconds()}
		sums := map[string]*ServerSum{}
		for _, topic := range []replication.Topic{topicInstance, topicServer, topicDrain} {
			for _, t := range h.store.View(now, topic) {
				s.Told = append(s.Told, Record{t.Origin, topic, t.Subject, t.Seq, t.Value})
				if topic != topicServer {
					continue
				}
				v := &peerspb.Server{}
				if proto.Unmarshal(t.Value, v) != nil {
					continue // it was checked when it came
				}
				x := sums[t.Subject]
				if x == nil {
					x = &ServerSum{Server: t.Subject}
					sums[t.Subject] = x
				}
				x.Origins++
				x.Attempts += v.GetAttempts()
				x.Failures += v.GetFailures()
				x.Cold += v.GetCold()
			}
		}
		for _, name := range slices.Sorted(maps.Keys(sums)) {
			s.Servers = append(s.Servers, *sums[name])
		}
	})
	s.Held = h.heeded.Load().lives
	s.Alive = append(h.others(), h.cfg.Name)
	slices.Sort(s.Alive)
	return s, err
}

// ServeHTTP tells the status as JSON.
func (h *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s, err := h.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s) // whoever is gone by now needs no answer
}

// statusMost bounds a status that is read, in bytes.
const statusMost = 64 << 20

// Fetch asks an instance for its status at host:port.
func Fetch(ctx context.Context, address string) (s Status, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return s, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%s answered %s", address, response.Status)
	}
	return s, json.NewDecoder(io.LimitReader(response.Body, statusMost)).Decode(&s)
}

// Print writes a status for people.
func (s *Status) Print(out io.Writer) error {
	fmt.Fprintf(out, "%s (epoch %d) at %s, up for %.0f s\n", s.Name, s.Epoch, s.At, s.Uptime)
	fmt.Fprintf(out, "alive: %v\n", s.Alive)
	fmt.Fprintf(out, "witness: %d keys held", s.Keys)
	if s.Quiet != "0s" {
		fmt.Fprintf(out, "; answers nothing for another %s, since it has started", s.Quiet)
	}
	c := s.Counts
	fmt.Fprintf(out, "\nclaims: %d, of them %d clear, %d shared, %d refused, %d without a majority's word\n", c.Claims, c.Clear, c.Shared, c.Refused, c.Unsure)
	fmt.Fprintf(out, "messages: %d heard, %d sent (%d bytes), %d made no sense, %d found no room; %d entries left out\n", c.Heard, c.Sent, c.Bytes, c.Bad, s.Dropped, s.Refused)
	if len(s.Held) > 0 {
		fmt.Fprintf(out, "held back, since others know that they drain: %v\n", s.Held)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "origin\tepoch\tall up to")
	for _, v := range s.Have {
		fmt.Fprintf(w, "%s\t%d\t%d\n", v.Origin.Name, v.Origin.Epoch, v.Have)
	}
	fmt.Fprintln(w, "server\ttold by\tattempts\tfailed\twhile cold")
	for _, v := range s.Servers {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", v.Server, v.Origins, v.Attempts, v.Failures, v.Cold)
	}
	return w.Flush()
}

// Diff names what one instance's copy has and another's has otherwise or not at all. What was
// told within the last second or so may be under way.
func Diff(a, b *Status) (lines []string) {
	type subject struct {
		origin replication.Origin
		topic  replication.Topic
		name   string
	}
	index := func(s *Status) map[subject]Record {
		out := map[subject]Record{}
		for _, t := range s.Told {
			out[subject{t.Origin, t.Topic, t.Subject}] = t
		}
		return out
	}
	in, other := index(a), index(b)
	for k, x := range in {
		y, ok := other[k]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s/%d %s: %s has number %d, %s nothing", k.origin.Name, k.origin.Epoch, k.name, a.Name, x.Seq, b.Name))
		case x.Seq != y.Seq:
			lines = append(lines, fmt.Sprintf("%s/%d %s: %s has number %d, %s number %d", k.origin.Name, k.origin.Epoch, k.name, a.Name, x.Seq, b.Name, y.Seq))
		}
	}
	for k, y := range other {
		if _, ok := in[k]; !ok {
			lines = append(lines, fmt.Sprintf("%s/%d %s: %s has nothing, %s number %d", k.origin.Name, k.origin.Epoch, k.name, a.Name, b.Name, y.Seq))
		}
	}
	if !slices.Equal(a.Witnesses, b.Witnesses) {
		lines = append(lines, fmt.Sprintf("the files name other witnesses: %v at %s, %v at %s", a.Witnesses, a.Name, b.Witnesses, b.Name))
	}
	slices.Sort(lines)
	return lines
}
