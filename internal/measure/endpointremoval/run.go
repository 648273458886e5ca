// Package endpointremoval plays seeded scripts of a coordination service's troubles against a
// whole pinedale-proxy under load, and measures how soon the last request reaches a
// server after its node has ended.
package endpointremoval

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/fakezookeeper"
)

// Options are the size of a run.
type Options struct {
	Scripts  int
	Parallel int // at once
	Servers  int // of each script's fleet at the start
	Steps    int // of a script
	Seed     uint64

	// Discovery has servers listed by discovery alone, which hears of each end as
	// late as the platform's does: 0.6 to 5 s.
	Discovery bool
}

// Report is what came of a run.
type Report struct {
	Scripts  int
	Removals []time.Duration // from a node's end to the last request at its server; 0 where none came
	Late     int             // over 2 s
	Silences int
	Evicted  int // servers that got nothing any more while the service was silent or had lost its nodes
	Requests int
	Failed   int // answers other than 200 while servers were there
	Steps    map[string]int
}

// Broken says what of the report must not be, "" if nothing is.
func (r *Report) Broken() string {
	switch {
	case r.Late > 0:
		return fmt.Sprintf("%d servers had a request over 2 s after their node's end", r.Late)
	case r.Evicted > 0:
		return fmt.Sprintf("%d servers were left out while the service was silent or had lost its nodes", r.Evicted)
	}
	return ""
}

// Quantile of the removals.
func (r *Report) Quantile(q float64) time.Duration {
	if len(r.Removals) == 0 {
		return 0
	}
	slices.Sort(r.Removals)
	return r.Removals[min(len(r.Removals)-1, int(q*float64(len(r.Removals))))]
}

// Print writes the report for a reader.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%d scripts, %d requests, %d not served; steps %v\n", r.Scripts, r.Requests, r.Failed, r.Steps)
	fmt.Fprintf(out, "%d removals: last request after the node's end, median %v, 99th percentile %v, most %v; over 2 s %d\n",
		len(r.Removals), r.Quantile(0.5).Round(time.Microsecond), r.Quantile(0.99).Round(time.Microsecond), r.Quantile(1).Round(time.Microsecond), r.Late)
	fmt.Fprintf(out, "%d silences and losses: servers left out %d\n", r.Silences, r.Evicted)
}

// Run plays the scripts.
func Run(o Options) (*Report, error) {
	r := &Report{Scripts: o.Scripts, Steps: map[string]int{}}
	var mu sync.Mutex
	var first error
	var next atomic.Int64
	var all sync.WaitGroup
	for range o.Parallel {
		all.Go(func() {
			for {
				n := next.Add(1)
				if n > int64(o.Scripts) {
					return
				}
				s := &script{o: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(n))), removed: map[*fakebackend.Server]time.Time{}, steps: map[string]int{}}
				err := s.play()
				mu.Lock()
				if first == nil && err != nil {
					first = fmt.Errorf("script %d: %w", n, err)
				}
				r.Removals = append(r.Removals, s.removals...)
				r.Late += s.late
				r.Silences += s.silences
				r.Evicted += s.evicted
				r.Requests += int(s.requests.Load())
				r.Failed += int(s.failed.Load())
				for k, v := range s.steps {
					r.Steps[k] += v
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return r, first
}

// script is one play.
type script struct {
	o       Options
	rng     *rand.Rand
	fleet   *fakebackend.Fleet
	service *fakezookeeper.Service
	dir     *fakediscovery.Directory
	site    *app.Instance
	names   int

	mu       sync.Mutex
	alive    []*fakebackend.Server
	all      []*fakebackend.Server
	removed  map[*fakebackend.Server]time.Time
	lagging  sync.WaitGroup
	requests atomic.Int64
	failed   atomic.Int64

	removals []time.Duration
	late     int
	silences int
	evicted  int
	steps    map[string]int
}

const path = "/soko"

// session is short, so that a silence is noticed within a script.
const session = time.Second

func (s *script) play() error {
	var err error
	if s.service, err = fakezookeeper.Start(2); err != nil {
		return err
	}
	defer s.service.Close()
	if s.dir, err = fakediscovery.Start(); err != nil {
		return err
	}
	defer s.dir.Close()
	s.fleet = &fakebackend.Fleet{Seed: s.rng.Uint64()}
	defer func() {
		for _, x := range s.all {
			x.Close()
		}
	}()
	for range s.o.Servers {
		if err := s.add(); err != nil {
			return err
		}
	}
	source := fmt.Sprintf("[ephemeral]\nservers = [%q, %q]\npath = %q\nsession = %q\n",
		s.service.Member(0).Address, s.service.Member(1).Address, path, session)
	if s.o.Discovery {
		source = fmt.Sprintf("[discovery]\naddress = %q\n", s.dir.Address)
	}
	f, err := config.Parse([]byte(`version = 1
name = "script"
site = "a"
[http]
listen = "127.0.0.1:0"
[fleet]
sites = ["a"]
warm_within = "0s"
[[class]]
name = "read"
repeat = "safe"
aim = "600ms"
deadline = "1s"
` + source))
	if err != nil {
		return err
	}
	if s.site, err = app.Start(f, slog.New(slog.DiscardHandler)); err != nil {
		return err
	}
	defer func() {
		s.site.Shutdown()
		_ = s.site.Wait() // the steps have told what came of them
	}()
	if err := s.site.WaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 4 {
		callers.Go(func() { s.call(n, stop) })
	}
	for range s.o.Steps {
		time.Sleep(time.Duration(50+s.rng.IntN(200)) * time.Millisecond)
		s.step()
	}
	s.lagging.Wait()
	// What is sent later than 2 s after the last end must show.
	time.Sleep(2200 * time.Millisecond)
	close(stop)
	callers.Wait()
	for x, at := range s.removed {
		took := max(0, x.LastRequest().Sub(at))
		s.removals = append(s.removals, took)
		// What discovery has to tell is told when it has written it.
		if took > 2*time.Second && !s.o.Discovery {
			s.late++
		}
	}
	return nil
}

// call sends requests one after the other.
func (s *script) call(caller int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		r, err := http.NewRequest("GET", "http://"+s.site.HTTP.String()+"/read/x", nil)
		if err != nil {
			return
		}
		r.Header.Set("X-Correlation-Id", fmt.Sprintf("%d-%d", caller, n))
		r.Header.Set("X-Service-Class", "read")
		r.Header.Set("X-Time-Left-Ms", "900")
		s.requests.Add(1)
		out, err := client.Do(r)
		if err != nil {
			s.failed.Add(1)
			continue
		}
		_, _ = io.Copy(io.Discard, out.Body) // the status has come
		out.Body.Close()
		if out.StatusCode != 200 {
			s.failed.Add(1)
		}
	}
}

// add starts a server and its node.
func (s *script) add() error {
	s.names++
	x, err := s.fleet.Start(fmt.Sprintf("s-%d", s.names), 0)
	if err != nil {
		return err
	}
	s.alive, s.all = append(s.alive, x), append(s.all, x)
	s.register(x)
	s.publish()
	return nil
}

func (s *script) register(x *fakebackend.Server) {
	data, _ := json.Marshal(ephemeral.Data{Address: x.Address, Site: "a", StartedMS: 1000})
	s.service.Put(path+"/"+x.Name, data)
}

// publish writes discovery's list.
func (s *script) publish() {
	hosts := []fakediscovery.Host{}
	for _, x := range s.alive {
		hosts = append(hosts, fakediscovery.Ready(x.Name, x.Address))
	}
	s.dir.Change(func() {
		s.dir.List = fakediscovery.Document{Seq: s.dir.List.Seq + 1, Complete: true, Hosts: hosts}
	})
}

// remove ends a server's node. The server itself goes on, to show what still comes.
func (s *script) remove() {
	n := s.rng.IntN(len(s.alive))
	x := s.alive[n]
	s.alive = slices.Delete(s.alive, n, n+1)
	s.removed[x] = time.Now()
	s.service.Delete(path + "/" + x.Name)
	if s.o.Discovery {
		lag := time.Duration((0.6 + 4.4*s.rng.Float64()) * float64(time.Second))
		s.lagging.Go(func() {
			time.Sleep(lag)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.dir.Change(func() {
				list := []fakediscovery.Host{}
				for _, h := range s.dir.List.Hosts {
					if h.Name != x.Name {
						list = append(list, h)
					}
				}
				s.dir.List = fakediscovery.Document{Seq: s.dir.List.Seq + 1, Complete: true, Hosts: list}
			})
		})
	}
}

// still counts servers that got nothing during a while in which all should have.
func (s *script) still(during time.Duration) {
	began := time.Now()
	time.Sleep(during)
	for _, x := range s.alive {
		if x.LastRequest().Before(began) {
			s.evicted++
		}
	}
}

func (s *script) step() {
	kinds := []string{"remove", "remove", "add", "flap", "break", "silence", "refuse", "lose", "restart", "slow"}
	if s.o.Discovery {
		kinds = []string{"remove"}
	}
	what := kinds[s.rng.IntN(len(kinds))]
	if what == "remove" && len(s.alive) <= 2 {
		what = "add"
	}
	s.steps[what]++
	switch what {
	case "remove":
		s.remove()
	case "add":
		_ = s.add() // a script goes on with the servers that it has
	case "flap":
		x := s.alive[s.rng.IntN(len(s.alive))]
		for range 5 {
			s.service.Delete(path + "/" + x.Name)
			time.Sleep(20 * time.Millisecond)
			s.register(x)
			time.Sleep(30 * time.Millisecond)
		}
		// It is let in again once it stays.
		time.Sleep(5 * time.Second)
	case "break":
		s.service.Member(s.rng.IntN(2)).CloseConnections()
	case "silence", "refuse":
		s.silences++
		disturb := s.service.SetUnresponsive
		if what == "refuse" {
			disturb = s.service.SetRejecting
		}
		disturb(true)
		s.still(session + time.Second)
		disturb(false)
		s.settle()
	case "lose":
		// All sessions and so all nodes are lost; the servers register anew, late.
		s.silences++
		s.service.SetUnresponsive(true)
		time.Sleep(session)
		for _, x := range s.alive {
			s.service.Delete(path + "/" + x.Name)
		}
		s.service.SetUnresponsive(false)
		time.Sleep(2 * session) // it has connected again, and read an empty directory
		s.still(session)
		for _, x := range s.alive {
			s.register(x)
		}
		s.settle()
	case "restart":
		s.service.Restart(int64(s.rng.IntN(400)-200), false)
		s.settle()
	case "slow":
		s.service.SetDelay(100 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		s.service.SetDelay(0)
	}
}

// settle gives the client time to connect again: what ends before it has, is told
// when it has.
func (s *script) settle() { time.Sleep(3 * session) }
