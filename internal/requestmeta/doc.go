// Package requestmeta parses the headers by which a client describes its request: class, remaining time, id,
// idempotency key, tenant. All fronts parse requests here, whatever protocol carries them, so that all
// accept and reject the same ones.
//
// A Parser may be shared: its router is replaced as one value on a reload. Nothing outlives the process.
package requestmeta
