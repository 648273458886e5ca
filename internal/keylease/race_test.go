//go:build race

package claims

func init() { raced = true }
