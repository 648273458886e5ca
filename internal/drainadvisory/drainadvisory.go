// Package drainadvisory decides which endpoints an instance sends nothing to because other
// instances report them as draining, although its own endpoint list still has them as ready.
// It does no I/O, keeps no state and reads no clock.
//
// # Problem
//
// An instance may not have received the latest watch event of its source: a watch that is
// silent gives no information, and for seconds nobody can tell whether it is broken. Until
// then the instance would send requests to an endpoint that is shutting down, while others
// have been notified of the drain.
//
// # Rules
//
// The instance's own source has precedence wherever it removes capacity: an endpoint that it
// lists as draining, or not at all, is not considered here. An endpoint that it lists as ready
// is withheld on reports of others, within bounds that limit the effect of wrong reports:
//
//   - A report is about one incarnation of an endpoint. An endpoint that has restarted since
//     is another one.
//   - [MinReporters] instances other than this one have to report it. One instance that is
//     faulty, or mistakes a fault of its own network for one of the endpoint, changes nothing.
//   - A report is valid for [MaxReportAge]. By then the drain has ended or the own list has
//     arrived.
//   - At most [MaxWithheldRatio] of the ready endpoints are withheld, those with the most
//     reporters first. If all other instances were wrong, the rest continues to serve.
//
// A report never makes an endpoint ready, and relaxes no other rule.
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
	// MinReporters is the number of other instances that have to report a drain.
	MinReporters = 2
	// MaxReportAge is how long a report is valid.
	MaxReportAge = time.Minute
	// MaxWithheldRatio is the largest ratio of the ready endpoints that is withheld. Rolling
	// updates replace endpoints in smaller steps. With two endpoints none is withheld.
	MaxWithheldRatio = 1.0 / 3
)

// Report is one instance's report that an incarnation of an endpoint is draining.
type Report struct {
	Origin      string        // name of the reporting instance
	Incarnation string        // incarnation of the endpoint
	Age         time.Duration // time since the report was written
}

// Withheld returns the ready incarnations that are to be withheld, sorted. self is this
// instance's name, ready the incarnations that its own source lists as ready.
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

// reportersByIncarnation returns the instances other than self that have valid reports, by the
// ready incarnation that they report.
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
