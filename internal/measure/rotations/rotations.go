// Package rotations measures what changes of keys cost the requests that come meanwhile: a
// whole pinedale-proxy between clients and servers, TLS on both sides of it, certificates and
// roots replaced over and over on either side.
package rotations

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/app"
	"pinedale/internal/certstore"
	"pinedale/internal/config"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/tlsbackend"
	"pinedale/internal/upstream/secure"
)

// Options are of a measurement.
type Options struct {
	Rotations int // changes of certificates or roots, on either side in turn
	HTTP3     bool
	Clients   int           // at work at once
	Servers   int           // of the fleet
	Settle    time.Duration // between two changes; standing connections are replaced within it
	Dir       string        // for the files
}

// Result is what came of it.
type Result struct {
	Rotations, Requests int
	Failed              map[string]int // by what the client saw
	Twice               []string
	Security            secure.Counters
	Keys                map[string]certstore.Counters
	Front               int // handshakes that the clients did with the front
}

const file = `version = 1
name = "rotations"
site = "a"
[http]
listen = "127.0.0.1:0"
keys = "front"
[upstream]
keys = "fleet"
verify = "{name}.example.org"
http3 = %t
[[keys]]
name = "front"
cert_file = %q
key_file = %q
replace_within = "1s"
[[keys]]
name = "fleet"
cert_file = %q
key_file = %q
roots_file = %q
replace_within = "1s"
[fleet]
sites = ["a"]
[[class]]
name = "price-check"
repeat = "safe"
aim = "2s"
deadline = "20s"
[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = "30s"
aim = "2s"
deadline = "20s"
attempts = 1
`

// world is what is measured.
type world struct {
	o            Options
	first, next  *ca.Authority
	front, fleet *ca.Folder
	keys         *tlsbackend.Credentials
	at           *app.Instance
	clients      atomic.Pointer[x509.CertPool] // whom they trust
}

func (w *world) names() (all []string) {
	for n := range w.o.Servers {
		all = append(all, fmt.Sprintf("s-%d.example.org", n))
	}
	return all
}

// issue makes a certificate for now.
func issue(a *ca.Authority, names ...string) *ca.Pair {
	return a.Issue(ca.Spec{Names: names, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour)})
}

// Run measures.
func Run(o Options) (r *Result, err error) {
	defer func() {
		if p, ok := recover().(error); ok && err == nil {
			err = p
		}
	}()
	w := &world{o: o}
	if err := w.issueAll(); err != nil {
		return nil, err
	}
	fleet := &fakebackend.Fleet{ServiceTime: time.Millisecond, TLS: w.keys.ServerConfig, Classes: []balancer.Class{
		{Name: "stall-pay", Idempotency: balancer.IdempotentWithKey, Group: balancer.GroupAll, DedupWindow: 30_000_000}}}
	text := fmt.Sprintf(file, o.HTTP3, w.front.Cert, w.front.Key, w.fleet.Cert, w.fleet.Key, w.fleet.Roots)
	for n := range o.Servers {
		s, err := fleet.Start(fmt.Sprint("s-", n), n)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		text += fmt.Sprintf("[[server]]\nname = %q\naddress = %q\nsite = \"a\"\npod = %d\n", s.Name, s.Address, n)
	}
	f, err := config.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	if w.at, err = app.Start(f, slog.New(slog.DiscardHandler)); err != nil {
		return nil, err
	}
	defer func() {
		w.at.Shutdown()
		err = errors.Join(err, w.at.Wait())
	}()
	if err := w.at.WaitReady(); err != nil {
		return nil, err
	}
	r, err = w.rotateUnderLoad()
	if err != nil {
		return nil, err
	}
	r.Twice = fleet.DuplicateEffects()
	r.Security, _ = w.at.HandshakeCounters()
	r.Keys = w.at.Keys()
	return r, nil
}

// issueAll makes the first two roots and, by the first, the certificates of all sides.
func (w *world) issueAll() error {
	w.first, w.next = w.root(0), w.root(1)
	for _, x := range []struct {
		name string
		at   **ca.Folder
	}{{"front", &w.front}, {"fleet", &w.fleet}} {
		dir := filepath.Join(w.o.Dir, x.name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		*x.at = ca.FolderAt(ca.PanicOnFatal{}, dir)
	}
	w.front.WritePair(issue(w.first, "127.0.0.1"))
	w.fleet.WritePair(issue(w.first, "pinedale.example.org"))
	w.fleet.WriteFile(w.fleet.Roots, w.first.PEM())
	w.keys = tlsbackend.NewCredentials(ca.PanicOnFatal{}, issue(w.first, w.names()...))
	w.keys.SetClientCAs(w.first)
	return nil
}

// rotateUnderLoad makes all changes while clients ask, and returns what the clients saw.
func (w *world) rotateUnderLoad() (*Result, error) {
	l := &load{world: w, end: make(chan struct{}), result: &Result{Failed: map[string]int{}}}
	var clients sync.WaitGroup
	for n := range w.o.Clients {
		clients.Go(func() { l.client(n) })
	}
	var err error
	for n := range w.o.Rotations {
		if err = w.rotate(n); err != nil {
			break
		}
		time.Sleep(w.o.Settle)
		l.result.Rotations++
	}
	close(l.end)
	clients.Wait()
	l.result.Front = int(l.handshakes.Load())
	return l.result, err
}

// load is what the clients do.
type load struct {
	world           *world
	end             chan struct{}
	handshakes, ids atomic.Int64
	mu              sync.Mutex
	result          *Result // the clients' part of it is guarded by mu
}

// client asks, one request after the other, until the end. Every other client pays.
func (l *load) client(n int) {
	// A client of its own each: its connection is the front's to end.
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, VerifyConnection: func(s tls.ConnectionState) error {
		l.handshakes.Add(1)
		_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: l.world.clients.Load()})
		return err
	}}}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-l.end:
			return
		default:
		}
		reason := request(transport, "https://"+l.world.at.HTTP.String(), n%2 == 0, l.ids.Add(1))
		l.mu.Lock()
		l.result.Requests++
		if reason != "" {
			l.result.Failed[reason]++
		}
		l.mu.Unlock()
	}
}

// root makes one that clients trust from now on, for good: it is the front's side of a
// rotation that is measured, not theirs.
func (w *world) root(n int) *ca.Authority {
	a := ca.New(ca.PanicOnFatal{}, fmt.Sprint("root ", n))
	pool := x509.NewCertPool()
	if before := w.clients.Load(); before != nil {
		pool = before.Clone()
	}
	pool.AddCert(a.Cert)
	w.clients.Store(pool)
	return a
}

// reloadTimeout is how long a change of files may take to be seen: notification and its calm take
// well under a second, and without notification the poll half a minute.
const reloadTimeout = 40 * time.Second

// taken waits until a change of files has been taken.
func (w *world) taken(keys string, change func()) error {
	before := w.at.Keys()[keys].Accepted
	change()
	for end := time.Now().Add(reloadTimeout); w.at.Keys()[keys].Accepted == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("a change of the keys %q was not taken within %v", keys, reloadTimeout)
		}
	}
	return nil
}

// rotate makes the nth change. Six of them make a round, after which a new root is trusted.
func (w *world) rotate(n int) error {
	switch n % 6 {
	case 0: // the servers' certificate
		w.keys.SetCertificate(issue(w.first, w.names()...))
	case 1: // this side's towards them: the key, and then the certificate
		return w.taken("fleet", func() {
			p := issue(w.first, "pinedale.example.org")
			w.fleet.WriteFile(w.fleet.Key, p.Key)
			w.fleet.WriteFile(w.fleet.Cert, p.Cert)
		})
	case 2: // this side's towards clients: the certificate, and then the key
		return w.taken("front", func() { w.front.WritePair(issue(w.first, "127.0.0.1")) })
	case 3: // both roots are trusted on both sides
		w.keys.SetClientCAs(w.first, w.next)
		return w.taken("fleet", func() { w.fleet.WriteFile(w.fleet.Roots, w.first.PEM(), w.next.PEM()) })
	case 4: // all show what is by the new one
		w.keys.SetCertificate(issue(w.next, w.names()...))
		return w.taken("fleet", func() { w.fleet.WritePair(issue(w.next, "pinedale.example.org")) })
	case 5: // and the old one is taken away, while connections stand
		err := w.taken("fleet", func() { w.fleet.WriteFile(w.fleet.Roots, w.next.PEM()) })
		w.keys.SetClientCAs(w.next)
		w.first, w.next = w.next, w.root(n/6+2)
		return err
	}
	return nil
}

// request sends a request and says what was wrong with its answer, "" for nothing.
func request(transport *http.Transport, at string, pays bool, id int64) string {
	method, class := "GET", "price-check"
	if pays {
		method, class = "POST", "stall-pay"
	}
	r, err := http.NewRequest(method, at+"/"+class+"/x", nil)
	if err != nil {
		return err.Error()
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprint("r-", id))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", "20000")
	if pays {
		r.Header.Set("Idempotency-Key", fmt.Sprint("k-", id))
	}
	out, err := transport.RoundTrip(r)
	if err != nil {
		return err.Error()
	}
	_, _ = io.Copy(io.Discard, out.Body) // the status has come
	out.Body.Close()
	if out.StatusCode != http.StatusOK {
		return out.Status
	}
	return ""
}

// Broken says what must not be, "" if nothing is.
func (r *Result) Broken() string {
	var all []string
	for reason, n := range r.Failed {
		all = append(all, fmt.Sprintf("%d requests: %s", n, reason))
	}
	if len(r.Twice) > 0 {
		all = append(all, fmt.Sprintf("%d effects were done twice", len(r.Twice)))
	}
	for reason, n := range r.Security.Failed {
		if reason != "called off" { // nobody waited for it any more
			all = append(all, fmt.Sprintf("%d handshakes: %s", n, reason))
		}
	}
	return strings.Join(all, "; ")
}

// Print writes the result for a reader.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "%d rotations under %d requests: %d failed, %d effects twice\n", r.Rotations, r.Requests, sum(r.Failed), len(r.Twice))
	fmt.Fprintf(out, "handshakes with servers: %d full, %d resumed, %d failed; with clients: %d\n", r.Security.Full, r.Security.Resumed, sum(r.Security.Failed), r.Front)
	fmt.Fprintf(out, "turns for them: %d at once, %d waited for, %d refused, %d put off\n", r.Security.Turns.Now, r.Security.Turns.Waited, r.Security.Turns.Rejected, r.Security.Turns.Put)
	for name, k := range r.Keys {
		fmt.Fprintf(out, "keys %q: %d taken, %d looks kept what served\n", name, k.Accepted, k.Rejected)
	}
}

func sum(by map[string]int) (n int) {
	for _, x := range by {
		n += x
	}
	return n
}
