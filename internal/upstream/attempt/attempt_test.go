package attempt

import (
	"context"
	"errors"
	"testing"
	"time"
)

// The last look does not depend on a goroutine that may come late: nobody waits from the moment
// in which that is so, and after the latest instant by the clock.
func TestLastLook(t *testing.T) {
	alive := context.Background()
	left, leave := context.WithCancel(alive)
	leave()
	late, end := context.WithDeadline(alive, time.Unix(1, 0))
	defer end()
	for name, c := range map[string]struct {
		b    bounds
		want error
	}{
		"wanted":                      {bounds{alive, alive}, nil},
		"left, and not passed on yet": {bounds{alive, left}, ErrLate},
		"left":                        {bounds{left, left}, ErrLate},
		"too late":                    {bounds{late, alive}, ErrLate},
	} {
		if err := MayWrite(context.WithValue(alive, unsentKey{}, c.b)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	if err := MayWrite(alive); err != nil {
		t.Errorf("of a probe: %v", err)
	}
}
