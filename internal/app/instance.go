package app

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/admission"
	"pinedale/internal/cluster"
	"pinedale/internal/config"
	"pinedale/internal/engine"
	"pinedale/internal/front/extproc"
	"pinedale/internal/policy"
	"pinedale/internal/requestmeta"
	"pinedale/internal/upstream/secure"
)

const (
	// maxFronts is how many fronts a file may switch on.
	maxFronts = 3
	// readyTimeout bounds WaitReady: discovery and a first session take well under a second.
	readyTimeout = 10 * time.Second
	// readyInterval is how often WaitReady checks.
	readyInterval = time.Millisecond
	// gcPercent is the heap growth, in percent of the live heap, that starts a collection while the heap is below
	// the memory limit: the external processor's entries live for seconds, and frequent collections would cost more
	// than they free.
	gcPercent = 300
)

// Instance is a running instance of pinedale. Create one with Start.
type Instance struct {
	// Addresses of the fronts, nil for one that is not switched on.
	HTTP    net.Addr
	HTTP3   net.Addr
	ExtProc net.Addr

	Status net.Addr      // address of the status page on other instances, nil without one
	Peers  *cluster.Node // connection to other instances, nil without one

	file   *config.File // the file that the instance was started with
	log    *slog.Logger
	engine *engine.Engine
	parser *requestmeta.Parser
	table  atomic.Pointer[policy.Table] // the table in use

	admission   *admission.Admission // owned by the engine's goroutine
	stores      stores
	background  sync.WaitGroup  // the goroutines of the engine, the fronts and the watches of stores' files
	upstreamTLS *secure.Client  // nil for plain text
	extProc     *extproc.Server // nil if it is not switched on

	fronts      int
	frontErrors chan error // the result of each front; its capacity lets a front end before Wait is called

	endFronts     context.CancelFunc // begins the graceful shutdown
	stopEngine    context.CancelFunc // called once the fronts have ended
	closeUpstream func() error       // called after the engine has ended
	closePeers    func()             // called after the fronts: ends the status page and the connection to other instances
}

// Start opens the sockets of the fronts, starts the engine, the connection to other instances and the fronts, and
// returns without waiting for them. After an error nothing is left running.
func Start(file *config.File, log *slog.Logger) (*Instance, error) {
	i := &Instance{file: file, log: log, frontErrors: make(chan error, maxFronts)}
	var err error
	if i.stores, err = openStores(file, log); err != nil {
		return nil, err
	}
	if i.upstreamTLS, err = newSecureClient(file, i.stores, log); err != nil {
		return nil, err
	}
	subset, err := newSubset(file)
	if err != nil {
		return nil, err
	}
	open, err := openSockets(file)
	if err != nil {
		return nil, err
	}
	// The engine outlives the fronts: requests in flight still need it.
	engineCtx, stopEngine := context.WithCancel(context.Background())
	frontCtx, endFronts := context.WithCancel(context.Background())
	i.stopEngine, i.endFronts = stopEngine, endFronts
	upstream, err := i.createEngine(engineCtx, subset)
	if err != nil {
		open.close()
		return nil, err
	}
	altSvc := i.serveHTTP3(frontCtx, open.http3, upstream)
	i.stores.run(engineCtx, &i.background) // requests in flight outlive the fronts, and so do their connections
	i.serveHTTP(frontCtx, open.http, upstream, altSvc)
	i.serveExtProc(frontCtx, open.extProc)
	i.background.Go(i.engine.Run)
	return i, nil
}

// createEngine creates the engine and what it depends on: the routing table, the parser, admission, the upstream and
// the connection to other instances. After an error it has released them all.
func (i *Instance) createEngine(ctx context.Context, subset engine.Subset) (engine.Upstream, error) {
	file := i.file
	settings := file.Settings()
	i.table.Store(file.Table())
	i.admission = admission.New(file.Table().Admission(file.Limits.AdmitRate))
	i.parser = requestmeta.NewParser(&settings)
	i.parser.SetRouter(newRouter(file.Table()))
	upstream, closeUpstream, err := newUpstream(file, i.upstreamTLS)
	if err != nil {
		i.cancel()
		return nil, fmt.Errorf("upstream: %w", err)
	}
	i.closeUpstream = closeUpstream
	if err := i.startPeers(file); err != nil {
		i.cancel()
		_ = closeUpstream() // the first error is returned
		return nil, err
	}
	if i.engine, err = engine.New(ctx, i.engineOptions(settings, upstream, subset)); err != nil {
		i.cancel()
		i.closePeers()
		_ = closeUpstream() // the first error is returned
		return nil, err
	}
	return upstream, nil
}

// cancel ends the contexts of the engine and the fronts.
func (i *Instance) cancel() {
	i.stopEngine()
	i.endFronts()
}

// engineOptions returns the options of the engine, connected to other instances if the file configures them.
func (i *Instance) engineOptions(
	settings balancer.Settings, upstream engine.Upstream, subset engine.Subset,
) engine.Options {
	file := i.file
	options := engine.Options{
		Settings:   settings,
		Seed:       randomSeed(),
		Zones:      file.Fleet.Sites,
		Kinds:      file.Fleet.Kinds,
		CachedList: engine.List{Complete: true, Hosts: file.Hosts()},
		Upstream:   upstream,
		Source:     newSource(file, i.log),
		Log:        i.log,
		Admission:  i.admission,
		Subset:     subset,
		Pools:      file.Table().Pools,
	}
	if i.Peers != nil {
		options.KeyLeases = i.Peers
		options.ObserveOutcome = i.Peers.ObserveAttempt
		options.Source = observedSource{options.Source, i.Peers}
	}
	return options
}

// randomSeed returns a seed for the balancer's random choices.
func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never returns an error
	return binary.LittleEndian.Uint64(seed[:])
}

// SetMemoryLimit sets the memory limit of the runtime from limits.memory_mb: collections are rare until the heap comes
// near the limit. A fifth is left for memory that the runtime does not count.
func SetMemoryLimit(file *config.File) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(file.Limits.MemoryBytes() / 10 * 8)
}

// Ready reports whether an endpoint is known that requests may be sent to.
func (i *Instance) Ready() bool { return i.engine.HasEndpoints() }

// WaitReady returns once the instance is ready, or an error after readyTimeout.
func (i *Instance) WaitReady() error {
	for deadline := time.Now().Add(readyTimeout); !i.Ready(); time.Sleep(readyInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("instance is not ready: no server is known after %v", readyTimeout)
		}
	}
	return nil
}

// Shutdown begins the graceful shutdown: no new requests are admitted, and those in flight are completed.
func (i *Instance) Shutdown() { i.endFronts() }

// Wait returns once all fronts have ended, after Shutdown or because one has failed, and everything is closed. It
// waits for the goroutines of the fronts, the engine, the stores, the status page and the cluster node. It must be
// called once only.
func (i *Instance) Wait() error {
	var errs []error
	for range i.fronts {
		err := <-i.frontErrors
		if err != nil {
			i.endFronts() // an instance runs with all its fronts or not at all
		}
		errs = append(errs, err)
	}
	i.logCounters()
	i.closePeers() // the fronts have ended, so the leases of all requests have been decided
	i.stopEngine()
	i.background.Wait()
	return errors.Join(append(errs, i.closeUpstream())...)
}
