package fakezookeeper

import (
	"path"
	"slices"
	"time"
)

// node is one node of the tree, with what its Stat tells.
type node struct {
	data                []byte
	acl                 []ACL
	czxid, mzxid, pzxid int64
	ctime, mtime        int64 // milliseconds
	version, cversion   int32
	owner               int64 // session of an ephemeral node
	children            map[string]bool
	sequence            int32 // of the next sequential child
}

// names returns the sorted names of a node's children.
func names(n *node) []string {
	if n == nil {
		return nil
	}
	var all []string
	for name := range n.children {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// create creates a node and fires its watches. It holds mu.
func (s *Service) create(p string, data []byte, acl []ACL, owner int64) {
	s.zxid++
	now := time.Now().UnixMilli()
	s.nodes[p] = &node{data: data, acl: acl, czxid: s.zxid, mzxid: s.zxid, pzxid: s.zxid, ctime: now, mtime: now, owner: owner,
		children: map[string]bool{}}
	dir := s.nodes[path.Dir(p)]
	dir.children[path.Base(p)] = true
	dir.cversion++
	dir.pzxid = s.zxid
	s.fire(p, eventCreated, existWatch)
	s.fire(path.Dir(p), eventChildren, childWatch)
}

// set replaces a node's data and fires its watches. It holds mu.
func (s *Service) set(p string, n *node, data []byte) {
	s.zxid++
	n.data, n.mzxid, n.mtime = data, s.zxid, time.Now().UnixMilli()
	n.version++
	s.fire(p, eventData, dataWatch)
}

// remove deletes a node and fires its watches. It holds mu.
func (s *Service) remove(p string) {
	s.zxid++
	delete(s.nodes, p)
	dir := s.nodes[path.Dir(p)]
	delete(dir.children, path.Base(p))
	dir.cversion++
	dir.pzxid = s.zxid
	s.fire(p, eventDeleted, dataWatch, existWatch, childWatch)
	s.fire(path.Dir(p), eventChildren, childWatch)
}
