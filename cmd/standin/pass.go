package main

import (
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/load"
)

// proxyCommand returns the pass subcommand, a proxy without routing decisions
// as a baseline for comparisons.
func proxyCommand() command {
	c := flaggy.NewSubcommand("pass")
	c.Description = "a naive pass-through to compare with: one hop, a random target, plain retry"
	p := &load.Proxy{MaxTries: 3, Client: fake.NewClient()}
	address := "127.0.0.1:0"
	c.String(&address, "l", "listen", "address to listen on; port 0 picks one and prints it")
	c.StringSlice(&p.Targets, "", "engine", "base URL of an engine; repeat for more")
	c.StringSlice(&p.Services, "", "service", "base URL of a plain service; repeat for more")
	c.Int(&p.MaxTries, "t", "tries", "targets that a request is sent to at most")
	return command{c, func() error { return serve(address, p) }}
}
