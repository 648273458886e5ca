package balancer

import (
	"testing"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// recount holds the sizes and weights of all groups, computed from the list of endpoints.
type recount map[groupKey]struct {
	warm, slowStart int
	weight          int64
}

// readyKey is the key under which a recount holds the endpoints of endpointSet.ready. No group has this kind.
var readyKey = groupKey{kind: 255}

func (c recount) add(key groupKey, e *endpoint, slowStart bool) {
	sums := c[key]
	if slowStart {
		sums.slowStart++
	} else {
		sums.warm++
	}
	sums.weight += e.weightUnits()
	c[key] = sums
}

func recountGroups(b *Balancer, now Micros) recount {
	counted := recount{}
	for _, e := range b.endpoints.list {
		if e.State != Ready {
			continue
		}
		slowStart := e.slowStart.active && now-e.slowStart.since < b.settings.Contract.SlowStartTime
		counted.add(readyKey, e, slowStart)
		counted.add(groupKey{groupZone, uint16(e.Zone)}, e, slowStart)
		counted.add(groupKey{groupCell, e.Cell}, e, slowStart)
		for pool := range uint16(64) {
			if e.Pools>>pool&1 != 0 {
				counted.add(groupKey{groupPool, pool + 1}, e, slowStart)
			}
		}
		counted.add(groupKey{groupOwnersInFleet, e.ownerBucket()}, e, slowStart)
		if int(e.Zone) == b.settings.Zone {
			counted.add(groupKey{groupOwnersInZone, e.ownerBucket()}, e, slowStart)
		}
	}
	return counted
}

// checkGroups compares the groups with a recount, and the positions recorded in each endpoint with the lists.
func checkGroups(t *rapid.T, b *Balancer, now Micros) {
	counted := recountGroups(b, now)
	compare := func(key groupKey, g *endpointGroup) {
		want := counted[key]
		if len(g.warm) != want.warm || len(g.slowStart) != want.slowStart || g.weight != want.weight {
			t.Fatalf("group %v: %d warm, %d in slow start, weight %d; the list has %+v", key, len(g.warm),
				len(g.slowStart), g.weight, want)
		}
		delete(counted, key)
	}
	compare(readyKey, &b.endpoints.ready)
	for key, g := range b.endpoints.groups {
		compare(key, g)
	}
	if len(counted) > 0 {
		t.Fatalf("groups without a record in the set: %+v", counted)
	}
	for i, e := range b.endpoints.list {
		if e.listIndex != i || b.endpoints.byID[e.ID] != e {
			t.Fatalf("endpoint %d at position %d of the list has index %d, or is not found by ID",
				e.ID, i, e.listIndex)
		}
		if e.State == Removed && e.inFlight == 0 {
			t.Fatalf("endpoint %d is removed and has nothing in flight but is still listed", e.ID)
		}
		for _, m := range e.memberships {
			if members := *m.group.part(e.slowStart.active); m.index >= len(members) || members[m.index] != e {
				t.Fatalf("endpoint %d is not at its recorded position %d of a group", e.ID, m.index)
			}
		}
	}
	if len(b.endpoints.byID) != len(b.endpoints.list) {
		t.Fatalf("%d endpoints by ID, %d in the list", len(b.endpoints.byID), len(b.endpoints.list))
	}
	pooled := map[*endpoint]bool{}
	for _, e := range b.probes.pool {
		if pooled[e] || !e.pooled {
			t.Fatalf("endpoint %d is in the probe pool twice or not marked as pooled", e.ID)
		}
		pooled[e] = true
	}
}

func drawEndpoint(t *rapid.T, now Micros) Endpoint {
	return Endpoint{
		ID:        rapid.Uint32Range(1, 12).Draw(t, "id"),
		Zone:      rapid.Uint8Range(0, 2).Draw(t, "zone"),
		Cell:      rapid.Uint16Range(0, 3).Draw(t, "cell"),
		State:     State(rapid.IntRange(0, 2).Draw(t, "state")),
		Weight:    rapid.Float32Range(-1, 4).Draw(t, "weight"),
		Pools:     rapid.Uint64Range(0, 7).Draw(t, "pools") | rapid.Uint64Range(0, 1).Draw(t, "last pool")<<63,
		StartTime: rapid.SampledFrom([]Micros{0, now, now - second, now - 20*second}).Draw(t, "started"),
	}
}

// The groups equal a recount after any sequence of joining, draining, restarts, ends of slow start and removals.
func TestGroupSumsEqualRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.KeyAffinity = true
		s.Contract.SlowStartTime = 5 * second
		host := &answeringHost{}
		b, err := New(s, 7, host)
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * second
		b.Start(now)
		id := uint64(0)
		var open []sent
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				b.endpoints.advance(now)
				checkGroups(t, b, now)
			},
			"time": func(t *rapid.T) {
				now += rapid.Int64Range(0, 3*second).Draw(t, "passed")
			},
			"changes": func(t *rapid.T) {
				kind := rapid.SampledFrom([]ListKind{ListDelta, ListFull, ListCached, ListLocal}).Draw(t, "kind")
				entries := make([]Endpoint, rapid.IntRange(0, 6).Draw(t, "entries"))
				for i := range entries {
					entries[i] = drawEndpoint(t, now)
				}
				b.UpdateEndpoints(now, kind, entries)
			},
			"request": func(t *rapid.T) {
				id++
				class := rapid.Uint8Range(0, 4).Draw(t, "class")
				b.HandleRequest(now, Request{ID: id, Class: class, Key: id, Deadline: now + second})
				open = append(open, host.sent...)
				host.sent = host.sent[:0]
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				status := Status(rapid.IntRange(0, 7).Draw(t, "status"))
				b.AttemptCompleted(now, Outcome{ID: open[0].id, Endpoint: open[0].endpoint, Status: status, Settled: true})
				open = open[1:]
			},
			"report": func(t *rapid.T) {
				b.ProbeCompleted(now, rapid.Uint32Range(1, 12).Draw(t, "id"), OK, 500, []float32{1})
			},
		})
	})
}

func TestKeyOwnersFollowWeights(t *testing.T) {
	s := testSettings()
	s.KeyAffinity = true
	list := scaleFleet(600, 0, 0)
	for i := range list {
		list[i].Weight = float32(1 + i%2)
	}
	b, _ := start(t, s, list)
	const keys = 60_000
	owned := map[*endpoint]int{}
	perWeight := map[float32]int{}
	for key := range uint64(keys) {
		owner := b.keyOwners(key * 0x9e3779b97f4a7c15)[inFleet]
		owned[owner]++
		perWeight[owner.Weight]++
	}
	if ratio := float64(perWeight[2]) / float64(perWeight[1]); ratio < 1.85 || ratio > 2.15 {
		t.Errorf("endpoints of weight 2 own %.2f times as many keys as those of weight 1, want about 2", ratio)
	}
	for e, n := range owned {
		mean := keys * float64(e.Weight) / 900
		if float64(n) < mean/2 || float64(n) > mean*2 {
			t.Errorf("endpoint %d of weight %g owns %d keys, want about %.0f", e.ID, e.Weight, n, mean)
		}
	}
}

// When one endpoint leaves, few keys move other than its own.
func TestKeyOwnersStayWhereOneEndpointLeaves(t *testing.T) {
	s := testSettings()
	s.KeyAffinity = true
	b, _ := start(t, s, scaleFleet(600, 0, 0))
	const keys = 20_000
	before := make([]*endpoint, keys)
	for key := range before {
		before[key] = b.keyOwners(uint64(key))[inFleet]
	}
	b.UpdateEndpoints(second, ListDelta, []Endpoint{{ID: 7, State: Draining}})
	moved := 0
	for key, owner := range before {
		if now := b.keyOwners(uint64(key))[inFleet]; now != owner {
			moved++
		}
	}
	if mean := keys / 600; moved > 4*mean {
		t.Errorf("%d of %d keys have another owner; an endpoint owns %d on average", moved, keys, mean)
	}
}

func TestProbesOfNewEndpointsAreBoundedByTraffic(t *testing.T) {
	s := testSettings()
	s.Balancers = 300
	b, r := start(t, s, scaleFleet(3200, 0, 0))
	first := len(r.probes)
	if first > maxNewProbes {
		t.Errorf("%d probes at once for a list of 3200 endpoints, want at most %d", first, maxNewProbes)
	}
	b.UpdateEndpoints(second, ListDelta, []Endpoint{{ID: 4000, Weight: 1}, {ID: 4001, Weight: 1}, {ID: 4002, Weight: 1}})
	if n := len(r.probes) - first; n > 1 {
		t.Errorf("%d more probes one second later without traffic, want at most 1", n)
	}
}
