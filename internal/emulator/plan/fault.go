package plan

// Surge multiplies the request rate for a time.
type Surge struct {
	From, Until Time
	Factor      float64
	Tenant      int // -1 for all tenants
}

// active reports whether the surge affects a tenant now.
func (s *Surge) active(now Time, tenant int) bool {
	return now >= s.From && now < s.Until && (s.Tenant < 0 || s.Tenant == tenant)
}

// CostSurge multiplies the work of a share of one class's requests for a time.
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

// Rotation is a key rotation. Connections from before it are replaced by new ones with full handshakes, spread over
// its duration.
type Rotation struct{ From, Until Time }

// ReplaceAt returns when a connection is replaced, Never if it was opened after the start of the rotation.
// spreadPosition, 0 to 1, is the connection's place within the rotation.
func (r *Rotation) ReplaceAt(opened Time, spreadPosition float64) Time {
	if opened >= r.From {
		return Never
	}
	return r.From + Time(spreadPosition*float64(r.Until-r.From))
}

// Kill stops instances at once, with all their connections and state. Each restarts at once without state.
type Kill struct {
	At        Time
	Instances []int
}
