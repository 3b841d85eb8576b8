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
	// orderInterval is how often the agent compares what its engine was told with
	// what the publication says.
	orderInterval = time.Second
	// orderTimeout bounds one order to the engine: it is an acknowledgement, the
	// loading itself goes on behind it.
	orderTimeout = 10 * time.Second
)

// orderSender brings the engine to what the publication says: it sends the orders
// that are missing, one after the other, each with its fencing number. An
// engine that restarts has forgotten what it was told, so all are sent again.
type orderSender struct {
	scheduler order.Scheduler
	permits   order.PermitServer
	// applied lists the orders that the engine's present life has followed.
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

// sendNext sends at most one order. Whether the desk is ready is asked first: a
// permit that is taken and not used is lost to the targets that could use it.
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

// nextOrder is the first published order that the engine has not followed.
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

// acquirePermit asks the wardens of the weight store's rate, of which one is
// enough. Without them a failure domain that starts cold at once asks the store
// for everything at once, and gets refusals for as long as it keeps asking.
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

// grantPermit hands out a permit if this agent is a permit server.
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

// Permit lets another agent load weights.
func (s *service) Permit(context.Context, *wire.PermitRequest) (*wire.PermitReply, error) {
	ok, wait := s.grantPermit()
	return &wire.PermitReply{Ok: ok, Wait: int64(wait)}, nil
}

// send passes one order on.
func (s *orderSender) send(ctx context.Context, a *Agent, o chestnutstep.Order) {
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

// submit gets the fencing number and asks the desk right before the call.
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

// errOrderRefused is the engine's own "no", such as to an old fencing number.
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
	rs, err := a.UnpooledClient.Do(rq)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	defer rs.Body.Close()
	if rs.StatusCode/100 != 2 {
		return errors.Wrapf(errOrderRefused, "status %d", rs.StatusCode)
	}
	return nil
}
