package register

import (
	"context"
	"errors"
	"log/slog"
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

// options returns valid options for a service.
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
func startRegistrar(t *testing.T, options Options) *Registrar {
	t.Helper()
	registrar, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runEnded := make(chan error)
	go func() { runEnded <- registrar.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-runEnded; err != nil {
			t.Error(err)
		}
	})
	return registrar
}

// startService runs a service until the test ends.
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

// The node is created with its directory. It is created again after an expired session, after an
// operator removed it, and after the service restarted without its nodes.
func TestNodeIsRecreatedAfterRemoval(t *testing.T) {
	service := startService(t)
	registrar := startRegistrar(t, options(service))
	exists := func() bool { return service.Owner(nodePath) != 0 }
	wait.Until(t, "the node", exists)
	wait.Until(t, "the registrar to notice", registrar.Registered)
	for _, c := range []struct {
		name       string
		removeNode func()
		newSession bool // the node is created in a new session
	}{
		{"expiry", func() { service.ExpireSession(service.Owner(nodePath)) }, true},
		{"removal", func() { service.Delete(nodePath) }, false},
		{"restart", func() { service.Restart(1000, true) }, true},
	} {
		previousOwner := service.Owner(nodePath)
		c.removeNode()
		wait.Until(t, "the node after "+c.name, func() bool {
			return exists() && (!c.newSession || service.Owner(nodePath) != previousOwner)
		})
	}
	service.SetUnresponsive(true)
	time.Sleep(time.Second) // longer than the session timeout: the session must not be reported as expired
	service.SetUnresponsive(false)
	wait.Until(t, "the node after an outage", exists)
}

// The node holds exactly the bytes that package ephemeral encodes.
func TestNodeHoldsEncodedData(t *testing.T) {
	service := startService(t)
	withAllFields := options(service)
	withAllFields.Data.Kind = "box"
	withAllFields.Data.Cell = 7
	withAllFields.Data.Weight = 2.5
	registrar := startRegistrar(t, withAllFields)
	wait.Until(t, "the node", registrar.Registered)
	conn, events, err := zk.Connect(service.Addresses(), time.Second, zk.WithLogInfo(false))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		for range events { // until the library's goroutines have ended
		}
	})
	content, _, err := conn.Get(nodePath)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"address":"127.0.0.1:9101","site":"a","kind":"box","block":7,"share":2.5,"started_ms":1000}`
	if string(content) != want {
		t.Errorf("the node holds %s, want %s", content, want)
	}
}

func TestNodeOfExpiredSessionIsReplaced(t *testing.T) {
	service := startService(t)
	service.Put(nodePath, []byte(`{"address":"127.0.0.1:9101"}`))
	startRegistrar(t, options(service))
	wait.Until(t, "the node of the new session", func() bool { return service.Owner(nodePath) != 0 })
}

// The node of another server is not replaced. Once it is removed, its name can be registered.
func TestNodeOfOtherServerIsNotReplaced(t *testing.T) {
	service := startService(t)
	service.Put(nodePath, []byte(`{"address":"127.0.0.1:7"}`))
	registrar := startRegistrar(t, options(service))
	time.Sleep(3 * retryDelay)
	if service.Owner(nodePath) != 0 || registrar.Registered() {
		t.Error("another server's node was replaced")
	}
	service.Delete(nodePath)
	wait.Until(t, "the registration of the free name", registrar.Registered)
}

// A drain marks the node before it removes it, and the node is not created again.
func TestDrainMarksThenRemovesNode(t *testing.T) {
	service := startService(t)
	withDigest := options(service)
	withDigest.Digest = "soko:secret"
	registrar := startRegistrar(t, withDigest)
	wait.Until(t, "the node", registrar.Registered)
	sets := service.RequestCount(fakezookeeper.OpSetData)
	deletes := service.RequestCount(fakezookeeper.OpDelete)
	if err := registrar.Drain(); err != nil {
		t.Fatal(err)
	}
	newSets := service.RequestCount(fakezookeeper.OpSetData) - sets
	newDeletes := service.RequestCount(fakezookeeper.OpDelete) - deletes
	if newSets != 1 || newDeletes != 1 {
		t.Errorf("%d writes and %d deletions by the drain, want 1 and 1", newSets, newDeletes)
	}
	for _, id := range service.Sessions() {
		service.ExpireSession(id)
	}
	wait.Until(t, "a new session", func() bool { return len(service.Sessions()) == 1 })
	time.Sleep(2 * retryDelay)
	if names := service.Children(directory); len(names) != 0 {
		t.Errorf("nodes %v exist after the drain, want none", names)
	}
}

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
	if err := registrar.Drain(); !errors.Is(err, ErrNotConnected) {
		t.Errorf("the drain returned %v, want %v", err, ErrNotConnected)
	}
}

func TestNewRejectsInvalidOptions(t *testing.T) {
	for key, invalidate := range map[string]func(*Options){
		"address": func(options *Options) { options.Data.Address = "here" },
		"name":    func(options *Options) { options.Name = "a/b" },
		"path":    func(options *Options) { options.Path = "soko" },
		"servers": func(options *Options) { options.Servers = nil },
		"session": func(options *Options) { options.SessionTimeout = 0 },
		"share":   func(options *Options) { options.Data.Weight = -1 },
	} {
		options := Options{
			Servers:        []string{"127.0.0.1:1"},
			Path:           "/soko",
			Name:           "s",
			SessionTimeout: time.Second,
			Data:           ephemeral.Data{Address: "127.0.0.1:1"},
		}
		invalidate(&options)
		_, err := New(options)
		if got := invalidKey(err); got != key {
			t.Errorf("error %v is about %q, want %q", err, got, key)
		}
	}
}

// invalidKey returns the option or the key of the data that err is about, "" for any other error.
func invalidKey(err error) string {
	var option *OptionError
	var data *ephemeral.DataError
	switch {
	case errors.As(err, &option):
		return option.Option
	case errors.As(err, &data):
		return data.Key
	}
	return ""
}
