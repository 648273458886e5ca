package app

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/standin/ca"
)

// The HTTP/3 front's certificate is replaced repeatedly, file by file, during requests on established and on new
// connections: none fails, and new connections get the new certificate.
func TestCertificateRotationFailsNoRequest(t *testing.T) {
	root := ca.New(t, "root")
	dir := t.TempDir()
	put := func(name string, data []byte) {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path+".new", data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	issue := func() *ca.Pair {
		return issueNow(root, "127.0.0.1")
	}
	first := issue()
	put("cert", first.Cert)
	put("key", first.Key)
	r := startRunning(t, 0, priceClass, payClass, http3Section(dir))
	roots := x509.NewCertPool()
	roots.AddCert(root.Cert)
	var shown sync.Map // serial numbers that clients have seen
	config := &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", VerifyConnection: func(s tls.ConnectionState) error {
		shown.Store(s.PeerCertificates[0].SerialNumber.String(), true)
		return nil
	}}
	sendRequest := func(client *http3.Transport, id string) error {
		in, err := http.NewRequest("GET", "https://"+r.HTTP3.String()+"/price-check/x", nil)
		if err != nil {
			return err
		}
		setPriceHeaders(in, id)
		out, err := client.RoundTrip(in)
		if err != nil {
			return err
		}
		defer out.Body.Close()
		if _, err := io.Copy(io.Discard, out.Body); err != nil {
			return err
		}
		if out.StatusCode != 200 {
			return fmt.Errorf("answered %d", out.StatusCode)
		}
		return nil
	}
	established := &http3.Transport{TLSClientConfig: config}
	defer established.Close()
	for n := range 20 {
		next := issue()
		put("key", next.Key)
		r.stores.reload() // one file of two has changed: nothing may change
		fresh := &http3.Transport{TLSClientConfig: config}
		if err := sendRequest(fresh, fmt.Sprint("partial-", n)); err != nil {
			t.Fatalf("change %d, one file: %v", n, err)
		}
		fresh.Close()
		put("cert", next.Cert)
		r.stores.reload()
		for i, client := range []*http3.Transport{established, {TLSClientConfig: config}} {
			if err := sendRequest(client, fmt.Sprint("complete-", n, "-", i)); err != nil {
				t.Fatalf("change %d, client %d: %v", n, i, err)
			}
			if i == 1 {
				client.Close()
			}
		}
		if _, ok := shown.Load(next.Leaf.SerialNumber.String()); !ok {
			t.Fatalf("change %d: no client has seen the new certificate", n)
		}
	}
}
