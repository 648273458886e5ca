package balancer

// budgets are token balances, in attempts.
type budgets struct {
	retry float64   // shared by the requests that name no budget
	hedge float64   // for hedged attempts
	named []float64 // by index into Settings.Budgets
}

// budgetOf returns the balance of the retry budget that a request uses, and the parameters of that budget.
func (b *Balancer) budgetOf(r *request) (balance *float64, budget RetryBudget) {
	if n := int(r.Budget); n > 0 && n <= len(b.settings.Budgets) {
		return &b.budgets.named[n-1], b.settings.Budgets[n-1]
	}
	return &b.budgets.retry, RetryBudget{EarnRatio: retryEarnRatio, Burst: budgetBurst}
}
