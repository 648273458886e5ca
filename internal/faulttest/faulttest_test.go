package faulttest

import (
	"context"
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

	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/schedule"
)

// program is pinedale-proxy, and next another build of it, built once.
var program, next string

func TestMain(m *testing.M) {
	if did, err := Main(); did {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	dir, err := os.MkdirTemp("", "pinedale-faulttest-test-")
	if err == nil {
		program, next = filepath.Join(dir, "pinedale-proxy"), filepath.Join(dir, "next")
		for path, name := range map[string]string{program: "this", next: "next"} {
			output, failed := exec.Command("go", "build", "-ldflags", "-X pinedale/internal/app.Build="+name, "-o", path, "pinedale/cmd/pinedale-proxy").CombinedOutput()
			if failed != nil {
				err = fmt.Errorf("%w: %s", failed, output)
			}
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func parse(t *testing.T, text string) *schedule.Schedule {
	t.Helper()
	s, err := schedule.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// schedules are a few that CI plays: two that were drawn, and hard cases. Many more are played
// by pinedale-faulttest run.
func schedules(t *testing.T) []*schedule.Schedule {
	head := "version = 1\ninstances = 4\nlength = \"5s\"\nseed = %d\nname = %q\n"
	all := []*schedule.Schedule{schedule.Draw(3, 5, 6, 6*time.Second), schedule.Draw(10, 4, 6, 6*time.Second)}
	for n, x := range []struct{ name, faults string }{
		// Two at once, so that some keys lose the majority of their witnesses, in the middle of sends.
		{"killed while sending", "[[fault]]\nkind = \"kill\"\nof = \"i-1\"\nat = \"1s\"\nfor = \"500ms\"\n[[fault]]\nkind = \"kill\"\nof = \"i-2\"\nat = \"1100ms\"\nfor = \"1s\"\n"},
		// Each side holds two of four.
		{"halves", "[[fault]]\nkind = \"cut\"\nboth = true\nof = \"i-1\"\nto = \"i-3\"\nat = \"1s\"\nfor = \"2s\"\n[[fault]]\nkind = \"cut\"\nboth = true\nof = \"i-1\"\nto = \"i-4\"\nat = \"1s\"\nfor = \"2s\"\n" +
			"[[fault]]\nkind = \"cut\"\nboth = true\nof = \"i-2\"\nto = \"i-3\"\nat = \"1s\"\nfor = \"2s\"\n[[fault]]\nkind = \"cut\"\nboth = true\nof = \"i-2\"\nto = \"i-4\"\nat = \"1s\"\nfor = \"2s\"\n"},
		// One hears and is not heard; one is stopped with requests in hand and goes on later.
		{"one way and stopped", "[[fault]]\nkind = \"cut\"\nof = \"i-1\"\nto = \"i-2\"\nat = \"500ms\"\nfor = \"3s\"\n[[fault]]\nkind = \"stop\"\nof = \"i-3\"\nat = \"1s\"\nfor = \"2s\"\n" +
			"[[fault]]\nkind = \"swap\"\nshare = 0.5\nboth = true\nof = \"i-1\"\nto = \"i-4\"\nat = \"0s\"\nfor = \"4s\"\n[[fault]]\nkind = \"double\"\nshare = 0.8\nboth = true\nof = \"i-2\"\nto = \"i-4\"\nat = \"0s\"\nfor = \"4s\"\n"},
		// A server drains and is replaced at its address while one instance does not hear of it, another is stopped, and
		// the two that know are cut off from each other.
		{"drains unheard", "[[fault]]\nkind = \"drain\"\nof = \"s-1\"\nat = \"1s\"\nfor = \"3s\"\n[[fault]]\nkind = \"drain\"\nof = \"s-4\"\nat = \"1200ms\"\nfor = \"3s\"\n" +
			"[[fault]]\nkind = \"cut\"\nboth = true\nof = \"i-1\"\nto = \"discovery\"\nat = \"900ms\"\nfor = \"1s\"\n[[fault]]\nkind = \"stop\"\nof = \"i-2\"\nat = \"900ms\"\nfor = \"1s\"\n" +
			"[[fault]]\nkind = \"break\"\nof = \"i-3\"\nto = \"discovery\"\nat = \"900ms\"\n[[fault]]\nkind = \"cut\"\nboth = true\nof = \"i-3\"\nto = \"i-4\"\nat = \"1s\"\nfor = \"2s\"\n"},
		// A paused process, its successor in its place, and then both.
		{"two of one name", "[[fault]]\nkind = \"twin\"\nof = \"i-2\"\nat = \"1s\"\nfor = \"3s\"\n[[fault]]\nkind = \"kill\"\nof = \"i-4\"\nat = \"2s\"\nfor = \"500ms\"\n"},
		// Half of the fleet goes over to another build, one after the other.
		{"two builds", "[[fault]]\nkind = \"build\"\nof = \"i-1\"\nat = \"500ms\"\nfor = \"500ms\"\n[[fault]]\nkind = \"build\"\nof = \"i-3\"\nat = \"3s\"\nfor = \"500ms\"\n"},
	} {
		all = append(all, parse(t, fmt.Sprintf(head, 100+n, x.name)+x.faults))
	}
	return all
}

// Over all processes together: each request has one final answer, no effect is done twice,
// what was served was done, nobody crashes, and once the faults are over all copies are the
// same.
func TestFleetUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("all", func(t *testing.T) {
		for _, s := range schedules(t) {
			t.Run(s.Name, func(t *testing.T) {
				t.Parallel()
				dir := t.TempDir()
				h, err := Run(t.Context(), Options{
					Schedule:  s,
					Program:   program,
					Next:      next,
					Dir:       dir,
					Log:       slog.New(slog.DiscardHandler),
					afterLoad: waitDrainedServersReused,
				})
				if err != nil {
					t.Fatal(err)
				}
				for _, f := range h.Check() {
					t.Error(f)
				}
				for i := range h.Drains {
					checkDrainObserved(t, &h.Drains[i], s.Instances)
				}
				if sum := h.Summarize(); sum.Effects < 100 || sum.Served == 0 {
					t.Errorf("%+v: the load did not run", sum)
				}
				path := filepath.Join(dir, "run.json")
				if err := Save(path, h); err != nil {
					t.Fatal(err)
				}
				back, err := Read(path)
				if err != nil || len(back.Attempts) != len(h.Attempts) || len(back.Schedule.Faults) != len(s.Faults) {
					t.Errorf("what was kept comes back as %+v, %v", back, err)
				}
				page := filepath.Join(dir, "page.html")
				if err := Report(page, h); err != nil {
					t.Fatal(err)
				}
				if text, err := os.ReadFile(page); err != nil || strings.Count(string(text), "<svg") != 2 {
					t.Errorf("the page has no two plots: %v", err)
				}
			})
		}
	})
}

const (
	reuseTimeout  = time.Minute           // for all instances to send to the servers that have drained
	reuseInterval = 10 * time.Millisecond // between two requests to the same instance
)

// waitDrainedServersReused sends requests to each instance until it has forwarded one to each server that
// drained during the run, after the end of the drain. The load alone does not guarantee that: of the few
// requests that an instance gets before and after a drain, possibly none is forwarded to that server.
func waitDrainedServersReused(ctx context.Context, r *rig) error {
	ctx, cancel := context.WithTimeout(ctx, reuseTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, drain := range r.drains.begun {
		for _, instance := range r.instances {
			if err := waitServerReused(ctx, r, client, instance.name, drain); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitServerReused sends requests to one instance until it has forwarded one to the server after its drain.
func waitServerReused(ctx context.Context, r *rig, client *http.Client, instance string, drain drain) error {
	server := r.network.paths[path{instance, drain.server}]
	drainEnd := r.began.Add(drain.until)
	class := &classes[0] // safe to retry, and any server may serve it
	for number := 0; ; number++ {
		arrivals := server.Arrivals()
		if len(arrivals) > 0 && arrivals[len(arrivals)-1].After(drainEnd) {
			return nil
		}
		request, err := r.newRequest(ctx, &effect{key: "reuse-" + drain.server, class: class},
			&history.Attempt{Instance: instance, Number: number}, class.patience)
		if err != nil {
			return err
		}
		if response, err := client.Do(request); err == nil {
			response.Body.Close() // any response will do: only the server that was chosen counts
		}
		if !sleep(ctx, reuseInterval) {
			return fmt.Errorf("%s forwarded none of %d requests to %s within %v after its drain",
				instance, number+1, drain.server, reuseTimeout)
		}
	}
}

// checkDrainObserved fails unless the drain has ended, and each instance was notified of it and has sent to
// the server after its end: a drain that was not observed cannot break a rule.
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

// What is no run is not read as one.
func TestReadWhatIsNoRun(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.json")
	for _, text := range []string{"", "{}", `{"schedule":{"version":9}}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if h, err := Read(path); err == nil {
			t.Errorf("%q is read as %+v", text, h)
		}
	}
	if err := Save(filepath.Join(path, "below"), &history.History{}); err == nil {
		t.Error("a run is kept below a file")
	}
}
