package sidecar

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/testfleet"
)

// configText returns the text of a configuration file.
func configText(t *testing.T, discovery string) string {
	t.Helper()
	return testfleet.SidecarConfig{
		Listen:    "127.0.0.1:1",
		Discovery: discovery,
		Settings:  testSettings(),
	}.JSON(t)
}

// A file that is half written when the signal arrives is read again until it is complete, and the failure is
// logged once. A later signal restarts the retries of an earlier one. After reloadRetryTime without a usable
// file, the reload is abandoned.
func TestReloadRetriesUntilFileIsComplete(t *testing.T) {
	synctest.Test(t, checkReloadRetries)
}

func checkReloadRetries(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		testfleet.WriteFile(t, path, text)
	}
	signals, waits, proceed := make(chan os.Signal, 1), make(chan time.Duration), make(chan time.Time)
	var log logcapture.Buffer
	out := ReloadOnSignal(path, signals, func(d time.Duration) <-chan time.Time {
		waits <- d
		return proceed
	}, log.Logger())
	complete := configText(t, "127.0.0.1:7")
	write(complete[:len(complete)/2])
	signals <- syscall.SIGHUP
	<-waits
	proceed <- time.Time{}
	<-waits // still incomplete
	write(complete)
	proceed <- time.Time{}
	if next := <-out; next.Discovery != "127.0.0.1:7" {
		t.Errorf("switched to %s, want 127.0.0.1:7", next.Discovery)
	}
	if n := log.Count("configuration reload failed"); n != 1 {
		t.Errorf("%d lines have the failure, want 1", n)
	}
	// The second of two signals arrives while the reload of the first is retried.
	write("{")
	signals <- syscall.SIGHUP
	<-waits
	signals <- syscall.SIGHUP
	write(configText(t, "127.0.0.1:8"))
	proceed <- time.Time{}
	if next := <-out; next.Discovery != "127.0.0.1:8" {
		t.Errorf("switched to %s, want 127.0.0.1:8", next.Discovery)
	}
	// The file is never completed.
	write(strings.Repeat("x", 10))
	signals <- syscall.SIGHUP
	for range maxReloadRetries {
		<-waits
		proceed <- time.Time{}
	}
	synctest.Wait() // until the last read of the incomplete file has failed
	write(configText(t, "127.0.0.1:9"))
	signals <- syscall.SIGHUP
	if next := <-out; next.Discovery != "127.0.0.1:9" {
		t.Errorf("switched to %s, want 127.0.0.1:9", next.Discovery)
	}
	close(signals)
	if next, open := <-out; open {
		t.Errorf("switched to %s without a signal", next.Discovery)
	}
}
