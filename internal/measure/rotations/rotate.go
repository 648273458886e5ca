package rotations

import (
	"fmt"
	"time"
)

// reloadTimeout is how long the proxy may take to accept changed files: well under a second with file notifications, up
// to the poll interval of half a minute without them.
const reloadTimeout = 40 * time.Second

// rotateAll makes all changes and returns their number.
func (r *testbed) rotateAll() (rotations int, err error) {
	for ; rotations < r.options.Rotations; rotations++ {
		if err := r.rotate(rotations); err != nil {
			return rotations, err
		}
		time.Sleep(r.options.Settle)
	}
	return rotations, nil
}

// rotate makes the change with the given number. After each round of six changes, the next root has replaced the first.
func (r *testbed) rotate(number int) error {
	const changesPerRound = 6
	switch number % changesPerRound {
	case 0:
		return r.replaceServerCertificate()
	case 1:
		return r.replaceClientCertificate()
	case 2:
		return r.replaceFrontCertificate()
	case 3:
		return r.trustBothRoots()
	case 4:
		return r.issueByNextRoot()
	default:
		return r.removeOldRoot(number / changesPerRound)
	}
}

// replaceServerCertificate replaces the certificate of the servers.
func (r *testbed) replaceServerCertificate() error {
	r.credentials.SetCertificate(r.root.IssueFor(validity, r.serverNames()...))
	return nil
}

// replaceClientCertificate replaces the key and then the certificate that the proxy presents to servers.
func (r *testbed) replaceClientCertificate() error {
	return r.awaitReload(fleetKeys, func() {
		pair := r.root.IssueFor(validity, clientCertName)
		r.fleet.WriteFile(r.fleet.Key, pair.Key)
		r.fleet.WriteFile(r.fleet.Cert, pair.Cert)
	})
}

// replaceFrontCertificate replaces the certificate and then the key that the proxy presents to clients.
func (r *testbed) replaceFrontCertificate() error {
	return r.awaitReload(frontKeys, func() { r.front.WritePair(r.root.IssueFor(validity, frontCertName)) })
}

// trustBothRoots has both sides trust the next root, too.
func (r *testbed) trustBothRoots() error {
	r.credentials.SetClientCAs(r.root, r.nextRoot)
	return r.awaitReload(fleetKeys, func() {
		r.fleet.WriteFile(r.fleet.Roots, r.root.PEM(), r.nextRoot.PEM())
	})
}

// issueByNextRoot replaces the certificates of both sides with certificates of the next root.
func (r *testbed) issueByNextRoot() error {
	r.credentials.SetCertificate(r.nextRoot.IssueFor(validity, r.serverNames()...))
	return r.awaitReload(fleetKeys, func() { r.fleet.WritePair(r.nextRoot.IssueFor(validity, clientCertName)) })
}

// removeOldRoot has both sides trust the next root only, while connections are open, and creates the root of the round
// after this one.
func (r *testbed) removeOldRoot(round int) error {
	err := r.awaitReload(fleetKeys, func() { r.fleet.WriteFile(r.fleet.Roots, r.nextRoot.PEM()) })
	r.credentials.SetClientCAs(r.nextRoot)
	r.root, r.nextRoot = r.nextRoot, r.newTrustedRoot(round+2)
	return err
}

// awaitReload changes files and waits until the proxy has accepted them.
func (r *testbed) awaitReload(keys string, change func()) error {
	before := r.instance.Keys()[keys].Accepted
	change()
	end := time.Now().Add(reloadTimeout)
	for r.instance.Keys()[keys].Accepted == before {
		if time.Now().After(end) {
			return fmt.Errorf("a change of the keys %q was not accepted within %v", keys, reloadTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}
