package tlscost

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/measure/process"
	"pinedale/internal/standin/ca"
)

const siteFile = `version = 1
name = "cost"
site = "a"
[http]
listen = "127.0.0.1:0"
%s
[upstream]
keys = "fleet"
verify = "s-0.example.org"
[[keys]]
name = "fleet"
roots_file = %q
%s
[fleet]
sites = ["a"]
reports = ["inflight"]
[[class]]
name = "read"
repeat = "safe"
aim = "500ms"
deadline = "2s"
[[server]]
name = "s-0"
address = %q
site = "a"
`

// serveSite runs a pinedale-proxy. Arguments: the folder of its files, the server's address,
// and "tls" for a front with TLS or "h3" for one on HTTP/3.
func serveSite(args []string) (line string, stop func(), err error) {
	f := ca.FolderAt(ca.PanicOnFatal{}, args[0])
	front, keys := "", ""
	if args[2] != "plain" {
		front, keys = `keys = "front"`, fmt.Sprintf("[[keys]]\nname = \"front\"\ncert_file = %q\nkey_file = %q\n", f.Cert, f.Key)
	}
	if args[2] == "h3" {
		front += "\n[http3]\nlisten = \"127.0.0.1:0\"\nkeys = \"front\""
	}
	file, err := config.Parse([]byte(fmt.Sprintf(siteFile, front, f.Roots, keys, args[1])))
	if err != nil {
		return "", nil, err
	}
	app.UseMemory(file)
	i, err := app.Start(file, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn})))
	if err != nil {
		return "", nil, err
	}
	at := i.HTTP
	if args[2] == "h3" {
		at = i.HTTP3
	}
	return at.String(), func() {
		i.Shutdown()
		_ = i.Wait() // the load is over
	}, i.WaitReady()
}

// serveReverse runs an httputil.ReverseProxy over http.Transport, with the same arguments.
func serveReverse(args []string) (line string, stop func(), err error) {
	f := ca.FolderAt(ca.PanicOnFatal{}, args[0])
	text, err := os.ReadFile(f.Roots)
	if err != nil {
		return "", nil, err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(text)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "https", Host: args[1]})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: serverName, MinVersion: tls.VersionTLS13,
		ClientSessionCache: tls.NewLRUClientSessionCache(16)}}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return "", nil, err
	}
	if args[2] == "h3" {
		datagrams, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", nil, err
		}
		server := &http3.Server{Handler: proxy, TLSConfig: &tls.Config{Certificates: []tls.Certificate{pair}}}
		go func() { _ = server.Serve(datagrams) }()
		return datagrams.LocalAddr().String(), func() {
			server.Close()
			datagrams.Close()
		}, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: proxy}
	if args[2] == "tls" {
		l = tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}})
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { server.Close() }, nil
}

// ProxyRow is one pair of proxies: pinedale-proxy, and ReverseProxy beside it.
type ProxyRow struct {
	Name   string
	CPU    [2]time.Duration // of one request
	Rate   [2]float64       // requests a second at the load that was offered
	Failed [2]int
}

// Proxies measures both in turn, in so many rounds of span each, with clients that ask one
// after the other.
func Proxies(dir string, rounds, clients int, span time.Duration) ([]ProxyRow, error) {
	server, proxy, err := files(dir, nil)
	if err != nil {
		return nil, err
	}
	p, err := process.Start("tls-server", "", filepath.Dir(server.Cert), "")
	if err != nil {
		return nil, err
	}
	defer p.Stop()
	var rows []ProxyRow
	for _, front := range []string{"plain", "tls", "h3"} {
		m := &proxyMeasurement{front: front, clients: clients, span: span}
		row, err := m.run(rounds, filepath.Dir(proxy.Cert), p.Line)
		if err != nil {
			return nil, err
		}
		rows = append(rows, *row)
	}
	return rows, nil
}

// frontNames are what is printed for a kind of front.
var frontNames = map[string]string{"plain": "TLS towards the server", "tls": "TLS on both sides", "h3": "HTTP/3, TLS to the server"}

// proxyMeasurement is that of one pair of proxies.
type proxyMeasurement struct {
	front   string
	clients int
	span    time.Duration
	cpu     [2][]time.Duration
	rate    [2][]time.Duration // time of a request over all clients
	failed  [2]int
}

// run starts both proxies and measures them in turn.
func (m *proxyMeasurement) run(rounds int, dir, server string) (row *ProxyRow, err error) {
	var sides [2]*process.Process
	for n, kind := range [...]string{"tls-site", "tls-reverse"} {
		if sides[n], err = process.Start(kind, "", dir, server, m.front); err != nil {
			return nil, err
		}
		defer sides[n].Stop()
	}
	for round := range rounds + 1 {
		for n, side := range sides {
			// The first warms both up: a server that was never asked is not trusted with eight at once.
			if err := m.measure(n, side, round > 0); err != nil {
				return nil, err
			}
		}
	}
	row = &ProxyRow{Name: frontNames[m.front], Failed: m.failed}
	for n := range sides {
		row.CPU[n], row.Rate[n] = middle(m.cpu[n]), float64(time.Second)/float64(middle(m.rate[n]))
	}
	return row, nil
}

// measure puts the load on one proxy, and keeps the figures if they count.
func (m *proxyMeasurement) measure(n int, side *process.Process, counts bool) error {
	before, _, err := side.Figures()
	if err != nil {
		return err
	}
	began := time.Now()
	served, failed := load(side.Line, m.front, m.clients, m.span)
	took := time.Since(began)
	after, _, err := side.Figures()
	if err != nil {
		return err
	}
	if served == 0 {
		return fmt.Errorf("%s: nothing was served", frontNames[m.front])
	}
	if counts {
		m.failed[n] += failed
		m.cpu[n] = append(m.cpu[n], (after-before)/time.Duration(served))
		m.rate[n] = append(m.rate[n], took/time.Duration(served))
	}
	return nil
}

// load has clients ask, one request after the other each.
func load(at, front string, clients int, span time.Duration) (served, failed int) {
	scheme := "http"
	if front != "plain" {
		scheme = "https"
	}
	var all sync.WaitGroup
	var good, bad, ids atomic.Int64
	end := time.Now().Add(span)
	for range clients {
		all.Go(func() {
			// Nobody is verified: it is the proxies that are measured.
			var transport http.RoundTripper
			if front == "h3" {
				three := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
				defer three.Close()
				transport = three
			} else {
				one := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
				defer one.CloseIdleConnections()
				transport = one
			}
			for time.Now().Before(end) {
				r, err := http.NewRequest("GET", scheme+"://"+at+"/read/x", nil)
				if err != nil {
					bad.Add(1)
					return
				}
				r.Header.Set("X-Correlation-Id", fmt.Sprint("r-", ids.Add(1)))
				r.Header.Set("X-Service-Class", "read")
				r.Header.Set("X-Time-Left-Ms", "2000")
				out, err := transport.RoundTrip(r)
				if err != nil {
					bad.Add(1)
					continue
				}
				_, _ = io.Copy(io.Discard, out.Body) // the status has come
				out.Body.Close()
				if out.StatusCode != http.StatusOK {
					bad.Add(1)
					continue
				}
				good.Add(1)
			}
		})
	}
	all.Wait()
	return int(good.Load()), int(bad.Load())
}

// PrintProxies writes the rows for a reader.
func PrintProxies(out io.Writer, rows []ProxyRow) {
	fmt.Fprintf(out, "%-26s %14s %14s %6s %12s %12s %8s\n", "CPU of a request", "pinedale-proxy", "ReverseProxy", "ratio", "site req/s", "rev req/s", "failed")
	for _, r := range rows {
		fmt.Fprintf(out, "%-26s %14v %14v %6.2f %12.0f %12.0f %5d/%d\n", r.Name, r.CPU[0].Round(100*time.Nanosecond), r.CPU[1].Round(100*time.Nanosecond),
			float64(r.CPU[0])/float64(r.CPU[1]), r.Rate[0], r.Rate[1], r.Failed[0], r.Failed[1])
	}
}
