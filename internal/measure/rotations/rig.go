package rotations

import (
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/measure/harness"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/tlsbackend"
)

// The names of the keys in the operator's file.
const (
	frontKeys = "front" // shown to clients
	fleetKeys = "fleet" // shown to servers, and the roots that verify them
)

const (
	frontCertName  = "127.0.0.1"
	clientCertName = "pinedale.example.org" // that the proxy shows to servers

	serviceTime = time.Millisecond

	validity = 24 * time.Hour // of certificates
)

const configFormat = `version = 1
name = "rotations"
site = "a"
[http]
listen = "127.0.0.1:0"
keys = "front"
[upstream]
keys = "fleet"
verify = "{name}.example.org"
http3 = %t
[[keys]]
name = "front"
cert_file = %q
key_file = %q
replace_within = "1s"
[[keys]]
name = "fleet"
cert_file = %q
key_file = %q
roots_file = %q
replace_within = "1s"
[fleet]
sites = ["a"]
[[class]]
name = "price-check"
repeat = "safe"
aim = "2s"
deadline = "20s"
[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = "30s"
aim = "2s"
deadline = "20s"
attempts = 1
`

// The classes of the operator's file, and their settings.
const (
	classPriceCheck = "price-check"
	classStallPay   = "stall-pay"

	classTimeout                 = 20 * time.Second
	payWindow    balancer.Micros = 30_000_000
)

// rig is the proxy with its servers and the certificates of all sides.
type rig struct {
	options Options

	root, nextRoot *ca.Authority
	front, fleet   *ca.Folder                    // files of the proxy's keys
	clientRoots    atomic.Pointer[x509.CertPool] // that clients trust
	credentials    *tlsbackend.Credentials       // of the servers

	instance *harness.Instance
	backends *fakebackend.Fleet
	servers  []*fakebackend.Server
}

// newRig issues all certificates and starts the servers and the proxy.
func newRig(o Options) (r *rig, err error) {
	r = &rig{options: o}
	defer func() {
		if err != nil {
			_ = r.close() // the error is the cause
		}
	}()
	if err := r.issueAll(); err != nil {
		return nil, err
	}
	r.backends = &fakebackend.Fleet{
		ServiceTime: serviceTime,
		TLS:         r.credentials.ServerConfig,
		Classes: []balancer.Class{{
			Name:        classStallPay,
			Idempotency: balancer.IdempotentWithKey,
			Group:       balancer.GroupAll,
			DedupWindow: payWindow,
		}},
	}
	configText := fmt.Sprintf(configFormat,
		o.HTTP3, r.front.Cert, r.front.Key, r.fleet.Cert, r.fleet.Key, r.fleet.Roots)
	for n := range o.Servers {
		server, err := r.backends.Start(fmt.Sprint("s-", n), n)
		if err != nil {
			return nil, err
		}
		r.servers = append(r.servers, server)
		configText += harness.ServerConfig(server.Name, server.Address, n)
	}
	r.instance, err = harness.StartInstanceFromText(configText)
	return r, err
}

// close stops the proxy and the servers, as far as they were started.
func (r *rig) close() (err error) {
	if r.instance != nil {
		err = r.instance.Close()
	}
	for _, server := range r.servers {
		server.Close()
	}
	return err
}

// issueAll makes the first two roots, and the certificates of all sides by the first.
func (r *rig) issueAll() (err error) {
	r.root, r.nextRoot = r.newTrustedRoot(0), r.newTrustedRoot(1)
	frontFiles, frontErr := makeFolder(r.options.Dir, frontKeys)
	fleetFiles, fleetErr := makeFolder(r.options.Dir, fleetKeys)
	if err := errors.Join(frontErr, fleetErr); err != nil {
		return err
	}
	r.front, r.fleet = frontFiles, fleetFiles
	r.front.WritePair(r.root.IssueFor(validity, frontCertName))
	r.fleet.WritePair(r.root.IssueFor(validity, clientCertName))
	r.fleet.WriteFile(r.fleet.Roots, r.root.PEM())
	r.credentials = tlsbackend.NewCredentials(ca.PanicOnFatal{}, r.root.IssueFor(validity, r.serverNames()...))
	r.credentials.SetClientCAs(r.root)
	return nil
}

func makeFolder(dir, name string) (*ca.Folder, error) {
	path := filepath.Join(dir, name)
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return ca.FolderAt(ca.PanicOnFatal{}, path), nil
}

// serverNames returns the names that the servers' certificate is for.
func (r *rig) serverNames() (names []string) {
	for n := range r.options.Servers {
		names = append(names, fmt.Sprintf("s-%d.example.org", n))
	}
	return names
}

// newTrustedRoot makes a root that clients trust from now on. They trust it for good, since the proxy's side of a
// rotation is measured, not theirs.
func (r *rig) newTrustedRoot(number int) *ca.Authority {
	root := ca.New(ca.PanicOnFatal{}, fmt.Sprint("root ", number))
	pool := x509.NewCertPool()
	if trusted := r.clientRoots.Load(); trusted != nil {
		pool = trusted.Clone()
	}
	pool.AddCert(root.Cert)
	r.clientRoots.Store(pool)
	return root
}
