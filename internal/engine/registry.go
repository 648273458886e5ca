package engine

import (
	"cmp"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"

	"pinedale/balancer"
)

// unknownName is the number of a zone or kind that is not in the settings.
const unknownName = 255

// indexOf returns the number of a zone or kind.
func indexOf(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < unknownName {
		return uint8(i)
	}
	return unknownName
}

// endpoint is the engine's record of an endpoint. It is deleted once the endpoint is removed and nothing
// is pending there, since endpoints are added and removed all day under new names.
type endpoint struct {
	name    string
	host    Host    // as last listed
	target  *Target // nil unless ready
	zone    uint8
	cell    uint16
	pending int // attempts and health checks without an outcome
	removed bool

	lastSnapshotSeq uint64 // endpointRegistry.snapshotSeq when the endpoint was last listed
}

// knownStart is the start of an endpoint.
type knownStart struct {
	id        uint32
	startedMS int64 // Unix time in milliseconds
}

// endpointRegistry holds the endpoints that the decision module knows. It is owned by the
// engine's goroutine.
type endpointRegistry struct {
	zones, kinds []string
	pools        func(site, kind string) uint64 // nil for no pools
	upstream     Upstream
	log          *slog.Logger

	byID            map[uint32]*endpoint
	idByName        map[string]uint32
	readyByAddress  map[string]uint32     // ids of ready endpoints
	newestByAddress map[string]knownStart // of the listed endpoints whose start is known, the one that started last

	lastID      uint32 // ids are not reused: a late outcome must not count for another endpoint
	targets     int    // number of ready endpoints
	snapshotSeq uint64 // number of complete lists begun so far

	// advisedDraining has the endpoints that other instances report as draining, by name, with the
	// start time in milliseconds of the incarnation that drains.
	advisedDraining map[string]int64
}

func newEndpointRegistry(o Options) *endpointRegistry {
	return &endpointRegistry{
		zones:          o.Zones,
		kinds:          o.Kinds,
		pools:          o.Pools,
		upstream:       o.Upstream,
		log:            o.Log,
		byID:           map[uint32]*endpoint{},
		idByName:       map[string]uint32{},
		readyByAddress: map[string]uint32{},

		newestByAddress: map[string]knownStart{},
	}
}

// apply applies a list or changes, and returns the entries for the decision module.
func (r *endpointRegistry) apply(kind balancer.ListKind, hosts []Host) []balancer.Endpoint {
	if kind != balancer.ListFull && kind != balancer.ListCached {
		return r.applyChanges(hosts)
	}
	r.beginSnapshot()
	entries := r.applyChanges(hosts)
	for _, ep := range r.unlisted() {
		r.update(r.idByName[ep.name], Host{State: balancer.Removed})
	}
	return entries
}

// beginSnapshot starts a complete list. Its entries are then passed to applyChanges; after that,
// unlisted returns the endpoints that the list does not name.
func (r *endpointRegistry) beginSnapshot() { r.snapshotSeq++ }

// applyChanges applies entries of a list, and returns those for the decision module.
func (r *endpointRegistry) applyChanges(hosts []Host) []balancer.Endpoint {
	for _, h := range hosts {
		r.recordStart(h)
	}
	entries := make([]balancer.Endpoint, 0, len(hosts))
	for _, h := range hosts {
		id := r.idByName[h.Name]
		if id == 0 {
			continue // removed, and not known
		}
		ready := r.readyByAddress[h.Address]
		r.byID[id].lastSnapshotSeq = r.snapshotSeq
		entries = append(entries, r.entry(id, h))
		r.update(id, h)
		if ep := r.byID[ready]; ep != nil && ep.target != nil && r.isSuperseded(ep.host) {
			r.log.Info("endpoint superseded", "endpoint", ready, "by", h.Name)
			entries = append(entries, r.entry(ready, ep.host))
			r.update(ready, ep.host)
		}
	}
	return entries
}

// unlisted returns the endpoints that the last complete list did not name.
func (r *endpointRegistry) unlisted() []*endpoint {
	var unlisted []*endpoint
	for _, ep := range r.byID {
		if ep.lastSnapshotSeq != r.snapshotSeq && !ep.removed {
			unlisted = append(unlisted, ep)
		}
	}
	return unlisted
}

func (r *endpointRegistry) add(name string) uint32 {
	r.lastID++
	r.idByName[name] = r.lastID
	r.byID[r.lastID] = &endpoint{name: name}
	return r.lastID
}

// update sets the state and address of an endpoint. A target that drains, is removed, has moved or
// has restarted is closed, so that a send that is being prepared does not start.
func (r *endpointRegistry) update(id uint32, h Host) {
	ep := r.byID[id]
	ep.removed = h.State == balancer.Removed
	if !ep.removed {
		ep.host = h
		ep.zone = indexOf(r.zones, h.Site)
		ep.cell = h.Cell
	}
	ready := r.effectiveState(h) == balancer.Ready
	if t := ep.target; t != nil && (!ready || t.Address != h.Address || t.StartedMS != h.StartedMS) {
		r.closeTarget(id, ep)
	}
	if ep.target == nil && ready {
		r.targets++
		ep.target = &Target{Name: h.Name, Address: h.Address, StartedMS: h.StartedMS}
		r.readyByAddress[h.Address] = id
	}
	r.deleteIfUnused(id, ep)
}

func (r *endpointRegistry) closeTarget(id uint32, ep *endpoint) {
	target := ep.target
	target.Close()
	r.upstream.Retire(target)
	ep.target = nil
	r.targets--
	if r.readyByAddress[target.Address] == id {
		delete(r.readyByAddress, target.Address)
	}
}

// deleteIfUnused deletes a removed endpoint once nothing is pending there.
func (r *endpointRegistry) deleteIfUnused(id uint32, ep *endpoint) {
	if ep.removed && ep.pending == 0 {
		r.forgetStart(id, ep.host.Address)
		delete(r.idByName, ep.name)
		delete(r.byID, id)
	}
}

// entry returns an endpoint in the form that the decision module takes.
func (r *endpointRegistry) entry(id uint32, h Host) balancer.Endpoint {
	nameHash := fnv.New64a()
	nameHash.Write([]byte(h.Name))
	entry := balancer.Endpoint{
		ID:       id,
		StableID: nameHash.Sum64(),
		Zone:     indexOf(r.zones, h.Site),
		Kind:     indexOf(r.kinds, h.Kind),
		Cell:     h.Cell,
		State:    r.effectiveState(h),
		Weight:   h.Weight,
	}
	if h.StartedMS > 0 {
		entry.StartTime = h.StartedMS * 1000
	}
	if r.pools != nil {
		entry.Pools = r.pools(h.Site, h.Kind)
	}
	return entry
}

// entries returns the entries of all listed endpoints, sorted by id.
func (r *endpointRegistry) entries() []balancer.Endpoint {
	var entries []balancer.Endpoint
	for id, ep := range r.byID {
		if !ep.removed {
			entries = append(entries, r.entry(id, ep.host))
		}
	}
	slices.SortFunc(entries, func(a, b balancer.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// hasReady reports whether any endpoint is ready.
func (r *endpointRegistry) hasReady() bool { return r.targets > 0 }

// contains reports whether an endpoint with this name is known.
func (r *endpointRegistry) contains(name string) bool { return r.idByName[name] != 0 }

// setAdvisedDraining replaces the advice, and returns the entries of the endpoints whose state it
// changes, sorted by name.
func (r *endpointRegistry) setAdvisedDraining(advised map[string]int64) []balancer.Endpoint {
	names := slices.AppendSeq(slices.Collect(maps.Keys(r.advisedDraining)), maps.Keys(advised))
	slices.Sort(names)
	r.advisedDraining = advised
	var changed []balancer.Endpoint
	for _, name := range slices.Compact(names) {
		id := r.idByName[name]
		ep := r.byID[id]
		if ep == nil || ep.removed || (ep.target != nil) == (r.effectiveState(ep.host) == balancer.Ready) {
			continue
		}
		changed = append(changed, r.entry(id, ep.host))
		r.update(id, ep.host)
	}
	return changed
}

// effectiveState returns a listed endpoint's state, or draining if it is ready but advised to drain or superseded.
func (r *endpointRegistry) effectiveState(h Host) balancer.State {
	if h.State != balancer.Ready {
		return h.State
	}
	startedMS, advised := r.advisedDraining[h.Name]
	if advised && startedMS == h.StartedMS || r.isSuperseded(h) {
		return balancer.Draining
	}
	return balancer.Ready
}

// recordStart records the start in an entry of a list, before the entry is applied. It adds an endpoint that is not
// known yet.
func (r *endpointRegistry) recordStart(h Host) {
	id := r.idByName[h.Name]
	if id == 0 {
		if h.State == balancer.Removed {
			return
		}
		id = r.add(h.Name)
	}
	removed := h.State == balancer.Removed
	if previous := r.byID[id].host.Address; removed || h.Address != previous {
		r.forgetStart(id, previous)
	}
	if !removed && h.StartedMS > 0 && r.newestByAddress[h.Address].startedMS <= h.StartedMS {
		r.newestByAddress[h.Address] = knownStart{id, h.StartedMS}
	}
}

// forgetStart removes an endpoint's start at an address.
func (r *endpointRegistry) forgetStart(id uint32, address string) {
	if r.newestByAddress[address].id == id {
		delete(r.newestByAddress, address)
	}
}

// isSuperseded reports whether another listed endpoint started later at the same address. The process that the entry
// was made for has gone then, though its removal has not been listed yet.
func (r *endpointRegistry) isSuperseded(h Host) bool {
	newest := r.newestByAddress[h.Address]
	return newest.startedMS > h.StartedMS && newest.id != r.idByName[h.Name]
}

// acquire counts an attempt or health check as pending at an endpoint. It returns the endpoint's
// target, nil if nothing may be sent there. The decision module may know an endpoint for a moment
// longer than the registry does.
func (r *endpointRegistry) acquire(id uint32) *Target {
	ep := r.byID[id]
	if ep == nil {
		return nil
	}
	ep.pending++
	return ep.target
}

// release counts an acquired attempt or health check as done.
func (r *endpointRegistry) release(id uint32) {
	if ep := r.byID[id]; ep != nil {
		ep.pending--
		r.deleteIfUnused(id, ep)
	}
}

// SetAdvisedDraining replaces the set of endpoints that other instances report as draining. While the
// source still lists one of them as ready, it counts as draining. They are given by name, with the
// start time in milliseconds of the incarnation that drains. It must be called on the engine's
// goroutine.
func (e *Engine) SetAdvisedDraining(now balancer.Micros, draining map[string]int64) {
	if entries := e.endpoints.setAdvisedDraining(draining); len(entries) > 0 {
		e.decider.UpdateEndpoints(now, balancer.ListLocal, entries)
	}
}

// EndpointAt returns the id of the ready endpoint at an address, 0 if there is none. It must be called
// on the engine's goroutine.
func (e *Engine) EndpointAt(address string) uint32 { return e.endpoints.readyByAddress[address] }

// Location returns the zone and cell that an endpoint was last listed with. It must be called on
// the engine's goroutine.
func (e *Engine) Location(id uint32) (zone uint8, cell uint16) {
	if ep := e.endpoints.byID[id]; ep != nil {
		return ep.zone, ep.cell
	}
	return unknownName, 0
}
