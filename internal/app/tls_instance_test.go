package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/tlsbackend"
)

const (
	// upstreamKeysFormat configures TLS for connections to servers. Its verb is upstream.http3.
	upstreamKeysFormat = `[upstream]
keys = "fleet"
verify = "{name}.example.org"
http3 = %t
[[keys]]
name = "fleet"
roots_file = "@roots.pem"
revoked_file = "@revoked.pem"
`
	// frontKeys configures TLS on both fronts, with client certificates.
	frontKeys = `[[keys]]
name = "front"
cert_file = "@cert.pem"
key_file = "@key.pem"
roots_file = "@roots.pem"
revoked_file = "@revoked.pem"
replace_within = "1h"
`
)

// tlsInstance is an instance whose two backends use TLS, each with a certificate of its own.
type tlsInstance struct {
	*Instance
	files  *ca.Folder
	fleets [2]*fakebackend.Fleet // one for each backend
	log    logcapture.Buffer
}

// issueExpired returns a certificate that expired an hour ago.
func issueExpired(authority *ca.Authority, names ...string) *ca.Pair {
	return authority.Issue(ca.Spec{
		Names:     names,
		NotBefore: time.Now().Add(-3 * time.Hour),
		NotAfter:  time.Now().Add(-time.Hour),
	})
}

// startTLSInstance starts an instance with these sections of a file, in which "@" stands for the folder of its keys,
// and two backends with these certificates, and waits until it is ready.
func startTLSInstance(t *testing.T, root *ca.Authority, backends [2]*ca.Pair, sections ...string) *tlsInstance {
	t.Helper()
	i := &tlsInstance{files: ca.NewFolder(t)}
	i.files.WriteFile(i.files.Roots, root.PEM())
	i.files.WriteFile(i.files.Revoked, root.RevocationList())
	i.files.WritePair(root.IssueFor(time.Hour, "127.0.0.1"))
	folder := strings.TrimSuffix(i.files.Cert, "cert.pem")
	text := fileHead + priceClass + payClass + strings.ReplaceAll(strings.Join(sections, ""), "@", folder)
	if strings.Contains(text, `name = "front"`) {
		for _, section := range []string{"[http]\n", "[ext_proc]\n"} {
			text = strings.Replace(text, section, section+`keys = "front"`+"\n", 1)
		}
	}
	for n, pair := range backends {
		i.fleets[n] = &fakebackend.Fleet{TLS: tlsbackend.NewCredentials(t, pair).ServerConfig}
		text += serverSection(i.fleets[n].MustStart(t, fmt.Sprint("s-", n), n), n)
	}
	i.Instance = startInstance(t, text, i.log.Logger())
	if err := i.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return i
}

// sendPriceCheck sends a price check to the HTTP/1.1 front and returns the status code.
func (i *tlsInstance) sendPriceCheck(client *http.Client, scheme string) (int, error) {
	request := newRequest(http.MethodGet, scheme+"://"+i.HTTP.String()+"/price-check/x", priceHeaders...)
	statusCode, _, err := roundTrip(client.Do, request)
	return statusCode, err
}
