package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/membership/registry"
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/peer"
	_ "pinedale/internal/standin/seeds"
)

// orders is one run of drawn events: clients, endpoints whose connections come up and whose
// answers come only when drawn, lists, a move of discovery and the end of the service.
type orders struct {
	*world
	mu      sync.Mutex
	asks    map[string]*asked // by id
	order   []*asked
	up      bool            // connections to endpoints come up
	waiting []chan struct{} // dials meanwhile
	open    []*served       // requests at endpoints, in the order of their coming
	bad     []string
}

// asked is a request of a client.
type asked struct {
	id, class string
	conn      net.Conn
	whole     bool // all its bytes have been sent,
	rest      string
	left      bool  // its client has left,
	known     bool  // and the sidecar was seen to know, under orders.mu
	codes     []int // of its answers, under orders.mu
	ended     chan struct{}
	attempts  int
	mayRun    int // of them
}

// served is an attempt at an endpoint.
type served struct {
	ask  *asked
	name string
	conn net.Conn
	done chan struct{}
}

func (o *orders) fault(format string, args ...any) {
	o.bad = append(o.bad, fmt.Sprintf(format, args...))
}

// endpoint takes requests and leaves their answers to the run.
func (o *orders) endpoint(name string) directory.Host {
	e := peer.New(o.t, func(e *peer.Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.Next(in); r != nil; r = e.Next(in) {
			o.mu.Lock()
			s := &served{ask: o.asks[r.Header.Get("X-Correlation-Id")], name: name, conn: conn, done: make(chan struct{})}
			if s.ask.known {
				o.fault("%s (%s) was sent to %s after its client had left", s.ask.id, s.ask.class, name)
			}
			s.ask.attempts++
			if s.ask.mayRun++; s.ask.class == "order" && s.ask.mayRun > 1 {
				o.fault("%s is unsafe and was sent while another attempt may run", s.ask.id)
			}
			o.open = append(o.open, s)
			o.mu.Unlock()
			<-s.done
		}
	})
	return directory.Ready(name, e.Address)
}

// answer ends the oldest attempt that is out: with these bytes, or with its connection's end.
func (o *orders) answer(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.open) == 0 {
		return
	}
	s := o.open[0]
	o.open = o.open[1:]
	if text == peer.Full {
		s.ask.mayRun--
	}
	if text == "" {
		_ = s.conn.(*net.TCPConn).SetLinger(0)
		s.conn.Close()
	}
	_, _ = io.WriteString(s.conn, text) // after a reset there is nobody to write to
	close(s.done)
}

// comeUp has connections to endpoints come up, those that were begun before and later ones.
func (o *orders) comeUp(up bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.up = up; up {
		for _, w := range o.waiting {
			close(w)
		}
		o.waiting = nil
	}
}

func (o *orders) gone() (n int) {
	o.spy.note(func() {
		for _, e := range o.spy.events {
			if e == "gone" {
				n++
			}
		}
	})
	return n
}

// ask sends a request on a new connection, whole or without its last byte.
func (o *orders) ask(class string, whole bool) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(o.url, "http://"))
	if err != nil {
		return // the service has ended
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	text := o.text(class, "x")
	a := &asked{class: class, conn: conn, whole: whole, ended: make(chan struct{})}
	for line := range strings.Lines(text) {
		if id, ok := strings.CutPrefix(line, "X-Correlation-Id: "); ok {
			a.id = strings.TrimSpace(id)
		}
	}
	o.mu.Lock()
	o.asks[a.id], o.order = a, append(o.order, a)
	o.mu.Unlock()
	if !whole {
		text, a.rest = text[:len(text)-1], text[len(text)-1:]
	}
	_, _ = io.WriteString(conn, text) // the service may have ended
	go func() {
		defer close(a.ended)
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			o.mu.Lock()
			a.codes = append(a.codes, r.StatusCode)
			o.mu.Unlock()
			if r.Close {
				return
			}
		}
	}()
}

// taken waits until the balancer has been told of all requests that are whole, the latest
// of which is a's. A busy machine may have let pass the time that a request has to come in.
func (o *orders) taken(a *asked) {
	whole := 0
	for _, a := range o.order {
		if a.whole {
			whole++
		}
	}
	o.until("the request to be taken", func() (all bool) {
		ended := false
		select {
		case <-a.ended:
			ended = true
		default:
		}
		o.spy.note(func() { all = o.spy.requests == whole })
		if !all && ended {
			a.whole, a.left = false, true
		}
		return all || ended
	})
}

// leave has a client go. Where its request is in hand it waits until the sidecar knows: its
// connection has ended, unless an answer was under way.
func (o *orders) leave(a *asked) {
	if a.left {
		return
	}
	conns, known := o.server.Connections(), o.gone()
	a.left = true
	a.conn.Close()
	if !a.whole {
		return
	}
	o.until("the departure", func() bool {
		o.mu.Lock()
		answered := len(a.codes) > 0
		o.mu.Unlock()
		return answered || o.gone() > known || o.server.Connections() < conns
	})
	o.do(func() {})
	o.mu.Lock()
	a.known = o.gone() > known
	o.mu.Unlock()
}

// Whatever comes in whatever order, a request that was taken has one final answer, nothing is
// sent once its client is known to have left, an unsafe request has one attempt that may run,
// nothing new goes to what was told draining, and nothing is left over.
func TestOrdersOfEvents(t *testing.T) {
	events := []string{"ask", "ask", "ask", "begin", "finish", "leave", "up", "down", "answer", "answer", "fail", "reset", "full", "drain", "move", "end"}
	classes := []string{"read", "pay", "close", "order"}
	type event struct {
		what string
		pick int
	}
	rapid.Check(t, func(r *rapid.T) {
		var drawn []event
		for range rapid.IntRange(5, 30).Draw(r, "events") {
			drawn = append(drawn, event{rapid.SampledFrom(events).Draw(r, "what"), rapid.IntRange(0, 99).Draw(r, "which")})
		}
		cancel := rapid.Bool().Draw(r, "cancel")
		var bad []string
		t.Run("order", func(t *testing.T) {
			o := &orders{asks: map[string]*asked{}}
			o.world = &world{t: t, options: func(f *httpfront.Options) {
				f.AcceptFor = time.Millisecond
				f.EndBy = func(time.Duration) time.Duration { return patience } // it ends once all is answered
			}}
			o.control = o.dialled
			hosts := []directory.Host{o.endpoint("s-1"), o.endpoint("s-2"), o.endpoint("s-3")}
			o.dir = directory.New(t, hosts...)
			o.begin(func(s map[string]any) {
				l := s["limits"].(map[string]any)
				l["cancel"], l["dial-timeout"] = cancel, time.Minute.Microseconds()
			}, hosts...)
			ended := false
			for n, e := range drawn {
				switch e.what {
				case "ask", "begin":
					if !ended { // it may not be accepted any more
						if o.ask(classes[e.pick%len(classes)], e.what == "ask"); e.what == "ask" {
							o.taken(o.order[len(o.order)-1])
						}
					}
				case "finish":
					for _, a := range o.order {
						if !a.whole && !a.left {
							a.whole = true
							_, _ = io.WriteString(a.conn, a.rest) // the service may have ended
							o.taken(a)
							break
						}
					}
				case "leave":
					if len(o.order) > 0 {
						o.leave(o.order[e.pick%len(o.order)])
					}
				case "up", "down":
					o.comeUp(e.what == "up")
				case "answer":
					o.answer(peer.Served)
				case "fail":
					o.answer(peer.Failing)
				case "full":
					o.answer(peer.Full)
				case "reset":
					o.answer("")
				case "drain":
					if ended {
						break // nobody may be left to hear it
					}
					hosts = slices.Clone(hosts)
					hosts[0].Health = "Terminating"
					lists := o.spy.count(balancer.ListFull)
					o.dir.Change(func() { o.dir.List = directory.Document{Seq: uint64(n + 1), Whole: true, Hosts: hosts} })
					o.until("the list", func() bool { return o.spy.count(balancer.ListFull) > lists })
				case "move":
					o.do(func() { o.engine.SwitchSource(registry.New(o.dir.Address, o.cfg.pace())) })
				case "end":
					o.stop()
					ended = true
				}
			}
			bad = o.close(ended)
		})
		for _, text := range bad {
			r.Error(text)
		}
	})
}

// dialled has a connection to an endpoint wait until it may come up.
func (o *orders) dialled(string, string, syscall.RawConn) error {
	wait := make(chan struct{})
	o.mu.Lock()
	if o.up {
		close(wait)
	} else {
		o.waiting = append(o.waiting, wait)
	}
	o.mu.Unlock()
	<-wait
	return nil
}

// close ends a run: all that is under way goes on, all that is out is answered, and the sidecar
// ends. It returns what was wrong.
func (o *orders) close(ended bool) []string {
	o.comeUp(true)
	if !ended {
		o.stop()
	}
	for _, a := range o.order {
		if !a.whole && !a.left {
			a.left = true
			a.conn.Close()
		}
	}
	for over := false; !over; {
		o.answer(peer.Served)
		select {
		case err := <-o.ended:
			if over = true; err != nil {
				o.fault("the sidecar ended with %v", err)
			}
		case <-time.After(time.Millisecond):
		}
	}
	for _, a := range o.order {
		if !a.left {
			<-a.ended
			if len(a.codes) != 1 {
				o.fault("%s (%s) has answers %v, want one", a.id, a.class, a.codes)
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.open {
		close(s.done)
	}
	return o.bad
}
