package cluster

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/peerspb"
)

// The numbers of topics are part of the wire format.
func TestTopicNumbersAreStable(t *testing.T) {
	if topicInstance != 1 || topicServer != 2 || topicDrain != 3 || len(topics) != 3 {
		t.Errorf("instance %d, server %d, drain %d, %d topics; want 1, 2, 3, and 3 topics",
			topicInstance, topicServer, topicDrain, len(topics))
	}
}

func TestRecordChecksRejectInvalidValues(t *testing.T) {
	marshal := func(record proto.Message) []byte {
		t.Helper()
		value, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		if topics[topicInstance].Check(marshal(&peerspb.Instance{Requests: rate})) == nil {
			t.Errorf("a rate of %v requests per second is accepted", rate)
		}
	}
	failures := marshal(&peerspb.Server{Attempts: 1, Failures: 2})
	if topics[topicServer].Check(failures) == nil || topics[topicServer].Check([]byte{0xff}) == nil {
		t.Error("a server record with more failures than attempts, or with an invalid encoding, is accepted")
	}
}
