// Package harness holds what the measurements share: instances of pinedale-proxy in this process, closed-loop clients
// and their requests, work that is divided among goroutines, and percentiles.
//
//	instance.go    starts an instance by an operator's file
//	request.go     a client's request and its answer
//	clients.go     closed-loop clients, ForEach
//	percentile.go  percentiles and medians
//
// What is measured in a process of its own is started by package process.
package harness
