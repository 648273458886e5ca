// Package drainadvisory decides to which endpoints an instance sends no requests because other
// instances report them as draining, although its own endpoint list still contains them as ready.
// It does no I/O, has no state and reads no clock.
//
// # Problem
//
// An instance may not have received the latest watch event of its source. A watch without events
// may be broken, which takes seconds to detect. In that time the instance would send requests to an
// endpoint that is shutting down, although other instances have been notified of the drain.
//
// # Rules
//
// The instance's own source has precedence wherever it removes capacity: an endpoint that it
// lists as draining, or not at all, is not considered here. An endpoint that it lists as ready
// is withheld (gets no new requests) if other instances report it as draining, within bounds that
// limit the effect of wrong reports:
//
//   - A report is about one incarnation of an endpoint. It does not apply after a restart of the
//     endpoint.
//   - At least [MinReporters] instances other than this one must report it. A single instance that
//     is faulty, or mistakes a fault of its own network for one of the endpoint, has no effect.
//   - A report is valid for [MaxReportAge]. After that time the drain has ended, or the instance's
//     own source has reported it.
//   - At most [MaxWithheldRatio] of the ready endpoints are withheld, those with the most reporters
//     first. Even if all other instances are wrong, the remaining endpoints continue to serve.
//
// A report never makes an endpoint ready, and does not relax any other rule.
//
//	own list             reports                                     result
//	-------------------  ------------------------------------------  -----------------------
//	draining or absent   any                                         the own list decides
//	ready                from enough other instances, valid          withheld, up to the ratio
//	ready                from fewer instances, or repeated by one    not withheld
//	ready                about an earlier incarnation                not withheld
//	ready                older than MaxReportAge                     not withheld
package drainadvisory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MinReporters is the minimum number of other instances that report a drain.
	MinReporters = 2
	// MaxReportAge is how long a report is valid.
	MaxReportAge = time.Minute
	// MaxWithheldRatio is the maximum fraction of the ready endpoints that is withheld. Rolling
	// updates replace endpoints in smaller steps. If there are only two endpoints, none is withheld.
	MaxWithheldRatio = 1.0 / 3
)

// Report is one instance's report that an incarnation of an endpoint is draining.
type Report struct {
	Origin      string        // name of the reporting instance
	Incarnation string        // incarnation of the endpoint
	Age         time.Duration // time since the report was written
}

// Withheld returns the ready incarnations to withhold, sorted. self is this instance's name, and
// ready holds the incarnations that its own source lists as ready.
func Withheld(self string, ready []string, reports []Report) []string {
	isReady := map[string]bool{}
	for _, incarnation := range ready {
		isReady[incarnation] = true
	}
	reporters := reportersByIncarnation(self, isReady, reports)
	withheld := slices.Sorted(maps.Keys(reporters))
	withheld = slices.DeleteFunc(withheld, func(incarnation string) bool {
		return len(reporters[incarnation]) < MinReporters
	})
	slices.SortStableFunc(withheld, func(a, b string) int {
		return cmp.Compare(len(reporters[b]), len(reporters[a]))
	})
	maxWithheld := int(MaxWithheldRatio * float64(len(isReady)))
	withheld = withheld[:min(len(withheld), maxWithheld)]
	slices.Sort(withheld)
	return withheld
}

// reportersByIncarnation returns, for each ready incarnation, the instances other than self with a
// valid report.
func reportersByIncarnation(self string, isReady map[string]bool, reports []Report) map[string]map[string]bool {
	reporters := map[string]map[string]bool{}
	for _, report := range reports {
		incarnation := report.Incarnation
		if report.Origin == self || report.Age > MaxReportAge || !isReady[incarnation] {
			continue
		}
		if reporters[incarnation] == nil {
			reporters[incarnation] = map[string]bool{}
		}
		reporters[incarnation][report.Origin] = true
	}
	return reporters
}
