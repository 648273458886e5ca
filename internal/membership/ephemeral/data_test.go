package ephemeral

import (
	"encoding/json"
	"strings"
	"testing"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

func TestParseReadsNativeForm(t *testing.T) {
	data := `{"address":"10.0.0.7:9101","site":"dar","kind":"box","block":7,"share":2.5,"started_ms":1700000000000}`
	want := engine.Host{
		Name: "s-1", Address: "10.0.0.7:9101", Site: "dar", Kind: "box", Cell: 7, Weight: 2.5, StartedMS: 1700000000000,
	}
	if host, err := Parse("s-1", []byte(data), rules); err != nil || host != want {
		t.Errorf("Parse returned %+v, %v, want %+v", host, err, want)
	}
}

func TestParseReadsCuratorForm(t *testing.T) {
	data := `{"name":"soko","id":"7","address":"10.0.0.8","port":9102,"sslPort":null,
		"payload":{"site":"arusha","block":3},
		"registrationTimeUTC":1700000000000,"serviceType":"DYNAMIC","uriSpec":null,"enabled":false}`
	want := engine.Host{
		Name: "7", Address: "10.0.0.8:9102", Site: "arusha", Cell: 3, Weight: 1, State: balancer.Draining,
	}
	if host, err := Parse("7", []byte(data), rules); err != nil || host != want {
		t.Errorf("Parse returned %+v, %v, want %+v", host, err, want)
	}
}

func TestParseRejectsInvalidData(t *testing.T) {
	for _, c := range []struct {
		data    string
		message string // part of the error
	}{
		{``, "JSON"},
		{`[]`, "JSON"},
		{`null`, "address"},
		{`{}`, "address"},
		{`{"address":"x"}`, "address"},
		{`{"address":"x:0"}`, "address"},
		{`{"address":"x:http"}`, "address"},
		{`{"address":7}`, "address"},
		{`{"address":"x:1","site":"moshi"}`, "site"},
		{`{"address":"x:1","kind":"huge"}`, "kind"},
		{`{"address":"x:1","block":-1}`, "block"},
		{`{"address":"x:1","block":65536}`, "block"},
		{`{"address":"x:1","share":0}`, "share"},
		{`{"address":"x:1","share":-2}`, "share"},
		{`{"address":"x:1","started_ms":99999999999999}`, "started_ms"},
		{`{"address":"x:1","started_ms":-1}`, "started_ms"},
		{`{"serviceType":"DYNAMIC","address":"x"}`, "port"},
		{`{"serviceType":"DYNAMIC","port":1}`, "address"},
		{`{"serviceType":"DYNAMIC","address":"x","port":1,"payload":{"block":"b"}}`, "payload"},
		{`{"address":"` + strings.Repeat("x", maxDataBytes) + `:1"}`, "bytes"},
	} {
		_, err := Parse("n", []byte(c.data), rules)
		if err == nil || !strings.Contains(err.Error(), c.message) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.60s: error %v, want one line with %q", c.data, err, c.message)
		}
	}
}

// Parse returns an endpoint with an address, or an error of a single line, for any data.
func FuzzParse(f *testing.F) {
	f.Add("a", nodeData(1, `,"block":3`))
	f.Add("b", []byte(`{"serviceType":"DYNAMIC","address":"::1","port":7,"payload":{}}`))
	f.Add("", []byte(`{"address":":1","share":1e300}`))
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		host, err := Parse(name, data, rules)
		if err != nil {
			if err.Error() == "" || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q, want a single line that is not empty", err)
			}
			return
		}
		if host.Name == "" || host.Address == "" || !(host.Weight > 0) || host.StartedMS < 0 || !json.Valid(data) {
			t.Errorf("%q is parsed as the invalid endpoint %+v", data, host)
		}
	})
}
