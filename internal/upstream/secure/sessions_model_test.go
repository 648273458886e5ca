package secure

import (
	"crypto/tls"
	"slices"
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
			return slices.IndexFunc(model, func(entry modelEntry) bool { return entry.sessionKey == key })
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := sessionKey{
				target:   rapid.SampledFrom(targets).Draw(t, "target"),
				protocol: rapid.SampledFrom([]string{protocolHTTP1, protocolHTTP3}).Draw(t, "protocol"),
			}
			material := rapid.IntRange(1, 3).Draw(t, "material")
			cache := store.cacheFor(key.target, key.protocol, material)
			index := find(key)
			switch rapid.SampledFrom([]string{"put", "put", "put nil", "get", "get", "invalidate", "close"}).Draw(t, "step") {
			case "put":
				state := &tls.ClientSessionState{}
				cache.Put("any", state)
				if index >= 0 && (key.target.Closed() || model[index].material <= material) {
					model = append(model[:index], model[index+1:]...)
				} else if index >= 0 {
					break // an older connection's
				}
				if !key.target.Closed() {
					model = append(model, modelEntry{key, material, state})
					if len(model) > capacity {
						model = model[1:]
					}
				}
			case "put nil":
				cache.Put("any", nil)
				if index >= 0 {
					model = append(model[:index], model[index+1:]...)
				}
			case "get":
				got, ok := cache.Get("any")
				if index < 0 {
					if ok {
						t.Fatal("found a session that was not stored")
					}
					break
				}
				entry := model[index]
				model = append(model[:index], model[index+1:]...)
				if entry.material != material {
					if ok {
						t.Fatal("found a session of other material")
					}
					break
				}
				model = append(model, entry)
				if !ok || got != entry.state {
					t.Fatalf("found %t, the stored one: %t", ok, got == entry.state)
				}
			case "invalidate":
				store.invalidate(key.target)
				model = slices.DeleteFunc(model, func(entry modelEntry) bool { return entry.target == key.target })
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
