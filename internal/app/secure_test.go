package app

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"pinedale/internal/certstore"
	"pinedale/internal/config"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/tlsbackend"
	"pinedale/internal/standin/wait"
)

// tlsInstance is an instance whose two servers use TLS, each with a certificate of its own.
type tlsInstance struct {
	*Instance
	t          *testing.T
	root       *ca.Authority
	files      *ca.Folder
	serverKeys [2]*tlsbackend.Credentials
	fleet      [2]*fakebackend.Fleet
	log        logcapture.Buffer
	ids        int
	text       string
}

func issueNow(a *ca.Authority, names ...string) *ca.Pair {
	return a.Issue(ca.Spec{Names: names, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)})
}

// startTLSInstance starts an instance with these parts of a file, in which "@" stands for the folder of its keys, and
// two servers with these certificates.
func startTLSInstance(t *testing.T, root *ca.Authority, first, second *ca.Pair, parts ...string) *tlsInstance {
	t.Helper()
	w := &tlsInstance{t: t, root: root, files: ca.NewFolder(t)}
	w.files.WriteFile(w.files.Roots, root.PEM())
	w.files.WriteFile(w.files.Revoked, root.RevocationList())
	w.files.WritePair(issueNow(root, "127.0.0.1"))
	folder := strings.TrimSuffix(w.files.Cert, "cert.pem")
	w.text = runningHead + priceClass + payClass + strings.ReplaceAll(strings.Join(parts, ""), "@", folder)
	if strings.Contains(w.text, `name = "front"`) {
		for _, section := range []string{"[http]\n", "[ext_proc]\n"} {
			w.text = strings.Replace(w.text, section, section+"keys = \"front\"\n", 1)
		}
	}
	for n, p := range []*ca.Pair{first, second} {
		w.serverKeys[n] = tlsbackend.NewCredentials(t, p)
		w.fleet[n] = &fakebackend.Fleet{TLS: w.serverKeys[n].ServerConfig}
		s, err := w.fleet[n].Start(fmt.Sprint("s-", n), n)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		w.text += serverSection(s, n)
	}
	f, err := config.Parse([]byte(w.text))
	if err != nil {
		t.Fatal(err)
	}
	if w.Instance, err = Start(f, w.log.Logger()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.Shutdown()
		if err := w.Wait(); err != nil {
			t.Error(err)
		}
	})
	if err := w.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return w
}

// get sends a price check with a client and returns the status code.
func (w *tlsInstance) get(client *http.Client, scheme string) (int, error) {
	w.ids++
	in, err := http.NewRequest("GET", scheme+"://"+w.HTTP.String()+"/price-check/x", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	setPriceHeaders(in, fmt.Sprint("g-", w.ids))
	out, err := client.Do(in)
	if err != nil {
		return 0, err
	}
	defer out.Body.Close()
	if _, err := io.Copy(io.Discard, out.Body); err != nil {
		return 0, err
	}
	return out.StatusCode, nil
}

// upstreamKeys configures TLS towards servers.
const upstreamKeys = "[upstream]\nkeys = \"fleet\"\nverify = \"{name}.example.org\"\nhttp3 = %t\n" +
	"[[keys]]\nname = \"fleet\"\nroots_file = \"@roots.pem\"\nrevoked_file = \"@revoked.pem\"\n"

// A server presents the certificate of another, an expired one, or one of an unknown root: over either protocol it
// gets no request, and the other server answers all of them. The counters name the reason.
func TestRequestsAvoidServersThatFailVerification(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	expiry := time.Now().Add(-time.Hour)
	for reason, presented := range map[string]*ca.Pair{
		"names": issueNow(root, "s-1.example.org"),
		"chain": issueNow(other, "s-0.example.org"),
		"over":  root.Issue(ca.Spec{Names: []string{"s-0.example.org"}, NotBefore: expiry.Add(-time.Hour), NotAfter: expiry}),
	} {
		for _, http3 := range []bool{false, true} {
			t.Run(fmt.Sprint(reason, http3), func(t *testing.T) {
				w := startTLSInstance(t, root, presented, issueNow(root, "s-1.example.org"), fmt.Sprintf(upstreamKeys, http3))
				for n := range 30 {
					if code, err := w.get(http.DefaultClient, "http"); code != 200 {
						t.Fatalf("request %d: %d, %v", n, code, err)
					}
				}
				if w.fleet[0].Counts().Requests != 0 || w.fleet[1].Counts().Executed < 30 {
					t.Errorf("requests went to %+v and %+v", w.fleet[0].Counts(), w.fleet[1].Counts())
				}
				wait.Until(t, "the failed handshake", func() bool {
					counters, ok := w.HandshakeCounters()
					return ok && counters.Failed[reason] > 0
				})
				w.logCounters()
				logged := w.log.String()
				if !strings.Contains(logged, "expected=s-0.example.org") ||
					!strings.Contains(logged, "failed=map["+reason) {
					t.Errorf("the log says %s", logged)
				}
			})
		}
	}
}

// All certificates of a fleet expire: nothing is sent, every request is answered at once, and only peers_over lets
// the servers be used, for no longer than it says.
func TestExpiredFleetIsRejectedUnlessGraceAllows(t *testing.T) {
	root := ca.New(t, "root")
	expired := func(name string) *ca.Pair {
		return root.Issue(ca.Spec{
			Names:     []string{name},
			NotBefore: time.Now().Add(-3 * time.Hour),
			NotAfter:  time.Now().Add(-time.Hour),
		})
	}
	start := func(grace string) *tlsInstance {
		return startTLSInstance(t, root, expired("s-0.example.org"), expired("s-1.example.org"),
			fmt.Sprintf(upstreamKeys, false), grace)
	}
	w := start("")
	for range 5 {
		began := time.Now()
		if code, err := w.get(http.DefaultClient, "http"); code != 503 && code != 502 || time.Since(began) > 2*time.Second {
			t.Errorf("%d, %v after %v of 3 s", code, err, time.Since(began))
		}
	}
	if w.fleet[0].Counts().Requests+w.fleet[1].Counts().Requests != 0 {
		t.Error("something was sent")
	}
	w = start("peers_over = \"2h\"\n")
	for range 5 {
		if code, err := w.get(http.DefaultClient, "http"); code != 200 {
			t.Errorf("within the grace: %d, %v", code, err)
		}
	}
	w = start("peers_over = \"30m\"\n")
	if code, _ := w.get(http.DefaultClient, "http"); code == 200 {
		t.Error("expired for longer than the grace")
	}
}

// Fronts with TLS reject clients without a certificate or with one of an untrusted root, and requests of a revoked
// client on an established connection.
func TestFrontsRequireTrustedClientCertificates(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	w := startTLSInstance(t, root, issueNow(root, "s-0.example.org"), issueNow(root, "s-1.example.org"),
		fmt.Sprintf(upstreamKeys, false),
		"[[keys]]\nname = \"front\"\ncert_file = \"@cert.pem\"\nkey_file = \"@key.pem\"\n"+
			"roots_file = \"@roots.pem\"\nrevoked_file = \"@revoked.pem\"\nreplace_within = \"1h\"\n")
	roots := x509.NewCertPool()
	roots.AddCert(root.Cert)
	tlsConfig := func(p *ca.Pair) *tls.Config {
		c := &tls.Config{RootCAs: roots}
		if p != nil {
			pair, err := tls.X509KeyPair(p.Cert, p.Key)
			if err != nil {
				t.Fatal(err)
			}
			c.Certificates = []tls.Certificate{pair}
		}
		return c
	}
	client := func(p *ca.Pair) *http.Client {
		transport := &http.Transport{TLSClientConfig: tlsConfig(p)}
		t.Cleanup(transport.CloseIdleConnections)
		return &http.Client{Transport: transport}
	}
	known := issueNow(root, "clerk.example.org")
	clerk := client(known)
	if code, err := w.get(clerk, "https"); code != 200 {
		t.Fatalf("a trusted client: %d, %v", code, err)
	}
	for condition, p := range map[string]*ca.Pair{
		"no certificate":    nil,
		"an untrusted root": issueNow(other, "clerk.example.org"),
	} {
		if code, err := w.get(client(p), "https"); err == nil {
			t.Errorf("a client with %s: %d", condition, code)
		}
	}
	processor := func(p *ca.Pair) error {
		c, err := grpc.NewClient(w.ExtProc.String(), grpc.WithTransportCredentials(credentials.NewTLS(tlsConfig(p))))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), wait.Timeout)
		defer cancel()
		s, err := extprocv3.NewExternalProcessorClient(c).Process(ctx)
		if err != nil {
			return err
		}
		if err := s.CloseSend(); err != nil {
			return err
		}
		if _, err = s.Recv(); errors.Is(err, io.EOF) {
			err = nil
		}
		return err
	}
	if err := processor(known); err != nil {
		t.Errorf("a trusted proxy: %v", err)
	}
	if processor(issueNow(other, "proxy.example.org")) == nil {
		t.Error("a proxy of an untrusted root was admitted")
	}
	w.files.WriteFile(w.files.Revoked, root.RevocationList(known.Leaf))
	w.stores.reload()
	if code, err := w.get(clerk, "https"); code != 403 {
		t.Errorf("revoked, on an established connection: %d, %v", code, err)
	}
	if code, err := w.get(clerk, "https"); err == nil {
		t.Errorf("revoked, on a new one: %d", code)
	}
}

// Errors of the keys sections name the key of the file; the reports of a valid file name users, certificates, roots
// and servers. None of them contains a private key.
func TestKeysSectionErrorsAndReports(t *testing.T) {
	root := ca.New(t, "root")
	w := startTLSInstance(t, root, issueNow(root, "s-0.example.org"), issueNow(root, "s-1.example.org"),
		fmt.Sprintf(upstreamKeys, false),
		"[[keys]]\nname = \"front\"\ncert_file = \"@cert.pem\"\nkey_file = \"@key.pem\"\nnames = [\"127.0.0.1\"]\n")
	front, ups := "[http]\nkeys = \"front\"\n", "[upstream]\nkeys = \"fleet\"\n"
	for _, c := range []struct{ from, to, key, reason string }{
		{front, "[http]\nkeys = \"back\"\n", "http.keys", "not the name of a [[keys]]"},
		{front, "[http]\nkeys = \"fleet\"\n", "http.keys", "has no certificate"},
		{front, "[http3]\nkeys = \"front\"\n" + front, "http3.keys", "not switched on"},
		{ups, "[upstream]\nkeys = \"front\"\n", "upstream.keys", "has no roots_file"},
		{ups, "[upstream]\n", "upstream.verify", "plain text"},
		{"verify = \"{name}.example.org\"\n", "", "server[0].verify", "no name is known"},
		{"{name}.example.org", "*.example.org", "upstream.verify", "no host name"},
		{ups, ups + "handshakes = 0\n", "upstream.handshakes", "1 to 1e6"},
		{ups, ups + "handshakes_all = nan\n", "upstream.handshakes_all", "1 to 1e6"},
		{ups, ups + "handshake_burst = 0.5\n", "upstream.handshake_burst", "1 to 1e6"},
		{ups, ups + "handshake_timeout = \"0s\"\n", "upstream.handshake_timeout", "not positive"},
		{ups, ups + "sessions = 0\n", "upstream.sessions", "1 to 1000000"},
		{"name = \"front\"\n", "name = \"\"\n", "keys[1].name", "missing"},
		{"name = \"front\"\n", "name = \"fleet\"\n", "keys[1].name", "twice"},
		{"name = \"front\"\n", "name = \"front\"\nleast_tls = \"1.1\"\n", "keys[1].least_tls", "neither 1.3 nor 1.2"},
		{"name = \"front\"\n", "name = \"front\"\nleast_rsa = 1024\n", "keys[1].least_rsa", "2048 to 16384"},
		{"name = \"front\"\n", "name = \"front\"\npeers_over = \"-1s\"\n", "keys[1].peers_over", "0s to 720h"},
		{"name = \"front\"\n", "name = \"front\"\nreplace_within = \"-1s\"\n", "keys[1].replace_within", "negative"},
		{"name = \"front\"\n", "name = \"front\"\nrevoked_file = \"x\"\n", "keys[1].revoked_file", "no roots_file"},
		{"names = [\"127.0.0.1\"]", "names = [\"10.0.0.1\"]", "keys[1].cert_file", "not for 10.0.0.1"},
		{"names = [\"127.0.0.1\"]", "names = [\"a b\"]", "keys[1].names", "no host name"},
		{"key_file = \"" + w.files.Key + "\"\n", "", "keys[1].key_file", "together"},
		{w.files.Key, w.files.Roots, "keys[1].key_file", "no private key"},
		{w.files.Roots, w.files.Roots + "x", "keys[0].roots_file", "no such file"},
		{
			"revoked_file = \"" + w.files.Revoked, "revoked_file = \"" + w.files.Roots,
			"keys[0].revoked_file", "no revocation list",
		},
		{"pod = 1\n", "pod = 1\nverify = \"{name}.example.org\"\n", "server[1].verify", "no host name"},
	} {
		text := strings.Replace(w.text, c.from, c.to, 1)
		if text == w.text {
			t.Fatalf("%q is not in the file", c.from)
		}
		_, err := config.Parse([]byte(text))
		message := ""
		if err != nil {
			message = err.Error()
		}
		if !strings.Contains(message, c.key+": ") || !strings.Contains(message, c.reason) ||
			strings.Contains(message, "PRIVATE") {
			t.Errorf("%q for %q: %q, want %s, %s", c.to, c.from, message, c.key, c.reason)
		}
	}
	f, err := config.Parse([]byte(w.text))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := f.ShowKeys(&out, time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, wantText := range []string{
		`keys "front", used by http, ext_proc`,
		`keys "fleet", used by upstream`,
		"shows 127.0.0.1, ECDSA P-256, by CN=root",
		"trusts CN=root",
		"revokes 0 of CN=root",
		`server "s-1" must be s-1.example.org`,
	} {
		if !strings.Contains(out.String(), wantText) || strings.Contains(out.String(), "PRIVATE") {
			t.Errorf("the report is\n%swant %q", out.String(), wantText)
		}
	}
	next := ca.NewFolder(t)
	next.WritePair(issueNow(root, "10.0.0.1"))
	err = f.VerifyKeys("front", certstore.Paths{Cert: next.Cert, Key: next.Key})
	if err == nil || !strings.Contains(err.Error(), "names: cert") {
		t.Errorf("files for another name: %v", err)
	}
	err = f.VerifyKeys("front", certstore.Paths{Cert: next.Cert})
	if err == nil || !strings.Contains(err.Error(), "mismatch") {
		t.Errorf("a certificate without its key: %v", err)
	}
	next.WritePair(issueNow(root, "127.0.0.1"))
	if err := f.VerifyKeys("front", certstore.Paths{Cert: next.Cert, Key: next.Key}); err != nil {
		t.Errorf("good files: %v", err)
	}
	if err := f.VerifyKeys("back", certstore.Paths{}); err == nil {
		t.Error("an unknown name of keys")
	}
}
