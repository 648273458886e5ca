package fakezookeeper

import (
	"path"
	"slices"
	"time"
)

// Put creates a persistent node, with its missing ancestors, or sets the data of an existing node.
func (s *Service) Put(nodePath string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[nodePath]; n != nil {
		s.setData(nodePath, n, data)
		return
	}
	s.createParents(nodePath)
	s.create(nodePath, data, nil, 0)
}

// createParents creates the missing ancestors of a path, the uppermost first. The caller holds mu.
func (s *Service) createParents(nodePath string) {
	parent := path.Dir(nodePath)
	if s.nodes[parent] != nil {
		return
	}
	s.createParents(parent)
	s.create(parent, nil, nil, 0)
}

// Delete deletes a node, if it exists, as if its owner's session had ended.
func (s *Service) Delete(nodePath string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[nodePath] != nil {
		s.remove(nodePath)
	}
}

// Children returns the sorted names of a node's children.
func (s *Service) Children(nodePath string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return childNames(s.nodes[nodePath])
}

// Owner returns the id of the session that owns a node, 0 if none does.
func (s *Service) Owner(nodePath string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[nodePath]; n != nil {
		return n.owner
	}
	return 0
}

// Sessions returns the sorted ids of the sessions that have not ended.
func (s *Service) Sessions() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []int64
	for id := range s.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ExpireSession ends a session, with its nodes and its connection.
func (s *Service) ExpireSession(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sess := s.sessions[id]; sess != nil {
		s.endSession(sess)
	}
}

// SetUnresponsive makes all members read requests without responding, with their connections open, or respond again.
// Requests read meanwhile are never answered, and their connections are closed when members respond again. No session
// expires while members are unresponsive.
func (s *Service) SetUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.unresponsive = unresponsive
		if !unresponsive {
			m.closeConns()
		}
	}
	s.restartSessionTimeouts()
}

// SetRejecting closes all connections, and sets whether members close new ones at once. No session expires while
// members reject connections.
func (s *Service) SetRejecting(rejecting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.rejecting = rejecting
		m.closeConns()
	}
	s.restartSessionTimeouts()
}

// SetDelay makes all members wait before each response.
func (s *Service) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.delay = delay
	}
}

// Restart closes all connections and adds zxidChange, which may be negative, to the zxid. With loseSessions all
// sessions end, and with them all ephemeral nodes.
func (s *Service) Restart(zxidChange int64, loseSessions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if loseSessions {
		for _, sess := range s.sessions {
			s.endSession(sess)
		}
	}
	s.zxid = max(0, s.zxid+zxidChange)
	for _, m := range s.members {
		m.closeConns()
	}
	s.restartSessionTimeouts()
}

// Protect permits only a digest identity (user:password) to use a node.
func (s *Service) Protect(nodePath, userPassword string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[nodePath].acl = []ACL{{
		Perms:  permAll,
		Scheme: schemeDigest,
		ID:     digest([]byte(userPassword)),
	}}
}

// SetStaleView makes a member serve reads from a copy of the tree as it is now, without the nodes of these paths, or
// from the current tree again.
func (m *Member) SetStaleView(stale bool, without ...string) {
	s := m.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m.staleView = nil
	if stale {
		m.staleView = s.copyTree(without)
	}
}

// copyTree returns a copy of the tree without the nodes of these paths. The caller holds mu.
func (s *Service) copyTree(without []string) map[string]*node {
	tree := map[string]*node{}
	for nodePath, n := range s.nodes {
		if slices.Contains(without, nodePath) {
			continue
		}
		copied := *n
		copied.children = map[string]bool{}
		for name := range n.children {
			if !slices.Contains(without, path.Join(nodePath, name)) {
				copied.children[name] = true
			}
		}
		tree[nodePath] = &copied
	}
	return tree
}

// CloseConnections closes a member's connections.
func (m *Member) CloseConnections() {
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	m.closeConns()
}

// closeConns closes a member's connections. The caller holds the service's mu.
func (m *Member) closeConns() {
	for c := range m.conns {
		c.Close()
	}
}
