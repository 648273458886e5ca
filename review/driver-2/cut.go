package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cut"] = playCut }

// cutListener is the listener of a machine that can be cut off: while it is, no new connection comes up. Its queue has
// room for one connection, as that is filled by connections of its own, and the system then drops what asks for more.
type cutListener struct {
	net.Listener
	mu      sync.Mutex
	passing chan struct{} // closed while the machine is not cut off
	fillers []net.Conn
}

func listenCuttable() (*cutListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "discovery")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	inner, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &cutListener{Listener: inner, passing: make(chan struct{})}
	close(l.passing)
	return l, nil
}

// Accept returns the next connection once the machine is not cut off.
func (l *cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	passing := l.passing
	l.mu.Unlock()
	<-passing
	return c, err
}

// cut cuts the machine off: it reports an error if new connections still come up.
func (l *cutListener) cut() error {
	l.mu.Lock()
	l.passing = make(chan struct{})
	l.mu.Unlock()
	for range 5 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
		if isTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
		l.fillers = append(l.fillers, c)
	}
	return fmt.Errorf("connections still come up")
}

// restore ends the cut.
func (l *cutListener) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
	close(l.passing)
}

// outage is how long discovery's machine is cut off.
const outage = 48 * time.Second

// playCut cuts discovery's machine off for a while. Open connections stay open and silent, new ones never come up.
func playCut(r *run) (int, error) {
	fleet, err := newDrainFleet(r)
	if err != nil {
		return notRun, err
	}
	defer fleet.close()
	listener, err := listenCuttable()
	if err != nil {
		return notRun, err
	}
	d := serveDiscovery(listener, fleet.list, r.record)
	defer d.close()
	s, err := startSidecar(r.root, d.address, smallDeployment(priceCheck(), stallPay(), dayClose()), 128, 1024,
		fleet.list.whole())
	if err != nil {
		return notRun, err
	}
	defer s.end()
	l := startLoad(r, s.listen, 4, 50*time.Millisecond, time.Second, priceCheckRequest, nil)
	defer l.end()
	time.Sleep(2 * time.Second)
	if _, ok := d.awaitWatch(10 * time.Second); !ok {
		r.record.say("the sidecar has opened no watch")
		return notRun, nil
	}
	if r.trouble {
		d.silence()
		if err := listener.cut(); err != nil {
			return notRun, err
		}
		r.record.say("discovery's machine is cut off: the open watch is silent, and new connections never come up")
	}
	time.Sleep(outage - time.Second)
	fleet.list.setHealth("s-1", "Terminating")
	r.record.say("s-1 begins to drain")
	time.Sleep(time.Second)
	if r.trouble {
		listener.restore()
	}
	reachable := time.Now()
	if err := d.check(); err != nil {
		return notRun, err
	}
	r.record.say("discovery can be reached: a call on a new connection was answered after %v", since(reachable))
	time.Sleep(14 * time.Second)
	if !s.alive() {
		r.record.say("the sidecar has ended: %s", s.log())
		return broken, nil
	}
	return fleet.judge(r, reachable.Add(6*time.Second)), nil
}

// check asks for the whole list on a new connection, as another sidecar would.
func (d *discovery) check() error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	response, err := client.Get("http://" + d.address + "/registry/instances")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
