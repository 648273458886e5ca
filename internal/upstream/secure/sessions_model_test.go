package secure

import (
	"crypto/tls"
	"testing"

	"pgregory.net/rapid"

	"pinedale/internal/engine"
	_ "pinedale/internal/standin/seeds"
)

// Whatever is stored, looked up and invalidated, a session is found only under its own key and
// material and is the last one stored there; the most recently used are kept, up to the capacity.
func TestSessionStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		store := newSessionStore(capacity)
		targets := make([]*engine.Target, 4)
		for i := range targets {
			targets[i] = &engine.Target{}
		}
		type modelEntry struct {
			sessionKey
			material int
			state    *tls.ClientSessionState
		}
		var model []modelEntry // the most recently used last
		find := func(key sessionKey) int {
			for i, h := range model {
				if h.sessionKey == key {
					return i
				}
			}
			return -1
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := sessionKey{
				target:   rapid.SampledFrom(targets).Draw(t, "target"),
				protocol: rapid.SampledFrom([]string{protocolHTTP1, protocolHTTP3}).Draw(t, "protocol"),
			}
			material := rapid.IntRange(1, 3).Draw(t, "material")
			cache := store.cacheFor(key.target, key.protocol, material)
			at := find(key)
			switch rapid.SampledFrom([]string{"put", "put", "put nil", "get", "get", "invalidate", "close"}).Draw(t, "step") {
			case "put":
				state := &tls.ClientSessionState{}
				cache.Put("any", state)
				if at >= 0 && (key.target.Closed() || model[at].material <= material) {
					model = append(model[:at], model[at+1:]...)
				} else if at >= 0 {
					break // an older connection's
				}
				if !key.target.Closed() {
					if model = append(model, modelEntry{key, material, state}); len(model) > capacity {
						model = model[1:]
					}
				}
			case "put nil":
				cache.Put("any", nil)
				if at >= 0 {
					model = append(model[:at], model[at+1:]...)
				}
			case "get":
				got, ok := cache.Get("any")
				if at < 0 {
					if ok {
						t.Fatal("found a session that was not stored")
					}
					break
				}
				h := model[at]
				model = append(model[:at], model[at+1:]...)
				if h.material != material {
					if ok {
						t.Fatal("found a session of other material")
					}
					break
				}
				model = append(model, h)
				if !ok || got != h.state {
					t.Fatalf("found %t, the stored one: %t", ok, got == h.state)
				}
			case "invalidate":
				store.invalidate(key.target)
				for i := len(model) - 1; i >= 0; i-- {
					if model[i].target == key.target {
						model = append(model[:i], model[i+1:]...)
					}
				}
			case "close":
				if rapid.IntRange(0, 9).Draw(t, "close") == 0 {
					key.target.Close()
				}
			}
			if store.count() != len(model) || store.count() > capacity || len(store.entries) != store.count() {
				t.Fatalf("%d sessions, %d entries, want %d of at most %d",
					store.count(), len(store.entries), len(model), capacity)
			}
		}
	})
}
