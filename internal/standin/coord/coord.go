// Package coord is a stand-in for a coordination service: it speaks ZooKeeper's
// wire protocol (sessions, ephemeral nodes, watches) to any client, and fails as a
// test scripts it: drops nodes, expires sessions, falls silent, refuses, delays,
// restarts with another zxid, and has its members see different lists.
package coord

import (
	"bytes"
	"crypto/rand"
	"crypto/sha1"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"path"
	"slices"
	"strings"
	"sync"
	"time"
)

// Service is a tree of nodes behind one or more members. Make one with Start.
type Service struct {
	mu       sync.Mutex
	nodes    map[string]*node
	sessions map[int64]*session
	members  []*Member
	zxid     int64
	last     int64 // session id given
	stop     chan struct{}
	stopped  sync.WaitGroup
}

// Member is one address of a service.
type Member struct {
	Address string // host:port

	service  *Service
	listener net.Listener
	conns    map[*conn]bool
	silent   bool
	refuse   bool
	delay    time.Duration
	view     map[string]*node // what it shows in place of the tree, if it is split off
	Requests map[int32]int    // by operation; guarded by the service
}

type node struct {
	data                []byte
	acl                 []ACL
	czxid, mzxid, pzxid int64
	ctime, mtime        int64 // milliseconds
	version, cversion   int32
	owner               int64 // session of an ephemeral node
	children            map[string]bool
	sequence            int32
}

type session struct {
	id       int64
	password []byte
	timeout  time.Duration
	heard    time.Time
	conn     *conn
}

type conn struct {
	net.Conn
	member  *Member
	session *session
	auth    []string // digest identities
	write   sync.Mutex
	watches map[string]bool // kind and path
}

// Start starts a service with so many members on loopback.
func Start(members int) (*Service, error) {
	s := &Service{nodes: map[string]*node{"/": {children: map[string]bool{}}}, sessions: map[int64]*session{}, stop: make(chan struct{})}
	for range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		m := &Member{Address: l.Addr().String(), service: s, listener: l, conns: map[*conn]bool{}, Requests: map[int32]int{}}
		s.members = append(s.members, m)
		s.stopped.Go(m.accept)
	}
	s.stopped.Go(s.expire)
	return s, nil
}

// Addresses are the members'.
func (s *Service) Addresses() (all []string) {
	for _, m := range s.members {
		all = append(all, m.Address)
	}
	return all
}

// Member returns the nth member.
func (s *Service) Member(n int) *Member { return s.members[n] }

// Close ends the service and waits for its goroutines.
func (s *Service) Close() {
	s.mu.Lock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	for _, m := range s.members {
		m.listener.Close()
		for c := range m.conns {
			c.Close()
		}
	}
	s.mu.Unlock()
	s.stopped.Wait()
}

// ---- Scripts ---------------------------------------------------------------

// Put creates a node, or sets its data, as if its owner had: 0 for a lasting node.
func (s *Service) Put(p string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[p]; n != nil {
		s.set(p, n, data)
		return
	}
	for dir := path.Dir(p); s.nodes[dir] == nil; dir = path.Dir(p) {
		missing := dir
		for s.nodes[path.Dir(missing)] == nil {
			missing = path.Dir(missing)
		}
		s.create(missing, nil, nil, 0)
	}
	s.create(p, data, nil, 0)
}

// Drop deletes a node as if its owner's session had ended.
func (s *Service) Drop(p string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[p] != nil {
		s.remove(p)
	}
}

// Nodes are the names of a directory's nodes.
func (s *Service) Nodes(dir string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return names(s.nodes[dir])
}

// Owner is the session that owns a node, 0 if none does.
func (s *Service) Owner(p string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[p]; n != nil {
		return n.owner
	}
	return 0
}

// ExpireSession ends a session, with its nodes and its connection.
func (s *Service) ExpireSession(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.sessions[id]; c != nil {
		s.end(c)
	}
}

// Sessions are the ids of those that live.
func (s *Service) Sessions() (ids []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Silence has all members read and answer nothing, with their connections open.
// Sessions do not expire meanwhile: nobody is there to judge.
func (s *Service) Silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.silent = on
		if !on { // what was swallowed is lost with its connection
			for c := range m.conns {
				c.Close()
			}
		}
	}
	s.touch()
}

// Refuse has all members break connections, and close new ones.
func (s *Service) Refuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.refuse = on
		for c := range m.conns {
			c.Close()
		}
	}
	s.touch()
}

// touch gives every session its whole time anew.
func (s *Service) touch() {
	for _, c := range s.sessions {
		c.heard = time.Now()
	}
}

// Delay has all members wait so long with each answer.
func (s *Service) Delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		m.delay = d
	}
}

// Restart breaks all connections and has the service go on from another zxid. With
// lose, sessions are forgotten and with them all ephemeral nodes.
func (s *Service) Restart(zxidBy int64, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lose {
		for _, c := range s.sessions {
			s.end(c)
		}
	}
	s.zxid = max(0, s.zxid+zxidBy)
	for _, m := range s.members {
		for c := range m.conns {
			c.Close()
		}
	}
	s.touch()
}

// Split has a member show the tree as it is now, but for the nodes left out,
// whatever comes, until it is split no more.
func (m *Member) Split(on bool, without ...string) {
	s := m.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m.view = nil
	if !on {
		return
	}
	m.view = map[string]*node{}
	for p, n := range s.nodes {
		c := *n
		c.children = map[string]bool{}
		for name := range n.children {
			if !slices.Contains(without, path.Join(p, name)) {
				c.children[name] = true
			}
		}
		if !slices.Contains(without, p) {
			m.view[p] = &c
		}
	}
}

// Break closes a member's connections.
func (m *Member) Break() {
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	for c := range m.conns {
		c.Close()
	}
}

// Count is how many requests of an operation all members had.
func (s *Service) Count(op int32) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		n += m.Requests[op]
	}
	return n
}

// ---- Sessions --------------------------------------------------------------

// expire ends sessions that were not heard of for their time-out.
func (s *Service) expire() {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for _, c := range s.sessions {
			silent := slices.ContainsFunc(s.members, func(m *Member) bool { return m.silent || m.refuse })
			if !silent && time.Since(c.heard) > c.timeout {
				s.end(c)
			}
		}
		s.mu.Unlock()
	}
}

// end ends a session. It holds mu.
func (s *Service) end(c *session) {
	delete(s.sessions, c.id)
	var owned []string
	for p, n := range s.nodes {
		if n.owner == c.id {
			owned = append(owned, p)
		}
	}
	slices.Sort(owned)
	for _, p := range owned {
		s.remove(p)
	}
	if c.conn != nil {
		c.conn.Close()
	}
}

func (m *Member) accept() {
	for {
		raw, err := m.listener.Accept()
		if err != nil {
			return
		}
		s := m.service
		s.mu.Lock()
		c := &conn{Conn: raw, member: m, watches: map[string]bool{}}
		if m.refuse {
			raw.Close()
			s.mu.Unlock()
			continue
		}
		m.conns[c] = true
		s.mu.Unlock()
		s.stopped.Go(func() {
			c.serve()
			c.Close()
			s.mu.Lock()
			delete(m.conns, c)
			if c.session != nil && c.session.conn == c {
				c.session.conn = nil
			}
			s.mu.Unlock()
		})
	}
}

// readFrame reads one frame.
func (c *conn) readFrame() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameMost {
		return nil, fmt.Errorf("a frame of %d bytes", n)
	}
	data := make([]byte, n)
	_, err := io.ReadFull(c, data)
	return data, err
}

// send writes one frame. The connection's reader finds out where that fails.
func (c *conn) send(w *writer) {
	c.write.Lock()
	defer c.write.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.Write(w.seal())
}

// serve reads a connection's frames until it ends. One that can't be read ends it,
// as ZooKeeper's does.
func (c *conn) serve() {
	data, err := c.readFrame()
	if err != nil {
		return
	}
	in, err := parseConnect(data)
	if err != nil || !c.open(in) {
		return
	}
	for {
		data, err := c.readFrame()
		if err != nil {
			return
		}
		q, err := parseRequest(data)
		if err != nil {
			return
		}
		s := c.member.service
		s.mu.Lock()
		silent, delay := c.member.silent, c.member.delay
		if !silent {
			c.member.Requests[q.op]++
		}
		s.mu.Unlock()
		if silent {
			continue
		}
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-s.stop:
				return
			}
		}
		if !c.answer(q) {
			return
		}
	}
}

// open takes a connect request: a new session, or one that still lives. Session 0
// in the answer says that it does not.
func (c *conn) open(in connect) bool {
	s := c.member.service
	s.mu.Lock()
	if c.member.silent {
		s.mu.Unlock()
		_, _ = io.Copy(io.Discard, c) // until the client has had enough
		return false
	}
	if in.zxid > s.zxid {
		// A member that is behind the client closes, so that it tries another.
		s.mu.Unlock()
		return false
	}
	out := frame()
	out.int32(0)
	now := time.Now()
	known := s.sessions[in.session]
	switch {
	case in.session == 0:
		s.last++
		c.session = &session{id: s.last<<8 | 1, password: make([]byte, 16), timeout: time.Duration(in.timeout) * time.Millisecond}
		rand.Read(c.session.password)
		s.sessions[c.session.id] = c.session
	case known != nil && bytes.Equal(known.password, in.password):
		c.session = known
		if known.conn != nil {
			known.conn.Close()
		}
	default:
		out.int32(0)
		out.int64(0)
		out.buffer(make([]byte, 16))
		s.mu.Unlock()
		c.send(out)
		return false
	}
	c.session.conn, c.session.heard = c, now
	out.int32(int32(c.session.timeout.Milliseconds()))
	out.int64(c.session.id)
	out.buffer(c.session.password)
	s.mu.Unlock()
	c.send(out)
	return true
}

// ---- Requests --------------------------------------------------------------

func (w *writer) head(xid int32, zxid int64, code int32) {
	w.int32(xid)
	w.int64(zxid)
	w.int32(code)
}

func (w *writer) stat(n *node) {
	w.int64(n.czxid)
	w.int64(n.mzxid)
	w.int64(n.ctime)
	w.int64(n.mtime)
	w.int32(n.version)
	w.int32(n.cversion)
	w.int32(0)
	w.int64(n.owner)
	w.int32(int32(len(n.data)))
	w.int32(int32(len(n.children)))
	w.int64(n.pzxid)
}

func names(n *node) []string {
	if n == nil {
		return nil
	}
	var all []string
	for name := range n.children {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// answer carries out one request. False ends the connection.
func (c *conn) answer(q request) bool {
	s := c.member.service
	s.mu.Lock()
	if s.sessions[c.session.id] != c.session {
		s.mu.Unlock()
		return false // it has expired
	}
	c.session.heard = time.Now()
	var body writer
	code := c.carryOut(q, &body)
	out := frame()
	out.head(q.xid, s.zxid, code)
	if code == codeOK {
		*out = append(*out, body...)
	}
	if q.op == OpClose {
		s.end(&session{id: c.session.id}) // its connection answers first
	}
	// Answers and watch events leave in the order of the changes: under the lock.
	c.send(out)
	s.mu.Unlock()
	return q.op != OpClose && code != codeAuthFailed
}

// tree is what the connection's member shows.
func (c *conn) tree() map[string]*node {
	if c.member.view != nil {
		return c.member.view
	}
	return c.member.service.nodes
}

// allowed says whether the connection has a permission on a node. A node without a
// list of its own is open to all.
func (c *conn) allowed(n *node, perm int32) bool {
	if len(n.acl) == 0 {
		return true
	}
	return slices.ContainsFunc(n.acl, func(a ACL) bool {
		return a.Perms&perm != 0 && (a.Scheme == "world" || a.Scheme == "digest" && slices.Contains(c.auth, a.ID) ||
			a.Scheme == "auth" && len(c.auth) > 0)
	})
}

func validPath(p string) bool { return strings.HasPrefix(p, "/") && path.Clean(p) == p }

// carryOut carries out a request, writes the body of its answer and returns the answer's code.
func (c *conn) carryOut(q request, out *writer) int32 {
	switch q.op {
	case OpPing, OpClose:
		return codeOK
	case OpSetAuth:
		if q.scheme != "digest" || !bytes.Contains(q.data, []byte(":")) {
			return codeAuthFailed
		}
		c.auth = append(c.auth, digest(q.data))
		return codeOK
	case OpSetWatches:
		c.setWatches(q)
		return codeOK
	case OpCreate, OpDelete, OpSetData, OpExists, OpGetData, OpGetChildren, OpGetChildren2, OpSync:
		if !validPath(q.path) {
			return codeBadArguments
		}
	default:
		return codeUnimplemented
	}
	switch q.op {
	case OpCreate:
		return c.create(q, out)
	case OpSync:
		out.string(q.path)
		return codeOK
	}
	n := c.tree()[q.path]
	if n == nil {
		if q.op == OpExists {
			c.watch(q, "exist")
		}
		return codeNoNode
	}
	switch q.op {
	case OpDelete:
		return c.delete(q, n)
	case OpSetData:
		return c.setData(q, n, out)
	default:
		return c.read(q, n, out)
	}
}

// delete deletes a node that has no children.
func (c *conn) delete(q request, n *node) int32 {
	s := c.member.service
	switch {
	case !c.allowed(s.nodes[path.Dir(q.path)], permDelete):
		return codeNoAuth
	case q.version != anyVersion && q.version != n.version:
		return codeBadVersion
	case len(n.children) > 0:
		return codeNotEmpty
	}
	s.remove(q.path)
	return codeOK
}

// setData replaces a node's data.
func (c *conn) setData(q request, n *node, out *writer) int32 {
	switch {
	case !c.allowed(n, permWrite):
		return codeNoAuth
	case q.version != anyVersion && q.version != n.version:
		return codeBadVersion
	}
	c.member.service.set(q.path, n, q.data)
	out.stat(n)
	return codeOK
}

// read answers a request that changes nothing, and sets its watch.
func (c *conn) read(q request, n *node, out *writer) int32 {
	if q.op != OpExists && !c.allowed(n, permRead) {
		return codeNoAuth
	}
	switch q.op {
	case OpExists:
		c.watch(q, "data")
		out.stat(n)
	case OpGetData:
		c.watch(q, "data")
		out.buffer(n.data)
		out.stat(n)
	case OpGetChildren, OpGetChildren2:
		c.watch(q, "child")
		all := names(n)
		out.int32(int32(len(all)))
		for _, name := range all {
			out.string(name)
		}
		if q.op == OpGetChildren2 {
			out.stat(n)
		}
	}
	return codeOK
}

// watch sets the watch that a request asks for.
func (c *conn) watch(q request, kind string) {
	if q.watch {
		c.watches[kind+" "+q.path] = true
	}
}

// Permissions of an access list (ZooDefs.Perms).
const (
	permRead   int32 = 1
	permWrite  int32 = 2
	permCreate int32 = 4
	permDelete int32 = 8
	permAll    int32 = 31
)

// anyVersion is the version of a request that holds for any version of the node.
const anyVersion int32 = -1

// Flags of a create request.
const (
	flagEphemeral = 1
	flagSequence  = 2
)

func (c *conn) create(q request, out *writer) int32 {
	s := c.member.service
	dir := s.nodes[path.Dir(q.path)]
	switch {
	case q.path == "/":
		return codeNodeExists
	case q.flags&^(flagEphemeral|flagSequence) != 0:
		return codeUnimplemented
	case dir == nil:
		return codeNoNode
	case dir.owner != 0:
		return codeNoChildren
	case !c.allowed(dir, permCreate):
		return codeNoAuth
	}
	p := q.path
	if q.flags&flagSequence != 0 {
		p = fmt.Sprintf("%s%010d", p, dir.sequence)
		dir.sequence++
	}
	if s.nodes[p] != nil {
		return codeNodeExists
	}
	acl := q.acl
	for i, a := range acl {
		if a.Scheme == "auth" && len(c.auth) > 0 { // whoever asks now
			acl[i] = ACL{a.Perms, "digest", c.auth[0]}
		}
	}
	owner := int64(0)
	if q.flags&flagEphemeral != 0 {
		owner = c.session.id
	}
	s.create(p, q.data, acl, owner)
	out.string(p)
	return codeOK
}

// create, set and remove change the tree and fire its watches. They hold mu.
func (s *Service) create(p string, data []byte, acl []ACL, owner int64) {
	s.zxid++
	now := time.Now().UnixMilli()
	s.nodes[p] = &node{data: data, acl: acl, czxid: s.zxid, mzxid: s.zxid, pzxid: s.zxid, ctime: now, mtime: now, owner: owner,
		children: map[string]bool{}}
	dir := s.nodes[path.Dir(p)]
	dir.children[path.Base(p)] = true
	dir.cversion++
	dir.pzxid = s.zxid
	s.fire(p, eventCreated, "exist")
	s.fire(path.Dir(p), eventChildren, "child")
}

func (s *Service) set(p string, n *node, data []byte) {
	s.zxid++
	n.data, n.mzxid, n.mtime = data, s.zxid, time.Now().UnixMilli()
	n.version++
	s.fire(p, eventData, "data")
}

func (s *Service) remove(p string) {
	s.zxid++
	delete(s.nodes, p)
	dir := s.nodes[path.Dir(p)]
	delete(dir.children, path.Base(p))
	dir.cversion++
	dir.pzxid = s.zxid
	s.fire(p, eventDeleted, "data", "exist", "child")
	s.fire(path.Dir(p), eventChildren, "child")
}

// The kinds of watch event (Watcher.Event.EventType).
const (
	eventCreated  = 1
	eventDeleted  = 2
	eventData     = 3
	eventChildren = 4
)

// fire tells all that watch a node in one of these ways, each connection once, and
// ends their watches.
func (s *Service) fire(p string, event int32, kinds ...string) {
	for _, m := range s.members {
		if m.view != nil || m.silent {
			continue
		}
		for c := range m.conns {
			hit := false
			for _, kind := range kinds {
				if c.watches[kind+" "+p] {
					delete(c.watches, kind+" "+p)
					hit = true
				}
			}
			if hit {
				c.event(p, event)
			}
		}
	}
}

func (c *conn) event(p string, event int32) {
	out := frame()
	out.head(-1, -1, 0)
	out.int32(event)
	out.int32(3) // connected
	out.string(p)
	c.send(out)
}

// setWatches sets watches again after a new connection. What changed since the
// client's last zxid is told at once.
func (c *conn) setWatches(q request) {
	tree := c.tree()
	for _, p := range q.dataSet {
		switch n := tree[p]; {
		case n == nil:
			c.event(p, eventDeleted)
		case n.mzxid > q.zxid:
			c.event(p, eventData)
		default:
			c.watches["data "+p] = true
		}
	}
	for _, p := range q.existSet {
		if tree[p] != nil {
			c.event(p, eventCreated)
		} else {
			c.watches["exist "+p] = true
		}
	}
	for _, p := range q.childSet {
		switch n := tree[p]; {
		case n == nil:
			c.event(p, eventDeleted)
		case n.pzxid > q.zxid:
			c.event(p, eventChildren)
		default:
			c.watches["child "+p] = true
		}
	}
}

// Protect lets only a digest identity (user:password) do anything with a node.
func (s *Service) Protect(p, userPassword string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[p].acl = []ACL{{permAll, "digest", digest([]byte(userPassword))}}
}

// digest is ZooKeeper's name for a user with a password.
func digest(userPassword []byte) string {
	user, _, _ := strings.Cut(string(userPassword), ":")
	sum := sha1.Sum(userPassword)
	return user + ":" + base64.StdEncoding.EncodeToString(sum[:])
}
