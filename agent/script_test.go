package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/gate"
	"chestnutstep.example/chestnutstep/ticket"
	"chestnutstep.example/chestnutstep/wire"
)

// call is a request that the target has received and not answered.
type call struct {
	ctx context.Context
	end chan func() (*http.Response, error)
}

// target replaces a target and its connection: it blocks each request until the script answers it
// or crashes the target.
type target struct {
	mu    sync.Mutex
	boot  string
	down  bool
	calls map[string]*call
	ran   []string
	// sent lists the paths of all requests since the script last asked, but for probes.
	sent []string
	// leaving makes the target announce in answers to probes that it leaves.
	leaving bool
	// orders lists the applied orders; highestFence is the highest fencing number received, and
	// orders with a lower one are refused.
	orders       []string
	highestFence uint64
}

func (t *target) RoundTrip(rq *http.Request) (*http.Response, error) {
	t.mu.Lock()
	boot, down := t.boot, t.down
	if rq.URL.Path != "/control/load" {
		t.sent = append(t.sent, rq.Method+" "+rq.URL.Path)
	}
	t.mu.Unlock()
	if down {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if rq.URL.Path == "/control/orders" {
		return t.order(rq), nil
	}
	if strings.HasPrefix(rq.URL.Path, "/control/") {
		rs := reply(rq, boot, fmt.Sprintf(`{"boot":%q}`, boot))
		if t.isLeaving() {
			rs.Header.Set(chestnutstep.HeaderLeaving, "1")
		}
		return rs, nil
	}
	id := rq.Header.Get(chestnutstep.HeaderRequestID)
	c := &call{ctx: rq.Context(), end: make(chan func() (*http.Response, error), 1)}
	t.mu.Lock()
	t.ran = append(t.ran, id)
	t.calls[id] = c
	t.mu.Unlock()
	select {
	case f := <-c.end:
		return f()
	case <-rq.Context().Done():
		t.mu.Lock()
		delete(t.calls, id)
		t.mu.Unlock()
		return nil, rq.Context().Err()
	}
}

func (t *target) isLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// takeSent returns the requests that reached the target since the last call, but for probes.
func (t *target) takeSent() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.sent
	t.sent = nil
	if len(list) == 0 {
		return "none\n"
	}
	return strings.Join(list, "\n") + "\n"
}

func (t *target) order(rq *http.Request) *http.Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	fence, _ := strconv.ParseUint(rq.Header.Get(chestnutstep.HeaderFencingNumber), 10, 64)
	body, _ := io.ReadAll(rq.Body)
	rs := reply(rq, t.boot, "")
	if fence < t.highestFence {
		rs.StatusCode = http.StatusConflict
		return rs
	}
	t.highestFence = fence
	t.orders = append(t.orders, string(body))
	return rs
}

func reply(rq *http.Request, boot, body string) *http.Response {
	rs := &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: rq,
		Body: io.NopCloser(bytes.NewBufferString(body)), ContentLength: int64(len(body)),
	}
	rs.Header.Set(chestnutstep.HeaderBootID, boot)
	rs.Header.Set(chestnutstep.HeaderRequestID, rq.Header.Get(chestnutstep.HeaderRequestID))
	return rs
}

// harness runs an agent whose clock, target and entries are controlled by a script.
type harness struct {
	t       *testing.T
	agent   *Agent
	target  *target
	now     time.Time
	pub     chestnutstep.Publication
	links   map[string]*link
	tickets map[string]string
	mu      sync.Mutex
	notices []string
}

func newHarness(t *testing.T) *harness {
	s := &harness{t: t, now: time.Now(), links: map[string]*link{}, tickets: map[string]string{}}
	s.target = &target{boot: "boot-1", calls: map[string]*call{}}
	s.pub = chestnutstep.Publication{
		Version: 1,
		Domains: []chestnutstep.Domain{{Name: "a", Region: "r"}},
		Hosts:   []chestnutstep.Host{{Name: "h", Domain: "a"}},
		Models:  []chestnutstep.Model{{Name: "m", Kind: chestnutstep.KindEngine, Floor: 2, Slots: 2, QueueLimit: 4, ColdCap: 2}},
		Targets: []chestnutstep.Target{{Name: "t", Host: "h", Model: "m", Agent: "127.0.0.1:1"}},
	}
	client := &http.Client{Transport: s.target}
	s.agent = &Agent{
		Name: "t", URL: "http://127.0.0.1:2", Incarnation: "1",
		View:     func() *chestnutstep.View { p := s.pub; return chestnutstep.NewView(&p) },
		Gate:     &gate.Gate{},
		Detector: &crash.Detector{Target: "t"},
		Issuer:   &ticket.Issuer{Target: "t", Incarnation: "1", Key: make([]byte, 32), Rand: countingReader{}},
		Answers:  &answer.Store{}, PooledClient: client, UnpooledClient: client,
		Clock:  func() time.Time { return s.now },
		Notify: s.notify,
	}
	s.agent.init()
	s.agent.health.check(s.agent)
	return s
}

// countingReader fills each read with the next byte value, so that nonces differ and test runs
// don't.
type countingReader struct{}

var lastByte byte

func (countingReader) Read(p []byte) (int, error) {
	lastByte++
	for i := range p {
		p[i] = lastByte
	}
	return len(p), nil
}

func (s *harness) runCommand(d *datadriven.TestData) string {
	id := ""
	if len(d.CmdArgs) > 0 && len(d.CmdArgs[0].Vals) == 0 {
		id = d.CmdArgs[0].Key
	}
	if l := s.links[id]; l == nil && strings.Contains("body cancel detach ask", d.Cmd) {
		return "no such link\n"
	}
	switch d.Cmd {
	case "offer":
		return s.offer(d, id)
	case "body":
		s.links[id].appendBody(&wire.Body{Data: []byte(d.Input), Last: d.HasArg("last")})
	case "cancel":
		s.agent.cancelJob(s.links[id].job)
	case "detach":
		s.links[id].close()
	case "sleep":
		dur, err := time.ParseDuration(id)
		assert.NilError(s.t, err)
		s.now = s.now.Add(dur)
		if !d.HasArg("frozen") {
			s.agent.tick()
		}
	case "tick":
		s.agent.tick()
	case "answer":
		a := scriptedAnswer{isUnframed: d.HasArg("unframed"), targetDies: d.HasArg("dies"), status: http.StatusOK, header: http.Header{}}
		d.MaybeScanArgs(s.t, "status", &a.status)
		for _, name := range []string{"Retry-After", "Leaving"} {
			var value string
			d.MaybeScanArgs(s.t, name, &value)
			a.header.Set(name, value)
		}
		return s.answerCall(id, a)
	case "probe":
		s.target.mu.Lock()
		s.target.leaving = d.HasArg("Leaving")
		s.target.mu.Unlock()
		s.agent.health.check(s.agent)
	case "sent":
		return s.target.takeSent()
	case "die":
		s.crashTarget()
	case "revive":
		s.target.mu.Lock()
		s.target.down, s.target.boot = false, "boot-2"
		s.target.mu.Unlock()
		s.agent.health.check(s.agent)
	case "mint":
		s.tickets[id] = s.agent.Issuer.Mint(s.now, "w", 1)[0]
	case "out":
		s.pub.Version++
		s.pub.Domains = []chestnutstep.Domain{{Name: "a", Region: "r", Out: id != "back"}}
		s.agent.tick()
	case "publish":
		return s.publish(d)
	case "orders":
		s.agent.orderSender.sendNext(context.Background(), s.agent)
		s.target.mu.Lock()
		defer s.target.mu.Unlock()
		return strings.Join(append(s.target.orders, ""), "\n")
	case "cache":
		_, err := s.agent.readCache(context.Background(), chatKey{"w", "c"}, 1<<20)
		return fmt.Sprintln(err)
	case "overtake":
		// Another sender, for example a frozen earlier process of this agent, has sent the target a
		// higher number.
		s.target.highestFence = 1 << 63
	case "moved":
		to := "other"
		d.MaybeScanArgs(s.t, "to", &to)
		s.agent.recordMoved(&wire.Moved{Id: id, Workspace: "w", Target: to})
	case "ask":
		return s.outcome(id)
	case "notices":
		return s.takeNotices()
	}
	s.waitSettled()
	return s.state()
}

func (s *harness) notify(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices = append(s.notices, strings.TrimSpace(fmt.Sprintf("%s %s offer %d %s", n.Kind, n.Subject, n.OfferNumber, n.Reason)))
}

// takeNotices returns the notices since the last call.
func (s *harness) takeNotices() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.notices
	s.notices = nil
	return strings.Join(list, "\n") + "\n"
}

// publish applies a new publication version with these orders.
func (s *harness) publish(d *datadriven.TestData) string {
	s.pub.Version++
	s.pub.Targets = []chestnutstep.Target{{Name: "t", Host: "h", Model: "m", Agent: "127.0.0.1:1", Fenced: true}}
	for _, arg := range d.CmdArgs {
		s.pub.Targets[0].Orders = append(s.pub.Targets[0].Orders, chestnutstep.Order{Kind: arg.Key, Name: arg.Vals[0]})
	}
	s.agent.tick()
	return ""
}

func (s *harness) offer(d *datadriven.TestData, id string) string {
	o := &wire.Offer{
		Id: id, Workspace: "w", Model: "m", Method: http.MethodPost, Path: "/v1",
		Remain: int64(10 * time.Second), Idempotent: true, Fingerprint: 1, Chat: "c",
	}
	read := func(key string, to any) { d.MaybeScanArgs(s.t, key, to) }
	var remain, patience, name, from string
	read("remain", &remain)
	read("patience", &patience)
	read("ticket", &name)
	read("content", &o.Fingerprint)
	read("size", &o.Size)
	read("crashed", &from)
	if remain != "" {
		v, err := time.ParseDuration(remain)
		assert.NilError(s.t, err)
		o.Remain = int64(v)
	}
	if patience != "" {
		v, err := time.ParseDuration(patience)
		assert.NilError(s.t, err)
		o.Patience = int64(v)
	}
	if from != "" {
		o.Crashed = strings.Split(from, "+")
	}
	o.Idempotent, o.Confirms = !d.HasArg("once"), d.HasArg("confirms")
	o.Ticket = s.tickets[name]
	adm := s.agent.admit(o)
	s.waitSettled()
	if adm.refuse != nil {
		extra := ""
		if adm.refuse.Ticket != "" {
			extra = " with a fresh ticket"
		}
		if adm.refuse.Moved != "" {
			extra = " to " + adm.refuse.Moved
		}
		if adm.refuse.Reason == string(chestnutstep.ReasonPaused) {
			extra = " after " + s.roundRetry(adm.refuse)
		}
		return fmt.Sprintf("refused %s run=%s%s\n%s", adm.refuse.Reason, adm.refuse.Run, extra, s.state())
	}
	name = id
	for s.links[name] != nil {
		name += "'"
	}
	s.links[name] = &link{agent: s.agent, job: adm.job}
	how := "taken"
	if adm.joined {
		how = "joined"
	}
	return fmt.Sprintf("%s as %s\n%s", how, name, s.state())
}

// roundRetry returns the time after which a refused caller can return, without the part that differs by
// request, in tenths of a second.
func (s *harness) roundRetry(r *wire.Refuse) string {
	return (time.Duration(r.Retry) / (100 * time.Millisecond) * (100 * time.Millisecond)).String()
}

// scriptedAnswer is a whole answer of the target.
type scriptedAnswer struct {
	status int
	header http.Header
	// isUnframed reports whether the answer ends with its connection, and targetDies whether that is
	// the end of the target's process.
	isUnframed, targetDies bool
}

// answerCall completes a blocked request.
func (s *harness) answerCall(id string, a scriptedAnswer) string {
	s.target.mu.Lock()
	c := s.target.calls[id]
	delete(s.target.calls, id)
	s.target.down = s.target.down || a.targetDies
	s.target.mu.Unlock()
	if c == nil {
		return "the target runs no such request\n"
	}
	rq, err := http.NewRequest(http.MethodPost, "http://x/", nil)
	assert.NilError(s.t, err)
	rq.Header.Set(chestnutstep.HeaderRequestID, id)
	c.end <- func() (*http.Response, error) {
		rs := reply(rq, s.target.boot, "answer to "+id)
		rs.StatusCode = a.status
		for name, values := range a.header {
			rs.Header[name] = values
		}
		if a.isUnframed {
			rs.ContentLength, rs.Close = -1, true
		}
		return rs, nil
	}
	s.waitSettled()
	return s.state()
}

// crashTarget crashes the target with all requests that run there.
func (s *harness) crashTarget() {
	s.target.mu.Lock()
	s.target.down = true
	s.target.mu.Unlock()
	for _, id := range s.running() {
		s.target.calls[id].end <- func() (*http.Response, error) { return nil, errors.New("connection reset") }
		delete(s.target.calls, id)
	}
	s.waitSettled()
	s.agent.health.check(s.agent)
}

func (s *harness) running() []string {
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	var ids []string
	for _, j := range s.agent.jobs {
		if j.state == jobRunning {
			ids = append(ids, j.offer.Id)
		}
	}
	sort.Strings(ids)
	return ids
}

// waitSettled waits until the running jobs match the requests blocked at the target.
func (s *harness) waitSettled() {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if n, open := len(s.running()), s.target.openCalls(); n != open {
			return poll.Continue("%d run, %d are held", n, open)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

// openCalls returns the number of requests that have not been canceled.
func (t *target) openCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.calls {
		if c.ctx.Err() == nil {
			n++
		}
	}
	return n
}

// outcome returns a text of what a reader of the request's answer receives.
func (s *harness) outcome(id string) string {
	reader, err := s.links[id].job.log.NewReader(0)
	if err != nil {
		b := s.links[id].goneMessage()
		return fmt.Sprintf("broken: %s run=%s\n", b.Reason, b.Run)
	}
	defer reader.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	var body []byte
	for {
		p, err := reader.Next(ctx)
		switch {
		case err != nil:
			return fmt.Sprintf("still running, %d bytes\n", len(body))
		case p.Last != nil:
			return fmt.Sprintf("whole: %s\n", body)
		case p.Broken != nil:
			return fmt.Sprintf("broken: %s run=%s\n", p.Broken.Reason, p.Broken.Run)
		}
		body = append(body, p.Data...)
	}
}

func (s *harness) state() string {
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	names := map[jobState]string{jobQueued: "waiting", jobAccepted: "placed", jobRunning: "running", jobFinished: "over"}
	var out []string
	for _, j := range s.agent.jobs {
		out = append(out, fmt.Sprintf("%s %s\n", j.offer.Id, names[j.state]))
	}
	sort.Strings(out)
	l := s.agent.Gate.Load(s.now)
	return strings.Join(out, "") + fmt.Sprintf("load %d running, %d waiting\n", l.Running, l.Waiting)
}

// TestScripts runs the scripts in testdata. The first lines of each describe the failure and how it
// comes about.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newHarness(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.runCommand(d)
		})
	})
}

// TestOtherPublicationOfSameVersion guards against an agent that compares versions alone and keeps
// accepting work in a domain that is taken out of service. Two operators publish different content
// under one version: first one with the failure domain in service, then one with it out, which wins
// because its hash is higher.
func TestOtherPublicationOfSameVersion(t *testing.T) {
	s := newHarness(t)
	assert.Equal(t, string(s.agent.mintRefusal()), "")
	v := s.pub.Version
	s.pub.Domains = []chestnutstep.Domain{{Name: "a", Region: "r", Out: true}}
	s.agent.tick()
	assert.Equal(t, s.pub.Version, v)
	adm := s.agent.admit(&wire.Offer{Id: "a", Workspace: "w", Model: "m", Remain: int64(time.Second), Idempotent: true})
	assert.Equal(t, adm.refuse.GetReason(), string(chestnutstep.ReasonOut))
	assert.Equal(t, s.agent.TargetState(), targetOut)
}

// TestTargetStateFollowsChart guards against a target that accepts work too early when several
// conditions overlap. The target crashes and restarts while operators have it out of service, and
// its host is listed as leaving when they put it back.
func TestTargetStateFollowsChart(t *testing.T) {
	s := newHarness(t)
	assert.Equal(t, s.agent.TargetState(), targetCold)
	leaving := false
	s.agent.HostLeaving = func() bool { return leaving }
	for _, c := range []struct {
		do   func()
		want string
	}{
		{func() { s.agent.recordAnswer(true) }, targetWarming},
		{func() { s.agent.recordAnswer(false) }, "warm"},
		{func() { s.pub.Domains[0].Out = true; s.agent.tick() }, targetOut},
		{s.crashTarget, targetOut},
		{func() { s.pub.Domains[0].Out = false; s.agent.tick() }, targetDown},
		{func() { leaving = true; s.agent.tick() }, targetLeaving},
		{func() { s.target.down, s.target.boot = false, "boot-2"; s.agent.health.check(s.agent) }, targetLeaving},
		{func() { leaving = false; s.agent.tick() }, targetCold},
	} {
		c.do()
		assert.Equal(t, s.agent.TargetState(), c.want)
	}
}
