// Command driver plays the cases of the second review: a real sidecar, with stand-ins for its clients, endpoints and
// discovery in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// run is one run of a case.
type run struct {
	root    string // of the repository
	trouble bool   // false with TROUBLE=0
	record  *record
}

// cases holds the cases by name. Each is added by the file that plays it. A case plays with the disruption unless
// run.trouble is false, and returns an exit code, or an error if it could not run.
var cases = map[string]func(*run) (code int, err error){}

// longest bounds a run.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE ROOT FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(c func(*run) (int, error), root, folder string) int {
	r := &run{root: root, trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if r.record, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	code := notRun
	done := make(chan struct{})
	go func() {
		defer close(done)
		code, err = c(r)
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	defer started.kill()
	select {
	case <-done:
	case <-interrupted:
		r.record.say("interrupted")
		return notRun
	case <-time.After(longest):
		r.record.say("the run did not end in %v", longest)
		return notRun
	}
	if err != nil {
		r.record.say("could not run: %v", err)
		return notRun
	}
	r.record.say("%s", map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", notRun: "not run"}[code])
	return code
}
