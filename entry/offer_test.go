package entry

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/wire"
)

// offerRecorder collects the results of an entry's offers.
type offerRecorder struct {
	mu   sync.Mutex
	list []Offer
}

func (o *offerRecorder) add(one Offer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, one)
}

// unresponsiveAgent accepts streams and never answers an offer.
type unresponsiveAgent struct{ wire.UnimplementedAgentServer }

func (unresponsiveAgent) Run(st grpc.BidiStreamingServer[wire.Up, wire.Down]) error {
	<-st.Context().Done()
	return st.Context().Err()
}

func startUnresponsiveAgent(t *testing.T) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := grpc.NewServer()
	wire.RegisterAgentServer(srv, unresponsiveAgent{})
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return l.Addr().String()
}

// TestOffersAreReported guards against a request whose path can't be reconstructed from the log:
// which agents were asked, their answers, and the time until the next one was asked.
func TestOffersAreReported(t *testing.T) {
	p := newCluster(t)
	p.addAgent("label-2", "label", &fake.Engine{})
	var got offerRecorder
	p.onOffer = got.add
	p.addEntry()
	query := chestnutstep.RankQuery{Workspace: "desk", Chat: "c", Model: "label", Region: "r"}
	first := ranker(p.currentView()).Rank(nil, query, 1)[0].Name
	for i := range p.pub.Targets {
		if p.pub.Targets[i].Name == first {
			p.pub.Targets[i].Agent = startUnresponsiveAgent(t)
		}
	}
	p.publish()
	rs, body := p.send(2, "/v1/chat", `{"prompt":1,"output":1}`,
		chestnutstep.HeaderProfile, "quick", chestnutstep.HeaderChat, "c", chestnutstep.HeaderIdempotencyKey, "id")
	assert.Equal(t, rs.StatusCode, http.StatusOK, body)
	got.mu.Lock()
	defer got.mu.Unlock()
	assert.Equal(t, len(got.list), 2, "%+v", got.list)
	assert.Equal(t, got.list[0].Target, first)
	assert.Equal(t, got.list[0].Answer, OfferUnresponsive)
	assert.Assert(t, got.list[0].After >= offerTimeout)
	assert.Equal(t, got.list[1].Answer, OfferAccepted)
	assert.Equal(t, got.list[1].Number, 2)
	assert.Assert(t, got.list[1].Target != first)
}
