package entry

// depositBudgets lets a new request pay for later steps and repeats: both are a share of
// the traffic, so that failures never multiply it.
func (k *dispatcher) depositBudgets() {
	k.entry.budgetMu.Lock()
	defer k.entry.budgetMu.Unlock()
	k.entry.FailoverBudget.Deposit(k.entry.Clock())
	k.entry.RetryBudget.Deposit(k.entry.Clock())
}

// withdrawFailover takes one step down the ranking from the budget.
func (k *dispatcher) withdrawFailover() bool {
	k.entry.budgetMu.Lock()
	defer k.entry.budgetMu.Unlock()
	return k.entry.FailoverBudget.TryWithdraw(k.entry.Clock())
}

// withdrawRetry takes one repeat of what may have run from the budget.
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
