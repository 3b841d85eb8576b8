package fake

import "sync"

// Outcomes of an execution.
const (
	OutcomeRunning  = "running"
	OutcomeDone     = "done"
	OutcomeCanceled = "canceled"
	OutcomeCrashed  = "crashed"
	OutcomeBroken   = "broken" // ended early by an injected fault
)

// Execution records one run of a request at a target.
type Execution struct {
	Request   string `json:"request"`
	Workspace string `json:"workspace"`
	Chat      string `json:"chat"`
	Path      string `json:"path"`
	// Action is the name of a service's action, which must take effect once.
	Action string `json:"action,omitempty"`
	// Boot is the target's boot id at the start of the run.
	Boot string `json:"boot"`
	// Started and Ended are sequence numbers in the target's journal; Ended is 0
	// while the request runs.
	Started int    `json:"started"`
	Ended   int    `json:"ended"`
	Outcome string `json:"outcome"`
	// Prompt and Cached are numbers of tokens; only engines set them.
	Prompt int `json:"prompt,omitempty"`
	Cached int `json:"cached,omitempty"`
}

// Journal records a target's executions for tests. Unlike the records of a real
// target, it survives the target's simulated crashes.
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

// end records the outcome of an execution. Later outcomes are ignored: only the
// first can have been visible to the caller.
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

// Executions returns a copy of all executions so far, in order of their start.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Execution, len(j.all))
	for i, e := range j.all {
		out[i] = *e
	}
	return out
}
