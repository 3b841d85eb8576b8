package relay

import "time"

// IdleTimeout is what the server of callers has to be set to. It stands for the
// idle time of the configuration in force, which may change while connections
// are open.
const IdleTimeout = 24 * time.Hour

// idleMark tells the deadline of an idle connection from that of a header.
const idleMark = IdleTimeout / 2

// idleFirst is the idle time before a configuration is known.
const idleFirst = 15 * time.Second

// headerMark tells the deadline of headers from those that net/http sets in the past
// or at once, to end a read that is under way.
const headerMark = time.Second

// headerTime is how long headers may take: what the configuration says, or else what
// the server had in mind.
func (e *Relay) headerTime(usual time.Duration) time.Duration {
	v := e.Roster.View()
	if v == nil || v.Routing.Limits.HeaderTimeout <= 0 {
		return usual
	}
	return v.Routing.Limits.HeaderTimeout
}

func (e *Relay) idle() time.Duration {
	v := e.Roster.View()
	if v == nil || v.Routing.Limits.IdleTimeout <= 0 {
		return idleFirst
	}
	return v.Routing.Limits.IdleTimeout
}
