package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pinedale/balancer"
)

// Row is one line of a table as it is shown to the operator.
type Row struct {
	Route          string  `json:"route"` // "" for a class by itself
	Match          string  `json:"match"`
	Class          string  `json:"class"`
	Pool           string  `json:"pool,omitempty"`
	Deadline       string  `json:"deadline"`
	AttemptTimeout string  `json:"try_for,omitempty"` // attempt timeout
	Attempts       int     `json:"attempts"`
	HedgeDelay     string  `json:"copy_after,omitempty"` // hedge delay or quantile
	Hedging        bool    `json:"second_copies"`        // hedging
	RetryRatio     float64 `json:"retry_share"`
	RetryBurst     float64 `json:"retry_burst"`
}

// Rows returns the complete table: the classes first, then the routes in the order of the file.
func (t *Table) Rows() (rows []Row) {
	for _, class := range t.config.Classes {
		row := t.row(t.classBounds[class.Name])
		if class.HedgeQuantile > 0 {
			row.HedgeDelay = fmt.Sprintf("quantile %v", class.HedgeQuantile)
		}
		rows = append(rows, row)
	}
	routes := make([]Row, len(t.config.Routes))
	for _, entries := range t.routes {
		for _, e := range entries {
			r := &t.config.Routes[e.route]
			row := t.row(&e.Bounds)
			row.Route = r.Name
			if r.Name == "" {
				row.Route = fmt.Sprintf("route[%d]", e.route)
			}
			row.Match, row.Pool = r.match(), r.Pool
			routes[e.route] = row
		}
	}
	return append(rows, routes...)
}

// row returns the part of a row that follows from bounds.
func (t *Table) row(b *Bounds) Row {
	budget := balancer.RetryBudget{EarnRatio: defaultRetryRatio, Burst: defaultRetryBurst}
	if b.Budget > 0 {
		budget = t.budgets[b.Budget-1]
	}
	return Row{
		Class:          b.ClassName,
		Deadline:       durationText(b.Deadline),
		AttemptTimeout: durationText(b.AttemptTimeout),
		Attempts:       b.MaxAttempts,
		HedgeDelay:     durationText(b.HedgeDelay),
		Hedging:        !b.NoHedging,
		RetryRatio:     budget.EarnRatio,
		RetryBurst:     budget.Burst,
	}
}

// durationText returns a duration as text, "" for 0.
func durationText(d balancer.Micros) string {
	if d == 0 {
		return ""
	}
	return (time.Duration(d) * time.Microsecond).String()
}

// match returns a route's matchers on one line.
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
