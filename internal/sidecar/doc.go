// Package sidecar implements cmd/pinedale, the sidecar that the platform runs beside each application
// instance.
//
// It reads the configuration file that the platform writes (Config), connects the engine with the
// HTTP/1.1 front, the HTTP/1.1 upstream and the discovery client (Run), and reads the file again on
// SIGHUP (ReloadOnSignal). All decisions about requests are made by the balancer, which the engine runs.
// No state outlives the process.
package sidecar
