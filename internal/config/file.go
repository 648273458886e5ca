package config

import (
	"time"

	"pinedale/internal/policy"
	"pinedale/internal/tomlfile"
	"pinedale/internal/upstream/secure"
)

// Types of package tomlfile that are part of this package's API.
type (
	// Duration is a duration that a file writes with its unit, such as "250ms".
	Duration = tomlfile.Duration
	// FileError is an error of the file with its line and key.
	FileError = tomlfile.Error
)

// File is the operator's file as written. Load and Parse return it checked.
type File struct {
	Version int    `toml:"version"` // of the file format
	Name    string `toml:"name"`    // of this instance
	Site    string `toml:"site"`    // site of this instance, one of Fleet.Sites

	HTTP       HTTP       `toml:"http"`
	HTTP3      HTTP3      `toml:"http3"`
	Upstream   Upstream   `toml:"upstream"`
	Keys       []Keys     `toml:"keys"`
	ExtProc    ExtProc    `toml:"ext_proc"`
	Limits     Limits     `toml:"limits"`
	Fleet      Fleet      `toml:"fleet"`
	Classes    []Class    `toml:"class"`
	Routes     []Route    `toml:"route"`
	Pools      []Pool     `toml:"pool"`
	Tenants    []Tenant   `toml:"tenant"`
	Discovery  Discovery  `toml:"discovery"`
	Ephemeral  Ephemeral  `toml:"ephemeral"`
	Membership Membership `toml:"membership"`
	Servers    []Server   `toml:"server"`
	Peers      Peers      `toml:"peers"`

	// Set by the checks.
	peerKeys [][]byte      // content of Peers.KeysFile
	digest   string        // content of Ephemeral.DigestFile
	table    *policy.Table // compiled classes, routes, pools and tenants
	warnings []*FileError
}

// Warnings returns the settings of the file that are valid but probably a mistake.
func (f *File) Warnings() []*FileError { return f.warnings }

// Table returns the compiled classes, routes, pools and tenants.
func (f *File) Table() *policy.Table { return f.table }

// PeerKeys returns the keys that encrypt messages between instances, the first for sending; nil for none.
func (f *File) PeerKeys() [][]byte { return f.peerKeys }

// EphemeralDigest returns user:password for digest authentication with ZooKeeper, "" for none.
func (f *File) EphemeralDigest() string { return f.digest }

// LongestDeadline returns the longest deadline of a class. Deadlines that routes set are not included.
func (f *File) LongestDeadline() (longest time.Duration) {
	for i := range f.Classes {
		longest = max(longest, time.Duration(f.Classes[i].Deadline))
	}
	return longest
}

// VerifyNames returns the names that servers' certificates must be valid for.
func (f *File) VerifyNames() *secure.Names {
	names := &secure.Names{Pattern: f.Upstream.VerifyPattern, ByServer: map[string]string{}}
	for _, s := range f.Servers {
		if s.VerifyName != "" {
			names.ByServer[s.Name] = s.VerifyName
		}
	}
	return names
}
