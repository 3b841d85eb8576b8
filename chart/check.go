package chart

func (c *Chart) check() string {
	if c.Name == "" {
		return "the chart has no name"
	}
	if len(c.States) == 0 {
		return "the chart has no states"
	}
	for i := range c.States {
		c.states[c.States[i].Name] = &c.States[i]
	}
	if problem := c.checkNames(); problem != "" {
		return problem
	}
	if problem := c.checkFinalStates(); problem != "" {
		return problem
	}
	return c.checkReachable()
}

func (c *Chart) checkNames() string {
	for _, m := range c.Transitions {
		if c.states[m.From] == nil {
			return "unknown state " + m.From
		}
		if c.states[m.To] == nil {
			return "unknown state " + m.To
		}
	}
	return ""
}

// checkFinalStates checks that exactly the final states have no outgoing
// transition. A state without one that is not meant to be final would never be
// left.
func (c *Chart) checkFinalStates() string {
	hasExit := map[string]bool{}
	for _, m := range c.Transitions {
		hasExit[m.From] = true
	}
	for _, s := range c.States {
		if s.Final && hasExit[s.Name] {
			return "a move leaves the final state " + s.Name
		}
		if !s.Final && !hasExit[s.Name] {
			return "no move leaves the state " + s.Name
		}
	}
	return ""
}

func (c *Chart) checkReachable() string {
	seen := map[string]bool{c.InitialState(): true}
	for changed := true; changed; {
		changed = false
		for _, m := range c.Transitions {
			if seen[m.From] && !seen[m.To] {
				seen[m.To] = true
				changed = true
			}
		}
	}
	for _, s := range c.States {
		if !seen[s.Name] {
			return "unreachable state " + s.Name
		}
	}
	return ""
}
