package zookeeper

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pinedale/internal/measure/process"
)

// TestMain runs the reader if the test executable was started for it, and the tests otherwise.
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

func TestReaderListsAllNodesAndIsMeasuredAtEachRate(t *testing.T) {
	const nodes = 20
	result, err := measure(nodes, 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if result.nodes != nodes || result.memory <= 0 {
		t.Errorf("got %+v, want %d nodes and a memory above 0", result, nodes)
	}
	for i, rate := range changeRates {
		if result.cpu[i] < 0 {
			t.Errorf("at %d changes a second: %v ms/s of CPU time", rate, result.cpu[i])
		}
	}
	var out bytes.Buffer
	if result.print(&out); len(strings.Fields(out.String())) != 6 {
		t.Errorf("print wrote %q, want 6 columns", out.String())
	}
}
