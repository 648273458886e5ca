package balancer

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// testSettings returns basic settings that tests change as needed.
func testSettings() Settings {
	s := Settings{
		Balancers: 2, Zones: 1, Kinds: 1, Tick: 5000,
		Classes: []Class{
			{Name: "read", Idempotency: Idempotent},
			{Name: "with-key-all", Idempotency: IdempotentWithKey, Group: GroupAll, DedupWindow: 500_000},
			{Name: "with-key-zone", Idempotency: IdempotentWithKey, Group: GroupZone, DedupWindow: 500_000},
			{Name: "with-key-cell", Idempotency: IdempotentWithKey, Group: GroupCell, DedupWindow: 500_000},
			{Name: "write", Idempotency: NotIdempotent},
		},
		Fields: []Field{FieldInFlight},
		Limits: Limits{Cancel: true, Probes: true, Hedging: true, RetryAfter: true,
			MaxAttempts: 3, MaxOpen: 1000, MaxRetryAfter: second, DialTimeout: 100_000},
		Contract: Contract{DrainGrace: 500_000, SlowStartRatio: 0.2, SlowStartTime: 10 * second,
			OverloadMultiple: 2.5, OverloadTime: second, PollInterval: 10 * second},
		Goal: Goal{Overall: 1},
	}
	for i := range s.Classes {
		s.Classes[i].LatencyObjective = 400_000
		s.Classes[i].ClientTimeout = second
		s.Classes[i].PriorityWeight = 1
	}
	return s
}

type sent struct {
	id       uint64
	endpoint uint32
}

// recorder is a host that records the actions of a balancer.
type recorder struct {
	sends    []sent
	rejected []uint64
	failed   []uint64
	cancels  []uint64
	probes   []uint32
	timers   []uint32
	delays   []Micros
	watches  int
	logs     []string
}

func (r *recorder) Send(id uint64, e uint32, _, _ Micros) { r.sends = append(r.sends, sent{id, e}) }
func (r *recorder) Reject(id uint64, _ Micros)            { r.rejected = append(r.rejected, id) }
func (r *recorder) Fail(id uint64)                        { r.failed = append(r.failed, id) }
func (r *recorder) Cancel(id uint64, _ int)               { r.cancels = append(r.cancels, id) }
func (r *recorder) Timer(delay Micros, token uint32) {
	r.timers, r.delays = append(r.timers, token), append(r.delays, delay)
}
func (r *recorder) Probe(e uint32) { r.probes = append(r.probes, e) }
func (r *recorder) Watch(bool)     { r.watches++ }
func (r *recorder) Log(event string, attributes ...any) {
	r.logs = append(r.logs, strings.TrimSpace(event+" "+fmt.Sprintln(attributes...)))
}

// ready returns n ready endpoints with IDs from 1. Each pair shares a cell and a zone.
func ready(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Zone: uint8(i / 2), Cell: uint16(i / 2), Weight: 1}
	}
	return list
}

func start(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	r := &recorder{}
	b, err := New(s, 7, r)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.UpdateEndpoints(0, ListCached, list)
	return b, r
}

func testRequest(id uint64, class uint8, now Micros) Request {
	return Request{ID: id, Class: class, Deadline: now + second}
}

func TestNewReportsInvalidSetting(t *testing.T) {
	for _, test := range []struct {
		key        string
		invalidate func(*Settings)
	}{
		{"Balancers", func(s *Settings) { s.Balancers = 0 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].LatencyObjective", func(s *Settings) { s.Classes[0].LatencyObjective = 0 }},
		{"Classes[1].DedupWindow", func(s *Settings) { s.Classes[1].DedupWindow = -1 }},
		{"Contract.SlowStartRatio", func(s *Settings) { s.Contract.SlowStartRatio = 0 }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Prices.Probe", func(s *Settings) { s.Prices.Probe = -1 }},
	} {
		s := testSettings()
		test.invalidate(&s)
		_, err := New(s, 1, &recorder{})
		var bad *SettingError
		if !errors.As(err, &bad) || bad.Key != test.key {
			t.Errorf("New with an invalid %s returned error %v, want a *SettingError for that key", test.key, err)
		}
	}
}
