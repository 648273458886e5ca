package site

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"pinedale/internal/keyroom"
	"pinedale/internal/keyroom/judge"
	"pinedale/internal/upstream/handshake"
	"pinedale/internal/upstream/secure"
)

// Keys is an identity, and whom it trusts. Fronts and the upstream name one each.
type Keys struct {
	Name          string   `toml:"name"`
	CertFile      string   `toml:"cert_file"`
	KeyFile       string   `toml:"key_file"`
	RootsFile     string   `toml:"roots_file"`
	RevokedFile   string   `toml:"revoked_file"`
	Names         []string `toml:"names"`
	LeastRSA      int      `toml:"least_rsa"`
	LeastTLS      string   `toml:"least_tls"`
	PermitOver    bool     `toml:"permit_over"`
	PeersOver     Duration `toml:"peers_over"`
	ReplaceWithin Duration `toml:"replace_within"`
}

const (
	// A key of under 2048 bits is no longer approved for signatures (NIST SP 800-131A).
	leastRSA = 2048
	// replaceWithin is the default of replace_within: a minute's connections are a sixtieth a
	// second, and an operator who swaps keys waits that long anyway.
	replaceWithin = time.Minute
	// peersOverMost bounds what an operator may overlook in an emergency.
	peersOverMost = 30 * 24 * time.Hour
	// instanceLeast is how many handshakes a second an instance may have with one server,
	// however many instances share it: with less it could not replace a broken connection.
	instanceLeast = 1
)

// versions are those of TLS that may be the least: older ones are deprecated (RFC 8996).
var versions = map[string]uint16{"": tls.VersionTLS13, "1.3": tls.VersionTLS13, "1.2": tls.VersionTLS12}

// users of keys: every key of the file that names some.
func (f *File) users() [4]keyUser {
	return [...]keyUser{{"http.keys", f.HTTP.Keys, f.HTTP.Listen != "", true}, {"http3.keys", f.HTTP3.Keys, f.HTTP3.Listen != "", true},
		{"ext_proc.keys", f.ExtProc.Keys, f.ExtProc.Listen != "", true}, {"upstream.keys", f.Upstream.Keys, true, false}}
}

type keyUser struct {
	key, name string
	on        bool
	server    bool // it is the server of its connections
}

func (k *Keys) paths() keyroom.Paths {
	return keyroom.Paths{Cert: k.CertFile, Key: k.KeyFile, Roots: k.RootsFile, Revoked: k.RevokedFile}
}

// options are those of a room for some keys. They are a server's or a client's by who uses them.
func (k *Keys) options(server bool, log *slog.Logger) keyroom.Options {
	o := keyroom.Options{Paths: k.paths(),
		Want:   judge.Want{Names: k.Names, Server: server, LeastRSA: max(k.LeastRSA, leastRSA), AllowExpired: k.PermitOver, PeerExpiryGrace: time.Duration(k.PeersOver)},
		Spread: time.Duration(k.ReplaceWithin), Least: versions[k.LeastTLS], Log: log.With("keys", k.Name)}
	if o.Spread == 0 {
		o.Spread = replaceWithin
	}
	return o
}

// serves says whether keys are used by fronts, which are servers.
func (f *File) serves(name string) bool { return f.Upstream.Keys != name }

// keys checks each [[keys]] entry, and that each name in use refers to one.
func (c *check) keys() {
	seen := map[string]bool{}
	for i := range c.file.Keys {
		c.keysEntry(i, seen)
	}
	used := c.keysUsers()
	for i := range c.file.Keys {
		if name := c.file.Keys[i].Name; name != "" && !used[name] {
			c.Warn(fmt.Sprintf("keys[%d].name", i), "nothing uses them")
		}
	}
}

// keysEntry checks one [[keys]] entry and, if no fault has been found so far, the files that it names.
// seen holds the names of the entries before it.
func (c *check) keysEntry(i int, seen map[string]bool) {
	k := &c.file.Keys[i]
	at := func(key string) string { return fmt.Sprintf("keys[%d].%s", i, key) }
	c.Require(k.Name != "", at("name"), "is missing")
	c.Require(!seen[k.Name], at("name"), "%q is there twice", k.Name)
	seen[k.Name] = true
	c.Require((k.CertFile == "") == (k.KeyFile == ""), at("key_file"), "a certificate and its key are named together, or neither is")
	c.Require(k.CertFile != "" || k.RootsFile != "", at("cert_file"), "neither a certificate nor roots are named")
	c.Require(k.RevokedFile == "" || k.RootsFile != "", at("revoked_file"), "is signed by a root, and no roots_file is named")
	c.Require(k.CertFile != "" || len(k.Names) == 0, at("names"), "are of a certificate, and no cert_file is named")
	c.Require(k.LeastRSA == 0 || k.LeastRSA >= leastRSA && k.LeastRSA <= 16384, at("least_rsa"), "%d is not in %d to 16384", k.LeastRSA, leastRSA)
	_, ok := versions[k.LeastTLS]
	c.Require(ok, at("least_tls"), "%q is neither 1.3 nor 1.2", k.LeastTLS)
	c.Require(k.PeersOver >= 0 && time.Duration(k.PeersOver) <= peersOverMost, at("peers_over"), "%v is not in 0s to %v", time.Duration(k.PeersOver), peersOverMost)
	c.Require(k.ReplaceWithin >= 0, at("replace_within"), "%v is negative", time.Duration(k.ReplaceWithin))
	for _, name := range k.Names {
		err := secure.CheckName(name)
		c.Require(err == nil, at("names"), "%v", err)
	}
	if k.PermitOver || k.PeersOver > 0 {
		c.Warn(at("name"), "takes certificates whose time is over: meant for an emergency")
	}
	if !c.Valid() {
		return
	}
	if _, err := keyroom.Open(k.options(c.file.serves(k.Name), slog.New(slog.DiscardHandler))); err != nil {
		key := "cert_file"
		if fault := (*judge.Fault)(nil); errors.As(err, &fault) {
			key = fault.File + "_file"
		}
		c.Require(false, at(key), "%v", err)
	}
}

// keysUsers checks the references to [[keys]] entries and returns the names in use.
func (c *check) keysUsers() map[string]bool {
	f := c.file
	used := map[string]bool{}
	for _, u := range f.users() {
		if u.name == "" {
			continue
		}
		used[u.name] = true
		c.Require(u.on, u.key, "%q is named for a front that is not switched on", u.name)
		at := slices.IndexFunc(f.Keys, func(k Keys) bool { return k.Name == u.name })
		c.Require(at >= 0, u.key, "%q is not the name of a [[keys]] of this file", u.name)
		if at < 0 {
			continue
		}
		c.Require(!u.server || f.Keys[at].CertFile != "", u.key, "%q has no certificate, and a front must show one", u.name)
		c.Require(!u.server || u.name != f.Upstream.Keys, u.key, "%q are upstream.keys, too: a server's certificate and a client's are judged apart, give each a [[keys]] of its own", u.name)
		c.Require(u.server || f.Keys[at].RootsFile != "", u.key, "%q has no roots_file, and servers cannot be verified without", u.name)
	}
	return used
}

// upstream checks how servers are verified.
func (c *check) upstream() {
	f, x := c.file, &c.file.Upstream
	if x.Keys == "" {
		c.Require(!x.HTTP3, "upstream.http3", "is encrypted: upstream.keys must say whom to trust")
		c.Require(x.Verify == "", "upstream.verify", "is of no use without upstream.keys: servers are spoken to in plain text")
		for i, s := range f.Servers {
			c.Require(s.Verify == "", fmt.Sprintf("server[%d].verify", i), "is of no use without upstream.keys: servers are spoken to in plain text")
		}
		return
	}
	if x.Verify != "" {
		err := secure.CheckName(x.Verify)
		c.Require(err == nil, "upstream.verify", "%v", err)
		if err == nil && !strings.Contains(x.Verify, "{name}") {
			c.Warn("upstream.verify", "has no {name}: any server's certificate will do for every other")
		}
	}
	listed := f.Discovery.Address == "" && len(f.Ephemeral.Servers) == 0
	c.Require(x.Verify != "" || listed, "upstream.verify", "is missing: the names of servers that membership tells must come from a pattern, such as {name}.example.org")
	names := f.verifyNames()
	for i, s := range f.Servers {
		at := fmt.Sprintf("server[%d].verify", i)
		if s.Verify != "" {
			err := secure.CheckName(s.Verify)
			c.Require(err == nil && !strings.Contains(s.Verify, "{name}"), at, "%q is no host name, address or SPIFFE ID", s.Verify)
			continue
		}
		if _, err := names.Of(s.Name); err != nil {
			c.Require(false, at, "is missing: %v", err)
		}
	}
	c.Require(x.Sessions >= 1 && x.Sessions <= 1_000_000, "upstream.sessions", "%d is not in 1 to 1000000", x.Sessions)
	c.Require(x.Handshakes >= 1 && x.Handshakes <= 1e6, "upstream.handshakes", "%v is not in 1 to 1e6", x.Handshakes)
	c.Require(x.HandshakesAll >= 1 && x.HandshakesAll <= 1e6, "upstream.handshakes_all", "%v is not in 1 to 1e6", x.HandshakesAll)
	c.Require(x.HandshakeBurst >= 1 && x.HandshakeBurst <= 1e6, "upstream.handshake_burst", "%v is not in 1 to 1e6", x.HandshakeBurst)
	c.Positive("upstream.handshake_timeout", x.HandshakeTimeout)
}

// verifyNames are the names that servers are verified by.
func (f *File) verifyNames() *secure.Names {
	n := &secure.Names{Pattern: f.Upstream.Verify, Own: map[string]string{}}
	for _, s := range f.Servers {
		if s.Verify != "" {
			n.Own[s.Name] = s.Verify
		}
	}
	return n
}

// budget is this instance's part of the handshakes that a server may have.
func (f *File) budget() handshake.Config {
	x := &f.Upstream
	all := handshake.Config{PerServer: x.Handshakes, All: x.HandshakesAll, Burst: x.HandshakeBurst, ColdFrom: f.Fleet.ColdFrom, WarmWithin: time.Duration(f.Fleet.WarmWithin)}
	return all.Share(f.Fleet.Instances, instanceLeast)
}

// rooms are the open ones, by the name of their keys.
type rooms map[string]*keyroom.Room

// openRooms opens those that something uses.
func (f *File) openRooms(log *slog.Logger) (rooms, error) {
	out := rooms{}
	for _, u := range f.users() {
		if u.name == "" || !u.on || out[u.name] != nil {
			continue
		}
		for i := range f.Keys {
			if f.Keys[i].Name != u.name {
				continue
			}
			room, err := keyroom.Open(f.Keys[i].options(u.server, log))
			if err != nil {
				return nil, fmt.Errorf("keys %q: %w", u.name, err)
			}
			out[u.name] = room
		}
	}
	return out, nil
}

// run looks after all rooms until ctx ends.
func (r rooms) run(ctx context.Context) {
	for _, room := range r {
		go room.Run(ctx)
	}
}

// look has all files looked at now.
func (r rooms) look() {
	for _, room := range r {
		room.Look()
	}
}

// secure is how the upstream's connections are secured, nil for plain text.
func (f *File) secure(r rooms, log *slog.Logger) (*secure.Client, error) {
	if f.Upstream.Keys == "" {
		return nil, nil
	}
	return secure.New(secure.Options{Room: r[f.Upstream.Keys], Names: f.verifyNames(), Budget: f.budget(), Sessions: f.Upstream.Sessions,
		Timeout: time.Duration(f.Upstream.HandshakeTimeout), Log: log})
}
