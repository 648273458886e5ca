package tlscost

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pinedale/internal/config"
	"pinedale/internal/measure/process"
)

// TestMain runs a server, client or proxy if the test executable was started as one, and the tests otherwise.
func TestMain(m *testing.M) {
	started, err := process.Main(Kinds)
	if !started {
		os.Exit(m.Run())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// The client's process fails if a handshake is not of the kind that is measured.
func TestHandshakesOverTCPAreFullOrResumedAsMeasured(t *testing.T) {
	for i := range handshakeCases {
		c := &handshakeCases[i]
		if c.protocol == protocolHTTP3 || c.newKey != nil {
			continue // tickets over QUIC are awaited for a fixed time, and RSA keys take long to make
		}
		t.Run(c.name, func(t *testing.T) {
			row, err := c.measure(t.TempDir(), 1, 5)
			if err != nil {
				t.Fatal(err)
			}
			for k, kind := range handshakeKinds {
				if row.Median[k] <= 0 || row.P99[k] < row.Median[k] || row.Client[k] <= 0 || row.Server[k] <= 0 {
					t.Errorf("%s: %+v, want positive times and a 99th percentile not below the median", kind, row)
				}
			}
			var out bytes.Buffer
			if (HandshakeRows{*row}).Print(&out); strings.Count(out.String(), "\n") != 2 {
				t.Errorf("Print wrote %q, want 2 lines", out.String())
			}
		})
	}
}

func TestClientReportIsReadAsWritten(t *testing.T) {
	written := &clientReport{median: time.Millisecond, p99: 2 * time.Millisecond, cpu: 3 * time.Microsecond}
	read, err := parseClientReport(strings.TrimSpace(written.String()))
	if err != nil || *read != *written {
		t.Errorf("got %+v, error %v, want %+v", read, err, written)
	}
	if _, err := parseClientReport("1 2"); err == nil {
		t.Error("a report without CPU time is accepted")
	}
}

func TestProxyConfigIsValidForEveryFront(t *testing.T) {
	_, proxy, err := writeIdentities(t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range proxyCases {
		t.Run(c.name, func(t *testing.T) {
			text := proxyConfig(proxy.files, "127.0.0.1:1", c.front)
			if _, err := config.Parse([]byte(text)); err != nil {
				t.Errorf("%v in\n%s", err, text)
			}
		})
	}
}
