// Package extproc is the front for other proxies: the gRPC service envoy.service.ext_proc.v3.ExternalProcessor.
//
// A proxy opens one stream per request and sends the request's headers. It receives the endpoint to forward the request
// to, or the response to give to the client at once. The proxy forwards the request itself and reports the headers of
// the endpoint's answer on the same stream. The decision module decides as for the other fronts; package routing keeps
// track of the streams, and of the decisions that may be repeated for the same request.
//
// Each stream has a goroutine of the gRPC server, which parses and builds messages. Shared state is owned by the
// engine's goroutine (type host).
package extproc
