package model

import (
	"math"
	"time"
)

// Purposes of random draws. Draws of different purposes are independent.
const (
	purposeFailFast = iota + 1
	purposeLate
	purposePause
	purposeNoise
	purposeReject
)

// draw returns a pseudo-random number in [0, 1): a hash of the server's seed, a number and a purpose.
func (s *Server) draw(number, purpose uint64) float64 {
	const (
		numberFactor  = 0x9e3779b97f4a7c15
		purposeFactor = 0xd1342543de82ef95
		mixFactor     = 0xd6e8feb86659fd93
		mantissaBits  = 53
	)
	hash := s.seed ^ number*numberFactor ^ purpose*purposeFactor
	hash ^= hash >> 32
	hash *= mixFactor
	hash ^= hash >> 32
	hash *= mixFactor
	hash ^= hash >> 32
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}

// drawPause draws an exponentially distributed time with a mean. Pauses count their draws separately from load reports,
// so that a report does not move a pause.
func (s *Server) drawPause(mean time.Duration) time.Duration {
	s.pauseDraws++
	return time.Duration(-math.Log(1-s.draw(s.pauseDraws, purposePause)) * float64(mean))
}
