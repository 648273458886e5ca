package balancer

// budgets are token balances, in attempts.
type budgets struct {
	retry float64   // of requests without a budget of their own
	hedge float64   // of hedged requests
	named []float64 // by index of Settings.Budgets
}

// budgetOf returns the balance of a request's retry budget, and what the budget earns and holds.
func (b *Balancer) budgetOf(r *request) (balance *float64, budget RetryBudget) {
	if n := int(r.Budget); n > 0 && n <= len(b.settings.Budgets) {
		return &b.budgets.named[n-1], b.settings.Budgets[n-1]
	}
	return &b.budgets.retry, RetryBudget{EarnRatio: retryEarnRatio, Burst: budgetBurst}
}
