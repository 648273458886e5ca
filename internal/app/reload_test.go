package app

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/config"
	"pinedale/internal/standin/cert"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/wait"
)

// running is an instance with two stand-in servers behind it.
type running struct {
	*Instance
	t       *testing.T
	servers []*fakebackend.Server
	ids     atomic.Int64
}

const runningHead = `version = 1
name = "a"
site = "a"
[http]
listen = "127.0.0.1:0"
[ext_proc]
listen = "127.0.0.1:0"
[fleet]
sites = ["a"]
kinds = ["k0", "k1"]
`

const priceClass = `[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = "3s"
`

const payClass = `[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = "1.5s"
aim = "600ms"
deadline = "2.5s"
`

// text returns an operator's file with these parts and the servers.
func (r *running) text(parts ...string) string {
	text := runningHead + strings.Join(parts, "")
	for n, s := range r.servers {
		text += serverSection(s, n)
	}
	return text
}

// serverSection returns the [[server]] entry of a stand-in in a pod.
func serverSection(s *fakebackend.Server, pod int) string {
	const format = "[[server]]\nname = %q\naddress = %q\nsite = \"a\"\nkind = \"k%d\"\npod = %d\n"
	return fmt.Sprintf(format, s.Name, s.Address, pod, pod)
}

// http3Section returns the section of an HTTP/3 front whose certificate is in a folder.
func http3Section(dir string) string {
	const format = "[http3]\nlisten = \"127.0.0.1:0\"\nkeys = \"front\"\n" +
		"[[keys]]\nname = \"front\"\ncert_file = %q\nkey_file = %q\n"
	return fmt.Sprintf(format, filepath.Join(dir, "cert"), filepath.Join(dir, "key"))
}

// setPriceHeaders sets the headers of a price check.
func setPriceHeaders(in *http.Request, id string) {
	in.Header.Set("X-Correlation-Id", id)
	in.Header.Set("X-Service-Class", "price-check")
	in.Header.Set("X-Time-Left-Ms", "3000")
}

// startRunning starts an instance with these parts of a file, and two servers that take some time for a request.
func startRunning(t *testing.T, work time.Duration, parts ...string) *running {
	t.Helper()
	r := &running{t: t}
	fleet := &fakebackend.Fleet{ServiceTime: work}
	for n := range 2 {
		s, err := fleet.Start(fmt.Sprint("s-", n), n)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		r.servers = append(r.servers, s)
	}
	f, err := config.Parse([]byte(r.text(parts...)))
	if err != nil {
		t.Fatal(err)
	}
	if r.Instance, err = Start(f, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Shutdown()
		if err := r.Wait(); err != nil {
			t.Error(err)
		}
	})
	if err := r.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return r
}

// reload replaces the file by one with these parts.
func (r *running) reload(parts ...string) {
	r.t.Helper()
	path := filepath.Join(r.t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(r.text(parts...)), 0o600); err != nil {
		r.t.Fatal(err)
	}
	f, err := r.Next(path)
	if err == nil {
		err = r.Reload(f)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// request sends a request; each header is "Name: value".
func (r *running) request(method, path string, headers ...string) (int, http.Header) {
	in, err := http.NewRequest(method, "http://"+r.HTTP.String()+path, nil)
	if err != nil {
		r.t.Error(err)
		return 0, nil
	}
	in.Header.Set("X-Correlation-Id", fmt.Sprint("r-", r.ids.Add(1)))
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		if name == "Host" {
			in.Host = value
			continue
		}
		in.Header.Set(name, value)
	}
	out, err := http.DefaultClient.Do(in)
	if err != nil {
		return 0, nil
	}
	defer out.Body.Close()
	if _, err := io.Copy(io.Discard, out.Body); err != nil {
		return 0, nil
	}
	return out.StatusCode, out.Header
}

func (r *running) price() int {
	code, _ := r.request("GET", "/price-check/x", "X-Service-Class: price-check", "X-Time-Left-Ms: 3000")
	return code
}

func (r *running) pay() int {
	key := fmt.Sprint("Idempotency-Key: k", r.ids.Add(1))
	code, _ := r.request("POST", "/stall-pay/x", "X-Service-Class: stall-pay", "X-Time-Left-Ms: 2500", key)
	return code
}

// A bad file has no effect on a running instance: its table stays the same, and no request fails or is rejected.
func TestBadReloadUnderLoadChangesNothing(t *testing.T) {
	r := startRunning(t, time.Millisecond, priceClass, payClass)
	before := r.Table()
	var clients sync.WaitGroup
	var end atomic.Bool
	var answered atomic.Int64
	for n := range 4 {
		clients.Go(func() {
			for !end.Load() {
				code := r.price
				if n%2 == 0 {
					code = r.pay
				}
				if got := code(); got != 200 {
					t.Errorf("answer %d", got)
					return
				}
				answered.Add(1)
			}
		})
	}
	badFiles, err := filepath.Glob("../config/testdata/bad/*.toml")
	if err != nil || len(badFiles) < 150 {
		t.Fatalf("%d bad files, %v", len(badFiles), err)
	}
	for _, path := range badFiles {
		if f, err := r.Next(path); err == nil || f != nil {
			t.Errorf("%s is accepted", path)
		}
	}
	wait.Until(t, "some load", func() bool { return answered.Load() > 200 || t.Failed() })
	end.Store(true)
	clients.Wait()
	if r.Table() != before {
		t.Error("the table has changed")
	}
}

// A reload removes the class of a request in flight: the request is completed by the rules that it began with, and
// the next one is rejected.
func TestRequestInFlightKeepsRemovedClass(t *testing.T) {
	r := startRunning(t, 300*time.Millisecond, priceClass, payClass)
	answer := make(chan int)
	go func() { answer <- r.pay() }()
	wait.Until(t, "the request in flight", func() bool { return r.Requests() == 1 })
	number := func() uint8 { b, _ := r.Table().ClassBounds("stall-pay"); return b.Class }
	was := number()
	r.reload(priceClass)
	if code := r.pay(); code != 400 {
		t.Errorf("a request of the removed class: %d", code)
	}
	if code := r.price(); code != 200 {
		t.Errorf("a request of the other: %d", code)
	}
	if code := <-answer; code != 200 {
		t.Errorf("the request in flight: %d", code)
	}
	r.reload(priceClass, payClass)
	if code := r.pay(); code != 200 || number() != was {
		t.Errorf("the class is back: %d, as number %d, was %d", code, number(), was)
	}
	// Changed, it is another class.
	r.reload(priceClass, strings.Replace(payClass, "1.5s", "1.6s", 1))
	if code := r.pay(); code != 200 || number() == was {
		t.Errorf("the class has changed: %d, as number %d", code, number())
	}
}

// Routes select the class and the pool of requests, whose headers need not name a class or a deadline.
func TestRoutes(t *testing.T) {
	r := startRunning(t, 0, priceClass, payClass, `[[pool]]
name = "second"
kinds = ["k1"]
[[route]]
prefix = "/prices"
class = "price-check"
pool = "second"
[[route]]
prefix = "/prices"
headers = { X-Tier = "gold" }
class = "stall-pay"
method = "PUT"
[[route]]
host = "till.example"
class = "stall-pay"
`)
	for _, c := range []struct {
		method, path string
		headers      []string
		want         int
	}{
		{"GET", "/prices/maize", nil, 200},
		{"GET", "/prices", []string{"X-Time-Left-Ms: 500"}, 200},
		{"GET", "/prices/maize", []string{"X-Time-Left-Ms: soon"}, 400},
		{"POST", "/prices/maize", nil, 405},
		{"GET", "/pricesmore", nil, 404},
		{"GET", "/prices//maize", nil, 404},
		{"GET", "/prices/maize", []string{"X-Service-Class: stall-pay"}, 400},
		{"GET", "/prices/maize", []string{"X-Service-Class: price-check"}, 200},
		{"PUT", "/prices/maize", []string{"X-Tier: gold", "Idempotency-Key: k1"}, 200},
		{"PUT", "/prices/maize", []string{"X-Tier: gold"}, 400},
		{"PUT", "/prices/maize", []string{"X-Tier: silver", "Idempotency-Key: k2"}, 405},
		{"POST", "/any", []string{"Host: TILL.example:80", "Idempotency-Key: k3"}, 200},
		{"POST", "/any", []string{"Idempotency-Key: k4"}, 404},
	} {
		if code, _ := r.request(c.method, c.path, c.headers...); code != c.want {
			t.Errorf("%s %s %v: %d, want %d", c.method, c.path, c.headers, code, c.want)
		}
	}
	second := r.servers[1].LastRequest()
	for range 20 {
		r.request("GET", "/prices/maize")
	}
	if !r.servers[0].LastRequest().Before(r.servers[1].LastRequest()) || !r.servers[1].LastRequest().After(second) {
		t.Error("requests of the pool did not go to its server alone")
	}
	// Another file with another pool applies to servers that are known already.
	r.reload(priceClass, `[[pool]]
name = "other"
kinds = ["k0"]
[[route]]
prefix = "/prices"
class = "price-check"
pool = "other"
`)
	at := time.Now()
	for range 20 {
		if code, _ := r.request("GET", "/prices/maize"); code != 200 {
			t.Fatalf("after the reload: %d", code)
		}
	}
	if r.servers[1].LastRequest().After(at) || r.servers[0].LastRequest().Before(at) {
		t.Error("after the reload requests went to the old pool")
	}
}

// Each tenant has its own limit, and a request over it is rejected at once with Retry-After.
func TestTenants(t *testing.T) {
	tenants := `[[tenant]]
name = "duka"
weight = 1
open = 1
[[tenant]]
name = "soko"
weight = 1
`
	r := startRunning(t, 300*time.Millisecond, priceClass, payClass, tenants)
	sendRequest := func(tenant string) (int, http.Header) {
		return r.request("GET", "/price-check/x",
			"X-Service-Class: price-check", "X-Time-Left-Ms: 3000", "X-Account: "+tenant)
	}
	first := make(chan int)
	go func() { code, _ := sendRequest("duka"); first <- code }()
	wait.Until(t, "the first in flight", func() bool { return r.Requests() == 1 })
	began := time.Now()
	code, header := sendRequest("duka")
	if took := time.Since(began); code != 503 || header.Get("Retry-After") == "" || took > 200*time.Millisecond {
		t.Errorf("the second of a tenant that may have one: %d after %v, %v", code, took, header)
	}
	if code, _ := sendRequest("soko"); code != 200 {
		t.Errorf("another tenant: %d", code)
	}
	if code, _ := sendRequest("nobody"); code != 400 {
		t.Errorf("of no tenant: %d", code)
	}
	if code := <-first; code != 200 {
		t.Errorf("the first: %d", code)
	}
	if code, _ := sendRequest("duka"); code != 200 {
		t.Errorf("once it is over: %d", code)
	}
}

// HTTP/3 is served next to HTTP/1.1 by the same engine, and advertised to clients of HTTP/1.1.
func TestHTTP3(t *testing.T) {
	pair := cert.New(t)
	dir := t.TempDir()
	files := map[string][]byte{"cert": pair.Cert, "key": pair.Key}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	table := http3Section(dir)
	r := startRunning(t, 0, priceClass, payClass, table)
	_, header := r.request("GET", "/price-check/x", "X-Service-Class: price-check", "X-Time-Left-Ms: 3000")
	if want := fmt.Sprintf(`h3=":%d"; ma=3600`, r.HTTP3.(*net.UDPAddr).Port); header.Get("Alt-Svc") != want {
		t.Errorf("Alt-Svc: %q, want %q", header.Get("Alt-Svc"), want)
	}
	client := &http3.Transport{TLSClientConfig: pair.Client}
	defer client.Close()
	in, err := http.NewRequest("GET", "https://"+r.HTTP3.String()+"/price-check/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	setPriceHeaders(in, "h3")
	out, err := client.RoundTrip(in)
	if err != nil || out.StatusCode != 200 {
		t.Fatalf("%v, %v", out, err)
	}
	out.Body.Close()
	for bad, key := range map[string]string{
		"[http3]\nlisten = \"127.0.0.1:0\"\n":                            "http3.keys",
		strings.Replace(table, "listen = \"127.0.0.1:0\"\n", "", 1):      "http3.keys",
		strings.Replace(table, "/cert\"", "/none\"", 1):                  "keys[0].cert_file",
		strings.Replace(table, "[http3]", "[http3]\nstreams = 0", 1):     "http3.streams",
		strings.Replace(table, "[http3]", "[http3]\nconnections = 0", 1): "http3.connections",
		strings.Replace(table, "127.0.0.1:0", "here", 1):                 "http3.listen",
	} {
		_, err := config.Parse([]byte(r.text(priceClass, payClass, bad)))
		if err == nil || !strings.Contains(err.Error(), key+": ") {
			t.Errorf("%q: %v, want an error of %s", bad, err, key)
		}
	}
}
