package fakezookeeper

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The operations that the service knows, by their numbers on the wire (ZooKeeper's
// ZooDefs.OpCode).
const (
	OpCreate       int32 = 1
	OpDelete       int32 = 2
	OpExists       int32 = 3
	OpGetData      int32 = 4
	OpSetData      int32 = 5
	OpGetChildren  int32 = 8
	OpSync         int32 = 9
	OpPing         int32 = 11
	OpGetChildren2 int32 = 12
	OpClose        int32 = -11
	OpSetAuth      int32 = 100
	OpSetWatches   int32 = 101
)

// Error codes on the wire (KeeperException.Code).
const (
	codeOK            int32 = 0
	codeUnimplemented int32 = -6
	codeBadArguments  int32 = -8
	codeNoNode        int32 = -101
	codeNoAuth        int32 = -102
	codeBadVersion    int32 = -103
	codeNoChildren    int32 = -108 // of ephemeral nodes
	codeNodeExists    int32 = -110
	codeNotEmpty      int32 = -111
	codeAuthFailed    int32 = -115
)

// maxFrameBytes is the largest frame that is read, ZooKeeper's own limit (jute.maxbuffer).
const maxFrameBytes = 1 << 20

var errShort = errors.New("the frame ends within a field")

// reader reads the fields of a frame (Jute's encoding: big-endian numbers, strings
// and buffers behind their length, -1 for none). Its first error stays.
type reader struct {
	data []byte
	err  error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.data) {
		if r.err == nil {
			r.err = errShort
		}
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) int32() int32 {
	if b := r.take(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

func (r *reader) int64() int64 {
	if b := r.take(8); b != nil {
		return int64(binary.BigEndian.Uint64(b))
	}
	return 0
}

func (r *reader) bool() bool {
	b := r.take(1)
	return b != nil && b[0] != 0
}

func (r *reader) buffer() []byte {
	n := r.int32()
	if n == -1 {
		return nil
	}
	return append([]byte{}, r.take(int(n))...)
}

func (r *reader) string() string { return string(r.buffer()) }

// count reads the length of a list whose items have at least minBytes each.
func (r *reader) count(minBytes int) int {
	n := int(r.int32())
	if n == -1 {
		return 0
	}
	if n < 0 || n > len(r.data)/minBytes {
		r.err = fmt.Errorf("a list of %d items in %d bytes", n, len(r.data))
		return 0
	}
	return n
}

func (r *reader) strings() []string {
	out := make([]string, r.count(4))
	for i := range out {
		out[i] = r.string()
	}
	return out
}

// writer writes a frame. Its first four bytes are the frame's length.
type writer []byte

func (w *writer) int32(v int32) { *w = binary.BigEndian.AppendUint32(*w, uint32(v)) }
func (w *writer) int64(v int64) { *w = binary.BigEndian.AppendUint64(*w, uint64(v)) }
func (w *writer) buffer(v []byte) {
	if v == nil {
		w.int32(-1)
		return
	}
	w.int32(int32(len(v)))
	*w = append(*w, v...)
}
func (w *writer) string(v string) {
	w.int32(int32(len(v)))
	*w = append(*w, v...)
}

// frame starts a frame; seal ends it.
func frame() *writer {
	w := make(writer, 4, 64)
	return &w
}

func (w *writer) seal() []byte {
	binary.BigEndian.PutUint32(*w, uint32(len(*w)-4))
	return *w
}

// ACL is one entry of a node's access control list.
type ACL struct {
	Perms      int32 // read 1, write 2, create 4, delete 8, admin 16
	Scheme, ID string
}

// connect is the first frame of a connection.
type connect struct {
	version  int32
	zxid     int64 // last seen
	timeout  int32 // of the session, milliseconds
	session  int64
	password []byte
}

func parseConnect(data []byte) (connect, error) {
	r := &reader{data: data}
	c := connect{version: r.int32(), zxid: r.int64(), timeout: r.int32(), session: r.int64(), password: r.buffer()}
	if len(r.data) == 1 {
		r.bool() // read-only, from 3.4 on
	}
	if r.err == nil && len(r.data) > 0 {
		r.err = errors.New("bytes behind the connect request")
	}
	return c, r.err
}

// request is any other frame. Only the fields of its operation are set.
type request struct {
	xid      int32
	op       int32
	path     string
	data     []byte
	acl      []ACL
	flags    int32
	version  int32
	watch    bool
	scheme   string
	zxid     int64
	dataSet  []string // watches to set again
	existSet []string
	childSet []string
}

func parseRequest(data []byte) (request, error) {
	r := &reader{data: data}
	q := request{xid: r.int32(), op: r.int32()}
	switch q.op {
	case OpPing, OpClose:
	case OpCreate:
		q.path, q.data = r.string(), r.buffer()
		for range r.count(12) {
			q.acl = append(q.acl, ACL{r.int32(), r.string(), r.string()})
		}
		q.flags = r.int32()
	case OpDelete:
		q.path, q.version = r.string(), r.int32()
	case OpExists, OpGetData, OpGetChildren, OpGetChildren2:
		q.path, q.watch = r.string(), r.bool()
	case OpSetData:
		q.path, q.data, q.version = r.string(), r.buffer(), r.int32()
	case OpSync:
		q.path = r.string()
	case OpSetAuth:
		r.int32()
		q.scheme, q.data = r.string(), r.buffer()
	case OpSetWatches:
		q.zxid, q.dataSet, q.existSet, q.childSet = r.int64(), r.strings(), r.strings(), r.strings()
	default:
		return q, r.err // answered as unimplemented, whatever it holds
	}
	if r.err == nil && len(r.data) > 0 {
		r.err = fmt.Errorf("%d bytes behind a request of operation %d", len(r.data), q.op)
	}
	return q, r.err
}

// head writes the head of an answer or event.
func (w *writer) head(xid int32, zxid int64, code int32) {
	w.int32(xid)
	w.int64(zxid)
	w.int32(code)
}

// stat writes a node's Stat.
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
