package register

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
	"go.uber.org/goleak"

	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/standin/fakezookeeper"
	"pinedale/internal/standin/wait"
)

const (
	directory = "/market/soko"
	nodePath  = directory + "/s-1"
)

func options(service *fakezookeeper.Service) Options {
	return Options{
		Servers:        service.Addresses(),
		Path:           directory,
		Name:           "s-1",
		SessionTimeout: 600 * time.Millisecond,
		Data:           ephemeral.Data{Address: "127.0.0.1:9101", Site: "a", StartedMS: 1000},
		Log:            slog.New(slog.DiscardHandler),
	}
}

// startRegistrar runs a registrar until the test ends.
func startRegistrar(t *testing.T, o Options) *Registrar {
	t.Helper()
	registrar, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- registrar.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return registrar
}

func startService(t *testing.T) *fakezookeeper.Service {
	t.Helper()
	service, err := fakezookeeper.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		service.Close()
		goleak.VerifyNone(t)
	})
	return service
}

// The node is created with its directory, and created again whatever removed it: an
// expired session, an operator, a service that lost all nodes.
func TestNodeIsRecreatedAfterRemoval(t *testing.T) {
	service := startService(t)
	registrar := startRegistrar(t, options(service))
	exists := func() bool { return service.Owner(nodePath) != 0 }
	wait.Until(t, "the node", exists)
	wait.Until(t, "the registrar to notice", registrar.Registered)
	const removed = "removal"
	for name, end := range map[string]func(){
		"expiry":  func() { service.ExpireSession(service.Owner(nodePath)) },
		removed:   func() { service.Delete(nodePath) },
		"restart": func() { service.Restart(1000, true) },
	} {
		owner := service.Owner(nodePath)
		end()
		wait.Until(t, "the node after "+name, func() bool {
			return exists() && (name == removed || service.Owner(nodePath) != owner)
		})
	}
	service.SetUnresponsive(true)
	time.Sleep(time.Second) // longer than the session: it must not be reported as expired
	service.SetUnresponsive(false)
	wait.Until(t, "the node after an outage", exists)
}

// The node holds the data as package ephemeral encodes it, byte for byte.
func TestNodeHoldsEncodedData(t *testing.T) {
	service := startService(t)
	o := options(service)
	o.Data.Kind, o.Data.Cell, o.Data.Weight = "box", 7, 2.5
	registrar := startRegistrar(t, o)
	wait.Until(t, "the node", registrar.Registered)
	conn, events, err := zk.Connect(service.Addresses(), time.Second, zk.WithLogInfo(false))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		conn.Close()
		for range events { // until the library's goroutines have ended
		}
	}()
	content, _, err := conn.Get(nodePath)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"address":"127.0.0.1:9101","site":"a","kind":"box","block":7,"share":2.5,"started_ms":1000}`
	if string(content) != want {
		t.Errorf("the node holds %s, want %s", content, want)
	}
}

// A restarted server replaces the node of its own earlier session; the name of another
// server is left alone, and taken once it is free.
func TestTakenNameIsReplacedOnlyIfOurs(t *testing.T) {
	service := startService(t)
	service.Put(nodePath, []byte(`{"address":"127.0.0.1:9101"}`)) // ours, of an earlier session
	service.Put(directory+"/s-2", []byte(`{"address":"127.0.0.1:7"}`))
	startRegistrar(t, options(service))
	wait.Until(t, "our node", func() bool { return service.Owner(nodePath) != 0 })
	o := options(service)
	o.Name = "s-2"
	registrar := startRegistrar(t, o)
	time.Sleep(3 * retryDelay)
	if service.Owner(directory+"/s-2") != 0 || registrar.Registered() {
		t.Error("another server's node was replaced")
	}
	service.Delete(directory + "/s-2")
	wait.Until(t, "the name that is free", registrar.Registered)
}

// A drain marks the node first and removes it for good.
func TestDrainMarksThenRemovesNode(t *testing.T) {
	service := startService(t)
	o := options(service)
	o.Digest = "soko:secret"
	registrar := startRegistrar(t, o)
	wait.Until(t, "the node", registrar.Registered)
	sets, deletes := service.RequestCount(fakezookeeper.OpSetData), service.RequestCount(fakezookeeper.OpDelete)
	if err := registrar.Drain(); err != nil {
		t.Fatal(err)
	}
	if service.RequestCount(fakezookeeper.OpSetData) != sets+1 || service.RequestCount(fakezookeeper.OpDelete) != deletes+1 {
		t.Error("the node was not marked and then removed")
	}
	for _, id := range service.Sessions() {
		service.ExpireSession(id)
	}
	wait.Until(t, "a new session", func() bool { return len(service.Sessions()) == 1 })
	time.Sleep(2 * retryDelay)
	if names := service.Children(directory); len(names) != 0 {
		t.Errorf("nodes %v after the drain", names)
	}
}

// Without a session a drain fails, and says so.
func TestDrainFailsWithoutSession(t *testing.T) {
	registrar, err := New(Options{
		Servers:        []string{"127.0.0.1:1"},
		Path:           "/soko",
		Name:           "s",
		SessionTimeout: time.Second,
		Data:           ephemeral.Data{Address: "127.0.0.1:1"},
		Log:            slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := registrar.Drain(); !errors.Is(err, errNotConnected) {
		t.Errorf("the drain returned %v, want %v", err, errNotConnected)
	}
}

func TestNewRejectsInvalidOptions(t *testing.T) {
	for key, invalidate := range map[string]func(*Options){
		"address": func(o *Options) { o.Data.Address = "here" },
		"name":    func(o *Options) { o.Name = "a/b" },
		"path":    func(o *Options) { o.Path = "soko" },
		"servers": func(o *Options) { o.Servers = nil },
		"session": func(o *Options) { o.SessionTimeout = 0 },
		"share":   func(o *Options) { o.Data.Weight = -1 },
	} {
		o := Options{
			Servers:        []string{"127.0.0.1:1"},
			Path:           "/soko",
			Name:           "s",
			SessionTimeout: time.Second,
			Data:           ephemeral.Data{Address: "127.0.0.1:1"},
		}
		invalidate(&o)
		if _, err := New(o); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
