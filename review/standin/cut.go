package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cutListener is a listener on a machine that can be cut off. While it is, the connections that it has are silent and
// new ones never come up: nothing is accepted, and the queue of the listener is full, so that the system answers no
// attempt to connect.
type cutListener struct {
	net.Listener
	mu      sync.Mutex
	cut     bool
	changed *sync.Cond
	conns   map[*cutConn]bool
	fillers []net.Conn
}

// cutConn is a connection of a machine that can be cut off.
type cutConn struct {
	net.Conn
	l *cutListener
}

// listenCut listens on a free port of the loopback address, with the shortest queue.
func listenCut() (*cutListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	inner, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &cutListener{Listener: inner, conns: map[*cutConn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	return l, nil
}

// wait waits while the machine is cut off.
func (l *cutListener) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.changed.Wait()
	}
}

// Accept accepts nothing while the machine is cut off.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		l.wait()
		tcp := l.Listener.(*net.TCPListener)
		_ = tcp.SetDeadline(time.Now().Add(20 * time.Millisecond))
		raw, err := tcp.Accept()
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &cutConn{raw, l}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		return c, nil
	}
}

// Read returns nothing that comes while the machine is cut off.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.wait()
	return n, err
}

// Write sends nothing while the machine is cut off.
func (c *cutConn) Write(p []byte) (int, error) {
	c.l.wait()
	return c.Conn.Write(p)
}

// cutOff cuts the machine off. It returns an error if the system still answers attempts to connect.
func (l *cutListener) cutOff() error {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	time.Sleep(50 * time.Millisecond) // the accept that was running has ended
	for range 8 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return nil
		}
		l.fillers = append(l.fillers, c)
	}
	return fmt.Errorf("the queue of the listener does not fill")
}

// restore ends the cut. The connections from before it are reset.
func (l *cutListener) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Conn.Close()
	}
	l.conns = map[*cutConn]bool{}
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
	l.cut = false
	l.changed.Broadcast()
}
