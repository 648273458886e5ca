package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const settings = `classes.count=1
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
contract.cold-from=0.2
contract.ramp-time=1000000
limits.most-tries=3
limits.probes=true
limits.cancel=true
reporting.fields=busy_reqs
reporting.how=probe
`

// Codes of records in the protocol.
const (
	codeBegin         = 16
	codeMembership    = 17
	codeRequest       = 18
	codeAnswer        = 20
	codeTimeoutFired  = 22
	codeStop          = 25
	codeManifest      = 26
	codeInstance      = 27
	codeDeliver       = 80
	codeDecline       = 81
	codeFail          = 82
	codeException     = 89
	codeReplyInstance = 92
	codeUnknown       = 99
)

// Sizes of headers in bytes.
const (
	batchHeaderBytes  = 16
	replyHeaderBytes  = 12
	recordHeaderBytes = 5
)

// record returns a record with the fields in the protocol's encoding.
func record(code byte, fields ...any) []byte {
	var payload bytes.Buffer
	for _, field := range fields {
		if text, ok := field.(string); ok {
			field = []byte(text)
		}
		if err := binary.Write(&payload, binary.BigEndian, field); err != nil {
			panic(err)
		}
	}
	header := binary.BigEndian.AppendUint32([]byte{code}, uint32(payload.Len()))
	return append(header, payload.Bytes()...)
}

// batch returns a frame that contains a batch of records.
func batch(number uint32, now uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	frame := binary.BigEndian.AppendUint32(nil, number)
	frame = binary.BigEndian.AppendUint32(frame, uint32(batchHeaderBytes+len(body)))
	frame = binary.BigEndian.AppendUint64(frame, now)
	return append(frame, body...)
}

// selectInstance returns an instance record, which selects the receiver of the records after it.
func selectInstance(number uint32) []byte { return record(codeInstance, number) }

// begin returns a begin record, which starts a balancer with the given settings.
func begin(text string) []byte { return record(codeBegin, uint64(5), uint32(len(text)), text) }

// manifest returns a manifest record that sets list 0.
func manifest(ids ...uint32) []byte {
	fields := []any{uint8(0), uint32(len(ids))}
	for _, id := range ids {
		fields = append(fields, id, uint8(0), uint8(0), uint16(0), uint8(0), float32(1), uint64(0))
	}
	return record(codeManifest, fields...)
}

// members returns a membership record that delivers list 0 as a cached list.
func members() []byte { return record(codeMembership, uint32(1), uint8(0), uint8(3)) }

// request returns a request record of class 0.
func request(id uint64, deadline uint64) []byte {
	return record(codeRequest, id, uint64(0), deadline, uint32(0), uint8(0), uint16(0), uint8(0))
}

// answer returns an answer record for the first attempt of a request.
func answer(id uint64, endpoint uint32, status uint16, settled uint8) []byte {
	return record(codeAnswer, id, uint16(0), endpoint, status, uint32(3000), settled, uint8(0))
}

// runBatches runs a host on batches and returns its output.
func runBatches(t *testing.T, batches ...[]byte) (replies, stderr string, err error) {
	t.Helper()
	var out, errOut bytes.Buffer
	err = run(bytes.NewReader(bytes.Join(batches, nil)), &out, &errOut)
	return out.String(), errOut.String(), err
}

// actions returns the number of one reply and the codes of its records.
func actions(t *testing.T, reply []byte) (number uint32, codes []byte) {
	t.Helper()
	if int(binary.BigEndian.Uint32(reply[4:])) != len(reply) {
		t.Fatalf("reply has %d bytes, its header says %d", len(reply), binary.BigEndian.Uint32(reply[4:]))
	}
	for _, action := range splitRecords(reply[replyHeaderBytes:]) {
		codes = append(codes, action[0])
	}
	if int(binary.BigEndian.Uint32(reply[8:])) != len(codes) {
		t.Fatalf("reply has %d records, its header says %d", len(codes), binary.BigEndian.Uint32(reply[8:]))
	}
	return binary.BigEndian.Uint32(reply), codes
}

// splitRecords splits the body of a reply into its records.
func splitRecords(body []byte) [][]byte {
	var records [][]byte
	for len(body) > 0 {
		size := recordHeaderBytes + int(binary.BigEndian.Uint32(body[1:]))
		records = append(records, body[:size])
		body = body[size:]
	}
	return records
}

// countRecords returns the number of occurrences of each record in a sequence of replies.
func countRecords(replies string) map[string]int {
	counts := map[string]int{}
	for rest := []byte(replies); len(rest) > 0; {
		size := int(binary.BigEndian.Uint32(rest[4:]))
		for _, action := range splitRecords(rest[replyHeaderBytes:size]) {
			counts[string(action)]++
		}
		rest = rest[size:]
	}
	return counts
}

func TestEmptyBatchHasEmptyReply(t *testing.T) {
	out, _, err := runBatches(t, batch(1, 100))
	if err != nil || out != "\x00\x00\x00\x01\x00\x00\x00\x0c\x00\x00\x00\x00" {
		t.Errorf("reply %x, error %v", out, err)
	}
}

func TestRequestIsSentToOneEndpoint(t *testing.T) {
	out, stderr, err := runBatches(t, batch(7, 1000, selectInstance(3), begin(settings), manifest(11, 12), members(),
		request(5, 500_000)))
	if err != nil || stderr != "" {
		t.Fatal(stderr, err)
	}
	number, codes := actions(t, []byte(out))
	if number != 7 || codes[0] != codeReplyInstance || bytes.Count(codes, []byte{codeDeliver}) != 1 {
		t.Errorf("reply %d has record codes %v, want reply 7 with one deliver record", number, codes)
	}
}

func TestBeginAfterStopDiscardsRequests(t *testing.T) {
	out, _, err := runBatches(t,
		batch(1, 1000, selectInstance(3), begin(settings), manifest(11), members(), request(5, 500_000)),
		batch(2, 2000, selectInstance(3), record(codeStop), begin(settings), manifest(12), members(), answer(5, 11, 500, 0),
			request(6, 500_000)))
	if err != nil {
		t.Fatal(err)
	}
	first := int(binary.BigEndian.Uint32([]byte(out)[4:]))
	_, codes := actions(t, []byte(out)[first:])
	ended := bytes.IndexByte(codes, codeDecline) >= 0 || bytes.IndexByte(codes, codeFail) >= 0
	if bytes.Count(codes, []byte{codeDeliver}) != 1 || ended {
		t.Errorf("the new balancer acted on a request of the previous one: codes %v", codes)
	}
}

func TestInstancesOfOneProcessReplyAsIfAlone(t *testing.T) {
	together, _, _ := runBatches(t, scriptFor(1, 2)...)
	repeated, _, _ := runBatches(t, scriptFor(1, 2)...)
	if together != repeated {
		t.Fatal("two runs on the same input differ")
	}
	alone := ""
	for _, instance := range []uint32{1, 2} {
		replies, _, _ := runBatches(t, scriptFor(instance)...)
		alone += replies
	}
	countsTogether, countsAlone := countRecords(together), countRecords(alone)
	if len(countsTogether) != len(countsAlone) {
		t.Fatalf("%d distinct records from instances in one process, %d from separate processes",
			len(countsTogether), len(countsAlone))
	}
	for action, count := range countsTogether {
		if countsAlone[action] != count {
			t.Errorf("record %x: written %d times by instances in one process, %d times by separate processes",
				action, count, countsAlone[action])
		}
	}
}

// scriptFor returns batches in which each instance begins and receives 30 requests of its own.
func scriptFor(instances ...uint32) [][]byte {
	records := [][]byte{manifest(11, 12, 13)}
	for _, instance := range instances {
		records = append(records, selectInstance(instance), begin(settings), members())
	}
	batches := [][]byte{batch(1, 1000, records...)}
	for n := range uint64(30) {
		records = nil
		for _, instance := range instances {
			id := 100*uint64(instance) + n
			records = append(records, selectInstance(instance), request(id, 1000*n+500_000))
		}
		batches = append(batches, batch(uint32(n+2), 1000*n+2000, records...))
	}
	return batches
}

func TestMalformedInputEndsProcessWithoutReply(t *testing.T) {
	good := batch(1, 1000, selectInstance(3), begin(settings))
	timeout := record(codeTimeoutFired, uint32(1))
	for _, c := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"event before instance", batch(2, 1000, timeout), "timeout_fired at byte 16"},
		{"event before begin", batch(2, 1000, selectInstance(4), timeout), "instance 4 has no begin record"},
		{"truncated", batch(2, 1000, selectInstance(3))[:20], "batch at byte 20"},
		{"overrun", batch(2, 1000, []byte{codeRequest, 0, 0, 1, 0}), "request at byte 17"},
	} {
		out, _, err := runBatches(t, good, c.input)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with the position or reason", c.name, err)
		}
		if number, _ := actions(t, []byte(out)); number != 1 {
			t.Errorf("%s: the malformed batch has a reply", c.name)
		}
	}
}

func TestUnknownEventIsReportedOnce(t *testing.T) {
	_, stderr, err := runBatches(t, batch(1, 1000, record(codeUnknown, uint32(1)), record(codeUnknown),
		selectInstance(3), begin(settings)))
	if err != nil || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "event 99") {
		t.Errorf("stderr %q, error %v; want one line with the code", stderr, err)
	}
}

func TestInvalidSettingsBecomeExceptionRecord(t *testing.T) {
	for _, text := range []string{
		strings.Replace(settings, "repeat=pure", "repeat=never", 1),
		strings.Replace(settings, "target=250000", "target=-1", 1),
	} {
		out, _, err := runBatches(t, batch(1, 1000, selectInstance(3), begin(text)))
		if err != nil {
			t.Fatal(err)
		}
		if _, codes := actions(t, []byte(out)); codes[len(codes)-1] != codeException {
			t.Errorf("record codes %v, want an exception record last", codes)
		}
	}
}
