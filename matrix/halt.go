// Package matrix is a test harness for faults at a given step of a request. It runs entries,
// agents and fake targets in one process, connected by real sockets and fault-injecting relays,
// and stops a request at the chosen step, so that a test can inject a fault there. For comparison
// it can run a naive proxy instead of entries and agents.
package matrix

import "sync"

// Step is a point in the processing of a request or in the life of a process.
type Step string

// The steps, in the order of processing.
const (
	StepMint     Step = "mint"   // tickets are minted, the reply is not sent yet
	StepOffer    Step = "offer"  // the offer is sent, the agent has not read it
	StepAccept   Step = "accept" // the agent has accepted, the accept is not sent yet
	StepBody     Step = "body"   // the body is sent, the agent has not read its end
	StepStart    Step = "start"  // the target has the request and has not started it
	StepExecuted Step = "spent"  // the action has taken effect, its answer is not sent yet
	StepFirst    Step = "first"  // the agent has sent the first frame
	StepMiddle   Step = "middle" // the agent has sent a part of the answer
	StepLast     Step = "last"   // the agent has sent all but the last frame
	StepLost     Step = "lost"   // the agent has sent everything, the caller has received nothing
	StepOrder    Step = "order"  // an order is sent, the engine has not processed it
	StepDrain    Step = "drain"  // as middle, and the agent has just started to drain
)

// Breakpoint stops the first request that reaches the step passed to Set.
type Breakpoint struct {
	mu      sync.Mutex
	at      Step
	target  string
	reached chan struct{}
	release chan struct{}
	// halted reports whether a request is stopped.
	halted bool
	// accepted holds the targets whose accept an entry has read since Set.
	accepted map[string]bool
}

// afterAccept reports whether the step comes after the accept of the agent.
func (s Step) afterAccept() bool {
	switch s {
	case StepMint, StepOffer, StepAccept, StepOrder:
		return false
	}
	return true
}

// Set makes the next request that reaches the step stop there.
func (h *Breakpoint) Set(at Step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = at
	h.reached = make(chan struct{})
	h.release = make(chan struct{})
	h.accepted = make(map[string]bool)
}

// MarkAccepted records that an entry has read the accept for a target.
func (h *Breakpoint) MarkAccepted(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.accepted != nil {
		h.accepted[target] = true
	}
}

// IsAccepted reports whether an entry has read the accept for a target since Set.
func (h *Breakpoint) IsAccepted(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accepted[target]
}

// Reach is called at each step of a request. If the step is the one passed to Set, the first call
// blocks until Release.
func (h *Breakpoint) Reach(at Step, target string) {
	h.mu.Lock()
	if h.at != at {
		h.mu.Unlock()
		return
	}
	h.at = ""
	h.target = target
	h.halted = true
	release := h.release
	close(h.reached)
	h.mu.Unlock()
	<-release
}

// Wait blocks while a request is stopped.
func (h *Breakpoint) Wait() {
	h.mu.Lock()
	halted, release := h.halted, h.release
	h.mu.Unlock()
	if halted {
		<-release
	}
}

// Reached returns a channel that is closed when a request stops at the step.
func (h *Breakpoint) Reached() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reached
}

// Target returns the name of the target whose request is stopped.
func (h *Breakpoint) Target() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.target
}

// Release lets the stopped request continue. It must be called after Set, at most once for each.
func (h *Breakpoint) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = ""
	h.halted = false
	close(h.release)
}
