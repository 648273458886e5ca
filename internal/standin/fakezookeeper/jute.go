package fakezookeeper

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The operations that the service supports, by their numbers on the wire (ZooDefs.OpCode).
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

// maxFrameBytes is the length of the longest frame that is read, which is ZooKeeper's limit (jute.maxbuffer).
const maxFrameBytes = 1 << 20

// nullLength is the length that stands for a null string, buffer or list.
const nullLength = -1

// errTruncated means that a frame ends within a field.
var errTruncated = errors.New("frame truncated within a field")

// reader reads the fields of a frame in Jute's encoding: numbers are big-endian; strings, buffers and lists follow
// their length. After an error it reads zero values.
type reader struct {
	data []byte
	err  error
}

// take returns the next n bytes, nil after an error.
func (r *reader) take(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.data) {
		r.err = errTruncated
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
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
	length := r.int32()
	if length == nullLength {
		return nil
	}
	return append([]byte{}, r.take(int(length))...)
}

func (r *reader) string() string { return string(r.buffer()) }

// count reads the length of a list whose items have at least minBytes each.
func (r *reader) count(minBytes int) int {
	n := int(r.int32())
	if n == nullLength {
		return 0
	}
	if n < 0 || n > len(r.data)/minBytes {
		r.err = fmt.Errorf("list of %d items does not fit in the remaining %d bytes", n, len(r.data))
		return 0
	}
	return n
}

func (r *reader) strings() []string {
	list := make([]string, r.count(lengthBytes))
	for i := range list {
		list[i] = r.string()
	}
	return list
}

// writer is a frame that is being written. Its first bytes are the frame's length.
type writer []byte

// newFrame returns an empty frame. After the last field is written, seal completes it.
func newFrame() *writer {
	w := make(writer, lengthBytes, 64)
	return &w
}

// seal sets the frame's length and returns the frame.
func (w *writer) seal() []byte {
	binary.BigEndian.PutUint32(*w, uint32(len(*w)-lengthBytes))
	return *w
}

func (w *writer) int32(v int32) { *w = binary.BigEndian.AppendUint32(*w, uint32(v)) }

func (w *writer) int64(v int64) { *w = binary.BigEndian.AppendUint64(*w, uint64(v)) }

func (w *writer) string(v string) {
	w.int32(int32(len(v)))
	*w = append(*w, v...)
}

func (w *writer) buffer(v []byte) {
	if v == nil {
		w.int32(nullLength)
		return
	}
	w.int32(int32(len(v)))
	*w = append(*w, v...)
}

func (w *writer) strings(list []string) {
	w.int32(int32(len(list)))
	for _, v := range list {
		w.string(v)
	}
}

// connectResponse writes the response to a connect request.
func (w *writer) connectResponse(sess *session) {
	w.int32(0) // protocol version
	w.int32(int32(sess.timeout.Milliseconds()))
	w.int64(sess.id)
	w.buffer(sess.password)
}

// header writes the header of a response or watch event.
func (w *writer) header(xid int32, zxid int64, code int32) {
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
	w.int32(0) // version of the access control list
	w.int64(n.owner)
	w.int32(int32(len(n.data)))
	w.int32(int32(len(n.children)))
	w.int64(n.pzxid)
}

// ACL is one entry of a node's access control list.
type ACL struct {
	Perms      int32 // bits of ZooDefs.Perms
	Scheme, ID string
}

// minACLBytes is the length of the shortest ACL on the wire.
const minACLBytes = 3 * lengthBytes

// connectRequest is the first frame of a connection.
type connectRequest struct {
	version   int32
	zxid      int64 // last seen by the client
	timeoutMS int32 // of the session
	session   int64 // 0 for a new one
	password  []byte
}

func parseConnect(data []byte) (connectRequest, error) {
	r := &reader{data: data}
	c := connectRequest{
		version:   r.int32(),
		zxid:      r.int64(),
		timeoutMS: r.int32(),
		session:   r.int64(),
		password:  r.buffer(),
	}
	if len(r.data) == 1 {
		r.bool() // read-only mode, which clients send from version 3.4 on
	}
	if r.err == nil && len(r.data) > 0 {
		r.err = fmt.Errorf("%d unexpected bytes after the connect request", len(r.data))
	}
	return c, r.err
}

// request is any frame after the connect request. Only the fields of its operation are set.
type request struct {
	xid     int32
	op      int32
	path    string
	data    []byte
	acl     []ACL
	flags   int32
	version int32
	watch   bool
	scheme  string
	zxid    int64

	// Paths of watches to set again.
	dataWatches, existWatches, childWatches []string
}

func parseRequest(data []byte) (request, error) {
	r := &reader{data: data}
	parsed := request{xid: r.int32(), op: r.int32()}
	switch parsed.op {
	case OpPing, OpClose:
	case OpCreate:
		parsed.path = r.string()
		parsed.data = r.buffer()
		parsed.acl = r.acl()
		parsed.flags = r.int32()
	case OpDelete:
		parsed.path = r.string()
		parsed.version = r.int32()
	case OpExists, OpGetData, OpGetChildren, OpGetChildren2:
		parsed.path = r.string()
		parsed.watch = r.bool()
	case OpSetData:
		parsed.path = r.string()
		parsed.data = r.buffer()
		parsed.version = r.int32()
	case OpSync:
		parsed.path = r.string()
	case OpSetAuth:
		r.int32() // type
		parsed.scheme = r.string()
		parsed.data = r.buffer()
	case OpSetWatches:
		parsed.zxid = r.int64()
		parsed.dataWatches = r.strings()
		parsed.existWatches = r.strings()
		parsed.childWatches = r.strings()
	default:
		return parsed, r.err // answered with codeUnimplemented, whatever else the frame contains
	}
	if r.err == nil && len(r.data) > 0 {
		r.err = fmt.Errorf("%d unexpected bytes after a request of operation %d", len(r.data), parsed.op)
	}
	return parsed, r.err
}

// acl reads an access control list.
func (r *reader) acl() []ACL {
	var list []ACL
	for range r.count(minACLBytes) {
		list = append(list, ACL{Perms: r.int32(), Scheme: r.string(), ID: r.string()})
	}
	return list
}
