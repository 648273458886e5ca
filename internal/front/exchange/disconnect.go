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
