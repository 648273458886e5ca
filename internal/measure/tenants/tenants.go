// Package tenants measures how a tenant that requests ten times its quota affects the other tenants: behind
// pinedale-proxy with its fair admission, and behind [httputil.ReverseProxy] with one limit for all.
package tenants

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"pinedale/internal/measure/harness"
	"pinedale/internal/standin/fakebackend"
)

// tenantCount is the number of tenants in each run. Their quotas are equal.
const tenantCount = 3

// tenantNames are the names of the tenants. The first one requests ten times its quota, the others nine tenths of
// theirs.
var tenantNames = [tenantCount]string{"loud", "quiet-1", "quiet-2"}

const (
	loudLoad  = 10  // times its quota that the loud tenant requests
	quietLoad = 0.9 // times its quota that each of the others requests
)

const (
	// usefulLatency is the latency up to which an answer counts as served in time. The servers take serverWork.
	usefulLatency = 200 * time.Millisecond

	serverCount = 3
	serverWork  = 5 * time.Millisecond
)

// Options configure a measurement.
type Options struct {
	For  time.Duration // duration of each run
	Rate float64       // requests per second that are admitted
	Seed uint64        // of the arrivals

	quietClosedLoop bool          // the quiet tenants send in a closed loop, not an open one
	timeout         time.Duration // of a request, 1 s if it is 0; the latency objective is a fifth of it
}

// requestTimeout returns how long a client waits for an answer.
func (o *Options) requestTimeout() time.Duration {
	if o.timeout > 0 {
		return o.timeout
	}
	return 5 * usefulLatency
}

// rates returns the rate of each tenant's requests per second, of the loud one only if it takes part.
func (o *Options) rates(loudTakesPart bool) (rates [tenantCount]float64) {
	quota := o.Rate / tenantCount
	for i := range rates {
		rates[i] = quietLoad * quota
	}
	rates[0] = 0
	if loudTakesPart {
		rates[0] = loudLoad * quota
	}
	return rates
}

// TenantResult counts one tenant's requests in a run by how they were answered.
type TenantResult struct {
	Requested    int
	OK           int // answered 200
	ServedInTime int // of these, within 200 ms
	Rejected     int // answered 503
	Failed       int // answered otherwise, or not at all
}

// InTimeRatio returns the ratio of requests that were served in time.
func (r *TenantResult) InTimeRatio() float64 {
	return float64(r.ServedInTime) / float64(max(1, r.Requested))
}

// Row is the result of one run.
type Row struct {
	Name    string
	Tenants [tenantCount]TenantResult
	Took    time.Duration // from the first request until the last answer
}

// Rows are the rows of a table.
type Rows []Row

const configFormat = `version = 1
name = "tenants"
site = "a"
[http]
listen = "127.0.0.1:0"
[limits]
admit_rate = %g
client_connections = 4096
[fleet]
sites = ["a"]
[[class]]
name = "read"
repeat = "safe"
aim = %q
deadline = %q
[[tenant]]
name = "loud"
weight = 1
[[tenant]]
name = "quiet-1"
weight = 1
[[tenant]]
name = "quiet-2"
weight = 1
`

// configText returns the operator's file for a measurement, without its servers.
func (o *Options) configText() string {
	timeout := o.requestTimeout()
	return fmt.Sprintf(configFormat, o.Rate, (timeout / 5).String(), timeout.String())
}

// Run measures the quiet tenants alone and then together with the loud one, behind each proxy.
func Run(o Options) (Rows, error) {
	fleet := &fakebackend.Fleet{Seed: o.Seed, ServiceTime: serverWork}
	configText := o.configText()
	var firstServer string
	for n := range serverCount {
		server, err := fleet.Start(fmt.Sprint("s-", n), n)
		if err != nil {
			return nil, err
		}
		defer server.Close()
		if n == 0 {
			firstServer = server.Address
		}
		configText += harness.ServerConfig(server.Name, server.Address, n)
	}
	instance, err := harness.StartInstanceFromText(configText)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = instance.Close() // the clients have counted the responses
	}()
	reverseProxy, err := startReverseProxy(firstServer, o.Rate)
	if err != nil {
		return nil, err
	}
	defer reverseProxy.close()

	pinedaleURL, reverseURL := instance.URL(), reverseProxy.url()
	return Rows{
		runLoad(&o, "pinedale-proxy, without loud tenant", pinedaleURL, o.rates(false)),
		runLoad(&o, "pinedale-proxy, with loud tenant", pinedaleURL, o.rates(true)),
		runLoad(&o, "ReverseProxy, without loud tenant", reverseURL, o.rates(false)),
		runLoad(&o, "ReverseProxy, with loud tenant", reverseURL, o.rates(true)),
	}, nil
}

// Print writes the rows as a table.
func (rows Rows) Print(w io.Writer) {
	fmt.Fprintf(w, "%-38s", "ratio served in time (of requests)")
	for _, name := range tenantNames {
		fmt.Fprintf(w, " %18s", name)
	}
	fmt.Fprintln(w)
	for i := range rows {
		row := &rows[i]
		fmt.Fprintf(w, "%-38s", row.Name)
		for n := range row.Tenants {
			tenant := &row.Tenants[n]
			if tenant.Requested == 0 {
				fmt.Fprintf(w, " %18s", "-")
				continue
			}
			fmt.Fprintf(w, " %8.3f (%7d)", tenant.InTimeRatio(), tenant.Requested)
		}
		fmt.Fprintln(w)
	}
}

// count counts the response to a request.
func (r *TenantResult) count(response *harness.Response, latency time.Duration, err error) {
	r.Requested++
	switch {
	case err != nil:
		r.Failed++
	case response.OK():
		r.OK++
		if latency <= usefulLatency {
			r.ServedInTime++
		}
	case response.Code == http.StatusServiceUnavailable:
		r.Rejected++
	default:
		r.Failed++
	}
}
