package ephemeral

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pinedale/internal/engine"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files in testdata from the current code")

// parseCase is a node's name and data, and the result of Parse.
type parseCase struct {
	Node  string
	Data  string
	Host  engine.Host
	Error string `json:",omitempty"`
}

// parseInputs are node data in all forms that deployed servers and registrars write, and invalid data.
var parseInputs = []parseCase{
	{Node: "minimal", Data: `{"address":"10.0.0.7:9101"}`},
	{Node: "full", Data: `{"address":"10.0.0.7:9101","site":"dar","kind":"box","block":7,"share":2.5,` +
		`"started_ms":1700000000000}`},
	{Node: "draining", Data: `{"address":"10.0.0.7:9101","site":"dar","started_ms":1700000000000,"draining":true}`},
	{Node: "not-draining", Data: `{"address":"10.0.0.7:9101","draining":false}`},
	{Node: "indented", Data: "\n{\r\n\t\"address\" : \"10.0.0.7:9101\" ,\n  \"block\": 65535\n}\n"},
	{Node: "unknown-keys", Data: `{"address":"10.0.0.7:9101","zone":"x","nested":{"block":3}}`},
	{Node: "null-values", Data: `{"address":"10.0.0.7:9101","site":null,"block":null,"share":null,` +
		`"started_ms":null,"draining":null}`},
	{Node: "zero-values", Data: `{"address":"10.0.0.7:9101","site":"","kind":"","block":0,"started_ms":0}`},
	{Node: "other-case", Data: `{"ADDRESS":"10.0.0.7:9101","Site":"arusha","Started_MS":5000}`},
	{Node: "key-twice", Data: `{"address":"10.0.0.7:1","address":"10.0.0.7:2"}`},
	{Node: "escapes", Data: `{"address":"host\u002dname:9101","site":"\u0064ar"}`},
	{Node: "ipv6", Data: `{"address":"[::1]:9101"}`},
	{Node: "no-host", Data: `{"address":":9101"}`},
	{Node: "small-share", Data: `{"address":"a:1","share":1e-3}`},
	{Node: "largest-share", Data: `{"address":"a:1","share":1000000}`},
	{Node: "curator", Data: `{"name":"soko","id":"7","address":"10.0.0.8","port":9102,"sslPort":null,` +
		`"payload":{"site":"arusha","kind":"box",` +
		`"block":3,"share":0.5,"started_ms":1700000000000},"registrationTimeUTC":1700000000001,` +
		`"serviceType":"DYNAMIC","uriSpec":null}`},
	{Node: "curator-no-payload", Data: `{"name":"soko","id":"7","address":"10.0.0.8","port":9102,` +
		`"payload":null,"serviceType":"DYNAMIC"}`},
	{Node: "curator-text-payload", Data: `{"address":"10.0.0.8","port":9102,"payload":"text",` +
		`"serviceType":"DYNAMIC"}`},
	{Node: "curator-enabled", Data: `{"address":"10.0.0.8","port":9102,"serviceType":"DYNAMIC","enabled":true}`},
	{Node: "curator-disabled", Data: `{"address":"10.0.0.8","port":9102,"serviceType":"DYNAMIC","enabled":false}`},
	{Node: "curator-draining", Data: `{"address":"10.0.0.8","port":9102,"serviceType":"STATIC",` +
		`"payload":{"draining":true},"enabled":true}`},
	{Node: "curator-ipv6", Data: `{"address":"::1","port":7,"serviceType":"DYNAMIC",` +
		`"payload":{"address":"10.0.0.9:1"}}`},
	{Node: "curator-share", Data: `{"address":"10.0.0.8","port":9102,"serviceType":"DYNAMIC","share":3}`},
	{Node: "", Data: `{"address":"a:1"}`},
	{Node: "empty-data", Data: ``},
	{Node: "array", Data: `[]`},
	{Node: "cut-off", Data: `{"address":"a:1"`},
	{Node: "null", Data: `null`},
	{Node: "address-number", Data: `{"address":7}`},
	{Node: "port-name", Data: `{"address":"a:http"}`},
	{Node: "port-zero", Data: `{"address":"a:0"}`},
	{Node: "site-unknown", Data: `{"address":"a:1","site":"moshi"}`},
	{Node: "kind-unknown", Data: `{"address":"a:1","kind":"huge"}`},
	{Node: "block-large", Data: `{"address":"a:1","block":65536}`},
	{Node: "share-zero", Data: `{"address":"a:1","share":0}`},
	{Node: "share-large", Data: `{"address":"a:1","share":1000001}`},
	{Node: "started-negative", Data: `{"address":"a:1","started_ms":-1}`},
	{Node: "curator-port-missing", Data: `{"serviceType":"DYNAMIC","address":"a"}`},
	{Node: "curator-address-missing", Data: `{"serviceType":"DYNAMIC","port":1}`},
	{Node: "curator-payload-bad", Data: `{"serviceType":"DYNAMIC","address":"a","port":1,"payload":{"block":"b"}}`},
}

// writtenData are values that registrars write.
var writtenData = []Data{
	{Address: "10.0.0.7:9101"},
	{Address: "10.0.0.7:9101", Draining: true},
	{Address: "10.0.0.7:9101", Site: "dar", Kind: "box", Cell: 7, Weight: 2.5, StartedMS: 1700000000000},
	{Address: "10.0.0.7:9101", Site: "dar", Kind: "box", Cell: 7, Weight: 2.5, StartedMS: 1700000000000, Draining: true},
	{Address: "[::1]:9101", Site: "arusha", Cell: 65535, Weight: 1},
	{Address: "a<b>&:1", Weight: 1e-7, StartedMS: 1},
}

// goldenBytes returns a golden file's content. With -update it first writes current to the file.
func goldenBytes(t *testing.T, name string, current []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(file, current, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Parse returns the endpoint or the error of the golden file for node data in all forms.
func TestParseReadsGoldenNodeData(t *testing.T) {
	current := make([]parseCase, len(parseInputs))
	for i, input := range parseInputs {
		current[i] = input
		host, err := Parse(input.Node, []byte(input.Data), rules)
		current[i].Host = host
		if err != nil {
			current[i].Error = err.Error()
		}
		if err != nil && host != (engine.Host{}) {
			t.Errorf("%s: %+v with the error %v, want no endpoint", input.Node, host, err)
		}
	}
	encoded, err := json.MarshalIndent(current, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	var want []parseCase
	if err := json.Unmarshal(goldenBytes(t, "node_data.json", append(encoded, '\n')), &want); err != nil {
		t.Fatal(err)
	}
	if len(want) != len(current) {
		t.Fatalf("%d cases, the golden file has %d", len(current), len(want))
	}
	for i := range want {
		if current[i] != want[i] {
			t.Errorf("case %q:\n got %+v\nwant %+v", want[i].Node, current[i], want[i])
		}
	}
}

// Node data is encoded to the bytes of the golden file, and decodes to the same values.
func TestDataWritesGoldenBytes(t *testing.T) {
	var current []byte
	for _, data := range writtenData {
		line, err := json.Marshal(data)
		if err != nil {
			t.Fatal(err)
		}
		current = append(append(current, line...), '\n')
		var read Data
		if err := json.Unmarshal(line, &read); err != nil || !reflect.DeepEqual(read, data) {
			t.Errorf("%s is read as %+v, %v", line, read, err)
		}
	}
	if want := goldenBytes(t, "written_data.jsonl", current); string(want) != string(current) {
		t.Errorf("written:\n%swant:\n%s", current, want)
	}
}
