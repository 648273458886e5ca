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

// answer carries out one request. False ends the connection.
func (c *conn) answer(q request) bool {
	s := c.member.service
	s.mu.Lock()
	if s.sessions[c.session.id] != c.session {
		s.mu.Unlock()
		return false // it has expired
	}
	c.session.lastSeen = time.Now()
	var body writer
	code := c.carryOut(q, &body)
	out := frame()
	out.head(q.xid, s.zxid, code)
	if code == codeOK {
		*out = append(*out, body...)
	}
	if q.op == OpClose {
		s.end(&session{id: c.session.id}) // its connection answers first
	}
	// Answers and watch events leave in the order of the changes: under the lock.
	c.send(out)
	s.mu.Unlock()
	return q.op != OpClose && code != codeAuthFailed
}

// tree is what the connection's member shows.
func (c *conn) tree() map[string]*node {
	if c.member.view != nil {
		return c.member.view
	}
	return c.member.service.nodes
}

// Permissions of an access list (ZooDefs.Perms).
const (
	permRead   int32 = 1
	permWrite  int32 = 2
	permCreate int32 = 4
	permDelete int32 = 8
	permAll    int32 = 31
)

// allowed says whether the connection has a permission on a node. A node without a
// list of its own is open to all.
func (c *conn) allowed(n *node, perm int32) bool {
	if len(n.acl) == 0 {
		return true
	}
	return slices.ContainsFunc(n.acl, func(a ACL) bool {
		return a.Perms&perm != 0 && (a.Scheme == "world" || a.Scheme == "digest" && slices.Contains(c.auth, a.ID) ||
			a.Scheme == "auth" && len(c.auth) > 0)
	})
}

// validPath says whether a path is absolute and clean.
func validPath(p string) bool { return strings.HasPrefix(p, "/") && path.Clean(p) == p }

// anyVersion is the version of a request that holds for any version of the node.
const anyVersion int32 = -1

// carryOut carries out a request, writes the body of its answer and returns the answer's code.
func (c *conn) carryOut(q request, out *writer) int32 {
	switch q.op {
	case OpPing, OpClose:
		return codeOK
	case OpSetAuth:
		if q.scheme != "digest" || !bytes.Contains(q.data, []byte(":")) {
			return codeAuthFailed
		}
		c.auth = append(c.auth, digest(q.data))
		return codeOK
	case OpSetWatches:
		c.setWatches(q)
		return codeOK
	case OpCreate, OpDelete, OpSetData, OpExists, OpGetData, OpGetChildren, OpGetChildren2, OpSync:
		if !validPath(q.path) {
			return codeBadArguments
		}
	default:
		return codeUnimplemented
	}
	switch q.op {
	case OpCreate:
		return c.create(q, out)
	case OpSync:
		out.string(q.path)
		return codeOK
	}
	n := c.tree()[q.path]
	if n == nil {
		if q.op == OpExists {
			c.watch(q, existWatch)
		}
		return codeNoNode
	}
	switch q.op {
	case OpDelete:
		return c.delete(q, n)
	case OpSetData:
		return c.setData(q, n, out)
	default:
		return c.read(q, n, out)
	}
}

// delete deletes a node that has no children.
func (c *conn) delete(q request, n *node) int32 {
	s := c.member.service
	switch {
	case !c.allowed(s.nodes[path.Dir(q.path)], permDelete):
		return codeNoAuth
	case q.version != anyVersion && q.version != n.version:
		return codeBadVersion
	case len(n.children) > 0:
		return codeNotEmpty
	}
	s.remove(q.path)
	return codeOK
}

// setData replaces a node's data.
func (c *conn) setData(q request, n *node, out *writer) int32 {
	switch {
	case !c.allowed(n, permWrite):
		return codeNoAuth
	case q.version != anyVersion && q.version != n.version:
		return codeBadVersion
	}
	c.member.service.set(q.path, n, q.data)
	out.stat(n)
	return codeOK
}

// read answers a request that changes nothing, and sets its watch.
func (c *conn) read(q request, n *node, out *writer) int32 {
	if q.op != OpExists && !c.allowed(n, permRead) {
		return codeNoAuth
	}
	switch q.op {
	case OpExists:
		c.watch(q, dataWatch)
		out.stat(n)
	case OpGetData:
		c.watch(q, dataWatch)
		out.buffer(n.data)
		out.stat(n)
	case OpGetChildren, OpGetChildren2:
		c.watch(q, childWatch)
		all := names(n)
		out.int32(int32(len(all)))
		for _, name := range all {
			out.string(name)
		}
		if q.op == OpGetChildren2 {
			out.stat(n)
		}
	}
	return codeOK
}

// Flags of a create request.
const (
	flagEphemeral = 1
	flagSequence  = 2
)

// create creates a node and answers its path.
func (c *conn) create(q request, out *writer) int32 {
	s := c.member.service
	dir := s.nodes[path.Dir(q.path)]
	switch {
	case q.path == "/":
		return codeNodeExists
	case q.flags&^(flagEphemeral|flagSequence) != 0:
		return codeUnimplemented
	case dir == nil:
		return codeNoNode
	case dir.owner != 0:
		return codeNoChildren
	case !c.allowed(dir, permCreate):
		return codeNoAuth
	}
	p := q.path
	if q.flags&flagSequence != 0 {
		p = fmt.Sprintf("%s%010d", p, dir.sequence)
		dir.sequence++
	}
	if s.nodes[p] != nil {
		return codeNodeExists
	}
	acl := q.acl
	for i, a := range acl {
		if a.Scheme == "auth" && len(c.auth) > 0 { // it stands for the connection's identity
			acl[i] = ACL{a.Perms, "digest", c.auth[0]}
		}
	}
	owner := int64(0)
	if q.flags&flagEphemeral != 0 {
		owner = c.session.id
	}
	s.create(p, q.data, acl, owner)
	out.string(p)
	return codeOK
}

// digest is ZooKeeper's name for a user with a password.
func digest(userPassword []byte) string {
	user, _, _ := strings.Cut(string(userPassword), ":")
	sum := sha1.Sum(userPassword)
	return user + ":" + base64.StdEncoding.EncodeToString(sum[:])
}
