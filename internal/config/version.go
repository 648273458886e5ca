package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// versionBytes is the number of bytes of the hash that a version consists of.
const versionBytes = 4

// version identifies the classes, routes, pools, tenants, limits and drain times of a file: files with the same values
// have the same version, across restarts, instances and releases. It is a hash of versionText.
func (f *File) version() string {
	text, err := f.versionText()
	if err != nil { // a number that JSON cannot represent; the checks reject it
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:versionBytes])
}

// versionText returns the JSON that is hashed. Operators compare versions across releases, so neither the json
// tags nor the order of the fields of these structs may change.
func (f *File) versionText() ([]byte, error) {
	return json.Marshal([]any{
		f.Classes,
		f.Routes,
		f.Pools,
		f.Tenants,
		f.Limits,
		f.Fleet.DrainGrace,
		f.Fleet.DrainTime,
	})
}
