//go:build race

package keylease

func init() { raceEnabled = true }
