package config

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"pinedale/internal/cluster"
)

// minVoters is the smallest number of voters that keep a majority when one of them is lost.
const minVoters = 3

// agreements are the values of class.agree.
var agreements = map[string]cluster.Agreement{
	"":       cluster.AgreeNever,
	"never":  cluster.AgreeNever,
	"soon":   cluster.AgreeSoon,
	"always": cluster.AgreeAlways,
}

// Peers is the section of the connection to other instances: gossip, and leases of idempotency keys.
type Peers struct {
	Listen       string            `toml:"listen"`    // host:port, "" for no connection
	Advertise    string            `toml:"advertise"` // host:port at which others reach this instance
	Join         []string          `toml:"join"`      // name/host:port of instances to contact first
	Via          map[string]string `toml:"via"`       // by instance name, host:port of a relay to it
	KeysFile     string            `toml:"keys_file"` // keys that encrypt the messages, "" for none
	Voters       []string          `toml:"witnesses"` // names of the instances that grant leases
	LeaseTimeout Duration          `toml:"wait"`      // timeout of a lease request
	Status       string            `toml:"status"`    // host:port of the status page, "" for none
}

func defaultPeers() Peers { return Peers{LeaseTimeout: Duration(40 * time.Millisecond)} }

// checkPeers checks the [peers] section and the agreements of classes, and reads the keys file.
func (c *checker) checkPeers() {
	needVoters := c.checkAgreements()
	peers := &c.file.Peers
	if peers.Listen == "" {
		return
	}
	c.checkPeerAddresses()
	seen := map[string]bool{}
	for _, name := range peers.Voters {
		c.Require(name != "" && !seen[name], "peers.witnesses", "%q is empty or listed twice", name)
		seen[name] = true
	}
	c.Require(!needVoters || len(peers.Voters) >= minVoters, "peers.witnesses",
		"%d names, but at least %d are needed so that a majority outlasts the loss of one", len(peers.Voters), minVoters)
	c.Positive("peers.wait", peers.LeaseTimeout)
	if peers.KeysFile == "" {
		c.Warn("peers.keys_file", "is missing: anyone who can reach the port may impersonate any instance")
		return
	}
	keys, err := readPeerKeys(peers.KeysFile)
	c.Require(err == nil, "peers.keys_file", "%v", err)
	c.file.peerKeys = keys
}

// checkAgreements checks class.agree and reports whether a class requires instances to agree.
func (c *checker) checkAgreements() (needed bool) {
	for i := range c.file.Classes {
		class := &c.file.Classes[i]
		key := fmt.Sprintf("class[%d].agree", i)
		_, ok := agreements[class.Agreement]
		c.Require(ok, key, "%q is not one of never, soon, always", class.Agreement)
		if agreements[class.Agreement] == cluster.AgreeNever {
			continue
		}
		needed = true
		c.Require(class.Idempotency == "keyed", key, "%q is set, but only a keyed class has keys to agree on",
			class.Agreement)
		c.Require(c.file.Peers.Listen != "", key, "%q needs peers.listen: without it there is nobody to agree with",
			class.Agreement)
	}
	return needed
}

// checkPeerAddresses checks the addresses of this and of other instances.
func (c *checker) checkPeerAddresses() {
	peers := &c.file.Peers
	c.requireAddress("peers.listen", peers.Listen)
	if peers.Advertise != "" {
		c.requireAddress("peers.advertise", peers.Advertise)
	}
	if peers.Status != "" {
		c.requireAddress("peers.status", peers.Status)
	}
	c.Require(c.file.Name != "", "name", "is missing: others know this instance by its name")
	for _, peer := range peers.Join {
		name, address, ok := strings.Cut(peer, "/")
		c.Require(ok && name != "", "peers.join", "%q is not name/host:port", peer)
		if ok {
			c.requireAddress("peers.join", address)
		}
	}
	for name, address := range peers.Via {
		c.Require(name != "", "peers.via", "the name of an instance is empty")
		c.requireAddress("peers.via", address)
	}
}

// peerKeySizes are the sizes of AES keys in bytes.
var peerKeySizes = []int{16, 24, 32}

// errNoPeerKeys is the error of a keys file without a key.
var errNoPeerKeys = errors.New("the file contains no key")

// readPeerKeys reads a keys file, which has one base64 key a line; empty lines and lines that begin with # are skipped.
// The first key encrypts messages, and every key decrypts them.
func readPeerKeys(path string) (keys [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil || !slices.Contains(peerKeySizes, len(key)) {
			return nil, fmt.Errorf("line %d is not 16, 24 or 32 bytes in base64", number)
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(keys) == 0 {
		return nil, errNoPeerKeys
	}
	return keys, nil
}
