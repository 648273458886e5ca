package register

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/go-zookeeper/zk"

	"pinedale/internal/membership/ephemeral"
)

// anyVersion in a write matches any version of the node.
const anyVersion = -1

// acl returns the node's access control list: only clients with the digest may change the node,
// or any client if there is no digest.
func (r *Registrar) acl() []zk.ACL {
	if r.options.Digest == "" {
		return zk.WorldACL(zk.PermAll)
	}
	return append(zk.AuthACL(zk.PermAll), zk.WorldACL(zk.PermRead)...)
}

// NameTakenError reports that a node of the registrar's name belongs to another server.
type NameTakenError struct {
	Address string // in the node's data, "" if that is invalid
}

// Error gives the other server's address.
func (e *NameTakenError) Error() string {
	return fmt.Sprintf("node name is already registered by another server at %q", e.Address)
}

// ensureNode ensures that the node exists in the current session, unless the server is draining. It
// replaces a node of an earlier session of the server without waiting for that session to expire.
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
				r.options.Log.Info("node registered", "node", r.nodePath)
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

// removeStaleNode removes a node that an earlier session of this server created. It returns an
// error if the node has another address and thus belongs to another server.
func (r *Registrar) removeStaleNode() error {
	content, stat, err := r.conn.Get(r.nodePath)
	if errors.Is(err, zk.ErrNoNode) {
		return nil
	}
	if err != nil {
		return err
	}
	var stale ephemeral.Data
	if json.Unmarshal(content, &stale) != nil || stale.Address != r.options.Data.Address {
		return &NameTakenError{Address: stale.Address}
	}
	if err := r.conn.Delete(r.nodePath, stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
		return err
	}
	return nil
}

// createNode creates the node, or its directory if that does not exist; ensureNode then tries
// again.
func (r *Registrar) createNode() error {
	r.registered = false
	data, err := json.Marshal(r.options.Data)
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

// createDirectory creates the directory and its parents.
func (r *Registrar) createDirectory() error {
	directory := ""
	for name := range strings.SplitSeq(strings.TrimPrefix(r.options.Path, "/"), "/") {
		directory += "/" + name
		_, err := r.conn.Create(directory, nil, 0, zk.WorldACL(zk.PermAll))
		if err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	return nil
}
