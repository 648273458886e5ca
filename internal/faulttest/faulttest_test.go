package faulttest

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/internal/ctxtime"
	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/tomlfile"
)

// The programs that TestMain builds: pinedale-proxy, and a build of it with another name.
var proxyProgram, upgradeProgram string

func TestMain(m *testing.M) {
	served, err := ServeIfServerProcess()
	if served {
		exitOnError(err)
		return
	}
	dir, err := os.MkdirTemp("", "pinedale-faulttest-test-")
	exitOnError(err)
	proxyProgram = filepath.Join(dir, "pinedale-proxy")
	upgradeProgram = filepath.Join(dir, "next")
	exitOnError(buildProxy(proxyProgram, "this"))
	exitOnError(buildProxy(upgradeProgram, "next"))
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// exitOnError ends the process if there is an error.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// buildProxy builds pinedale-proxy at a path, with the given build name.
func buildProxy(path, build string) error {
	cmd := exec.Command("go", "build", "-ldflags", "-X pinedale/internal/app.Build="+build, "-o", path,
		"pinedale/cmd/pinedale-proxy")
	output, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("building %s: %w: %s", path, err, output)
	}
	return nil
}

// testSchedules returns the schedules that CI runs: two that are drawn from seeds, and the difficult cases of testdata.
// Command pinedale-faulttest runs many more.
func testSchedules(t *testing.T) []*schedule.Schedule {
	t.Helper()
	const drawnDuration = 6 * time.Second
	schedules := []*schedule.Schedule{
		schedule.Draw(3, 5, 6, drawnDuration),
		schedule.Draw(10, 4, 6, drawnDuration),
	}
	files, err := filepath.Glob(filepath.Join("testdata", "schedules", "*.toml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no schedules in testdata: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := schedule.Parse(text)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		schedules = append(schedules, parsed)
	}
	return schedules
}

// maxConcurrentSchedules bounds the schedules that run at the same time. Each of them has four or five instances, which
// close a connection if a request takes more than two seconds to arrive; a busier machine would exceed that.
const maxConcurrentSchedules = 3

func TestFleetUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	slots := make(chan struct{}, maxConcurrentSchedules)
	t.Run("all", func(t *testing.T) {
		for _, s := range testSchedules(t) {
			t.Run(s.Name, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				dir := t.TempDir()
				recorded, err := Run(t.Context(), Options{
					Schedule:       s,
					Program:        proxyProgram,
					UpgradeProgram: upgradeProgram,
					Dir:            dir,
					Log:            slog.New(slog.DiscardHandler),
					afterLoad:      waitServersReused,
				})
				if err != nil {
					t.Fatal(err)
				}
				for _, finding := range recorded.Check() {
					t.Error(finding)
				}
				for i := range recorded.Drains {
					checkDrainObserved(t, &recorded.Drains[i], s.Instances)
				}
				if summary := recorded.Summarize(); summary.Effects < 100 || summary.Served == 0 {
					t.Errorf("summary %+v, want at least 100 effects and one served", summary)
				}
				checkHistoryFile(t, filepath.Join(dir, "run.json"), recorded)
				checkReport(t, filepath.Join(dir, "page.html"), recorded)
			})
		}
	})
}

const (
	reuseTimeout  = time.Minute           // for all instances to send requests to the servers that have drained
	reuseInterval = 10 * time.Millisecond // between two requests to the same instance
)

// waitServersReused sends requests to each instance until it has forwarded one to each server that drained during the
// run, after the end of the drain. The load alone does not guarantee that: an instance gets few requests before and
// after a drain, and possibly forwards none of them to that server.
func waitServersReused(ctx context.Context, r *testRun) error {
	ctx, cancel := context.WithTimeout(ctx, reuseTimeout)
	defer cancel()
	httpClient := newHTTPClient()
	for _, drain := range r.drains.started {
		for _, instance := range r.instances {
			if err := waitServerReused(ctx, r, httpClient, instance.name, drain); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitServerReused sends requests to one instance until it has forwarded one to the server after its drain.
func waitServerReused(ctx context.Context, r *testRun, httpClient *http.Client, instance string, drain drain) error {
	path := r.network.paths[endpoints{instance, drain.server}]
	drainEnd := r.loadStart.Add(drain.end)
	class := &requestClasses[0] // idempotent without a key: any server may execute it
	requester := &client{testRun: r, http: httpClient, effect: &effect{key: "reuse-" + drain.server, class: class}}
	for number := 0; ; number++ {
		arrivals := path.Arrivals()
		if len(arrivals) > 0 && arrivals[len(arrivals)-1].After(drainEnd) {
			return nil
		}
		attempt := history.Attempt{Instance: instance, Number: number}
		request, err := requester.newRequest(ctx, &attempt, class.deadline)
		if err != nil {
			return err
		}
		if response, err := httpClient.Do(request); err == nil {
			response.Body.Close() // the status does not matter, only to which server the request was forwarded
		}
		if !ctxtime.Sleep(ctx, reuseInterval) {
			return fmt.Errorf("%s forwarded none of %d requests to %s within %v after its drain",
				instance, number+1, drain.server, reuseTimeout)
		}
	}
}

// checkDrainObserved fails unless the drain has ended, and each instance was notified of it and sent data to the server
// after its end. Otherwise the run would not have tested the rule DrainsHonoured.
func checkDrainObserved(t *testing.T, drain *history.Drain, instances int) {
	t.Helper()
	lastSent := map[string]time.Duration{}
	reused := 0
	for instance, sent := range drain.Sent {
		lastSent[instance] = sent[len(sent)-1]
		if lastSent[instance] > drain.End {
			reused++
		}
	}
	if drain.End == 0 || len(drain.Notified) != instances || reused != instances {
		t.Errorf("drain of %s: ended at %v, instances notified at %v, last sent to the server at %v; "+
			"want an end, and all %d instances notified and sending after it",
			drain.Server, drain.End, drain.Notified, lastSent, instances)
	}
}

// checkHistoryFile fails unless a history can be written to a file and read again.
func checkHistoryFile(t *testing.T, path string, recorded *history.History) {
	t.Helper()
	if err := WriteHistory(path, recorded); err != nil {
		t.Fatal(err)
	}
	read, err := ReadHistory(path)
	if err != nil {
		t.Errorf("reading the history: %v", err)
		return
	}
	if len(read.Attempts) != len(recorded.Attempts) || len(read.Schedule.Faults) != len(recorded.Schedule.Faults) {
		t.Errorf("read %d attempts and %d faults, want %d and %d", len(read.Attempts), len(read.Schedule.Faults),
			len(recorded.Attempts), len(recorded.Schedule.Faults))
	}
}

// checkReport fails unless a report with its two plots can be written.
func checkReport(t *testing.T, path string, recorded *history.History) {
	t.Helper()
	if err := WriteReport(path, recorded); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Errorf("reading the report: %v", err)
	}
	if plots := strings.Count(string(page), "<svg"); plots != 2 {
		t.Errorf("the report has %d plots, want 2", plots)
	}
}

func TestReadHistoryRejectsOtherFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.json")
	for _, test := range []struct {
		name, text string
		isWanted   func(error) bool
	}{
		{"empty file", "", func(err error) bool { return err != nil }},
		{"no schedule", "{}", func(err error) bool { return errors.Is(err, ErrNoSchedule) }},
		{"unknown version of the schedule", `{"schedule":{"version":9}}`, func(err error) bool {
			var keyError *tomlfile.Error
			return errors.As(err, &keyError) && keyError.Key == "version"
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if read, err := ReadHistory(path); !test.isWanted(err) {
				t.Errorf("%q was read as %+v, error %v", test.text, read, err)
			}
		})
	}
}

func TestWriteHistoryFailsBelowFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "run.json")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := WriteHistory(filepath.Join(file, "below"), &history.History{}); err == nil {
		t.Error("WriteHistory succeeded for a path below a file")
	}
}
