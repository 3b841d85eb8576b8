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
func (p *play) runOrder() error {
	unfenced := p.stack.Naive
	p.stack.Naive = false
	if err := p.stack.Start(); err != nil {
		return err
	}
	defer p.stack.Close()
	n := p.stack.node(orderNode)
	n.Engine.Fenced = !unfenced
	p.stack.Halt.Arm(StepOrder)
	release := sync.OnceFunc(p.stack.Halt.Release)
	defer release() // the stack can't be closed while an order stands at the step
	if err := p.tell("first"); err != nil {
		return err
	}
	select {
	case <-p.stack.Halt.Reached():
	case <-time.After(stepLimit):
		return errors.New("the order never came")
	}
	for _, f := range p.faults {
		if err := faults[f](p, n); err != nil {
			return err
		}
	}
	if slices.Contains(p.faults, "kill") {
		// The next life speaks while the order of the former is on its way.
		if err := until(func() bool { return len(p.obeyed(n)) > 0 }, "the next life's order"); err != nil {
			return err
		}
	}
	release()
	return p.judgeOrder(n)
}

// judgeOrder wants the newest published order to come last, and no older one
// after a newer.
func (p *play) judgeOrder(n *Node) error {
	last := func() bool {
		list := p.obeyed(n)
		return len(list) > 0 && list[len(list)-1].Name == p.told.Name
	}
	if err := until(last, "the newest order is the last"); err != nil {
		return errors.Wrapf(err, "%v", p.obeyed(n))
	}
	// The order that was stopped has arrived when its handler has ended.
	if err := until(func() bool { return n.hooks.busy.Load() == 0 }, "all orders arrive"); err != nil {
		return err
	}
	list := p.obeyed(n)
	for i := 1; i < len(list); i++ {
		if list[i].Fence < list[i-1].Fence {
			return errors.Newf("an older order came after a newer: %v", list)
		}
	}
	return nil
}

// obeyed is the engine's own list of the orders that it followed.
func (p *play) obeyed(n *Node) []fake.Order {
	rs, err := http.Get(n.back.URL + "/control/orders")
	if err != nil {
		return nil
	}
	defer rs.Body.Close()
	var list []fake.Order
	_ = json.NewDecoder(rs.Body).Decode(&list)
	return list
}

// tell publishes what the engine shall have been told.
func (p *play) tell(name string) error {
	p.told = chestnutstep.Order{Kind: chestnutstep.OrderRole, Name: name}
	return p.stack.Publish(func(pub *chestnutstep.Publication) {
		for i := range pub.Targets {
			if t := &pub.Targets[i]; t.Name == orderNode {
				t.Orders = []chestnutstep.Order{p.told}
				t.Fenced = true
			}
		}
	})
}
