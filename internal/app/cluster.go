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

// Build names the build to other instances. The linker may set it.
var Build = "unnamed"

// clusterConfig returns the configuration of the connection to other instances.
func clusterConfig(f *config.File, log *slog.Logger) cluster.Config {
	settings := cluster.Config{
		Name:          f.Name,
		Listen:        f.Peers.Listen,
		Advertise:     f.Peers.Advertise,
		Join:          f.Peers.Join,
		Via:           f.Peers.Via,
		Keys:          f.PeerKeys(),
		Voters:        f.Peers.Voters,
		LeaseTimeout:  time.Duration(f.Peers.LeaseTimeout),
		Site:          f.Site,
		Build:         Build,
		SlowStartTime: time.Duration(f.Fleet.SlowStartTime),
		Log:           log,
	}
	for i := range f.Classes {
		class := &f.Classes[i]
		agreement := class.ClusterAgreement()
		settings.Classes = append(settings.Classes, cluster.Class{Name: class.Name, Agreement: agreement})
		if agreement != cluster.AgreeNever {
			// A client retries within the deadline of its first request, and its retry has another deadline.
			settings.LeaseDuration = max(settings.LeaseDuration, 2*time.Duration(class.Deadline))
		}
	}
	return settings
}

// observedSource is a source of membership whose updates other instances receive as well.
type observedSource struct {
	engine.Source
	node *cluster.Node
}

// Watch reports each update to the cluster before it reports it to the engine.
func (o observedSource) Watch(ctx context.Context, after *uint64, notify func(balancer.ListKind, engine.List)) (
	*uint64, error,
) {
	return o.Source.Watch(ctx, after, func(kind balancer.ListKind, list engine.List) {
		o.node.EndpointsUpdated(kind, list)
		notify(kind, list)
	})
}

// startPeers connects to other instances if the file configures them, and sets closePeers.
func (i *Instance) startPeers(f *config.File) error {
	i.closePeers = func() {}
	if f.Peers.Listen == "" {
		return nil
	}
	settings := clusterConfig(f, i.log)
	settings.OnDrainAdvisory = func(now balancer.Micros, draining map[string]int64) {
		i.engine.SetAdvisedDraining(now, draining)
	}
	node, err := cluster.Start(settings, func(event func(now balancer.Micros)) { i.engine.Post(event) })
	if err != nil {
		return err
	}
	i.Peers, i.closePeers = node, node.Close
	if f.Peers.Status == "" {
		return nil
	}
	closeStatus, err := i.serveStatus(f.Peers.Status, node)
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

// serveStatus serves the status page of a node. The returned function ends it.
func (i *Instance) serveStatus(address string, node *cluster.Node) (closeStatus func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	i.Status = listener.Addr()
	server := &http.Server{Handler: node, ReadTimeout: statusReadTimeout, WriteTimeout: statusWriteTimeout}
	go func() { _ = server.Serve(listener) }() // ends with Shutdown
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusShutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx) // after the timeout the process ends all the same
	}, nil
}
