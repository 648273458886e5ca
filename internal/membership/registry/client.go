// Package registry reads membership from a discovery service over HTTP. It requests complete
// lists (snapshots) and watches for changes by long polling.
//
// [Client.Watch] makes one call after the other. Beside a watch call without a response it makes a
// second one, on a goroutine that ends with the call; between watches a client has no state except
// its HTTP connection.
package registry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"pinedale/balancer"
	"pinedale/internal/ctxtime"
	"pinedale/internal/engine"
)

const (
	// maxDocumentBytes bounds a document. A longer one is truncated, so that parsing it fails.
	maxDocumentBytes = 8 << 20

	// watchPause is the delay between a response and the next watch call. It limits the rate
	// of calls. The service ends a watch if the next call comes more than 200 ms after the
	// last response.
	watchPause = 20 * time.Millisecond

	// maxConns is the maximum number of connections: a watch and the second call beside it.
	maxConns = 2
)

// Client is a client of the discovery service. It implements engine.Source.
type Client struct {
	url     string
	timing  Timing
	client  http.Client
	dial    dialFunc
	closing context.Context // ends with Close
	close   context.CancelFunc
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a client of the service at host:port.
func New(address string, timing Timing) *Client {
	c := &Client{
		url:    "http://" + address + "/registry/instances",
		timing: timing,
		dial:   (&net.Dialer{}).DialContext,
	}
	c.closing, c.close = context.WithCancel(context.Background())
	c.client.Transport = &http.Transport{
		DialContext:     c.dialBounded,
		MaxIdleConns:    1,
		MaxConnsPerHost: maxConns,
	}
	return c
}

// Close closes idle connections and ends dials that are in progress.
func (c *Client) Close() {
	c.close()
	c.client.CloseIdleConnections()
}

// dialBounded opens a connection within the timeout of a call. http.Transport does not end a dial
// with the call that it was made for, and counts it as a connection: without a bound, a service
// that cannot be reached would hold up the calls after its return, and replaced clients would leave
// descriptors behind.
func (c *Client) dialBounded(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.ListTimeout)
	defer cancel()
	defer context.AfterFunc(c.closing, cancel)()
	return c.dial(ctx, network, address)
}

// Watch passes lists and changes to notify until a call fails, and then reports the failure. If the
// timing has a RetryDelay, it retries after that delay until ctx ends; otherwise it returns. The first
// call does not wait for changes, so that its response shows the balancer that the watch has begun.
// after is the version of the last list that was received, nil if there is none; Watch returns its
// new value.
func (c *Client) Watch(
	ctx context.Context, after *uint64, notify func(balancer.ListKind, engine.List),
) (*uint64, error) {
	watching := false
	for {
		list, err := c.fetch(ctx, after, watching)
		switch {
		case err != nil:
			watching = false
			notify(balancer.ListFailed, engine.List{})
			if c.timing.RetryDelay == 0 || ctx.Err() != nil {
				return after, err
			}
			ctxtime.Sleep(ctx, c.timing.RetryDelay)
		case isOlderDelta(list, after):
			after, watching = nil, false
			ctxtime.Sleep(ctx, watchPause)
		default:
			after, watching = &list.Version, true
			notify(kindOf(list), list)
			ctxtime.Sleep(ctx, watchPause)
		}
	}
}

// isOlderDelta reports whether list holds changes with a lower version than after. Such changes
// belong to another list than the client's, so that the client must request the complete list.
func isOlderDelta(list engine.List, after *uint64) bool {
	return !list.Complete && after != nil && list.Version < *after
}

// kindOf returns the kind of a list that was received.
func kindOf(list engine.List) balancer.ListKind {
	if list.Complete {
		return balancer.ListFull
	}
	return balancer.ListDelta
}

// fetch requests the complete list if after is nil, otherwise the changes since that version. If it
// is watching and there are none yet, the service waits for them.
func (c *Client) fetch(ctx context.Context, after *uint64, watching bool) (engine.List, error) {
	if watching {
		return c.fetchHedged(ctx, after)
	}
	return c.call(ctx, after, 0, c.timing.ListTimeout)
}

// call makes one call. If after is not nil and there are no changes since that version, the service
// waits for them, up to wait.
func (c *Client) call(ctx context.Context, after *uint64, wait, timeout time.Duration) (engine.List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := c.get(ctx, c.requestURL(after, wait))
	if err != nil {
		return engine.List{}, err
	}
	list, err := Parse(body)
	if err != nil {
		return list, fmt.Errorf("parse discovery response: %w", err)
	}
	return list, nil
}

// requestURL returns the URL of a call with the parameters of call.
func (c *Client) requestURL(after *uint64, wait time.Duration) string {
	if after == nil {
		return c.url
	}
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", c.url, *after, wait.Milliseconds())
}

// get returns the body of a successful response.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery returned HTTP status %s", response.Status)
	}
	return body, nil
}
