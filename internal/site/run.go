package site

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/admission"
	"pinedale/internal/cluster"
	"pinedale/internal/engine"
	"pinedale/internal/front/extproc"
	"pinedale/internal/front/http3front"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/intake"
	"pinedale/internal/keyroom"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/multisource"
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/membership/registry"
	"pinedale/internal/membership/static"
	"pinedale/internal/policy"
	"pinedale/internal/upstream/either"
	"pinedale/internal/upstream/http3upstream"
	"pinedale/internal/upstream/httpupstream"
	"pinedale/internal/upstream/secure"
)

const (
	crowdPart  = 3       // of the clients' connections: from there on answers end theirs
	bodiesPart = 8       // of the memory, this part may hold bodies of requests
	entryPart  = 8       // and this part what the external processor remembers,
	entryBytes = 1 << 10 // at about so much an entry: two names, a round, two attempts
)

// Instance is a running pinedale-site. Make one with Start.
type Instance struct {
	HTTP    net.Addr // nil unless the front is on
	HTTP3   net.Addr // likewise
	ExtProc net.Addr
	Status  net.Addr      // where it tells of other instances, nil unless it does
	Peers   *cluster.Node // likewise

	closePeers func()
	file       *File
	table      atomic.Pointer[policy.Table]
	parser     *intake.Parser
	admit      *admission.Admission // of the engine's goroutine
	log        *slog.Logger
	engine     *engine.Engine
	rooms      rooms
	secure     *secure.Client // nil for plain text towards servers
	ext        *extproc.Server
	end        context.CancelFunc // begins the orderly end
	stop       context.CancelFunc // ends the engine
	closeUp    func() error       // and then what the upstream holds
	served     chan error         // one for each front
	fronts     int
}

// source is where membership comes from, as the file says. Beside ephemeral nodes all
// others are merged with them.
func (f *File) source(log *slog.Logger) engine.Source {
	var parts []multisource.Input
	if e := &f.Ephemeral; len(e.Servers) > 0 {
		parts = append(parts, multisource.Input{Kind: reconcile.Ephemeral, Name: e.Path, Feeder: ephemeral.New(ephemeral.Options{
			Servers: e.Servers, Path: e.Path, Session: time.Duration(e.Session), Digest: f.digest,
			Rules: ephemeral.Rules{Sites: f.Fleet.Sites, Kinds: f.Fleet.Kinds}, Log: log})})
	}
	if f.Discovery.Address != "" {
		client := registry.New(f.Discovery.Address, registry.PollTiming)
		if len(parts) == 0 {
			return client
		}
		parts = append(parts, multisource.Input{Kind: reconcile.Discovery, Name: f.Discovery.Address, Feeder: multisource.SourceFeeder{Source: client}})
	}
	if len(f.Servers) > 0 || len(parts) == 0 {
		list := static.New(f.hosts())
		if len(parts) == 0 {
			return list
		}
		parts = append(parts, multisource.Input{Kind: reconcile.Static, Name: "of the file", Feeder: multisource.SourceFeeder{Source: list}})
	}
	return multisource.New(reconcile.Config{MaxShrinkRatio: f.Membership.ShrinkMost, HoldTime: time.Duration(f.Membership.Hold),
		MaxDiscoveryLag: time.Duration(f.Membership.Lag)}, log, parts...)
}

// collectAt is the heap's growth, in percent of what is live, at which it is
// collected while there is memory: what the external processor remembers is live
// for seconds, and walking it often costs more than it frees.
const collectAt = 300

// UseMemory has the process use the memory that the file grants it, and not more:
// collections are rare until the heap comes near the limit. It leaves a fifth for
// what the runtime does not count.
func (f *File) UseMemory() {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(f.Limits.MemoryMB) << 20 / 10 * 8)
}

// upstream is what the file sends requests by, and how that ends. security is nil for plain text.
func (f *File) upstream(security *secure.Client) (engine.Upstream, func() error, error) {
	one := httpupstream.Options{DialTimeout: time.Duration(f.Limits.DialTimeout), Idle: time.Duration(f.Limits.IdleTimeout),
		Connections: f.Limits.UpstreamConnections, Fields: f.Fleet.Reports}
	if security != nil {
		one.Secure = security
	}
	if !f.Upstream.HTTP3 {
		return httpupstream.New(one), func() error { return nil }, nil
	}
	up, err := either.New(one, http3upstream.Options{Secure: security, DialTimeout: time.Duration(f.Upstream.HandshakeTimeout),
		Idle: one.Idle, Connections: one.Connections, Fields: one.Fields})
	if err != nil {
		return nil, nil, err
	}
	return up, up.Close, nil
}

// altSvcFor is for how long clients may remember that HTTP/3 is served, too.
const altSvcFor = time.Hour

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		if l != nil {
			l.Close()
		}
	}
}

// Start listens and serves as the file says.
func Start(f *File, log *slog.Logger) (*Instance, error) {
	i := &Instance{file: f, log: log, served: make(chan error, 3)}
	var err error
	if i.rooms, err = f.openRooms(log); err != nil {
		return nil, err
	}
	if i.secure, err = f.secure(i.rooms, log); err != nil {
		return nil, err
	}
	part, err := f.subset()
	if err != nil {
		return nil, err
	}
	var listeners [2]net.Listener
	for n, address := range [...]string{f.HTTP.Listen, f.ExtProc.Listen} {
		if address == "" {
			continue
		}
		var err error
		if listeners[n], err = net.Listen("tcp", address); err != nil {
			closeAll(listeners[:])
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	var datagrams net.PacketConn
	if f.HTTP3.Listen != "" {
		var err error
		if datagrams, err = net.ListenPacket("udp", f.HTTP3.Listen); err != nil {
			closeAll(listeners[:])
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	var seed [8]byte
	rand.Read(seed[:])
	// The engine outlives the fronts: requests in hand still need it.
	engineCtx, stop := context.WithCancel(context.Background())
	ctx, end := context.WithCancel(context.Background())
	i.stop, i.end = stop, end
	settings := f.Settings()
	i.table.Store(f.table)
	i.admit = admission.New(f.table.Admission(f.Limits.AdmitRate))
	i.parser = intake.NewParser(&settings)
	i.parser.Use(newRouter(f.table))
	undo := func(more ...func()) {
		stop()
		end()
		for _, f := range more {
			f()
		}
		closeAll(listeners[:])
		if datagrams != nil {
			datagrams.Close()
		}
	}
	up, closeUp, err := f.upstream(i.secure)
	if err != nil {
		undo()
		return nil, fmt.Errorf("upstream: %w", err)
	}
	i.closeUp = closeUp
	if err := i.startPeers(f); err != nil {
		undo(func() { closeUp() })
		return nil, err
	}
	options := engine.Options{Settings: settings, Seed: binary.LittleEndian.Uint64(seed[:]),
		Zones: f.Fleet.Sites, Kinds: f.Fleet.Kinds, CachedList: engine.List{Complete: true, Hosts: f.hosts()},
		Upstream: up, Source: f.source(log), Log: log, Admission: i.admit, Subset: part, Pools: f.table.Pools}
	if i.Peers != nil {
		options.KeyLeases, options.Observe, options.Source = i.Peers, i.Peers.ObserveAttempt, overheard{options.Source, i.Peers}
	}
	e, err := engine.New(engineCtx, options)
	if err != nil {
		undo(i.closePeers, func() { closeUp() })
		return nil, err
	}
	i.engine = e
	var longest time.Duration
	for _, c := range f.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	serve := func(l net.Listener, front func(context.Context, net.Listener) error) net.Addr {
		i.fronts++
		go func() { i.served <- front(ctx, l) }()
		return l.Addr()
	}
	altSvc := ""
	if datagrams != nil {
		front := http3front.New(e, up, http3front.Options{Room: i.rooms[f.HTTP3.Keys], Name: f.Name, Connections: f.HTTP3.Connections,
			Streams: f.HTTP3.Streams, Early: f.HTTP3.Early, BodyBytes: int64(f.Limits.MemoryMB) << 20 / bodiesPart, Parser: i.parser, Log: log})
		i.HTTP3 = datagrams.LocalAddr()
		altSvc = fmt.Sprintf(`h3=":%d"; ma=%d`, i.HTTP3.(*net.UDPAddr).Port, altSvcFor/time.Second)
		i.fronts++
		go func() { i.served <- front.Serve(ctx, datagrams) }()
	}
	i.rooms.run(engineCtx) // requests in hand outlive the fronts, and so do their connections
	if l := listeners[0]; l != nil {
		if room := i.rooms[f.HTTP.Keys]; room != nil {
			l = room.Listen(l, "http/1.1")
		}
		front := httpfront.New(e, up, httpfront.Options{Connections: f.Limits.ClientConnections,
			Crowded: f.Limits.ClientConnections / crowdPart, BodyBytes: int64(f.Limits.MemoryMB) << 20 / bodiesPart, Parser: i.parser, AltSvc: altSvc,
			EndBy: func(longest time.Duration) time.Duration { return longest + time.Second }, Log: log}) // nobody kills it
		i.HTTP = serve(l, front.Serve)
	}
	if l := listeners[1]; l != nil {
		o := extproc.Options{Streams: f.ExtProc.Streams, Backlog: f.ExtProc.Backlog,
			Retries: f.ExtProc.Retries == "ask-again", Entries: f.Limits.MemoryMB << 20 / entryPart / entryBytes,
			Fields: f.Fleet.Reports, Parser: i.parser, Drain: longest, Log: log}
		if room := i.rooms[f.ExtProc.Keys]; room != nil {
			o.TLS, o.Renew = room.Server("h2"), room.Spread()
		}
		i.ext = extproc.New(e, o)
		i.ExtProc = serve(l, i.ext.Serve)
	}
	go e.Run()
	return i, nil
}

// Table is the one in use.
func (i *Instance) Table() *policy.Table { return i.table.Load() }

// Reload looks at the keys' files again and goes over to another file, which Next has read: its classes, routes, pools,
// tenants and admission, and its source of membership. Requests in hand keep what they
// began with. All else stays as it was at the start. If it returns an error, nothing has
// changed.
func (i *Instance) Reload(f *File) error {
	err := errors.New("the instance has ended")
	i.engine.Call(func(now balancer.Micros) {
		t := f.table
		if err = i.engine.Configure(now, engine.RuntimeSettings{Classes: t.Classes(), Budgets: t.Budgets(), Pools: t.Pools}); err != nil {
			return
		}
		i.admit.Configure(t.Admission(f.Limits.AdmitRate))
		if i.ext != nil {
			i.ext.Classes(t.Classes())
		}
		i.table.Store(t)
		i.parser.Use(newRouter(t))
		if i.secure != nil {
			i.secure.Rename(f.verifyNames())
		}
		i.engine.SwitchSource(f.source(i.log))
	})
	if err != nil {
		return err
	}
	i.rooms.look()
	i.tellKeys()
	i.log.Info("configuration reloaded: classes, routes, limits of tenants and servers are the new file's, all else is as at the start", "table", f.table.Version)
	return nil
}

// Keys tells what became of each keys' files, by their names.
func (i *Instance) Keys() map[string]keyroom.Counters {
	out := map[string]keyroom.Counters{}
	for name, room := range i.rooms {
		out[name] = room.Counters()
	}
	return out
}

// Security tells what became of the handshakes with servers; ok is false where servers are
// spoken to in plain text.
func (i *Instance) Security() (c secure.Counters, ok bool) {
	if i.secure == nil {
		return c, false
	}
	return i.secure.Counters(), true
}

// tellKeys logs the counters of keys and handshakes.
func (i *Instance) tellKeys() {
	for name, c := range i.Keys() {
		args := []any{"keys", name, "taken", c.Taken, "kept", c.Kept}
		if c.Left != 0 {
			args = append(args, "days_left", int(c.Left/(24*time.Hour)))
		}
		i.log.Info("keys since the start", args...)
	}
	if c, ok := i.Security(); ok {
		i.log.Info("handshakes with servers since the start", "full", c.Full, "resumed", c.Resumed, "failed", c.Failed, "sessions", c.Sessions,
			"turns_waited", c.Turns.Waited, "turns_refused", c.Turns.Refused, "turns_put_off", c.Turns.Put)
	}
}

// Ready says whether an endpoint is known that requests may go to.
func (i *Instance) Ready() bool { return i.engine.HasEndpoints() }

// readyMost is how long WaitReady waits: discovery and a first session take well under
// a second.
const readyMost = 10 * time.Second

// WaitReady returns once the instance is ready, or an error if it does not become so.
func (i *Instance) WaitReady() error {
	for end := time.Now().Add(readyMost); !i.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("no server is known after %v", readyMost)
		}
	}
	return nil
}

// Requests counts what the engine's ledger holds.
func (i *Instance) Requests() (n int) {
	i.engine.Call(func(balancer.Micros) { n, _ = i.engine.Counts() })
	return n
}

// Held counts what the external processor holds: asks, rounds and entries. It must
// not be called from the engine's goroutine.
func (i *Instance) Held() (asks, rounds, entries int) {
	if i.ext == nil {
		return 0, 0, 0
	}
	return i.ext.Held()
}

// Shutdown ends the service: nothing new is taken, what was taken is answered.
func (i *Instance) Shutdown() { i.end() }

// Wait returns once all fronts have ended: after Shutdown, or because one failed.
func (i *Instance) Wait() error {
	var errs []error
	for range i.fronts {
		err := <-i.served
		if err != nil {
			i.end() // half a service is none
		}
		errs = append(errs, err)
	}
	i.tellKeys()
	i.closePeers() // the last requests in hand were agreed on by now
	i.stop()
	return errors.Join(append(errs, i.closeUp())...)
}
