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

// The tests' program starts itself once more as the reader.
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
		t.Errorf("%+v", result)
	}
	for i, rate := range changeRates {
		if result.cpu[i] < 0 {
			t.Errorf("at %d changes a second: %v ms/s of CPU time", rate, result.cpu[i])
		}
	}
	var out bytes.Buffer
	if result.print(&out); len(strings.Fields(out.String())) != 6 {
		t.Errorf("printed %q", out.String())
	}
}
