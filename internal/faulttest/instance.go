package faulttest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"pinedale/balancer"
	"pinedale/internal/standin/ports"
)

// instance is one process of pinedale-proxy.
type instance struct {
	name      string
	via       map[string]string // where it reaches the others, by name
	discovery string            // and its list
	log       *os.File

	mu                  sync.Mutex
	http, peers, status string // host:port
	config              string // path of its file
	program             string
	now                 *process
	crashes             []string
}

// process is one life of an instance.
type process struct {
	*exec.Cmd
	ended chan struct{}
	meant bool // its end was, under the instance's mu
}

// start starts the process. It may be called again once it has ended, or another stands in for it.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(i.program, "serve", "--config", i.config)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	// A rig that dies takes its processes along.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{Cmd: cmd, ended: make(chan struct{})}
	i.now = p
	go func() {
		err := cmd.Wait()
		i.mu.Lock()
		if !p.meant {
			i.crashes = append(i.crashes, fmt.Sprintf("%s ended by itself: %v", i.name, err))
		}
		i.mu.Unlock()
		close(p.ended)
	}()
	return nil
}

// process is the present life, nil before the first.
func (i *instance) process() *process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.now
}

// signal sends the present process a signal.
func (i *instance) signal(s syscall.Signal) { i.signalProcess(i.process(), s) }

// signalProcess sends a process a signal; one that ends it is meant to.
func (i *instance) signalProcess(p *process, s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	p.meant = p.meant || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = p.Process.Signal(s) // it may have ended
}

// waitEnd waits for the process's end after SIGTERM, and kills it where that takes too long.
func (i *instance) waitEnd() {
	p := i.process()
	if p == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(endTimeout):
		i.signalProcess(p, syscall.SIGKILL)
		<-p.ended
	}
}

// endTimeout is the longest that an instance may take for its orderly end: it answers what it
// has taken, and its longest patience is 1.5 s.
const endTimeout = 10 * time.Second

// allocateAddresses finds new ones for the next process.
func (i *instance) allocateAddresses() (err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, address := range []*string{&i.http, &i.peers, &i.status} {
		if *address, err = ports.Free(); err != nil {
			return err
		}
	}
	return nil
}

// restart starts the process anew, while its ports may still be closing.
func (i *instance) restart() error {
	i.waitEnd()
	return i.start()
}

var repeats = map[balancer.Idempotency]string{balancer.Idempotent: "safe", balancer.IdempotentWithKey: "keyed"}
var groups = map[balancer.Group]string{balancer.GroupAll: "all", balancer.GroupCell: "pod"}

// writeConfig writes the operator's file of an instance.
func (r *rig) writeConfig(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "version = 1\nname = %q\nsite = \"a\"\n[http]\nlisten = %q\n", i.name, i.http)
	// Servers are never taken for new, and probes are off: what is told of servers is then at
	// rest once clients are.
	fmt.Fprintf(&b, "[limits]\nprobes = false\n[fleet]\nsites = [\"a\"]\nkinds = [\"box\"]\nreports = [\"queue\"]\ninstances = %d\nwarm_within = \"0s\"\n", len(r.instances))
	for _, c := range classes {
		fmt.Fprintf(&b, "[[class]]\nname = %q\nrepeat = %q\naim = %q\ndeadline = %q\n", c.name, repeats[c.repeat], c.objective, c.patience)
		if c.repeat == balancer.IdempotentWithKey {
			fmt.Fprintf(&b, "group = %q\nwindow = %q\nagree = %q\n", groups[c.group], c.window, r.options.Schedule.Agreement)
		}
	}
	var names, join []string
	for _, other := range r.instances {
		names = append(names, fmt.Sprintf("%q", other.name))
		if other != i {
			// Whatever address is named, the way is that of peers.via.
			join = append(join, fmt.Sprintf("%q", other.name+"/"+i.via[other.name]))
		}
	}
	fmt.Fprintf(&b, "[peers]\nlisten = %q\nstatus = %q\nkeys_file = %q\nwitnesses = [%s]\njoin = [%s]\n[peers.via]\n", i.peers, i.status, r.keyFile,
		strings.Join(names, ", "), strings.Join(join, ", "))
	for name, address := range i.via {
		fmt.Fprintf(&b, "%q = %q\n", name, address)
	}
	fmt.Fprintf(&b, "[discovery]\naddress = %q\nask_within = \"2s\"\n", i.discovery)
	i.config = filepath.Join(r.options.Dir, i.name+".toml")
	return os.WriteFile(i.config, []byte(b.String()), 0o600)
}
