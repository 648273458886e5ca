package secure

import (
	"container/list"
	"crypto/tls"
	"sync"

	"pinedale/internal/engine"
)

// Protocols by their ALPN names.
const (
	protocolHTTP1 = "http/1.1"
	protocolHTTP3 = "h3"
)

// sessionStore holds the state needed to resume sessions with servers, at most capacity sessions over all servers.
//
//	a session is used         with the same incarnation of a server (address and start time), and
//	                          under the same keys and roots that it began under
//	a session is invalidated  when the server is removed, when roots, own certificate or revocation
//	                          lists have changed, or when a handshake with the server has failed
//	a session is evicted      when the store is at capacity and it is the least recently used
//
// A session proves only that the server is the one that was verified when the session began.
// Whenever it is resumed, the server's certificate chain is therefore verified again, against the
// current roots and time (certstore.Store.Client).
type sessionStore struct {
	mu       sync.Mutex
	capacity int
	entries  map[sessionKey]*list.Element
	recency  list.List // of *cachedSession, the most recently used first
}

// sessionKey identifies a session: one over TCP cannot be resumed over QUIC.
type sessionKey struct {
	target   *engine.Target
	protocol string
}

// cachedSession is an entry of the store.
type cachedSession struct {
	sessionKey
	generation int // generation of the keys and roots that it began under
	state      *tls.ClientSessionState
}

// newSessionStore returns an empty store.
func newSessionStore(capacity int) *sessionStore {
	return &sessionStore{capacity: capacity, entries: map[sessionKey]*list.Element{}}
}

// cacheFor returns the cache for one handshake with a target.
func (s *sessionStore) cacheFor(t *engine.Target, protocol string, generation int) tls.ClientSessionCache {
	return &sessionCache{s, sessionKey{t, protocol}, generation}
}

// sessionCache is the view that one handshake has of the store. It implements tls.ClientSessionCache,
// but ignores the key that crypto/tls passes: a name, which several incarnations of a server share.
type sessionCache struct {
	store *sessionStore
	sessionKey
	generation int
}

// Get returns the target's session.
func (c *sessionCache) Get(string) (*tls.ClientSessionState, bool) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	element := c.store.entries[c.sessionKey]
	if element == nil {
		return nil, false
	}
	session := element.Value.(*cachedSession)
	if session.generation != c.generation {
		c.store.removeLocked(element)
		return nil, false
	}
	c.store.recency.MoveToFront(element)
	return session.state, true
}

// Put stores a session, or removes it if state is nil, as it is when crypto/tls has found the
// session invalid. A ticket may arrive long after its handshake: it is stored under the generation
// of that handshake, and dropped if the target has been removed.
func (c *sessionCache) Put(_ string, state *tls.ClientSessionState) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	element := c.store.entries[c.sessionKey]
	if state == nil || c.target.Closed() {
		c.store.removeLocked(element)
		return
	}
	session := cachedSession{c.sessionKey, c.generation, state}
	if element == nil {
		c.store.insertLocked(&session)
		return
	}
	existing := element.Value.(*cachedSession)
	if existing.generation > c.generation {
		return // a handshake with newer keys has already stored a session
	}
	*existing = session
	c.store.recency.MoveToFront(element)
}

// insertLocked adds a session and evicts the least recently used one if the store is at capacity.
// The caller holds s.mu.
func (s *sessionStore) insertLocked(session *cachedSession) {
	if s.recency.Len() >= s.capacity {
		s.removeLocked(s.recency.Back())
	}
	s.entries[session.sessionKey] = s.recency.PushFront(session)
}

// removeLocked removes a session; element may be nil. The caller holds s.mu.
func (s *sessionStore) removeLocked(element *list.Element) {
	if element != nil {
		delete(s.entries, element.Value.(*cachedSession).sessionKey)
		s.recency.Remove(element)
	}
}

// invalidate removes the sessions with a target.
func (s *sessionStore) invalidate(t *engine.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, protocol := range [...]string{protocolHTTP1, protocolHTTP3} {
		s.removeLocked(s.entries[sessionKey{t, protocol}])
	}
}

// count returns the number of sessions.
func (s *sessionStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recency.Len()
}
