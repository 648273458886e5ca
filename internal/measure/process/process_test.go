package process

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

const (
	echoKind    = "echo"    // its line is its arguments
	failingKind = "failing" // it cannot be started
)

var testKinds = Kinds{
	echoKind: func(args []string) (line string, stop func(), err error) {
		return strings.Join(args, "+"), func() {}, nil
	},
	failingKind: func([]string) (line string, stop func(), err error) {
		return "", nil, errors.New("it cannot be started")
	},
}

// The tests' program starts itself once more, as the measuring program does.
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
		t.Errorf("the line is %q", p.Line)
	}
	first, err := p.Usage()
	if err != nil || first.CPU <= 0 || first.Memory <= 0 {
		t.Errorf("%+v, %v", first, err)
	}
	second, err := p.Usage()
	if err != nil || second.CPU < first.CPU {
		t.Errorf("%+v after %+v, %v", second, first, err)
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
		t.Errorf("%+v, %v", info, err)
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
