package model

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDedupStoreDropsDuplicatesWithinScopeAndWindow(t *testing.T) {
	store := NewDedupStore(testClasses)
	for _, test := range []struct {
		name    string
		at      Time
		class   int
		key     string
		group   string
		wantRun bool
	}{
		{"fleet key", 0, fleetKeyClass, "a", "x", true},
		{"fleet key in another group", time.Second, fleetKeyClass, "a", "y", false},
		{"fleet key after its window", 1500 * ms, fleetKeyClass, "a", "x", true},
		{"group key", 0, groupKeyClass, "b", "x", true},
		{"group key in its group", 11 * time.Second, groupKeyClass, "b", "x", false},
		{"group key in another group", 11 * time.Second, groupKeyClass, "b", "y", true},
		{"not idempotent", 0, notIdempotentClass, "c", "x", true},
		{"not idempotent again", 0, notIdempotentClass, "c", "x", true},
		{"idempotent", 0, idempotentClass, "d", "x", true},
		{"idempotent again", 0, idempotentClass, "d", "x", true},
	} {
		if got := store.Execute(test.at, test.class, test.key, test.group); got != test.wantRun {
			t.Errorf("%s: ran %v, want %v", test.name, got, test.wantRun)
		}
	}
	if keys := store.DuplicateEffects(); !slices.Equal(keys, []string{"a", "b", "c"}) {
		t.Errorf("keys with duplicate effects %v, want a, b and c", keys)
	}
}

func TestRevertedRequestIsNoDuplicate(t *testing.T) {
	store := NewDedupStore(testClasses)
	for i := range 2 {
		if !store.Execute(0, fleetKeyClass, "a", "x") {
			t.Fatal(fmt.Sprint("run ", i, " was dropped"))
		}
		if i == 0 {
			store.Revert(fleetKeyClass, "a", "x")
		}
	}
	if keys := store.DuplicateEffects(); len(keys) != 0 {
		t.Errorf("keys with duplicate effects %v, want none", keys)
	}
}
