// Package admission lets requests in where there is not enough for all: each tenant gets
// its share whatever the others ask for, and what one leaves is shared by the rest
// (weighted max-min, as Bertsekas and Gallager, Data Networks, section 6.5.2). Under
// overload classes are cut in the operator's order. It does no I/O, has no clock, and
// allocates nothing for a request.
//
// The rate is counted in windows. A tenant's quota in a window is the larger of its own
// share, which nobody can take, and of what max-min gives it by what all asked for in
// the window before: so a tenant that comes back has its share at once, and what is let
// in beyond the rate is for one window at most. What it leaves of its quota it keeps, up
// to five windows' share: arrivals come in bursts, and one that asks for nine tenths of
// its share would else lose a twentieth of it.
package admission

import (
	"slices"

	"pinedale/balancer"
)

// Window is that of the counts: short against a client's patience, long against the time
// between two requests at the rates that limits are of use for.
const Window = balancer.Micros(100_000)

// Config is what the operator says.
type Config struct {
	Rate    float64 // requests a second that are let in, 0 for all
	Tenants []Tenant
	Classes []Class
}

// Tenant is one tenant. Without tenants all requests are of one.
type Tenant struct {
	Weight      float64
	MaxInFlight int // requests in hand at most, 0 for any number
}

// Class is one class.
type Class struct {
	MaxInFlight int // requests in hand at most, 0 for any number
	BrownOut    int // classes of a higher number are cut first
}

// tenant is one's counts.
type tenant struct {
	Tenant
	open  int
	asked float64 // in this window
	left  float64 // that it may still have let in
	quota float64
}

type class struct {
	Class
	open  int
	asked float64
}

// Admission is the state. Make one with New.
type Admission struct {
	rate    float64
	tenants []tenant
	classes []class
	ends    balancer.Micros // of the window
	cut     int             // classes of a higher order are refused,
	cutLeft float64         // and of this one more than this
	order   []int           // for filling: tenants by need over weight
	excess  balancer.Micros
}

// New returns an admission that has seen nothing.
func New(c Config) *Admission {
	a := &Admission{}
	a.Configure(c)
	return a
}

// Configure changes the limits. What is in hand stays counted, by the numbers of tenants
// and classes.
func (a *Admission) Configure(c Config) {
	if len(c.Tenants) == 0 {
		c.Tenants = []Tenant{{Weight: 1}}
	}
	a.rate = c.Rate
	for len(a.tenants) < len(c.Tenants) {
		a.tenants = append(a.tenants, tenant{})
	}
	for i := range a.tenants {
		if a.tenants[i].Tenant = (Tenant{}); i < len(c.Tenants) {
			a.tenants[i].Tenant = c.Tenants[i]
		}
	}
	for len(a.classes) < len(c.Classes) {
		a.classes = append(a.classes, class{})
	}
	for i := range a.classes {
		if a.classes[i].Class = (Class{}); i < len(c.Classes) {
			a.classes[i].Class = c.Classes[i]
		}
	}
	a.order = make([]int, len(a.tenants))
	a.cut = never
	a.fill()
}

// saved is how many windows of its own share a tenant may save up.
const saved = 5

// never is an order that no class has.
const never = 1 << 30

// fill gives each tenant its quota for the window that begins.
func (a *Admission) fill() {
	if a.rate <= 0 {
		return
	}
	room, weights := a.rate*float64(Window)/1e6, 0.0
	for i := range a.tenants {
		a.order[i] = i
		weights += a.tenants[i].Weight
		a.tenants[i].quota = 0
	}
	// The least need over weight first: what it leaves goes to those after it.
	slices.SortFunc(a.order, func(i, j int) int {
		x, y := a.tenants[i].asked*a.tenants[j].Weight, a.tenants[j].asked*a.tenants[i].Weight
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return i - j
	})
	rest, of := room, weights
	for _, i := range a.order {
		t := &a.tenants[i]
		if t.Weight <= 0 {
			continue // not of this file any more
		}
		t.quota = min(t.asked, rest*t.Weight/of)
		rest, of = rest-t.quota, of-t.Weight
	}
	for i := range a.tenants {
		t := &a.tenants[i]
		if t.Weight <= 0 {
			t.left = 0
			continue
		}
		// What nobody asked for goes to whoever does first.
		share := room * t.Weight / weights
		t.quota = max(t.quota+rest*t.Weight/weights, share)
		t.left = min(t.left, max(1, saved*share)) + t.quota
		t.asked = 0
	}
}

// brown finds the order from which classes are cut, by what was asked for in the window
// that ends: those before it fit into the rate, and it gets what they leave.
func (a *Admission) brown() {
	room, sum, most := a.rate*float64(Window)/1e6, 0.0, 0
	a.cut, a.cutLeft = never, 0
	for i := range a.classes {
		most = max(most, a.classes[i].BrownOut)
	}
	for order := 0; a.rate > 0 && order <= most; order++ {
		before := sum
		for i := range a.classes {
			if a.classes[i].BrownOut == order {
				sum += a.classes[i].asked
			}
		}
		if sum <= room {
			continue
		}
		if a.cut, a.cutLeft = order, room-before; before == 0 {
			a.cut, a.cutLeft = order+1, 0 // the tenants' quotas part what is left
		}
		break
	}
	for i := range a.classes {
		a.classes[i].asked = 0
	}
}

// roll ends windows that are over. Time without requests counts as windows in which
// nobody asked.
func (a *Admission) roll(now balancer.Micros) {
	if now < a.ends {
		return
	}
	if a.ends > 0 && now-a.ends >= Window {
		for i := range a.tenants {
			a.tenants[i].asked = 0
		}
		for i := range a.classes {
			a.classes[i].asked = 0
		}
	}
	a.brown()
	a.fill()
	a.ends = now - now%Window + Window
}

// Admit lets a request in, or says after which time another try is welcome. Over must be
// called for one that was let in.
func (a *Admission) Admit(now balancer.Micros, in *balancer.Request) (retryAfter balancer.Micros, ok bool) {
	a.roll(now)
	t, c := a.of(in)
	if t == nil || c == nil {
		return 0, true // the front has named what there is: a table of before
	}
	t.asked++
	c.asked++
	browned := c.BrownOut > a.cut || c.BrownOut == a.cut && a.cutLeft < 1
	full := t.Tenant.MaxInFlight > 0 && t.open >= t.Tenant.MaxInFlight || c.Class.MaxInFlight > 0 && c.open >= c.Class.MaxInFlight
	// An earlier attempt of this request may have run: it is in already, and what can be
	// said of it is the decision module's to say.
	if !in.MayHaveRun && (full || a.rate > 0 && (t.left < 1 || browned)) {
		if a.excess++; a.excess > spread {
			a.excess = 1
		}
		return a.ends - now + a.excess*Window/spread, false
	}
	if c.BrownOut == a.cut {
		a.cutLeft--
	}
	t.left--
	t.open++
	c.open++
	return 0, true
}

// spread is over how many parts of a window those that are refused are told to come back.
const spread = 16

func (a *Admission) of(in *balancer.Request) (*tenant, *class) {
	n := int(in.Tenant)
	if n >= len(a.tenants) || int(in.Class) >= len(a.classes) {
		return nil, nil
	}
	return &a.tenants[n], &a.classes[in.Class]
}

// Release says that a request which was let in has its final answer.
func (a *Admission) Release(in *balancer.Request) {
	if t, c := a.of(in); t != nil {
		t.open--
		c.open--
	}
}

// InFlight counts the requests in hand.
func (a *Admission) InFlight() (n int) {
	for i := range a.tenants {
		n += a.tenants[i].open
	}
	return n
}
