package site

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/cluster"
	"pinedale/internal/engine"
)

// agree is how a class may want to be agreed on.
var agree = map[string]cluster.Agreement{"": cluster.AgreeNever, "never": cluster.AgreeNever, "soon": cluster.AgreeSoon, "always": cluster.AgreeAlways}

// witnessesLeast is how many a majority needs to outlast one that is lost.
const witnessesLeast = 3

// peers checks the part on other instances.
func (c *check) peers() {
	f, p := c.file, &c.file.Peers
	agreed := false
	for i, k := range f.Classes {
		key := fmt.Sprintf("class[%d].agree", i)
		_, ok := agree[k.Agree]
		c.Require(ok, key, "%q is not one of never, soon, always", k.Agree)
		if agree[k.Agree] != cluster.AgreeNever {
			agreed = true
			c.Require(k.Repeat == "keyed", key, "%q: only a keyed class has keys to agree on", k.Agree)
			c.Require(p.Listen != "", key, "%q: there is nobody to agree with without peers.listen", k.Agree)
		}
	}
	if p.Listen == "" {
		return
	}
	c.address("peers.listen", p.Listen)
	if p.Advertise != "" {
		c.address("peers.advertise", p.Advertise)
	}
	if p.Status != "" {
		c.address("peers.status", p.Status)
	}
	c.Require(f.Name != "", "name", "is missing: by it others know this instance")
	for _, at := range p.Join {
		name, address, ok := strings.Cut(at, "/")
		c.Require(ok && name != "", "peers.join", "%q is not name/host:port", at)
		if ok {
			c.address("peers.join", address)
		}
	}
	for name, address := range p.Via {
		c.Require(name != "", "peers.via", "a name is empty")
		c.address("peers.via", address)
	}
	seen := map[string]bool{}
	for _, name := range p.Witnesses {
		c.Require(name != "" && !seen[name], "peers.witnesses", "%q is empty, or there twice", name)
		seen[name] = true
	}
	c.Require(!agreed || len(p.Witnesses) >= witnessesLeast, "peers.witnesses", "%d names: a majority that outlasts the loss of one needs %d", len(p.Witnesses), witnessesLeast)
	c.Positive("peers.wait", p.Wait)
	if p.KeysFile != "" {
		keys, err := readPeerKeys(p.KeysFile)
		c.Require(err == nil, "peers.keys_file", "%v", err)
		f.peerKeys = keys
	} else {
		c.Warn("peers.keys_file", "is missing: whoever reaches the port may speak for any instance")
	}
}

// readPeerKeys reads one key a line, in base64; the first seals.
func readPeerKeys(path string) (keys [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil || !slices.Contains([]int{16, 24, 32}, len(key)) {
			return nil, fmt.Errorf("line %d is not 16, 24 or 32 bytes in base64", n)
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("no key is in it")
	}
	return keys, nil
}

// Build names the build to other instances. The linker may set it.
var Build = "unnamed"

// peerConfig is what the file says of other instances.
func (f *File) peerConfig(log *slog.Logger) cluster.Config {
	c := cluster.Config{Name: f.Name, Listen: f.Peers.Listen, Advertise: f.Peers.Advertise, Join: f.Peers.Join, Via: f.Peers.Via,
		Keys: f.peerKeys, Voters: f.Peers.Witnesses, LeaseTimeout: time.Duration(f.Peers.Wait), Site: f.Site, Build: Build,
		SlowStartTime: time.Duration(f.Fleet.WarmWithin), Log: log}
	for _, k := range f.Classes {
		c.Classes = append(c.Classes, cluster.Class{Name: k.Name, Agreement: agree[k.Agree]})
		if agree[k.Agree] != cluster.AgreeNever {
			// Clients come again within the deadline of the first try, and what they then ask for
			// is sent within another.
			c.LeaseDuration = max(c.LeaseDuration, 2*time.Duration(k.Deadline))
		}
	}
	return c
}

// overheard is a source whose lists the peers hear, too.
type overheard struct {
	engine.Source
	peers *cluster.Node
}

// Watch passes all on.
func (o overheard) Watch(ctx context.Context, after *uint64, tell func(balancer.ListKind, engine.List)) (*uint64, error) {
	return o.Source.Watch(ctx, after, func(kind balancer.ListKind, list engine.List) {
		o.peers.EndpointsUpdated(kind, list)
		tell(kind, list)
	})
}

// startPeers begins to talk to other instances, if the file says so. close ends it.
func (i *Instance) startPeers(f *File) error {
	i.closePeers = func() {}
	if f.Peers.Listen == "" {
		return nil
	}
	cfg := f.peerConfig(i.log)
	cfg.OnDrainAdvisory = func(now balancer.Micros, draining map[string]int64) { i.engine.SetAdvisedDraining(now, draining) }
	host, err := cluster.Start(cfg, func(event func(now balancer.Micros)) { i.engine.Post(event) })
	if err != nil {
		return err
	}
	i.Peers, i.closePeers = host, host.Close
	if f.Peers.Status == "" {
		return nil
	}
	l, err := net.Listen("tcp", f.Peers.Status)
	if err != nil {
		host.Close()
		return fmt.Errorf("peers.status: %w", err)
	}
	i.Status = l.Addr()
	server := &http.Server{Handler: host, ReadTimeout: 2 * time.Second, WriteTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }() // until Shutdown
	i.closePeers = func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = server.Shutdown(ctx) // after its second the process ends all the same
		host.Close()
	}
	return nil
}
