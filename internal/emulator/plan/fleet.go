package plan

import (
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/model"
)

// Server is one server of a scenario.
type Server struct {
	Name         string
	Site         int
	Pod          int
	Kind         int // index in Scenario.Kinds
	Config       model.Config
	Faults       []model.Fault
	Incarnations []Incarnation // in order, without overlap
}

// Incarnation is one process of a server.
type Incarnation struct {
	From  Time // its start; 0 for a process that was running before the run and needs no slow start
	Drain Time // start of its drain; Never if it does not drain
	End   Time // its end; Never if it outlives the run
}

// AlwaysRunning is the incarnation of a server that was running before the run and outlives it.
var AlwaysRunning = []Incarnation{{Drain: Never, End: Never}}

// Class is a class of requests with its settings, its share of the load and the work of a request.
type Class struct {
	balancer.Class
	Share float64       // of new requests
	Work  time.Duration // mean, on a core of speed 1
	CV    float64       // coefficient of variation of the work, which has a lognormal distribution
}

// DedupClass returns the part of the class that servers use to drop duplicate requests.
func (c *Class) DedupClass() model.Class {
	class := model.Class{
		Idempotency: model.Idempotency(c.Idempotency),
		Window:      time.Duration(c.DedupWindow) * time.Microsecond,
	}
	if c.Group != balancer.GroupAll {
		class.Scope = model.Group
	}
	return class
}

// Tenant is one tenant and its share of the load.
type Tenant struct {
	balancer.Tenant
	Load float64 // share of new requests
}
