package app

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"pinedale/balancer"
	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// clusterSize is the number of instances of a test's cluster.
const clusterSize = 3

const (
	// dayCloseFormat is a class whose keys the servers of a cell share. Its verb is class.agree.
	dayCloseFormat = `[[class]]
name = "day-close"
repeat = "keyed"
group = "pod"
window = "20s"
aim = "600ms"
deadline = "1s"
agree = %q
`
	// peersFormat connects instances. Its verbs are the instance's own address, the keys file and the address of i-0.
	peersFormat = `[limits]
probes = false
[peers]
listen = %q
keys_file = %q
status = "127.0.0.1:0"
wait = "5s"
witnesses = ["i-0", "i-1", "i-2"]
join = ["i-0/%s"]
`
	// peerKeys is the content of a keys file.
	peerKeys = `# the only one
MDEyMzQ1Njc4OWFiY2RlZg==
`
)

// dayCloseClasses returns the class of dayCloseFormat for the servers.
func dayCloseClasses() []balancer.Class {
	return []balancer.Class{{
		Name:        "day-close",
		Idempotency: balancer.IdempotentWithKey,
		Group:       balancer.GroupCell,
		DedupWindow: 20_000_000,
	}}
}

// startCluster starts instances with extra sections for each, and waits until all are connected and ready to vote.
func startCluster(t *testing.T, extraSections func(instance int) string) []*Instance {
	t.Helper()
	keysFile := filepath.Join(t.TempDir(), "peers.key")
	testfleet.WriteFile(t, keysFile, peerKeys)
	var addresses [clusterSize]string
	for n := range addresses {
		addresses[n] = ports.MustFree(t)
	}
	instances := make([]*Instance, clusterSize)
	for n := range instances {
		head := strings.Replace(fileHead, `name = "a"`, fmt.Sprintf(`name = "i-%d"`, n), 1)
		peers := fmt.Sprintf(peersFormat, addresses[n], keysFile, addresses[0])
		instances[n] = startInstance(t, head+peers+extraSections(n), slog.New(slog.DiscardHandler))
	}
	wait.Until(t, "all instances to be connected and ready to vote", func() bool {
		for _, instance := range instances {
			status, err := instance.Peers.Status(t.Context())
			if err != nil || len(status.Alive) != clusterSize || status.RecoveringFor != "0s" {
				return false
			}
		}
		return true
	})
	return instances
}

// sendDayClose sends a request with an idempotency key to the HTTP/1.1 front of an instance and returns its status.
func sendDayClose(ctx context.Context, t *testing.T, instance *Instance, id, key string) int {
	t.Helper()
	url := "http://" + instance.HTTP.String() + "/day-close/x"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("pay"))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range dayCloseHeaders(id, key) {
		request.Header.Set(name, value)
	}
	statusCode, _, err := roundTrip(http.DefaultClient.Do, request)
	if err != nil {
		t.Fatal(err)
	}
	return statusCode
}

// dayCloseHeaders returns the headers of a request with an idempotency key.
func dayCloseHeaders(id, key string) map[string]string {
	return map[string]string{
		"x-correlation-id": id,
		"x-service-class":  "day-close",
		"x-time-left-ms":   "1000",
		"idempotency-key":  key,
	}
}
