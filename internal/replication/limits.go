package replication

import (
	"errors"
	"fmt"
	"time"
)

// Errors of Store.Put, in addition to those of Rule.Check.
var (
	ErrUnknownTopic   = errors.New("replication: unknown topic")
	ErrInvalidSubject = errors.New("replication: subject is empty or too long")
	ErrValueTooLong   = errors.New("replication: value is too long")
	ErrSubjectLimit   = errors.New("replication: subject limit reached")
)

// Rule describes the entries of a topic.
type Rule struct {
	TTL     time.Duration            // how long an entry is valid after it was written
	Indexed bool                     // View does not scan other topics; for topics with few entries and many views
	Check   func(value []byte) error // validates a value
}

// Limits bound the memory of a store, whatever messages it receives, and the size of messages.
type Limits struct {
	MaxOrigins           int           // known origins; also the number of floors that are kept
	MaxEntries           int           // entries of one origin
	MaxSubjectBytes      int           // length of a subject and of an instance's name, in bytes
	MaxValueBytes        int           // length of a value, in bytes
	MaxMessageBytes      int           // approximate size of the entries in one message, in bytes
	OriginTTL            time.Duration // how long an origin is kept without a new entry
	Transmissions        int           // number of times that each replica forwards a new entry
	MaxQueuedRumours     int           // entries to be forwarded
	MaxDeltasPerResponse int           // deltas sent in response to one Vectors message
}

// DefaultLimits limit the memory of a store to 64 MB with 4,096 origins of 256 entries of 64 bytes.
var DefaultLimits = Limits{
	MaxOrigins:           4096,
	MaxEntries:           256,
	MaxSubjectBytes:      128,
	MaxValueBytes:        256,
	MaxMessageBytes:      1100,
	OriginTTL:            time.Hour,
	Transmissions:        2,
	MaxQueuedRumours:     4096,
	MaxDeltasPerResponse: 16,
}

// Approximate sizes on the wire, in bytes, without names, subjects and values.
const (
	entryOverheadBytes  = 24
	vectorOverheadBytes = 24
	rumourOverheadBytes = 48
)

// maxSeqGap is how far a received sequence number may exceed the known one. No instance writes
// that many entries in its lifetime, so that a larger gap is a fault of the sender. The bound also
// ensures that renumberAbove can exceed any number that was accepted.
const maxSeqGap = 1 << 32

// validator checks entries against the rules of their topics and the limits.
type validator struct {
	rules  map[Topic]Rule
	limits Limits
}

// validate returns an error if an entry with a value is not accepted.
func (v validator) validate(key registerKey, value []byte) error {
	rule, ok := v.rules[key.topic]
	switch {
	case !ok:
		return fmt.Errorf("%w: %d", ErrUnknownTopic, key.topic)
	case key.subject == "" || len(key.subject) > v.limits.MaxSubjectBytes:
		return fmt.Errorf("%w: %d bytes", ErrInvalidSubject, len(key.subject))
	case len(value) > v.limits.MaxValueBytes:
		return fmt.Errorf("%w: %d bytes", ErrValueTooLong, len(value))
	}
	return rule.Check(value)
}

// acceptable reports whether a received entry, which has a value or is a tombstone, is valid.
func (v validator) acceptable(entry Entry) bool {
	_, known := v.rules[entry.Topic]
	if !known || entry.Age < 0 || entry.Subject == "" || len(entry.Subject) > v.limits.MaxSubjectBytes {
		return false
	}
	key := registerKey{entry.Topic, entry.Subject}
	return entry.Withdrawn || v.validate(key, entry.Value) == nil
}
