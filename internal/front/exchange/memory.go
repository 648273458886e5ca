package exchange

import (
	"context"
	"net/http"

	"pinedale/internal/membudget"
)

// MemoryLimits bound the memory that the requests of one front hold, in bytes.
type MemoryLimits struct {
	Requests  int64 // headers and bodies of requests, from the first byte received to the response
	InFlight  int64 // what requests in flight need beside their bodies; see requestOverhead
	Responses int64 // bodies of responses, from the endpoint to the client
}

// Shares of a process's memory, as divisors, for the limits of one front.
const (
	requestsDivisor  = 8
	inFlightDivisor  = 8
	responsesDivisor = 16
)

// LimitsWithin returns the limits of a front in a process that may use this many bytes in all.
func LimitsWithin(bytes int64) MemoryLimits {
	return MemoryLimits{
		Requests:  bytes / requestsDivisor,
		InFlight:  bytes / inFlightDivisor,
		Responses: bytes / responsesDivisor,
	}
}

// The part of MemoryLimits.InFlight that first requests on their connections may use.
const (
	firstRequestsNumerator   = 3
	firstRequestsDenominator = 4
)

// ShortageHandlers are called while a reservation waits for memory, so that the front makes a client release some. They
// must not block, and may be nil.
type ShortageHandlers struct {
	Requests  func()
	Responses func()
}

// memory holds the budgets of a dispatcher.
type memory struct {
	requests  *membudget.Budget
	inFlight  *membudget.Budget
	responses *membudget.Budget
	// firstRequests is the part of inFlight that first requests may use: clients that keep their connection are served
	// however many others connect.
	firstRequests *membudget.Budget
}

func newMemory(limits MemoryLimits, handlers ShortageHandlers) memory {
	return memory{
		requests:  membudget.New(limits.Requests, handlers.Requests),
		inFlight:  membudget.New(limits.InFlight, nil),
		responses: membudget.New(limits.Responses, handlers.Responses),

		firstRequests: membudget.New(limits.InFlight*firstRequestsNumerator/firstRequestsDenominator, nil),
	}
}

// reserveInFlight reserves memory for a request in flight. It waits until ctx ends if that is short. first reports
// whether the request is the first on its connection.
func (m *memory) reserveInFlight(ctx context.Context, bytes int64, first bool) (release func(), ok bool) {
	if first && !m.firstRequests.Reserve(ctx, bytes) {
		return nil, false
	}
	release = func() {
		m.inFlight.Release(bytes)
		if first {
			m.firstRequests.Release(bytes)
		}
	}
	if m.inFlight.Reserve(ctx, bytes) {
		return release, true
	}
	if first {
		m.firstRequests.Release(bytes)
	}
	return nil, false
}

const (
	// requestOverhead is about what a request in flight needs beside its header and bodies: goroutines, timers, the
	// records of the engine, and a connection to an endpoint.
	requestOverhead = 12 << 10
	// fieldOverhead is about what a header field needs beside its text, in the client's header and in an attempt's.
	fieldOverhead = 256
)

// inFlightBytes returns about how much memory a request with this header needs while it is in flight.
func inFlightBytes(header http.Header) int64 {
	bytes := requestOverhead
	for name, values := range header {
		for _, value := range values {
			bytes += fieldOverhead + len(name) + len(value)
		}
	}
	return int64(bytes)
}
