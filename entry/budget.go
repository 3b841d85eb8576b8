package entry

// earn lets a new request pay for later steps and repeats: both are a share of
// the traffic, so that failures never multiply it.
func (k *walk) earn() {
	k.entry.budget.Lock()
	defer k.entry.budget.Unlock()
	k.entry.Steps.Deposit(k.entry.Clock())
	k.entry.Repeats.Deposit(k.entry.Clock())
}

// spend takes one step down the ranking from the budget.
func (k *walk) spend() bool {
	k.entry.budget.Lock()
	defer k.entry.budget.Unlock()
	return k.entry.Steps.TryWithdraw(k.entry.Clock())
}

// repeat takes one repeat of what may have run from the budget.
func (k *walk) repeat() bool {
	k.entry.budget.Lock()
	defer k.entry.budget.Unlock()
	if !k.entry.Repeats.TryWithdraw(k.entry.Clock()) {
		k.denied = true
		return false
	}
	k.repeated++
	return true
}
