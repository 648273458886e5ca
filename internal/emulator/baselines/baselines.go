// Package baselines provides load balancing policies that a user could choose in place of the decision module: random
// choice, the less loaded of two random endpoints, and weighted round robin. Simulations compare the module with them.
// The policies differ only in how they choose an endpoint. All of them retry as common proxies do.
package baselines

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// Module is the name of the decision module itself.
const Module = "pinedale"

// NewDecider creates the decider of an engine.
type NewDecider = func(balancer.Settings, uint64, balancer.Actions) (engine.Decider, error)

// picker chooses one of the ready endpoints of a decider. It is called only if at least one endpoint is ready.
type picker interface{ pick(d *decider) uint32 }

// newPickers creates the picker of each policy. weights holds the weight of each machine kind.
var newPickers = map[string]func(weights []float64) picker{
	"random":        func([]float64) picker { return random{} },
	"least-request": func([]float64) picker { return leastRequest{} },
	"weighted-round": func(weights []float64) picker {
		return &weightedRoundRobin{weights: weights, credits: map[uint32]float64{}}
	},
}

// UnknownPolicyError is the error for a name that is not one of Names.
type UnknownPolicyError struct{ Name string }

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("policy %q is not one of %s", e.Name, strings.Join(Names(), ", "))
}

// Names returns the names of the policies, with Module first.
func Names() []string {
	return append([]string{Module}, slices.Sorted(maps.Keys(newPickers))...)
}

// Named returns the policy with the given name, nil for Module. weights holds the weight of each machine kind, as an
// operator would configure it. The error is an *UnknownPolicyError.
func Named(name string, weights []float64) (NewDecider, error) {
	if name == Module {
		return nil, nil
	}
	newPicker, ok := newPickers[name]
	if !ok {
		return nil, &UnknownPolicyError{Name: name}
	}
	return func(settings balancer.Settings, seed uint64, actions balancer.Actions) (engine.Decider, error) {
		return newDecider(settings, seed, actions, newPicker(weights)), nil
	}, nil
}

// seedStream selects the random number stream that the pickers derive from the seed.
const seedStream = 5

func newDecider(settings balancer.Settings, seed uint64, actions balancer.Actions, p picker) *decider {
	return &decider{
		settings: settings,
		actions:  actions,
		picker:   p,
		rng:      rand.New(rand.NewPCG(seed, seedStream)),
		kinds:    map[uint32]uint8{},
		inFlight: map[uint32]int{},
		requests: map[uint64]*request{},
	}
}
