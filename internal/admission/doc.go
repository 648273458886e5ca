// Package admission decides which requests are admitted where there is not enough capacity for
// all: each tenant gets its share of the rate whatever the others request, and what one tenant
// does not use is divided among the rest (weighted max-min fairness; Bertsekas and Gallager,
// Data Networks, section 6.5.2). Under overload, classes are shed in the operator's order
// (brownout). The package does no I/O, reads no clock, and allocates nothing per request.
//
// The rate is counted in windows of 100 ms. A tenant's quota in a window is the larger of
//
//   - its own share, which no other tenant can take, and
//   - what max-min fairness gives it by the demand of all tenants in the window before.
//
// So a tenant that comes back has its share at once, and more than the rate is admitted for one
// window at most. What a tenant leaves of its quota it saves, up to five windows' share:
// arrivals are bursty, and a tenant that requests nine tenths of its share would lose a
// twentieth of it otherwise.
//
//	admission.go  the limits, Admit and Release
//	window.go     what happens between two windows: brownout and quotas
package admission
