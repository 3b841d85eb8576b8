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

// profileOrder marks cells that stop an order to an engine instead of a request. Their naive
// version is an engine that ignores fencing numbers.
const profileOrder = "order"

// orderNode is the name of the target that gets the orders.
const orderNode = "chat-a"

// runOrder stops an order just before the engine, injects the faults and releases the order. After
// a kill it first waits until the restarted agent has sent its own order.
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
	defer release() // the stack can't be closed while an order is stopped
	if err := p.publishOrder("first"); err != nil {
		return err
	}
	select {
	case <-p.stack.Breakpoint.Reached():
	case <-time.After(stepTimeout):
		return errors.New("order did not reach its step")
	}
	for _, f := range p.faults {
		if err := faults[f](p, n); err != nil {
			return err
		}
	}
	if slices.Contains(p.faults, "kill") {
		// The restarted agent sends its order while that of the killed one is still stopped.
		if err := waitFor(func() bool { return len(p.executedOrders(n)) > 0 }, "the restarted agent sends its order"); err != nil {
			return err
		}
	}
	release()
	return p.checkOrders(n)
}

// checkOrders checks that the engine executes the newest published order last and no order after
// a newer one.
func (p *scenario) checkOrders(n *Node) error {
	last := func() bool {
		list := p.executedOrders(n)
		return len(list) > 0 && list[len(list)-1].Name == p.lastOrder.Name
	}
	if err := waitFor(last, "the newest order is executed last"); err != nil {
		return errors.Wrapf(err, "%v", p.executedOrders(n))
	}
	// The stopped order has arrived when its handler has returned.
	if err := waitFor(func() bool { return n.hooks.inFlight.Load() == 0 }, "all orders arrive"); err != nil {
		return err
	}
	list := p.executedOrders(n)
	for i := 1; i < len(list); i++ {
		if list[i].Fence < list[i-1].Fence {
			return errors.Newf("older order executed after a newer one: %v", list)
		}
	}
	return nil
}

// executedOrders returns the orders that the engine has executed, from its control API.
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

// publishOrder publishes an order for orderNode.
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
