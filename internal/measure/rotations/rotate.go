package rotations

import (
	"fmt"
	"time"
)

// reloadTimeout is how long a change of files may take to be accepted. By notification that takes well under a second,
// without it up to the poll interval of half a minute.
const reloadTimeout = 40 * time.Second

// rotateAll makes all changes and returns their number.
func (r *rig) rotateAll() (rotations int, err error) {
	for ; rotations < r.options.Rotations; rotations++ {
		if err := r.rotate(rotations); err != nil {
			return rotations, err
		}
		time.Sleep(r.options.Settle)
	}
	return rotations, nil
}

// rotate makes the change of a number. Six of them make a round, after which the next root has replaced the first.
func (r *rig) rotate(number int) error {
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
func (r *rig) replaceServerCertificate() error {
	r.credentials.SetCertificate(r.root.IssueFor(validity, r.serverNames()...))
	return nil
}

// replaceClientCertificate replaces what the proxy shows to servers: the key, and then the certificate.
func (r *rig) replaceClientCertificate() error {
	return r.awaitReload(fleetKeys, func() {
		pair := r.root.IssueFor(validity, clientCertName)
		r.fleet.WriteFile(r.fleet.Key, pair.Key)
		r.fleet.WriteFile(r.fleet.Cert, pair.Cert)
	})
}

// replaceFrontCertificate replaces what the proxy shows to clients: the certificate, and then the key.
func (r *rig) replaceFrontCertificate() error {
	return r.awaitReload(frontKeys, func() { r.front.WritePair(r.root.IssueFor(validity, frontCertName)) })
}

// trustBothRoots has both sides trust the next root, too.
func (r *rig) trustBothRoots() error {
	r.credentials.SetClientCAs(r.root, r.nextRoot)
	return r.awaitReload(fleetKeys, func() {
		r.fleet.WriteFile(r.fleet.Roots, r.root.PEM(), r.nextRoot.PEM())
	})
}

// issueByNextRoot replaces the certificates of both sides by those of the next root.
func (r *rig) issueByNextRoot() error {
	r.credentials.SetCertificate(r.nextRoot.IssueFor(validity, r.serverNames()...))
	return r.awaitReload(fleetKeys, func() { r.fleet.WritePair(r.nextRoot.IssueFor(validity, clientCertName)) })
}

// removeOldRoot has both sides trust the next root alone, while connections are open, and makes the root of the round
// after this one.
func (r *rig) removeOldRoot(round int) error {
	err := r.awaitReload(fleetKeys, func() { r.fleet.WriteFile(r.fleet.Roots, r.nextRoot.PEM()) })
	r.credentials.SetClientCAs(r.nextRoot)
	r.root, r.nextRoot = r.nextRoot, r.newTrustedRoot(round+2)
	return err
}

// awaitReload changes files and waits until the proxy has accepted them.
func (r *rig) awaitReload(keys string, change func()) error {
	before := r.instance.Keys()[keys].Accepted
	change()
	end := time.Now().Add(reloadTimeout)
	for r.instance.Keys()[keys].Accepted == before {
		if time.Now().After(end) {
			return fmt.Errorf("a change of the keys %q was not taken within %v", keys, reloadTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}
