package load

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/fake"
)

// Actor emulates a caller that performs actions that must take effect once, and
// repeats each of them through another entry.
type Actor struct {
	Caller *fake.Caller
	// Profile is the profile of the actions; it requires tickets.
	Profile string
	// Path is the path of the actions at the service.
	Path string
}

// ActionResult is the result of an action and of its repetition.
type ActionResult struct {
	Name   string
	Ticket string
	// First and Second are the answers received through two entries.
	First, Second fake.Result
	// Times is how often the action took effect according to the second answer;
	// 0 if unknown.
	Times int
	// SameAnswer reports whether both answers were complete and identical.
	SameAnswer bool
}

// Do gets a ticket from an entry, sends the action through it, and repeats the
// action with the same ticket through the next entry. It returns an error if it
// gets no ticket; failed actions are in the result.
func (a *Actor) Do(ctx context.Context, name string, entry int) (ActionResult, error) {
	result := ActionResult{Name: name}
	n := len(a.Caller.Entries)
	tickets, err := a.Caller.Tickets(ctx, entry%n, a.Profile, 1)
	if err != nil {
		return result, err
	}
	if len(tickets) != 1 {
		return result, errors.Newf("expected one ticket, got %d", len(tickets))
	}
	result.Ticket = tickets[0]
	result.First = a.Send(ctx, name, result.Ticket, entry%n)
	result.Second = a.Send(ctx, name, result.Ticket, (entry+1)%n)
	result.compare()
	return result, nil
}

// Send sends the action once through an entry.
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

func (r *ActionResult) compare() {
	var effect fake.Effect
	if r.Second.Kind != fake.Complete || json.Unmarshal(r.Second.Data, &effect) != nil {
		return
	}
	r.Times = effect.Times
	r.SameAnswer = r.First.Kind == fake.Complete && bytes.Equal(r.First.Data, r.Second.Data)
}
