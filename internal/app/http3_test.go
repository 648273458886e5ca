package app

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/cert"
)

// rotations is how many times the HTTP/3 front's certificate is replaced.
const rotations = 20

// startHTTP3 starts an instance with an HTTP/3 front, whose certificate is in a folder.
func startHTTP3(t *testing.T, files *ca.Folder) *testInstance {
	t.Helper()
	return startTestInstance(t, 0, priceClass, payClass, fmt.Sprintf(http3Format, files.Cert, files.Key))
}

// sendPriceCheckViaHTTP3 sends a price check to the HTTP/3 front. It returns an error unless the status is 200.
func (r *testInstance) sendPriceCheckViaHTTP3(client *http3.Transport) error {
	request := newRequest(http.MethodGet, "https://"+r.HTTP3.String()+"/price-check/x", priceHeaders...)
	statusCode, _, err := roundTrip(client.RoundTrip, request)
	if err == nil && statusCode != http.StatusOK {
		err = fmt.Errorf("status %d, want 200", statusCode)
	}
	return err
}

// HTTP/3 is served next to HTTP/1.1 by the same engine, and advertised to clients of HTTP/1.1.
func TestHTTP3IsServedAndAdvertised(t *testing.T) {
	pair := cert.New(t)
	files := ca.NewFolder(t)
	files.WriteFile(files.Cert, pair.Cert)
	files.WriteFile(files.Key, pair.Key)
	r := startHTTP3(t, files)
	_, header := r.do(r.newPriceCheck())
	want := fmt.Sprintf(`h3=":%d"; ma=3600`, r.HTTP3.(*net.UDPAddr).Port)
	if header.Get("Alt-Svc") != want {
		t.Errorf("Alt-Svc: %q, want %q", header.Get("Alt-Svc"), want)
	}
	client := &http3.Transport{TLSClientConfig: pair.Client}
	defer client.Close()
	if err := r.sendPriceCheckViaHTTP3(client); err != nil {
		t.Fatal(err)
	}
}

// The HTTP/3 front's certificate is replaced repeatedly, file by file, during requests on established and on new
// connections: none fails, and new connections get the new certificate.
func TestCertificateRotationFailsNoRequest(t *testing.T) {
	root := ca.New(t, "root")
	files := ca.NewFolder(t)
	files.WritePair(root.IssueFor(time.Hour, "127.0.0.1"))
	r := startHTTP3(t, files)
	roots := x509.NewCertPool()
	roots.AddCert(root.Cert)
	var presented sync.Map // serial numbers that clients have seen
	tlsConfig := &tls.Config{
		RootCAs:    roots,
		ServerName: "127.0.0.1",
		VerifyConnection: func(state tls.ConnectionState) error {
			presented.Store(state.PeerCertificates[0].SerialNumber.String(), true)
			return nil
		},
	}
	requireServed := func(rotation int, condition string, client *http3.Transport) {
		t.Helper()
		if err := r.sendPriceCheckViaHTTP3(client); err != nil {
			t.Fatalf("rotation %d, %s: %v", rotation, condition, err)
		}
	}
	requireServedOnNewConnection := func(rotation int, condition string) {
		t.Helper()
		client := &http3.Transport{TLSClientConfig: tlsConfig}
		defer client.Close()
		requireServed(rotation, condition, client)
	}
	established := &http3.Transport{TLSClientConfig: tlsConfig}
	defer established.Close()
	for rotation := range rotations {
		next := root.IssueFor(time.Hour, "127.0.0.1")
		files.WriteFile(files.Key, next.Key)
		r.stores.reload() // the certificate does not match the new key yet, so the old pair must stay in use
		requireServedOnNewConnection(rotation, "one file replaced")
		files.WriteFile(files.Cert, next.Cert)
		r.stores.reload()
		requireServed(rotation, "established connection", established)
		requireServedOnNewConnection(rotation, "both files replaced")
		if _, ok := presented.Load(next.Leaf.SerialNumber.String()); !ok {
			t.Fatalf("rotation %d: no client has seen the new certificate", rotation)
		}
	}
}
