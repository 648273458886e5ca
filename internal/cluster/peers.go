// Package peers lets instances of pinedale-site talk to each other: memberlist (SWIM) says who
// is there and carries the messages, sealed with its keyring; package claims decides which of
// them may send a keyed request where, and package replica what each holds of what all tell.
//
// One goroutine owns both modules. The engine hands it claims without waiting and hears of
// them by a posted event; what peers send goes through a bounded queue and is dropped beyond
// it. Nothing here proves that a request has not run, and with nobody to talk to an instance
// decides as if it were alone, but for classes that must be sure.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"google.golang.org/protobuf/proto"

	"pinedale/balancer"
	"pinedale/internal/cluster/message"
	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/drainadvisory"
	"pinedale/internal/engine"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

const (
	groupMost  = 80   // bytes of a group's name
	inboxMost  = 4096 // messages that wait; a datagram that finds no room is lost, as any may be
	claimsMost = 4096 // claims that wait to be begun
	tickEvery  = 5 * time.Millisecond
	askAgain   = 20 * time.Millisecond // twice the round trip of a slow local network
	sweepEvery = time.Second
	joinEvery  = 2 * time.Second
	leaveFor   = 500 * time.Millisecond
	// rivalFor is how long, beside the hold, an instance does not answer as a witness after it
	// has heard of another of its name: two of memberlist's whole exchanges, in which it would
	// hear of it again.
	rivalFor = time.Minute
	// bytesMost a second go out, beside claims, whatever the fleet's size: deltas and vectors
	// for those that ask. Rumours and digests come to a few kB.
	bytesMost = 64 << 10
)

// Agreement says how much a class wants to be agreed on.
type Agreement uint8

// How a class is agreed on.
const (
	AgreeNever  Agreement = iota // each instance decides alone
	AgreeSoon                    // what is known within Wait counts, and then the request goes
	AgreeAlways                  // without a majority's word it is not sent
)

// Class is one class of requests.
type Class struct {
	Name      string // instances may number their classes differently
	Agreement Agreement
}

// Config is what an operator says.
type Config struct {
	Name          string            // of this instance
	Listen        string            // host:port, for UDP and TCP
	Advertise     string            // host:port that others reach it by, Listen where it is ""
	Join          []string          // name/host:port of others
	Via           map[string]string // host:port by which an instance is reached from here, by name, where it is not what it advertises
	Keys          [][]byte          // 16, 24 or 32 bytes; the first seals, all open. None: plain text
	Voters        []string          // names, the same at all instances
	Classes       []Class           // by number
	LeaseTimeout  time.Duration     // for a majority's word
	LeaseDuration time.Duration     // for which a key is remembered: twice the longest deadline of classes that are agreed on
	Site          string
	Build         string
	SlowStartTime time.Duration // after its start a server counts as cold for so long
	// OnDrainAdvisory is told, on the engine's goroutine, which servers others know to drain while the own
	// list has them as ready: by name, with the start that is meant; nil where nobody listens.
	OnDrainAdvisory func(now balancer.Micros, draining map[string]int64)
	Log             *slog.Logger
}

// witnessesOf is how many witnesses a key has: two of three may be lost or parted for a time,
// never both of the majority that told.
const witnessesOf = 3

// Node runs the modules of one instance.
type Node struct {
	cfg   Config
	log   *slog.Logger
	list  *memberlist.Memberlist
	post  func(func(now balancer.Micros)) // to the engine
	began time.Time
	at    string // host:port that it says it is reached by
	life  replication.Origin
	roll  uint64
	inbox chan []byte
	asks  chan func()
	done  chan struct{}
	wait  sync.WaitGroup
	close sync.Once

	dropped         atomic.Uint64           // messages that found no room
	advised, heeded atomic.Pointer[advised] // the newest advice, and what the engine holds back by now

	mu      sync.Mutex
	nodes   map[string]*memberlist.Node // that are alive, by name
	tallies tallies
	taken   int64                  // ends of attempts and probes
	listed  map[string]engine.Host // as the own source tells, by name
	news    bool                   // it has told something since advise looked

	// Below: the host's goroutine alone.
	witness *keylease.Acceptor
	seen    time.Duration      // when the goroutine last looked at the clock
	mine    *keylease.Acceptor // of all keys claimed here: what is known without anybody's word
	store   *replication.Store
	open    map[uint64]*pending // claims without a verdict, by request
	rng     *rand.Rand
	budget  float64
	counts  Counts
	pace    time.Duration // next telling
	start   int
	lives   map[string]engine.Host   // listed, by life, and of those the
	ready   []string                 // ready and the
	leaving []string                 // draining ones
	drains  map[string]time.Duration // lives told to drain, and when
	longest time.Duration            // that the goroutine was at work without looking up
}

// Counts are figures since the start.
type Counts struct {
	Claims  uint64 `json:"Claims"`
	Clear   uint64 `json:"Clear"`
	Shared  uint64 `json:"Shared"`
	Refused uint64 `json:"Refused"`
	Unsure  uint64 `json:"Unsure"` // sent without a majority's answer, or not sent for want of it
	Heard   uint64 `json:"Heard"`  // messages taken in
	Bad     uint64 `json:"Bad"`    // messages not understood
	Sent    uint64 `json:"Sent"`
	Bytes   uint64 `json:"Bytes"`
}

// pending is a claim that waits for its verdict.
type pending struct {
	claim *keylease.Lease
	what  engine.LeaseRequest
	begun time.Duration
	asked time.Duration
	until time.Duration
	told  func(balancer.Micros, engine.LeaseDecision)
	here  keylease.Response // what this instance knows by itself
}

// Start listens and begins to talk. post hands events to the engine's goroutine; it may be
// called from any goroutine but that one.
func Start(cfg Config, post func(func(now balancer.Micros))) (*Node, error) {
	host, port, err := net.SplitHostPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	h := &Node{cfg: cfg, log: cfg.Log, post: post, began: time.Now(), nodes: map[string]*memberlist.Node{}, listed: map[string]engine.Host{}, drains: map[string]time.Duration{},
		life: replication.Origin{Name: cfg.Name, Epoch: uint64(time.Now().UnixMicro())}, roll: keylease.VoterSetHash(cfg.Voters),
		inbox: make(chan []byte, inboxMost), asks: make(chan func(), claimsMost), done: make(chan struct{}),
		open: map[uint64]*pending{}, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), budget: bytesMost,
		tallies: tallies{warmWithin: cfg.SlowStartTime, of: map[string]*tally{}}}
	h.advised.Store(&advised{})
	h.heeded.Store(&advised{})
	h.forget(0)
	h.mine = keylease.NewAcceptor(-h.keys().MaxDuration, h.keys(), h.roll)
	h.store = replication.New(h.life, topics, replication.Defaults)

	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: number,
		Logger: log.New(quiet{cfg.Log}, "", 0)})
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport = cfg.Name, &via{transport, cfg.Via}
	c.BindAddr, c.BindPort = host, transport.GetAutoBindPort()
	c.AdvertiseAddr, c.AdvertisePort = host, c.BindPort
	if cfg.Advertise != "" {
		if c.AdvertiseAddr, port, err = net.SplitHostPort(cfg.Advertise); err == nil {
			c.AdvertisePort, err = strconv.Atoi(port)
		}
		if err != nil {
			transport.Shutdown()
			return nil, fmt.Errorf("peers: advertise: %w", err)
		}
	}
	h.at = net.JoinHostPort(c.AdvertiseAddr, strconv.Itoa(c.AdvertisePort))
	c.Logger = log.New(quiet{cfg.Log}, "", 0)
	c.Delegate, c.Events, c.Alive = (*delegate)(h), (*delegate)(h), (*delegate)(h)
	// One that is found dead may come back under its name at another address at once: names
	// are the operator's, and addresses may change with each start.
	c.DeadNodeReclaimTime = time.Millisecond
	if len(cfg.Keys) > 0 {
		if c.Keyring, err = memberlist.NewKeyring(cfg.Keys, cfg.Keys[0]); err != nil {
			transport.Shutdown()
			return nil, fmt.Errorf("peers: keys: %w", err)
		}
	}
	if h.list, err = memberlist.Create(c); err != nil {
		transport.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	h.wait.Go(h.run)
	h.wait.Go(h.join)
	return h, nil
}

// keys are the limits of what the host keeps of keys.
func (h *Node) keys() keylease.Limits {
	return keylease.Limits{Keys: 1 << 17, Holders: 16, MaxDuration: max(h.cfg.LeaseDuration, time.Millisecond)}
}

// forget has the host be a witness that has just started at an instant: it answers nothing
// until the hold is over.
func (h *Node) forget(at time.Duration) { h.witness = keylease.NewAcceptor(at, h.keys(), h.roll) }

// never is later than any host lives.
const never = 100 * 365 * 24 * time.Hour

// look takes the time. A process that was stopped for long may have a successor by its name,
// which has answered meanwhile what this one never heard of. A successor answers nothing for
// the hold after its start: whoever stood still for less than half of it has missed nothing.
// Who stood still for longer answers nothing until it has asked others who is there, which
// tells it of a successor, and then for the hold.
func (h *Node) look() time.Duration {
	now := h.now()
	if h.cfg.LeaseDuration > 0 && now-h.seen > h.cfg.LeaseDuration/2 { // without a hold no class agrees, and nobody asks
		h.log.Warn("peers: this process stood still; it answers nothing as a witness for a time", "for", now-h.seen)
		h.forget(now + never)
		h.wait.Go(h.meet)
	}
	h.seen = now
	return now
}

// meet exchanges all that is known of instances with one other, whoever it is.
func (h *Node) meet() {
	for wait := time.Duration(0); ; wait = joinEvery {
		select {
		case <-h.done:
			return
		case <-time.After(wait):
		}
		for _, n := range h.list.Members() {
			if n.Name == h.cfg.Name {
				continue
			}
			if met, _ := h.list.Join([]string{n.Name + "/" + n.Address()}); met > 0 {
				h.do(context.Background(), func() {
					if h.witness.RecoveringFor(h.now()) > never/2 {
						h.forget(h.now())
					}
				})
				return
			}
		}
	}
}

// Addr is where the host listens.
func (h *Node) Addr() string {
	n := h.list.LocalNode()
	return net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port)))
}

// Close tells the others that this instance leaves, and ends.
func (h *Node) Close() {
	h.close.Do(func() {
		close(h.done)
		h.wait.Wait()
		h.list.Leave(leaveFor)
		h.list.Shutdown()
	})
}

// now is the modules' time.
func (h *Node) now() time.Duration { return time.Since(h.began) }

// Covers says whether requests of a class are agreed on. It is an engine.Guard's.
func (h *Node) Covers(class uint8) bool {
	return int(class) < len(h.cfg.Classes) && h.cfg.Classes[class].Agreement != AgreeNever
}

// Acquire begins to ask for a key.
func (h *Node) Acquire(c engine.LeaseRequest, told func(now balancer.Micros, v engine.LeaseDecision)) {
	begin := func() { h.begin(c, told) }
	select {
	case h.asks <- begin:
	default:
		// The host is behind. The engine's goroutine must not wait for it, nor be called from here.
		go h.post(func(now balancer.Micros) { told(now, h.unsure(c.Class, "too many claims wait")) })
	}
}

// Release takes a claim back.
func (h *Node) Release(c engine.LeaseRequest) {
	select {
	case h.asks <- func() { h.release(c) }:
	default: // the key stays held for a time, which only keeps it in its group
	}
}

// unsure is the verdict where no majority has spoken.
func (h *Node) unsure(class uint8, why string) engine.LeaseDecision {
	if h.cfg.Classes[class].Agreement == AgreeAlways {
		return engine.LeaseDecision{Kind: engine.LeaseDenied, Reason: why}
	}
	return engine.LeaseDecision{Kind: engine.LeaseExclusive}
}

// ObserveAttempt counts how an attempt or a probe ended. It is called on the engine's goroutine.
func (h *Node) ObserveAttempt(t *engine.Target, s balancer.Status) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken++
	h.tallies.add(now, serverLife(t.Name, t.StartedMS), t.Started(), s)
}

func (h *Node) run() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var gossip, compare, sweep time.Duration
	var woke time.Time
	for {
		if !woke.IsZero() {
			h.longest = max(h.longest, time.Since(woke))
		}
		select {
		case do := <-h.asks:
			woke = time.Now()
			h.look()
			do()
		case data := <-h.inbox:
			woke = time.Now()
			h.look()
			h.hear(data)
		case <-tick.C:
			woke = time.Now()
			now := h.look()
			h.again(now)
			if now >= gossip {
				h.gossip(now)
				gossip = now + replication.GossipInterval
			}
			if now >= compare {
				h.compare()
				compare = now + replication.AntiEntropyInterval
			}
			if now >= sweep {
				h.store.Expire(now)
				sweep = now + sweepEvery
			}
		case <-h.done:
			return
		}
	}
}

// begin asks a key's witnesses for it.
func (h *Node) begin(c engine.LeaseRequest, told func(balancer.Micros, engine.LeaseDecision)) {
	h.counts.Claims++
	now := h.now()
	key := keylease.KeyOf(h.cfg.Classes[c.Class].Name, c.Key)
	names := keylease.Voters(h.cfg.Voters, key, witnessesOf)
	p := &pending{what: c, told: told, begun: now, asked: now, until: min(now+h.cfg.LeaseTimeout, now+time.Until(c.Deadline)),
		claim: keylease.NewLease(keylease.Request{Key: key, Owner: h.owner(c.Request), Term: c.Term, Group: c.Group, Duration: h.cfg.LeaseDuration, VoterSet: h.roll}, names)}
	p.here, _ = h.mine.HandleRequest(now, p.claim.Request)
	h.open[c.Request] = p
	h.ask(now, p)
}

func (h *Node) owner(request uint64) keylease.Owner {
	return keylease.Owner{Name: h.life.Name, Epoch: h.life.Epoch, Request: request}
}

// ask asks all witnesses that have not answered.
func (h *Node) ask(now time.Duration, p *pending) {
	p.asked = now
	for _, name := range p.claim.Unanswered() {
		if name == h.cfg.Name {
			if a, ok := h.witness.HandleRequest(now, p.claim.Request); ok {
				h.answered(now, name, a)
			}
		} else {
			h.send(name, p.claim.Request)
		}
	}
}

// answered takes a witness's answer in.
func (h *Node) answered(now time.Duration, from string, a keylease.Response) {
	p := h.open[a.Owner.Request]
	if p == nil || a.Owner != h.owner(a.Owner.Request) || !p.claim.HandleResponse(p.begun, from, a) {
		return
	}
	h.judge(now, p, false)
}

// judge ends a claim if it can be, and in any case if its time is over.
func (h *Node) judge(now time.Duration, p *pending, over bool) {
	outcome, group, first := p.claim.State()
	v := engine.LeaseDecision{Group: group, Since: h.began.Add(first)}
	switch {
	case outcome == keylease.Exclusive:
		h.counts.Clear++
	case outcome == keylease.Shared:
		h.counts.Shared++
		v.Kind = engine.LeaseShared
	case outcome == keylease.SplitVote:
		// Several asked at once, and none can have a majority: none of them sends.
		h.counts.Refused++
		v = engine.LeaseDecision{Kind: engine.LeaseDenied, Reason: "several ask for the key at once"}
	case !over:
		return
	case p.claim.Seen():
		h.counts.Refused++
		v = engine.LeaseDecision{Kind: engine.LeaseDenied, Reason: "others hold the key, and no majority of its witnesses says where"}
	case h.cfg.Classes[p.what.Class].Agreement == AgreeSoon && p.here.Shared:
		// Nobody else answers, but another request with the key went through this instance.
		h.counts.Shared++
		v = engine.LeaseDecision{Kind: engine.LeaseShared, Group: p.here.Group, Since: h.began.Add(p.begun - p.here.Age)}
	default:
		h.counts.Unsure++
		v = h.unsure(p.what.Class, "no majority of the key's witnesses answered; one "+p.claim.DenialReason().String())
	}
	delete(h.open, p.what.Request)
	h.post(func(now balancer.Micros) { p.told(now, v) })
}

// release takes back a claim, answered or not.
func (h *Node) release(c engine.LeaseRequest) {
	key := keylease.KeyOf(h.cfg.Classes[c.Class].Name, c.Key)
	delete(h.open, c.Request)
	r := message.Release{Key: key, Owner: h.owner(c.Request), Term: c.Term}
	h.mine.HandleRelease(h.now(), r.Key, r.Owner, r.Term)
	for _, name := range keylease.Voters(h.cfg.Voters, key, witnessesOf) {
		if name == h.cfg.Name {
			h.witness.HandleRelease(h.now(), r.Key, r.Owner, r.Term)
		} else {
			h.send(name, r)
		}
	}
}

// again asks again what was lost, and ends claims whose time is over.
func (h *Node) again(now time.Duration) {
	for _, p := range h.open {
		switch {
		case now >= p.until:
			h.judge(now, p, true)
		case now-p.asked >= askAgain:
			p.claim.Retry()
			h.ask(now, p)
		}
	}
}

// gossip tells what has changed here and passes rumours on.
func (h *Node) gossip(now time.Duration) {
	h.budget = min(bytesMost, h.budget+bytesMost*replication.GossipInterval.Seconds())
	h.tell(now)
	h.advise(now)
	others := h.others()
	r := h.store.Rumours(now)
	for range min(replication.Fanout, len(others)) {
		i := h.rng.IntN(len(others))
		if len(r) > 0 {
			h.send(others[i], message.Rumours(r))
		}
		others = slices.Delete(others, i, i+1)
	}
}

// compare finds out, with one other, what rumours have missed.
func (h *Node) compare() {
	if others := h.others(); len(others) > 0 {
		h.send(others[h.rng.IntN(len(others))], h.store.Digest())
	}
}

// tell writes what has changed here, as often as the fleet's size allows.
func (h *Node) tell(now time.Duration) {
	if now < h.pace {
		return
	}
	// Every few turns, and when there is nothing else, the instance tells of itself.
	own := h.rng.IntN(8) == 0
	topic, subject, v := topicServer, "", proto.Message(nil)
	h.mu.Lock()
	if !own {
		var server *peerspb.Server
		var news bool
		subject, server, news = h.tallies.next()
		v, own = server, !news
	}
	rate := float64(h.taken) / max(1, now.Seconds())
	n := len(h.nodes)
	h.mu.Unlock()
	h.pace = now + replication.AdvertisementInterval(n)
	if own {
		topic, subject = topicInstance, "self"
		v = &peerspb.Instance{Site: h.cfg.Site, Build: h.cfg.Build, Requests: rate, UptimeUs: uint64(now.Microseconds())}
		h.pace = max(h.pace, now+time.Second)
	}
	value, err := proto.Marshal(v)
	if err == nil {
		err = h.store.Put(now, topic, subject, value)
	}
	if err != nil {
		h.log.Debug("peers: not told", "subject", subject, "error", err)
	}
}

// advised are servers that are held back: as lives, and as starts by name.
type advised struct {
	lives  []string
	starts map[string]int64
}

// EndpointsUpdated is told what the own source tells, from any goroutine.
func (h *Node) EndpointsUpdated(kind balancer.ListKind, list engine.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.news = true
	if kind == balancer.ListFull {
		clear(h.listed)
	}
	for _, x := range list.Hosts {
		if h.listed[x.Name] = x; x.State == balancer.Removed {
			delete(h.listed, x.Name)
		}
	}
}

const (
	// drainsMost is how many drains an instance tells of: beyond it a release is under way that
	// nobody needs others for.
	drainsMost = 48
	// drainAgain is how long after it was told a drain that goes on is told again.
	drainAgain = drainadvisory.MaxReportAge / 2
	// Of a large fleet some tell of a drain and the others leave it at that: enough that two are
	// heard though some are lost, and as much to send whatever the fleet's size. Each time that
	// the host looks, so many do in the mean as long as too few have been heard.
	drainTellers = 8
	drainVoices  = 2 * drainadvisory.MinReporters
)

// sort has what the own source lists in order, if it has told something since.
func (h *Node) sort() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.news {
		return
	}
	h.news, h.lives, h.ready, h.leaving = false, map[string]engine.Host{}, nil, nil
	for _, x := range h.listed {
		life := serverLife(x.Name, x.StartedMS)
		if h.lives[life] = x; x.State == balancer.Ready {
			h.ready = append(h.ready, life)
		} else {
			h.leaving = append(h.leaving, life)
		}
	}
	slices.Sort(h.leaving)
	h.leaving = h.leaving[:min(len(h.leaving), drainsMost)]
}

// advise tells which servers drain by the own list, and passes on what others tell of those that
// are ready by it.
func (h *Node) advise(now time.Duration) {
	h.sort()
	var told []drainadvisory.Report
	voices := map[string]int{}
	for _, x := range h.store.View(now, topicDrain) {
		told = append(told, drainadvisory.Report{Origin: x.Origin.Name, StartedMS: x.Subject, Age: x.Age})
		if x.Origin != h.life && x.Age < drainAgain {
			voices[x.Subject]++
		}
	}
	for life, at := range h.drains {
		// One that is not listed any more has ended: that others should send there is over for good.
		if _, back := h.lives[life]; !slices.Contains(h.leaving, life) && (back || now-at > drainadvisory.MaxReportAge) {
			h.store.Withdraw(now, topicDrain, life)
			delete(h.drains, life)
		}
	}
	others := len(h.others())
	for _, life := range h.leaving {
		at, mine := h.drains[life]
		if mine && now-at < drainAgain || voices[life] >= drainVoices || h.rng.Float64()*float64(others+1) > drainTellers {
			continue
		}
		if err := h.store.Put(now, topicDrain, life, nil); err != nil {
			h.log.Debug("peers: not told", "subject", life, "error", err)
		}
		h.drains[life] = now
	}
	if h.cfg.OnDrainAdvisory == nil {
		return
	}
	held := drainadvisory.HeldBack(h.cfg.Name, h.ready, told)
	if slices.Equal(held, h.advised.Load().lives) {
		return
	}
	h.log.Info("peers: servers are held back that others know to drain", "servers", held)
	next := &advised{lives: held, starts: map[string]int64{}}
	for _, life := range held {
		next.starts[h.lives[life].Name] = h.lives[life].StartedMS
	}
	h.advised.Store(next)
	// The engine may be busy, and this goroutine is waited for by others. What it is told last is
	// the newest advice, in whatever order it comes to it.
	h.wait.Go(func() {
		h.post(func(now balancer.Micros) {
			a := h.advised.Load()
			h.cfg.OnDrainAdvisory(now, a.starts)
			h.heeded.Store(a)
		})
	})
}

// others are the names of those that are there.
func (h *Node) others() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]string, 0, len(h.nodes))
	for name := range h.nodes {
		if name != h.cfg.Name {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// send sends one message, if its receiver is there. It may be lost.
func (h *Node) send(name string, what any) {
	h.mu.Lock()
	node := h.nodes[name]
	h.mu.Unlock()
	if node == nil {
		return
	}
	data, err := message.Encode(message.Message{From: h.life, What: what})
	if err != nil {
		h.log.Error("peers: a message could not be made", "error", err)
		return
	}
	h.counts.Sent++
	h.counts.Bytes += uint64(len(data))
	if err := h.list.SendBestEffort(node, data); err != nil {
		h.log.Debug("peers: not sent", "to", name, "error", err)
	}
}

// spend takes the bytes of an answer from the budget.
func (h *Node) spend(n int) bool {
	if h.budget < float64(n) {
		return false
	}
	h.budget -= float64(n)
	return true
}

// hear takes in what a peer has sent.
func (h *Node) hear(data []byte) {
	m, err := message.Decode(data)
	if err != nil {
		if h.counts.Bad++; h.counts.Bad&(h.counts.Bad-1) == 0 { // the 1st, 2nd, 4th, 8th, ...
			h.log.Warn("peers: a message makes no sense", "error", err, "so_far", h.counts.Bad)
		}
		return
	}
	h.counts.Heard++
	now := h.now()
	switch w := m.What.(type) {
	case keylease.Request:
		if a, ok := h.witness.HandleRequest(now, w); ok {
			h.send(m.From.Name, a)
		}
	case keylease.Response:
		h.answered(now, m.From.Name, w)
	case message.Release:
		h.witness.HandleRelease(now, w.Key, w.Owner, w.Term)
	case message.Rumours:
		for _, r := range w {
			h.store.HandleRumour(now, r)
		}
	case replication.Digest:
		if v := h.store.HandleDigest(w, h.start); v != nil && h.spend(message.MaxBytes) {
			h.start = (h.start + 1) % replication.Buckets
			h.send(m.From.Name, v)
		}
	case *replication.Vectors:
		deltas, own := h.store.HandleVectors(now, w)
		if own != nil && h.spend(message.MaxBytes) {
			h.send(m.From.Name, own)
		}
		for _, d := range deltas {
			if !h.spend(message.MaxBytes) {
				break
			}
			h.send(m.From.Name, d)
		}
	case replication.Delta:
		h.store.Merge(now, w)
	}
}

// join looks for others while some of those that the operator named are not there.
func (h *Node) join() {
	if len(h.cfg.Join) == 0 {
		return
	}
	for wait := time.Duration(0); ; wait = joinEvery/2 + rand.N(joinEvery) {
		select {
		case <-h.done:
			return
		case <-time.After(wait):
		}
		var missing []string
		h.mu.Lock()
		for _, at := range h.cfg.Join {
			name, _, _ := strings.Cut(at, "/")
			if h.nodes[name] == nil {
				missing = append(missing, at)
			}
		}
		h.mu.Unlock()
		if len(missing) > 0 {
			h.list.Join([]string{missing[rand.IntN(len(missing))]})
		}
	}
}

// delegate is what memberlist calls. None of it may block.
type delegate Node

func (d *delegate) NodeMeta(int) []byte             { return nil }
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}

func (d *delegate) NotifyMsg(data []byte) {
	select {
	case d.inbox <- slices.Clone(data):
	default:
		d.dropped.Add(1)
	}
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[n.Name] = n
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.nodes, n.Name)
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

// NotifyAlive hears of each instance that says it is there. One of this one's name elsewhere
// is the original of a copied folder, or the successor of a process that goes on: while two
// answer as one witness neither knows what the other has told. Whoever hears of the other
// does not. (A newcomer hears of the one that is there when it joins; that one need not hear
// of the newcomer, whom the others do not let in.)
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	if n.Name != d.cfg.Name || n.Address() == d.at {
		return nil
	}
	d.log.Error("peers: another instance has this one's name; this one does not answer as a witness", "name", n.Name, "at", n.Address())
	select {
	case d.asks <- func() { (*Node)(d).forget((*Node)(d).now() + rivalFor) }:
	default: // it is told again
	}
	return nil
}

// via is memberlist's transport, with other addresses for some names.
type via struct {
	*memberlist.NetTransport
	names map[string]string
}

func (v *via) at(a memberlist.Address) memberlist.Address {
	if other, ok := v.names[a.Name]; ok {
		a.Addr = other
	}
	return a
}

func (v *via) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return v.NetTransport.WriteToAddress(b, v.at(a))
}

func (v *via) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return v.NetTransport.DialAddressTimeout(v.at(a), timeout)
}

// quiet passes memberlist's errors and warnings on as debug lines: what matters is told by the
// host itself, and a lost peer would fill the log.
type quiet struct{ log *slog.Logger }

func (q quiet) Write(line []byte) (int, error) {
	q.log.Debug("peers: " + strings.TrimSpace(string(line)))
	return len(line), nil
}

// errEnded is what is told of a host that has ended.
var errEnded = errors.New("peers: the host has ended")

// do runs f on the host's goroutine and waits for its end.
func (h *Node) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case h.asks <- func() { f(); close(ran) }:
	case <-h.done:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-h.done:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}
