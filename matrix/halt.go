// Package matrix is a test aid: the fleet in one process over real sockets,
// stopped at a step of a request so that a fault can happen right there.
package matrix

import "sync"

// Step is a point in the life of a request or of a process.
type Step string

// The steps, in the order of a request's life.
const (
	StepMint     Step = "mint"   // tickets are minted, the caller has not seen them
	StepOffer    Step = "offer"  // the offer was sent, the agent has not read it
	StepAccept   Step = "accept" // the agent accepted, the entry has not heard
	StepBody     Step = "body"   // the body was sent, the agent has not read its end
	StepStart    Step = "start"  // the target has the request and did nothing yet
	StepExecuted Step = "spent"  // the action took effect, nobody has heard
	StepFirst    Step = "first"  // the first byte left the agent
	StepMiddle   Step = "middle" // some of the answer left the agent
	StepLast     Step = "last"   // all but the last frame left the agent
	StepLost     Step = "lost"   // all left the agent, the caller has got nothing
	StepOrder    Step = "order"  // an order was sent, the engine has not read it
	StepDrain    Step = "drain"  // as middle, and the agent has just begun to drain
)

// Breakpoint stops the first request that comes to the armed step.
type Breakpoint struct {
	mu      sync.Mutex
	at      Step
	target  string
	reached chan struct{}
	release chan struct{}
	// accepted lists the targets whose accept an entry has read since Arm.
	accepted map[string]bool
}

// afterAccept says that the step comes after the agent's accept.
func (s Step) afterAccept() bool {
	switch s {
	case StepMint, StepOffer, StepAccept, StepOrder:
		return false
	}
	return true
}

// Set makes the next request that comes to the step stop there.
func (h *Breakpoint) Set(at Step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = at
	h.reached = make(chan struct{})
	h.release = make(chan struct{})
	h.accepted = make(map[string]bool)
}

// MarkAccepted is called when an entry has read a target's accept.
func (h *Breakpoint) MarkAccepted(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.accepted != nil {
		h.accepted[target] = true
	}
}

// IsAccepted reports whether an entry has read the target's accept since Arm.
func (h *Breakpoint) IsAccepted(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.accepted[target]
}

// Reach is called where a step is; it blocks when the step is armed.
func (h *Breakpoint) Reach(at Step, target string) {
	h.mu.Lock()
	if h.at != at {
		h.mu.Unlock()
		return
	}
	h.at = ""
	h.target = target
	release := h.release
	close(h.reached)
	h.mu.Unlock()
	<-release
}

// Reached is closed once a request stands at the step.
func (h *Breakpoint) Reached() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reached
}

// Target is where the request stands.
func (h *Breakpoint) Target() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.target
}

// Release lets the request go on. Arm must have come before.
func (h *Breakpoint) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = ""
	close(h.release)
}
