// Package tenants measures what one tenant that asks for ten times its share costs the
// others: behind pinedale-proxy with its fair admission, and behind
// net/http/httputil.ReverseProxy with one limit for all.
package tenants

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/standin/fakebackend"
)

// Options are of a measurement.
type Options struct {
	For  time.Duration // each of its runs
	Rate float64       // requests a second that are let in
	Seed uint64
}

// Tenants of each run, with equal shares. The first asks for ten times its own, the
// others for nine tenths.
var names = [3]string{"loud", "quiet-1", "quiet-2"}

// Row is one run: the share of each tenant's requests that was served in time.
type Row struct {
	Name      string
	Served    [3]float64
	Requested [3]int
}

// inTime is when an answer is of use: the servers take 5 ms.
const inTime = 200 * time.Millisecond

const file = `version = 1
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
aim = "200ms"
deadline = "1s"
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

// Run measures. The quiet tenants are first alone, then beside the loud one.
func Run(o Options) ([]Row, error) {
	fleet := &fakebackend.Fleet{Seed: o.Seed, ServiceTime: 5 * time.Millisecond}
	text := fmt.Sprintf(file, o.Rate)
	var first string
	for n := range 3 {
		s, err := fleet.Start(fmt.Sprint("s-", n), n)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		if n == 0 {
			first = s.Address
		}
		text += fmt.Sprintf("[[server]]\nname = %q\naddress = %q\nsite = \"a\"\npod = %d\n", s.Name, s.Address, n)
	}
	f, err := config.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	i, err := app.Start(f, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	defer func() {
		i.Shutdown()
		_ = i.Wait() // the clients have told what came of their requests
	}()
	if err := i.WaitReady(); err != nil {
		return nil, err
	}
	plain, stop, err := reverseProxy(first, o.Rate)
	if err != nil {
		return nil, err
	}
	defer stop()
	share := o.Rate / 3
	alone, beside := [3]float64{0, 0.9 * share, 0.9 * share}, [3]float64{10 * share, 0.9 * share, 0.9 * share}
	var rows []Row
	for _, run := range []struct {
		name  string
		at    string
		rates [3]float64
	}{{"pinedale-proxy, without the loud one", "http://" + i.HTTP.String(), alone}, {"pinedale-proxy, beside it", "http://" + i.HTTP.String(), beside},
		{"ReverseProxy, without the loud one", plain, alone}, {"ReverseProxy, beside it", plain, beside}} {
		r := Row{Name: run.name}
		load(o, run.at, run.rates, &r)
		rows = append(rows, r)
	}
	return rows, nil
}

// load has each tenant ask at its rate.
func load(o Options, at string, rates [3]float64, r *Row) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Second}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	var served [3]atomic.Int64
	var ids atomic.Int64
	began := time.Now()
	for n, rate := range rates {
		if rate <= 0 {
			continue
		}
		all.Go(func() {
			rng, next := rand.New(rand.NewPCG(o.Seed, uint64(n))), time.Duration(0)
			for {
				next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				if next >= o.For {
					return
				}
				time.Sleep(time.Until(began.Add(next)))
				r.Requested[n]++
				all.Go(func() {
					if request(client, at, names[n], ids.Add(1)) {
						served[n].Add(1)
					}
				})
			}
		})
	}
	all.Wait()
	for n := range rates {
		r.Served[n] = float64(served[n].Load()) / float64(max(1, r.Requested[n]))
	}
}

func request(client *http.Client, at, tenant string, id int64) bool {
	r, err := http.NewRequest("GET", at+"/read/x", nil)
	if err != nil {
		return false
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprint("r-", id))
	r.Header.Set("X-Service-Class", "read")
	r.Header.Set("X-Time-Left-Ms", "1000")
	r.Header.Set("X-Account", tenant)
	began := time.Now()
	out, err := client.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, out.Body) // the status has come
	out.Body.Close()
	return out.StatusCode == 200 && time.Since(began) <= inTime
}

// reverseProxy is the standard library's, with one bucket of tokens for all.
func reverseProxy(to string, rate float64) (at string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 4096}
	const burst = 0.1 // seconds of the rate, as the window of the admission beside it
	var mu sync.Mutex
	tokens, last := rate*burst, time.Now()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		now := time.Now()
		tokens = min(rate*burst, tokens+now.Sub(last).Seconds()*rate)
		last = now
		ok := tokens >= 1
		if ok {
			tokens--
		}
		mu.Unlock()
		if !ok {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), func() {
		_ = server.Shutdown(context.Background()) // the load is over
		proxy.Transport.(*http.Transport).CloseIdleConnections()
	}, nil
}

// Print writes the rows for a reader.
func Print(out io.Writer, rows []Row) {
	fmt.Fprintf(out, "%-38s", "share served in time (of asked)")
	for _, n := range names {
		fmt.Fprintf(out, " %18s", n)
	}
	fmt.Fprintln(out)
	for _, r := range rows {
		fmt.Fprintf(out, "%-38s", r.Name)
		for n := range names {
			if r.Requested[n] == 0 {
				fmt.Fprintf(out, " %18s", "-")
				continue
			}
			fmt.Fprintf(out, " %8.3f (%7d)", r.Served[n], r.Requested[n])
		}
		fmt.Fprintln(out)
	}
}
