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
	// orderEvery is how often the agent compares what its engine was told with
	// what the publication says.
	orderEvery = time.Second
	// orderLimit bounds one order to the engine: it is an acknowledgement, the
	// loading itself goes on behind it.
	orderLimit = 10 * time.Second
)

// sender brings the engine to what the publication says: it sends the orders
// that are missing, one after the other, each with its fencing number. An
// engine that restarts has forgotten what it was told, so all are sent again.
type sender struct {
	desk    order.Desk
	permits order.PermitServer
	// obeyed lists the orders that the engine's present life has followed.
	obeyed map[chestnutstep.Order]bool
	boot   string
}

func (c *sender) loop(ctx context.Context, a *Agent) {
	tick := time.NewTicker(orderEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.step(ctx, a)
		}
	}
}

// step sends at most one order. Whether the desk is ready is asked first: a
// permit that is taken and not used is lost to the targets that could use it.
func (c *sender) step(ctx context.Context, a *Agent) {
	o, ok := c.missing(a)
	if !ok || !c.ready(a) {
		return
	}
	if o.LoadsWeights() && !a.permitted(ctx) {
		return
	}
	c.send(ctx, a, o)
}

// missing is the first published order that the engine has not followed.
func (c *sender) missing(a *Agent) (chestnutstep.Order, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.View()
	if v == nil || v.Targets[a.Name] == nil || a.health.down || a.health.boot == "" {
		return chestnutstep.Order{}, false
	}
	t := v.Targets[a.Name]
	c.desk.Fenced = t.Fenced
	if c.boot != a.health.boot {
		c.boot = a.health.boot
		c.obeyed = make(map[chestnutstep.Order]bool)
		c.desk.Restart(a.Clock())
	}
	for _, o := range t.Orders {
		if !c.obeyed[o] {
			return o, true
		}
	}
	return chestnutstep.Order{}, false
}

func (c *sender) ready(a *Agent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.desk.Ready(a.Clock())
}

// permitted asks the wardens of the weight store's rate, of which one is
// enough. Without them a failure domain that starts cold at once asks the store
// for everything at once, and gets refusals for as long as it keeps asking.
func (a *Agent) permitted(ctx context.Context) bool {
	v := a.View()
	if v == nil || v.Publication.Budget.LoadRate <= 0 {
		return true
	}
	for _, name := range order.Wardens(targetNames(v), order.DefaultWardens) {
		if a.permittedBy(ctx, v, name) {
			return true
		}
	}
	return false
}

func (a *Agent) permittedBy(ctx context.Context, v *chestnutstep.View, name string) bool {
	if name == a.Name {
		ok, _ := a.grant()
		return ok
	}
	if a.Dial == nil {
		return false
	}
	peer, err := a.Dial(v.Targets[name].Agent)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	reply, err := peer.Permit(ctx, &wire.PermitRequest{Target: a.Name})
	return err == nil && reply.Ok
}

// grant hands out a permit if this agent is a permit server.
func (a *Agent) grant() (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sender.permits.Permit(a.Clock())
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
	ok, wait := s.grant()
	return &wire.PermitReply{Ok: ok, Wait: int64(wait)}, nil
}

// send passes one order on.
func (c *sender) send(ctx context.Context, a *Agent, o chestnutstep.Order) {
	job, err := c.take(a, o)
	if err != nil {
		return
	}
	done := order.Finish
	if err := a.sendOrder(ctx, o, job.Fence); err != nil {
		done = order.Lose
		if errors.Is(err, errRefusedOrder) {
			done = order.Refuse
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = c.desk.End(a.Clock(), job.Fence, done)
	if done == order.Finish {
		c.obeyed[o] = true
	}
	a.Notify(Notice{
		Kind: NoticeOrder, Subject: o.Kind + " " + o.Name,
		Before: job.Fence.String(), After: string(done),
	})
}

// take gets the fencing number and asks the desk right before the call.
func (c *sender) take(a *Agent, o chestnutstep.Order) (order.Job, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.View()
	if v == nil {
		return order.Job{}, errors.New("no publication")
	}
	now := a.Clock()
	version := v.Publication.Version
	job, err := c.desk.Take(now, order.Order{Kind: o.Kind, Name: o.Name, Version: version})
	if err != nil {
		return order.Job{}, err
	}
	return job, c.desk.MaySend(now, job.Fence, version)
}

// errRefusedOrder is the engine's own "no", such as to an old fencing number.
var errRefusedOrder = errors.New("the engine refused the order")

func (a *Agent) sendOrder(ctx context.Context, o chestnutstep.Order, f order.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
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
	rs, err := a.Single.Do(rq)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	defer rs.Body.Close()
	if rs.StatusCode/100 != 2 {
		return errors.Wrapf(errRefusedOrder, "status %d", rs.StatusCode)
	}
	return nil
}
