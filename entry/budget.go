package entry

// depositBudgets adds a new request's share to the budgets for failovers and retries. Both are
// limited to a share of the traffic so that failures can't multiply it.
func (k *dispatcher) depositBudgets() {
	k.entry.budgetMu.Lock()
	defer k.entry.budgetMu.Unlock()
	k.entry.FailoverBudget.Deposit(k.entry.Clock())
	k.entry.RetryBudget.Deposit(k.entry.Clock())
}

// withdrawFailover takes one failover to the next target from the budget and reports whether it was
// available.
func (k *dispatcher) withdrawFailover() bool {
	k.entry.budgetMu.Lock()
	defer k.entry.budgetMu.Unlock()
	return k.entry.FailoverBudget.TryWithdraw(k.entry.Clock())
}

// withdrawRetry takes one retry of a request that may have run from the budget and reports whether
// it was available.
func (k *dispatcher) withdrawRetry() bool {
	k.entry.budgetMu.Lock()
	defer k.entry.budgetMu.Unlock()
	if !k.entry.RetryBudget.TryWithdraw(k.entry.Clock()) {
		k.retryDenied = true
		return false
	}
	k.retries++
	return true
}
