// Package gossip distributes state that every process needs within seconds: the
// publication in force, load samples, crash suspicions and leaving hosts. A few
// processes, the watchers, watch the platform's configuration service. Each
// process exchanges short messages with a few neighbours and fetches missing
// publications from the peers that announced them. A process never replaces a
// publication with an older one, and the fleet's reads of the service stay within
// the published budget.
//
// The decisions don't depend on the network: plan.go decides which processes
// read the service and how often, neighbours.go chooses the peers, backoff.go
// and bucket.go limit retries and reads.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/member"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// DefaultInterval is the time between two exchanges that a process begins.
	// Changes are pushed at once and don't wait for it. It bounds how long a
	// lost push stays unnoticed and how old load samples become.
	DefaultInterval = time.Second
	// exchangeTimeout bounds one exchange, so that an unresponsive peer costs
	// at most one interval.
	exchangeTimeout = time.Second
	// fetchTimeout bounds one fetch of parts, which returns up to 1 MiB.
	fetchTimeout = 5 * time.Second
)

// Node runs the gossip protocol of one process and implements wire.PeerServer.
// Set the exported fields before Run.
type Node struct {
	wire.UnimplementedPeerServer

	// Store holds the publication that Run keeps up to date.
	Store *config.Store
	// Name is the process name; an agent uses the name of its target. Address
	// is where the process answers peers.
	Name, Address string
	// Model is the model of an agent's target, used when the publication
	// doesn't list it. Half of an agent's exchanges go to agents of the same
	// model, because it can use their load samples. Empty for an entry.
	Model string
	// Peers are the addresses of the peers to contact before a publication is
	// known.
	Peers []string
	// Platform is the base URL of the platform's service.
	Platform string
	// HTTP is the client that reads the service; nil means http.DefaultClient.
	HTTP *http.Client
	// Dial returns the connection to a peer. The owner of the node can share
	// and pool connections.
	Dial func(address string) (grpc.ClientConnInterface, error)

	// Members receives the host lists and host events; nil disables both.
	Members *member.Tracker
	// Sampler and Detector supply and merge the load samples and suspicions of
	// messages; nil disables each. Lock guards both.
	Sampler  chestnutstep.Sampler
	Detector chestnutstep.Detector
	Lock     sync.Locker
	// Weight returns the share of full load that this process's target
	// requests.
	Weight func() float64
	// OnWeight is called with the share that another target requests.
	OnWeight func(target string, weight float64)

	// Interval is the time between exchanges; 0 means DefaultInterval.
	Interval time.Duration
	// OnNotice is called with notices for operators; it must not block.
	OnNotice func(Notice)
	// OnTraffic is called with the size of each message; it must not block.
	OnTraffic func(Traffic)
	// Seed makes the random choices reproducible; 0 means a random seed.
	Seed uint64

	mu             sync.Mutex
	rand           *rand.Rand
	neighbours     neighbourSet
	neighboursView *chestnutstep.View // that the candidates come from
	recent         recentPeers
	hostEvents     hostEventLog
	eventsReady    chan struct{} // signals host events to push
	hostPushes     chan member.Host
	bucket         tokenBucket
	lastExchange   time.Time // last successful exchange
	startedAt      time.Time
	isolated       bool

	puller       puller
	initOnce     sync.Once
	isWatcher    bool
	platformDown bool
}

// NoticeKind identifies the kind of a notice.
type NoticeKind string

// Kinds of notices.
const (
	NoticeUnreachable     NoticeKind = "unreachable" // a peer does not answer
	NoticePeersLost       NoticeKind = "lost"        // no peer answers
	NoticePeersFound      NoticeKind = "found"       // a peer answers again
	NoticeHostLeaving     NoticeKind = "leaving"     // a host is leaving
	NoticeHostBack        NoticeKind = "back"        // a host is no longer leaving
	NoticeWatcher         NoticeKind = "watcher"     // this process started or stopped watching the service
	NoticePlatformDown    NoticeKind = "down"        // the service does not answer
	NoticePlatformUp      NoticeKind = "up"          // the service answers again
	NoticePlatformStale   NoticeKind = "stale"       // the service returned older state
	NoticePartUnavailable NoticeKind = "part"        // a part is unavailable or corrupt
	NoticeShortList       NoticeKind = "short"       // a host list contained too few hosts
)

// Notice is an event to report to operators.
type Notice struct {
	Kind NoticeKind
	// Subject is the peer's address, the host, or the name of the value read.
	Subject string
	Err     error
}

// Traffic describes one exchange or fetch that this process began or answered.
type Traffic struct {
	// In and Out are the sizes of the messages in bytes, without framing.
	In, Out int
	// Failed reports whether an exchange begun by this process failed.
	Failed bool
}

// Run runs the protocol until ctx is done and returns the error of ctx.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.exchangeLoop, n.pushLoop, n.hostPushLoop, n.pullLoop, n.readLoop, n.hostsLoop} {
		wg.Add(1)
		go n.run(ctx, &wg, loop)
	}
	wg.Wait()
	return ctx.Err()
}

func (n *Node) run(ctx context.Context, wg *sync.WaitGroup, loop func(context.Context)) {
	defer wg.Done()
	loop(ctx)
}

// init sets defaults. Run and the RPC handlers call it; only the first call has
// an effect.
func (n *Node) init() {
	n.initOnce.Do(func() {
		if n.Seed == 0 {
			n.Seed = rand.Uint64()
		}
		n.rand = rand.New(rand.NewPCG(n.Seed, 0))
		n.puller.wake = make(chan struct{}, 1)
		n.eventsReady = make(chan struct{}, 1)
		n.hostPushes = make(chan member.Host, maxKeptEvents)
		n.startedAt = time.Now()
		if n.Interval == 0 {
			n.Interval = DefaultInterval
		}
		if n.HTTP == nil {
			n.HTTP = http.DefaultClient
		}
		if n.Lock == nil {
			n.Lock = new(sync.Mutex)
		}
	})
}

func (n *Node) notify(kind NoticeKind, subject string, err error) {
	if n.OnNotice != nil {
		n.OnNotice(Notice{Kind: kind, Subject: subject, Err: err})
	}
}

func (n *Node) count(t Traffic) {
	if n.OnTraffic != nil {
		n.OnTraffic(t)
	}
}

// jitter varies d by up to 20% in either direction, so that processes started
// at the same time don't stay synchronized.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*n.rand.Float64()))
}
