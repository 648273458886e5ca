package fakezookeeper

import (
	"bytes"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"path"
	"slices"
	"strings"
	"time"
)

// Permissions of an access control list (ZooDefs.Perms).
const (
	permRead   int32 = 1
	permWrite  int32 = 2
	permCreate int32 = 4
	permDelete int32 = 8
	permAll    int32 = 31
)

// Schemes of an access control list.
const (
	schemeWorld  = "world"
	schemeDigest = "digest"
	schemeAuth   = "auth" // any identity of the connection
)

// Flags of a create request.
const (
	flagEphemeral = 1
	flagSequence  = 2
)

// anyVersion is the version in a request that any version of the node satisfies.
const anyVersion int32 = -1

// respond executes a request and sends the response. It reports whether the connection stays open.
func (c *conn) respond(r request) bool {
	s := c.member.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[c.session.id] != c.session {
		return false // the session has expired
	}
	c.session.lastSeen = time.Now()
	var body writer
	code := c.execute(r, &body)
	response := newFrame()
	response.header(r.xid, s.zxid, code)
	if code == codeOK {
		*response = append(*response, body...)
	}
	if r.op == OpClose {
		s.removeSession(c.session.id) // its connection is closed after the response
	}
	// The lock is held while sending, so that responses and watch events are sent in the order of the changes.
	c.send(response)
	return r.op != OpClose && code != codeAuthFailed
}

// execute executes a request, writes the body of its response and returns its code.
func (c *conn) execute(r request, body *writer) int32 {
	switch r.op {
	case OpPing, OpClose:
		return codeOK
	case OpSetAuth:
		return c.authenticate(r)
	case OpSetWatches:
		c.setWatches(r)
		return codeOK
	case OpCreate, OpDelete, OpSetData, OpExists, OpGetData, OpGetChildren, OpGetChildren2, OpSync:
		if !isValidPath(r.path) {
			return codeBadArguments
		}
		return c.executeOnPath(r, body)
	default:
		return codeUnimplemented
	}
}

// executeOnPath executes a request whose operation has a path.
func (c *conn) executeOnPath(r request, body *writer) int32 {
	switch r.op {
	case OpCreate:
		return c.create(r, body)
	case OpSync:
		body.string(r.path)
		return codeOK
	}
	n := c.tree()[r.path]
	if n == nil {
		if r.op == OpExists {
			c.watch(r, existWatch)
		}
		return codeNoNode
	}
	switch r.op {
	case OpDelete:
		return c.delete(r, n)
	case OpSetData:
		return c.setData(r, n, body)
	default:
		return c.read(r, n, body)
	}
}

// isValidPath reports whether a path is absolute and clean.
func isValidPath(nodePath string) bool {
	return strings.HasPrefix(nodePath, "/") && path.Clean(nodePath) == nodePath
}

// tree returns the nodes that the connection's member serves.
func (c *conn) tree() map[string]*node {
	if c.member.staleView != nil {
		return c.member.staleView
	}
	return c.member.service.nodes
}

// isAllowed reports whether the connection has a permission on a node. A node without an access control list is open to
// all.
func (c *conn) isAllowed(n *node, perm int32) bool {
	if len(n.acl) == 0 {
		return true
	}
	return slices.ContainsFunc(n.acl, func(entry ACL) bool {
		return entry.Perms&perm != 0 && c.matches(entry)
	})
}

// matches reports whether an entry of an access control list applies to an identity of the connection.
func (c *conn) matches(entry ACL) bool {
	switch entry.Scheme {
	case schemeWorld:
		return true
	case schemeDigest:
		return slices.Contains(c.identities, entry.ID)
	case schemeAuth:
		return len(c.identities) > 0
	default:
		return false
	}
}

// authenticate adds a digest identity to the connection.
func (c *conn) authenticate(r request) int32 {
	if r.scheme != schemeDigest || !bytes.Contains(r.data, []byte(":")) {
		return codeAuthFailed
	}
	c.identities = append(c.identities, digest(r.data))
	return codeOK
}

// digest returns ZooKeeper's name for a user with a password (user:password).
func digest(userPassword []byte) string {
	user, _, _ := strings.Cut(string(userPassword), ":")
	sum := sha1.Sum(userPassword)
	return user + ":" + base64.StdEncoding.EncodeToString(sum[:])
}

// create creates a node. The body of the response is its path.
func (c *conn) create(r request, body *writer) int32 {
	s := c.member.service
	parent := s.nodes[path.Dir(r.path)]
	switch {
	case r.path == "/":
		return codeNodeExists
	case r.flags&^(flagEphemeral|flagSequence) != 0:
		return codeUnimplemented
	case parent == nil:
		return codeNoNode
	case parent.owner != 0:
		return codeNoChildren
	case !c.isAllowed(parent, permCreate):
		return codeNoAuth
	}
	nodePath := r.path
	if r.flags&flagSequence != 0 {
		nodePath = fmt.Sprintf("%s%010d", nodePath, parent.nextSequence)
		parent.nextSequence++
	}
	if s.nodes[nodePath] != nil {
		return codeNodeExists
	}
	owner := int64(0)
	if r.flags&flagEphemeral != 0 {
		owner = c.session.id
	}
	s.create(nodePath, r.data, c.resolveAuth(r.acl), owner)
	body.string(nodePath)
	return codeOK
}

// resolveAuth replaces the scheme "auth" by the connection's first identity.
func (c *conn) resolveAuth(acl []ACL) []ACL {
	for i, entry := range acl {
		if entry.Scheme == schemeAuth && len(c.identities) > 0 {
			acl[i] = ACL{Perms: entry.Perms, Scheme: schemeDigest, ID: c.identities[0]}
		}
	}
	return acl
}

// delete deletes a node that has no children.
func (c *conn) delete(r request, n *node) int32 {
	s := c.member.service
	switch {
	case !c.isAllowed(s.nodes[path.Dir(r.path)], permDelete):
		return codeNoAuth
	case r.version != anyVersion && r.version != n.version:
		return codeBadVersion
	case len(n.children) > 0:
		return codeNotEmpty
	}
	s.remove(r.path)
	return codeOK
}

// setData replaces a node's data. The body of the response is the node's Stat.
func (c *conn) setData(r request, n *node, body *writer) int32 {
	switch {
	case !c.isAllowed(n, permWrite):
		return codeNoAuth
	case r.version != anyVersion && r.version != n.version:
		return codeBadVersion
	}
	c.member.service.setData(r.path, n, r.data)
	body.stat(n)
	return codeOK
}

// read executes a request that changes nothing, and sets its watch.
func (c *conn) read(r request, n *node, body *writer) int32 {
	if r.op != OpExists && !c.isAllowed(n, permRead) {
		return codeNoAuth
	}
	switch r.op {
	case OpExists:
		c.watch(r, dataWatch)
		body.stat(n)
	case OpGetData:
		c.watch(r, dataWatch)
		body.buffer(n.data)
		body.stat(n)
	case OpGetChildren:
		c.watch(r, childWatch)
		body.strings(childNames(n))
	case OpGetChildren2:
		c.watch(r, childWatch)
		body.strings(childNames(n))
		body.stat(n)
	}
	return codeOK
}
