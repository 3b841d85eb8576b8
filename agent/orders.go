package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/order"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// orderInterval is the interval at which the agent compares the orders applied by its engine
	// with those of the publication.
	orderInterval = time.Second
	// orderTimeout is the timeout for sending one order. The engine only acknowledges it; loading
	// continues in the background.
	orderTimeout = 10 * time.Second
)

// orderSender sends the engine the published orders that it has not applied, one at a time, each
// with its fencing number. A restarted engine has lost all orders, so all are sent again.
type orderSender struct {
	scheduler order.Scheduler
	permits   order.PermitServer
	// applied holds the orders that the engine has applied since its last start.
	applied map[chestnutstep.Order]bool
	bootID  string
}

func (s *orderSender) loop(ctx context.Context, a *Agent) {
	tick := time.NewTicker(orderInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sendNext(ctx, a)
		}
	}
}

// sendNext sends at most one order. It checks that the scheduler is ready before it acquires a
// permit, as an unused permit is lost to the targets that could use it.
func (s *orderSender) sendNext(ctx context.Context, a *Agent) {
	o, ok := s.nextOrder(a)
	if !ok || !s.isReady(a) {
		return
	}
	if o.LoadsWeights() && !a.acquirePermit(ctx) {
		return
	}
	s.send(ctx, a, o)
}

// nextOrder returns the first published order that the engine has not applied.
func (s *orderSender) nextOrder(a *Agent) (chestnutstep.Order, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.View()
	if v == nil || v.Targets[a.Name] == nil || a.health.isDown || a.health.bootID == "" {
		return chestnutstep.Order{}, false
	}
	t := v.Targets[a.Name]
	s.scheduler.Fenced = t.Fenced
	if s.bootID != a.health.bootID {
		s.bootID = a.health.bootID
		s.applied = make(map[chestnutstep.Order]bool)
		s.scheduler.EngineRestarted(a.Clock())
	}
	for _, o := range t.Orders {
		if !s.applied[o] {
			return o, true
		}
	}
	return chestnutstep.Order{}, false
}

func (s *orderSender) isReady(a *Agent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return s.scheduler.IsReady(a.Clock())
}

// acquirePermit asks the permit servers that limit the rate of the weight store; one permit is
// enough. Without them, a failure domain that starts cold requests all its weights from the store
// at once, and the store rejects requests for as long as the targets retry.
func (a *Agent) acquirePermit(ctx context.Context) bool {
	v := a.View()
	if v == nil || v.Publication.Budget.LoadRate <= 0 {
		return true
	}
	for _, name := range order.PermitServers(targetNames(v), order.DefaultPermitServers) {
		if a.acquirePermitFrom(ctx, v, name) {
			return true
		}
	}
	return false
}

func (a *Agent) acquirePermitFrom(ctx context.Context, v *chestnutstep.View, name string) bool {
	if name == a.Name {
		ok, _ := a.grantPermit()
		return ok
	}
	if a.Dial == nil {
		return false
	}
	peer, err := a.Dial(v.Targets[name].Agent)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := peer.Permit(ctx, &wire.PermitRequest{Target: a.Name})
	return err == nil && reply.Ok
}

// grantPermit grants a permit if this agent is a permit server.
func (a *Agent) grantPermit() (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.orderSender.permits.Grant(a.Clock())
}

func targetNames(v *chestnutstep.View) []string {
	names := make([]string, 0, len(v.Publication.Targets))
	for i := range v.Publication.Targets {
		names = append(names, v.Publication.Targets[i].Name)
	}
	return names
}

// Permit grants or refuses another agent a permit to load weights.
func (s *service) Permit(context.Context, *wire.PermitRequest) (*wire.PermitReply, error) {
	ok, wait := s.grantPermit()
	return &wire.PermitReply{Ok: ok, Wait: int64(wait)}, nil
}

// send sends one order to the engine and records the result.
func (s *orderSender) send(ctx context.Context, a *Agent, o chestnutstep.Order) {
	if a.pauses.State(a.stamp(), a.instance()).Blocked() {
		return // the order stays due
	}
	job, err := s.submit(a, o)
	if err != nil {
		return
	}
	event := order.Finished
	if err := a.sendOrder(ctx, o, job.Fence); err != nil {
		event = order.Lost
		if errors.Is(err, errOrderRefused) {
			event = order.Refused
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = s.scheduler.Complete(a.Clock(), job.Fence, event)
	if event == order.Finished {
		s.applied[o] = true
	}
	a.Notify(Notice{
		Kind: NoticeOrder, Subject: o.Kind + " " + o.Name,
		Before: job.Fence.String(), After: string(event),
	})
}

// submit gets the fencing number of an order and registers the send right before the call.
func (s *orderSender) submit(a *Agent, o chestnutstep.Order) (order.Job, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.View()
	if v == nil {
		return order.Job{}, errors.New("no publication")
	}
	now := a.Clock()
	version := v.Publication.Version
	job, err := s.scheduler.Submit(now, order.Order{Kind: o.Kind, Name: o.Name, Version: version})
	if err != nil {
		return order.Job{}, err
	}
	return job, s.scheduler.BeginSend(now, job.Fence, version)
}

// errOrderRefused reports that the engine refused an order, for example because of an old fencing
// number.
var errOrderRefused = errors.New("the engine refused the order")

func (a *Agent) sendOrder(ctx context.Context, o chestnutstep.Order, f order.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, a.URL+"/control/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	rq.Header.Set(chestnutstep.HeaderFencingNumber, f.String())
	rs, err := a.sendControl(a.UnpooledClient, rq)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	defer rs.Body.Close()
	if rs.StatusCode/100 != 2 {
		return errors.Wrapf(errOrderRefused, "status %d", rs.StatusCode)
	}
	return nil
}
