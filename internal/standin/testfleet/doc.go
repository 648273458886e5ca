// Package testfleet provides the environment of one program under test: the program as a process, the configuration
// of the platform's sidecar, backends whose responses the test chooses, requests of applications, and a client that
// writes raw HTTP/1.1.
package testfleet
