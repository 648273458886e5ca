package balancer

import (
	"fmt"
	"testing"
)

// fleetSizes are the numbers of endpoints at which costs are measured.
var fleetSizes = []int{200, 800, 3200, 10_000}

// scaleSettings returns settings with which slow start outlasts every benchmark and permits no sends.
func scaleSettings() Settings {
	s := testSettings()
	s.Balancers = 300
	s.Zones = 2
	s.Prices.Probe = 0.05
	s.Contract.SlowStartTime = 1_000_000 * second
	s.Contract.OverloadMultiple = 1e-9
	s.Limits.Hedging = false
	return s
}

// scaleFleet returns n endpoints in two zones, six to a cell. The first slow of them start at now.
func scaleFleet(n, slow int, now Micros) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{
			ID: uint32(i + 1), StableID: uint64(i+1) * 7919, Zone: uint8(i % 2), Kind: uint8(i % 3),
			Cell: uint16(i / 6), Weight: 1,
		}
		if i < slow {
			list[i].StartTime = now
		}
	}
	return list
}

// scaleSubject is a balancer under a steady stream of requests, one per millisecond.
type scaleSubject struct {
	*Balancer
	host *answeringHost
	now  Micros
	next uint64
}

// answeringHost records the attempts that have no outcome yet.
type answeringHost struct {
	discard
	sent []sent
}

func (h *answeringHost) Send(id uint64, endpoint uint32, _, _ Micros) {
	h.sent = append(h.sent, sent{id, endpoint})
}

func newScaleSubject(tb testing.TB, s Settings, list []Endpoint) *scaleSubject {
	tb.Helper()
	host := &answeringHost{}
	b, err := New(s, 7, host)
	if err != nil {
		tb.Fatal(err)
	}
	b.Start(second)
	b.UpdateEndpoints(second, ListFull, list)
	return &scaleSubject{Balancer: b, host: host, now: second}
}

// request runs one request of a class. Its attempts end with the given statuses in turn, and further ones with the
// last of them.
func (s *scaleSubject) request(class uint8, key uint64, statuses ...Status) {
	s.now += 1000
	s.next++
	s.HandleRequest(s.now, Request{ID: s.next, Class: class, Key: key, Deadline: s.now + second})
	for attempt := 0; len(s.host.sent) > 0; attempt++ {
		last := s.host.sent[0]
		s.host.sent = s.host.sent[:0]
		s.AttemptCompleted(s.now+500, Outcome{
			ID: last.id, Attempt: attempt, Endpoint: last.endpoint,
			Status: statuses[min(attempt, len(statuses)-1)], Latency: 10_000,
		})
	}
}

// report completes a probe of every endpoint with the same load.
func (s *scaleSubject) report() {
	load := []float32{1}
	for _, e := range s.endpoints.list {
		s.ProbeCompleted(s.now, e.ID, OK, 500, load)
	}
}

// reportInterval is the number of requests between two rounds of reports.
const reportInterval = 500

// scaleCase is a state of the fleet and the operation that is measured in it.
type scaleCase struct {
	name   string
	slow   func(n int) int // endpoints in slow start
	adjust func(*Settings)
	begin  func(*scaleSubject)
	step   func(s *scaleSubject, i int)
}

func noneInSlowStart(int) int   { return 0 }
func halfInSlowStart(n int) int { return n / 2 }
func allInSlowStart(n int) int  { return n }

var scaleCases = []scaleCase{
	{name: "all_fresh", slow: noneInSlowStart,
		begin: func(s *scaleSubject) { s.report() },
		step:  func(s *scaleSubject, _ int) { s.request(0, 0, OK) }},
	{name: "none_known", slow: noneInSlowStart,
		step: func(s *scaleSubject, _ int) { s.request(0, 0, OK) }},
	{name: "half_in_slow_start", slow: halfInSlowStart,
		step: func(s *scaleSubject, _ int) { s.request(0, 0, OK) }},
	{name: "all_in_slow_start", slow: allInSlowStart,
		step: func(s *scaleSubject, _ int) { s.request(0, 0, OK) }},
	{name: "all_fresh_in_slow_start", slow: allInSlowStart,
		begin: func(s *scaleSubject) { s.report() },
		step:  func(s *scaleSubject, _ int) { s.request(0, 0, OK) }},
	{name: "most_refuse_connections", slow: noneInSlowStart,
		begin: func(s *scaleSubject) {
			for i, e := range s.endpoints.list {
				if i%10 != 0 {
					e.failures = failureAverage{ratio: 1, updatedAt: s.now + 1_000_000*second}
				}
			}
		},
		step: func(s *scaleSubject, _ int) { s.request(0, 0, ConnectFailed, OK) }},
	{name: "retries", slow: halfInSlowStart,
		step: func(s *scaleSubject, _ int) { s.request(0, 0, Error, Error, OK) }},
	{name: "retries_in_cell", slow: halfInSlowStart,
		step: func(s *scaleSubject, _ int) { s.request(3, 0, Reset, Reset, OK) }},
	{name: "keyed_with_owners", slow: noneInSlowStart,
		adjust: func(settings *Settings) { settings.KeyAffinity = true },
		step:   func(s *scaleSubject, i int) { s.request(0, uint64(i)+1, OK) }},
	{name: "delta_of_one", slow: noneInSlowStart,
		step: func(s *scaleSubject, i int) {
			changed := s.endpoints.list[i%100].Endpoint
			changed.State = State(i / 100 % 2)
			s.UpdateEndpoints(s.now, ListDelta, []Endpoint{changed})
		}},
	{name: "replacement_of_one", slow: noneInSlowStart,
		step: func(s *scaleSubject, i int) {
			old := s.endpoints.list[0].Endpoint
			old.State = Removed
			added := old
			added.ID = uint32(1_000_000 + i)
			added.StableID = uint64(added.ID) * 7919
			added.State = Ready
			s.UpdateEndpoints(s.now, ListDelta, []Endpoint{old, added})
		}},
}

// BenchmarkFleetSize measures the cost of one request or one list change in fleets of different sizes.
func BenchmarkFleetSize(b *testing.B) {
	for _, c := range scaleCases {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("%s/%d", c.name, n), func(b *testing.B) { c.measure(b, n) })
		}
	}
}

func (c *scaleCase) measure(b *testing.B, n int) {
	settings := scaleSettings()
	if c.adjust != nil {
		c.adjust(&settings)
	}
	subject := newScaleSubject(b, settings, scaleFleet(n, c.slow(n), second))
	if c.begin != nil {
		c.begin(subject)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%reportInterval == 0 && c.begin != nil {
			b.StopTimer()
			c.begin(subject)
			b.StartTimer()
		}
		c.step(subject, i)
	}
}

// BenchmarkFullList measures the cost per endpoint of a complete list without changes.
func BenchmarkFullList(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := scaleFleet(n, 0, second)
			subject := newScaleSubject(b, scaleSettings(), list)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				subject.UpdateEndpoints(subject.now, ListFull, list)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/endpoint")
		})
	}
}
