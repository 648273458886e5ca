package peerspb

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// describe lists the messages of a proto file and their fields, one per line, in the order of the file.
func describe(file protoreflect.FileDescriptor) string {
	var text strings.Builder
	fmt.Fprintf(&text, "package %s %s\n", file.Package(), file.Syntax())
	messages := file.Messages()
	for i := range messages.Len() {
		message := messages.Get(i)
		fmt.Fprintf(&text, "message %s\n", message.FullName())
		fields := message.Fields()
		for j := range fields.Len() {
			text.WriteString(describeField(fields.Get(j)))
		}
	}
	return text.String()
}

// describeField returns the line of one field.
func describeField(field protoreflect.FieldDescriptor) string {
	line := fmt.Sprintf("  %d %s json=%s %s %s",
		field.Number(), field.Name(), field.JSONName(), field.Cardinality(), field.Kind())
	if field.Kind() == protoreflect.MessageKind {
		line += fmt.Sprintf(" %s", field.Message().FullName())
	}
	if oneof := field.ContainingOneof(); oneof != nil {
		line += fmt.Sprintf(" oneof=%s", oneof.Name())
	}
	if field.IsPacked() {
		line += " packed"
	}
	return line + "\n"
}

// The descriptors must match a list from an earlier build, because instances of two builds exchange
// messages during a rollout. A new field adds a line to the list. Existing lines never change.
func TestFieldsAreWireCompatible(t *testing.T) {
	want, err := os.ReadFile("testdata/fields.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := describe(File_peers_proto); got != string(want) {
		t.Errorf("fields:\n%s\nwant:\n%s", got, want)
	}
}
