package endpointremoval

import "time"

// stepKind is the kind of a step of a script, as it is printed.
type stepKind string

const (
	stepRemove  stepKind = "remove"  // the node of a server is removed
	stepAdd     stepKind = "add"     // a server starts
	stepFlap    stepKind = "flap"    // the node of a server is removed and returns several times
	stepBreak   stepKind = "break"   // the connections of a member of the service are closed
	stepSilence stepKind = "silence" // the service does not respond
	stepReject  stepKind = "refuse"  // the service rejects connections
	stepLose    stepKind = "lose"    // the service loses all sessions, and so all nodes
	stepRestart stepKind = "restart" // the service restarts with other transaction numbers
	stepSlow    stepKind = "slow"    // the service responds late
)

// stepKinds are the kinds that a step is drawn from.
var stepKinds = []stepKind{
	stepRemove, stepRemove, stepAdd, stepFlap, stepBreak, stepSilence, stepReject, stepLose, stepRestart, stepSlow,
}

const (
	// minServers is the smallest number of servers that removals leave listed.
	minServers = 2

	flaps       = 5
	flapAbsence = 20 * time.Millisecond
	flapReturn  = 30 * time.Millisecond
	// flapSettle is how long a node that has flapped must exist until its server gets requests again.
	flapSettle = 5 * time.Second

	slowResponse = 100 * time.Millisecond
	slowTime     = 300 * time.Millisecond

	// reconnectTime is how long the proxy may take to connect again. Until then, it does not notice nodes that
	// are removed.
	reconnectTime = 3 * sessionTimeout

	maxTransactionShift = 200 // shift of the transaction numbers at a restart, in either direction
)

// step runs a random step.
func (s *script) step() {
	kind := s.drawStep()
	s.steps[kind]++
	switch kind {
	case stepRemove:
		s.removeServer()
	case stepAdd:
		_ = s.addServer() // on an error, the script continues with the servers that it has
	case stepFlap:
		s.flap()
	case stepBreak:
		s.service.Member(s.random.IntN(serviceMembers)).CloseConnections()
	case stepSilence:
		s.disruptService(s.service.SetUnresponsive)
	case stepReject:
		s.disruptService(s.service.SetRejecting)
	case stepLose:
		s.loseNodes()
	case stepRestart:
		s.service.Restart(int64(s.random.IntN(2*maxTransactionShift)-maxTransactionShift), false)
		time.Sleep(reconnectTime)
	case stepSlow:
		s.service.SetDelay(slowResponse)
		time.Sleep(slowTime)
		s.service.SetDelay(0)
	}
}

func (s *script) drawStep() stepKind {
	kinds := stepKinds
	if s.options.Discovery {
		kinds = []stepKind{stepRemove}
	}
	kind := kinds[s.random.IntN(len(kinds))]
	if kind == stepRemove && len(s.listed) <= minServers {
		return stepAdd
	}
	return kind
}

// flap removes and registers the node of a server several times.
func (s *script) flap() {
	server := s.randomServer()
	for range flaps {
		s.service.Delete(nodePath(server))
		time.Sleep(flapAbsence)
		s.register(server)
		time.Sleep(flapReturn)
	}
	time.Sleep(flapSettle)
}

// disruptService sets a fault of the service for longer than a session lasts.
func (s *script) disruptService(set func(enabled bool)) {
	s.silences++
	set(true)
	s.countEvicted(sessionTimeout + time.Second)
	set(false)
	time.Sleep(reconnectTime)
}

// loseNodes has the service lose all nodes while it does not respond. The servers register again late.
func (s *script) loseNodes() {
	s.silences++
	s.service.SetUnresponsive(true)
	time.Sleep(sessionTimeout)
	for _, server := range s.listed {
		s.service.Delete(nodePath(server))
	}
	s.service.SetUnresponsive(false)
	time.Sleep(2 * sessionTimeout) // until the proxy has connected again and has read an empty directory
	s.countEvicted(sessionTimeout)
	for _, server := range s.listed {
		s.register(server)
	}
	time.Sleep(reconnectTime)
}

// countEvicted counts the servers that get no request during a time in which all should.
func (s *script) countEvicted(duration time.Duration) {
	start := time.Now()
	time.Sleep(duration)
	for _, server := range s.listed {
		if server.LastRequest().Before(start) {
			s.evicted++
		}
	}
}
