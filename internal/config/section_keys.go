package config

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/certstore/validate"
	"pinedale/internal/upstream/secure"
)

const (
	// minRSABits is the smallest RSA key: shorter ones are no longer approved for signatures (NIST SP 800-131A).
	minRSABits = 2048
	// maxRSABits bounds keys.least_rsa.
	maxRSABits = 16384
	// defaultReplacementTime is the default of keys.replace_within: operators who replace keys wait a minute anyway.
	defaultReplacementTime = time.Minute
	// maxPeerExpiryGrace bounds how long expired certificates of peers may be accepted in an emergency.
	maxPeerExpiryGrace = 30 * 24 * time.Hour
)

// tlsVersions are the values of keys.least_tls. Versions before 1.2 are deprecated (RFC 8996).
var tlsVersions = map[string]uint16{"": tls.VersionTLS13, "1.3": tls.VersionTLS13, "1.2": tls.VersionTLS12}

// Keys is a [[keys]] entry: an identity and the roots it trusts. Each front and the upstream refer to one by its name.
type Keys struct {
	Name            string   `toml:"name"`
	CertFile        string   `toml:"cert_file"`
	KeyFile         string   `toml:"key_file"`
	RootsFile       string   `toml:"roots_file"`
	RevokedFile     string   `toml:"revoked_file"`
	Names           []string `toml:"names"`     // names that the certificate must be valid for
	MinRSABits      int      `toml:"least_rsa"` // 0 for minRSABits
	MinTLSVersion   string   `toml:"least_tls"` // a key of tlsVersions
	AllowExpired    bool     `toml:"permit_over"`
	PeerExpiryGrace Duration `toml:"peers_over"`     // how long expired certificates of peers are still accepted
	ReplacementTime Duration `toml:"replace_within"` // period over which connections are replaced, 0 for the default
}

// KeyUser is a setting of the file that refers to a [[keys]] entry.
type KeyUser struct {
	Key     string // name of the setting, such as "http.keys"
	Entry   string // name of the [[keys]] entry, "" if the setting is absent
	Enabled bool   // the front that the setting belongs to is switched on
	Server  bool   // the certificate is presented as a server's, otherwise as a client's
}

// KeyUsers returns all settings that may refer to a [[keys]] entry.
func (f *File) KeyUsers() [4]KeyUser {
	return [...]KeyUser{
		{Key: "http.keys", Entry: f.HTTP.Keys, Enabled: f.HTTP.Listen != "", Server: true},
		{Key: "http3.keys", Entry: f.HTTP3.Keys, Enabled: f.HTTP3.Listen != "", Server: true},
		{Key: "ext_proc.keys", Entry: f.ExtProc.Keys, Enabled: f.ExtProc.Listen != "", Server: true},
		{Key: "upstream.keys", Entry: f.Upstream.Keys, Enabled: true, Server: false},
	}
}

// usedByFront reports whether the certificate of a [[keys]] entry is checked as that of a front, which is a server.
// This is so for every entry except the upstream's, also if nothing uses it.
func (f *File) usedByFront(name string) bool { return f.Upstream.Keys != name }

// paths returns the names of the files.
func (k *Keys) paths() certstore.Paths {
	return certstore.Paths{Cert: k.CertFile, Key: k.KeyFile, Roots: k.RootsFile, Revoked: k.RevokedFile}
}

// StoreOptions returns the options of a store for the keys, used by a server or a client.
func (k *Keys) StoreOptions(server bool, log *slog.Logger) certstore.Options {
	options := certstore.Options{
		Paths: k.paths(),
		CertRequirements: validate.Requirements{
			Names:           k.Names,
			Server:          server,
			MinRSABits:      max(k.MinRSABits, minRSABits),
			AllowExpired:    k.AllowExpired,
			PeerExpiryGrace: time.Duration(k.PeerExpiryGrace),
		},
		ReplacementTime: time.Duration(k.ReplacementTime),
		MinTLSVersion:   tlsVersions[k.MinTLSVersion],
		Log:             log.With("keys", k.Name),
	}
	if options.ReplacementTime == 0 {
		options.ReplacementTime = defaultReplacementTime
	}
	return options
}

// checkKeys checks the [[keys]] entries and the references to them.
func (c *checker) checkKeys() {
	seen := map[string]bool{}
	for i := range c.file.Keys {
		c.checkKeysEntry(i, seen)
	}
	used := c.checkKeyUsers()
	for i := range c.file.Keys {
		if name := c.file.Keys[i].Name; name != "" && !used[name] {
			c.Warn(fmt.Sprintf("keys[%d].name", i), "neither a front nor the upstream uses these keys")
		}
	}
}

// checkKeysEntry checks one [[keys]] entry and, if no error has been found so far, its files. seen holds the names
// of the entries before it.
func (c *checker) checkKeysEntry(index int, seen map[string]bool) {
	keys := &c.file.Keys[index]
	prefix := fmt.Sprintf("keys[%d].", index)
	c.Require(keys.Name != "", prefix+"name", "is missing")
	c.Require(!seen[keys.Name], prefix+"name", "%q is used twice", keys.Name)
	seen[keys.Name] = true
	c.checkKeyPaths(prefix, keys)
	c.checkKeyRequirements(prefix, keys)
	if keys.AllowExpired || keys.PeerExpiryGrace > 0 {
		c.Warn(prefix+"name", "accepts expired certificates, which is meant for emergencies only")
	}
	if c.Valid() {
		c.checkKeyFiles(prefix, keys)
	}
}

// checkKeyPaths checks which files are set together.
func (c *checker) checkKeyPaths(prefix string, keys *Keys) {
	c.Require((keys.CertFile == "") == (keys.KeyFile == ""), prefix+"key_file",
		"cert_file and key_file must be set together")
	c.Require(keys.CertFile != "" || keys.RootsFile != "", prefix+"cert_file",
		"neither cert_file nor roots_file is set")
	c.Require(keys.RevokedFile == "" || keys.RootsFile != "", prefix+"revoked_file",
		"a revocation list is signed by a root, but no roots_file is set")
	c.Require(keys.CertFile != "" || len(keys.Names) == 0, prefix+"names",
		"names must be in the certificate, but no cert_file is set")
}

// checkKeyRequirements checks what is required of certificates.
func (c *checker) checkKeyRequirements(prefix string, keys *Keys) {
	bits := keys.MinRSABits
	c.Require(bits == 0 || bits >= minRSABits && bits <= maxRSABits, prefix+"least_rsa",
		"%d is not in the range %d to %d", bits, minRSABits, maxRSABits)
	_, ok := tlsVersions[keys.MinTLSVersion]
	c.Require(ok, prefix+"least_tls", "%q is neither 1.3 nor 1.2", keys.MinTLSVersion)
	grace := time.Duration(keys.PeerExpiryGrace)
	c.Require(grace >= 0 && grace <= maxPeerExpiryGrace, prefix+"peers_over",
		"%v is not in the range 0s to %v", grace, maxPeerExpiryGrace)
	c.Require(keys.ReplacementTime >= 0, prefix+"replace_within",
		"%v is negative", time.Duration(keys.ReplacementTime))
	for _, name := range keys.Names {
		err := secure.CheckName(name)
		c.Require(err == nil, prefix+"names", "%v", err)
	}
}

// checkKeyFiles checks that a certificate store accepts the files.
func (c *checker) checkKeyFiles(prefix string, keys *Keys) {
	options := keys.StoreOptions(c.file.usedByFront(keys.Name), slog.New(slog.DiscardHandler))
	_, err := certstore.Open(options)
	if err == nil {
		return
	}
	key := "cert_file"
	var fault *validate.Fault
	if errors.As(err, &fault) {
		key = fault.File + "_file"
	}
	c.Require(false, prefix+key, "%v", err)
}

// checkKeyUsers checks the references to [[keys]] entries and returns the names of the entries in use.
func (c *checker) checkKeyUsers() map[string]bool {
	file := c.file
	used := map[string]bool{}
	for _, user := range file.KeyUsers() {
		name := user.Entry
		if name == "" {
			continue
		}
		used[name] = true
		c.Require(user.Enabled, user.Key, "%q is set for a front that is not switched on", name)
		index := slices.IndexFunc(file.Keys, func(k Keys) bool { return k.Name == name })
		c.Require(index >= 0, user.Key, "%q is not the name of a [[keys]] entry of the file", name)
		if index < 0 {
			continue
		}
		c.Require(!user.Server || file.Keys[index].CertFile != "", user.Key,
			"%q has no certificate, which a front must present", name)
		c.Require(!user.Server || name != file.Upstream.Keys, user.Key,
			"%q is also used by upstream.keys: certificates of servers and of clients are checked differently, "+
				"so each needs a [[keys]] entry of its own", name)
		c.Require(user.Server || file.Keys[index].RootsFile != "", user.Key,
			"%q has no roots_file, without which servers cannot be verified", name)
	}
	return used
}
