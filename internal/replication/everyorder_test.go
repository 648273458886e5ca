package replication

import (
	"slices"
	"testing"
)

// maxDeliveries is the number of deliveries in the longest explored order.
const maxDeliveries = 6

// writeSixEntries returns a store that has written values and a tombstone, and their six rumours.
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
		for _, rumour := range writer.Rumours(0) {
			alreadySent := slices.ContainsFunc(sent, func(s Rumour) bool { return s.Entry.Seq == rumour.Entry.Seq })
			if !alreadySent {
				sent = append(sent, rumour)
			}
		}
	}
	return writer, sent
}

// Six messages are delivered in every order, each of them never, once or twice. After any of these
// deliveries, one comparison makes the store equal to the writer, so that no withdrawn entry reappears.
func TestEveryOrderOfMessagesConverges(t *testing.T) {
	writer, sent := writeSixEntries(t)
	if len(sent) != 6 {
		t.Fatalf("%d messages, want 6", len(sent))
	}
	want := writer.View(0, checkedTopic)
	states := 0
	// deliver explores all further deliveries at a store. delivered counts the deliveries of each message.
	var deliver func(store *Store, remaining int, delivered [6]int)
	deliver = func(store *Store, remaining int, delivered [6]int) {
		states++
		compared := cloneStore(store)
		runAntiEntropy(0, compared, writer, loseNothing)
		if err := compareViews(compared.View(0, checkedTopic), want); err != nil {
			t.Fatalf("after %v: %v", delivered, err)
		}
		if remaining == 0 {
			return
		}
		for i, rumour := range sent {
			if delivered[i] == 2 {
				continue
			}
			next := cloneStore(store)
			nextDelivered := delivered
			nextDelivered[i]++
			next.HandleRumour(0, rumour)
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
