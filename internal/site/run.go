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

// maxFronts is how many fronts a file may switch on.
const maxFronts = 3

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

// sockets are those that the fronts serve on, nil for a front that is not switched on.
type sockets struct {
	http    net.Listener
	extProc net.Listener
	http3   net.PacketConn
}

// listen opens the sockets of all fronts, or none if one of them fails.
func (f *File) listen() (*sockets, error) {
	s := &sockets{}
	err := s.open(f)
	if err != nil {
		s.close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// open opens one socket after the other, up to the first that fails.
func (s *sockets) open(f *File) (err error) {
	if f.HTTP.Listen != "" {
		if s.http, err = net.Listen("tcp", f.HTTP.Listen); err != nil {
			return err
		}
	}
	if f.ExtProc.Listen != "" {
		if s.extProc, err = net.Listen("tcp", f.ExtProc.Listen); err != nil {
			return err
		}
	}
	if f.HTTP3.Listen != "" {
		if s.http3, err = net.ListenPacket("udp", f.HTTP3.Listen); err != nil {
			return err
		}
	}
	return nil
}

// close closes the sockets that are open.
func (s *sockets) close() {
	if s.http != nil {
		s.http.Close()
	}
	if s.extProc != nil {
		s.extProc.Close()
	}
	if s.http3 != nil {
		s.http3.Close()
	}
}

// Start opens the file's sockets, starts the engine, the connection to other instances and the fronts,
// and returns without waiting for them. After an error nothing is left running.
func Start(f *File, log *slog.Logger) (*Instance, error) {
	i := &Instance{file: f, log: log, served: make(chan error, maxFronts)}
	var err error
	if i.rooms, err = f.openRooms(log); err != nil {
		return nil, err
	}
	if i.secure, err = f.secure(i.rooms, log); err != nil {
		return nil, err
	}
	subset, err := f.subset()
	if err != nil {
		return nil, err
	}
	open, err := f.listen()
	if err != nil {
		return nil, err
	}
	// The engine outlives the fronts: requests in flight still need it.
	engineCtx, stop := context.WithCancel(context.Background())
	frontCtx, end := context.WithCancel(context.Background())
	i.stop, i.end = stop, end
	upstream, err := i.createEngine(engineCtx, subset)
	if err != nil {
		open.close()
		return nil, err
	}
	altSvc := i.serveHTTP3(frontCtx, open.http3, upstream)
	i.rooms.run(engineCtx) // requests in flight outlive the fronts, and so do their connections
	i.serveHTTP(frontCtx, open.http, upstream, altSvc)
	i.serveExtProc(frontCtx, open.extProc)
	go i.engine.Run()
	return i, nil
}

// createEngine creates the engine with its surroundings: the routing table, the parser, admission, the
// upstream and the connection to other instances. After an error it has released them all.
func (i *Instance) createEngine(ctx context.Context, subset engine.Subset) (engine.Upstream, error) {
	f := i.file
	settings := f.Settings()
	i.table.Store(f.table)
	i.admit = admission.New(f.table.Admission(f.Limits.AdmitRate))
	i.parser = intake.NewParser(&settings)
	i.parser.Use(newRouter(f.table))
	upstream, closeUpstream, err := f.upstream(i.secure)
	if err != nil {
		i.cancel()
		return nil, fmt.Errorf("upstream: %w", err)
	}
	i.closeUp = closeUpstream
	if err := i.startPeers(f); err != nil {
		i.cancel()
		_ = closeUpstream() // the error that is returned says why
		return nil, err
	}
	if i.engine, err = engine.New(ctx, i.engineOptions(settings, upstream, subset)); err != nil {
		i.cancel()
		i.closePeers()
		_ = closeUpstream() // likewise
		return nil, err
	}
	return upstream, nil
}

// cancel ends the contexts of the engine and the fronts.
func (i *Instance) cancel() {
	i.stop()
	i.end()
}

// engineOptions returns what the engine is created with, with other instances where the file names them.
func (i *Instance) engineOptions(settings balancer.Settings, upstream engine.Upstream, subset engine.Subset) engine.Options {
	f := i.file
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails: it ends the process instead
	options := engine.Options{
		Settings:   settings,
		Seed:       binary.LittleEndian.Uint64(seed[:]),
		Zones:      f.Fleet.Sites,
		Kinds:      f.Fleet.Kinds,
		CachedList: engine.List{Complete: true, Hosts: f.hosts()},
		Upstream:   upstream,
		Source:     f.source(i.log),
		Log:        i.log,
		Admission:  i.admit,
		Subset:     subset,
		Pools:      f.table.Pools,
	}
	if i.Peers != nil {
		options.KeyLeases = i.Peers
		options.Observe = i.Peers.ObserveAttempt
		options.Source = overheard{options.Source, i.Peers}
	}
	return options
}

// serve runs a front in a goroutine of its own; Wait receives its error.
func (i *Instance) serve(front func() error) {
	i.fronts++
	go func() { i.served <- front() }()
}

// maxBodyBytes bounds the bodies of requests that each HTTP front holds.
func (f *File) maxBodyBytes() int64 { return int64(f.Limits.MemoryMB) << 20 / bodiesPart }

// serveHTTP3 starts the HTTP/3 front and returns the Alt-Svc value by which the HTTP/1.1 front
// advertises it, "" if it is not switched on.
func (i *Instance) serveHTTP3(ctx context.Context, socket net.PacketConn, upstream engine.Upstream) (altSvc string) {
	if socket == nil {
		return ""
	}
	f := i.file
	front := http3front.New(i.engine, upstream, http3front.Options{
		Room:        i.rooms[f.HTTP3.Keys],
		Name:        f.Name,
		Connections: f.HTTP3.Connections,
		Streams:     f.HTTP3.Streams,
		Early:       f.HTTP3.Early,
		BodyBytes:   f.maxBodyBytes(),
		Parser:      i.parser,
		Log:         i.log,
	})
	i.HTTP3 = socket.LocalAddr()
	i.serve(func() error { return front.Serve(ctx, socket) })
	return fmt.Sprintf(`h3=":%d"; ma=%d`, i.HTTP3.(*net.UDPAddr).Port, altSvcFor/time.Second)
}

// serveHTTP starts the HTTP/1.1 front if it is switched on.
func (i *Instance) serveHTTP(ctx context.Context, listener net.Listener, upstream engine.Upstream, altSvc string) {
	if listener == nil {
		return
	}
	f := i.file
	if room := i.rooms[f.HTTP.Keys]; room != nil {
		listener = room.Listen(listener, "http/1.1")
	}
	front := httpfront.New(i.engine, upstream, httpfront.Options{
		Connections: f.Limits.ClientConnections,
		Crowded:     f.Limits.ClientConnections / crowdPart,
		BodyBytes:   f.maxBodyBytes(),
		Parser:      i.parser,
		AltSvc:      altSvc,
		EndBy:       func(longest time.Duration) time.Duration { return longest + time.Second }, // nothing kills the process
		Log:         i.log,
	})
	i.HTTP = listener.Addr()
	i.serve(func() error { return front.Serve(ctx, listener) })
}

// serveExtProc starts the external processor if it is switched on.
func (i *Instance) serveExtProc(ctx context.Context, listener net.Listener) {
	if listener == nil {
		return
	}
	f := i.file
	options := extproc.Options{
		Streams: f.ExtProc.Streams,
		Backlog: f.ExtProc.Backlog,
		Retries: f.ExtProc.Retries == "ask-again",
		Entries: f.Limits.MemoryMB << 20 / entryPart / entryBytes,
		Fields:  f.Fleet.Reports,
		Parser:  i.parser,
		Drain:   f.longestDeadline(),
		Log:     i.log,
	}
	if room := i.rooms[f.ExtProc.Keys]; room != nil {
		options.TLS, options.Renew = room.Server("h2"), room.Spread()
	}
	i.ext = extproc.New(i.engine, options)
	i.ExtProc = listener.Addr()
	i.serve(func() error { return i.ext.Serve(ctx, listener) })
}

// longestDeadline is that of the class that may take longest.
func (f *File) longestDeadline() (longest time.Duration) {
	for _, c := range f.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return longest
}

// Table is the one in use.
func (i *Instance) Table() *policy.Table { return i.table.Load() }

// Reload reads the keys' files again and applies another file, which Next has read: its classes, routes, pools,
// tenants and admission, and its source of membership. Requests in flight keep the settings that they started
// with; all else stays as it was at the start. After an error nothing has changed.
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
	i.logCounters()
	i.log.Info("configuration reloaded", "table", f.table.Version)
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

// logCounters logs the counters of keys and handshakes.
func (i *Instance) logCounters() {
	for name, c := range i.Keys() {
		args := []any{"keys", name, "taken", c.Taken, "kept", c.Kept}
		if c.Remaining != 0 {
			args = append(args, "days_left", int(c.Remaining/(24*time.Hour)))
		}
		i.log.Info("certificate counters", args...)
	}
	if c, ok := i.Security(); ok {
		i.log.Info("handshake counters",
			"full", c.Full, "resumed", c.Resumed, "failed", c.Failed, "sessions", c.Sessions,
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
	i.logCounters()
	i.closePeers() // the last requests in hand were agreed on by now
	i.stop()
	return errors.Join(append(errs, i.closeUp())...)
}
