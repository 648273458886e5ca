package app

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/wait"
)

// startTLSFronts starts an instance whose fronts require client certificates of an authority.
func startTLSFronts(t *testing.T, root *ca.Authority) *tlsInstance {
	t.Helper()
	backends := [2]*ca.Pair{root.IssueFor(time.Hour, "s-0.example.org"), root.IssueFor(time.Hour, "s-1.example.org")}
	return startTLSInstance(t, root, backends, fmt.Sprintf(upstreamKeysFormat, false), frontKeys)
}

// clientTLS returns the configuration of a client that trusts an authority and presents a certificate, nil for none.
func clientTLS(t *testing.T, root *ca.Authority, presented *ca.Pair) *tls.Config {
	t.Helper()
	config := &tls.Config{RootCAs: x509.NewCertPool()}
	config.RootCAs.AddCert(root.Cert)
	if presented != nil {
		pair, err := tls.X509KeyPair(presented.Cert, presented.Key)
		if err != nil {
			t.Fatal(err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config
}

// newTLSClient returns an HTTP client with connections of its own.
func newTLSClient(t *testing.T, config *tls.Config) *http.Client {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: config}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// openStream opens a stream to the external processor and closes it. It returns an error if the stream is not admitted.
func openStream(t *testing.T, address string, config *tls.Config) error {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(credentials.NewTLS(config)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), wait.Timeout)
	defer cancel()
	stream, err := extprocv3.NewExternalProcessorClient(conn).Process(ctx)
	if err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	if _, err = stream.Recv(); errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// The HTTP/1.1 front with TLS rejects clients without a certificate or with one of an untrusted root, and requests
// of a revoked client on an established connection.
func TestHTTPFrontRequiresTrustedClientCertificate(t *testing.T) {
	root, untrusted := ca.New(t, "root"), ca.New(t, "other")
	i := startTLSFronts(t, root)
	trusted := root.IssueFor(time.Hour, "clerk.example.org")
	trustedClient := newTLSClient(t, clientTLS(t, root, trusted))
	if statusCode, err := i.sendPriceCheck(trustedClient, "https"); statusCode != http.StatusOK {
		t.Fatalf("a trusted client: status %d, error %v, want status 200", statusCode, err)
	}
	for _, test := range []struct {
		name      string
		presented *ca.Pair
	}{
		{"no certificate", nil},
		{"an untrusted root", untrusted.IssueFor(time.Hour, "clerk.example.org")},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newTLSClient(t, clientTLS(t, root, test.presented))
			if statusCode, err := i.sendPriceCheck(client, "https"); err == nil {
				t.Errorf("request was answered with status %d, want an error", statusCode)
			}
		})
	}
	i.files.WriteFile(i.files.Revoked, root.RevocationList(trusted.Leaf))
	i.stores.reload()
	if statusCode, err := i.sendPriceCheck(trustedClient, "https"); statusCode != http.StatusForbidden {
		t.Errorf("revoked, on an established connection: status %d, error %v, want status 403", statusCode, err)
	}
	if statusCode, err := i.sendPriceCheck(trustedClient, "https"); err == nil {
		t.Errorf("revoked, on a new connection: status %d, want an error", statusCode)
	}
}

// The external processor with TLS rejects proxies with a certificate of an untrusted root.
func TestExtProcRequiresTrustedClientCertificate(t *testing.T) {
	root, untrusted := ca.New(t, "root"), ca.New(t, "other")
	i := startTLSFronts(t, root)
	trusted := clientTLS(t, root, root.IssueFor(time.Hour, "proxy.example.org"))
	if err := openStream(t, i.ExtProc.String(), trusted); err != nil {
		t.Errorf("a trusted proxy: %v", err)
	}
	untrustedTLS := clientTLS(t, root, untrusted.IssueFor(time.Hour, "proxy.example.org"))
	if openStream(t, i.ExtProc.String(), untrustedTLS) == nil {
		t.Error("a proxy of an untrusted root was admitted")
	}
}
