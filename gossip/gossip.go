// Package gossip spreads what every process should know soon: the publication
// in force, load samples, crash suspicions and hosts that leave. A few
// processes watch the platform's service; each process exchanges short messages
// with a few others and fetches what it lacks from whoever told it.
//
// What decides is kept apart from the network: plan.go says who reads the
// service and how often, circle.go whom to exchange with, backoff.go and
// bucket.go how to hold back.
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
	// Changes don't wait for it, as they are pushed at once; it bounds how long
	// a lost push goes unnoticed, and how old load samples grow.
	DefaultInterval = time.Second
	// exchangeTimeout bounds one exchange, so that a frozen peer costs no more
	// than one interval.
	exchangeTimeout = time.Second
	// fetchTimeout bounds one fetch of parts, a megabyte at most.
	fetchTimeout = 5 * time.Second
)

// Node takes part in the gossip for one process. Set the exported fields before
// Run; it implements wire.PeerServer.
type Node struct {
	wire.UnimplementedPeerServer

	// Store is what Run keeps up to date.
	Store *config.Store
	// Name of the process, an agent's is its target's; Address is where it
	// answers peers.
	Name, Address string
	// Model is an agent's own, where the publication does not say it: half of
	// its exchanges go to agents of the same model, whose load samples it can
	// use. Empty for an entry.
	Model string
	// Peers are addresses to ask before a publication is known.
	Peers []string
	// Platform is the service's base URL.
	Platform string
	// HTTP reads the service; http.DefaultClient if nil.
	HTTP *http.Client
	// Dial returns the connection to a peer, which the owner may share and pool.
	Dial func(address string) (grpc.ClientConnInterface, error)

	// Members learns the host lists; nil switches that off.
	Members *member.Tracker
	// Sampler and Detector are carried if set. Lock guards both.
	Sampler  chestnutstep.Sampler
	Detector chestnutstep.Detector
	Lock     sync.Locker
	// Weight is the share of full load that the target asks for.
	Weight func() float64
	// OnWeight is told another target's share.
	OnWeight func(target string, weight float64)

	// Interval between exchanges; DefaultInterval if 0.
	Interval time.Duration
	// OnNotice is told of what operators should see; it must not block.
	OnNotice func(Notice)
	// OnTraffic is told the bytes of each message; it must not block.
	OnTraffic func(Traffic)
	// Seed makes the random choices repeatable; drawn if 0.
	Seed uint64

	mu             sync.Mutex
	rand           *rand.Rand
	neighbours     neighbourSet
	neighboursView *chestnutstep.View // that the circle was chosen from
	recent         recentPeers
	hostEvents     hostEventLog
	eventsReady    chan struct{} // there is news to push
	hostPushes     chan member.Host
	bucket         tokenBucket
	lastExchange   time.Time // of the last exchange that went well
	startedAt      time.Time
	isolated       bool

	puller       puller
	initOnce     sync.Once
	isWatcher    bool
	platformDown bool
}

// NoticeKind names a notice.
type NoticeKind string

// The notices.
const (
	NoticeUnreachable     NoticeKind = "unreachable" // a peer does not answer
	NoticePeersLost       NoticeKind = "lost"        // no peer answers
	NoticePeersFound      NoticeKind = "found"       // a peer answers again
	NoticeHostLeaving     NoticeKind = "leaving"     // a host leaves
	NoticeHostBack        NoticeKind = "back"        // a host no longer leaves
	NoticeWatcher         NoticeKind = "watcher"     // this process began or ceased to watch the service
	NoticePlatformDown    NoticeKind = "down"        // the service does not answer
	NoticePlatformUp      NoticeKind = "up"          // the service answers again
	NoticePlatformStale   NoticeKind = "stale"       // the service went back
	NoticePartUnavailable NoticeKind = "part"        // a part is not to be had
	NoticeShortList       NoticeKind = "short"       // a host list named too few hosts
)

// Notice is something an operator should see.
type Notice struct {
	Kind NoticeKind
	// Subject is the peer's address, the host, or what was read.
	Subject string
	Err     error
}

// Traffic is one exchange or fetch that this process began or answered.
type Traffic struct {
	// In and Out are the bytes of the messages, without framing.
	In, Out int
	// Failed says that an exchange that this process began went wrong.
	Failed bool
}

// Run takes part until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.loop, n.pushLoop, n.hostPushLoop, n.pullLoop, n.readLoop, n.hostsLoop} {
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

// init is called by Run and by the services, whichever comes first.
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

// jitter spreads d by a fifth to either side, so that processes that started
// together don't act together for ever.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*n.rand.Float64()))
}
