package config

import (
	"io"
	"os"

	"pinedale/internal/policy"
	"pinedale/internal/tomlfile"
)

// maxFileBytes bounds the operator's file: 10,000 servers take about 1 MiB.
const maxFileBytes = 4 << 20

// Load reads and checks the operator's file. Its error joins one *FileError for each error that was found. Values are
// checked only if the file can be decoded.
func Load(path string) (*File, error) { return load(path, nil) }

// Parse is Load for the text of a file.
func Parse(data []byte) (*File, error) { return parse(data, nil) }

// LoadNext is Load for a file that replaces the one in use. Classes, routes and budgets of the table inUse keep their
// numbers, to which requests in flight may refer.
func LoadNext(path string, inUse *policy.Table) (*File, error) { return load(path, inUse) }

// load reads and checks a file. previous is the table in use, nil at the start.
func load(path string, previous *policy.Table) (*File, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	return parse(data, previous)
}

// parse decodes and checks the text of a file.
func parse(data []byte, previous *policy.Table) (*File, error) {
	f := defaults()
	decoded, err := tomlfile.Decode(data, maxFileBytes, f)
	if err != nil {
		return nil, err
	}
	c := checker{File: decoded, file: f, previous: previous}
	c.checkFile()
	if err := c.Err(); err != nil {
		return nil, err
	}
	f.warnings = decoded.Warnings()
	return f, nil
}

// defaults returns the values of keys that a file does not set.
func defaults() *File {
	return &File{
		HTTP3:      defaultHTTP3(),
		Upstream:   defaultUpstream(),
		ExtProc:    defaultExtProc(),
		Limits:     defaultLimits(),
		Fleet:      defaultFleet(),
		Discovery:  defaultDiscovery(),
		Ephemeral:  defaultEphemeral(),
		Membership: defaultMembership(),
		Peers:      defaultPeers(),
	}
}
