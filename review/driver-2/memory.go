package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryMB       = 32 // the least that the pages name
	memorySockets  = 1024
	stoppedClients = 600
	headFields     = 247
	fieldBytes     = 26
	sentBodyBytes  = 1000
	bodyBytes      = 64000
	usualBodyBytes = 60000
)

// memoryUse is what the system says of a process, in kB.
type memoryUse struct{ resident, anonymous, peak int }

func readMemory(pid int) memoryUse {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty once the process has ended
	var use memoryUse
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		for field, to := range map[string]*int{"VmRSS": &use.resident, "RssAnon": &use.anonymous, "VmHWM": &use.peak} {
			if name == field {
				_, _ = fmt.Sscan(value, to)
			}
		}
	}
	return use
}

// platform watches a sidecar's memory and kills it beyond its limit.
type platform struct {
	done    chan struct{}
	watched sync.WaitGroup
	most    memoryUse
	killed  bool
}

func watchMemory(r *run, s *sidecar) *platform {
	p := &platform{done: make(chan struct{})}
	p.watched.Go(func() {
		for last := time.Now(); ; {
			select {
			case <-p.done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			use := readMemory(s.cmd.Process.Pid)
			if use.resident > p.most.resident {
				p.most = use
			}
			if time.Since(last) > 500*time.Millisecond {
				last = time.Now()
				r.record.add("memory: resident %d kB, of it anonymous %d kB, peak %d kB", use.resident, use.anonymous, use.peak)
			}
			if use.resident > memoryMB<<10 {
				p.most, p.killed = use, true
				r.record.say("memory: peak %d kB, resident %d kB, of it anonymous %d kB: over the limit of %d kB, the platform "+
					"kills the sidecar", use.peak, use.resident, use.anonymous, memoryMB<<10)
				_ = s.cmd.Process.Kill()
				return
			}
		}
	})
	return p
}

// end ends the watch.
func (p *platform) end() {
	close(p.done)
	p.watched.Wait()
}

// stoppedRequest returns the head of a request, and the start of its body.
func stoppedRequest(client, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var text strings.Builder
	fmt.Fprintf(&text, "POST /stall-pay/x HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: bad-%d-%d\r\n"+
		"X-Service-Class: stall-pay\r\nX-Time-Left-Ms: 1200\r\nIdempotency-Key: bad-%d-%d\r\nContent-Length: %d\r\n",
		client, n, client, n, bodyBytes)
	for i := range headFields {
		fmt.Fprintf(&text, "%c%c:%s\r\n", letters[i/26], letters[i%26], strings.Repeat("v", fieldBytes))
	}
	return text.String() + "\r\n" + strings.Repeat("x", sentBodyBytes)
}

// stopInRequests lets clients stop in the middle of a request and stay, and come again once they are answered or closed.
func stopInRequests(address string, stop *atomic.Bool, clients *sync.WaitGroup, answered *atomic.Int64) {
	for i := range stoppedClients {
		clients.Go(func() {
			for n := 0; !stop.Load(); n++ {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
				_, _ = fmt.Fprint(conn, stoppedRequest(i, n))
				buffer := make([]byte, 512)
				for {
					size, err := conn.Read(buffer)
					if size > 0 && strings.HasPrefix(string(buffer[:size]), "HTTP/1.1 4") {
						answered.Add(1)
					}
					if err != nil {
						break
					}
				}
				conn.Close()
			}
		})
	}
}

// playMemory lets clients stop in the middle of a request, beside some usual clients.
func playMemory(r *run) (int, error) {
	endpoints, hosts, err := startFleet(8, func(a *arrival) bool {
		time.Sleep(5 * time.Millisecond)
		_, err := fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", usualBodyBytes,
			strings.Repeat("y", usualBodyBytes))
		return err == nil
	})
	if err != nil {
		return notRun, err
	}
	for _, e := range endpoints {
		defer e.close()
	}
	list := newFleetList(hosts)
	d, err := startDiscovery(list, r.record)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	s, err := startSidecar(r.root, d.address, smallDeployment(priceCheck(), stallPay(), dayClose()), memoryMB, memorySockets,
		list.whole())
	if err != nil {
		return notRun, err
	}
	defer s.end()
	p := watchMemory(r, s)
	var stop atomic.Bool
	var clients sync.WaitGroup
	var answered atomic.Int64
	l := startLoad(r, s.listen, 24, 20*time.Millisecond, time.Second, priceCheckRequest, nil)
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.record.say("%d clients send a head of %d fields and %d of %d bytes, and stay", stoppedClients, headFields,
			sentBodyBytes, bodyBytes)
		stopInRequests(s.listen, &stop, &clients, &answered)
	}
	for range 100 { // 10 s, or until the platform has killed the sidecar
		time.Sleep(100 * time.Millisecond)
		if !s.alive() {
			break
		}
	}
	crashed := !s.alive()
	time.Sleep(200 * time.Millisecond)
	stop.Store(true)
	l.end()
	p.end()
	s.end()
	clients.Wait()
	r.record.say("usual clients: %d requests, %d served; clients that stopped: %d got an error", l.sent.Load(),
		l.served.Load(), answered.Load())
	r.record.say("most memory: resident %d kB, of it anonymous %d kB; limit %d kB", p.most.resident, p.most.anonymous,
		memoryMB<<10)
	if crashed {
		return broken, nil
	}
	return held, nil
}
