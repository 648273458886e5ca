package faulttest

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/internal/faulttest/schedule"
)

// serverSession returns the input of a server process: the specification of one server, then commands.
func serverSession(t *testing.T, commands ...serverCommand) io.Reader {
	t.Helper()
	var input bytes.Buffer
	encoder := json.NewEncoder(&input)
	spec := serverSpec{
		Servers:     []serverIdentity{{Name: schedule.ServerName(0)}},
		ServiceTime: time.Millisecond,
	}
	if err := encoder.Encode(spec); err != nil {
		t.Fatal(err)
	}
	for _, command := range commands {
		if err := encoder.Encode(command); err != nil {
			t.Fatal(err)
		}
	}
	return &input
}

func TestServeServersAnswersEachCommand(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	name := schedule.ServerName(0)
	input := serverSession(t,
		serverCommand{Action: actionStopServer, Server: name},
		serverCommand{Action: actionStartServer, Server: name},
		serverCommand{Action: actionStopServer, Server: "s-9"},
		serverCommand{Action: "pause", Server: name},
		serverCommand{Action: actionReport},
		serverCommand{Action: actionStopServer, Server: name},
	)
	var output bytes.Buffer
	if err := serveServers(input, &output); err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(&output)
	var addresses []string
	if err := decoder.Decode(&addresses); err != nil || len(addresses) != 1 {
		t.Fatalf("addresses %v, error %v, want one address", addresses, err)
	}
	for i, want := range []struct {
		failure string // expected in the response's error; "" if the response has none
		report  bool
	}{
		{},
		{},
		{failure: `unknown server "s-9"`},
		{failure: `unknown action "pause"`},
		{report: true},
		{},
	} {
		var response serverResponse
		if err := decoder.Decode(&response); err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		failed := response.Error != ""
		if failed != (want.failure != "") || !strings.Contains(response.Error, want.failure) {
			t.Errorf("response %d has error %q, want one with %q", i, response.Error, want.failure)
		}
		if (response.Report != nil) != want.report {
			t.Errorf("response %d has report %+v, want a report: %v", i, response.Report, want.report)
		}
	}
}

func TestServeServersRejectsInvalidInput(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	if err := serveServers(strings.NewReader(""), io.Discard); !errors.Is(err, io.EOF) {
		t.Errorf("without input: error %v, want one that wraps io.EOF", err)
	}
	input := io.MultiReader(serverSession(t), strings.NewReader("{"))
	if err := serveServers(input, io.Discard); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("with an incomplete command: error %v, want one that wraps io.ErrUnexpectedEOF", err)
	}
}
