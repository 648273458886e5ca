package cluster

import (
	"encoding/json"
	"testing"

	"pinedale/internal/replication"
)

// The status that an instance serves over HTTP has the JSON keys of earlier builds: `peers show` and
// `peers diff` read the status of instances of other builds.
func TestStatusJSONKeysAreStable(t *testing.T) {
	origin := replication.Origin{Name: "i-0", Epoch: 7}
	status := Status{
		Name:            "i-0",
		Epoch:           7,
		Address:         "127.0.0.1:7946",
		Alive:           []string{"i-0", "i-1"},
		RecoveringFor:   "0s",
		AcceptorKeys:    1,
		OpenLeases:      2,
		RejectedEntries: 3,
		DroppedMessages: 4,
		Counts: Counts{
			Requests: 1, Exclusive: 2, Shared: 3, Denied: 4, NoMajority: 5, Received: 6, Malformed: 7, Sent: 8, Bytes: 9,
		},
		Vectors:        []replication.Vector{{Origin: origin, CompleteTo: 10, BeyondHash: 11}},
		Withheld:       []string{"s-1"},
		Records:        []Record{{Origin: origin, Topic: 1, Subject: "s-1", Seq: 12, Value: []byte("v")}},
		Servers:        []ServerTotal{{Server: "s-1", Origins: 1, Attempts: 2, Failures: 3, SlowStart: 4}},
		Voters:         []string{"i-0"},
		LongestEventMS: 1.5,
		UptimeSeconds:  2.5,
	}
	const want = `{"name":"i-0","epoch":7,"at":"127.0.0.1:7946","alive":["i-0","i-1"],"quiet":"0s",` +
		`"keys":1,"open":2,"refused":3,"dropped":4,` +
		`"counts":{"Claims":1,"Clear":2,"Shared":3,"Refused":4,"Unsure":5,"Heard":6,"Bad":7,"Sent":8,"Bytes":9},` +
		`"have":[{"Origin":{"Name":"i-0","Epoch":7},"Have":10,"More":11}],"held":["s-1"],` +
		`"told":[{"origin":{"Name":"i-0","Epoch":7},"topic":1,"subject":"s-1","seq":12,"value":"dg=="}],` +
		`"servers":[{"server":"s-1","origins":1,"attempts":2,"failures":3,"cold":4}],"witnesses":["i-0"],` +
		`"longest_ms":1.5,"uptime_secs":2.5}`
	got, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("status as JSON:\n got %s\nwant %s", got, want)
	}
}
