package reconcile

import (
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// decision is the result of merging all claims on an endpoint.
type decision struct {
	host      engine.Host   // with State Ready or Draining
	listed    bool          // false if the endpoint is removed
	recheckAt time.Duration // when the decision may change without a report, 0 for never
}

// endpointView holds all sources' claims on one endpoint.
type endpointView struct {
	now       time.Duration
	recheckAt time.Duration // when the decision may change without a report, 0 for never

	present       []*claim // claims that the endpoint is up
	described     *claim   // of present, the claim whose address and other values count; may be nil
	describedKind Kind     // kind of the source of described

	end     *claim // latest claim that the endpoint takes no requests; may be nil
	endKind Kind   // kind of the source of end
}

// recheck schedules a new decision at the given time if that is in the future.
func (v *endpointView) recheck(at time.Duration) {
	if at > v.now {
		v.recheckAt = earliest(v.recheckAt, at)
	}
}

// addPresent adds a claim that the endpoint is up. The claim with the newest start time describes
// the endpoint; of several with the same start time, the one of the lowest kind of source.
func (v *endpointView) addPresent(kind Kind, c *claim) {
	v.present = append(v.present, c)
	if v.described != nil {
		started, newest := c.host.StartedMS, v.described.host.StartedMS
		if started < newest || started == newest && kind >= v.describedKind {
			return
		}
	}
	v.described = c
	v.describedKind = kind
}

// addEnd adds a claim that the endpoint takes no requests: it drains, it has vanished, or it
// flapped and has not been up for long enough.
func (v *endpointView) addEnd(kind Kind, c *claim) {
	if c.state == stateUp {
		v.recheck(c.upFrom)
	}
	if v.end == nil || c.supersedes(v.end) {
		v.end = c
		v.endKind = kind
	}
}

// endSuperseded reports whether a claim that the endpoint is up supersedes the end.
func (v *endpointView) endSuperseded() bool {
	return slices.ContainsFunc(v.present, func(c *claim) bool { return c.supersedes(v.end) })
}

// view returns all claims on an endpoint.
func (r *Reconciler) view(now time.Duration, name string) *endpointView {
	v := &endpointView{now: now}
	for _, s := range r.sources {
		c := s.claims[name]
		switch {
		case c == nil:
		case c.state == stateRetained, c.state == stateUp && c.upFrom <= now:
			v.addPresent(s.kind, c)
		default:
			v.addEnd(s.kind, c)
		}
	}
	return v
}

// decide merges all claims on an endpoint.
func (r *Reconciler) decide(now time.Duration, name string) decision {
	v := r.view(now, name)
	var host engine.Host
	switch {
	case v.described != nil:
		host = v.described.host
	case v.end != nil:
		host = v.end.host
	default:
		return decision{}
	}
	if v.end == nil || v.endSuperseded() || r.discoveryConfirms(v, name) {
		host.State = balancer.Ready
		return decision{host: host, listed: true, recheckAt: v.recheckAt}
	}
	host.State = balancer.Draining
	if v.end.state == stateVanished && v.described == nil {
		removedAt := v.end.since + removalLinger
		if now >= removedAt {
			return decision{host: host}
		}
		v.recheck(removedAt)
	}
	return decision{host: host, listed: true, recheckAt: v.recheckAt}
}

// discoveryConfirms reports whether discovery overrules an endpoint's end. That is so if the
// endpoint's node vanished without a drain, and discovery listed the endpoint in a report after
// MaxDiscoveryLag: the session has expired, but the process runs.
func (r *Reconciler) discoveryConfirms(v *endpointView, name string) bool {
	if v.described == nil || v.endKind != Ephemeral || v.end.state != stateVanished || v.end.wasDraining {
		return false
	}
	requiredAt := v.end.since + r.cfg.MaxDiscoveryLag
	for _, s := range r.sources {
		if s.kind != Discovery {
			continue
		}
		confirmedAt, listed := s.lastListing(name)
		if !listed {
			continue
		}
		if confirmedAt >= requiredAt {
			return true
		}
		v.recheck(max(requiredAt, v.now+discoveryPollInterval))
	}
	return false
}

// earliest returns the earlier of two deadlines, where 0 means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
