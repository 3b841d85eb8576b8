package chestnutstep

import (
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind uint8

// The kinds of a route.
const (
	// RouteUnsafe requests may run at most once: it is the safe value.
	RouteUnsafe RouteKind = iota
	// RouteSafe requests are idempotent.
	RouteSafe
	// RouteStream requests are answered by a series of numbered events. They are
	// handled as Unsafe unless the route is resumable.
	RouteStream
)

// String is the kind's name in logs.
func (k RouteKind) String() string {
	switch k {
	case RouteSafe:
		return "safe"
	case RouteStream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Routing is a version of the configuration under which entries bring requests
// to targets without an agent: which route leads to which service, and who may
// use it. It is never changed once it is built.
type Routing struct {
	// Version is monotone: a higher one replaces a lower one.
	Version    uint64
	Routes     []Route
	Services   map[string]*Service
	Limits     CallerLimits
	Workspaces []*WorkspaceAccess
	// RequiresKey says that requests need a key.
	RequiresKey bool

	hosts map[string][]*Route
	keys  map[string]*WorkspaceAccess
}

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams may go on at another target after their last event.
	Resumable bool
	// Public requests need no key.
	Public bool
	// Timeout is the longest time to a final answer.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or a stream's first event, that
	// callers want.
	LatencyObjective time.Duration
	// Rank orders routes by urgency: 0 is the most urgent.
	Rank int
	// MaxAttempts is the most targets that one request may reach.
	MaxAttempts int
	// HasPromptParts says that requests name the parts of their prompt, which targets
	// keep in a cache.
	HasPromptParts bool
	// Splits are the services of the route, each with its weight.
	Splits []Split
	// AllowedRegions are the only ones whose targets may get its requests; empty for all.
	AllowedRegions []string
}

// Split is a service with its share of a route's requests.
type Split struct {
	Service string
	Weight  float64
}

// IsIdempotent says whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Service is a group of like targets.
type Service struct {
	Name string
	// ColdStart is how long a target is cold after its start.
	ColdStart time.Duration
	// ColdRate is the requests a second that a cold target carries, from all
	// entries together; 0 where cold targets need no care.
	ColdRate float64
	// MaxConnections is how many a target accepts from all entries together; 0 where
	// that is not said.
	MaxConnections int
	// IsEngine says that targets cache prompts and can fetch them.
	IsEngine bool
	// LatencyObjective is the shortest that a route to the service has; 0 where none has one.
	// Index sets it.
	LatencyObjective time.Duration
}

// WorkspaceAccess is a workspace with the keys of its callers.
type WorkspaceAccess struct {
	Name string
	Keys []string
	// Rank goes before the route's where HasRank is set.
	Rank    int
	HasRank bool
	// AllowedRegions are the only ones whose targets may get its requests; empty for all.
	AllowedRegions []string
}

// CallerLimits bound what a caller may send and how long it may stay idle.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// BuildIndex builds the look-ups; call it once, before the first use.
func (c *Routing) BuildIndex() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		c.updateObjectives(r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.keys = make(map[string]*WorkspaceAccess)
	for _, ws := range c.Workspaces {
		for _, key := range ws.Keys {
			c.keys[key] = ws
		}
	}
}

// updateObjectives takes the objective of a route into those of its services.
func (c *Routing) updateObjectives(r *Route) {
	for _, split := range r.Splits {
		s := c.Services[split.Service]
		if s == nil || r.LatencyObjective <= 0 {
			continue
		}
		if s.LatencyObjective == 0 || r.LatencyObjective < s.LatencyObjective {
			s.LatencyObjective = r.LatencyObjective
		}
	}
}

// MatchRoute finds the route of a request: the longest prefix among those of the
// host, or nil.
func (c *Routing) MatchRoute(host, path string) *Route {
	routes, ok := c.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = c.hosts[strings.ToLower(name)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey finds the workspace that holds a key, or nil.
func (c *Routing) WorkspaceByKey(key string) *WorkspaceAccess {
	if key == "" {
		return nil
	}
	return c.keys[key]
}

// Instance is one run of a target as the platform lists it. A restart is a new
// instance, even when the name is the same.
type Instance struct {
	ID      string
	Service string
	// Address is IP and port.
	Address string
	Domain  string
	// Slots is how many requests run at once.
	Slots int
	// Leaving says that the target takes no new work.
	Leaving bool
	// ColdRemaining is how long the target stays cold, counted from when it said so.
	ColdRemaining time.Duration
	// StartedMs is when the target started, Unix milliseconds by its own clock; 0
	// where it does not say.
	StartedMs int64
}
