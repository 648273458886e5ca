// Package sidecar is the platform's program behind cmd/pinedale: one sidecar beside one application.
//
// It reads the configuration file that the platform writes (Config), connects the engine with the
// HTTP/1.1 front, the HTTP/1.1 upstream and the discovery client (Run), and reads the file again on
// SIGHUP (ReloadOnSignal). It decides nothing about requests: that is the balancer's, which the engine
// runs. Nothing outlives the process.
package sidecar
