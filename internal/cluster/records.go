package cluster

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/replication"
)

// Topics of replicated entries. Their numbers are part of the wire format.
const (
	// topicInstance has one entry of each origin, about the instance itself.
	topicInstance replication.Topic = iota + 1
	// topicServer has one entry per server incarnation: the outcomes of the origin's attempts.
	topicServer
	// topicDrain has one entry, without a value, per server incarnation that the origin's
	// membership source lists as draining.
	topicDrain
)

// entryTTL is how long an entry is valid. Origins write their entries again well before that, except
// for those about servers whose tallies have not changed.
const entryTTL = 5 * time.Minute

var topics = map[replication.Topic]replication.Rule{
	topicInstance: {TTL: entryTTL, Check: checkInstance},
	topicServer:   {TTL: entryTTL, Check: checkServer},
	topicDrain:    {TTL: entryTTL, Check: checkDrain, Indexed: true},
}

func checkInstance(value []byte) error {
	instance := &peerspb.Instance{}
	if err := proto.Unmarshal(value, instance); err != nil {
		return err
	}
	if rate := instance.GetRequests(); math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return fmt.Errorf("invalid request rate: %v per second", rate)
	}
	return nil
}

func checkServer(value []byte) error {
	server := &peerspb.Server{}
	if err := proto.Unmarshal(value, server); err != nil {
		return err
	}
	if server.GetFailures() > server.GetAttempts() || server.GetCold() > server.GetAttempts() {
		return errors.New("more failures or slow-start attempts than attempts")
	}
	return nil
}

func checkDrain(value []byte) error {
	if len(value) > 0 {
		return fmt.Errorf("drain entry has a value of %d bytes, want none", len(value))
	}
	return nil
}

// incarnationOf returns the identifier of an incarnation of a server: its name and its start time
// in Unix milliseconds.
func incarnationOf(name string, startedMS int64) string { return fmt.Sprintf("%s@%d", name, startedMS) }
