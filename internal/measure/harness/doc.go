// Package harness has the code that the measurements share: instances of pinedale-proxy in this process, closed-loop
// clients and their requests, calls that are spread over goroutines, and percentiles.
//
//	instance.go    starts an instance from an operator's file
//	request.go     a client's request and its response
//	clients.go     closed-loop clients, ForEach
//	percentile.go  percentiles and medians
//
// Package process starts code that is measured in a separate process.
package harness
