package matrix

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// profileOrder marks cells in which not a request but an order to an engine is
// stopped on its way. Their naive version is an engine that ignores fencing
// numbers.
const profileOrder = "order"

// orderNode is the target that is told something.
const orderNode = "chat-a"

// runOrder stops an order right before the engine, lets the faults happen, and
// lets it arrive once the agent has got through what it still has to say.
func (p *scenario) runOrder() error {
	unfenced := p.stack.Naive
	p.stack.Naive = false
	if err := p.stack.Start(); err != nil {
		return err
	}
	defer p.stack.Close()
	n := p.stack.node(orderNode)
	n.Engine.Fenced = !unfenced
	p.stack.Breakpoint.Set(StepOrder)
	release := sync.OnceFunc(p.stack.Breakpoint.Release)
	defer release() // the stack can't be closed while an order stands at the step
	if err := p.publishOrder("first"); err != nil {
		return err
	}
	select {
	case <-p.stack.Breakpoint.Reached():
	case <-time.After(stepTimeout):
		return errors.New("the order never came")
	}
	for _, f := range p.faults {
		if err := faults[f](p, n); err != nil {
			return err
		}
	}
	if slices.Contains(p.faults, "kill") {
		// The next life speaks while the order of the former is on its way.
		if err := waitFor(func() bool { return len(p.executedOrders(n)) > 0 }, "the next life's order"); err != nil {
			return err
		}
	}
	release()
	return p.checkOrders(n)
}

// checkOrders wants the newest published order to come last, and no older one
// after a newer.
func (p *scenario) checkOrders(n *Node) error {
	last := func() bool {
		list := p.executedOrders(n)
		return len(list) > 0 && list[len(list)-1].Name == p.lastOrder.Name
	}
	if err := waitFor(last, "the newest order is the last"); err != nil {
		return errors.Wrapf(err, "%v", p.executedOrders(n))
	}
	// The order that was stopped has arrived when its handler has ended.
	if err := waitFor(func() bool { return n.hooks.inFlight.Load() == 0 }, "all orders arrive"); err != nil {
		return err
	}
	list := p.executedOrders(n)
	for i := 1; i < len(list); i++ {
		if list[i].Fence < list[i-1].Fence {
			return errors.Newf("an older order came after a newer: %v", list)
		}
	}
	return nil
}

// executedOrders is the engine's own list of the orders that it followed.
func (p *scenario) executedOrders(n *Node) []fake.Order {
	rs, err := http.Get(n.targetServer.URL + "/control/orders")
	if err != nil {
		return nil
	}
	defer rs.Body.Close()
	var list []fake.Order
	_ = json.NewDecoder(rs.Body).Decode(&list)
	return list
}

// publishOrder publishes what the engine shall have been told.
func (p *scenario) publishOrder(name string) error {
	p.lastOrder = chestnutstep.Order{Kind: chestnutstep.OrderRole, Name: name}
	return p.stack.Publish(func(pub *chestnutstep.Publication) {
		for i := range pub.Targets {
			if t := &pub.Targets[i]; t.Name == orderNode {
				t.Orders = []chestnutstep.Order{p.lastOrder}
				t.Fenced = true
			}
		}
	})
}
