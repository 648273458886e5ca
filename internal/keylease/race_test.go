//go:build race

package keylease

func init() { raced = true }
