package config

import (
	"fmt"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/cluster"
	"pinedale/internal/requestmeta"
)

// maxClasses bounds the classes: the balancer numbers them in one byte.
const maxClasses = 256

// idempotencies are the values of class.repeat.
var idempotencies = map[string]balancer.Idempotency{
	"safe":   balancer.Idempotent,
	"keyed":  balancer.IdempotentWithKey,
	"unsafe": balancer.NotIdempotent,
}

// groups are the values of class.group.
var groups = map[string]balancer.Group{
	"all":  balancer.GroupAll,
	"site": balancer.GroupZone,
	"pod":  balancer.GroupCell,
}

// Timing holds the settings of deadlines, retries and hedged requests that a class and a route may have; a route's
// values replace those of its class. It is part of the file's version: see versionText before any change.
type Timing struct {
	Deadline       Duration `toml:"deadline" json:"Deadline"`
	AttemptTimeout Duration `toml:"try_for" json:"TryFor"`
	MaxAttempts    int      `toml:"attempts" json:"Attempts"`
	HedgeDelay     Duration `toml:"copy_after" json:"CopyAfter"`
	Hedging        *bool    `toml:"second_copies" json:"SecondCopies"`
	RetryRatio     *float64 `toml:"retry_share" json:"RetryShare"` // retries earned by each request
	RetryBurst     *float64 `toml:"retry_burst" json:"RetryBurst"` // max retries saved up
}

// Class is a [[class]] of requests. It is part of the file's version: see versionText before any change.
type Class struct {
	Name             string   `toml:"name" json:"Name"`
	Idempotency      string   `toml:"repeat" json:"Repeat"` // a key of idempotencies
	Group            string   `toml:"group" json:"Group"`   // servers that share idempotency keys, a key of groups
	DedupWindow      Duration `toml:"window" json:"Window"` // how long servers keep an idempotency key
	LatencyObjective Duration `toml:"aim" json:"Aim"`
	PriorityWeight   *float64 `toml:"worth" json:"Worth"`          // 1 if not set
	LateWeightRatio  float64  `toml:"late_worth" json:"LateWorth"` // fraction of the weight after the latency objective
	HedgeQuantile    float64  `toml:"copy_at" json:"CopyAt"`       // latency quantile at which a hedge is sent
	TypicalWork      Duration `toml:"usual" json:"Usual"`          // typical service time of a request, for warnings
	Clients          string   `toml:"clients" json:"Clients"`      // what clients retry by themselves
	MaxInFlight      int      `toml:"open" json:"Open"`            // 0 for no limit
	BrownOut         int      `toml:"brown_out" json:"BrownOut"`   // under overload higher numbers are shed first
	Agreement        string   `toml:"agree" json:"Agree"`          // a key of agreements, "never" if not set
	Timing
}

// ClusterAgreement returns when instances have to agree on the keys of the class.
func (c *Class) ClusterAgreement() cluster.Agreement { return agreements[c.Agreement] }

// checkClasses checks the [[class]] entries. checkPolicy checks their timing.
func (c *checker) checkClasses() {
	classes := c.file.Classes
	c.Require(len(classes) > 0, "class", "at least one [[class]] is required")
	c.Require(len(classes) <= maxClasses, "class", "%d classes, but at most %d are allowed", len(classes), maxClasses)
	seen := map[string]bool{}
	for i := range classes {
		class := &classes[i]
		prefix := fmt.Sprintf("class[%d].", i)
		// The name is the first part of the path and the value of a header.
		c.Require(class.Name != "" && !strings.ContainsAny(class.Name, "/?# \t\r\n"), prefix+"name",
			"%q cannot be the first part of a path: it must not be empty or contain /, ?, # or white space", class.Name)
		c.Require(!seen[class.Name], prefix+"name", "%q is used twice", class.Name)
		seen[class.Name] = true
		_, known := idempotencies[class.Idempotency]
		c.Require(known, prefix+"repeat", "%q is not one of %s", class.Idempotency, knownNames(idempotencies))
		c.checkClassWeights(prefix, class)
		if known {
			c.checkDedup(prefix, class)
		}
	}
}

// checkClassWeights checks the latency objective, the deadline and the weights of a class.
func (c *checker) checkClassWeights(prefix string, class *Class) {
	objective, deadline := time.Duration(class.LatencyObjective), time.Duration(class.Deadline)
	c.Positive(prefix+"aim", class.LatencyObjective)
	c.Positive(prefix+"deadline", class.Deadline)
	c.Require(deadline >= objective, prefix+"deadline", "%v is under the aim of %v", deadline, objective)
	c.Require(deadline <= requestmeta.MaxRequestTime, prefix+"deadline",
		"%v is over %v", deadline, requestmeta.MaxRequestTime)
	c.Require(class.PriorityWeight == nil || *class.PriorityWeight >= 0, prefix+"worth", "is negative")
	c.Require(class.LateWeightRatio >= 0 && class.LateWeightRatio <= 1, prefix+"late_worth",
		"%v is not in the range 0 to 1", class.LateWeightRatio)
}

// checkDedup checks class.group and class.window, which a class with idempotency keys must set, and no other class may.
func (c *checker) checkDedup(prefix string, class *Class) {
	window := time.Duration(class.DedupWindow)
	if idempotencies[class.Idempotency] != balancer.IdempotentWithKey {
		c.Require(class.Group == "", prefix+"group", "%q is set, but only a keyed class has a group", class.Group)
		c.Require(window == 0, prefix+"window", "%v is set, but only a keyed class has a window", window)
		return
	}
	_, known := groups[class.Group]
	c.Require(known, prefix+"group", "%q is not one of %s: a keyed class must name the servers that share its keys",
		class.Group, knownNames(groups))
	c.Require(window > 0, prefix+"window",
		"%v is not positive: a keyed class needs the time for which servers drop duplicate requests", window)
}
