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
	frontKeys = "front" // presented to clients
	fleetKeys = "fleet" // presented to servers, with the roots that verify servers
)

const (
	frontCertName  = "127.0.0.1"
	clientCertName = "pinedale.example.org" // of the certificate that the proxy presents to servers

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

// testbed is the proxy with its servers and the certificates of all sides.
type testbed struct {
	options Options

	root, nextRoot *ca.Authority
	front, fleet   *ca.Folder                    // files of the proxy's keys
	clientRoots    atomic.Pointer[x509.CertPool] // that clients trust
	credentials    *tlsbackend.Credentials       // of the servers

	instance *harness.Instance
	backends *fakebackend.Fleet
	servers  []*fakebackend.Server
}

// newTestbed issues all certificates and starts the servers and the proxy.
func newTestbed(o Options) (r *testbed, err error) {
	r = &testbed{options: o}
	defer func() {
		if err != nil {
			_ = r.close() // the caller gets the first error
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
func (r *testbed) close() (err error) {
	if r.instance != nil {
		err = r.instance.Close()
	}
	for _, server := range r.servers {
		server.Close()
	}
	return err
}

// issueAll creates the first two roots, and issues the certificates of all sides by the first.
func (r *testbed) issueAll() (err error) {
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
func (r *testbed) serverNames() (names []string) {
	for n := range r.options.Servers {
		names = append(names, fmt.Sprintf("s-%d.example.org", n))
	}
	return names
}

// newTrustedRoot creates a root that clients trust from now on. Clients never stop trusting a root, since the rotation
// of the proxy is measured, not theirs.
func (r *testbed) newTrustedRoot(number int) *ca.Authority {
	root := ca.New(ca.PanicOnFatal{}, fmt.Sprint("root ", number))
	pool := x509.NewCertPool()
	if trusted := r.clientRoots.Load(); trusted != nil {
		pool = trusted.Clone()
	}
	pool.AddCert(root.Cert)
	r.clientRoots.Store(pool)
	return root
}
