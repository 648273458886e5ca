package app

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/config"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/proxy"
	"pinedale/internal/standin/wait"
)

const closeClass = `[[class]]
name = "day-close"
repeat = "keyed"
group = "pod"
window = "20s"
aim = "600ms"
deadline = "1s"
agree = %q
`

// dayClose returns the class of closeClass as the servers know it.
func dayClose() []balancer.Class {
	return []balancer.Class{{
		Name:        "day-close",
		Idempotency: balancer.IdempotentWithKey,
		Group:       balancer.GroupCell,
		DedupWindow: 20_000_000,
	}}
}

// startUnknownOutcomeCluster starts three connected instances, and servers in four pods that fail every request
// after they have executed it.
func startUnknownOutcomeCluster(t *testing.T, agree string) (*fakebackend.Fleet, []*Instance) {
	t.Helper()
	fleet := &fakebackend.Fleet{Faults: fakebackend.Faults{Error: 1}, Classes: dayClose()}
	servers := ""
	for n := range 8 {
		s, err := fleet.Start(fmt.Sprint("s-", n), n/2)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		const format = "[[server]]\nname = %q\naddress = %q\nsite = \"a\"\nkind = \"k0\"\npod = %d\n"
		servers += fmt.Sprintf(format, s.Name, s.Address, n/2)
	}
	return fleet, startCluster(t, func(int) string { return fmt.Sprintf(closeClass, agree) + servers })
}

// startCluster starts three instances with extra configuration for each, and waits until all are connected and ready
// to vote.
func startCluster(t *testing.T, extraConfig func(n int) string) []*Instance {
	t.Helper()
	keys := filepath.Join(t.TempDir(), "peers.key")
	if err := os.WriteFile(keys, []byte("# the only one\nMDEyMzQ1Njc4OWFiY2RlZg==\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	addresses := []string{ports.MustFree(t), ports.MustFree(t), ports.MustFree(t)}
	var instances []*Instance
	for n := range addresses {
		const peers = "[limits]\nprobes = false\n" +
			"[peers]\nlisten = %q\nkeys_file = %q\nstatus = \"127.0.0.1:0\"\nwait = \"5s\"\n" +
			"witnesses = [\"i-0\", \"i-1\", \"i-2\"]\njoin = [\"i-0/%s\"]\n"
		head := strings.Replace(runningHead, `name = "a"`, fmt.Sprintf(`name = "i-%d"`, n), 1)
		text := head + fmt.Sprintf(peers, addresses[n], keys, addresses[0]) + extraConfig(n)
		f, err := config.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		i, err := Start(f, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- i.Wait() }()
		t.Cleanup(func() {
			i.Shutdown()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
		instances = append(instances, i)
	}
	wait.Until(t, "all instances to be connected and ready to vote", func() bool {
		for _, i := range instances {
			s, err := i.Peers.Status(t.Context())
			if err != nil || len(s.Alive) != len(instances) || s.RecoveringFor != "0s" {
				return false
			}
		}
		return true
	})
	return instances
}

// payThrough sends a request with an idempotency key to an instance's HTTP front and returns the status code.
func payThrough(ctx context.Context, t *testing.T, instance *Instance, id, key string) int {
	t.Helper()
	url := "http://" + instance.HTTP.String() + "/day-close/x"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("pay"))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range payment(id, key) {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode
}

// payment returns the headers of a request.
func payment(id, key string) map[string]string {
	return map[string]string{
		"x-correlation-id": id,
		"x-service-class":  "day-close",
		"x-time-left-ms":   "1000",
		"idempotency-key":  key,
	}
}

// A client whose request has failed retries at another instance, over the other front: the retry is sent to the pod
// that remembers its key.
func TestRetriesAtOtherInstancesAreDeduplicated(t *testing.T) {
	fleet, instances := startUnknownOutcomeCluster(t, "always")
	var proxies []*proxy.Proxy
	for _, i := range instances {
		p, err := proxy.Dial(i.ExtProc.String(), 1)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		proxies = append(proxies, p)
	}
	ctx, stop := context.WithTimeout(t.Context(), wait.Timeout)
	defer stop()
	for n := range 30 {
		key := fmt.Sprint("key-", n)
		if code := payThrough(ctx, t, instances[n%3], key+"-0", key); code != http.StatusBadGateway {
			t.Fatalf("%s: %d, and every server fails", key, code)
		}
		for retry := 1; retry <= 2; retry++ {
			request := proxy.Request{
				Method: http.MethodPost,
				Path:   "/day-close/x",
				Header: payment(fmt.Sprint(key, "-", retry), key),
				Body:   "pay",
			}
			if result := proxies[(n+retry)%3].Do(ctx, request, proxy.Behaviour{}); result.Err != nil {
				t.Fatal(result.Err)
			}
		}
	}
	if twice := fleet.DuplicateEffects(); len(twice) > 0 {
		t.Errorf("executed twice: %v", twice)
	}
	if c := fleet.Counts(); c.Executed != 30 || c.Deduplicated < 30 {
		t.Errorf("%+v: each key is to be executed once, and its retries to be dropped", c)
	}
}

// The same without agreement executes requests twice: this shows that the test above can fail. Three of four pods are
// wrong for a retry, so the probability that all retries of 30 requests hit the right one is 4 to the power of -60.
func TestRetriesRunTwiceWithoutAgreement(t *testing.T) {
	fleet, instances := startUnknownOutcomeCluster(t, "never")
	for n := range 30 {
		for attempt := range 3 {
			payThrough(t.Context(), t, instances[attempt], fmt.Sprint(n, "-", attempt), fmt.Sprint("key-", n))
		}
	}
	if len(fleet.DuplicateEffects()) == 0 {
		t.Error("no request was executed twice")
	}
}

// The endpoint list of one instance stalls, and the two others learn that a server is draining: on their advisory,
// the first sends it no more requests, and follows its own list once that is updated.
func TestServerKnownToDrainByPeersGetsNoRequests(t *testing.T) {
	fleet := &fakebackend.Fleet{Classes: dayClose()}
	var hosts []fakediscovery.Host
	var servers []*fakebackend.Server
	for n := range 6 {
		s, err := fleet.Start(fmt.Sprint("s-", n), n/2)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		servers = append(servers, s)
		hosts = append(hosts, fakediscovery.Host{
			Name:   s.Name,
			Dial:   s.Address,
			Site:   "a",
			Class:  "k0",
			Block:  uint16(n / 2),
			Health: "Ready",
			Share:  1,
		})
	}
	var lists []*fakediscovery.Directory
	instances := startCluster(t, func(int) string {
		lists = append(lists, fakediscovery.New(t, hosts...))
		address := lists[len(lists)-1].Address
		discovery := fmt.Sprintf("[discovery]\naddress = %q\nask_within = \"2s\"\n", address)
		return fmt.Sprintf(closeClass, "never") + discovery
	})
	advisedDraining := func(n int) []string {
		s, err := instances[n].Peers.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return s.HeldBack
	}
	for n, list := range lists {
		wait.Until(t, fmt.Sprint("the watch of ", n), func() bool { return list.CallCount() > 1 })
	}
	changeList := func(n int, alter func(h *fakediscovery.Host)) {
		changed := slices.Clone(hosts)
		alter(&changed[0])
		lists[n].Change(func() {
			lists[n].List = fakediscovery.Document{Seq: lists[n].List.Seq + 1, Complete: true, Hosts: changed}
		})
	}
	drains := func(h *fakediscovery.Host) { h.Health = "Terminating" }
	lists[2].Silence()
	changeList(0, drains)
	changeList(1, drains)
	wait.Until(t, "the advisory of two instances", func() bool {
		return slices.Equal(advisedDraining(2), []string{"s-0@0"})
	})
	sendRequest := func(n int) { payThrough(t.Context(), t, instances[2], fmt.Sprint("r-", n), fmt.Sprint("key-", n)) }
	from := time.Now()
	for n := range 60 {
		sendRequest(n)
	}
	if addresses := servers[0].LastRequest(); addresses.After(from) {
		t.Error("a request went to a server that two others know to be draining")
	}
	if n := fleet.Counts().Executed; n < 50 {
		t.Errorf("%d of 60 ran", n)
	}
	// It was restarted, as all lists say: the advisory on its previous incarnation no longer counts.
	for n := range lists {
		changeList(n, func(h *fakediscovery.Host) { h.StartedMS = 1 })
	}
	wait.Until(t, "the own list to be followed", func() bool { return len(advisedDraining(2)) == 0 })
	next := 60
	wait.Until(t, "the server to get requests again", func() bool {
		sendRequest(next)
		next++
		return servers[0].LastRequest().After(from)
	})
}
