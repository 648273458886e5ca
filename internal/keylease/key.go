package keylease

import (
	"crypto/sha256"
	"encoding/binary"
)

// keyBytes is the length of a Key.
const keyBytes = 16

// Key identifies an idempotency key within a request class.
type Key [keyBytes]byte

// KeyOf returns the truncated SHA-256 hash of a request class and an idempotency key. If two
// keys of one class collide, a request that could be served may fail, but no effect is
// executed twice.
func KeyOf(class, key string) Key {
	h := sha256.New()
	var classBytes [8]byte
	binary.BigEndian.PutUint64(classBytes[:], uint64(len(class)))
	h.Write(classBytes[:])
	h.Write([]byte(class))
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:keyBytes])
}
