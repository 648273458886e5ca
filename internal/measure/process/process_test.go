package process

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

const (
	echoKind    = "echo"    // returns its arguments as its line
	failingKind = "failing" // returns an error
)

var testKinds = Kinds{
	echoKind: func(args []string) (line string, stop func(), err error) {
		return strings.Join(args, "+"), func() {}, nil
	},
	failingKind: func([]string) (line string, stop func(), err error) {
		return "", nil, errors.New("a process of the failing kind cannot be started")
	},
}

// TestMain runs a process of a kind if the test executable was started as one, and the tests otherwise.
func TestMain(m *testing.M) {
	started, err := Main(testKinds)
	if !started {
		os.Exit(m.Run())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func TestStartedProcessReportsLineAndUsage(t *testing.T) {
	p, err := Start(echoKind, "", "first", "second")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	if p.Line != "first+second" {
		t.Errorf("got line %q, want first+second", p.Line)
	}
	first, err := p.Usage()
	if err != nil || first.CPU <= 0 || first.Memory <= 0 {
		t.Errorf("first usage %+v, error %v", first, err)
	}
	second, err := p.Usage()
	if err != nil || second.CPU < first.CPU {
		t.Errorf("second usage %+v after %+v, error %v", second, first, err)
	}
}

func TestProfileIsWrittenWhenProcessStops(t *testing.T) {
	path := t.TempDir() + "/cpu.pprof"
	p, err := Start(echoKind, path)
	if err != nil {
		t.Fatal(err)
	}
	p.Stop()
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		t.Errorf("profile %+v, error %v", info, err)
	}
}

func TestStartFailsIfProcessDoesNotServe(t *testing.T) {
	for _, kind := range []string{failingKind, "unknown"} {
		if p, err := Start(kind, ""); err == nil {
			p.Stop()
			t.Errorf("a process of kind %q was started", kind)
		}
	}
}
