package tlscost

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/measure/harness"
	"pinedale/internal/measure/process"
)

// proxyKinds are the proxies that are compared, in the order of the columns.
var proxyKinds = [...]string{proxyKind, reverseProxyKind}

// ProxyRow compares the proxies with one kind of front. Its arrays are in the order of proxyKinds.
type ProxyRow struct {
	Name   string
	CPU    [len(proxyKinds)]time.Duration // of each request
	Rate   [len(proxyKinds)]float64       // requests per second that were served
	Failed [len(proxyKinds)]int
}

// ProxyRows are the rows of a table.
type ProxyRows []ProxyRow

// proxyCase is a kind of front that is measured.
type proxyCase struct {
	name  string
	front frontKind
}

var proxyCases = []proxyCase{
	{name: "TLS towards the server", front: plainFront},
	{name: "TLS on both sides", front: tlsFront},
	{name: "HTTP/3, TLS to the server", front: http3Front},
}

// requestTimeout is the timeout that is stated in each request.
const requestTimeout = 2 * time.Second

// Proxies measures the proxies in alternating rounds of span each, under the load of closed-loop clients. It writes its
// files below dir.
func Proxies(dir string, rounds, clients int, span time.Duration) (ProxyRows, error) {
	server, proxy, err := writeIdentities(dir, nil)
	if err != nil {
		return nil, err
	}
	serverProcess, err := process.Start(serverKind, "", server.dir, "")
	if err != nil {
		return nil, err
	}
	defer serverProcess.Stop()
	var rows ProxyRows
	for _, c := range proxyCases {
		m := &proxyMeasurement{proxyCase: c, clients: clients, span: span}
		row, err := m.run(rounds, proxy.dir, serverProcess.Line)
		if err != nil {
			return nil, err
		}
		rows = append(rows, *row)
	}
	return rows, nil
}

// proxyMeasurement measures the proxies with one kind of front.
type proxyMeasurement struct {
	proxyCase
	clients int
	span    time.Duration
	samples [len(proxyKinds)]proxySamples
}

// proxySamples has the figures of one proxy, by round.
type proxySamples struct {
	cpu      []time.Duration // of each request
	interval []time.Duration // mean time between two requests of all clients
	failed   int
}

// run starts both proxies and measures them in turn. The first round is a warm-up and does not count: pinedale-proxy
// sends few requests at once to a server that has not served any yet.
func (m *proxyMeasurement) run(rounds int, dir, server string) (row *ProxyRow, err error) {
	var proxies [len(proxyKinds)]*process.Process
	for i, kind := range proxyKinds {
		if proxies[i], err = process.Start(kind, "", dir, server, string(m.front)); err != nil {
			return nil, err
		}
		defer proxies[i].Stop()
	}
	for round := range rounds + 1 {
		for i, proxy := range proxies {
			sample, err := m.measure(proxy)
			if err != nil {
				return nil, err
			}
			if isWarmup := round == 0; !isWarmup {
				m.samples[i].add(sample)
			}
		}
	}
	row = &ProxyRow{Name: m.name}
	for i := range m.samples {
		samples := &m.samples[i]
		row.CPU[i] = harness.Median(samples.cpu)
		row.Rate[i] = float64(time.Second) / float64(harness.Median(samples.interval))
		row.Failed[i] = samples.failed
	}
	return row, nil
}

// proxySample has the figures of one round of one proxy.
type proxySample struct {
	cpu, interval time.Duration
	failed        int
}

func (s *proxySamples) add(sample *proxySample) {
	s.cpu = append(s.cpu, sample.cpu)
	s.interval = append(s.interval, sample.interval)
	s.failed += sample.failed
}

// measure runs the load against a proxy and returns the figures of the round.
func (m *proxyMeasurement) measure(proxy *process.Process) (*proxySample, error) {
	before, err := proxy.Usage()
	if err != nil {
		return nil, err
	}
	start := time.Now()
	load := runLoad(proxy.Line, m.front, m.clients, m.span)
	took := time.Since(start)
	after, err := proxy.Usage()
	if err != nil {
		return nil, err
	}
	served := time.Duration(load.served.Load())
	if served == 0 {
		return nil, fmt.Errorf("%s: no request was served", m.name)
	}
	return &proxySample{
		cpu:      (after.CPU - before.CPU) / served,
		interval: took / served,
		failed:   int(load.failed.Load()),
	}, nil
}

// load counts the requests of the clients.
type load struct {
	served, failed atomic.Int64
	lastID         atomic.Int64
}

// runLoad runs closed-loop clients for the given time.
func runLoad(address string, front frontKind, clients int, span time.Duration) *load {
	scheme := "https"
	if front == plainFront {
		scheme = "http"
	}
	l := &load{}
	harness.RunClients(clients, span, func(ctx context.Context, _ int) {
		transport, closeTransport := newTransport(front)
		defer closeTransport()
		client := &http.Client{Transport: transport}
		for ctx.Err() == nil {
			l.send(client, scheme+"://"+address)
		}
	})
	return l
}

// newTransport returns the transport of a client. It verifies no certificate, since only the proxies are measured.
func newTransport(front frontKind) (transport http.RoundTripper, closeTransport func()) {
	config := &tls.Config{InsecureSkipVerify: true}
	if front == http3Front {
		viaHTTP3 := &http3.Transport{TLSClientConfig: config}
		return viaHTTP3, func() { viaHTTP3.Close() }
	}
	viaTCP := &http.Transport{TLSClientConfig: config}
	return viaTCP, viaTCP.CloseIdleConnections
}

// send sends one request and counts its response.
func (l *load) send(client *http.Client, url string) {
	request := &harness.Request{
		URL:     url,
		ID:      fmt.Sprint("r-", l.lastID.Add(1)),
		Class:   "read",
		Timeout: requestTimeout,
	}
	response, err := request.Send(client)
	if err != nil || !response.OK() {
		l.failed.Add(1)
		return
	}
	l.served.Add(1)
}

// Print writes the rows as a table.
func (rows ProxyRows) Print(w io.Writer) {
	fmt.Fprintf(w, "%-26s %14s %14s %6s %12s %12s %8s\n",
		"CPU of a request", "pinedale-proxy", "ReverseProxy", "ratio", "pinedale r/s", "reverse r/s", "failed")
	for i := range rows {
		row := &rows[i]
		fmt.Fprintf(w, "%-26s %14v %14v %6.2f %12.0f %12.0f %5d/%d\n",
			row.Name,
			row.CPU[0].Round(100*time.Nanosecond),
			row.CPU[1].Round(100*time.Nanosecond),
			float64(row.CPU[0])/float64(row.CPU[1]),
			row.Rate[0],
			row.Rate[1],
			row.Failed[0],
			row.Failed[1])
	}
}
