package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/agent"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/dial"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/gate"
	"chestnutstep.example/chestnutstep/guard"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/route"
	"chestnutstep.example/chestnutstep/ticket"
	"chestnutstep.example/chestnutstep/wire"
)

// cluster is one engine and one service with their agents, and two entries, in one process over
// real sockets.
type cluster struct {
	t       *testing.T
	mu      sync.Mutex
	view    *chestnutstep.View
	pub     *chestnutstep.Publication
	engine  *fake.Engine
	service *fake.Service
	pool    *dial.Pool
	agents  []*agent.Agent
	targets []string
	entries []*httptest.Server
	// movedNotices lists the Moved records of the agents, each as a request and its target.
	movedNotices []string
	// onOffer is the OnOffer callback of entries added afterwards.
	onOffer func(Offer)
}

type discardHosts struct{}

func (discardHosts) RecordFailure(time.Time, string) {}
func (discardHosts) RecordSuccess(time.Time, string) {}
func (discardHosts) RecordRefusal(time.Time, string) {}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newCluster(t *testing.T) *cluster {
	p := &cluster{t: t, engine: &fake.Engine{}, service: &fake.Service{}, onOffer: func(Offer) {}}
	p.pool = &dial.Pool{Credentials: insecure.NewCredentials()}
	p.pub = &chestnutstep.Publication{
		Version: 1,
		Domains: []chestnutstep.Domain{{Name: "a", Region: "r"}},
		Hosts:   []chestnutstep.Host{{Name: "h", Domain: "a"}},
		Models: []chestnutstep.Model{
			{Name: "label", Kind: chestnutstep.KindEngine, Floor: 8, Slots: 8, QueueLimit: 8, ColdCap: 8, DoneMarker: "event: done"},
			{Name: "desk", Kind: chestnutstep.KindService, Floor: 8, Slots: 8, QueueLimit: 8, ColdCap: 8},
		},
		Profiles: []chestnutstep.Profile{
			{Name: "quick", Model: "label", Class: "urgent", Timeout: chestnutstep.Duration(20 * time.Second), MaxAttempts: 2, ExpectedTokens: 10, MaxBodyBytes: 1 << 20},
			{Name: "book", Model: "desk", Class: "normal", Timeout: chestnutstep.Duration(20 * time.Second), MaxAttempts: 2, ExpectedTokens: 1, MaxBodyBytes: 1 << 20, RequiresTicket: true},
		},
		Workspaces: []chestnutstep.Workspace{{Name: "desk", Keys: []string{hash("k")}}},
	}
	p.addAgent("label-1", "label", p.engine)
	p.addAgent("desk-1", "desk", p.service)
	p.publish()
	for range 2 {
		p.addEntry()
	}
	return p
}

func ranker(v *chestnutstep.View) chestnutstep.Ranker {
	t := &route.Table{View: v}
	t.Build()
	return t
}

func (p *cluster) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pub.Version++
	pub := *p.pub
	pub.Models = slices.Clone(p.pub.Models)
	pub.Targets = slices.Clone(p.pub.Targets)
	p.view = chestnutstep.NewView(&pub)
}

func (p *cluster) currentView() *chestnutstep.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

func (p *cluster) addAgent(name, model string, target http.Handler) {
	back := httptest.NewServer(target)
	p.t.Cleanup(back.Close)
	p.targets = append(p.targets, back.URL)
	pooled, unpooled := agent.Clients()
	a := &agent.Agent{
		Name: name, URL: back.URL, Incarnation: "1", View: p.currentView,
		Gate: &gate.Gate{}, Detector: &crash.Detector{Target: name}, Issuer: &ticket.Issuer{Target: name},
		Answers: &answer.Store{}, PooledClient: pooled, UnpooledClient: unpooled, Ranker: ranker, Notify: p.recordNotice,
		Dial: func(addr string) (wire.AgentClient, error) {
			conn, err := p.pool.Conn(addr)
			return wire.NewAgentClient(conn), err
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(p.t, err)
	p.pub.Targets = append(p.pub.Targets, chestnutstep.Target{
		Name: name, Host: "h", Model: model, Agent: l.Addr().String(),
	})
	p.publish()
	srv := grpc.NewServer()
	wire.RegisterAgentServer(srv, a.Service())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = a.Run(ctx) }()
	go func() { _ = srv.Serve(l) }()
	p.t.Cleanup(func() { cancel(); srv.Stop() })
	p.agents = append(p.agents, a)
}

func (p *cluster) recordNotice(n agent.Notice) {
	if n.Kind != agent.NoticeMoved {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.movedNotices = append(p.movedNotices, n.Subject+" at "+n.After)
}

// hasMovedNotice reports whether an agent has recorded the target that runs a request.
func (p *cluster) hasMovedNotice(id, target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.movedNotices, id+" at "+target)
}

func (p *cluster) addEntry() {
	e := &Entry{
		Name: "e", Region: "r", View: p.currentView, Hosts: discardHosts{},
		Ranker:      ranker,
		Links:       p.pool,
		RetryBudget: &retry.TokenBucket{}, FailoverBudget: retry.NewStepBudget(),
		EntryCount: func() int { return 1 }, Clock: time.Now, Notify: func(Notice) {}, OnOffer: p.onOffer,
	}
	s := httptest.NewUnstartedServer(e)
	s.Config.ConnContext = guard.ConnContext
	s.Start()
	p.t.Cleanup(s.Close)
	p.entries = append(p.entries, s)
}

func (p *cluster) send(entry int, path, body string, headers ...string) (*http.Response, string) {
	rq, err := http.NewRequest(http.MethodPost, p.entries[entry].URL+path, strings.NewReader(body))
	assert.NilError(p.t, err)
	rq.Header.Set("Authorization", "Bearer k")
	for i := 0; i < len(headers); i += 2 {
		rq.Header.Set(headers[i], headers[i+1])
	}
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(p.t, err)
	defer rs.Body.Close()
	b, err := io.ReadAll(rs.Body)
	assert.NilError(p.t, err)
	return rs, string(b)
}

// TestRequestIsServed guards against a request that does not reach its target and return through agent and
// entry with run status, hint and complete answer.
func TestRequestIsServed(t *testing.T) {
	p := newCluster(t)
	rs, body := p.send(0, "/v1/chat", `{"prompt":10,"output":5}`, chestnutstep.HeaderProfile, "quick", chestnutstep.HeaderChat, "c1")
	assert.Equal(t, rs.StatusCode, 200, body)
	assert.Equal(t, rs.Header.Get(chestnutstep.HeaderRun), "yes")
	assert.Equal(t, rs.Header.Get(chestnutstep.HeaderHint), "label-1")
	assert.Assert(t, strings.Contains(body, "event: done"), body)
}

// TestTicketRunsOnce guards against a double booking. A caller books, loses the answer and sends
// the booking again through another entry; without tickets it would run twice.
func TestTicketRunsOnce(t *testing.T) {
	p := newCluster(t)
	book := []string{chestnutstep.HeaderProfile, "book"}
	rs, body := p.send(0, "/bookings", `{"action":"a1"}`, book...)
	assert.Equal(t, rs.StatusCode, 428, body)
	assert.Equal(t, rs.Header.Get(chestnutstep.HeaderRun), "no")
	book = append(book, chestnutstep.HeaderTicket, rs.Header.Get(chestnutstep.HeaderTicket))
	first, body1 := p.send(0, "/bookings", `{"action":"a1"}`, book...)
	again, body2 := p.send(1, "/bookings", `{"action":"a1"}`, book...)
	assert.Equal(t, first.StatusCode, 200, body1)
	assert.Equal(t, again.StatusCode, 200, body2)
	assert.Equal(t, body1, body2)
	assert.Equal(t, strings.Contains(body1, `"times":1`), true, body1)
}

// TestCondemnedContentIsRefusedAtOnce guards against a request that crashes engine after engine.
// Its caller retries it at once under another id, before gossip has reached all agents, and each
// attempt would crash one more engine with all answers in progress there.
func TestCondemnedContentIsRefusedAtOnce(t *testing.T) {
	p := newCluster(t)
	e := p.entries[0].Config.Handler.(*Entry)
	e.Detector = &crash.Detector{}
	body := `{"prompt":10,"output":5,"note":"bad"}`
	ask := []string{chestnutstep.HeaderProfile, "quick", chestnutstep.HeaderChat, "c1"}
	rs, text := p.send(0, "/v1/chat", body, ask...)
	assert.Equal(t, rs.StatusCode, 200, text)
	e.recordCrash(crash.Fingerprint("desk", "/v1/chat", []byte(body)), []string{"u", "v"})
	rs, text = p.send(0, "/v1/chat", body, ask...)
	assert.Equal(t, rs.StatusCode, 422, text)
	assert.Equal(t, rs.Header.Get(chestnutstep.HeaderRun), "no")
	rs, text = p.send(0, "/v1/chat", `{"prompt":10,"output":5,"note":"good"}`, ask...)
	assert.Equal(t, rs.StatusCode, 200, text)
}

// TestSameKeyInAnotherChatDoesNotJoin guards against a caller that receives the answer of another
// chat. The same key and body in another chat are a different request.
func TestSameKeyInAnotherChatDoesNotJoin(t *testing.T) {
	p := newCluster(t)
	ask := []string{chestnutstep.HeaderProfile, "quick", chestnutstep.HeaderIdempotencyKey, "k1", chestnutstep.HeaderChat}
	rs, text := p.send(0, "/v1/chat", `{"prompt":10,"output":5}`, append(ask, "c1")...)
	assert.Equal(t, rs.StatusCode, 200, text)
	rs, text = p.send(0, "/v1/chat", `{"prompt":10,"output":5}`, append(ask, "c2")...)
	assert.Equal(t, rs.StatusCode, 409, text)
}

// TestLeavingTargetMigratesChats guards against a chat whose whole history is prefilled again
// after operators take its target out of service. Its next request goes to another target, which
// must have received the KV cache.
func TestLeavingTargetMigratesChats(t *testing.T) {
	p := newCluster(t)
	other := &fake.Engine{}
	p.addAgent("label-2", "label", other)
	// Prefilling 4,000 tokens takes 4 s at the published rate, moving them far less.
	p.pub.Models[0].PrefillRate, p.pub.Models[0].CacheBytesPerToken = 1000, 64
	p.pub.Budget.ExportRate = 100 << 20
	p.publish()
	ask := []string{chestnutstep.HeaderProfile, "quick", chestnutstep.HeaderChat, "c1"}
	rs, text := p.send(0, "/v1/chat", `{"prompt":4000,"output":5}`, ask...)
	assert.Equal(t, rs.StatusCode, 200, text)
	home := rs.Header.Get(chestnutstep.HeaderHint)
	next := map[string]*fake.Engine{"label-1": other, "label-2": p.engine}[home]
	poll.WaitOn(t, func(poll.LogT) poll.Result { return p.toggleTarget(home, next) }, poll.WithTimeout(20*time.Second))
	rs, text = p.send(1, "/v1/chat", `{"prompt":4100,"output":5}`, append(ask, chestnutstep.HeaderHint, home)...)
	assert.Equal(t, rs.StatusCode, 200, text)
	assert.Assert(t, rs.Header.Get(chestnutstep.HeaderHint) != home)
	assert.Equal(t, rs.Header.Get(chestnutstep.HeaderCachedTokens), "4005")
}

// toggleTarget publishes the target alternately in and out of service until its engine's delayed
// cache events have listed the chat at its agent and the other engine has received the chat.
func (p *cluster) toggleTarget(name string, next *fake.Engine) poll.Result {
	for i := range p.pub.Targets {
		if t := &p.pub.Targets[i]; t.Name == name {
			t.Out = !t.Out
			defer func() { t.Out = true; p.publish() }()
		}
	}
	p.publish()
	rq := httptest.NewRequest(http.MethodGet, "/control/kv?workspace=desk&chat=c1", nil)
	w := httptest.NewRecorder()
	next.ServeHTTP(w, rq)
	if w.Code != http.StatusOK {
		time.Sleep(300 * time.Millisecond)
		return poll.Continue("the other engine answers %d", w.Code)
	}
	return poll.Success()
}
