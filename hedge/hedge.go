// Package hedge decides when a request is sent to a second target while the first still works on it.
// It answers a load in which a few answers are slow, because their targets are slow for a moment, and
// sends nothing while targets are short of capacity. All times are arguments, and there is no I/O.
package hedge

import (
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// minQuantile bounds the delay from below: before the median, most hedges would be of requests that
	// are as usual.
	minQuantile = 0.5
	// minDelay is a round trip between failure domains and the start of a request: an earlier hedge
	// could not save what it costs.
	minDelay = 5 * time.Millisecond
	// savingsWindow bounds the saved hedges to those that a service earns in it, so that a quiet time
	// pays for no burst.
	savingsWindow = 10 * time.Second
	// maxRefused is the part of recent requests refused for lack of capacity above which targets are
	// short of it. A single target that is full for a moment, while others have room, refuses less.
	maxRefused = 0.01
	// maxRoutes and maxServices bound the memory; each route takes some 45 KB.
	maxRoutes   = 64
	maxServices = 1024
)

// Hedger holds what an entry has observed of its own requests, and the budgets of its hedges. The sum
// over entries that each keep within Ratio of their own requests is within Ratio, too. Set the fields
// before use. It is safe for concurrent use.
type Hedger struct {
	// Ratio is the part of a service's requests that may be hedged.
	Ratio float64

	mu       sync.Mutex
	services map[string]*service
	routes   map[string]*route
}

// service is the budget of one service.
type service struct {
	tokens float64
	// requests counts the requests of about the last savingsWindow, and hedgeable those of them that
	// may be hedged.
	// refused counts those that were refused for lack of capacity.
	requests, hedgeable, refused decayingCounter
}

// decayingCounter counts events with a linear loss over savingsWindow.
type decayingCounter struct {
	count float64
	last  clock.Stamp
}

func (c *decayingCounter) add(now clock.Stamp, n float64) {
	if elapsed := now.Sub(c.last); elapsed > 0 {
		c.count *= max(0, 1-elapsed.Seconds()/savingsWindow.Seconds())
		c.last = now
	}
	c.count += n
}

// Plan says when a request may be hedged.
type Plan struct {
	// Delay is the time after which the request may be sent to a second target, and Quantile the part
	// of the route's requests that are answered by then.
	Delay    time.Duration
	Quantile float64
	// Typical is the median time of an answer.
	Typical time.Duration
}

// Again returns the time after which a denied hedge is considered again, for a request that has been
// waiting for some time. The requests that wait longest, which make up the far tail, are then not those
// that were denied once.
func (p Plan) Again(elapsed time.Duration) time.Duration { return max(elapsed/2, minDelay) }

// Arrive records a request of this entry. hedgeable reports whether it may be hedged.
func (h *Hedger) Arrive(now clock.Stamp, name string, hedgeable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(name)
	s.requests.add(now, 1)
	if hedgeable {
		s.hedgeable.add(now, 1)
	}
	s.tokens = min(s.tokens+h.Ratio, max(1, h.Ratio*s.requests.count))
}

func (h *Hedger) service(name string) *service {
	s := h.services[name]
	if s == nil {
		if h.services == nil || len(h.services) >= maxServices {
			h.services = make(map[string]*service)
		}
		s = &service{}
		h.services[name] = s
	}
	return s
}

// Observe records the time until the complete answer of an attempt that was not a hedge. For an
// attempt that lost against its hedge it is the time until it was canceled: it was later than the
// delay, and if such attempts were left out, the delay would fall with each hedge.
func (h *Hedger) Observe(now clock.Stamp, name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[name]
	if r == nil {
		if h.routes == nil || len(h.routes) >= maxRoutes {
			h.routes = make(map[string]*route)
		}
		r = &route{}
		h.routes[name] = r
	}
	r.observe(now, d)
}

// Plan returns when a request of a route may be hedged, and false while too few of its answers are
// known. The budget then lasts for the requests that are later than the delay.
func (h *Hedger) Plan(now clock.Stamp, serviceName, routeName string) (Plan, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, r := h.service(serviceName), h.routes[routeName]
	if r == nil || !r.isKnown(now) || h.Ratio <= 0 {
		return Plan{}, false
	}
	part := h.Ratio * s.requests.count / max(s.hedgeable.count, 1)
	q := max(1-part, minQuantile)
	return Plan{max(r.quantile(q), minDelay), q, r.quantile(0.5)}, true
}

// RecordRefused records that a request to a service was refused for lack of capacity, by this entry or a
// target.
func (h *Hedger) RecordRefused(now clock.Stamp, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(name).refused.add(now, 1)
}

// IsShort reports whether too many requests to a service were refused recently for lack of capacity.
func (h *Hedger) IsShort(now clock.Stamp, name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(name)
	s.requests.add(now, 0)
	s.refused.add(now, 0)
	return s.refused.count > maxRefused*s.requests.count
}

// Take takes one hedge from the budget of a service. It returns how many are left, and false if there
// was none.
func (h *Hedger) Take(name string) (left float64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(name)
	if s.tokens < 1 {
		return s.tokens, false
	}
	s.tokens--
	return s.tokens, true
}

// Refund returns a hedge that was not sent.
func (h *Hedger) Refund(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(name).tokens++
}
