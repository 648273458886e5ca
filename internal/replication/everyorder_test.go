package replication

import (
	"slices"
	"testing"
)

// maxDeliveries is the number of deliveries in the longest explored order.
const maxDeliveries = 6

// writeSixEntries returns a store that has written values and a tombstone, and the six rumours
// of them.
func writeSixEntries(t *testing.T) (writer *Store, sent []Rumour) {
	t.Helper()
	writer = NewStore(testOrigin(1), testRules, DefaultLimits)
	for _, write := range []struct{ subject, value string }{
		{"a", "1"}, {"b", "1"}, {"a", "2"}, {"b", ""}, {"c", "1"}, {"b", "2"},
	} {
		if write.value == "" {
			writer.Withdraw(0, checkedTopic, write.subject)
		} else {
			mustPut(t, writer, 0, checkedTopic, write.subject, write.value)
		}
		for _, r := range writer.Rumours(0) {
			if !slices.ContainsFunc(sent, func(s Rumour) bool { return s.Entry.Seq == r.Entry.Seq }) {
				sent = append(sent, r)
			}
		}
	}
	return writer, sent
}

// Six messages are delivered in each order, each of them not at all, once or twice, at a store
// that may have received some already. Whatever was delivered, one comparison then makes the
// store equal to the writer, and nothing that was withdrawn reappears.
func TestEveryOrderOfMessagesConverges(t *testing.T) {
	writer, sent := writeSixEntries(t)
	if len(sent) != 6 {
		t.Fatalf("%d messages, want 6", len(sent))
	}
	want := writer.View(0, checkedTopic)
	states := 0
	// The deliveries of an order are chosen one after the other. delivered counts them by message.
	var deliver func(s *Store, remaining int, delivered [6]int)
	deliver = func(s *Store, remaining int, delivered [6]int) {
		states++
		compared := cloneStore(s)
		runAntiEntropy(0, compared, writer, loseNothing)
		if err := compareViews(compared.View(0, checkedTopic), want); err != nil {
			t.Fatalf("after %v: %v", delivered, err)
		}
		if remaining == 0 {
			return
		}
		for i, r := range sent {
			if delivered[i] == 2 {
				continue
			}
			next, nextDelivered := cloneStore(s), delivered
			nextDelivered[i]++
			next.HandleRumour(0, r)
			deliver(next, remaining-1, nextDelivered)
		}
	}
	deliveries := maxDeliveries
	if raceEnabled {
		deliveries = 4
	}
	deliver(NewStore(testOrigin(2), testRules, DefaultLimits), deliveries, [6]int{})
	t.Logf("%d states", states)
}
