package secure

import (
	"context"
	"crypto/rand"
	"crypto/rsa"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/certstore/validate"
	"pinedale/internal/engine"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/tlsbackend"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/handshake"
)

// Over both protocols, a server that cannot be verified gets no request, and the log states the
// expected name, the presented one, and the reason of the failure.
func TestUnverifiedServerGetsNoRequest(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	intermediate := root.NewIntermediate("between")
	weak, err := rsa.GenerateKey(rand.Reader, 1024)
	if err != nil {
		t.Fatal(err)
	}
	revoked := issue(root, ca.Spec{})
	now := time.Now()
	anHourAgo := now.Add(-time.Hour)
	named := func(name string) *ca.Pair { return issue(root, ca.Spec{Names: []string{name}}) }
	expired := ca.Spec{NotBefore: anHourAgo.Add(-time.Hour), NotAfter: anHourAgo}
	early := ca.Spec{NotBefore: now.Add(time.Hour), NotAfter: now.Add(2 * time.Hour)}
	forClients := ca.Spec{ExtKeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	for name, c := range map[string]struct {
		pair   *ca.Pair
		reason string // of the failure; "" if the server is trusted
		log    string // text that the log event contains
	}{
		"valid":                    {issue(root, ca.Spec{}), "", ""},
		"with its intermediate":    {issue(intermediate, ca.Spec{}), "", ""},
		"without its intermediate": {issue(intermediate, ca.Spec{OmitIntermediate: true}), "chain", "between"},
		"for another name":         {named("soko-4.example.org"), "names", "presented=soko-4.example.org"},
		"for a subdomain":          {named("x." + serverName), "names", "expected=" + serverName},
		"for a wildcard":           {named("*.example.org"), "", ""},
		"by another root":          {issue(other, ca.Spec{}), "chain", "CN=other"},
		"expired":                  {issue(root, expired), "over", "valid until"},
		"not valid yet":            {issue(root, early), "early", "valid from"},
		"revoked":                  {revoked, "revoked", "is revoked"},
		"for clients only":         {issue(root, forClients), "usage", "not meant for a server"},
		"with a weak key":          {issue(root, ca.Spec{Key: weak}), "weak", "1024 bits"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.files.WriteFile(f.files.Roots, root.PEM())
			f.files.WriteFile(f.files.Revoked, root.RevocationList(revoked.Leaf))
			k := f.keyOptions(certstore.Paths{Roots: f.files.Roots, Revoked: f.files.Revoked})
			k.CertRequirements = validate.Requirements{MinRSABits: minRSABits}
			f.reopen(f.client.options, k)
			s := tlsbackend.Start(t, c.pair)
			_, tcpErr := f.handshakeTCP(target(s))
			_, quicErr := f.handshakeQUIC(target(s))
			if c.reason == "" {
				if tcpErr != nil || quicErr != nil {
					t.Errorf("trusted server was rejected: HTTP/1.1: %v; HTTP/3: %v", tcpErr, quicErr)
				}
				return
			}
			if fault := (*validate.Fault)(nil); !errors.As(tcpErr, &fault) || quicErr == nil {
				t.Errorf("untrusted server, want a validate.Fault: HTTP/1.1: %v; HTTP/3: %v", tcpErr, quicErr)
			}
			if got := f.client.Counters(); got.Failed[c.reason] != 2 || got.Full+got.Resumed != 0 {
				t.Errorf("counters %+v, want 2 failures of reason %q only", got, c.reason)
			}
			logText := f.log.String()
			if strings.Count(logText, "tls handshake failed") != 1 || !strings.Contains(logText, c.log) ||
				!strings.Contains(logText, "server=soko-3") || !strings.Contains(logText, "expected="+serverName) ||
				!strings.Contains(logText, "issuer=") {
				t.Errorf("log %q, want one event with %q", logText, c.log)
			}
			if s.Requests() != 0 {
				t.Error("a request was sent")
			}
		})
	}
}

// A handshake that the server does not complete fails within the timeout and is counted under its
// own reason. The server never gets plain text.
func TestFailedHandshakeCountsItsReason(t *testing.T) {
	for reason, behaviour := range map[string]tlsbackend.HandshakeFault{
		"silent":  tlsbackend.Unresponsive,
		"broken":  tlsbackend.Disconnect,
		"not TLS": tlsbackend.PlainHTTP,
	} {
		t.Run(reason, func(t *testing.T) {
			f := newFixture(t, func(o *Options, _ *certstore.Options) { o.Timeout = 200 * time.Millisecond })
			endpoint := &engine.Target{Name: "soko-3", Address: tlsbackend.ListenFaulty(t, behaviour)}
			if _, err := f.handshakeTCP(endpoint); err == nil || f.client.Counters().Failed[reason] != 1 {
				t.Errorf("error %v, failures %v, want 1 of reason %q", err, f.client.Counters().Failed, reason)
			}
		})
	}
	t.Run("noise", func(t *testing.T) {
		f := newFixture(t)
		endpoint := &engine.Target{Name: "soko-3", Address: tlsbackend.ListenFaulty(t, tlsbackend.Garbage)}
		if _, err := f.handshakeTCP(endpoint); err == nil {
			t.Error("a server that sends garbage is accepted")
		}
	})
	t.Run("an older version", func(t *testing.T) {
		f := newFixture(t)
		s := tlsbackend.Start(t, issue(f.root, ca.Spec{}))
		s.SetMaxVersion(tls.VersionTLS12)
		if _, err := f.handshakeTCP(target(s)); err == nil {
			t.Error("TLS 1.2 is accepted where 1.3 is the minimum")
		}
		k := f.keyOptions(certstore.Paths{Roots: f.files.Roots})
		k.MinTLSVersion = tls.VersionTLS12
		f.reopen(f.client.options, k)
		if _, err := f.handshakeTCP(target(s)); err != nil {
			t.Errorf("TLS 1.2 is rejected where the configuration allows it: %v", err)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		f := newFixture(t)
		raw, err := net.Dial("tcp", tlsbackend.ListenFaulty(t, tlsbackend.Unresponsive))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		endpoint := &engine.Target{Name: "soko-3", Address: raw.RemoteAddr().String()}
		_, err = f.client.Secure(ctx, endpoint, raw)
		if err == nil || f.client.Counters().Failed["called off"] != 1 {
			t.Errorf("error %v, failures %v, want 1 of reason %q", err, f.client.Counters().Failed, "called off")
		}
	})
}

// The same failure of the same server is logged once per interval, however often it occurs.
func TestRepeatedFailureIsLoggedOncePerInterval(t *testing.T) {
	f := newFixture(t)
	s := tlsbackend.Start(t, issue(ca.New(t, "other"), ca.Spec{}))
	for range 5 {
		if _, err := f.handshakeTCP(target(s)); err == nil {
			t.Error("a server with a certificate of an unknown authority is trusted")
		}
	}
	f.clockOffset.Store(int64(logInterval))
	if _, err := f.handshakeTCP(target(s)); err == nil {
		t.Error("a server with a certificate of an unknown authority is trusted")
	}
	if n := f.log.Count("tls handshake failed"); n != 2 || f.client.Counters().Failed["chain"] != 6 {
		t.Errorf("%d log events, failures %v; want 2 events and 6 failures of reason %q",
			n, f.client.Counters().Failed, "chain")
	}
}

// The client presents its current certificate to servers that require one.
func TestClientPresentsItsCurrentCertificate(t *testing.T) {
	f := newFixture(t)
	f.files.WritePair(issue(f.root, ca.Spec{Names: []string{"pinedale.example.org"}}))
	f.reopen(f.client.options, f.keyOptions(certstore.Paths{
		Cert:  f.files.Cert,
		Key:   f.files.Key,
		Roots: f.files.Roots,
	}))
	s := tlsbackend.Start(t, issue(f.root, ca.Spec{}))
	s.SetClientCAs(f.root)
	if _, err := f.handshakeTCP(target(s)); err != nil {
		t.Errorf("HTTP/1.1 handshake failed: %v", err)
	}
	if _, err := f.handshakeQUIC(target(s)); err != nil {
		t.Errorf("HTTP/3 handshake failed: %v", err)
	}
	s.SetClientCAs(ca.New(t, "other")) // in TLS 1.3 the client is notified at its first read
	if _, err := f.handshakeTCP(&engine.Target{Name: "soko-3", Address: s.Address}); err == nil {
		t.Error("a server that does not trust the client's certificate has responded")
	}
}

// If the rate limit allows no handshake in time, AwaitTurn fails with ErrFull at once, so that the
// request is sent elsewhere. Health checks get no turn that a request may need.
func TestTurnRejectsAtOnceWithoutBudget(t *testing.T) {
	f := newFixture(t, func(o *Options, _ *certstore.Options) {
		o.Budget = handshake.Config{PerServer: 0.5, All: 0.5, InitialWarmupRatio: 1, Burst: 2}
		o.Timeout = time.Second
	})
	endpoint := &engine.Target{Name: "soko-3", Address: "127.0.0.1:1"}
	ctx := context.Background()
	if err := f.client.AwaitTurn(attempt.ForProbe(ctx), endpoint); err != nil {
		t.Errorf("health check with the full burst left: %v", err)
	}
	if err := f.client.AwaitTurn(attempt.ForProbe(ctx), endpoint); !errors.Is(err, attempt.ErrFull) {
		t.Errorf("health check with half of the burst left: %v, want ErrFull", err)
	}
	f.clockOffset.Store(int64(4 * time.Second))
	if err := f.client.AwaitTurn(ctx, endpoint); err != nil {
		t.Errorf("request with the burst restored: %v", err)
	}
	expiring, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if err := f.client.AwaitTurn(expiring, endpoint); !errors.Is(err, attempt.ErrFull) {
		t.Errorf("request without time left: %v, want ErrFull", err)
	}
	if got := f.client.Counters().Turns; got != (handshake.Counts{Immediate: 2, Deferred: 1, Rejected: 1}) {
		t.Errorf("counts %+v, want 2 immediate, 1 deferred, 1 rejected", got)
	}
}
