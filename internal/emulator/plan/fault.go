package plan

// Surge multiplies the request rate during an interval.
type Surge struct {
	From, Until Time
	Factor      float64
	Tenant      int // -1 for all tenants
}

// active reports whether the surge affects a tenant now.
func (s *Surge) active(now Time, tenant int) bool {
	return now >= s.From && now < s.Until && (s.Tenant < 0 || s.Tenant == tenant)
}

// CostSurge multiplies the work of a share of one class's requests during an interval.
type CostSurge struct {
	From, Until Time
	Class       int
	Share       float64
	Factor      float64
}

// active reports whether the surge affects a class now.
func (s *CostSurge) active(now Time, class int) bool {
	return s.Class == class && now >= s.From && now < s.Until
}

// Rotation is a key rotation. Connections opened before it are replaced by new ones with full handshakes, spread over
// its duration.
type Rotation struct{ From, Until Time }

// ReplaceAt returns when a connection is replaced, or Never if it was opened after the start of the rotation.
// spreadPosition is the connection's position within the rotation, from 0 at its start to 1 at its end.
func (r *Rotation) ReplaceAt(opened Time, spreadPosition float64) Time {
	if opened >= r.From {
		return Never
	}
	return r.From + Time(spreadPosition*float64(r.Until-r.From))
}

// Kill ends instances without a drain and drops all their connections and state. Each restarts at once without state.
type Kill struct {
	At        Time
	Instances []int
}
