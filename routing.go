package chestnutstep

import (
	"slices"
	"strings"
	"time"
)

// RouteKind determines whether requests of a route can be retried.
type RouteKind uint8

// The kinds of a route.
const (
	// RouteUnsafe requests may run at most once. It is the safe value.
	RouteUnsafe RouteKind = iota
	// RouteSafe requests are idempotent.
	RouteSafe
	// RouteStream requests are answered by a series of numbered events. They are
	// handled as RouteUnsafe unless the route is resumable.
	RouteStream
)

// String returns the name of the kind in logs.
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

// Routing is a version of the configuration by which entries forward requests
// to targets without an agent: the service of each route and the workspaces with
// access. It is immutable once built.
type Routing struct {
	// Version is monotonic: a higher one replaces a lower one.
	Version    uint64
	Routes     []Route
	Services   map[string]*Service
	Limits     CallerLimits
	Workspaces []*WorkspaceAccess
	// RequiresKey reports whether requests need a key.
	RequiresKey bool

	hosts map[string][]*Route
	keys  map[string]*WorkspaceAccess
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams can continue at another target after their last event.
	Resumable bool
	// Public requests need no key.
	Public bool
	// Timeout is the maximum time until the final answer.
	Timeout time.Duration
	// LatencyObjective is the target time until the answer, or until the first event of a
	// stream.
	LatencyObjective time.Duration
	// Rank orders routes by urgency: 0 is the most urgent.
	Rank int
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	// HasPromptParts reports whether requests list the parts of their prompt, which targets
	// cache.
	HasPromptParts bool
	// Splits are the services of the route, each with its weight.
	Splits []Split
	// AllowedRegions restricts requests of the route to targets in these regions; empty allows all.
	AllowedRegions []string
}

// Split is a service with its share of a route's requests.
type Split struct {
	Service string
	Weight  float64
}

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Service is a group of equivalent targets.
type Service struct {
	Name string
	// ColdStart is how long a target is cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold target can handle from all
	// entries together; 0 if cold targets have no limit.
	ColdRate float64
	// MaxConnections is the number of connections that a target accepts from all entries
	// together; 0 if unknown.
	MaxConnections int
	// HealthPath is the path of a target's health check; empty if it has none.
	HealthPath string
	// IsEngine reports whether targets cache prompts and can fetch them from each other.
	IsEngine bool
	// LatencyObjective is the shortest objective of all routes to the service; 0 if none has
	// one. BuildIndex sets it.
	LatencyObjective time.Duration
}

// WorkspaceAccess is a workspace with the keys of its callers.
type WorkspaceAccess struct {
	Name string
	Keys []string
	// Rank overrides the route's rank if HasRank is set.
	Rank    int
	HasRank bool
	// AllowedRegions restricts its requests to targets in these regions; empty allows all.
	AllowedRegions []string
}

// CallerLimits limits the size of a caller's requests and the time a connection can be idle.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// BuildIndex builds the indexes. It must be called once, before the first use.
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

// updateObjectives lowers the objectives of the route's services to that of the route.
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

// MatchRoute returns the route with the longest prefix that matches the path among those
// of the host, or nil.
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

// WorkspaceByKey returns the workspace that has the key, or nil.
func (c *Routing) WorkspaceByKey(key string) *WorkspaceAccess {
	if key == "" {
		return nil
	}
	return c.keys[key]
}

// Instance is one run of a target as the platform lists it. A restarted target is a new
// instance, even if its name is the same.
type Instance struct {
	ID      string
	Service string
	// Address is IP and port.
	Address string
	Domain  string
	// Slots is the number of requests that run concurrently.
	Slots int
	// Build is the version of the target's software, which is not the configuration version and not
	// that of a model. Streams of two builds don't fit together. Empty if the target publishes none.
	Build string
	// Leaving reports whether the target takes no new work.
	Leaving bool
	// ColdRemaining is how long the target stays cold, counted from the time of its report.
	ColdRemaining time.Duration
	// StartedMs is the start time of the target by its own clock, in Unix milliseconds; 0
	// if it does not report one.
	StartedMs int64
}
