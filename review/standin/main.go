// Command standin plays the surroundings of the sidecar for the cases of the review: clients, servers, discovery
// and the network between them. It starts the sidecars with the command of the deploy file, as processes of their own.
//
//	standin CASE FOLDER RUN
//
// CASE names the case, FOLDER receives record.txt, RUN is the command `run` of the deploy file. With TROUBLE=0 in the
// environment the disruption is left out. It exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the function of each case. It returns whether the rule was broken.
var cases = map[string]func(*world) (bool, error){}

// world is what one run of a case shares.
type world struct {
	start   time.Time
	trouble bool
	run     string // command that starts a sidecar
	tmp     string

	mu     sync.Mutex
	record *os.File
}

// logf writes a line to the record, with the time since the start in seconds.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.4f ", time.Since(w.start).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER RUN")
		return exitFailed
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(tmp)
	w := &world{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", run: os.Args[3], tmp: tmp, record: record}
	w.logf("case %s, disruption %v", os.Args[1], w.trouble)
	broken, err := cases[os.Args[1]](w)
	if err != nil {
		w.say("could not run: %v", err)
		return exitFailed
	}
	if broken {
		w.say("result: rule broken")
		return exitBroken
	}
	w.say("result: rule held")
	return exitHeld
}
