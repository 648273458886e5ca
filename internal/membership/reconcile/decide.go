package reconcile

import (
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// decision is what the sources' claims on an endpoint come to.
type decision struct {
	host      engine.Host   // Ready or Draining
	listed    bool          // false once nothing is left of the endpoint
	recheckAt time.Duration // when the decision may change by time alone, 0 for never
}

// endpointView is all sources' claims on one endpoint, sorted by what they say.
type endpointView struct {
	now       time.Duration
	recheckAt time.Duration

	present       []*claim // those that say that it is up
	described     *claim   // the one of present that describes it, nil for none
	describedKind Kind

	end     *claim // the latest that says that it takes no requests, nil for none
	endKind Kind
}

// recheck schedules the decision to be made again at a time in the future.
func (v *endpointView) recheck(at time.Duration) {
	if at > v.now {
		v.recheckAt = earliest(v.recheckAt, at)
	}
}

// addPresent adds a claim that the endpoint is up. It describes the endpoint if it names
// the newest incarnation; within one incarnation the lowest kind of source does.
func (v *endpointView) addPresent(kind Kind, c *claim) {
	v.present = append(v.present, c)
	if v.described != nil {
		started, best := c.host.StartedMS, v.described.host.StartedMS
		if started < best || started == best && kind >= v.describedKind {
			return
		}
	}
	v.described, v.describedKind = c, kind
}

// addEnd adds a claim that the endpoint takes no requests: it drains, has vanished, or
// flapped and has not stayed up for long enough.
func (v *endpointView) addEnd(kind Kind, c *claim) {
	if c.state == stateUp {
		v.recheck(c.believedFrom)
	}
	if v.end == nil || c.supersedes(v.end) {
		v.end, v.endKind = c, kind
	}
}

// endSuperseded reports whether a claim that the endpoint is up supersedes its end.
func (v *endpointView) endSuperseded() bool {
	return slices.ContainsFunc(v.present, func(c *claim) bool { return c.supersedes(v.end) })
}

// view sorts the sources' claims on an endpoint.
func (r *Reconciler) view(now time.Duration, name string) *endpointView {
	v := &endpointView{now: now}
	for _, s := range r.sources {
		c := s.claims[name]
		switch {
		case c == nil:
		case c.state == stateRetained, c.state == stateUp && c.believedFrom <= now:
			v.addPresent(s.kind, c)
		default:
			v.addEnd(s.kind, c)
		}
	}
	return v
}

// decide returns what an endpoint is, from the sources' claims on it.
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

// discoveryConfirms reports whether discovery overrules an endpoint's end. It does if
// the endpoint's node vanished without a drain, and discovery still lists it in a report
// so late that it must have noticed: the session has expired, but the process runs.
func (r *Reconciler) discoveryConfirms(v *endpointView, name string) bool {
	if v.described == nil || v.endKind != Ephemeral || v.end.state != stateVanished || v.end.drainingBefore {
		return false
	}
	knownBy := v.end.since + r.cfg.MaxDiscoveryLag
	for _, s := range r.sources {
		c := s.claims[name]
		if s.kind != Discovery || c == nil || c.state != stateUp && c.state != stateRetained {
			continue
		}
		confirmedAt := s.reportedAt
		if c.state == stateRetained {
			confirmedAt = c.confirmedAt
		}
		if confirmedAt >= knownBy {
			return true
		}
		v.recheck(max(knownBy, v.now+discoveryPollInterval))
	}
	return false
}

// earliest returns the earlier of two deadlines, where 0 is never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
