package cluster

import "testing"

// TestTopicNumbersAreThoseOfEarlierBuilds holds the numbers that entries carry on the wire.
func TestTopicNumbersAreThoseOfEarlierBuilds(t *testing.T) {
	if topicInstance != 1 || topicServer != 2 || topicDrain != 3 || len(topics) != 3 {
		t.Errorf("instance %d, server %d, drain %d, %d topics; want 1, 2, 3, and 3 topics", topicInstance, topicServer, topicDrain, len(topics))
	}
}
