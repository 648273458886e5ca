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

func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if s, ok := f.(string); ok {
			f = []byte(s)
		}
		if err := binary.Write(&b, binary.BigEndian, f); err != nil {
			panic(err)
		}
	}
	out := binary.BigEndian.AppendUint32([]byte{code}, uint32(b.Len()))
	return append(out, b.Bytes()...)
}

func batch(number uint32, now uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, number)
	b = binary.BigEndian.AppendUint32(b, uint32(16+len(body)))
	b = binary.BigEndian.AppendUint64(b, now)
	return append(b, body...)
}

func at(i uint32) []byte { return record(27, i) }

func begin(text string) []byte { return record(16, uint64(5), uint32(len(text)), text) }

// manifest is a record of list 0.
func manifest(ids ...uint32) []byte {
	fields := []any{uint8(0), uint32(len(ids))}
	for _, id := range ids {
		fields = append(fields, id, uint8(0), uint8(0), uint16(0), uint8(0), float32(1), uint64(0))
	}
	return record(26, fields...)
}

// members is a membership record of list 0, as a cached list.
func members() []byte { return record(17, uint32(1), uint8(0), uint8(3)) }

func request(id uint64, deadline uint64) []byte {
	return record(18, id, uint64(0), deadline, uint32(0), uint8(0), uint16(0), uint8(0))
}

func answer(id uint64, endpoint uint32, status uint16, settled uint8) []byte {
	return record(20, id, uint16(0), endpoint, status, uint32(3000), settled, uint8(0))
}

func drive(t *testing.T, batches ...[]byte) (out, stderr string, err error) {
	t.Helper()
	var o, e bytes.Buffer
	err = run(bytes.NewReader(bytes.Join(batches, nil)), &o, &e)
	return o.String(), e.String(), err
}

// actions lists the codes of the records of one reply and its number.
func actions(t *testing.T, reply []byte) (number uint32, codes []byte) {
	t.Helper()
	if int(binary.BigEndian.Uint32(reply[4:])) != len(reply) {
		t.Fatalf("reply of %d bytes says %d", len(reply), binary.BigEndian.Uint32(reply[4:]))
	}
	for at := 12; at < len(reply); {
		codes = append(codes, reply[at])
		at += 5 + int(binary.BigEndian.Uint32(reply[at+1:]))
	}
	if int(binary.BigEndian.Uint32(reply[8:])) != len(codes) {
		t.Fatalf("%d records, header says %d", len(codes), binary.BigEndian.Uint32(reply[8:]))
	}
	return binary.BigEndian.Uint32(reply), codes
}

func TestEmptyBatchHasEmptyReply(t *testing.T) {
	out, _, err := drive(t, batch(1, 100))
	if err != nil || out != "\x00\x00\x00\x01\x00\x00\x00\x0c\x00\x00\x00\x00" {
		t.Errorf("%x %v", out, err)
	}
}

func TestRequestIsSent(t *testing.T) {
	out, stderr, err := drive(t, batch(7, 1000, at(3), begin(settings), manifest(11, 12), members(),
		request(5, 500_000)))
	if err != nil || stderr != "" {
		t.Fatal(stderr, err)
	}
	number, codes := actions(t, []byte(out))
	if number != 7 || codes[0] != 92 || bytes.Count(codes, []byte{80}) != 1 {
		t.Errorf("number %d, codes %v", number, codes)
	}
}

func TestBalancerIsNewAfterStopAndBegin(t *testing.T) {
	out, _, err := drive(t,
		batch(1, 1000, at(3), begin(settings), manifest(11), members(), request(5, 500_000)),
		batch(2, 2000, at(3), record(25), begin(settings), manifest(12), members(), answer(5, 11, 500, 0),
			request(6, 500_000)))
	if err != nil {
		t.Fatal(err)
	}
	first := int(binary.BigEndian.Uint32([]byte(out)[4:]))
	_, codes := actions(t, []byte(out)[first:])
	if bytes.Count(codes, []byte{80}) != 1 || bytes.IndexByte(codes, 81) >= 0 || bytes.IndexByte(codes, 82) >= 0 {
		t.Errorf("the new balancer knows a request of the old one: %v", codes)
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	script := func(instances ...uint32) [][]byte {
		var all [][]byte
		var records [][]byte
		records = append(records, manifest(11, 12, 13))
		for _, instance := range instances {
			records = append(records, at(instance), begin(settings), members())
		}
		all = append(all, batch(1, 1000, records...))
		for n := range uint64(30) {
			records = nil
			for _, instance := range instances {
				records = append(records, at(instance), request(100*uint64(instance)+n, 1000*n+500_000))
			}
			all = append(all, batch(uint32(n+2), 1000*n+2000, records...))
		}
		return all
	}
	together, _, _ := drive(t, script(1, 2)...)
	next, _, _ := drive(t, script(1, 2)...)
	if together != next {
		t.Fatal("two runs differ")
	}
	alone := ""
	for _, i := range []uint32{1, 2} {
		out, _, _ := drive(t, script(i)...)
		alone += out
	}
	count := func(s string) map[string]int {
		seen := map[string]int{}
		for rest := []byte(s); len(rest) > 0; {
			n := int(binary.BigEndian.Uint32(rest[4:]))
			for at := 12; at < n; {
				size := 5 + int(binary.BigEndian.Uint32(rest[at+1:]))
				seen[string(rest[at:at+size])]++
				at += size
			}
			rest = rest[n:]
		}
		return seen
	}
	a, b := count(together), count(alone)
	if len(a) != len(b) {
		t.Fatalf("%d kinds of record together, %d alone", len(a), len(b))
	}
	for k, n := range a {
		if b[k] != n {
			t.Errorf("record %x: %d together, %d alone", k, n, b[k])
		}
	}
}

func TestMalformedInputEndsProcess(t *testing.T) {
	good := batch(1, 1000, at(3), begin(settings))
	for _, c := range []struct {
		name  string
		input []byte
		says  string
	}{
		{"event before instance", batch(2, 1000, record(22, uint32(1))), "timeout_fired at byte 16"},
		{"event before begin", batch(2, 1000, at(4), record(22, uint32(1))), "instance 4 has not begun"},
		{"truncated", batch(2, 1000, at(3))[:20], "batch at byte 20"},
		{"overrun", batch(2, 1000, []byte{18, 0, 0, 1, 0}), "request at byte 17"},
	} {
		out, _, err := drive(t, good, c.input)
		if err == nil || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.name, err)
		}
		if number, _ := actions(t, []byte(out)); number != 1 {
			t.Errorf("%s: a reply was written for the bad batch", c.name)
		}
	}
}

func TestUnknownEventIsReportedOnce(t *testing.T) {
	_, stderr, err := drive(t, batch(1, 1000, record(99, uint32(1)), record(99), at(3), begin(settings)))
	if err != nil || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "event 99") {
		t.Errorf("%q %v", stderr, err)
	}
}

func TestInvalidSettingsAreException(t *testing.T) {
	for _, text := range []string{
		strings.Replace(settings, "repeat=pure", "repeat=never", 1),
		strings.Replace(settings, "target=250000", "target=-1", 1),
	} {
		out, _, err := drive(t, batch(1, 1000, at(3), begin(text)))
		if err != nil {
			t.Fatal(err)
		}
		if _, codes := actions(t, []byte(out)); codes[len(codes)-1] != 89 {
			t.Errorf("codes %v", codes)
		}
	}
}
