package fake

import "sync"

// Outcomes of an execution.
const (
	OutcomeRunning  = "running"
	OutcomeDone     = "done"
	OutcomeCanceled = "canceled"
	OutcomeCrashed  = "crashed"
	OutcomeBroken   = "broken" // ended by a fault that was asked for
)

// Execution is one run of a request at a target, as the target saw it.
type Execution struct {
	Request   string `json:"request"`
	Workspace string `json:"workspace"`
	Chat      string `json:"chat"`
	Path      string `json:"path"`
	// Action is the name that a service's caller gave to what must happen once.
	Action string `json:"action,omitempty"`
	// Boot of the target at that time.
	Boot string `json:"boot"`
	// Started and Ended are numbers in the target's own order; Ended is 0 while
	// the request runs.
	Started int    `json:"started"`
	Ended   int    `json:"ended"`
	Outcome string `json:"outcome"`
	// Prompt and Cached are tokens, at engines.
	Prompt int `json:"prompt,omitempty"`
	Cached int `json:"cached,omitempty"`
}

// Journal is a target's log of executions. It outlives the target's crashes:
// it is a test's evidence, which no real target would keep.
type Journal struct {
	mu  sync.Mutex
	seq int
	all []*Execution
}

func (j *Journal) start(e Execution) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	e.Started = j.seq
	e.Outcome = OutcomeRunning
	j.all = append(j.all, &e)
	return &e
}

// end notes the outcome once; a later one is ignored, as the first is what the
// caller could have seen.
func (j *Journal) end(e *Execution, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.Ended != 0 {
		return
	}
	j.seq++
	e.Ended = j.seq
	e.Outcome = outcome
}

// Executions returns all runs so far, in the order in which they started.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Execution, len(j.all))
	for i, e := range j.all {
		out[i] = *e
	}
	return out
}
