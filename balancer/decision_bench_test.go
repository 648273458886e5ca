package balancer

import "testing"

// discard is a host that carries out no actions and records only the endpoint of the latest attempt.
type discard struct{ endpoint uint32 }

func (d *discard) Send(_ uint64, endpoint uint32, _, _ Micros) { d.endpoint = endpoint }
func (d *discard) Reject(uint64, Micros)                       {}
func (d *discard) Fail(uint64)                                 {}
func (d *discard) Cancel(uint64, int)                          {}
func (d *discard) Timer(Micros, uint32)                        {}
func (d *discard) Probe(uint32)                                {}
func (d *discard) Watch(bool)                                  {}
func (d *discard) Log(string, ...any)                          {}

// BenchmarkDecision measures a request and its answer over 50 endpoints with fresh load reports.
func BenchmarkDecision(b *testing.B) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Name: "one", Quota: 50}, {Name: "two", Quota: 50}}
	host := &discard{}
	subject, err := New(settings, 7, host)
	if err != nil {
		b.Fatal(err)
	}
	subject.Start(0)
	subject.UpdateEndpoints(0, ListCached, ready(50))
	now := second
	load := []float32{1}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 1000
		if i%500 == 0 {
			for id := range uint32(50) {
				subject.ProbeCompleted(now, id+1, OK, 500, load)
			}
		}
		id := uint64(i + 1)
		request := Request{ID: id, Deadline: now + second, WorkHint: 10_000, HasWorkHint: true}
		subject.HandleRequest(now, request)
		subject.AttemptCompleted(now+500, Outcome{
			ID: id, Endpoint: host.endpoint, Status: OK, Latency: 10_000, Settled: true,
		})
	}
}
