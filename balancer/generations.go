package balancer

// generations holds records by key in two generations, so that those that are not used for one to two generations are
// dropped without a search for them.
type generations[Record any] struct {
	current, previous map[uint64]*Record // used in this generation, and in the one before it
	rotatedAt         Micros
}

// rotate starts a new generation.
func (g *generations[Record]) rotate(now Micros) {
	g.previous = g.current
	g.current = make(map[uint64]*Record, len(g.previous))
	g.rotatedAt = now
}

// use returns the record of a key, which then belongs to this generation, or nil if there is none.
func (g *generations[Record]) use(key uint64) *Record {
	record := g.current[key]
	if record == nil {
		record = g.previous[key]
		if record != nil {
			g.current[key] = record
		}
	}
	return record
}
