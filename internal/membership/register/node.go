package register

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/go-zookeeper/zk"

	"pinedale/internal/membership/ephemeral"
)

// anyVersion has a node written whatever its version is.
const anyVersion = -1

// acl returns who may change the node: those with the digest, or everyone if there is
// none.
func (r *Registrar) acl() []zk.ACL {
	if r.opts.Digest == "" {
		return zk.WorldACL(zk.PermAll)
	}
	return append(zk.AuthACL(zk.PermAll), zk.WorldACL(zk.PermRead)...)
}

// ensureNode makes sure that the node exists and is of our session, unless the server
// drains. A node of an earlier session of ours is replaced without waiting for that to
// expire.
func (r *Registrar) ensureNode() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return nil
	}
	for {
		exists, stat, err := r.conn.Exists(r.nodePath)
		switch {
		case err != nil:
			return err
		case exists && stat.EphemeralOwner == r.conn.SessionID():
			if !r.registered {
				r.opts.Log.Info("node registered", "node", r.nodePath)
			}
			r.registered = true
			return nil
		case exists:
			err = r.removeStaleNode()
		default:
			err = r.createNode()
		}
		if err != nil {
			return err
		}
	}
}

// removeStaleNode removes a node that an earlier session of this server left. Another
// server's node, which has another address, is an error.
func (r *Registrar) removeStaleNode() error {
	content, stat, err := r.conn.Get(r.nodePath)
	if errors.Is(err, zk.ErrNoNode) {
		return nil
	}
	if err != nil {
		return err
	}
	var stale ephemeral.Data
	if json.Unmarshal(content, &stale) != nil || stale.Address != r.opts.Data.Address {
		return fmt.Errorf("the name is another server's, at %q", stale.Address)
	}
	if err := r.conn.Delete(r.nodePath, stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
		return err
	}
	return nil
}

// createNode creates the node, or its directory if that does not exist.
func (r *Registrar) createNode() error {
	r.registered = false
	data, err := json.Marshal(r.opts.Data)
	if err != nil {
		return err
	}
	_, err = r.conn.Create(r.nodePath, data, zk.FlagEphemeral, r.acl())
	if errors.Is(err, zk.ErrNoNode) {
		err = r.createDirectory()
	}
	if err != nil && !errors.Is(err, zk.ErrNodeExists) {
		return err
	}
	return nil
}

// createDirectory creates the directory and those above it.
func (r *Registrar) createDirectory() error {
	directory := ""
	for name := range strings.SplitSeq(strings.TrimPrefix(r.opts.Path, "/"), "/") {
		directory += "/" + name
		_, err := r.conn.Create(directory, nil, 0, zk.WorldACL(zk.PermAll))
		if err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	return nil
}
