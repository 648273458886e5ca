package attempt

import (
	"context"
	"errors"
	"testing"
	"time"
)

// CheckBeforeWrite does not depend on goroutines that may run late: it rejects the request as soon
// as the client has disconnected, and compares the send deadline with the clock.
func TestCheckBeforeWriteFailsOnceNoResponseIsAwaited(t *testing.T) {
	background := context.Background()
	cancelled, cancel := context.WithCancel(background)
	cancel()
	expired, cancelExpired := context.WithDeadline(background, time.Unix(1, 0))
	defer cancelExpired()
	connectedBySocket := func() bool { return false }
	disconnectedBySocket := func() bool { return true }
	for name, c := range map[string]struct {
		bounds sendBounds
		want   error
	}{
		"response awaited": {sendBounds{send: background, client: background}, nil},
		"client disconnected, not propagated to send": {sendBounds{send: background, client: cancelled}, ErrLate},
		"client disconnected":                         {sendBounds{send: cancelled, client: cancelled}, ErrLate},
		"send deadline passed":                        {sendBounds{send: expired, client: background}, ErrLate},
		"client connected by its socket":              {sendBounds{background, background, connectedBySocket}, nil},
		"client disconnected by its socket alone":     {sendBounds{background, background, disconnectedBySocket}, ErrLate},
	} {
		if err := CheckBeforeWrite(context.WithValue(background, sendBoundsKey{}, c.bounds)); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
	if err := CheckBeforeWrite(background); err != nil {
		t.Errorf("health check without send bounds: %v", err)
	}
}
