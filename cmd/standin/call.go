package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/load"
)

// callOptions are the arguments of the call subcommand.
type callOptions struct {
	entries []string
	keys    []string
	profile string
	action  string
	actions int
	tries   int
	timeout time.Duration
	seed    int
	json    bool
	plan    load.Plan
}

// callCommand returns the call subcommand, a load generator that sends chats
// and actions to entries.
func callCommand() command {
	c := flaggy.NewSubcommand("call")
	c.Description = "callers: chats that return, cancels, and actions repeated through another entry"
	v := &callOptions{profile: "chat", action: "book", tries: 4, seed: 1, plan: load.Plan{
		Chats: 50, Turns: 4, Pause: 300 * time.Millisecond, StartSpread: 500 * time.Millisecond,
		Skew: 1, HistoryTokens: 500, OutputTokens: 30, CancelRatio: 0.5,
	}}
	c.StringSlice(&v.entries, "e", "entry", "base URL of an entry; repeat for more")
	c.StringSlice(&v.keys, "k", "key", "WORKSPACE=KEY; repeat for more, the busiest first")
	c.String(&v.profile, "p", "profile", "profile of the chats")
	c.String(&v.action, "", "action-profile", "profile of the actions")
	c.Int(&v.actions, "a", "actions", "actions, each repeated through the next entry")
	c.Int(&v.tries, "t", "tries", "times that a request is sent at most")
	c.Duration(&v.timeout, "", "timeout", "time limit of a request; 0 leaves it to the profile")
	c.Int(&v.seed, "s", "seed", "of the load")
	c.Int(&v.plan.Chats, "c", "chats", "number of chats")
	c.Int(&v.plan.Turns, "n", "turns", "mean requests of a chat")
	c.Duration(&v.plan.Pause, "", "pause", "mean pause between a chat's requests")
	c.Duration(&v.plan.StartSpread, "", "start", "time over which the chats begin")
	c.Float64(&v.plan.Skew, "", "skew", "exponent of the workspaces' shares; 0 is even")
	c.Int(&v.plan.HistoryTokens, "", "history", "mean tokens of a chat's first prompt")
	c.Int(&v.plan.OutputTokens, "o", "output", "mean tokens of an answer")
	c.Float64(&v.plan.CancelRatio, "x", "cancel", "share of the requests that are given up")
	c.Bool(&v.json, "j", "json", "print JSON")
	return command{c, v.run}
}

func (v *callOptions) run() error {
	if len(v.entries) == 0 || len(v.keys) == 0 {
		return errors.New("give at least one --entry and one --key")
	}
	keys := map[string]string{}
	for _, pair := range v.keys {
		name, key, ok := strings.Cut(pair, "=")
		if !ok {
			return errors.Newf("--key %s: want WORKSPACE=KEY", pair)
		}
		keys[name] = key
		v.plan.Workspaces = append(v.plan.Workspaces, name)
	}
	v.plan.Seed = uint64(v.seed)
	var r load.Report
	p := load.Player{IDPrefix: rand.Text()[:8] + "-", Entries: v.entries, Keys: keys, Profile: v.profile, MaxTries: v.tries, Timeout: v.timeout, Report: &r}
	p.Play(context.Background(), v.plan.GenerateChats())
	actionErr := v.runActions(keys[v.plan.Workspaces[0]])
	v.print(r.Summary())
	for _, err := range r.Errors(3) {
		fmt.Fprintln(os.Stderr, err)
	}
	if n := r.CountKind(fake.Truncated) + r.CountKind(fake.Misdelivered); n > 0 {
		return errors.Newf("%d answers were silently short or another's", n)
	}
	return actionErr
}

func (v *callOptions) runActions(key string) error {
	a := load.Actor{Caller: &fake.Caller{Entries: v.entries, Key: key}, Profile: v.action, Path: "/bookings"}
	for i := range v.actions {
		d, err := a.Do(context.Background(), fmt.Sprintf("slot-%d-%d", v.seed, i), i)
		if err != nil {
			return err
		}
		if !d.SameAnswer || d.Times != 1 {
			return errors.Newf("%s: %s then %s, took effect %d times", d.Name, d.First.Kind, d.Second.Kind, d.Times)
		}
	}
	return nil
}

func (v *callOptions) print(s load.Summary) {
	if !v.json {
		s.Print(os.Stdout)
		return
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	_ = e.Encode(s)
}
