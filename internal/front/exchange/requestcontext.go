package exchange

import "context"

// disconnectCheckKey is the context key of a connection's check.
type disconnectCheckKey struct{}

// WithDisconnectCheck returns a context for the requests of a connection, with a function that reports whether its
// client has disconnected. The function must not block, and is called from any goroutine.
func WithDisconnectCheck(ctx context.Context, disconnected func() bool) context.Context {
	return context.WithValue(ctx, disconnectCheckKey{}, disconnected)
}

// disconnectCheck returns the function that WithDisconnectCheck has set, nil if none.
func disconnectCheck(ctx context.Context) func() bool {
	check, _ := ctx.Value(disconnectCheckKey{}).(func() bool)
	return check
}

// firstRequestKey is the context key that marks the first request on a connection.
type firstRequestKey struct{}

// WithFirstRequest marks the context of the first request on a connection.
func WithFirstRequest(ctx context.Context) context.Context {
	return context.WithValue(ctx, firstRequestKey{}, true)
}

// isFirstRequest reports whether WithFirstRequest has marked a context.
func isFirstRequest(ctx context.Context) bool { return ctx.Value(firstRequestKey{}) != nil }
