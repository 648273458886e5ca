package app

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"pinedale/balancer"
	"pinedale/internal/cluster"
	"pinedale/internal/config"
	"pinedale/internal/engine"
)

const (
	statusReadTimeout     = 2 * time.Second
	statusWriteTimeout    = 5 * time.Second
	statusShutdownTimeout = time.Second
)

// Build is the name of this build, which is sent to other instances. The linker may set it.
var Build = "unnamed"

// clusterConfig returns the configuration of the connection to other instances.
func clusterConfig(file *config.File, log *slog.Logger) cluster.Config {
	settings := cluster.Config{
		Name:          file.Name,
		Listen:        file.Peers.Listen,
		Advertise:     file.Peers.Advertise,
		Join:          file.Peers.Join,
		AddressMap:    file.Peers.Via,
		Keys:          file.PeerKeys(),
		Voters:        file.Peers.Voters,
		LeaseTimeout:  time.Duration(file.Peers.LeaseTimeout),
		Site:          file.Site,
		Build:         Build,
		SlowStartTime: time.Duration(file.Fleet.SlowStartTime),
		Log:           log,
	}
	for i := range file.Classes {
		class := &file.Classes[i]
		agreement := class.ClusterAgreement()
		settings.Classes = append(settings.Classes, cluster.Class{Name: class.Name, Agreement: agreement})
		if agreement != cluster.AgreeNever {
			// A client may retry until the deadline of its first request, and the retry has a deadline of its own.
			settings.LeaseDuration = max(settings.LeaseDuration, 2*time.Duration(class.Deadline))
		}
	}
	return settings
}

// observedSource is a source of membership whose updates are sent to other instances as well.
type observedSource struct {
	engine.Source
	node *cluster.Node
}

// Watch passes each update to the cluster node before it passes it to the engine.
func (o observedSource) Watch(ctx context.Context, after *uint64, notify func(balancer.ListKind, engine.List)) (
	*uint64, error,
) {
	return o.Source.Watch(ctx, after, func(kind balancer.ListKind, list engine.List) {
		o.node.EndpointsUpdated(kind, list)
		notify(kind, list)
	})
}

// startPeers connects to other instances if the file configures them, and sets closePeers.
func (i *Instance) startPeers(file *config.File) error {
	i.closePeers = func() {}
	if file.Peers.Listen == "" {
		return nil
	}
	settings := clusterConfig(file, i.log)
	settings.OnDrainAdvisory = func(now balancer.Micros, draining map[string]int64) {
		i.engine.SetAdvisedDraining(now, draining)
	}
	// The node posts nothing until the engine, which is created later, notifies it of endpoints or of a key.
	node, err := cluster.Start(settings, func(event func(now balancer.Micros)) { i.engine.Post(event) })
	if err != nil {
		return err
	}
	i.Peers, i.closePeers = node, node.Close
	if file.Peers.Status == "" {
		return nil
	}
	closeStatus, err := i.serveStatus(file.Peers.Status, node)
	if err != nil {
		node.Close()
		return fmt.Errorf("peers.status: %w", err)
	}
	i.closePeers = func() {
		closeStatus()
		node.Close()
	}
	return nil
}

// serveStatus serves the status page of a node. The returned function ends it and waits for its goroutine.
func (i *Instance) serveStatus(address string, node *cluster.Node) (closeStatus func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	i.Status = listener.Addr()
	server := &http.Server{Handler: node, ReadTimeout: statusReadTimeout, WriteTimeout: statusWriteTimeout}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener) // returns as soon as Shutdown begins
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusShutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx) // connections still open after the timeout end with the process
		<-served
	}, nil
}
