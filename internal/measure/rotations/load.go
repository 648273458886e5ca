package rotations

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"pinedale/internal/measure/harness"
)

// load has the requests of all clients.
type load struct {
	testbed    *testbed
	handshakes atomic.Int64
	lastID     atomic.Int64

	mu       sync.Mutex
	requests int
	failed   map[string]int // by the error or status that the client got
}

func newLoad(r *testbed) *load { return &load{testbed: r, failed: map[string]int{}} }

// run sends one request after the other until ctx ends. Every other client sends requests with an idempotency key. Each
// client has a connection of its own, which the front may close.
func (l *load) run(ctx context.Context, number int) {
	transport := &http.Transport{TLSClientConfig: &tls.Config{
		InsecureSkipVerify: true, // VerifyConnection verifies instead
		VerifyConnection:   l.verify,
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		l.count(l.send(client, number%2 == 0))
	}
}

// verify verifies the front's certificate against the roots that clients trust now.
func (l *load) verify(state tls.ConnectionState) error {
	l.handshakes.Add(1)
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: l.testbed.clientRoots.Load()})
	return err
}

// send sends a request and returns why it failed, "" if it did not.
func (l *load) send(client *http.Client, pays bool) (reason string) {
	id := l.lastID.Add(1)
	request := &harness.Request{
		URL:     "https://" + l.testbed.instance.HTTP.String(),
		ID:      fmt.Sprint("r-", id),
		Class:   classPriceCheck,
		Timeout: classTimeout,
	}
	if pays {
		request.Method = http.MethodPost
		request.Class = classStallPay
		request.IdempotencyKey = fmt.Sprint("k-", id)
	}
	response, err := request.Send(client)
	if err != nil {
		return err.Error()
	}
	if !response.OK() {
		return response.Status
	}
	return ""
}

// count counts a request by why it failed, "" if it did not.
func (l *load) count(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	if reason != "" {
		l.failed[reason]++
	}
}
