package registry

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pinedale/internal/engine"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden file in testdata from the current code")

// documentCase is a discovery document and the result of Parse.
type documentCase struct {
	Name     string
	Document string
	List     engine.List
	Error    string `json:",omitempty"`
}

// documentInputs are valid documents in all forms, and invalid ones.
var documentInputs = []documentCase{
	{Name: "empty full list", Document: `{"seq":41,"whole":true,"hosts":[]}`},
	{Name: "full list", Document: `{"seq":41,"whole":true,"hosts":[` +
		`{"host":"a","dial":"10.0.0.7:9101","site":"dar","class":"box","block":7,"health":"Ready","share":2.5,` +
		`"born_ms":1700000000000},` +
		`{"host":"b","dial":"10.0.0.8:9101","site":"dar","class":"box","block":65535,"health":"Terminating",` +
		`"share":1,"born_ms":0}]}`},
	{Name: "changes", Document: `{"seq":42,"whole":false,"hosts":[{"host":"a","health":"Gone"},` +
		`{"host":"b","dial":"b:1","health":"Ready"},{"host":"c","health":"Terminating"}]}`},
	{Name: "no changes", Document: `{"seq":42,"whole":false,"hosts":[]}`},
	{Name: "keys missing", Document: `{}`},
	{Name: "hosts null", Document: `{"seq":1,"whole":true,"hosts":null}`},
	{Name: "null document", Document: `null`},
	{Name: "optional keys missing", Document: `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"a","dial":"a:1","health":"Ready"}]}`},
	{Name: "optional keys null", Document: `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"a","dial":"a:1","health":"Ready",` +
		`"site":null,"class":null,"block":null,"share":null,"born_ms":null}]}`},
	{Name: "unknown keys", Document: `{"seq":1,"whole":true,"more":{"seq":7},"hosts":[` +
		`{"host":"a","dial":"a:1","health":"Ready","rack":"r1"}]}`},
	{Name: "indented", Document: "\n\t{ \"seq\" : 41,\r\n  \"whole\": true , \"hosts\" : [\n ]\n}\n"},
	{Name: "other order and case", Document: `{"HOSTS":[{"HEALTH":"Ready","Dial":"a:1","Host":"a"}],` +
		`"Whole":true,"SEQ":3}`},
	{Name: "escapes", Document: `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"\u0061\n","dial":"[::1]:9101","health":"Re\u0061dy"}]}`},
	{Name: "largest version", Document: `{"seq":18446744073709551615,"whole":true,"hosts":[]}`},
	{Name: "negative share and start", Document: `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"a","dial":"a:1","health":"Ready","share":-1,"born_ms":-5}]}`},
	{Name: "port by name", Document: `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"a","dial":"a:http","health":"Ready"}]}`},
	{Name: "name twice", Document: `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"a","dial":"a:1","health":"Ready"},{"host":"a","dial":"a:2","health":"Gone"}]}`},
	{Name: "state unknown", Document: `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"a:1","health":"ready"}]}`},
	{Name: "state missing", Document: `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"a:1"}]}`},
	{Name: "name missing", Document: `{"seq":1,"whole":true,"hosts":[{"dial":"a:1","health":"Ready"}]}`},
	{Name: "address missing", Document: `{"seq":1,"whole":true,"hosts":[{"host":"a","health":"Ready"}]}`},
	{Name: "address without port", Document: `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"z","health":"Gone"},{"host":"a","dial":"a","health":"Ready"}]}`},
	{Name: "block too large", Document: `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"a","dial":"a:1","health":"Ready","block":65536}]}`},
	{Name: "version negative", Document: `{"seq":-1,"whole":true,"hosts":[]}`},
	{Name: "array", Document: `[]`},
	{Name: "not JSON", Document: `<html>`},
	{Name: "empty", Document: ``},
	{Name: "more after the document", Document: `{"seq":1,"whole":true,"hosts":[]}{}`},
}

// Parse returns the list or the error of the golden file for each document.
func TestParseReadsGoldenDocuments(t *testing.T) {
	current := make([]documentCase, len(documentInputs))
	for i, input := range documentInputs {
		list, err := Parse([]byte(input.Document))
		current[i] = input
		current[i].List = list
		if err != nil {
			current[i].Error = err.Error()
		}
	}
	file := filepath.Join("testdata", "documents.json")
	if *updateGolden {
		encoded, err := json.MarshalIndent(current, "", "\t")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, append(encoded, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var want []documentCase
	if err := json.Unmarshal(content, &want); err != nil {
		t.Fatal(err)
	}
	if len(want) != len(current) {
		t.Fatalf("%d cases, the golden file has %d", len(current), len(want))
	}
	for i := range want {
		if !reflect.DeepEqual(current[i], want[i]) {
			t.Errorf("case %q:\n got %+v\nwant %+v", want[i].Name, current[i], want[i])
		}
	}
}
