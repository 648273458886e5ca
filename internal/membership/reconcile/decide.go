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

	present     []*claim // claims that the endpoint is up
	primary     *claim   // the claim in present whose address and other values are listed; may be nil
	primaryKind Kind     // kind of the source of primary

	end     *claim // latest claim that the endpoint takes no requests; may be nil
	endKind Kind   // kind of the source of end
}

// recheck schedules a new decision at the given time if that is in the future.
func (v *endpointView) recheck(at time.Duration) {
	if at > v.now {
		v.recheckAt = earliest(v.recheckAt, at)
	}
}

// addPresent adds a claim that the endpoint is up. The primary claim is the one with the newest start
// time; of several with the same start time, the one of the lowest kind of source.
func (v *endpointView) addPresent(kind Kind, endpointClaim *claim) {
	v.present = append(v.present, endpointClaim)
	if v.primary != nil {
		started, newest := endpointClaim.host.StartedMS, v.primary.host.StartedMS
		if started < newest || started == newest && kind >= v.primaryKind {
			return
		}
	}
	v.primary = endpointClaim
	v.primaryKind = kind
}

// addEnd adds a claim that the endpoint takes no requests: it drains, it has vanished, or it
// flapped and has not been up for long enough.
func (v *endpointView) addEnd(kind Kind, endpointClaim *claim) {
	if endpointClaim.state == stateUp {
		v.recheck(endpointClaim.upFrom)
	}
	if v.end == nil || endpointClaim.supersedes(v.end) {
		v.end = endpointClaim
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
	for _, source := range r.sources {
		endpointClaim := source.claims[name]
		switch {
		case endpointClaim == nil:
		case endpointClaim.state == stateRetained, endpointClaim.state == stateUp && endpointClaim.upFrom <= now:
			v.addPresent(source.kind, endpointClaim)
		default:
			v.addEnd(source.kind, endpointClaim)
		}
	}
	return v
}

// decide merges all claims on an endpoint.
func (r *Reconciler) decide(now time.Duration, name string) decision {
	view := r.view(now, name)
	var host engine.Host
	switch {
	case view.primary != nil:
		host = view.primary.host
	case view.end != nil:
		host = view.end.host
	default:
		return decision{}
	}
	if view.end == nil || view.endSuperseded() || r.discoveryConfirms(view, name) {
		host.State = balancer.Ready
		return decision{host: host, listed: true, recheckAt: view.recheckAt}
	}
	host.State = balancer.Draining
	if view.end.state == stateVanished && view.primary == nil {
		removedAt := view.end.since + removalLinger
		if now >= removedAt {
			return decision{host: host}
		}
		view.recheck(removedAt)
	}
	return decision{host: host, listed: true, recheckAt: view.recheckAt}
}

// discoveryConfirms reports whether discovery overrules an endpoint's end. It does if the
// endpoint's node vanished without a drain, and discovery listed the endpoint in a report after
// MaxDiscoveryLag: the session has expired, but the process runs.
func (r *Reconciler) discoveryConfirms(view *endpointView, name string) bool {
	if view.primary == nil || view.endKind != Ephemeral || view.end.state != stateVanished || view.end.wasDraining {
		return false
	}
	requiredAt := view.end.since + r.cfg.MaxDiscoveryLag
	for _, source := range r.sources {
		if source.kind != Discovery {
			continue
		}
		confirmedAt, listed := source.lastListing(name)
		if !listed {
			continue
		}
		if confirmedAt >= requiredAt {
			return true
		}
		view.recheck(max(requiredAt, view.now+discoveryPollInterval))
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
