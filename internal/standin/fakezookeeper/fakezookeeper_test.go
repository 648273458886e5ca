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

type discardLog struct{}

func (discardLog) Printf(string, ...any) {}

func service(t *testing.T, members int) *Service {
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

func client(t *testing.T, s *Service, session time.Duration) *zk.Conn {
	t.Helper()
	c, events, err := zk.Connect(s.Addresses(), session, zk.WithLogger(discardLog{}), zk.WithLogInfo(false))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		for range events {
		}
		close(done)
	}()
	t.Cleanup(func() {
		c.Close()
		<-done
	})
	return c
}

func event(t *testing.T, ch <-chan zk.Event, want zk.EventType, path string) {
	t.Helper()
	select {
	case e := <-ch:
		if e.Type != want || e.Path != path {
			t.Errorf("event %v of %s, want %v of %s", e.Type, e.Path, want, path)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no event %v of %s", want, path)
	}
}

// The public client library runs every operation that is supported.
func TestEveryOperationWithThePublicClient(t *testing.T) {
	s := service(t, 1)
	c := client(t, s, 10*time.Second)
	acl := zk.WorldACL(zk.PermAll)
	if p, err := c.Create("/d", []byte("x"), 0, acl); err != nil || p != "/d" {
		t.Fatalf("create: %q, %v", p, err)
	}
	if _, err := c.Create("/d", nil, 0, acl); !errors.Is(err, zk.ErrNodeExists) {
		t.Errorf("create again: %v", err)
	}
	if _, err := c.Create("/no/parent", nil, 0, acl); !errors.Is(err, zk.ErrNoNode) {
		t.Errorf("create without a parent: %v", err)
	}
	names, stat, children, err := c.ChildrenW("/d")
	if err != nil || len(names) != 0 || stat.Cversion != 0 {
		t.Fatalf("children: %v, %+v, %v", names, stat, err)
	}
	if p, err := c.Create("/d/e", []byte("1"), zk.FlagEphemeral, acl); err != nil || p != "/d/e" {
		t.Fatalf("create ephemeral: %q, %v", p, err)
	}
	event(t, children, zk.EventNodeChildrenChanged, "/d")
	if _, err := c.Create("/d/e/f", nil, 0, acl); !errors.Is(err, zk.ErrNoChildrenForEphemerals) {
		t.Errorf("create under an ephemeral node: %v", err)
	}
	if s.Owner("/d/e") != c.SessionID() {
		t.Errorf("owner %d, session %d", s.Owner("/d/e"), c.SessionID())
	}
	for _, want := range []string{"/d/s0000000000", "/d/s0000000001"} {
		if p, err := c.Create("/d/s", nil, zk.FlagEphemeral|zk.FlagSequence, acl); err != nil || p != want {
			t.Errorf("create sequential: %q, %v", p, err)
		}
	}
	data, stat, changed, err := c.GetW("/d/e")
	if err != nil || string(data) != "1" || stat.EphemeralOwner != c.SessionID() || stat.Version != 0 || stat.Czxid != stat.Mzxid || stat.DataLength != 1 {
		t.Fatalf("get: %q, %+v, %v", data, stat, err)
	}
	if stat, err := c.Set("/d/e", []byte("22"), 0); err != nil || stat.Version != 1 || stat.Mzxid <= stat.Czxid {
		t.Errorf("set: %+v, %v", stat, err)
	}
	event(t, changed, zk.EventNodeDataChanged, "/d/e")
	if _, err := c.Set("/d/e", nil, 0); !errors.Is(err, zk.ErrBadVersion) {
		t.Errorf("set of an old version: %v", err)
	}
	if data, _, err := c.Get("/d/e"); err != nil || string(data) != "22" {
		t.Errorf("get: %q, %v", data, err)
	}
	if ok, stat, err := c.Exists("/d"); err != nil || !ok || stat.NumChildren != 3 {
		t.Errorf("exists: %v, %+v, %v", ok, stat, err)
	}
	ok, _, created, err := c.ExistsW("/d/later")
	if err != nil || ok {
		t.Errorf("exists: %v, %v", ok, err)
	}
	if _, err := c.Create("/d/later", nil, 0, acl); err != nil {
		t.Fatal(err)
	}
	event(t, created, zk.EventNodeCreated, "/d/later")
	_, _, deleted, err := c.GetW("/d/later")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Delete("/d", -1); !errors.Is(err, zk.ErrNotEmpty) {
		t.Errorf("delete of a directory: %v", err)
	}
	if err := c.Delete("/d/later", 7); !errors.Is(err, zk.ErrBadVersion) {
		t.Errorf("delete of an old version: %v", err)
	}
	if err := c.Delete("/d/later", 0); err != nil {
		t.Errorf("delete: %v", err)
	}
	event(t, deleted, zk.EventNodeDeleted, "/d/later")
	if names, _, err := c.Children("/d"); err != nil || !slices.Equal(sorted(names), []string{"e", "s0000000000", "s0000000001"}) {
		t.Errorf("children: %v, %v", names, err)
	}
	if p, err := c.Sync("/d"); err != nil || p != "/d" {
		t.Errorf("sync: %q, %v", p, err)
	}
	if err := c.AddAuth("digest", []byte("u:p")); err != nil {
		t.Errorf("auth: %v", err)
	}
	if _, err := c.Create("/own", []byte("x"), 0, zk.AuthACL(zk.PermAll)); err != nil {
		t.Errorf("create with our own list: %v", err)
	}
	stranger := client(t, s, 10*time.Second)
	if _, _, err := stranger.Get("/own"); !errors.Is(err, zk.ErrNoAuth) {
		t.Errorf("a stranger's get: %v", err)
	}
	if _, err := c.Multi(&zk.DeleteRequest{Path: "/own", Version: -1}); err == nil {
		t.Error("an operation that is not supported succeeds")
	}
	// A session that is closed takes its ephemeral nodes along.
	_, _, ended, err := stranger.GetW("/d/e")
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	event(t, ended, zk.EventNodeDeleted, "/d/e")
}

func sorted(s []string) []string {
	slices.Sort(s)
	return s
}

// A session lives on through a lost connection, with its nodes and watches, and ends
// by its time-out when nothing is heard.
func TestSessions(t *testing.T) {
	s := service(t, 2)
	c, other := client(t, s, 2*time.Second), client(t, s, 10*time.Second)
	if _, err := c.Create("/e", nil, zk.FlagEphemeral, zk.WorldACL(zk.PermAll)); err != nil {
		t.Fatal(err)
	}
	_, _, watch, err := other.GetW("/e")
	if err != nil {
		t.Fatal(err)
	}
	id := c.SessionID()
	s.Member(0).CloseConnections()
	s.Member(1).CloseConnections()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, _, err := c.Get("/e"); err == nil && c.SessionID() == id {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the session does not come back")
		}
	}
	s.ExpireSession(id)
	event(t, watch, zk.EventNodeDeleted, "/e")
	for end := time.Now().Add(10 * time.Second); c.SessionID() == id || c.SessionID() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no new session")
		}
	}
	// One that says nothing ends by itself.
	raw, err := net.Dial("tcp", s.Addresses()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	write(t, raw, "0000002c 00000000 0000000000000000 00000032 0000000000000000 00000010 00000000000000000000000000000000")
	if _, err := io.ReadFull(raw, make([]byte, 40)); err != nil {
		t.Fatal(err)
	}
	n := len(s.Sessions())
	for end := time.Now().Add(10 * time.Second); len(s.Sessions()) == n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the silent session does not end")
		}
	}
}

func hexBytes(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.NewReplacer(" ", "", "\n", "", "\t", "").Replace(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// write sends bytes that are given in hexadecimal.
func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write(hexBytes(t, text)); err != nil {
		t.Fatal(err)
	}
}

// setDeadline bounds all that follows on a connection.
func setDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
}

// Frames byte by byte, as the protocol's definition (zookeeper.jute) has them: a
// length, then big-endian fields in order; strings and buffers behind their length.
func TestFramesByteByByte(t *testing.T) {
	s := service(t, 1)
	raw, err := net.Dial("tcp", s.Addresses()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	setDeadline(t, raw)
	read := func() []byte {
		var head [4]byte
		if _, err := io.ReadFull(raw, head[:]); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(raw, b); err != nil {
			t.Fatal(err)
		}
		return b
	}
	expect := func(what, want string) []byte {
		t.Helper()
		got := read()
		w := hexBytes(t, want)
		if !bytes.HasPrefix(got, w) {
			t.Fatalf("%s: got %x, want it to begin with %x", what, got, w)
		}
		return got[len(w):]
	}
	send := func(text string) {
		t.Helper()
		write(t, raw, text)
	}
	// ConnectRequest: protocolVersion, lastZxidSeen, timeOut 10,000 ms, sessionId 0, passwd of 16 zeros, readOnly.
	send("0000002d 00000000 0000000000000000 00002710 0000000000000000 00000010 00000000000000000000000000000000 00")
	// ConnectResponse: protocolVersion, timeOut, sessionId (the first is 0x101), passwd of 16.
	if rest := expect("connect", "00000000 00002710 0000000000000101 00000010"); len(rest) != 16 {
		t.Errorf("connect: a password of %d bytes", len(rest))
	}
	// RequestHeader xid -2, type 11 (ping); ReplyHeader xid -2, zxid 0, err 0.
	send("00000008 fffffffe 0000000b")
	expect("ping", "fffffffe 0000000000000000 00000000")
	// getChildren2 (12) of "/" with a watch: count 0, then the Stat.
	send("0000000e 00000001 0000000c 00000001 2f 01")
	if rest := expect("getChildren2", "00000001 0000000000000000 00000000 00000000"); len(rest) != 68 {
		t.Errorf("getChildren2: a Stat of %d bytes, want 68", len(rest))
	}
	// create (1) "/a", data "x", one ACL (31, world, anyone), flags 1 (ephemeral).
	send("00000032 00000002 00000001 00000002 2f61 00000001 78 00000001 0000001f 00000005 776f726c64 00000006 616e796f6e65 00000001")
	// WatcherEvent: xid -1, zxid -1, err 0; type 4 (children changed), state 3, path "/".
	expect("event", "ffffffff ffffffffffffffff 00000000 00000004 00000003 00000001 2f")
	expect("create", "00000002 0000000000000001 00000000 00000002 2f61")
	// getData (4) "/a" without a watch: the data, czxid 1, mzxid 1.
	send("0000000f 00000003 00000004 00000002 2f61 00")
	expect("getData", "00000003 0000000000000001 00000000 00000001 78 0000000000000001 0000000000000001")
	// exists (3) "/b" with a watch: err -101 (no node), no body.
	send("0000000f 00000004 00000003 00000002 2f62 01")
	if rest := expect("exists", "00000004 0000000000000001 ffffff9b"); len(rest) != 0 {
		t.Errorf("exists: %x behind an error", rest)
	}
	// setData (5) "/a", data none (-1), version -1: a Stat with dataLength 0, version 1.
	send("00000016 00000005 00000005 00000002 2f61 ffffffff ffffffff")
	expect("setData", "00000005 0000000000000002 00000000 0000000000000001 0000000000000002")
	// setWatches (101): relativeZxid 0, data watches ["/a"], no others. /a changed since.
	send("00000022 fffffff8 00000065 0000000000000000 00000001 00000002 2f61 00000000 00000000")
	expect("event", "ffffffff ffffffffffffffff 00000000 00000003 00000003 00000002 2f61")
	expect("setWatches", "fffffff8 0000000000000002 00000000")
	// auth (100): type 0, scheme "digest", auth "u:p".
	send("0000001d fffffffc 00000064 00000000 00000006 646967657374 00000003 753a70")
	expect("auth", "fffffffc 0000000000000002 00000000")
	// delete (2) "/a", version -1.
	send("00000012 00000006 00000002 00000002 2f61 ffffffff")
	expect("delete", "00000006 0000000000000003 00000000")
	// An operation that is not supported (14, multi): err -6.
	send("00000008 00000007 0000000e")
	expect("multi", "00000007 0000000000000003 fffffffa")
	// closeSession (-11).
	send("00000008 00000008 fffffff5")
	expect("close", "00000008 0000000000000003 00000000")
	if n, err := raw.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("after the close: %d bytes, %v", n, err)
	}
	if len(s.Sessions()) != 0 {
		t.Error("the session lives on")
	}
}

// Broken frames end their connection and nothing else.
func TestBrokenFrames(t *testing.T) {
	s := service(t, 1)
	c := client(t, s, 10*time.Second)
	for _, text := range []string{"ffffffff", "7fffffff", "00000001 00", "0000002c 00000000 0000000000000000 00002710 0000000000000000 7fffffff 00000000000000000000000000000000"} {
		raw, err := net.Dial("tcp", s.Addresses()[0])
		if err != nil {
			t.Fatal(err)
		}
		write(t, raw, text)
		setDeadline(t, raw)
		if b, err := io.ReadAll(raw); len(b) > 0 {
			t.Errorf("%s: answered %x, %v", text, b, err)
		}
		raw.Close()
	}
	if _, _, err := c.Children("/"); err != nil {
		t.Errorf("another connection: %v", err)
	}
}

// No frame makes the service panic, or take more than it holds.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 12, 0, 0, 0, 1, '/', 1})
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 101, 0, 0, 0, 0, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff})
	f.Add(make([]byte, 44))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := parseConnect(data); err == nil && len(c.password) > len(data) {
			t.Errorf("a password of %d bytes in %d", len(c.password), len(data))
		}
		q, err := parseRequest(data)
		if err == nil && len(q.path)+len(q.data)+len(q.dataSet)+len(q.childSet)+len(q.existSet) > len(data) {
			t.Errorf("%+v from %d bytes", q, len(data))
		}
	})
}
