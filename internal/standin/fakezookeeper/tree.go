package fakezookeeper

import (
	"path"
	"slices"
	"time"
)

// node is one node of the tree, with the fields of its Stat.
type node struct {
	data                []byte
	acl                 []ACL
	czxid, mzxid, pzxid int64
	ctime, mtime        int64 // milliseconds
	version, cversion   int32
	owner               int64 // session of an ephemeral node, else 0
	children            map[string]bool
	nextSequence        int32 // of sequential children
}

// childNames returns the sorted names of a node's children, nil if n is nil.
func childNames(n *node) []string {
	if n == nil {
		return nil
	}
	var names []string
	for name := range n.children {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// create creates a node and fires its watches. The caller holds mu.
func (s *Service) create(nodePath string, data []byte, acl []ACL, owner int64) {
	s.zxid++
	now := time.Now().UnixMilli()
	s.nodes[nodePath] = &node{
		data:     data,
		acl:      acl,
		czxid:    s.zxid,
		mzxid:    s.zxid,
		pzxid:    s.zxid,
		ctime:    now,
		mtime:    now,
		owner:    owner,
		children: map[string]bool{},
	}
	parentPath := path.Dir(nodePath)
	parent := s.nodes[parentPath]
	parent.children[path.Base(nodePath)] = true
	parent.cversion++
	parent.pzxid = s.zxid
	s.fire(nodePath, eventCreated, existWatch)
	s.fire(parentPath, eventChildren, childWatch)
}

// setData replaces a node's data and fires its watches. The caller holds mu.
func (s *Service) setData(nodePath string, n *node, data []byte) {
	s.zxid++
	n.data = data
	n.mzxid = s.zxid
	n.mtime = time.Now().UnixMilli()
	n.version++
	s.fire(nodePath, eventData, dataWatch)
}

// remove deletes a node and fires its watches. The caller holds mu.
func (s *Service) remove(nodePath string) {
	s.zxid++
	delete(s.nodes, nodePath)
	parentPath := path.Dir(nodePath)
	parent := s.nodes[parentPath]
	delete(parent.children, path.Base(nodePath))
	parent.cversion++
	parent.pzxid = s.zxid
	s.fire(nodePath, eventDeleted, dataWatch, existWatch, childWatch)
	s.fire(parentPath, eventChildren, childWatch)
}
