// Package requestmeta parses the headers by which a client describes its request: class, remaining time, id,
// idempotency key, tenant. All fronts use it, whatever their protocol, so that all accept and reject the same
// requests.
//
// A Parser is safe for concurrent use: a reload replaces its router atomically. No state outlives the process.
package requestmeta
