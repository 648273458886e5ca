package secure

import (
	"crypto/tls"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pinedale/internal/engine"
	_ "pinedale/internal/standin/seeds"
)

// modelSession is a session that the model expects in the store.
type modelSession struct {
	sessionKey
	generation int
	state      *tls.ClientSessionState
}

// sessionModel is the expected content of a sessionStore, changed by the same operations.
type sessionModel struct {
	t        *rapid.T
	store    *sessionStore
	capacity int
	sessions []modelSession // the most recently used last
}

// take removes the session with a key and returns it. ok is false if there is none.
func (m *sessionModel) take(key sessionKey) (session modelSession, ok bool) {
	index := slices.IndexFunc(m.sessions, func(other modelSession) bool { return other.sessionKey == key })
	if index < 0 {
		return modelSession{}, false
	}
	session = m.sessions[index]
	m.sessions = slices.Delete(m.sessions, index, index+1)
	return session, true
}

// put stores a session, unless the stored one began under a later generation of keys.
func (m *sessionModel) put(key sessionKey, generation int) {
	state := &tls.ClientSessionState{}
	m.store.cacheFor(key.target, key.protocol, generation).Put("any", state)
	closed := key.target.Closed()
	index := slices.IndexFunc(m.sessions, func(other modelSession) bool { return other.sessionKey == key })
	if index >= 0 && !closed && m.sessions[index].generation > generation {
		return
	}
	m.take(key)
	if closed {
		return
	}
	m.sessions = append(m.sessions, modelSession{key, generation, state})
	if len(m.sessions) > m.capacity {
		m.sessions = m.sessions[1:]
	}
}

// putNil removes a session, as crypto/tls does when it finds one invalid.
func (m *sessionModel) putNil(key sessionKey, generation int) {
	m.store.cacheFor(key.target, key.protocol, generation).Put("any", nil)
	m.take(key)
}

// get looks up a session and compares the result with the model.
func (m *sessionModel) get(key sessionKey, generation int) {
	got, found := m.store.cacheFor(key.target, key.protocol, generation).Get("any")
	session, stored := m.take(key)
	switch {
	case !stored:
		if found {
			m.t.Fatal("found a session that was not stored")
		}
	case session.generation != generation:
		if found {
			m.t.Fatal("found a session of another generation of keys")
		}
	default:
		m.sessions = append(m.sessions, session)
		if !found || got != session.state {
			m.t.Fatalf("session found: %t, same state as stored: %t; want true for both", found, got == session.state)
		}
	}
}

// invalidate removes the sessions with a target.
func (m *sessionModel) invalidate(target *engine.Target) {
	m.store.invalidate(target)
	m.sessions = slices.DeleteFunc(m.sessions, func(other modelSession) bool { return other.target == target })
}

// checkCount compares the number of sessions with the model.
func (m *sessionModel) checkCount() {
	count := m.store.count()
	if count != len(m.sessions) || count > m.capacity || len(m.store.entries) != count {
		m.t.Fatalf("%d sessions, %d entries, want %d of at most %d",
			count, len(m.store.entries), len(m.sessions), m.capacity)
	}
}

// Whatever is stored, looked up and invalidated, a session is found only under its own key and
// generation, and is the last one stored there. The most recently used are kept, up to the capacity.
func TestSessionStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		m := &sessionModel{t: t, store: newSessionStore(capacity), capacity: capacity}
		targets := make([]*engine.Target, 4)
		for i := range targets {
			targets[i] = &engine.Target{}
		}
		steps := []string{"put", "put", "put nil", "get", "get", "invalidate", "close"}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := sessionKey{
				target:   rapid.SampledFrom(targets).Draw(t, "target"),
				protocol: rapid.SampledFrom([]string{protocolHTTP1, protocolHTTP3}).Draw(t, "protocol"),
			}
			generation := rapid.IntRange(1, 3).Draw(t, "material")
			switch rapid.SampledFrom(steps).Draw(t, "step") {
			case "put":
				m.put(key, generation)
			case "put nil":
				m.putNil(key, generation)
			case "get":
				m.get(key, generation)
			case "invalidate":
				m.invalidate(key.target)
			case "close":
				if rapid.IntRange(0, 9).Draw(t, "close") == 0 {
					key.target.Close()
				}
			}
			m.checkCount()
		}
	})
}
