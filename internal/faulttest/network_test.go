package faulttest

import (
	"testing"
	"time"

	"pinedale/internal/faulttest/relay"
	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/tomlfile"
)

func TestFaultAffectsOppositePathOnlyIfBidirectional(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault schedule.Fault
		path  endpoints
		want  bool
	}{
		{
			name:  "its path",
			fault: schedule.Fault{Target: "i-1", Destination: "i-2"},
			path:  endpoints{"i-1", "i-2"},
			want:  true,
		},
		{
			name:  "opposite path",
			fault: schedule.Fault{Target: "i-1", Destination: "i-2"},
			path:  endpoints{"i-2", "i-1"},
			want:  false,
		},
		{
			name:  "opposite path of a bidirectional fault",
			fault: schedule.Fault{Target: "i-1", Destination: "i-2", Bidirectional: true},
			path:  endpoints{"i-2", "i-1"},
			want:  true,
		},
		{
			name:  "path to another instance",
			fault: schedule.Fault{Target: "i-1", Destination: "i-2", Bidirectional: true},
			path:  endpoints{"i-1", "i-3"},
			want:  false,
		},
		{
			name:  "path to the instance's discovery service",
			fault: schedule.Fault{Target: "i-1", Destination: schedule.Discovery},
			path:  endpoints{"i-1", discoveryName("i-1")},
			want:  true,
		},
		{
			name:  "path to another instance's discovery service",
			fault: schedule.Fault{Target: "i-1", Destination: schedule.Discovery},
			path:  endpoints{"i-2", discoveryName("i-2")},
			want:  false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := affects(&test.fault, test.path); got != test.want {
				t.Errorf("affects(%+v, %+v) = %v, want %v", test.fault, test.path, got, test.want)
			}
		})
	}
}

func TestAddConditionsKeepsMostSevereFaultOfEachKind(t *testing.T) {
	faults := []schedule.Fault{
		{Kind: schedule.Partition},
		{Kind: schedule.Loss, Probability: 0.2},
		{Kind: schedule.Loss, Probability: 0.1},
		{Kind: schedule.Duplicate, Probability: 0.3},
		{Kind: schedule.Reorder, Probability: 0.4},
		{Kind: schedule.Corrupt, Probability: 0.5},
		{Kind: schedule.Latency, Delay: tomlfile.Duration(time.Millisecond)},
		{Kind: schedule.Latency, Delay: tomlfile.Duration(time.Second)},
	}
	var got relay.Conditions
	for i := range faults {
		addConditions(&got, &faults[i])
	}
	want := relay.Conditions{
		Partitioned: true,
		Loss:        0.2,
		Duplicate:   0.3,
		Reorder:     0.4,
		Corrupt:     0.5,
		Delay:       time.Second,
	}
	if got != want {
		t.Errorf("conditions %+v, want %+v", got, want)
	}
}
