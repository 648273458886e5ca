package balancer

// randomSource is a SplitMix64 generator (Steele, Lea and Flood, 2014).
type randomSource uint64

// float returns a number in [0,1).
func (s *randomSource) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// below returns a duration in [0,limit).
func (s *randomSource) below(limit Micros) Micros { return Micros(s.float() * float64(limit)) }
