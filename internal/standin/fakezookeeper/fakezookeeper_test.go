package fakezookeeper

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
	"go.uber.org/goleak"
)

// testTimeout is how long a test waits for an expected outcome.
const testTimeout = 10 * time.Second

// startService starts a service whose goroutines must have ended with the test.
func startService(t *testing.T, members int) *Service {
	t.Helper()
	s, err := Start(members)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		goleak.VerifyNone(t)
	})
	return s
}

// discardLog is a logger of package zk.
type discardLog struct{}

func (discardLog) Printf(string, ...any) {}

// connect returns a client of the service, from the public library.
func connect(t *testing.T, s *Service, sessionTimeout time.Duration) *zk.Conn {
	t.Helper()
	client, events, err := zk.Connect(s.Addresses(), sessionTimeout, zk.WithLogger(discardLog{}), zk.WithLogInfo(false))
	if err != nil {
		t.Fatal(err)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		for range events {
		}
	}()
	t.Cleanup(func() {
		client.Close()
		<-drained
	})
	return client
}

// expectEvent waits for the event of a watch.
func expectEvent(t *testing.T, watch <-chan zk.Event, want zk.EventType, path string) {
	t.Helper()
	select {
	case e := <-watch:
		if e.Type != want || e.Path != path {
			t.Errorf("event %v of %s, want %v of %s", e.Type, e.Path, want, path)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no event %v of %s", want, path)
	}
}

// waitUntil waits until condition is true, and ends the test with message after testTimeout.
func waitUntil(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

// With the public client library, operations on nodes and their watches have the same results as with ZooKeeper.
func TestPublicClientUsesNodesAndWatches(t *testing.T) {
	s := startService(t, 1)
	c := connect(t, s, testTimeout)
	acl := zk.WorldACL(zk.PermAll)
	if path, err := c.Create("/d", []byte("x"), 0, acl); err != nil || path != "/d" {
		t.Fatalf("create: path %q, error %v, want /d", path, err)
	}
	if _, err := c.Create("/d", nil, 0, acl); !errors.Is(err, zk.ErrNodeExists) {
		t.Errorf("create of an existing node: error %v, want an error that the node exists", err)
	}
	if _, err := c.Create("/no/parent", nil, 0, acl); !errors.Is(err, zk.ErrNoNode) {
		t.Errorf("create without a parent: error %v, want an error that there is no such node", err)
	}
	names, stat, childrenChanged, err := c.ChildrenW("/d")
	if err != nil || len(names) != 0 || stat.Cversion != 0 {
		t.Fatalf("children of a new node: %v, stat %+v, error %v, want none", names, stat, err)
	}
	if path, err := c.Create("/d/e", []byte("1"), zk.FlagEphemeral, acl); err != nil || path != "/d/e" {
		t.Fatalf("create of an ephemeral node: path %q, error %v, want /d/e", path, err)
	}
	expectEvent(t, childrenChanged, zk.EventNodeChildrenChanged, "/d")
	if _, err := c.Create("/d/e/f", nil, 0, acl); !errors.Is(err, zk.ErrNoChildrenForEphemerals) {
		t.Errorf("create under an ephemeral node: error %v, want an error that it has no children", err)
	}
	if s.Owner("/d/e") != c.SessionID() {
		t.Errorf("the ephemeral node has owner %d, want session %d", s.Owner("/d/e"), c.SessionID())
	}
	for _, want := range []string{"/d/s0000000000", "/d/s0000000001"} {
		if path, err := c.Create("/d/s", nil, zk.FlagEphemeral|zk.FlagSequence, acl); err != nil || path != want {
			t.Errorf("create of a sequential node: path %q, error %v, want %q", path, err, want)
		}
	}
	data, stat, dataChanged, err := c.GetW("/d/e")
	if err != nil || string(data) != "1" || stat.EphemeralOwner != c.SessionID() || stat.Version != 0 ||
		stat.Czxid != stat.Mzxid || stat.DataLength != 1 {
		t.Fatalf("get: data %q, stat %+v, error %v, want data 1 and version 0 of this session's node", data, stat, err)
	}
	if stat, err := c.Set("/d/e", []byte("22"), 0); err != nil || stat.Version != 1 || stat.Mzxid <= stat.Czxid {
		t.Errorf("set: stat %+v, error %v, want version 1", stat, err)
	}
	expectEvent(t, dataChanged, zk.EventNodeDataChanged, "/d/e")
	if _, err := c.Set("/d/e", nil, 0); !errors.Is(err, zk.ErrBadVersion) {
		t.Errorf("set of an old version: error %v, want a bad version", err)
	}
	if data, _, err := c.Get("/d/e"); err != nil || string(data) != "22" {
		t.Errorf("get after set: data %q, error %v, want 22", data, err)
	}
	if ok, stat, err := c.Exists("/d"); err != nil || !ok || stat.NumChildren != 3 {
		t.Errorf("exists: %v, stat %+v, error %v, want a node with 3 children", ok, stat, err)
	}
	ok, _, created, err := c.ExistsW("/d/later")
	if err != nil || ok {
		t.Errorf("exists before the create: %v, error %v, want false", ok, err)
	}
	if _, err := c.Create("/d/later", nil, 0, acl); err != nil {
		t.Fatal(err)
	}
	expectEvent(t, created, zk.EventNodeCreated, "/d/later")
	_, _, deleted, err := c.GetW("/d/later")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Delete("/d", -1); !errors.Is(err, zk.ErrNotEmpty) {
		t.Errorf("delete of a node with children: error %v, want an error that it is not empty", err)
	}
	if err := c.Delete("/d/later", 7); !errors.Is(err, zk.ErrBadVersion) {
		t.Errorf("delete of another version: error %v, want a bad version", err)
	}
	if err := c.Delete("/d/later", 0); err != nil {
		t.Errorf("delete of the current version: %v", err)
	}
	expectEvent(t, deleted, zk.EventNodeDeleted, "/d/later")
	names, _, err = c.Children("/d")
	slices.Sort(names)
	if err != nil || !slices.Equal(names, []string{"e", "s0000000000", "s0000000001"}) {
		t.Errorf("children: %v, error %v, want e and the two sequential nodes", names, err)
	}
	if path, err := c.Sync("/d"); err != nil || path != "/d" {
		t.Errorf("sync: path %q, error %v, want /d", path, err)
	}
	if _, err := c.Multi(&zk.DeleteRequest{Path: "/d", Version: -1}); err == nil {
		t.Error("an operation that is not supported succeeds")
	}
}

// A node that a client has created for its own identity can be read only by clients that have authenticated. When a
// session is closed, its ephemeral nodes are deleted.
func TestIdentityProtectsNodeAndCloseRemovesEphemeralNode(t *testing.T) {
	s := startService(t, 1)
	c, unauthenticated := connect(t, s, testTimeout), connect(t, s, testTimeout)
	if err := c.AddAuth("digest", []byte("u:p")); err != nil {
		t.Errorf("auth: %v", err)
	}
	if _, err := c.Create("/own", []byte("x"), 0, zk.AuthACL(zk.PermAll)); err != nil {
		t.Errorf("create with an access control list: %v", err)
	}
	if _, _, err := unauthenticated.Get("/own"); !errors.Is(err, zk.ErrNoAuth) {
		t.Errorf("get by an unauthenticated client: %v, want an authorization error", err)
	}
	if _, err := c.Create("/e", nil, zk.FlagEphemeral, zk.WorldACL(zk.PermAll)); err != nil {
		t.Fatal(err)
	}
	_, _, deleted, err := unauthenticated.GetW("/e")
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	expectEvent(t, deleted, zk.EventNodeDeleted, "/e")
}

// A session outlives a lost connection, with its nodes and watches, and ends when it is expired.
func TestSessionOutlivesConnectionUntilExpired(t *testing.T) {
	s := startService(t, 2)
	c, other := connect(t, s, 2*time.Second), connect(t, s, testTimeout)
	if _, err := c.Create("/e", nil, zk.FlagEphemeral, zk.WorldACL(zk.PermAll)); err != nil {
		t.Fatal(err)
	}
	_, _, deleted, err := other.GetW("/e")
	if err != nil {
		t.Fatal(err)
	}
	id := c.SessionID()
	s.Member(0).CloseConnections()
	s.Member(1).CloseConnections()
	waitUntil(t, "the session was not resumed", func() bool {
		_, _, err := c.Get("/e")
		return err == nil && c.SessionID() == id
	})
	s.ExpireSession(id)
	expectEvent(t, deleted, zk.EventNodeDeleted, "/e")
	waitUntil(t, "no new session was opened", func() bool { return c.SessionID() != id && c.SessionID() != 0 })
}

// A session on which nothing is received ends after its timeout.
func TestSilentSessionExpires(t *testing.T) {
	s := startService(t, 1)
	raw := dial(t, s)
	// ConnectRequest: protocolVersion, lastZxidSeen, timeOut 50 ms, sessionId 0, passwd of 16 zeros.
	write(t, raw, `0000002c 00000000 0000000000000000 00000032 0000000000000000
		00000010 00000000000000000000000000000000`)
	response := make([]byte, 40)
	if _, err := io.ReadFull(raw, response); err != nil {
		t.Fatal(err)
	}
	if id := binary.BigEndian.Uint64(response[12:]); id == 0 {
		t.Fatal("the server answered the connect request without a session ID")
	}
	waitUntil(t, "the silent session did not expire", func() bool { return len(s.Sessions()) == 0 })
}

// dial opens a connection that ends with the test.
func dial(t *testing.T, s *Service) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addresses()[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// hexBytes decodes hexadecimal digits with white space between them.
func hexBytes(t *testing.T, text string) []byte {
	t.Helper()
	decoded, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// write writes bytes that are given in hexadecimal.
func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write(hexBytes(t, text)); err != nil {
		t.Fatal(err)
	}
}

// rawConn exchanges frames that are given in hexadecimal.
type rawConn struct {
	t    *testing.T
	conn net.Conn
}

// send writes a frame.
func (r rawConn) send(frame string) {
	r.t.Helper()
	write(r.t, r.conn, frame)
}

// readFrame reads a frame and returns it without its length.
func (r rawConn) readFrame() []byte {
	r.t.Helper()
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r.conn, head[:]); err != nil {
		r.t.Fatal(err)
	}
	frame := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(r.conn, frame); err != nil {
		r.t.Fatal(err)
	}
	return frame
}

// expect reads a frame that must begin with prefix, and returns the rest.
func (r rawConn) expect(what, prefix string) (rest []byte) {
	r.t.Helper()
	frame, want := r.readFrame(), hexBytes(r.t, prefix)
	if !bytes.HasPrefix(frame, want) {
		r.t.Fatalf("%s: got %x, want it to begin with %x", what, frame, want)
	}
	return frame[len(want):]
}

// The frames are those of the protocol's definition (zookeeper.jute): a length, then big-endian fields in order;
// strings and buffers follow their length.
func TestFramesMatchProtocolDefinition(t *testing.T) {
	s := startService(t, 1)
	raw := rawConn{t: t, conn: dial(t, s)}
	// ConnectRequest: protocolVersion, lastZxidSeen, timeOut 10,000 ms, sessionId 0, passwd of 16 zeros, readOnly.
	raw.send(`0000002d 00000000 0000000000000000 00002710 0000000000000000
		00000010 00000000000000000000000000000000 00`)
	// ConnectResponse: protocolVersion, timeOut, sessionId (the first is 0x101), passwd of 16.
	if rest := raw.expect("connect", "00000000 00002710 0000000000000101 00000010"); len(rest) != 16 {
		t.Errorf("connect: a password of %d bytes, want 16", len(rest))
	}
	// RequestHeader xid -2, type 11 (ping); ReplyHeader xid -2, zxid 0, err 0.
	raw.send("00000008 fffffffe 0000000b")
	raw.expect("ping", "fffffffe 0000000000000000 00000000")
	// getChildren2 (12) of "/" with a watch: count 0, then the Stat.
	raw.send("0000000e 00000001 0000000c 00000001 2f 01")
	if rest := raw.expect("getChildren2", "00000001 0000000000000000 00000000 00000000"); len(rest) != 68 {
		t.Errorf("getChildren2: a Stat of %d bytes, want 68", len(rest))
	}
	// create (1) "/a", data "x", one ACL (31, world, anyone), flags 1 (ephemeral).
	raw.send(`00000032 00000002 00000001 00000002 2f61 00000001 78
		00000001 0000001f 00000005 776f726c64 00000006 616e796f6e65 00000001`)
	// WatcherEvent: xid -1, zxid -1, err 0; type 4 (children changed), state 3, path "/".
	raw.expect("event", "ffffffff ffffffffffffffff 00000000 00000004 00000003 00000001 2f")
	raw.expect("create", "00000002 0000000000000001 00000000 00000002 2f61")
	// getData (4) "/a" without a watch: the data, czxid 1, mzxid 1.
	raw.send("0000000f 00000003 00000004 00000002 2f61 00")
	raw.expect("getData", "00000003 0000000000000001 00000000 00000001 78 0000000000000001 0000000000000001")
	// exists (3) "/b" with a watch: err -101 (no node), no body.
	raw.send("0000000f 00000004 00000003 00000002 2f62 01")
	if rest := raw.expect("exists", "00000004 0000000000000001 ffffff9b"); len(rest) != 0 {
		t.Errorf("exists: body %x after an error, want none", rest)
	}
	// setData (5) "/a", data none (-1), version -1: a Stat with dataLength 0, version 1.
	raw.send("00000016 00000005 00000005 00000002 2f61 ffffffff ffffffff")
	raw.expect("setData", "00000005 0000000000000002 00000000 0000000000000001 0000000000000002")
	// setWatches (101): relativeZxid 0, data watches ["/a"], no others. /a changed since.
	raw.send("00000022 fffffff8 00000065 0000000000000000 00000001 00000002 2f61 00000000 00000000")
	raw.expect("event", "ffffffff ffffffffffffffff 00000000 00000003 00000003 00000002 2f61")
	raw.expect("setWatches", "fffffff8 0000000000000002 00000000")
	// auth (100): type 0, scheme "digest", auth "u:p".
	raw.send("0000001d fffffffc 00000064 00000000 00000006 646967657374 00000003 753a70")
	raw.expect("auth", "fffffffc 0000000000000002 00000000")
	// delete (2) "/a", version -1.
	raw.send("00000012 00000006 00000002 00000002 2f61 ffffffff")
	raw.expect("delete", "00000006 0000000000000003 00000000")
	// An operation that is not supported (14, multi): err -6.
	raw.send("00000008 00000007 0000000e")
	raw.expect("multi", "00000007 0000000000000003 fffffffa")
	// closeSession (-11).
	raw.send("00000008 00000008 fffffff5")
	raw.expect("close", "00000008 0000000000000003 00000000")
	if n, err := raw.conn.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read after the close: %d bytes, error %v, want EOF", n, err)
	}
	if len(s.Sessions()) != 0 {
		t.Error("the session still exists after closeSession")
	}
}

// A malformed frame ends its connection and no other.
func TestMalformedFrameEndsOnlyItsConnection(t *testing.T) {
	s := startService(t, 1)
	c := connect(t, s, testTimeout)
	for name, frame := range map[string]string{
		"negative length":         "ffffffff",
		"length beyond the limit": "7fffffff",
		"truncated connect":       "00000001 00",
		"password beyond the frame": `0000002c 00000000 0000000000000000 00002710 0000000000000000
			7fffffff 00000000000000000000000000000000`,
	} {
		raw := dial(t, s)
		write(t, raw, frame)
		if response, err := io.ReadAll(raw); len(response) > 0 {
			t.Errorf("%s: response %x, error %v, want a closed connection without a response", name, response, err)
		}
		raw.Close()
	}
	if _, _, err := c.Children("/"); err != nil {
		t.Errorf("request on another connection: %v", err)
	}
}

// No frame makes the parsers panic or return more than it holds.
func FuzzParsersReturnNoMoreThanFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 12, 0, 0, 0, 1, '/', 1})
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 101, 0, 0, 0, 0, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff})
	f.Add(make([]byte, 44))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := parseConnect(data); err == nil && len(c.password) > len(data) {
			t.Errorf("parsed password of %d bytes is longer than its frame of %d bytes", len(c.password), len(data))
		}
		r, err := parseRequest(data)
		watches := len(r.dataWatches) + len(r.childWatches) + len(r.existWatches)
		if err == nil && len(r.path)+len(r.data)+watches > len(data) {
			t.Errorf("parsed request %+v holds more than its frame of %d bytes", r, len(data))
		}
	})
}
