package chestnutstep

// Publication is what operators publish: the whole configuration of the fleet
// under one version. A process puts a publication in force whole or not at
// all, and never one with a version below that in force.
type Publication struct {
	// Version is monotone: a higher one replaces a lower one.
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

// Host is a machine that bears targets or entries.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Out    bool   `json:"out,omitempty"`
	// HasEntry says that an entry runs here: workspaces' rates are shared out over
	// the entries in service.
	HasEntry bool `json:"entry,omitempty"`
}

// Kinds of a model.
const (
	KindEngine  = "engine"  // a model engine: batches, caches prompt prefixes
	KindService = "service" // a plain service, such as bookings
)

// Model is a set of like targets: a model that engines serve, or a plain
// service. Load is compared and capped within one model.
type Model struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Multiple of the mean load that no target may exceed, from 1.05 up; 0
	// switches the cap off.
	Multiple float64 `json:"multiple"`
	// Floor is the load, in running requests, that a target may always carry:
	// below it the multiple of a small mean would forbid any work.
	Floor int `json:"floor"`
	// Slots is the most that a warm target can run at once.
	Slots int `json:"slots"`
	// QueueLimit bounds the requests that wait at one target.
	QueueLimit int `json:"queue"`
	// DoneMarker is the text that the last event of a whole event stream holds, such
	// as "event: done"; if unset, any clean end counts as whole.
	DoneMarker string `json:"done,omitempty"`
	// PrefillRate is how many prompt tokens a second a target reads that are not in
	// its cache, and Cache the bytes of KV cache for one token: what rebuilding
	// and importing a chat's prefix cost. If either is 0, nothing is imported.
	PrefillRate        float64 `json:"prefill,omitempty"`
	CacheBytesPerToken int64   `json:"cache,omitempty"`
	// ColdCap is how many requests a target in cold start can carry.
	ColdCap int `json:"cold"`
	// WarmupAnswers is how many whole answers a target needs after its start before it
	// carries more than Cold.
	WarmupAnswers int `json:"warm,omitempty"`
}

// Target is one back end: a model engine or a plain service on a host.
type Target struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Model that the target serves.
	Model string `json:"model"`
	// Agent is the address, IP and port, of the agent beside the target.
	Agent string `json:"agent"`
	// Weight is the target's size against others of its model; 1 if unset.
	Weight float64 `json:"weight,omitempty"`
	Out    bool    `json:"out,omitempty"`
	// Fenced says that the target refuses orders with an old fencing number.
	Fenced bool `json:"fenced,omitempty"`
	// Orders is what the engine shall have been told, in this order. Its agent
	// sends what is missing, again after each restart of the engine.
	Orders []Order `json:"orders,omitempty"`
}

// Kinds of an order.
const (
	OrderModel   = "model"   // load a model's weights
	OrderAdapter = "adapter" // load an adapter
	OrderVersion = "version" // change to a version
	OrderRole    = "role"    // change the engine's role
)

// Order is something that an engine is told to do.
type Order struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// LoadsWeights says whether the order reads from the weight store, whose rate all
// targets share.
func (o Order) LoadsWeights() bool { return o.Kind == OrderModel || o.Kind == OrderAdapter }

// Profile is a named way of being served; callers pick one for each request.
type Profile struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	// Class is "urgent", "normal" or "batch".
	Class string `json:"class"`
	// Timeout is the default and greatest time limit of a request.
	Timeout Duration `json:"timeout"`
	// Patience is how long a request may wait at the target that holds its
	// prompt prefix before it is offered elsewhere.
	Patience Duration `json:"patience"`
	// MaxAttempts bounds the targets that a request is offered to.
	MaxAttempts int `json:"tries"`
	// RequiresTicket marks requests that are not idempotent: they need a ticket.
	RequiresTicket bool `json:"once,omitempty"`
	// ExpectedTokens is the expected work of an answer, in tokens.
	ExpectedTokens int `json:"tokens"`
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64 `json:"body"`
}

// Workspace is a customer: callers with one or more keys, limits and a weight.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the SHA-256 hashes, in hex, of the callers' keys.
	Keys []string `json:"keys"`
	// Weight is the workspace's share when targets are saturated; 1 if unset.
	Weight float64 `json:"weight,omitempty"`
	// Rate is the requests a second over all entries; 0 is unlimited.
	Rate float64 `json:"rate,omitempty"`
	// Burst is how many requests may come at once.
	Burst float64 `json:"burst,omitempty"`
}

// Budget bounds what the whole fleet may ask of the platform and of itself.
type Budget struct {
	// ReadRate is the calls a second that all processes together may make to the
	// configuration service; a waiting watch counts as one.
	ReadRate float64 `json:"reads"`
	// LoadRate is the weight loads a second that the weight store allows.
	LoadRate float64 `json:"loads"`
	// RetryRatio is the share of an entry's offers that may be retries.
	RetryRatio float64 `json:"retries"`
	// ExportRate is the bytes a second that one agent may spend on KV cache moves.
	ExportRate int64 `json:"export"`
}
