package departures

import (
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestSentAfterCountsArrivalsSinceDisconnect(t *testing.T) {
	disconnectedAt := time.Now()
	for _, c := range []struct {
		name       string
		arrival    time.Duration // after the client disconnected
		arrives    bool
		sent, late int
	}{
		{name: "not sent"},
		{name: "before the client disconnected", arrives: true, arrival: -time.Second},
		{name: "within the tolerance", arrives: true, arrival: Tolerance, sent: 1},
		{name: "after the tolerance", arrives: true, arrival: Tolerance + 1, sent: 1, late: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &server{arrivals: map[string]time.Time{"other": disconnectedAt.Add(time.Hour)}}
			if c.arrives {
				s.arrivals["1"] = disconnectedAt.Add(c.arrival)
			}
			sent, late := s.sentAfter(map[string]time.Time{"1": disconnectedAt})
			if sent != c.sent || late != c.late {
				t.Errorf("%d sent and %d late, want %d and %d", sent, late, c.sent, c.late)
			}
		})
	}
}

func TestServerRecordsRequestsAndClosesConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, err := startServer()
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	conn, err := net.Dial("tcp", s.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := "POST /order HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 7\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if sent, _ := s.sentAfter(map[string]time.Time{"7": {}}); sent != 1 {
		t.Errorf("%d requests recorded, want 1", sent)
	}
}

func TestResultsAreBrokenByLateRequestsOnly(t *testing.T) {
	results := Results{{Name: "first", Departures: 100, Sent: 3}, {Name: "second", Departures: 100}}
	if reason := results.Violation(); reason != "" {
		t.Errorf("violation without a late request: %s", reason)
	}
	results[1].Late = 2
	if reason := results.Violation(); reason != "second: 2 of 100 requests sent over 300ms after the client disconnected" {
		t.Errorf("violation: %s", reason)
	}
}
