package chestnutstep

// Publication is the whole configuration of the fleet under one version, as published
// by operators. A process applies a publication completely or not at all, and never one
// with a lower version than the one in force.
type Publication struct {
	// Version is monotonic: a higher one replaces a lower one.
	Version    uint64      `json:"version"`
	Domains    []Domain    `json:"domains"`
	Hosts      []Host      `json:"hosts"`
	Models     []Model     `json:"models"`
	Targets    []Target    `json:"targets"`
	Profiles   []Profile   `json:"profiles"`
	Workspaces []Workspace `json:"workspaces"`
	Budget     Budget      `json:"budget"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Out takes the domain out of service: it receives no new work.
	Out bool `json:"out,omitempty"`
}

// Host is a machine that runs targets or entries.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Out    bool   `json:"out,omitempty"`
	// HasEntry reports whether an entry runs on the host. The rates of workspaces are divided
	// among the entries in service.
	HasEntry bool `json:"entry,omitempty"`
}

// Kinds of a model.
const (
	KindEngine  = "engine"  // a model engine: batches, caches prompt prefixes
	KindService = "service" // a plain service, such as bookings
)

// Model is a group of equivalent targets: a model that engines serve, or a plain
// service. Load is compared and capped within one model.
type Model struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Multiple of the mean load that no target may exceed, at least 1.05; 0
	// disables the cap.
	Multiple float64 `json:"multiple"`
	// Floor is the load, in running requests, that a target may always carry. Without it
	// the multiple of a small mean would allow no work at all.
	Floor int `json:"floor"`
	// Slots is the maximum number of requests that a warm target runs concurrently.
	Slots int `json:"slots"`
	// QueueLimit is the maximum number of requests that wait at one target.
	QueueLimit int `json:"queue"`
	// DoneMarker is the text that the last event of a complete event stream contains, such
	// as "event: done"; if empty, any clean end counts as complete.
	DoneMarker string `json:"done,omitempty"`
	// PrefillRate is the number of uncached prompt tokens that a target processes per second,
	// and CacheBytesPerToken the size of the KV cache of one token. They give the cost of
	// recomputing and of importing a chat's prefix. If either is 0, nothing is imported.
	PrefillRate        float64 `json:"prefill,omitempty"`
	CacheBytesPerToken int64   `json:"cache,omitempty"`
	// ColdCap is the maximum number of requests that a target runs during its cold start.
	ColdCap int `json:"cold"`
	// WarmupAnswers is the number of complete answers that a target needs after its start
	// before it may run more than ColdCap requests.
	WarmupAnswers int `json:"warm,omitempty"`
}

// Target is one back end: a model engine or a plain service on a host.
type Target struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Model that the target serves.
	Model string `json:"model"`
	// Agent is the address, IP and port, of the agent next to the target.
	Agent string `json:"agent"`
	// Weight is the target's size relative to others of its model; 1 if unset.
	Weight float64 `json:"weight,omitempty"`
	Out    bool    `json:"out,omitempty"`
	// Fenced reports whether the target refuses orders with an outdated fencing number.
	Fenced bool `json:"fenced,omitempty"`
	// Orders lists the orders that the engine must have executed, in this order. Its agent
	// sends the missing ones, and all of them after each restart of the engine.
	Orders []Order `json:"orders,omitempty"`
}

// Kinds of an order.
const (
	OrderModel   = "model"   // load a model's weights
	OrderAdapter = "adapter" // load an adapter
	OrderVersion = "version" // change to a version
	OrderRole    = "role"    // change the engine's role
)

// Order is a command to an engine.
type Order struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// LoadsWeights reports whether the order reads from the weight store, whose rate all
// targets share.
func (o Order) LoadsWeights() bool { return o.Kind == OrderModel || o.Kind == OrderAdapter }

// Profile is a named set of service parameters; callers pick one for each request.
type Profile struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	// Class is "urgent", "normal" or "batch".
	Class string `json:"class"`
	// Timeout is the default and maximum timeout of a request.
	Timeout Duration `json:"timeout"`
	// Patience is how long a request may wait at the target that has its
	// prompt prefix cached before it is offered to another target.
	Patience Duration `json:"patience"`
	// MaxAttempts is the maximum number of targets that a request is offered to.
	MaxAttempts int `json:"tries"`
	// RequiresTicket marks requests that are not idempotent: they need a ticket.
	RequiresTicket bool `json:"once,omitempty"`
	// ExpectedTokens is the expected work of an answer, in tokens.
	ExpectedTokens int `json:"tokens"`
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64 `json:"body"`
}

// Workspace is a customer: callers with one or more keys, limits and a weight.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the hex-encoded SHA-256 hashes of the callers' keys.
	Keys []string `json:"keys"`
	// Weight is the workspace's relative share of saturated targets; 1 if unset.
	Weight float64 `json:"weight,omitempty"`
	// Rate is the maximum number of requests per second over all entries; 0 is unlimited.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests that can arrive at once.
	Burst float64 `json:"burst,omitempty"`
}

// Budget limits the load that the whole fleet puts on the platform and on itself.
type Budget struct {
	// ReadRate is the maximum number of calls per second that all processes together make to
	// the configuration service; a waiting watch counts as one.
	ReadRate float64 `json:"reads"`
	// LoadRate is the number of weight loads per second that the weight store allows.
	LoadRate float64 `json:"loads"`
	// RetryRatio is the maximum fraction of an entry's offers that are retries.
	RetryRatio float64 `json:"retries"`
	// ExportRate is the maximum bytes per second that one agent spends on KV cache moves.
	ExportRate int64 `json:"export"`
}
