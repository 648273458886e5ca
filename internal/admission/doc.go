// Package admission decides which requests are admitted if there is not enough capacity for all.
// Each tenant gets its share of the rate regardless of the requests of others, and shares that are
// not used are divided among the other tenants (weighted max-min fairness; Bertsekas and Gallager,
// Data Networks, section 6.5.2). Under overload, classes are shed in the operator's order
// (brownout). The package does no I/O, reads no clock, and does not allocate memory per request.
//
// The rate is counted in windows of 100 ms. A tenant's quota in a window is the larger of
//
//   - its own share, which is reserved for it, and
//   - its max-min fair share, computed from the demand of all tenants in the previous window.
//
// A tenant that sends requests again after a pause therefore has its share at once, and more than
// the rate is admitted for at most one window. A tenant saves the unused part of its quota, up to
// the share of five windows: arrivals are bursty, and a tenant that requests nine tenths of its
// share would otherwise lose a twentieth of it.
//
//	admission.go  limits, Admit and Release
//	window.go     transition between two windows: brownout and quotas
package admission
