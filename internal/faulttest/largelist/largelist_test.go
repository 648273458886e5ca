package largelist

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// sidecarProgram is the path of pinedale, which TestMain builds in the same way as the platform.
var sidecarProgram string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "largelist-test-")
	if err == nil {
		sidecarProgram = filepath.Join(dir, "pinedale")
		var output []byte
		output, err = exec.Command("go", "build", "-o", sidecarProgram, "pinedale/cmd/pinedale").CombinedOutput()
		fmt.Fprint(os.Stderr, string(output))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// The numbers of servers that are compared: the usual size of the list, and the size in production.
const (
	usualServers = 200
	manyServers  = 3200
)

// The bounds of the page "What production adds": how much more a sidecar may need with manyServers than with
// usualServers.
const (
	minServedRatio       = 0.85
	processorRatio       = 1.4
	processorPerThousand = 30 * time.Millisecond
	processorExtra       = 20 * time.Millisecond
	memoryRatio          = 1.5
	memoryExtra          = 8 << 20
	memoryPerThousand    = 4 << 20
	descriptorRatio      = 2
	descriptorExtra      = 40
	connectionRatio      = 2.5
	connectionExtra      = 40
	listRatio            = 2
	listExtra            = 64_000
	listPerThousand      = 500_000
)

const (
	testSidecars = 4
	testSeed     = 1
)

// run runs a release with n servers.
func run(t *testing.T, n int, throttle Throttle) *Report {
	t.Helper()
	report, err := Run(t.Context(), Options{
		Program:  sidecarProgram,
		Dir:      t.TempDir(),
		Seed:     testSeed,
		Servers:  n,
		Sidecars: testSidecars,
		Rate:     25,
		Duration: 9 * time.Second,
		Release:  true,
		Throttle: throttle,
	})
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	report.Print(&text)
	t.Logf("%d servers: %s", n, text.String())
	return report
}

// servedRatio returns the ratio of served requests among those that were not cancelled.
func (p *Report) servedRatio() float64 { return float64(p.Served) / float64(p.Requests-p.Cancelled) }

func TestEveryRequestIsAnsweredWithThousandsOfServersAndLittleProcessorTime(t *testing.T) {
	defer goleak.VerifyNone(t)
	throttle := Throttle{Running: 2 * time.Millisecond, Stopped: 30 * time.Millisecond}
	usual, large := run(t, usualServers, throttle), run(t, manyServers, throttle)
	for _, report := range []*Report{usual, large} {
		if len(report.Losses) > 0 {
			t.Errorf("%d of %d requests lost", len(report.Losses), report.Requests)
		}
	}
	if large.servedRatio() < minServedRatio*usual.servedRatio() {
		t.Errorf("ratio of served requests: %.3f with %d servers, %.3f with %d, want at least %v of the latter",
			large.servedRatio(), manyServers, usual.servedRatio(), usualServers, minServedRatio)
	}
}

func TestResourcesDoNotGrowWithTheList(t *testing.T) {
	usual, large := run(t, usualServers, Throttle{}), run(t, manyServers, Throttle{})
	thousands := float64(manyServers) / 1000
	for _, c := range []struct {
		name         string
		usual, large float64
		ratio, extra float64
	}{
		{"processor seconds", usual.Processor.Seconds(), large.Processor.Seconds(), processorRatio,
			testSidecars * (processorExtra.Seconds() + processorPerThousand.Seconds()*thousands)},
		{"peak memory", float64(usual.PeakMemory), float64(large.PeakMemory), memoryRatio,
			memoryExtra + memoryPerThousand*thousands},
		{"descriptors", float64(usual.Descriptors), float64(large.Descriptors), descriptorRatio, descriptorExtra},
		{"connections", float64(usual.Connections), float64(large.Connections), connectionRatio,
			testSidecars * connectionExtra},
		{"bytes of lists", float64(usual.ListBytes), float64(large.ListBytes), listRatio,
			testSidecars * (listExtra + listPerThousand*thousands)},
	} {
		if bound := c.ratio*c.usual + c.extra; c.large > bound {
			t.Errorf("%s: %.4g with %d servers, %.4g with %d servers, want at most %.4g", c.name, c.large, manyServers,
				c.usual, usualServers, bound)
		}
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(ctx, Options{Program: sidecarProgram, Dir: t.TempDir(), Servers: 1, Sidecars: 1}); err == nil {
		t.Error("Run returned no error after its context was cancelled")
	}
}
