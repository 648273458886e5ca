// Package extproc plays seeded callers with faults against a complete pinedale-proxy and its external processor, over
// loopback sockets, and counts what must hold: one decision for each stream, no duplicate effect, no request at removed
// servers, no request remembered at the end.
//
//	report.go      Options and Report
//	config.go      the operator's file of all runs
//	run.go         Run: the servers, discovery and the instance of a run
//	calls.go       the calls of a run
//	fronts.go      Fronts: the same calls through the HTTP front and the processor
//	cost.go        Cost: decisions beside a processor that decides nothing
//	streams.go     the streams whose cost is measured
//	processors.go  the processes of both processors
package extproc
