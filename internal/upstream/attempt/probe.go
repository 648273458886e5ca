package attempt

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
)

const (
	// probeTimeout bounds a health check, including the time to connect.
	probeTimeout = 400 * time.Millisecond

	healthPath     = "/health/live"
	loadReportPath = "/stats"
)

// Probe sends a health check to a target, or a load probe if the deployment has load reports.
// fields are the load report's fields, in the order of the settings.
func Probe(ctx context.Context, send Sender, t *engine.Target, fields []string) engine.Result {
	ctx, cancel := context.WithTimeout(ForProbe(ctx), probeTimeout)
	defer cancel()
	m := &engine.Message{Method: http.MethodGet, URL: &url.URL{Path: healthPath}, Host: t.Address}
	if len(fields) > 0 {
		m.URL.Path = loadReportPath
	}
	result := send(ctx, t, m)
	if result.Status == balancer.OK {
		result.Load = httpmsg.LoadReport(fields, string(result.Body))
	}
	return result
}

// probeKey is the context key that marks a health check.
type probeKey struct{}

// ForProbe marks a context as that of a health check, or of other background work.
func ForProbe(ctx context.Context) context.Context {
	return context.WithValue(ctx, probeKey{}, true)
}

// IsProbe reports whether a context was marked by ForProbe: no client request waits for the
// connection.
func IsProbe(ctx context.Context) bool { return ctx.Value(probeKey{}) != nil }
