package gossip

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/wire"
)

// directConn is a connection that calls a node in the same process.
type directConn struct {
	grpc.ClientConnInterface
	node *Node
}

func (d directConn) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	m, err := d.node.Gossip(ctx, args.(*wire.GossipMessage))
	proto.Merge(reply.(*wire.GossipMessage), m)
	return err
}

// recordingSampler records what is merged into it.
type recordingSampler struct {
	stubSampler
	merged   []chestnutstep.Sample
	suspects []chestnutstep.Suspicion
}

func (l *recordingSampler) Merge(_ time.Time, s []chestnutstep.Sample) {
	l.merged = append(l.merged, s...)
}

type detector struct {
	chestnutstep.Detector
	l *recordingSampler
}

func (j detector) Suspicions(time.Time, int) []chestnutstep.Suspicion { return j.l.suspects }
func (j detector) Merge(_ time.Time, list []chestnutstep.Suspicion)   { j.l.suspects = list }

// TestSamplesAndSuspicionsCarryAges guards against sending timestamps instead
// of ages. With timestamps, a host whose clock is a minute ahead would make old
// samples look fresh, and its load would outlive it on all other processes.
func TestSamplesAndSuspicionsCarryAges(t *testing.T) {
	now := time.Now()
	var sent, received recordingSampler
	sent.samples = []chestnutstep.Sample{{Target: "t1", Model: "m", Load: 3, SeenAt: now.Add(-5 * time.Second)}}
	sent.suspects = []chestnutstep.Suspicion{{Fingerprint: 7, CrashedTargets: []string{"t1"}, SeenAt: now.Add(-time.Minute)}}
	weights := make(map[string]float64)
	b := &Node{
		Name: "b", Store: new(config.Store), Sampler: &received, Detector: detector{l: &received},
		OnWeight: func(target string, w float64) { weights[target] = w },
	}
	a := &Node{
		Name: "a", Store: new(config.Store), Sampler: &sent, Detector: detector{l: &sent}, Weight: func() float64 { return 0.5 },
		Dial: func(string) (grpc.ClientConnInterface, error) { return directConn{node: b}, nil },
	}
	a.init()
	a.exchange(t.Context(), "b", a.message(time.Now()))

	assert.Equal(t, len(received.merged), 1)
	age := time.Since(received.merged[0].SeenAt)
	assert.Assert(t, age >= 5*time.Second && age < 30*time.Second, "%v", age)
	assert.Equal(t, received.merged[0].Load, 3.0)
	assert.DeepEqual(t, received.suspects[0].CrashedTargets, []string{"t1"})
	assert.Assert(t, time.Since(received.suspects[0].SeenAt) >= time.Minute)
	assert.Equal(t, weights["a"], 0.5)
}
