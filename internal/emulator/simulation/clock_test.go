package simulation

import (
	"slices"
	"testing"
	"time"
)

func TestEventsRunInOrderOfTimeThenScheduling(t *testing.T) {
	sim := newSimulator(smallFleet(1), Options{})
	var order []string
	record := func(name string) func() { return func() { order = append(order, name) } }
	sim.after(20*ms, record("late"))
	sim.at(10*ms, record("first of two"))
	sim.after(10*ms, record("second of two"))
	sim.after(-time.Second, record("now"))
	for len(sim.queue) > 0 {
		sim.step()
	}
	want := []string{"now", "first of two", "second of two", "late"}
	if !slices.Equal(order, want) {
		t.Errorf("order %q, want %q", order, want)
	}
	if sim.now != 20*ms {
		t.Errorf("the time is %v after the last event, want 20ms", sim.now)
	}
}

func TestClockOfEnginesIsVirtual(t *testing.T) {
	sim := newSimulator(smallFleet(1), Options{})
	var fired time.Time
	sim.AfterFunc(time.Minute, func() { fired = sim.Now() })
	if !sim.Now().Equal(epoch) {
		t.Errorf("the clock begins at %v, want %v", sim.Now(), epoch)
	}
	sim.step()
	if want := epoch.Add(time.Minute); !fired.Equal(want) {
		t.Errorf("the timer fired at %v, want %v", fired, want)
	}
}
