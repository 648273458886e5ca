package cluster

import (
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	joinInterval = 2 * time.Second
	// leaveTimeout bounds the announcement that this instance leaves.
	leaveTimeout = 500 * time.Millisecond
	// deadNodeReclaimTime is the time after which an instance that was found dead may rejoin
	// under the same name with another address. It is short because the operator assigns names,
	// and addresses may change with each start.
	deadNodeReclaimTime = time.Millisecond
)

// membership tracks which instances are alive. It is safe for concurrent use after start.
type membership struct {
	self       string // this instance's name
	advertised string // host:port at which others reach this instance
	list       *memberlist.Memberlist
	log        *slog.Logger

	mu    sync.Mutex
	alive map[string]*memberlist.Node // by name, this instance included
}

func newMembership(self string, logger *slog.Logger) *membership {
	return &membership{self: self, log: logger, alive: map[string]*memberlist.Node{}}
}

// start opens the listeners and starts to exchange membership with other instances.
func (m *membership) start(cfg *Config, callbacks *delegate) error {
	host, port, err := splitAddress(cfg.Listen)
	if err != nil {
		return fmt.Errorf("peers: listen: %w", err)
	}
	logger := log.New(debugWriter{m.log}, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    logger,
	})
	if err != nil {
		return fmt.Errorf("peers: listen: %w", err)
	}
	options, err := memberlistConfig(cfg, host, netTransport)
	if err == nil {
		options.Logger = logger
		options.Delegate = callbacks
		options.Events = callbacks
		options.Alive = callbacks
		err = m.create(options)
	}
	if err != nil {
		_ = netTransport.Shutdown() // err is the reason why the node does not start
		return err
	}
	return nil
}

// create starts memberlist on a transport that already listens.
func (m *membership) create(options *memberlist.Config) error {
	m.advertised = net.JoinHostPort(options.AdvertiseAddr, strconv.Itoa(options.AdvertisePort))
	list, err := memberlist.Create(options)
	if err != nil {
		return fmt.Errorf("peers: start memberlist: %w", err)
	}
	m.list = list
	return nil
}

// memberlistConfig returns memberlist's configuration for a transport that listens on host,
// without its logger and callbacks.
func memberlistConfig(
	cfg *Config, host string, netTransport *memberlist.NetTransport,
) (*memberlist.Config, error) {
	options := memberlist.DefaultLANConfig()
	options.Name = cfg.Name
	options.Transport = &mappedTransport{netTransport, cfg.AddressMap}
	options.BindAddr = host
	options.BindPort = netTransport.GetAutoBindPort()
	options.AdvertiseAddr = host
	options.AdvertisePort = options.BindPort
	if cfg.Advertise != "" {
		var err error
		options.AdvertiseAddr, options.AdvertisePort, err = splitAddress(cfg.Advertise)
		if err != nil {
			return nil, fmt.Errorf("peers: advertise: %w", err)
		}
	}
	options.DeadNodeReclaimTime = deadNodeReclaimTime
	if len(cfg.Keys) > 0 {
		keyring, err := memberlist.NewKeyring(cfg.Keys, cfg.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("peers: keys: %w", err)
		}
		options.Keyring = keyring
	}
	return options, nil
}

// splitAddress splits an address of the form host:port with a numeric port.
func splitAddress(address string) (host string, port int, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(portText)
	return host, port, err
}

// stop announces to the other instances that this one leaves, and closes the listeners.
func (m *membership) stop() {
	// Instances that the announcement does not reach in time detect that this one is dead.
	_ = m.list.Leave(leaveTimeout)
	if err := m.list.Shutdown(); err != nil {
		m.log.Debug("membership shutdown failed", "err", err)
	}
}

// address returns the host:port at which others reach this instance.
func (m *membership) address() string {
	local := m.list.LocalNode()
	return net.JoinHostPort(local.Addr.String(), strconv.Itoa(int(local.Port)))
}

// others returns the names of the other instances that are alive, sorted.
func (m *membership) others() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.alive))
	for name := range m.alive {
		if name != m.self {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// count returns the number of instances that are alive, this one included.
func (m *membership) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.alive)
}

// member returns the instance with the given name, nil if it is not alive.
func (m *membership) member(name string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive[name]
}

// add records that an instance is alive, or its new address. It keeps a copy, since memberlist
// changes its own record later, without a lock that callers could hold.
func (m *membership) add(member *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := *member
	m.alive[member.Name] = &known
}

// remove records that an instance is no longer alive.
func (m *membership) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.alive, name)
}

// joinLoop contacts the targets that are not known to be alive, one at a time, until done is closed.
// Each target has the form name/host:port.
func (m *membership) joinLoop(targets []string, done <-chan struct{}) {
	if len(targets) == 0 {
		return
	}
	delay := time.Duration(0)
	for sleep(done, delay) {
		delay = joinInterval/2 + rand.N(joinInterval)
		missing := m.missing(targets)
		if len(missing) == 0 {
			continue
		}
		target := missing[rand.IntN(len(missing))]
		_, _ = m.list.Join([]string{target}) // a failed attempt is repeated after the delay
	}
}

// missing returns the targets that are not known to be alive.
func (m *membership) missing(targets []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var missing []string
	for _, target := range targets {
		name, _, _ := strings.Cut(target, "/")
		if m.alive[name] == nil {
			missing = append(missing, target)
		}
	}
	return missing
}

// syncWithAny exchanges the complete membership with the first other instance that it reaches. It
// returns false if done is closed before that.
func (m *membership) syncWithAny(done <-chan struct{}) bool {
	delay := time.Duration(0)
	for sleep(done, delay) {
		delay = joinInterval
		for _, member := range m.list.Members() {
			if member.Name == m.self {
				continue
			}
			target := member.Name + "/" + member.Address()
			reached, _ := m.list.Join([]string{target}) // after a failure the next member is contacted
			if reached > 0 {
				return true
			}
		}
	}
	return false
}

// sleep waits for a delay. It returns false if done is closed during the delay.
func sleep(done <-chan struct{}, delay time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(delay):
		return true
	}
}
