package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pinedale/balancer"
)

// Row is one line of a table in the form that is shown to the operator.
type Row struct {
	Route          string  `json:"route"` // "" for the row of a class
	Match          string  `json:"match"`
	Class          string  `json:"class"`
	Pool           string  `json:"pool,omitempty"`
	Deadline       string  `json:"deadline"`
	AttemptTimeout string  `json:"try_for,omitempty"`
	Attempts       int     `json:"attempts"`
	HedgeDelay     string  `json:"copy_after,omitempty"` // hedge delay or quantile
	Hedging        bool    `json:"second_copies"`
	RetryRatio     float64 `json:"retry_share"`
	RetryBurst     float64 `json:"retry_burst"`
}

// Rows returns the complete table: the classes first, then the routes in the order of the file.
func (t *Table) Rows() (rows []Row) {
	for i := range t.config.Classes {
		rows = append(rows, t.classRow(&t.config.Classes[i]))
	}
	routes := make([]Row, len(t.config.Routes))
	for _, entries := range t.routes {
		for _, entry := range entries {
			routes[entry.route] = t.routeRow(entry)
		}
	}
	return append(rows, routes...)
}

func (t *Table) classRow(class *Class) Row {
	row := t.row(t.classBounds[class.Name])
	if class.HedgeQuantile > 0 {
		row.HedgeDelay = fmt.Sprintf("quantile %v", class.HedgeQuantile)
	}
	return row
}

func (t *Table) routeRow(entry *routeEntry) Row {
	route := &t.config.Routes[entry.route]
	row := t.row(&entry.Bounds)
	row.Route = route.Name
	if route.Name == "" {
		row.Route = fmt.Sprintf("route[%d]", entry.route)
	}
	row.Match = route.match()
	row.Pool = route.Pool
	return row
}

// row returns a row with the columns that are derived from bounds.
func (t *Table) row(bounds *Bounds) Row {
	budget := balancer.RetryBudget{EarnRatio: defaultRetryRatio, Burst: defaultRetryBurst}
	if bounds.Budget > 0 {
		budget = t.budgets[bounds.Budget-1]
	}
	return Row{
		Class:          bounds.ClassName,
		Deadline:       durationText(bounds.Deadline),
		AttemptTimeout: durationText(bounds.AttemptTimeout),
		Attempts:       bounds.MaxAttempts,
		HedgeDelay:     durationText(bounds.HedgeDelay),
		Hedging:        !bounds.NoHedging,
		RetryRatio:     budget.EarnRatio,
		RetryBurst:     budget.Burst,
	}
}

// durationText returns a duration as text, "" for 0.
func durationText(duration balancer.Micros) string {
	if duration == 0 {
		return ""
	}
	return (time.Duration(duration) * time.Microsecond).String()
}

// match returns a route's matchers on one line, the method and the path first.
func (r *Route) match() string {
	var parts []string
	if r.Method != "" {
		parts = append(parts, r.Method)
	}
	path := r.Path
	if path == "" {
		path = strings.TrimSuffix(r.Prefix, "/") + "/*"
	}
	parts = append(parts, r.Host+path)
	for name, value := range r.Headers {
		parts = append(parts, name+"="+value)
	}
	slices.Sort(parts[1:])
	return strings.Join(parts, " ")
}
