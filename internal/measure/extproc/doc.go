// Package extproc runs seeded callers with faults against a complete pinedale-proxy and its external processor, over
// loopback sockets. It checks that each stream gets one decision, that no effect is duplicated, that removed servers
// get no requests, and that the instance keeps no request at the end.
//
//	report.go      Options and Report
//	config.go      the operator's file of all runs
//	run.go         Run: the servers, discovery and the instance of a run
//	calls.go       the calls of a run
//	fronts.go      Fronts: the same calls through the HTTP front and the processor
//	cost.go        Cost: the cost of decisions, compared with a processor that decides nothing
//	streams.go     the streams whose cost is measured
//	processors.go  the processes of both processors
package extproc
