package peerspb

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// describe lists the messages of a file and their fields, one a line, in the order of the file.
func describe(file protoreflect.FileDescriptor) string {
	var b strings.Builder
	fmt.Fprintf(&b, "package %s %s\n", file.Package(), file.Syntax())
	messages := file.Messages()
	for i := range messages.Len() {
		message := messages.Get(i)
		fmt.Fprintf(&b, "message %s\n", message.FullName())
		fields := message.Fields()
		for j := range fields.Len() {
			field := fields.Get(j)
			fmt.Fprintf(&b, "  %d %s json=%s %s %s",
				field.Number(), field.Name(), field.JSONName(), field.Cardinality(), field.Kind())
			if field.Kind() == protoreflect.MessageKind {
				fmt.Fprintf(&b, " %s", field.Message().FullName())
			}
			if oneof := field.ContainingOneof(); oneof != nil {
				fmt.Fprintf(&b, " oneof=%s", oneof.Name())
			}
			if field.IsPacked() {
				b.WriteString(" packed")
			}
			b.WriteString("\n")
		}
	}
	return b.String()
}

// TestFieldsAreWireCompatible compares the descriptors with a list that an earlier build
// wrote: instances of two builds talk to each other during a rollout. A new field adds a line
// to the list; a line that is there never changes.
func TestFieldsAreWireCompatible(t *testing.T) {
	want, err := os.ReadFile("testdata/fields.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := describe(File_peers_proto); got != string(want) {
		t.Errorf("fields:\n%s\nwant:\n%s", got, want)
	}
}
