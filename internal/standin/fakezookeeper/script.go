package fakezookeeper

import (
	"path"
	"slices"
	"time"
)

// Put creates a node, or sets its data, as if its owner had: 0 for a lasting node.
func (s *Service) Put(p string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[p]; n != nil {
		s.set(p, n, data)
		return
	}
	for dir := path.Dir(p); s.nodes[dir] == nil; dir = path.Dir(p) {
		missing := dir
		for s.nodes[path.Dir(missing)] == nil {
			missing = path.Dir(missing)
		}
		s.create(missing, nil, nil, 0)
	}
	s.create(p, data, nil, 0)
}

// Drop deletes a node as if its owner's session had ended.
func (s *Service) Delete(p string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[p] != nil {
		s.remove(p)
	}
}

// Nodes are the names of a directory's nodes.
func (s *Service) Children(dir string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return names(s.nodes[dir])
}

// Owner is the session that owns a node, 0 if none does.
func (s *Service) Owner(p string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[p]; n != nil {
		return n.owner
	}
	return 0
}

// ExpireSession ends a session, with its nodes and its connection.
func (s *Service) ExpireSession(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.sessions[id]; c != nil {
		s.end(c)
	}
}

// Sessions are the ids of those that live.
func (s *Service) Sessions() (ids []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Silence has all members read and answer nothing, with their connections open.
// Sessions do not expire meanwhile: nobody is there to judge.
func (s *Service) SetUnresponsive(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.unresponsive = on
		if !on { // what was swallowed is lost with its connection
			for c := range m.conns {
				c.Close()
			}
		}
	}
	s.touch()
}

// Reject has all members break connections, and close new ones.
func (s *Service) SetRejecting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.rejecting = on
		for c := range m.conns {
			c.Close()
		}
	}
	s.touch()
}

// touch gives every session its whole time anew.
func (s *Service) touch() {
	for _, c := range s.sessions {
		c.lastSeen = time.Now()
	}
}

// Delay has all members wait so long with each answer.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.delay = d
	}
}

// Restart breaks all connections and has the service go on from another zxid. With
// lose, sessions are forgotten and with them all ephemeral nodes.
func (s *Service) Restart(zxidBy int64, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lose {
		for _, c := range s.sessions {
			s.end(c)
		}
	}
	s.zxid = max(0, s.zxid+zxidBy)
	for _, m := range s.members {
		for c := range m.conns {
			c.Close()
		}
	}
	s.touch()
}

// Split has a member show the tree as it is now, but for the nodes left out,
// whatever comes, until it is split no more.
func (m *Member) SetStaleView(on bool, without ...string) {
	s := m.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m.view = nil
	if !on {
		return
	}
	m.view = map[string]*node{}
	for p, n := range s.nodes {
		c := *n
		c.children = map[string]bool{}
		for name := range n.children {
			if !slices.Contains(without, path.Join(p, name)) {
				c.children[name] = true
			}
		}
		if !slices.Contains(without, p) {
			m.view[p] = &c
		}
	}
}

// Break closes a member's connections.
func (m *Member) CloseConnections() {
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	for c := range m.conns {
		c.Close()
	}
}

// Protect lets only a digest identity (user:password) do anything with a node.
func (s *Service) Protect(p, userPassword string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[p].acl = []ACL{{permAll, "digest", digest([]byte(userPassword))}}
}
