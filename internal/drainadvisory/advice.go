// Package advice decides which servers an instance holds back although its own list has them
// as ready, since other instances know that they drain. It does no I/O and has no clock.
//
// What an instance's own source tells always wins where it takes away: a server that it lists
// as draining, or not at all, is not here. Where it lists one as ready it may just not have
// heard: a watch that stands silent tells nothing, and for seconds nobody can know. So the
// word of others counts, within bounds that keep a wrong word from doing harm:
//
//   - of one life of a server alone: one that has started anew since is another;
//   - from Voices instances that are not this one: one that lies, or takes its own network's
//     trouble for the servers', changes nothing;
//   - for AgeMost after it was told: a drain is over by then, or the own list has come;
//   - of a Part of the servers that are ready at most, those with the most voices first: were
//     all others wrong together, the rest goes on serving.
//
// It never brings a server back, and loosens no rule.
package drainadvisory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MinReporters is how many others must say so.
	MinReporters = 2
	// MaxReportAge is for how long one's word counts.
	MaxReportAge = time.Minute
	// MaxHeldBackRatio is the share of the ready servers that is held back at most: a third. A release
	// replaces servers in smaller steps; a fleet of two holds none back.
	MaxHeldBackRatio = 1.0 / 3
)

// Report is one instance's word that a life of a server drains.
type Report struct {
	Origin    string        // name of the instance
	StartedMS string        // of the server
	Age       time.Duration // since it was told
}

// HeldBack returns those of the lives that the own list has as ready that are held back, in order.
// self is this instance's name.
func HeldBack(self string, ready []string, told []Report) []string {
	listed := map[string]bool{}
	for _, life := range ready {
		listed[life] = true
	}
	voices := map[string]map[string]bool{}
	for _, t := range told {
		if t.Origin == self || t.Age > MaxReportAge || !listed[t.StartedMS] {
			continue
		}
		if voices[t.StartedMS] == nil {
			voices[t.StartedMS] = map[string]bool{}
		}
		voices[t.StartedMS][t.Origin] = true
	}
	held := slices.DeleteFunc(slices.Sorted(maps.Keys(voices)), func(life string) bool { return len(voices[life]) < MinReporters })
	slices.SortStableFunc(held, func(a, b string) int { return cmp.Compare(len(voices[b]), len(voices[a])) })
	held = held[:min(len(held), int(MaxHeldBackRatio*float64(len(listed))))]
	slices.Sort(held)
	return held
}
