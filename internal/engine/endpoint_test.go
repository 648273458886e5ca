package engine

import (
	"testing"
	"time"

	"pinedale/balancer"
)

func TestValidateNamesFirstUnusableEntry(t *testing.T) {
	valid := readyHost("s-1", "127.0.0.1:1")
	for _, test := range []struct {
		host Host
		want string
	}{
		{readyHost("s-2", "[::1]:2"), ""},
		{Host{Name: "s-2", State: balancer.Draining}, ""},
		{Host{Address: "127.0.0.1:2"}, "hosts[1].host is missing"},
		{readyHost("s-2", "127.0.0.1"), `hosts[1].dial: "127.0.0.1" is not host:port`},
	} {
		got := ""
		list := snapshot(valid, test.host, Host{})
		if test.want == "" {
			list = snapshot(valid, test.host)
		}
		if err := list.Validate(); err != nil {
			got = err.Error()
		}
		if got != test.want {
			t.Errorf("%+v: error %q, want %q", test.host, got, test.want)
		}
	}
}

func TestTargetStartedIsZeroForLongAgo(t *testing.T) {
	if at := (&Target{}).Started(); !at.IsZero() {
		t.Errorf("without a start time: %v, want the zero time", at)
	}
	if at := (&Target{StartedMS: 1500}).Started(); !at.Equal(time.Unix(1, 500_000_000)) {
		t.Errorf("started at 1500 ms: %v, want 1.5 s after the Unix epoch", at)
	}
}
