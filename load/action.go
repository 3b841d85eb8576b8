package load

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/fake"
)

// Actor does what must happen once, and repeats it as an impatient caller does.
type Actor struct {
	Caller *fake.Caller
	// Profile of the actions; it is one that needs tickets.
	Profile string
	// Path at the service.
	Path string
}

// ActionResult is one action and its repeat.
type ActionResult struct {
	Name   string
	Ticket string
	// First and Second are the answers through two entries.
	First, Second fake.Result
	// Times is how often the service says that the action took effect, by the
	// second answer; 0 when that is not known.
	Times int
	// SameAnswer says that both answers were whole and alike.
	SameAnswer bool
}

// Do takes a ticket at an entry, acts through it, and repeats the action with
// the same ticket through the next entry.
func (a *Actor) Do(ctx context.Context, name string, entry int) (ActionResult, error) {
	d := ActionResult{Name: name}
	n := len(a.Caller.Entries)
	tickets, err := a.Caller.Tickets(ctx, entry%n, a.Profile, 1)
	if err != nil {
		return d, err
	}
	if len(tickets) != 1 {
		return d, errors.Newf("asked for one ticket, got %d", len(tickets))
	}
	d.Ticket = tickets[0]
	d.First = a.Send(ctx, name, d.Ticket, entry%n)
	d.Second = a.Send(ctx, name, d.Ticket, (entry+1)%n)
	d.compare()
	return d, nil
}

// Send acts once through an entry.
func (a *Actor) Send(ctx context.Context, name, ticket string, entry int) fake.Result {
	body, _ := json.Marshal(fake.Action{Action: name})
	return a.Caller.Do(ctx, fake.Request{
		Entry:          entry,
		Profile:        a.Profile,
		Chat:           name,
		IdempotencyKey: "act-" + name,
		Ticket:         ticket,
		Path:           a.Path,
		Body:           body,
	})
}

func (d *ActionResult) compare() {
	var e fake.Effect
	if d.Second.Kind != fake.Complete || json.Unmarshal(d.Second.Data, &e) != nil {
		return
	}
	d.Times = e.Times
	d.SameAnswer = d.First.Kind == fake.Complete && bytes.Equal(d.First.Data, d.Second.Data)
}
