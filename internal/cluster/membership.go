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
	leaveTimeout = 500 * time.Millisecond
)

// membership holds which instances are alive. It is safe for concurrent use once started.
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

// start listens and begins to exchange membership with other instances.
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
	if err := m.create(cfg, host, netTransport, callbacks, logger); err != nil {
		_ = netTransport.Shutdown() // err says why the node does not start
		return err
	}
	return nil
}

// create configures memberlist and starts it on a transport that already listens.
func (m *membership) create(
	cfg *Config, host string, netTransport *memberlist.NetTransport, callbacks *delegate, logger *log.Logger,
) error {
	options := memberlist.DefaultLANConfig()
	options.Name = cfg.Name
	options.Transport = &mappedTransport{netTransport, cfg.Via}
	options.Logger = logger
	options.BindAddr, options.BindPort = host, netTransport.GetAutoBindPort()
	options.AdvertiseAddr, options.AdvertisePort = host, options.BindPort
	if cfg.Advertise != "" {
		var err error
		options.AdvertiseAddr, options.AdvertisePort, err = splitAddress(cfg.Advertise)
		if err != nil {
			return fmt.Errorf("peers: advertise: %w", err)
		}
	}
	m.advertised = net.JoinHostPort(options.AdvertiseAddr, strconv.Itoa(options.AdvertisePort))
	options.Delegate, options.Events, options.Alive = callbacks, callbacks, callbacks
	// An instance that was found dead may come back at once under its name at another address:
	// the operator assigns names, and addresses may change with each start.
	options.DeadNodeReclaimTime = time.Millisecond
	if len(cfg.Keys) > 0 {
		keyring, err := memberlist.NewKeyring(cfg.Keys, cfg.Keys[0])
		if err != nil {
			return fmt.Errorf("peers: keys: %w", err)
		}
		options.Keyring = keyring
	}
	list, err := memberlist.Create(options)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	m.list = list
	return nil
}

// splitAddress splits host:port with a numeric port.
func splitAddress(address string) (host string, port int, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(portText)
	return host, port, err
}

// stop announces to the others that this instance leaves, and closes the listeners.
func (m *membership) stop() {
	// The others find out by themselves if the announcement does not reach them in time.
	_ = m.list.Leave(leaveTimeout)
	if err := m.list.Shutdown(); err != nil {
		m.log.Debug("membership shutdown failed", "err", err)
	}
}

// address returns the host:port that the instance listens on.
func (m *membership) address() string {
	local := m.list.LocalNode()
	return net.JoinHostPort(local.Addr.String(), strconv.Itoa(int(local.Port)))
}

// others returns the names of the other instances that are alive, in order.
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

// count returns how many instances are alive, this one included.
func (m *membership) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.alive)
}

// member returns an instance by name, nil if it is not alive.
func (m *membership) member(name string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive[name]
}

func (m *membership) add(member *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive[member.Name] = member
}

func (m *membership) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.alive, name)
}

// joinLoop contacts configured instances while some of them are not alive. It returns when done
// is closed.
func (m *membership) joinLoop(targets []string, done <-chan struct{}) {
	if len(targets) == 0 {
		return
	}
	for delay := time.Duration(0); sleep(done, delay); delay = joinInterval/2 + rand.N(joinInterval) {
		missing := m.missing(targets)
		if len(missing) == 0 {
			continue
		}
		// A failed attempt is repeated after the next delay.
		_, _ = m.list.Join([]string{missing[rand.IntN(len(missing))]})
	}
}

// missing returns the targets, each a name/host:port, that are not alive.
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

// syncWithAny exchanges the complete membership with one other instance, whichever it reaches
// first. It returns false if done is closed before.
func (m *membership) syncWithAny(done <-chan struct{}) bool {
	for delay := time.Duration(0); sleep(done, delay); delay = joinInterval {
		for _, member := range m.list.Members() {
			if member.Name == m.self {
				continue
			}
			// Where it fails the next member is contacted.
			if reached, _ := m.list.Join([]string{member.Name + "/" + member.Address()}); reached > 0 {
				return true
			}
		}
	}
	return false
}

// sleep waits for a delay and returns false if done is closed before.
func sleep(done <-chan struct{}, delay time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(delay):
		return true
	}
}

// delegate receives memberlist's callbacks. None of them may block.
type delegate struct{ node *Node }

// NodeMeta returns no metadata.
func (d *delegate) NodeMeta(int) []byte { return nil }

// GetBroadcasts returns none: the node sends its messages itself.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing: memberlist's own state is all that is exchanged.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores what LocalState never sends.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyMsg queues a message from a peer, or drops it if the queue is full.
func (d *delegate) NotifyMsg(data []byte) {
	select {
	case d.node.inbox <- slices.Clone(data):
	default:
		d.node.droppedMessages.Add(1)
	}
}

// NotifyJoin records that an instance is alive.
func (d *delegate) NotifyJoin(member *memberlist.Node) { d.node.members.add(member) }

// NotifyUpdate records an instance's new address.
func (d *delegate) NotifyUpdate(member *memberlist.Node) { d.node.members.add(member) }

// NotifyLeave records that an instance has left or was found dead.
func (d *delegate) NotifyLeave(member *memberlist.Node) { d.node.members.remove(member.Name) }

// NotifyAlive is called for each instance that announces itself. One with this instance's name
// at another address runs from a copy of this instance's folder, or is the successor of this
// process after a stall. While two answer as one acceptor, neither knows what the other has
// granted, so the one that finds out about the other stops granting. (A newcomer finds out when
// it joins. The other instance need not: the members do not admit the newcomer.)
func (d *delegate) NotifyAlive(member *memberlist.Node) error {
	if member.Name != d.node.members.self || member.Address() == d.node.members.advertised {
		return nil
	}
	d.node.log.Error("duplicate instance name, acceptor recovering", "name", member.Name, "address", member.Address())
	select {
	case d.node.tasks <- d.node.recoverFromDuplicate:
	default: // memberlist announces the instance again
	}
	return nil
}
