package main

import (
	"time"

	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/fake"
)

// serviceCommand returns the service subcommand, an emulated plain service.
func serviceCommand() command {
	c := flaggy.NewSubcommand("service")
	c.Description = "a plain service: POST /bookings, POST /edits, GET /slots"
	s := &fake.Service{Delay: 5 * time.Millisecond, RestartTime: 300 * time.Millisecond}
	address := "127.0.0.1:0"
	c.String(&address, "l", "listen", "address to listen on; port 0 picks one and prints it")
	c.Duration(&s.Delay, "d", "delay", "time between an action's arrival and its effect")
	c.Duration(&s.RestartTime, "", "restart", "how long it drops connections after a crash")
	return command{c, func() error { return serve(address, s) }}
}
