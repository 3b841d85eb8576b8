package relay

import "time"

// IdleTimeout is what the server of callers has to be set to. It stands for the
// idle time of the configuration in force, which may change while connections
// are open.
const IdleTimeout = 24 * time.Hour

// idleDeadlineThreshold tells the deadline of an idle connection from that of a header.
const idleDeadlineThreshold = IdleTimeout / 2

// defaultIdleTimeout is the idle time before a configuration is known.
const defaultIdleTimeout = 15 * time.Second

// headerDeadlineThreshold tells the deadline of headers from those that net/http sets in the past
// or at once, to end a read that is under way.
const headerDeadlineThreshold = time.Second

// headerTimeout is how long headers may take: what the configuration says, or else what
// the server had in mind.
func (e *Relay) headerTimeout(fallback time.Duration) time.Duration {
	v := e.Roster.View()
	if v == nil || v.Routing.Limits.HeaderTimeout <= 0 {
		return fallback
	}
	return v.Routing.Limits.HeaderTimeout
}

func (e *Relay) idleTimeout() time.Duration {
	v := e.Roster.View()
	if v == nil || v.Routing.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return v.Routing.Limits.IdleTimeout
}
