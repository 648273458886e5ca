package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
)

// A restarting server is listed as draining, as removed, and as ready again. No request is lost, and the server
// receives load after its return.
func TestRestartedServerReceivesLoad(t *testing.T) {
	s := smallFleet(6)
	s.Servers[0].Incarnations = append(drainAndEnd(5*time.Second, 9*time.Second), joinAt(10*time.Second))
	var notified []string
	result := runPolicy(t, s, baselines.Module, func(event trace.Event) {
		if event.Kind == trace.KindEndpoint && event.Instance == 1 {
			notified = append(notified, fmt.Sprint(event.Server, balancer.State(event.Code)))
		}
	})
	want := []string{
		fmt.Sprint(1, balancer.Draining),
		fmt.Sprint(1, balancer.Removed),
		fmt.Sprint(1, balancer.Ready),
	}
	requireNoViolations(t, result)
	if !slices.Equal(notified, want) {
		t.Errorf("notified of %s, want %s", notified, want)
	}
	removed, returned := attemptShare(result, 8, 10, 0), attemptShare(result, 14, 20, 0)
	if removed != 0 || returned == 0 {
		t.Errorf("the server's share is %.2f while it is removed and %.2f afterwards, want 0 and more than 0",
			removed, returned)
	}
}

// The baseline policies answer each request once and honour drains.
func TestBaselinesAnswerOnceAndHonourDrains(t *testing.T) {
	for _, policy := range baselines.Names() {
		s := smallFleet(8)
		s.Servers[1].Incarnations = drainAndEnd(5*time.Second, 9*time.Second)
		s.Servers[2].Faults = []model.Fault{{
			From:            3 * time.Second,
			Until:           9 * time.Second,
			FailFastRatio:   0.5,
			UnansweredRatio: 0.2,
		}}
		result := runPolicy(t, s, policy, nil)
		if result.Unanswered+result.SentAfterDrain > 0 || result.InTime() < 0.5 {
			t.Errorf("%s: violations %q, %.3f in time, want no unanswered attempt, none after a drain, at least 0.5",
				policy, result.Violations(), result.InTime())
		}
	}
	if _, err := baselines.Named("best", nil); err == nil || !strings.Contains(err.Error(), "least-request") {
		t.Errorf("an unknown policy gives the error %v, want one that lists the policies", err)
	}
}

// Killed instances lose their connections and state, and every request still ends. Their replacements receive the
// current endpoint list and serve requests.
func TestKilledInstancesAreReplaced(t *testing.T) {
	s := smallFleet(6)
	s.Servers[0].Incarnations = drainAndEnd(5*time.Second, 9*time.Second)
	lastKill := 10 * time.Second
	s.Kills = []plan.Kill{
		{At: 7 * time.Second, Instances: []int{0}},
		{At: lastKill, Instances: []int{0, 1}},
	}
	attempts := map[int]int{} // of the first instance after its second kill, by server
	// By request number: the requests that a kill ended, whether the client retried them, and the requests in progress.
	ended, retried, inProgress := map[uint64]trace.Event{}, map[uint64]bool{}, map[uint64]trace.Event{}
	sim := newSimulator(s, Options{OnEvent: func(event trace.Event) {
		switch event.Kind {
		case trace.KindRequest:
			_, retried[event.Number] = ended[event.Number]
			inProgress[event.Number] = event
		case trace.KindResponse:
			delete(inProgress, event.Number)
		}
		if event.Kind == trace.KindAttempt && event.Instance == 1 && event.At > lastKill.Microseconds() {
			attempts[event.Server]++
		}
	}})
	for _, kill := range s.Kills {
		sim.at(kill.At, func() {
			for number, request := range inProgress {
				if slices.Contains(kill.Instances, request.Instance-1) {
					ended[number] = request
				}
			}
		})
	}
	result, err := sim.run()
	if err != nil {
		t.Fatal(err)
	}
	requireNoViolations(t, result)
	for _, instance := range sim.instances {
		if instance.killed || len(instance.openAttempts) > 0 {
			t.Errorf("instance %d: killed %t, %d client attempts without a response, want false and none",
				instance.number, instance.killed, len(instance.openAttempts))
		}
	}
	if attempts[1] > 0 || len(attempts) < 2 {
		t.Errorf("attempts of the replacement by server: %v, want several servers, not the removed server 1", attempts)
	}
	retries := 0
	for number, request := range ended {
		idempotent := s.Classes[request.Class-1].Idempotency == balancer.Idempotent
		if retried[number] != idempotent {
			t.Errorf("request %d of class %d, ended by a kill: retried %t, want %t",
				number, request.Class, retried[number], idempotent)
		}
		if retried[number] {
			retries++
		}
	}
	if retries == 0 || retries == len(ended) {
		t.Errorf("%d of %d requests ended by a kill were retried, want only the idempotent ones", retries, len(ended))
	}
}

// largeFleet returns a scenario of 60 servers and 300 instances that send a few requests a second each.
func largeFleet(seed uint64) *plan.Scenario {
	s := smallFleet(seed)
	templates := s.Servers
	s.Servers, s.Instances = nil, nil
	for i := range 60 {
		server := templates[i%len(templates)]
		server.Name, server.Site, server.Pod = fmt.Sprint("s-", i), i%2, i/4
		s.Servers = append(s.Servers, server)
	}
	for i := range 300 {
		s.Instances = append(s.Instances, i%2)
	}
	s.Clients.Rate, s.Clients.RateVariation = 900, 0.8
	s.Settings.Limits.KeepAlive = 5 * microsPerSecond
	return s
}

// All instances restart at the same instant without state. The first requests afterwards are served nearly as well as
// those before, and the new connections are spread over the servers.
func TestFleetServesAfterAllInstancesRestart(t *testing.T) {
	s := largeFleet(7)
	kill := plan.Kill{At: 10 * time.Second}
	for i := range s.Instances {
		kill.Instances = append(kill.Instances, i)
	}
	s.Kills = []plan.Kill{kill}
	result := run(t, s)
	requireNoViolations(t, result)
	inTime := func(second int) float64 {
		total := result.Seconds[second].Total()
		return float64(total.InTime) / float64(total.Requested)
	}
	for second := 11; second < 15; second++ { // requests of second 10 were in progress at the kill
		if got, want := inTime(second), inTime(8)-0.05; got < want {
			t.Errorf("second %d: %.3f served in time, want at most 0.05 less than the %.3f before the restart",
				second, got, inTime(8))
		}
	}
	seconds := int(s.Length / time.Second)
	if mean := result.Handshakes / len(s.Servers) / seconds; result.PeakHandshakes > 4*mean {
		t.Errorf("%d connections opened to one server in a second, want at most 4 times the mean of %d",
			result.PeakHandshakes, mean)
	}
}

// Many instances with a few requests a second each share servers without coordination. Together they don't overload a
// server, and the servers of a site that returns in slow start do not collapse.
func TestReturningSiteDoesNotCollapse(t *testing.T) {
	s := largeFleet(8)
	for i := range s.Servers {
		if s.Servers[i].Site == 1 {
			crashed := plan.Incarnation{Drain: plan.Never, End: 6 * time.Second}
			s.Servers[i].Incarnations = []plan.Incarnation{crashed, joinAt(9 * time.Second)}
		}
	}
	result := run(t, s)
	requireNoViolations(t, result)
	if result.PeakOverloadRatio > 0.9 {
		t.Errorf("a server in slow start reached %.2f of the load at which it collapses", result.PeakOverloadRatio)
	}
	if returned := result.Seconds[18].Total(); float64(returned.InTime) < 0.97*float64(returned.Requested) {
		t.Errorf("9 s after the site's return: %+v, want at least 0.97 of the requests served in time", returned)
	}
	highest, lowest := slices.Max(result.Seconds[4].Attempts), slices.Min(result.Seconds[4].Attempts)
	if highest > 60 || lowest < 1 {
		t.Errorf("before the crash a server received %d to %d attempts in a second, want 1 to 60", lowest, highest)
	}
}
