package config

import (
	"maps"
	"net"
	"slices"
	"strings"

	"pinedale/internal/policy"
	"pinedale/internal/tomlfile"
)

// fileVersion is the version of the file format that this program reads.
const fileVersion = 1

// checker collects the errors that the checks of a file find.
type checker struct {
	*tomlfile.File
	file     *File
	previous *policy.Table // the table in use, nil at the start
}

// checkFile checks all sections. Checks that read other files come after those of plain values.
func (c *checker) checkFile() {
	file := c.file
	c.Require(file.Version == fileVersion, "version",
		"%d is not a known version of the file format; this program reads version %d", file.Version, fileVersion)
	c.Require(file.HTTP.Listen != "" || file.HTTP3.Listen != "" || file.ExtProc.Listen != "", "http.listen",
		"no front is switched on: set http.listen, http3.listen or ext_proc.listen")
	c.checkHTTP3()
	c.checkKeys()
	c.checkUpstream()
	c.checkHTTP()
	c.checkExtProc()
	c.checkLimits()
	c.checkFleet()
	c.checkClasses()
	c.checkMembership()
	c.checkPeers()
	c.checkPolicy()
	c.checkSettings()
}

// checkSettings lets the balancer check its settings, if no error has been found so far.
func (c *checker) checkSettings() {
	if !c.Valid() {
		return
	}
	settings := c.file.Settings()
	if err := settings.Validate(); err != nil {
		c.Require(false, "file", "%v", err)
	}
}

// requireAddress records an error unless a value is host:port with a known port.
func (c *checker) requireAddress(key, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = net.LookupPort("tcp", port)
	}
	c.Require(err == nil && port != "", key, "%q is not host:port", value)
}

// knownNames lists the keys of a map for an error message.
func knownNames[T any](known map[string]T) string {
	return strings.Join(slices.Sorted(maps.Keys(known)), ", ")
}
