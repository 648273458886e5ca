package faulttest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
)

// errServerCommand is wrapped by the error of a command that the server process failed to execute.
var errServerCommand = errors.New("server process failed to execute a command")

// serverProcess controls the child process in which the servers of a run are executed.
type serverProcess struct {
	running []runningServer // in the order of the serverSpec

	cmd     *exec.Cmd
	stdin   io.WriteCloser
	mu      sync.Mutex // held from sending a command until its response is read
	encoder *json.Encoder
	decoder *json.Decoder
}

// runningServer is a server that the server process has started.
type runningServer struct {
	serverIdentity
	address string // host:port
}

// startServerProcess starts this executable as the server process.
func startServerProcess(spec serverSpec) (*serverProcess, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(executable)
	cmd.Env = append(os.Environ(), serverProcessVariable+"=1")
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	servers := &serverProcess{
		cmd:     cmd,
		stdin:   stdin,
		encoder: json.NewEncoder(stdin),
		decoder: json.NewDecoder(stdout),
	}
	if err := servers.initialize(spec); err != nil {
		servers.stop()
		return nil, fmt.Errorf("starting the server process: %w", err)
	}
	return servers, nil
}

// initialize sends the specification and reads the servers' addresses.
func (p *serverProcess) initialize(spec serverSpec) error {
	if err := p.encoder.Encode(spec); err != nil {
		return err
	}
	var addresses []string
	if err := p.decoder.Decode(&addresses); err != nil {
		return err
	}
	if len(addresses) != len(spec.Servers) {
		return fmt.Errorf("server process returned %d addresses for %d servers", len(addresses), len(spec.Servers))
	}
	for i, identity := range spec.Servers {
		p.running = append(p.running, runningServer{serverIdentity: identity, address: addresses[i]})
	}
	return nil
}

// stopServer stops a server, which loses its connections and its state.
func (p *serverProcess) stopServer(name string) error {
	_, err := p.execute(serverCommand{Action: actionStopServer, Server: name})
	return err
}

// startServer starts a stopped server.
func (p *serverProcess) startServer(name string) error {
	_, err := p.execute(serverCommand{Action: actionStartServer, Server: name})
	return err
}

// report returns what the servers have observed so far.
func (p *serverProcess) report() (*serverReport, error) {
	response, err := p.execute(serverCommand{Action: actionReport})
	if err != nil {
		return nil, err
	}
	if response.Report == nil {
		return nil, fmt.Errorf("%w: its response contains no report", errServerCommand)
	}
	return response.Report, nil
}

// execute has the process execute a command and returns its response.
func (p *serverProcess) execute(command serverCommand) (serverResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var response serverResponse
	if err := p.encoder.Encode(command); err != nil {
		return response, err
	}
	if err := p.decoder.Decode(&response); err != nil {
		return response, err
	}
	if response.Error != "" {
		return response, fmt.Errorf("%w: %s", errServerCommand, response.Error)
	}
	return response, nil
}

// stop closes the input of the process, which makes it exit, and waits for the exit.
func (p *serverProcess) stop() {
	p.stdin.Close()
	_ = p.cmd.Wait() // the exit status does not matter: all responses have been read
}
