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
	hash := sha256.New()
	var classLength [8]byte
	binary.BigEndian.PutUint64(classLength[:], uint64(len(class)))
	hash.Write(classLength[:])
	hash.Write([]byte(class))
	hash.Write([]byte(key))
	return Key(hash.Sum(nil)[:keyBytes])
}
